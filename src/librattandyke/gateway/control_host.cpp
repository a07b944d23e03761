#include "gateway/control_host.h"

#include <deque>
#include <map>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/endpoint.h"
#include "consensus/driver.h"
#include "gateway/call_server.h"
#include "gateway/entry_registry.h"
#include "gateway/feed_server.h"
#include "gateway/granter.h"
#include "gateway/metrics.h"
#include "log/log.h"
#include "net/frame_mesh.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// A leader acts on its leadership only this soon after a majority has answered
/// it: below the least election timeout, so that no other leads yet.
constexpr milliseconds kSureFor{ 220 };
/// Time that a call waits for the log or for the leader. Callers go elsewhere
/// after a second.
constexpr milliseconds kCallTimeout{ 900 };
/// Pings tell entries that they are up to date; they go elsewhere after 700 ms
/// of silence.
constexpr milliseconds kPingInterval{ 200 };
constexpr milliseconds kReportInterval{ 100 };
/// A host that starts, or has lost its leader, follows one again this soon: two
/// elections of up to 450 ms. After that it is more likely cut off.
constexpr milliseconds kHopeful{ 900 };
constexpr milliseconds kParkedCheck{ 10 };
/// Instances that hold no keys and have been silent so long are forgotten;
/// entries would find out by themselves, but try them again and again.
constexpr std::chrono::seconds kForgetAfter{ 30 };
/// A lost identity is replaced, and a spare made a voter, after this long: with
/// the time of joining well below the few seconds after which more hosts may
/// be lost.
constexpr milliseconds kReplaceAfter{ 900 };
constexpr milliseconds kSpareAfter{ 1200 };
/// A host that starts applies what came after its last snapshot before it can
/// serve: at some 30 us an entry, 1,024 take 50 ms of a host with 0.6 of a
/// core, about as long as an election. Some 300 upstreams make 150 entries a
/// second, so that a snapshot of 100 KB is taken every 7 s.
constexpr uint64_t kEntriesPerSnapshot = 1024;
/// Attempts to grant keys that another heartbeat was given meanwhile.
constexpr int kGrantAttempts = 3;
/// Longest delay of an answer for keys on their way; an upstream takes answers
/// that come within a second.
constexpr milliseconds kKeysAwaited{ 350 };
constexpr size_t kOutcomesKept = 1024;
/// Of an id that anyone may have written, in the log.
constexpr size_t kLoggedId = 64;
constexpr size_t kLoggedTarget = 128;

constexpr unsigned kOk = 200;
constexpr unsigned kInvalid = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;

log::Line
Info()
{
  return { log::Part::Control, log::Severity::Info };
}

unsigned
StatusOf(const Error& aError)
{
  switch (aError.code) {
    case Code::UnknownRecord:
      return kNotFound;
    case Code::InvalidRecord:
      return kInvalid;
    case Code::RevisionConflict:
    case Code::UpstreamSuperseded:
      return kConflict;
    default:
      return kUnavailable;
  }
}

/// Waits in a coroutine for something that a callback brings.
template<typename Value>
struct Awaited
{
  explicit Awaited(const asio::any_io_executor& aExecutor)
    : timer(aExecutor, kCallTimeout)
  {
  }

  void Set(Value aValue)
  {
    value = std::move(aValue);
    timer.cancel();
  }

  asio::steady_timer timer;
  std::optional<Value> value;
};

} // namespace

struct ControlHost::Impl : std::enable_shared_from_this<ControlHost::Impl>
{
  Impl(asio::io_context& aContext,
       const Settings& aSettings,
       const Dialect& aDialect,
       const Clock& aClock,
       uint64_t aSeed)
    : executor(aContext.get_executor())
    , settings(aSettings)
    , dialect(aDialect)
    , clock(aClock)
    , seed(aSeed)
    , self{ ToString(aSettings.Self()) }
    , granter({ aSettings.hold, aSettings.heartbeatInterval, kForgetAfter })
    , feed(state)
    , ticker(executor)
    , parkedTimer(executor)
    , freshAt(aClock.Now())
  {
  }

