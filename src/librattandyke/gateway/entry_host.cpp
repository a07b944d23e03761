#include "gateway/entry_host.h"

#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "base/machine_memory.h"
#include "base/memory_budget.h"
#include "gateway/caller_server.h"
#include "gateway/demand_wire.h"
#include "gateway/feed_client.h"
#include "gateway/feed_server.h"
#include "gateway/http_server.h"
#include "gateway/request_handler.h"
#include "gateway/upstream_options.h"
#include "log/log.h"
#include "net/frame_mesh.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;

constexpr double kBytesPerMbit = 1e6 / 8;
constexpr double kBytesPerMb = 1e6;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

/// Interval of the periodic work. Idle timeouts end late by up to this much.
constexpr milliseconds kSweepInterval{ 200 };
/// Interval of load reports. It is shorter than the default interval of
/// heartbeats, 1 s: hot keys change within seconds, and an overloaded owner
/// refuses half of its requests until they are moved to another instance.
constexpr milliseconds kReportInterval{ 200 };
/// Shortest time between two reports of rests.
constexpr milliseconds kRestReportInterval{ 100 };
/// Shortest time between two reports of requests that may crash upstreams.
constexpr milliseconds kCrashReportInterval{ 50 };
/// Above this age of its own state, an entry host sends no pings and closes the
/// connections of its subscribers.
constexpr milliseconds kMaxRelayedAge{ 600 };
/// Time for which a load balancer may still send new connections. It checks
/// readiness once per second and removes a host after two failures.
constexpr milliseconds kBalancerDelay{ 2600 };
/// The part of the shutdown grace that is reserved for the process's exit on a
/// fraction of a core. After the grace the process is killed.
constexpr milliseconds kExitMargin{ 300 };

/// Interval of the log line about the link's traffic.
constexpr std::chrono::seconds kLinkReportInterval{ 1 };
/// Share of the link's bandwidth from which on its traffic is logged.
constexpr double kLoggedLinkShare = 0.5;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

} // namespace

