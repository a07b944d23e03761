#include "agent/agent_service.h"

#include <atomic>
#include <map>
#include <mutex>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "agent/call_tracker.h"
#include "agent/host_agent.h"
#include "agent/lease_keeper.h"
#include "agent/load_meter.h"
#include "base/endpoint.h"
#include "base/request_ids.h"
#include "log/log.h"

namespace rattandyke::agent {

namespace {

/// Pause before a call without an answer is sent again.
constexpr std::chrono::milliseconds kRepeatCall{ 150 };

std::vector<HostName>
NamesOf(const std::vector<ControlHost>& aHosts)
{
  std::vector<HostName> names;
  names.reserve(aHosts.size());
  for (const ControlHost& host : aHosts) {
    names.push_back(host.name);
  }
  return names;
}

HostAgent::Options
HostAgentOptions(const AgentService::Options& aOptions)
{
  HostAgent::Options options;
  options.name = aOptions.name;
  options.session = aOptions.session;
  options.controlHosts = NamesOf(aOptions.controlHosts);
  options.heartbeatInterval = aOptions.leases.heartbeatInterval;
  options.leaderTimeout = aOptions.leases.leaderTimeout;
  return options;
}

LeaseKeeper::Options
LeaseKeeperOptions(const AgentService::Options& aOptions)
{
  LeaseKeeper::Options options;
  options.self = aOptions.name;
  options.hostLease = aOptions.leases.hostLease;
  options.upstreamLease = aOptions.leases.upstreamLease;
  options.announceInterval = aOptions.leases.announceInterval;
  return options;
}

Error
ShutdownError()
{
  return { Code::ShuttingDown, "This host is shutting down." };
}

} // namespace

struct AgentService::Impl : std::enable_shared_from_this<AgentService::Impl>
{
  using Strand = boost::asio::strand<boost::asio::any_io_executor>;
  using AnnounceCallback = std::function<void(AnnounceAnswer)>;

  Impl(const boost::asio::any_io_executor& aExecutor,
       Options aOptions,
       net::PeerTransport& aTransport,
       const Clock& aClock,
       uint64_t aSeed);

  template<typename Work>
  void Post(Work aWork)
  {
    boost::asio::post(strand, [self = shared_from_this(), aWork]() mutable {
      if (!self->stopped) {
        aWork(*self);
      }
    });
  }

  void ArmTimer();
  void OnTimer();
  void Stop();

  void Take(const wire::Envelope& aEnvelope);
  void Step(const HostAgentEvent& aEvent);
  void Step(const LeaseKeeperEvent& aEvent);
  void Step(const CallEvent& aEvent);

  void Run(const SendHeartbeat& aEffect);
  void Run(const TableReplaced& aEffect);
  void Run(const LeaseExtended& aEffect);
  void Run(const HostsListed& aEffect);
  void Run(const ControlHeard& aEffect);
  void Run(const LeaveAcknowledged& aEffect);
  void Run(const SendCall& aEffect);
  void Run(const CallFinished& aEffect);

  void Announce(Announcement aAnnouncement, AnnounceCallback aDone);
  void Leave(std::function<void()> aDone);
  void FinishLeave();
  void Call(wire::CallRequest aRequest, Duration aTimeout, Callback aDone);

  const Options options;
  net::PeerTransport& transport;
  const Clock& clock;
  Strand strand;
  boost::asio::steady_timer timer;
  HostAgent hostAgent;
  LeaseKeeper leaseKeeper;
  CallTracker callTracker;
  LoadMeter loadMeter;
  InFlightVersions inFlight;
  bool stopped = false;

  std::map<uint64_t, AnnounceCallback> announcements;
  uint64_t lastAnnouncement = 0;
  std::map<uint64_t, Callback> calls;
  RequestIds callIds;
  std::vector<std::function<void()>> leaveCallbacks;
  std::optional<Instant> leaveBy;
  std::vector<Endpoint> otherUpstreamPorts;