  // Start and stop.

  Result<void> Start()
  {
    mesh = std::make_unique<net::FrameMesh>(
      executor,
      settings.peers,
      net::FrameMesh::Handlers{
        [this](const auto& aConnection, std::string_view aMessage) {
          OnFrame(aConnection, aMessage);
        },
        [this](const auto& aConnection) {
          feed.Close(aConnection);
          std::erase_if(parked, [&](const auto& aOpen) {
            return aOpen.first == aConnection;
          });
        } });
    if (Result<void> started = mesh->Start(); !started) {
      return started;
    }
    driver = std::make_unique<consensus::Driver>(
      executor, DriverOptions(), DriverCallbacks(), clock, seed);
    if (Result<void> started = driver->Start(); !started) {
      return started;
    }
    calls = std::make_unique<CallServer>(
      executor, *settings.calls, [self = weak_from_this()](CallRequest aCall) {
        return HandleWeak(self, std::move(aCall));
      });
    if (Result<void> started = calls->Start(); !started) {
      return started;
    }
    if (settings.metrics) {
      metricsServer = std::make_unique<CallServer>(
        executor,
        *settings.metrics,
        [self = weak_from_this()](CallRequest aCall) {
          return AnswerMetrics(self, std::move(aCall));
        });
      if (Result<void> started = metricsServer->Start(); !started) {
        return started;
      }
    }
    Tick();
    return {};
  }

  static asio::awaitable<CallAnswer> AnswerMetrics(std::weak_ptr<Impl> aSelf,
                                                   CallRequest aCall)
  {
    const auto self = aSelf.lock();
    co_return CallAnswer{ self ? kOk : kUnavailable,
                          self ? self->MetricsPage() : std::string(),
                          "text/plain" };
  }

  std::string MetricsPage()
  {
    const consensus::GroupStatus status = driver->Status();
    metrics.Set("state_index", static_cast<double>(state.Applied().value));
    metrics.Set("leads", driver->IsLeader() ? 1 : 0);
    metrics.Set("term", static_cast<double>(status.term.value));
    metrics.Set("members", static_cast<double>(status.members.size()));
    metrics.Set("disk_syncs", static_cast<double>(status.syncs));
    metrics.Set("disk_failing", status.storageError.empty() ? 0 : 1);
    metrics.Set("entries", static_cast<double>(state.Entries().size()));
    metrics.Set("upstreams", static_cast<double>(state.Instances().size()));
    return metrics.Page();
  }

  consensus::Driver::Options DriverOptions() const
  {
    consensus::Driver::Options options;
    options.name = self;
    options.address = settings.Self();
    options.dataFolder = settings.dataFolder;
    for (const Endpoint& host : settings.seeds) {
      options.controlHosts.push_back({ HostName{ ToString(host) }, host });
    }
    options.replica.openMembership = true;
    options.replica.mayFound = settings.firstStart;
    options.replica.voters = 2 * settings.tolerated + 1;
    options.replica.replaceAfter = kReplaceAfter;
    options.replica.spareAfter = kSpareAfter;
    options.replica.entriesPerSnapshot = kEntriesPerSnapshot;
    return options;
  }

  consensus::Driver::Callbacks DriverCallbacks()
  {
    consensus::Driver::Callbacks callbacks;
    callbacks.send = [this](const HostName& aTo, std::string aBytes) {
      wire::GatewayFrame frame;
      frame.set_consensus(std::move(aBytes));
      if (aTo == self) {
        driver->Receive(self, frame.consensus());
        return;
      }
      mesh->Send(aTo, frame.SerializeAsString());
    };
    callbacks.apply = [this](LogIndex aIndex, std::string_view aBytes) {
      Apply(aIndex, aBytes);
    };
    callbacks.makeSnapshot = [this] {
      return state.Save().SerializeAsString();
    };
    callbacks.loadSnapshot = [this](std::string_view aBytes) {
      wire::GatewayState loaded;
      loaded.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
      state.Load(loaded);
      feed.Reset();
    };
    callbacks.leadership = [this](std::optional<uint64_t> aTerm) {
      OnLeadership(aTerm);
    };
    return callbacks;
  }