struct EntryHost::Impl : std::enable_shared_from_this<EntryHost::Impl>
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
    , sweepTimer(executor)
    , linkMeter(aClock.Now())
    , bodies(
        MemoryForBodies(static_cast<size_t>(aSettings.memoryMb * kBytesPerMb),
                        MachineMemory()))
    , feed(
        executor,
        { MemberOf(aSettings),
          aSettings.seeds,
          &linkMeter,
          [this](uint64_t aId) { handler.OnProbeReply(aId); },
          [this](const wire::DemandDigest& aDigest) {
            OnDemandDigest(aDigest);
          },
          [this](const wire::UpstreamRests& aRests) { RestoreRests(aRests); },
          [this] {
            demandMetrics.Increment("unreadable", "what=\"feed message\"");
          } },
        [this](const wire::GatewayCommand* aCommand) {
          OnStateChanged(aCommand);
        },
        aClock,
        aSeed)
    , relay(feed.CurrentState(), FeedServer::IdleHistory::Discard, &linkMeter)
    , slots(
        executor,
        ToString(aSettings.AdvertisedAddress()),
        aSeed,
        [this](const HostName& aTo, const wire::GatewayFrame& aFrame) {
          const std::string bytes = aFrame.SerializeAsString();
          handler.RecordSent(bytes.size());
          RecordSlotTraffic(
            aFrame, scheduling::LinkDirection::Out, bytes.size());
          mesh->Send(aTo, bytes);
        },
        aClock,
        aSeed,
        UpstreamOptions(aSettings),
        [this] { return feed.StateAge(); },
        DispatchPolicyOf(aSettings, demand, aSeed))
    , handler(
        executor,
        { ToString(aSettings.AdvertisedAddress()),
          aSettings.dataCentre,
          aSettings.retryRatio,
          aSettings.retrySlack,
          aSettings.linkMbits * kBytesPerMbit,
          aSettings.linkAdmission,
          aSeed,
          aSettings.sharedDemand },
        feed,
        slots,
        aDialect,
        linkMeter,
        bodies,
        [this](const HostName& aTo, const wire::GatewayFrame& aFrame) {
          return SendToRelay(aTo, aFrame);
        },
        aClock)
    , callers(executor, handler, bodies, aClock)
    , slotTimer(executor)
  {
  }

  static scheduling::DispatchPolicy DispatchPolicyOf(
    const Settings& aSettings,
    const scheduling::DemandView& aDemand,
    uint64_t aSeed)
  {
    if (aSettings.dispatch == Dispatch::Demand) {
      return scheduling::DemandDispatch(aDemand, aSeed);
    }
    return scheduling::CoordinatedDispatch();
  }

  /// The bandwidth is stated only by hosts whose setting is `capacity`. All
  /// hosts derive the allocators from what the state contains, so while the
  /// setting differs between hosts, none allocates by capacity.
  static wire::EntryMember MemberOf(const Settings& aSettings)
  {
    wire::EntryMember self;
    self.set_address(ToString(aSettings.AdvertisedAddress()));
    self.set_data_centre(aSettings.dataCentre.value);
    if (aSettings.slotAllocators == SlotAllocators::Capacity) {
      self.set_link_mbits(aSettings.linkMbits);
    }
    return self;
  }

  /// Updates the slot coordinator, the request handler and the relay.
  void OnStateChanged(const wire::GatewayCommand* aCommand)
  {
    if (aCommand == nullptr) {
      slots.StateChanged(feed.CurrentState());
    } else {
      slots.StateChanged(feed.CurrentState(), *aCommand);
    }
    handler.StateChanged(aCommand);
    if (aCommand == nullptr) {
      relay.OnStateReplaced();
    } else {
      relay.Publish(*aCommand, feed.CurrentState().AppliedIndex());
      relay.Flush();
    }
  }

  void OnFrame(const net::FrameMesh::Connection& aConnection,
               std::string_view aMessage)
  {
    wire::GatewayFrame frame;
    if (!frame.ParseFromArray(aMessage.data(),
                              static_cast<int>(aMessage.size()))) {
      demandMetrics.Increment("unreadable", "what=\"message\"");
      log::Line(log::Part::Net, log::Severity::Warning)
        << "a message of " << aMessage.size()
        << " bytes between hosts can't be read; the connection ends";
      aConnection->Close();
      return;
    }
    RecordSlotTraffic(frame, scheduling::LinkDirection::In, aMessage.size());
    if (frame.has_feed_open() || frame.has_feed_report() ||
        frame.has_upstream_rests() || frame.has_crash_reports()) {
      linkMeter.Record(scheduling::LinkUse::Feed,
                       scheduling::LinkDirection::In,
                       aMessage.size());
    }
    if (frame.has_slot_ask()) {
      slots.OnSlotRequest(frame.slot_ask());
    } else if (frame.has_slot_answer()) {
      slots.OnSlotAnswer(frame.slot_answer());
    } else if (frame.has_slot_done()) {
      slots.OnSlotRelease(frame.slot_done());
    } else if (frame.has_feed_open()) {
      OnFeedOpen(aConnection, frame.feed_open());
    } else if (frame.has_feed_report()) {
      OnFeedReport(aConnection, frame.feed_report());
    } else if (frame.has_upstream_rests()) {
      feed.ReportRests(frame.upstream_rests());
    } else if (frame.has_crash_reports()) {
      feed.ReportCrashes(frame.crash_reports());
    } else {
      OnRelayFrame(aConnection, std::move(frame), aMessage.size());
    }
  }

  /// Sends a message to a host that relays requests for this one.
  bool SendToRelay(const HostName& aTo, const wire::GatewayFrame& aFrame)
  {
    const std::string bytes = aFrame.SerializeAsString();
    handler.RecordSent(bytes.size());
    handler.RecordRelayMessage(scheduling::LinkUse::Upstreams,
                               scheduling::LinkDirection::Out,
                               bytes.size());
    return mesh->Send(aTo, bytes);
  }

  /// Handles a message of a host that this one relays requests for, or of a
  /// host that relays requests for this one.
  void OnRelayFrame(const net::FrameMesh::Connection& aConnection,
                    wire::GatewayFrame aFrame,
                    size_t aBytes)
  {
    const bool isReply =
      aFrame.has_relay_answer() || aFrame.has_relayed_response();
    handler.RecordRelayMessage(isReply ? scheduling::LinkUse::Upstreams
                                       : scheduling::LinkUse::Callers,
                               scheduling::LinkDirection::In,
                               aBytes);
    RelayServer& relays = handler.Relays();
    if (aFrame.has_relay_ask()) {
      relays.OnAsk(aFrame.relay_ask(), ReplyOn(aConnection));
    } else if (aFrame.has_relayed_request()) {
      relays.OnRequest(aConnection.get(),
                       std::move(*aFrame.mutable_relayed_request()),
                       ReplyOn(aConnection));
    } else if (aFrame.has_relay_cancel()) {
      relays.OnCancel(aConnection.get(), aFrame.relay_cancel());
    } else if (aFrame.has_relay_answer()) {
      handler.Relayed().OnAnswer(aFrame.relay_answer());
    } else if (aFrame.has_relayed_response()) {
      handler.Relayed().OnResponse(
        std::move(*aFrame.mutable_relayed_response()));
    }
  }

  /// @return what sends a message back on a connection, unless it has ended.
  RelayServer::Reply ReplyOn(const net::FrameMesh::Connection& aConnection)
  {
    return [this, weak = std::weak_ptr(aConnection)](
             const wire::GatewayFrame& aFrame) {
      const auto connection = weak.lock();
      if (!connection) {
        return;
      }
      const std::string bytes = aFrame.SerializeAsString();
      handler.RecordSent(bytes.size());
      handler.RecordRelayMessage(scheduling::LinkUse::Callers,
                                 scheduling::LinkDirection::Out,
                                 bytes.size());
      connection->Send(bytes);
    };
  }

  /// Counts a message about slots. A SlotAnswer leaves the host that allocates
  /// slots; the other two messages arrive there.
  void RecordSlotTraffic(const wire::GatewayFrame& aFrame,
                         scheduling::LinkDirection aDirection,
                         size_t aBytes)
  {
    const bool answer = aFrame.has_slot_answer();
    if (!answer && !aFrame.has_slot_ask() && !aFrame.has_slot_done()) {
      return;
    }
    const bool allocates =
      answer == (aDirection == scheduling::LinkDirection::Out);
    linkMeter.Record(allocates ? scheduling::LinkUse::SlotsAllocated
                               : scheduling::LinkUse::SlotsRequested,
                     aDirection,
                     aBytes);
  }

  /// Logs the traffic of the last second if the link was busy.
  void ReportTraffic(Instant aNow)
  {
    if (aNow - linkReportedAt < kLinkReportInterval) {
      return;
    }
    linkReportedAt = aNow;
    const auto report = linkMeter.TakeReport(aNow);
    const double share = report.BusyShare(settings.linkMbits * kBytesPerMbit);
    if (share >= kLoggedLinkShare) {
      log::Line(log::Part::Net, log::Severity::Info)
        << "link traffic busy=" << share << ' ' << report.Text();
    }
  }

  /// Processes a digest and sends it to the relay's subscribers, unless it is
  /// not newer than the last one.
  void OnDemandDigest(const wire::DemandDigest& aMessage)
  {
    if (!settings.sharedDemand) {
      return;
    }
    scheduling::DemandDigest digest = ToDemandDigest(aMessage);
    if (!demand.IsNewer(digest)) {
      demandMetrics.Increment("demand_digests", "event=\"ignored\"");
      return;
    }
    demand.Apply(digest, clock.Now());
    demandMetrics.Increment("demand_digests", "event=\"applied\"");
    demandMetrics.Set("demand_owners_listed",
                      static_cast<double>(digest.owners.size()));
    digest.age = *demand.Age(clock.Now());
    relay.SendDemandDigest(ToMessage(digest));
  }

  /// Logs when the demand becomes known or unknown.
  void CheckDemand(Instant aNow)
  {
    const bool known = demand.IsFresh(aNow);
    if (known == demandKnown) {
      return;
    }
    demandKnown = known;
    const Duration age = demand.Age(aNow).value_or(Duration::zero());
    log::Line(log::Part::Entry, log::Severity::Info)
      << "demand of all entry hosts is " << (known ? "known" : "unknown")
      << " digest_age_ms="
      << std::chrono::duration_cast<milliseconds>(age).count();
  }

  /// @return the metrics of this host as a text page.
  std::string MetricsPage()
  {
    if (!settings.sharedDemand) {
      return handler.MetricsPage();
    }
    if (const auto age = demand.Age(clock.Now())) {
      demandMetrics.Set("demand_digest_age_seconds",
                        std::chrono::duration<double>(*age).count());
    }
    return handler.MetricsPage() + demandMetrics.PrometheusText();
  }

  /// Serves a subscriber of the relay, or closes its connection if this host is
  /// stopping or its state is too old.
  void OnFeedOpen(const net::FrameMesh::Connection& aConnection,
                  const wire::FeedOpen& aOpen)
  {
    if (stopping || feed.StateAge() >= kMaxRelayedAge) {
      aConnection->Close();
      return;
    }
    relay.Subscribe(aConnection, aOpen);
    relay.Ping(aConnection, feed.ControlHosts(), feed.StateAge());
  }

  /// Forwards the report of an entry host that subscribes to the relay.
  void OnFeedReport(const net::FrameMesh::Connection& aConnection,
                    wire::FeedReport aReport)
  {
    if (aReport.leaving()) {
      relay.MarkLeaving(aConnection);
      aReport.set_leaving(false);
    }
    feed.Report(aReport);
  }

  void RestoreRests(const wire::UpstreamRests& aRests)
  {
    slots.RestoreRests(aRests);
    log::Line(log::Part::Entry, log::Severity::Info)
      << "upstreams want no requests from this host, as control hosts have "
         "recorded rests="
      << aRests.rests_size();
  }

  /// Tells the control hosts the rests that upstreams have asked this host for.
  /// A control host that this host was not connected to before may not have
  /// got the last ones, and gets all.
  void ReportRests()
  {
    const auto connection = feed.ConfirmedConnection();
    const Instant now = clock.Now();
    if (!connection || now - restsReportedAt < kRestReportInterval) {
      return;
    }
    const bool isNew = restsConnection != connection;
    const wire::UpstreamRests rests = slots.TakeRests(isNew);
    restsConnection = connection;
    if (rests.rests_size() > 0) {
      restsReportedAt = now;
      feed.ReportRests(rests);
    }
  }

  /// Tells the control hosts of requests that may crash upstreams.
  void ReportCrashes()
  {
    const Instant now = clock.Now();
    if (!feed.ConfirmedConnection() ||
        now - crashesReportedAt < kCrashReportInterval) {
      return;
    }
    crashesReportedAt = now;
    const wire::CrashReports reports = handler.TakeCrashReports();
    if (reports.interrupted_size() > 0 || reports.answered_size() > 0) {
      feed.ReportCrashes(reports);
    }
  }

  void ScheduleSlotTick()
  {
    slotTimer.expires_after(SlotBroker::kTick);
    slotTimer.async_wait([self = weak_from_this()](ErrorCode aError) {
      const auto host = self.lock();
      if (host && !aError) {
        host->slots.Tick();
        host->handler.ProbeUpstreams();
        host->ProbeLink();
        host->ReportRests();
        host->ReportCrashes();
        host->ScheduleSlotTick();
      }
    });
  }

  /// Sends a probe of the link if one is due.
  void ProbeLink()
  {
    if (const auto id = handler.Tick(feed.ConfirmedConnection())) {
      feed.SendProbe(*id);
    }
  }

  Result<void> Start()
  {
    if (settings.slotAllocators == SlotAllocators::Capacity &&
        settings.linkMbits <= 0) {
      log::Line(log::Part::Entry, log::Severity::Warning)
        << "allocators = capacity has no effect in the deployment, since "
           "link_mbits of this host is not set";
    }
    mesh = std::make_unique<net::FrameMesh>(
      executor,
      settings.peers,
      net::FrameMesh::Handlers{
        [this](const auto& aConnection, std::string_view aMessage) {
          OnFrame(aConnection, aMessage);
        },
        [this](const auto& aConnection) {
          relay.Unsubscribe(aConnection);
          handler.Relays().OnClosed(aConnection.get());
        },
        [this](const HostName& aPeer, bool aWasConnected) {
          handler.Relayed().OnPeerLost(aPeer, aWasConnected);
        } });
    if (Result<void> started = mesh->Start(); !started) {
      return started;
    }
    const auto listening = callers.Start(*settings.callers, shared_from_this());
    if (!listening) {
      return tl::unexpected(listening.error());
    }
    if (settings.readiness) {
      readinessServer = std::make_unique<HttpServer>(
        executor,
        *settings.readiness,
        settings.MaxCallConnections(),
        [self = weak_from_this()](HttpRequest aCall) {
          return ServeReadiness(self, std::move(aCall));
        });
      if (Result<void> started = readinessServer->Start(); !started) {
        return started;
      }
    }
    if (settings.metrics) {
      metricsServer = std::make_unique<HttpServer>(
        executor,
        *settings.metrics,
        settings.MaxCallConnections(),
        [self = weak_from_this()](HttpRequest aCall) {
          return ServeMetrics(self, std::move(aCall));
        });
      if (Result<void> started = metricsServer->Start(); !started) {
        return started;
      }
    }
    feed.Start();
    ScheduleSweep();
    ScheduleSlotTick();
    return {};
  }

  bool IsReady() const
  {
    return !stopping && feed.HasState() &&
           !feed.CurrentState().Items().IsEmpty();
  }

  static asio::awaitable<HttpResponse> ServeReadiness(std::weak_ptr<Impl> aSelf,
                                                      HttpRequest aCall)
  {
    const auto self = aSelf.lock();
    if (self && !self->dialect.IsReadinessPath(aCall.target)) {
      co_return HttpResponse{ kNotFound,
                              "only the readiness path is served here\n",
                              "text/plain" };
    }
    const bool ready = self && self->IsReady();
    co_return HttpResponse{ ready ? kOk : kUnavailable,
                            ready ? "ready\n" : "not ready\n",
                            "text/plain" };
  }

  static asio::awaitable<HttpResponse> ServeMetrics(std::weak_ptr<Impl> aSelf,
                                                    HttpRequest aCall)
  {
    const auto self = aSelf.lock();
    co_return HttpResponse{ self ? kOk : kUnavailable,
                            self ? self->MetricsPage() : std::string(),
                            "text/plain" };
  }

  void ScheduleSweep()
  {
    sweepTimer.expires_after(kSweepInterval);
    sweepTimer.async_wait([self = weak_from_this()](ErrorCode aError) {
      const auto host = self.lock();
      if (host && !aError) {
        host->OnSweep();
        host->ScheduleSweep();
      }
    });
  }

  void OnSweep()
  {
    const Instant now = clock.Now();
    callers.Sweep(now);
    handler.Sweep();
    ReportTraffic(now);
    CheckDemand(now);
    if (!stopping && feed.StateAge() < kMaxRelayedAge) {
      relay.Ping(feed.ControlHosts(), feed.StateAge());
    } else {
      relay.CloseAll();
    }
    if (now - lastReportAt >= kReportInterval) {
      lastReportAt = now;
      wire::FeedReport report = handler.TakeLoadReport();
      report.set_leaving(stopping);
      for (const wire::EntryMember& entry : relay.ServingEntries()) {
        *report.add_entries() = entry;
      }
      feed.Report(report);
    }
    if (stopping) {
      ContinueStop(now);
    }
  }

  /// Advances the shutdown. Called by each sweep after Stop.
  void ContinueStop(Instant aNow)
  {
    if (aNow - stopRequestedAt >= kBalancerDelay) {
      callers.Close();
    }
    // The process exits at the end of the grace even if requests are left.
    // Their callers would get connection resets and not know whether the
    // requests ran. So those requests are answered one sweep earlier, which
    // leaves time to write the answers.
    const Duration graceLeft = stopRequestedAt + settings.shutdownGrace - aNow;
    const bool graceOver = graceLeft <= kExitMargin && requestsExpired;
    if (graceLeft <= kExitMargin + kSweepInterval) {
      callers.ExpireRequests();
      handler.Relays().CancelAll();
      requestsExpired = true;
    }
    const bool idle = callers.IsClosed() && handler.Relays().InProgress() == 0;
    if ((graceOver || idle) && done) {
      feed.Stop();
      sweepTimer.cancel();
      slotTimer.cancel();
      mesh->Stop();
      std::exchange(done, nullptr)();
    }
  }

  void Stop(std::function<void()> aDone)
  {
    stopping = true;
    callers.Stop();
    handler.Relays().Stop();
    stopRequestedAt = clock.Now();
    done = std::move(aDone);
    wire::FeedReport report;
    report.set_leaving(true);
    feed.Report(report);
  }

  const asio::any_io_executor executor;
  Settings settings;
  const Dialect& dialect;
  const Clock& clock;
  asio::steady_timer sweepTimer;
  scheduling::LinkMeter linkMeter;
  MemoryBudget bodies;
  /// Empty unless settings.sharedDemand.
  scheduling::DemandView demand;
  Metrics demandMetrics;
  /// The demand was known at the last sweep.
  bool demandKnown = false;
  Instant linkReportedAt{};
  std::unique_ptr<net::FrameMesh> mesh;
  FeedClient feed;
  /// Relays the feed to entry hosts that can't reach a control host.
  FeedServer relay;
  SlotCoordinator slots;
  RequestHandler handler;
  CallerServer callers;
  asio::steady_timer slotTimer;
  std::unique_ptr<HttpServer> readinessServer;
  std::unique_ptr<HttpServer> metricsServer;
  Instant lastReportAt{};
  /// Connection of the last report of rests, and its time.
  std::optional<uint64_t> restsConnection;
  Instant restsReportedAt{};
  Instant crashesReportedAt{};
  bool stopping = false;
  /// ExpireRequests has been called.
  bool requestsExpired = false;
  Instant stopRequestedAt{};
  std::function<void()> done;
};

EntryHost::EntryHost(asio::io_context& aContext,
                     const Settings& aSettings,
                     const Dialect& aDialect,
                     const Clock& aClock,
                     uint64_t aSeed)
  : mImpl(std::make_shared<Impl>(aContext, aSettings, aDialect, aClock, aSeed))
{
}

EntryHost::~EntryHost() = default;

Result<void>
EntryHost::Start()
{
  return mImpl->Start();
}

void
EntryHost::Reload(const Settings& aSettings)
{
  mImpl->feed.SetSeeds(aSettings.seeds);
}

void
EntryHost::Stop(std::function<void()> aDone)
{
  mImpl->Stop(std::move(aDone));
}

} // namespace rattandyke::gateway
