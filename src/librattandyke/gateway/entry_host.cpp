#include "gateway/entry_host.h"

#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "gateway/caller_server.h"
#include "gateway/feed_client.h"
#include "gateway/feed_server.h"
#include "gateway/http_server.h"
#include "gateway/request_handler.h"
#include "log/log.h"
#include "net/frame_mesh.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;

constexpr double kBytesPerMbit = 1e6 / 8;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

/// The sweep's interval is the error of the idle timeouts.
constexpr milliseconds kSweepInterval{ 200 };
/// Busy keys change within seconds, and a holder that is overrun refuses half
/// of what comes until they are moved; twice as often as heartbeats come is
/// soon enough.
constexpr milliseconds kReportInterval{ 200 };
/// Above this age of its own state an entry assures no other of it.
constexpr milliseconds kRelayedAge{ 600 };
/// A balancer asks once a second and takes a host out after two misses; until
/// then it sends new connections.
constexpr milliseconds kLeaveRotation{ 2600 };
/// Kept of the time before the process is killed: for its end, on a part of a
/// core.
constexpr milliseconds kGraceMargin{ 300 };

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
    , sweeper(executor)
    , feed(
        executor,
        { SelfOf(aSettings), aSettings.seeds },
        [this](const wire::GatewayCommand* aCommand) {
          OnStateChanged(aCommand);
        },
        aClock,
        aSeed)
    , relay(feed.CurrentState(), FeedServer::WhileAlone::Forget)
    , desk(
        executor,
        ToString(aSettings.AdvertisedAddress()),
        aSeed,
        [this](const HostName& aTo, const wire::GatewayFrame& aFrame) {
          const std::string bytes = aFrame.SerializeAsString();
          handler.RecordSent(bytes.size());
          mesh->Send(aTo, bytes);
        },
        aClock,
        aSeed,
        UpstreamSet::Options{ aSettings.drainTimeout,
                              aSettings.evacuationTimeout,
                              aSettings.coldFactor,
                              aSettings.coldSlack,
                              ToString(aSettings.AdvertisedAddress()),
                              aSettings.dataCentre },
        [this] { return feed.StateAge(); })
    , handler(executor,
              { aSettings.dataCentre,
                aSettings.retryRatio,
                aSettings.retrySlack,
                aSettings.linkMbits * kBytesPerMbit },
              feed,
              desk,
              aDialect,
              aClock)
    , callers(executor, handler, aClock)
    , slotTicker(executor)
  {
  }

  static wire::EntryMember SelfOf(const Settings& aSettings)
  {
    wire::EntryMember self;
    self.set_address(ToString(aSettings.AdvertisedAddress()));
    self.set_data_centre(aSettings.dataCentre.value);
    return self;
  }

  void OnStateChanged(const wire::GatewayCommand* aCommand)
  {
    if (aCommand == nullptr) {
      desk.StateChanged(feed.CurrentState());
    } else {
      desk.StateChanged(feed.CurrentState(), *aCommand);
    }
    handler.StateChanged(aCommand);
    if (aCommand == nullptr) {
      relay.Reset();
    } else {
      relay.AppliedIndex(*aCommand, feed.CurrentState().AppliedIndex());
      relay.Flush();
    }
  }

  void OnFrame(const net::FrameMesh::Connection& aConnection,
               std::string_view aMessage)
  {
    wire::GatewayFrame frame;
    if (!frame.ParseFromArray(aMessage.data(),
                              static_cast<int>(aMessage.size()))) {
      log::Line(log::Part::Net, log::Severity::Warning)
        << "a message between hosts can't be read; the connection ends";
      aConnection->Close();
    } else if (frame.has_slot_ask()) {
      desk.OnSlotRequest(frame.slot_ask());
    } else if (frame.has_slot_answer()) {
      desk.OnSlotAnswer(frame.slot_answer());
    } else if (frame.has_slot_done()) {
      desk.OnSlotRelease(frame.slot_done());
    } else if (frame.has_feed_open()) {
      OnRelayOpen(aConnection, frame.feed_open());
    } else if (frame.has_feed_report()) {
      OnRelayedReport(aConnection, frame.feed_report());
    }
  }

  void OnRelayOpen(const net::FrameMesh::Connection& aConnection,
                   const wire::FeedOpen& aOpen)
  {
    if (stopping || feed.StateAge() >= kRelayedAge) {
      aConnection->Close();
      return;
    }
    relay.Open(aConnection, aOpen);
    relay.Ping(aConnection, feed.ControlHosts(), feed.StateAge());
  }

  /// Passes on what an entry that subscribes here reports.
  void OnRelayedReport(const net::FrameMesh::Connection& aConnection,
                       wire::FeedReport aReport)
  {
    if (aReport.leaving()) {
      relay.Leave(aConnection);
      aReport.set_leaving(false);
    }
    feed.Report(aReport);
  }

  void TickSlots()
  {
    slotTicker.expires_after(SlotBroker::kTick);
    slotTicker.async_wait([self = weak_from_this()](ErrorCode aError) {
      const auto host = self.lock();
      if (host && !aError) {
        host->desk.Tick();
        host->TickSlots();
      }
    });
  }

  Result<void> Start()
  {
    mesh = std::make_unique<net::FrameMesh>(
      executor,
      settings.peers,
      net::FrameMesh::Handlers{
        [this](const auto& aConnection, std::string_view aMessage) {
          OnFrame(aConnection, aMessage);
        },
        [this](const auto& aConnection) { relay.Close(aConnection); } });
    if (Result<void> started = mesh->Start(); !started) {
      return started;
    }
    const auto open = callers.Start(*settings.callers, shared_from_this());
    if (!open) {
      return tl::unexpected(open.error());
    }
    if (settings.readiness) {
      readiness = std::make_unique<HttpServer>(
        executor,
        *settings.readiness,
        settings.MaxCallConnections(),
        [self = weak_from_this()](HttpRequest aCall) {
          return AnswerReadiness(self, std::move(aCall));
        });
      if (Result<void> started = readiness->Start(); !started) {
        return started;
      }
    }
    if (settings.metrics) {
      metrics = std::make_unique<HttpServer>(
        executor,
        *settings.metrics,
        settings.MaxCallConnections(),
        [self = weak_from_this()](HttpRequest aCall) {
          return AnswerMetrics(self, std::move(aCall));
        });
      if (Result<void> started = metrics->Start(); !started) {
        return started;
      }
    }
    feed.Start();
    Sweep();
    TickSlots();
    return {};
  }

  bool IsReady() const
  {
    return !stopping && feed.HasState() &&
           !feed.CurrentState().Items().IsEmpty();
  }

  static asio::awaitable<HttpResponse> AnswerReadiness(
    std::weak_ptr<Impl> aSelf,
    HttpRequest aCall)
  {
    const auto self = aSelf.lock();
    if (self && !self->dialect.IsReadinessPath(aCall.target)) {
      co_return HttpResponse{ kNotFound,
                              "only readiness is asked here\n",
                              "text/plain" };
    }
    const bool ready = self && self->IsReady();
    co_return HttpResponse{ ready ? kOk : kUnavailable,
                            ready ? "ready\n" : "not ready\n",
                            "text/plain" };
  }

  static asio::awaitable<HttpResponse> AnswerMetrics(std::weak_ptr<Impl> aSelf,
                                                     HttpRequest aCall)
  {
    const auto self = aSelf.lock();
    co_return HttpResponse{ self ? kOk : kUnavailable,
                            self ? self->handler.MetricsPage() : std::string(),
                            "text/plain" };
  }

  void Sweep()
  {
    sweeper.expires_after(kSweepInterval);
    sweeper.async_wait([self = weak_from_this()](ErrorCode aError) {
      const auto host = self.lock();
      if (host && !aError) {
        host->OnSweep();
        host->Sweep();
      }
    });
  }

  void OnSweep()
  {
    const Instant now = clock.Now();
    callers.Sweep(now);
    handler.Sweep();
    if (!stopping && feed.StateAge() < kRelayedAge) {
      relay.Ping(feed.ControlHosts(), feed.StateAge());
    } else {
      relay.CloseAll();
    }
    if (now - reportedAt >= kReportInterval) {
      reportedAt = now;
      wire::FeedReport report = handler.TakeLoadReport();
      report.set_leaving(stopping);
      for (const wire::EntryMember& entry : relay.Entries()) {
        *report.add_entries() = entry;
      }
      feed.Report(report);
    }
    if (stopping) {
      OnStopping(now);
    }
  }

  void OnStopping(Instant aNow)
  {
    if (aNow - stoppedAt >= kLeaveRotation) {
      callers.Close();
    }
    // Safeguard: the process ends under what has not ended by then, and its
    // callers would get resets, which tell them nothing. One sweep is time for
    // the answers to be written.
    const Duration left = stoppedAt + settings.shutdownGrace - aNow;
    const bool late = left <= kGraceMargin && lastCalled;
    if (left <= kGraceMargin + kSweepInterval) {
      callers.ExpireRequests();
      lastCalled = true;
    }
    const bool idle = callers.IsClosed();
    if ((late || idle) && done) {
      feed.Stop();
      sweeper.cancel();
      slotTicker.cancel();
      mesh->Stop();
      std::exchange(done, nullptr)();
    }
  }

  void Stop(std::function<void()> aDone)
  {
    stopping = true;
    callers.Stop();
    stoppedAt = clock.Now();
    done = std::move(aDone);
    wire::FeedReport report;
    report.set_leaving(true);
    feed.Report(report);
  }

  const asio::any_io_executor executor;
  Settings settings;
  const Dialect& dialect;
  const Clock& clock;
  asio::steady_timer sweeper;
  std::unique_ptr<net::FrameMesh> mesh;
  FeedClient feed;
  FeedServer relay;
  SlotCoordinator desk;
  RequestHandler handler;
  CallerServer callers;
  asio::steady_timer slotTicker;
  std::unique_ptr<HttpServer> readiness;
  std::unique_ptr<HttpServer> metrics;
  Instant reportedAt{};
  bool stopping = false;
  /// Requests have been told that the host ends.
  bool lastCalled = false;
  Instant stoppedAt{};
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