  void Stop(std::function<void()> aDone)
  {
    stopping = true;
    calls->Stop();
    if (metricsServer) {
      metricsServer->Stop();
    }
    driver->TransferLeadership(
      [self = shared_from_this(), done = std::move(aDone)] {
        self->driver->Stop();
        self->mesh->Stop();
        self->ticker.cancel();
        done();
      });
  }

  // The log.

  void Apply(LogIndex aIndex, std::string_view aBytes)
  {
    wire::GatewayCommand command;
    command.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
    Result<void> outcome = state.Apply(command, aIndex);
    if (outcome) {
      feed.Applied(command, aIndex);
    }
    if (command.has_free_ranges()) {
      WakeKeyWaiters();
    }
    outcomes.emplace_back(aIndex, std::move(outcome));
    if (outcomes.size() > kOutcomesKept) {
      outcomes.pop_front();
    }
  }

  Result<void> OutcomeAt(LogIndex aIndex) const
  {
    for (auto at = outcomes.rbegin(); at != outcomes.rend(); ++at) {
      if (at->first == aIndex) {
        return at->second;
      }
    }
    return Fail(Code::ProposalDropped, "The outcome is not known any more.");
  }

  void OnLeadership(std::optional<uint64_t> aTerm)
  {
    if (aTerm) {
      Info() << "leads term " << *aTerm << " at index "
             << state.Applied().value;
      granter.BecomeLeader(state, clock.Now());
      entries.BecomeLeader(state, clock.Now());
    } else {
      Info() << "leads no more";
    }
  }

  /// Whether this host leads, and no other can lead yet.
  bool LeadsSurely() const
  {
    if (!driver->IsLeader()) {
      return false;
    }
    const auto contact = driver->QuorumContact();
    return contact && clock.Now() - *contact < kSureFor;
  }

  /// @return what became of a command once it is committed.
  asio::awaitable<Result<void>> Propose(const wire::GatewayCommand& aCommand)
  {
    auto awaited = std::make_shared<Awaited<Result<void>>>(executor);
    driver->Propose(
      aCommand.SerializeAsString(),
      [awaited, self = shared_from_this()](Result<LogIndex> aIndex) {
        awaited->Set(aIndex ? self->OutcomeAt(*aIndex)
                            : Result<void>(tl::unexpected(aIndex.error())));
      });
    if (!awaited->value) {
      co_await awaited->timer.async_wait(kAwait);
    }
    if (!awaited->value) {
      co_return Fail(Code::NoQuorum, "The log takes too long.");
    }
    co_return *awaited->value;
  }

  /// Commands that time makes due; nobody waits for them.
  void ProposeAll(const std::vector<wire::GatewayCommand>& aCommands)
  {
    for (const wire::GatewayCommand& command : aCommands) {
      Info() << "time makes due: " << command.ShortDebugString();
      driver->Propose(command.SerializeAsString(), [](Result<LogIndex> aIndex) {
        if (!aIndex) {
          Info() << "a command was dropped: " << aIndex.error().message;
        }
      });
    }
  }

  // Time.

  void Tick()
  {
    if (stopping) {
      return;
    }
    ticker.expires_after(Granter::kTick);
    ticker.async_wait([self = weak_from_this()](auto aError) {
      const auto host = self.lock();
      if (host && !aError) {
        host->OnTick();
        host->Tick();
      }
    });
  }

  void OnTick()
  {
    if (LeadsSurely()) {
      ProposeAll(granter.Tick(state, clock.Now()));
      ProposeAll(entries.Tick(state, clock.Now()));
    }
    const Instant now = clock.Now();
    if (now - pingedAt < kPingInterval) {
      return;
    }
    pingedAt = now;
    if (IsFresh()) {
      freshAt = now;
      feed.Ping(ControlHosts(), Duration::zero());
    } else {
      // Told by a close, subscribers go elsewhere at once; by silence alone,
      // each host that is cut off would cost them 700 ms.
      feed.CloseAll();
    }
    if (now - reportedAt >= kReportInterval) {
      reportedAt = now;
      Report();
    }
  }