  /// Guards what other threads read, in no order with other locks.
  mutable std::mutex sharedMutex;
  std::shared_ptr<const routing::RoutingTable> sharedTable;
  std::vector<HostName> sharedLiveHosts;
  HostName sharedLeader;
  std::atomic<Instant::rep> leaseUntil{
    Instant::min().time_since_epoch().count()
  };
};

AgentService::Impl::Impl(const boost::asio::any_io_executor& aExecutor,
                         Options aOptions,
                         net::PeerTransport& aTransport,
                         const Clock& aClock,
                         uint64_t aSeed)
  : options(std::move(aOptions))
  , transport(aTransport)
  , clock(aClock)
  , strand(boost::asio::make_strand(aExecutor))
  , timer(strand)
  , hostAgent(HostAgentOptions(options), Random(aSeed))
  , leaseKeeper(LeaseKeeperOptions(options))
  , callTracker(NamesOf(options.controlHosts), kRepeatCall)
  , loadMeter(aClock.Now())
  , callIds(options.session)
  , sharedTable(hostAgent.Table())
{
}

void
AgentService::Impl::ArmTimer()
{
  timer.expires_after(LeaseKeeper::kTimerInterval);
  timer.async_wait([self = shared_from_this()](auto aError) {
    if (!aError && !self->stopped) {
      self->OnTimer();
    }
  });
}

void
AgentService::Impl::OnTimer()
{
  ArmTimer();
  Step(HostAgentEvent{ HeartbeatTimer{} });
  Step(LeaseKeeperEvent{ KeeperTimer{} });
  Step(CallEvent{ CallTimer{} });
  if (leaveBy && clock.Now() >= *leaveBy) {
    FinishLeave();
  }
}

void
AgentService::Impl::Stop()
{
  Step(CallEvent{ CallsAborted{ ShutdownError() } });
  Step(LeaseKeeperEvent{ KeeperLeaves{} });
  FinishLeave();
  stopped = true;
  timer.cancel();
}

void
AgentService::Impl::Take(const wire::Envelope& aEnvelope)
{
  if (aEnvelope.has_heartbeat_reply()) {
    Step(HostAgentEvent{
      HeartbeatReplied{ { aEnvelope.from() }, aEnvelope.heartbeat_reply() } });
  } else if (aEnvelope.has_call_reply()) {
    Step(CallEvent{ CallReplied{ aEnvelope.call_reply() } });
  }
}

void
AgentService::Impl::Step(const HostAgentEvent& aEvent)
{
  for (const auto& effect : hostAgent.Step(aEvent, clock.Now())) {
    std::visit([this](const auto& aKind) { Run(aKind); }, effect);
  }
  const std::lock_guard lock(sharedMutex);
  sharedLeader = hostAgent.Leader().value_or(HostName{});
}

void
AgentService::Impl::Step(const LeaseKeeperEvent& aEvent)
{
  for (auto& effect : leaseKeeper.Step(aEvent, clock.Now())) {
    const auto found = announcements.find(effect.id);
    AnnounceCallback done = std::move(found->second);
    announcements.erase(found);
    effect.answer.hosts = otherUpstreamPorts;
    done(std::move(effect.answer));
  }
}

void
AgentService::Impl::Step(const CallEvent& aEvent)
{
  for (const auto& effect :
       callTracker.Step(aEvent, hostAgent.Leader(), clock.Now())) {
    std::visit([this](const auto& aKind) { Run(aKind); }, effect);
  }
}

void
AgentService::Impl::Run(const SendHeartbeat& aEffect)
{
  wire::Envelope envelope;
  wire::Heartbeat& heartbeat = *envelope.mutable_heartbeat();
  heartbeat.set_host(options.name.value);
  heartbeat.set_session(options.session);
  heartbeat.set_sequence(aEffect.sequence);
  heartbeat.set_data_centre(options.dataCentre.value);
  heartbeat.set_peer_address(ToString(options.peer));
  heartbeat.set_admin_address(ToString(options.admin));
  heartbeat.set_upstream_address(ToString(options.upstreamPort));
  heartbeat.set_table_version(aEffect.tableVersion.value);
  heartbeat.set_quiesced_version(inFlight.Quiesced().value);
  heartbeat.set_leaving(aEffect.leaving);
  heartbeat.set_hosts_digest(aEffect.hostsDigest);
  heartbeat.set_entry(options.entry);
  heartbeat.set_log_identity(options.logIdentity);
  const Instant now = clock.Now();
  for (auto& report : leaseKeeper.Reports(aEffect.sequence, now)) {
    *heartbeat.add_upstreams() = std::move(report);
  }
  if (aEffect.toLeader) {
    loadMeter.MoveInto(heartbeat, now);
  }
  transport.Send(aEffect.to, std::move(envelope));
}

void
AgentService::Impl::Run(const TableReplaced& aEffect)
{
  // Readers may take the new table before older versions are refused, never
  // the other way round: a request could then find no table it may use.
  {
    const std::lock_guard lock(sharedMutex);
    sharedTable = aEffect.table;
  }
  inFlight.Publish(aEffect.table->Version());
  Step(LeaseKeeperEvent{ TableArrived{ aEffect.table, aEffect.touched } });
}

void
AgentService::Impl::Run(const LeaseExtended& aEffect)
{
  const auto until = aEffect.leaseUntil.time_since_epoch().count();
  const auto before = leaseUntil.load();
  if (until > before) {
    if (options.onRenewed && before > 0) {
      options.onRenewed(Duration(before) - clock.Now().time_since_epoch());
    }
    leaseUntil.store(until);
  }
  Step(LeaseKeeperEvent{
    HeartbeatAnswered{ aEffect.sequence, aEffect.leaseUntil } });
}

void
AgentService::Impl::Run(const HostsListed& aEffect)
{
  otherUpstreamPorts.clear();
  for (const std::string& address : aEffect.upstreamAddresses) {
    const auto endpoint = ParseEndpoint(address);
    if (endpoint && *endpoint != options.upstreamPort) {
      otherUpstreamPorts.push_back(*endpoint);
    }
  }
  const std::lock_guard lock(sharedMutex);
  sharedLiveHosts = aEffect.entries;
}

void
AgentService::Impl::Run(const ControlHeard& /*aEffect*/)
{
  Step(LeaseKeeperEvent{ ControlAnswered{} });
}

void
AgentService::Impl::Run(const LeaveAcknowledged& /*aEffect*/)
{
  FinishLeave();
}

void
AgentService::Impl::Run(const SendCall& aEffect)
{
  wire::Envelope envelope;
  *envelope.mutable_call_request() = aEffect.request;
  transport.Send(aEffect.to, std::move(envelope));
}

void
AgentService::Impl::Run(const CallFinished& aEffect)
{
  const auto found = calls.find(aEffect.id);
  Callback done = std::move(found->second);
  calls.erase(found);
  done(aEffect.result);
}

void
AgentService::Impl::Announce(Announcement aAnnouncement, AnnounceCallback aDone)
{
  const uint64_t id = ++lastAnnouncement;
  announcements.emplace(id, std::move(aDone));
  Step(
    LeaseKeeperEvent{ AnnouncementReceived{ id, std::move(aAnnouncement) } });
}

void
AgentService::Impl::Leave(std::function<void()> aDone)
{
  log::Line(log::Part::Agent, log::Severity::Info) << "host leaves";
  leaveCallbacks.push_back(std::move(aDone));
  leaveBy = clock.Now() + options.leases.hostLease;
  Step(LeaseKeeperEvent{ KeeperLeaves{} });
  Step(HostAgentEvent{ LeaveRequested{} });
}

void
AgentService::Impl::FinishLeave()
{
  leaveBy.reset();
  for (const auto& done : std::exchange(leaveCallbacks, {})) {
    done();
  }
}

void
AgentService::Impl::Call(wire::CallRequest aRequest,
                         Duration aTimeout,
                         Callback aDone)
{
  const uint64_t id = callIds.Next();
  aRequest.set_id(id);
  aRequest.set_host(options.name.value);
  aRequest.set_session(options.session);
  calls.emplace(id, std::move(aDone));
  Step(CallEvent{ CallStarted{ std::move(aRequest), aTimeout } });
}

AgentService::AgentService(const boost::asio::any_io_executor& aExecutor,
                           Options aOptions,
                           net::PeerTransport& aTransport,
                           const Clock& aClock,
                           uint64_t aSeed)
  : mImpl(std::make_shared<Impl>(aExecutor,
                                 std::move(aOptions),
                                 aTransport,
                                 aClock,
                                 aSeed))
{
}

AgentService::~AgentService()
{
  Stop();
}

void
AgentService::Start()
{
  for (const ControlHost& host : mImpl->options.controlHosts) {
    mImpl->transport.SetPeer(host.name, host.peer);
  }
  mImpl->Post([](Impl& aImpl) { aImpl.OnTimer(); });
}

void
AgentService::Stop()
{
  mImpl->Post([](Impl& aImpl) { aImpl.Stop(); });
}

void
AgentService::Handle(const wire::Envelope& aEnvelope)
{
  mImpl->Post([aEnvelope](Impl& aImpl) { aImpl.Take(aEnvelope); });
}

std::shared_ptr<const routing::RoutingTable>
AgentService::Table() const
{
  const std::lock_guard lock(mImpl->sharedMutex);
  return mImpl->sharedTable;
}

bool
AgentService::TableLeaseValid(Instant aNow) const
{
  return aNow.time_since_epoch().count() < mImpl->leaseUntil.load();
}

InFlightVersions&
AgentService::InFlight()
{
  return mImpl->inFlight;
}

void
AgentService::ReportEvidence(const Evidence& aEvidence)
{
  mImpl->loadMeter.AddEvidence(aEvidence);
}

void
AgentService::CountRequest(std::string_view aService,
                           Slot aSlot,
                           std::string_view aKey)
{
  mImpl->loadMeter.CountRequest(aService, aSlot, aKey);
}

void
AgentService::Announce(Announcement aAnnouncement,
                       std::function<void(AnnounceAnswer)> aDone)
{
  boost::asio::post(mImpl->strand,
                    [impl = mImpl,
                     announcement = std::move(aAnnouncement),
                     done = std::move(aDone)]() mutable {
                      if (impl->stopped) {
                        AnnounceAnswer answer;
                        answer.code = Code::LeaseUnavailable;
                        answer.message = ShutdownError().message;
                        done(std::move(answer));
                        return;
                      }
                      impl->Announce(std::move(announcement), std::move(done));
                    });
}

std::vector<HostName>
AgentService::LiveHosts() const
{
  const std::lock_guard lock(mImpl->sharedMutex);
  return mImpl->sharedLiveHosts;
}

HostName
AgentService::Leader() const
{
  const std::lock_guard lock(mImpl->sharedMutex);
  return mImpl->sharedLeader;
}

void
AgentService::Leave(std::function<void()> aDone)
{
  boost::asio::post(mImpl->strand,
                    [impl = mImpl, done = std::move(aDone)]() mutable {
                      if (impl->stopped) {
                        done();
                        return;
                      }
                      impl->Leave(std::move(done));
                    });
}

void
AgentService::Call(wire::CallRequest aRequest,
                   Duration aTimeout,
                   Callback aDone)
{
  boost::asio::post(mImpl->strand,
                    [impl = mImpl,
                     request = std::move(aRequest),
                     aTimeout,
                     done = std::move(aDone)]() mutable {
                      if (impl->stopped) {
                        done(tl::unexpected<Error>(ShutdownError()));
                        return;
                      }
                      impl->Call(std::move(request), aTimeout, std::move(done));
                    });
}

} // namespace rattandyke::agent