  /// Whether this host is sure to have the newest state, but for messages that
  /// are under way.
  bool IsFresh() const
  {
    return driver->IsLeader() ? LeadsSurely() : driver->FollowsUpToDate();
  }

  std::vector<std::string> ControlHosts() const
  {
    std::vector<std::string> hosts;
    for (const auto& member : driver->Status().members) {
      hosts.push_back(member.member.name.value);
    }
    return hosts;
  }

  // Messages of other hosts.

  void OnFrame(const net::FrameMesh::Connection& aConnection,
               std::string_view aMessage)
  {
    wire::GatewayFrame frame;
    if (!frame.ParseFromArray(aMessage.data(),
                              static_cast<int>(aMessage.size()))) {
      Info() << "a message between hosts can't be read; the connection ends";
      aConnection->Close();
      return;
    }
    switch (frame.body_case()) {
      case wire::GatewayFrame::kConsensus:
        driver->Receive({}, frame.consensus());
        return;
      case wire::GatewayFrame::kFeedOpen:
        OnFeedOpen(aConnection, frame.feed_open());
        return;
      case wire::GatewayFrame::kFeedReport:
        OnFeedReport(aConnection, frame.feed_report());
        return;
      case wire::GatewayFrame::kHostReport:
        OnHostReport(frame.host_report());
        return;
      case wire::GatewayFrame::kForwardedCall:
        OnForwardedCall(frame.forwarded_call());
        return;
      case wire::GatewayFrame::kForwardedAnswer:
        OnForwardedAnswer(frame.forwarded_answer());
        return;
      default:
        return;
    }
  }

  void OnFeedOpen(const net::FrameMesh::Connection& aConnection,
                  const wire::FeedOpen& aOpen)
  {
    if (IsFresh()) {
      feed.Open(aConnection, aOpen);
      feed.Ping(ControlHosts(), Duration::zero());
    } else if (IsHopeful()) {
      parked.emplace_back(aConnection, aOpen);
      WatchParked();
    } else {
      aConnection->Close();
    }
  }

  /// @return whether it may be sure of its state soon. A host that has lost its
  /// disk needs longer: it must be made a member again first.
  bool IsHopeful() const
  {
    return state.Applied().value > 0 && clock.Now() - freshAt < kHopeful;
  }

  /// Safeguard: after all hosts were down, entries find control hosts before
  /// there is a leader. Sent away they come back some 150 ms later, and serve
  /// nobody meanwhile; kept, they get the state in the moment in which it is
  /// known to be the newest.
  void WatchParked()
  {
    parkedTimer.expires_after(kParkedCheck);
    parkedTimer.async_wait([self = weak_from_this()](auto aError) {
      const auto host = self.lock();
      if (host && !aError && !host->stopping) {
        host->OnParked();
      }
    });
  }

  void OnParked()
  {
    const bool fresh = IsFresh();
    if (!fresh && IsHopeful()) {
      WatchParked();
      return;
    }
    for (const auto& [connection, open] : std::exchange(parked, {})) {
      if (fresh) {
        feed.Open(connection, open);
      } else {
        connection->Close();
      }
    }
    if (fresh) {
      feed.Ping(ControlHosts(), Duration::zero());
    }
  }

  void OnFeedReport(const net::FrameMesh::Connection& aConnection,
                    const wire::FeedReport& aReport)
  {
    if (aReport.leaving()) {
      feed.Leave(aConnection);
    }
    waitingReport.mutable_loads()->MergeFrom(aReport.loads());
    waitingReport.mutable_times()->MergeFrom(aReport.times());
    waitingReport.mutable_entries()->MergeFrom(aReport.entries());
  }

  void OnHostReport(const wire::HostReport& aReport)
  {
    if (!driver->IsLeader()) {
      return;
    }
    for (const wire::RangeLoad& load : aReport.loads()) {
      granter.AddLoad(load);
    }
    for (const wire::InstanceTime& time : aReport.times()) {
      granter.NoteTime(time.instance(), time.seconds());
    }
    for (const wire::EntryMember& entry : aReport.entries()) {
      entries.Seen(entry, clock.Now());
    }
  }

  /// Tells the leader what this host's subscribers have reported.
  void Report()
  {
    const auto leader = driver->LeaderHint();
    for (const wire::EntryMember& entry : feed.Entries()) {
      *waitingReport.add_entries() = entry;
    }
    const wire::HostReport report = std::exchange(waitingReport, {});
    if (driver->IsLeader()) {
      OnHostReport(report);
    } else if (leader) {
      wire::GatewayFrame frame;
      *frame.mutable_host_report() = report;
      mesh->Send(*leader, frame.SerializeAsString());
    }
  }

  // Calls of upstreams and operators.

  static asio::awaitable<CallAnswer> HandleWeak(std::weak_ptr<Impl> aSelf,
                                                CallRequest aCall)
  {
    const auto self = aSelf.lock();
    if (!self) {
      co_return CallAnswer{ kUnavailable, "", "application/json" };
    }
    const Instant arrived = self->clock.Now();
    CallAnswer answer = co_await self->Handle(std::move(aCall));
    self->metrics.Count("calls",
                        "status=\"" + std::to_string(answer.status) + "\"");
    self->metrics.Observe("call", self->clock.Now() - arrived);
    co_return answer;
  }

  asio::awaitable<CallAnswer> Handle(CallRequest aCall)
  {
    if (driver->IsLeader()) {
      co_return co_await HandleAsLeader(aCall);
    }
    const auto leader = driver->LeaderHint();
    if (!leader || *leader == self) {
      co_return Unavailable("No control host leads at the moment.");
    }
    const uint64_t id = ++lastCall;
    auto awaited = std::make_shared<Awaited<CallAnswer>>(executor);
    forwarded[id] = awaited;
    wire::GatewayFrame frame;
    wire::ForwardedCall* call = frame.mutable_forwarded_call();
    call->set_id(id);
    call->set_reply_to(self.value);
    call->set_method(aCall.method);
    call->set_target(aCall.target);
    call->set_body(aCall.body);
    mesh->Send(*leader, frame.SerializeAsString());
    co_await awaited->timer.async_wait(kAwait);
    forwarded.erase(id);
    co_return awaited->value.value_or(
      Unavailable("The leader does not answer."));
  }

  void OnForwardedCall(const wire::ForwardedCall& aCall)
  {
    asio::co_spawn(
      executor, AnswerForwarded(shared_from_this(), aCall), asio::detached);
  }

  static asio::awaitable<void> AnswerForwarded(std::shared_ptr<Impl> aSelf,
                                               wire::ForwardedCall aCall)
  {
    CallAnswer answer = aSelf->Unavailable("This host does not lead.");
    if (aSelf->driver->IsLeader()) {
      const CallRequest request{ aCall.method(), aCall.target(), aCall.body() };
      answer = co_await aSelf->HandleAsLeader(request);
    }
    wire::GatewayFrame frame;
    wire::ForwardedAnswer* reply = frame.mutable_forwarded_answer();
    reply->set_id(aCall.id());
    reply->set_status(answer.status);
    reply->set_body(answer.body);
    aSelf->mesh->Send(HostName{ aCall.reply_to() }, frame.SerializeAsString());
  }

  void OnForwardedAnswer(const wire::ForwardedAnswer& aAnswer)
  {
    const auto found = forwarded.find(aAnswer.id());
    if (found != forwarded.end()) {
      CallAnswer answer;
      answer.status = aAnswer.status();
      answer.body = aAnswer.body();
      found->second->Set(std::move(answer));
    }
  }

  void CountNotTaken(const Error& aError)
  {
    metrics.Count("messages_not_taken",
                  "code=\"" + std::string(Describe(aError.code).name) + "\"");
  }

  /// A message of another writer, or of an earlier life.
  CallAnswer NotTaken(std::string_view aCall,
                      const std::string& aInstance,
                      const Error& aError)
  {
    CountNotTaken(aError);
    Info() << "takes no " << aCall << " of " << aInstance.substr(0, kLoggedId)
           << ": " << aError.message;
    return Refused(aError);
  }

  CallAnswer Refused(const Error& aError) const
  {
    return { StatusOf(aError), dialect.Encode(aError), "application/json" };
  }

  CallAnswer Unavailable(std::string aText) const
  {
    return Refused(Error{ Code::NoQuorum, std::move(aText) });
  }

  asio::awaitable<CallAnswer> HandleAsLeader(const CallRequest& aCall)
  {
    Result<ControlCall> call =
      dialect.Decode(aCall.method, aCall.target, aCall.body);
    if (!call) {
      CountNotTaken(call.error());
      Info() << "refuses " << aCall.method << " "
             << aCall.target.substr(0, kLoggedTarget) << ": "
             << call.error().message;
      co_return Refused(call.error());
    }
    if (const auto* heartbeat = std::get_if<Heartbeat>(&*call)) {
      co_return co_await OnCall(*heartbeat);
    }
    if (const auto* leaving = std::get_if<Deregistration>(&*call)) {
      co_return co_await OnCall(*leaving);
    }
    if (const auto* change = std::get_if<wire::ChangeItems>(&*call)) {
      co_return co_await OnCall(*change);
    }
    co_return OnRead();
  }

  /// Commits commands together.
  /// @return the first failure of the log; what the state refuses is none.
  asio::awaitable<Result<void>> Commit(
    std::vector<wire::GatewayCommand> aCommands)
  {
    Result<void> last;
    for (const wire::GatewayCommand& command : aCommands) {
      last = co_await Propose(command);
      const bool logged = last ||
                          last.error().code == Code::UpstreamSuperseded ||
                          last.error().code == Code::RevisionConflict ||
                          last.error().code == Code::UnknownUpstream;
      if (!logged) {
        co_return last;
      }
    }
    co_return Result<void>{};
  }

  /// Keys on their way to the instance are told of in this answer rather than
  /// in the next, a heartbeat interval later.
  asio::awaitable<void> AwaitKeys(const Heartbeat& aHeartbeat)
  {
    const Instant now = clock.Now();
    if (!LeadsSurely() || !granter.AwaitsKeys(aHeartbeat, state, now)) {
      co_return;
    }
    auto freed = std::make_shared<asio::steady_timer>(executor, kKeysAwaited);
    keyWaiters.push_back(freed);
    co_await freed->async_wait(kAwait);
  }

  /// Keys have become free: answers that wait for some go on.
  void WakeKeyWaiters()
  {
    for (const auto& waiter : std::exchange(keyWaiters, {})) {
      if (const auto timer = waiter.lock()) {
        timer->cancel();
      }
    }
  }

  asio::awaitable<CallAnswer> OnCall(const Heartbeat& aHeartbeat)
  {
    const Instant arrived = clock.Now();
    if (Result<void> checked = granter.Check(aHeartbeat, state); !checked) {
      co_return NotTaken("heartbeat", aHeartbeat.instance, checked.error());
    }
    std::vector<wire::GatewayCommand> due =
      granter.OnHeartbeat(aHeartbeat, state, arrived);
    for (const wire::GatewayCommand& command : due) {
      Info() << "heartbeat " << aHeartbeat.sequence << " of "
             << aHeartbeat.instance << ": " << command.ShortDebugString();
    }
    Result<void> committed = co_await Commit(std::move(due));
    co_await AwaitKeys(aHeartbeat);
    for (int attempt = 0; committed && attempt < kGrantAttempts; ++attempt) {
      const auto grant = granter.PlanGrant(aHeartbeat, state, clock.Now());
      if (!grant) {
        break;
      }
      const Result<void> granted = co_await Propose(*grant);
      if (granted) {
        Info() << "grants " << grant->ShortDebugString();
        break;
      }
      if (granted.error().code != Code::RevisionConflict) {
        committed = granted;
      }
    }
    if (!committed) {
      co_return Refused(committed.error());
    }
    // Safeguard: while the commands were committed, this host may have stood
    // still and another may lead by now. An answer would renew keys that the
    // other has given away.
    if (!LeadsSurely()) {
      co_return Unavailable("This host may not lead any more.");
    }
    HeartbeatAnswer answer;
    answer.grants = granter.Renew(aHeartbeat, state, arrived);
    answer.heartbeatAddress = ToString(*settings.calls);
    co_return CallAnswer{ kOk, dialect.Encode(answer), "application/json" };
  }

  asio::awaitable<CallAnswer> OnCall(const Deregistration& aLeaving)
  {
    const auto command = granter.OnDeregistration(aLeaving, state);
    if (!command) {
      co_return NotTaken("deregistration", aLeaving.instance, command.error());
    }
    const Result<void> ended = co_await Propose(*command);
    Info() << "instance " << aLeaving.instance << " life " << aLeaving.life
           << " leaves";
    co_return ended ? CallAnswer{ kOk, "{}", "application/json" }
                    : Refused(ended.error());
  }

  asio::awaitable<CallAnswer> OnCall(const wire::ChangeItems& aChange)
  {
    if (Result<void> allowed = state.Items().Check(aChange); !allowed) {
      Info() << "refuses a change: " << allowed.error().message;
      co_return Refused(allowed.error());
    }
    wire::GatewayCommand command;
    *command.mutable_change_items() = aChange;
    const Result<void> changed = co_await Propose(command);
    if (!changed) {
      Info() << "refuses a change: " << changed.error().message;
      co_return Refused(changed.error());
    }
    co_return CallAnswer{ kOk, "{}", "application/json" };
  }

  CallAnswer OnRead() const
  {
    if (!LeadsSurely() || state.Items().IsEmpty()) {
      return Unavailable("There is no configuration to tell of yet.");
    }
    wire::GatewayState items;
    state.Items().Save(items);
    return { kOk, dialect.EncodeItems(items), "application/json" };
  }

  const asio::any_io_executor executor;
  const Settings settings;
  const Dialect& dialect;
  const Clock& clock;
  const uint64_t seed;
  const HostName self;
  State state;
  Granter granter;
  FeedServer feed;
  asio::steady_timer ticker;
  std::unique_ptr<net::FrameMesh> mesh;
  std::unique_ptr<consensus::Driver> driver;
  std::unique_ptr<CallServer> calls;
  std::unique_ptr<CallServer> metricsServer;
  Metrics metrics;
  std::deque<std::pair<LogIndex, Result<void>>> outcomes;
  std::map<uint64_t, std::shared_ptr<Awaited<CallAnswer>>> forwarded;
  uint64_t lastCall = 0;
  std::vector<std::weak_ptr<asio::steady_timer>> keyWaiters;
  wire::HostReport waitingReport;
  EntryRegistry entries;
  Instant pingedAt{};
  Instant reportedAt{};
  /// Entries that wait for this host to be sure of its state.
  std::vector<std::pair<net::FrameMesh::Connection, wire::FeedOpen>> parked;
  asio::steady_timer parkedTimer;
  /// When it was last sure of its state, or started.
  Instant freshAt{};
  bool stopping = false;
};

ControlHost::ControlHost(asio::io_context& aContext,
                         const Settings& aSettings,
                         const Dialect& aDialect,
                         const Clock& aClock,
                         uint64_t aSeed)
  : mImpl(std::make_shared<Impl>(aContext, aSettings, aDialect, aClock, aSeed))
{
}

ControlHost::~ControlHost() = default;

Result<void>
ControlHost::Start()
{
  return mImpl->Start();
}

void
ControlHost::Stop(std::function<void()> aDone)
{
  mImpl->Stop(std::move(aDone));
}

} // namespace rattandyke::gateway
