#include "gateway/entry_host.h"

#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include "base/endpoint.h"
#include "gateway/call_server.h"
#include "gateway/caller_connection.h"
#include "gateway/feed_client.h"
#include "gateway/feed_server.h"
#include "gateway/request_handler.h"
#include "http/headers.h"
#include "http/signal.h"
#include "log/log.h"
#include "net/frame_connection.h"
#include "net/frame_mesh.h"
#include "net/listen.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using http::kAwait;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

/// The sweep's interval is the error of the idle timeouts.
constexpr milliseconds kSweepInterval{ 200 };
/// Busy keys change within seconds, and a holder that is overrun refuses half
/// of what comes until they are moved; twice as often as heartbeats come is
/// soon enough.
constexpr milliseconds kReportInterval{ 200 };
/// Before the first configuration tells.
constexpr milliseconds kDefaultIdle{ 15000 };
/// Above this age of its own state an entry assures no other of it.
constexpr milliseconds kRelayedAge{ 600 };
constexpr uint32_t kDefaultHeaderBytes = 16384;
constexpr uint64_t kDefaultBodyBytes = uint64_t{ 64 } * 1024 * 1024;
/// A balancer asks once a second and takes a host out after two misses; until
/// then it sends new connections.
constexpr milliseconds kLeaveRotation{ 2600 };
/// Kept of the time before the process is killed: for its end, on a part of a
/// core.
constexpr milliseconds kGraceMargin{ 300 };
constexpr milliseconds kUnacknowledged{ 3000 };

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kHeadTooLarge = 431;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

std::string
Serialize(const CallerAnswer& aAnswer, bool aKeep, bool aHead)
{
  const auto reason = beast::http::obsolete_reason(
    static_cast<beast::http::status>(aAnswer.status));
  std::string text;
  text.reserve(aAnswer.fields.size() + aAnswer.body.size() + 128);
  text += "HTTP/1.1 " + std::to_string(aAnswer.status) + " ";
  text.append(reason.data(), reason.size());
  text += "\r\n";
  text += aAnswer.fields;
  const bool bodiless =
    aAnswer.status == kNoContent || aAnswer.status == kNotModified;
  if (!bodiless) {
    http::AppendField(
      text, "Content-Length", std::to_string(aAnswer.body.size()));
  }
  if (!aKeep) {
    http::AppendField(text, "Connection", "close");
  }
  text += "\r\n";
  if (!bodiless && !aHead) {
    text += aAnswer.body;
  }
  return text;
}

/// @return whether a command changes which upstreams there are, or who keeps
/// their slots.
bool
ChangesSlots(const wire::GatewayCommand& aCommand)
{
  const wire::ChangeItems& items = aCommand.change_items();
  return aCommand.has_put_instance() || aCommand.has_end_instance() ||
         aCommand.has_put_entry() || aCommand.has_drop_entry() ||
         items.services_size() > 0 || items.dropped_services_size() > 0;
}

} // namespace

struct EntryHost::Impl : std::enable_shared_from_this<EntryHost::Impl>
{
  using Connection = std::shared_ptr<CallerConnection>;

  Impl(asio::io_context& aContext,
       const Settings& aSettings,
       const Dialect& aDialect,
       const Clock& aClock,
       uint64_t aSeed)
    : executor(aContext.get_executor())
    , settings(aSettings)
    , dialect(aDialect)
    , clock(aClock)
    , acceptor(executor)
    , sweeper(executor)
    , feed(
        executor,
        { SelfOf(aSettings), aSettings.seeds },
        [this](const wire::GatewayCommand* aCommand) {
          OnStateChanged(aCommand);
        },
        aClock,
        aSeed)
    , relay(feed.Known())
    , desk(
        executor,
        ToString(aSettings.Self()),
        aSeed,
        [this](const HostName& aTo, const wire::GatewayFrame& aFrame) {
          mesh->Send(aTo, aFrame.SerializeAsString());
        },
        aClock,
        aSeed,
        aSettings.drainTimeout)
    , handler(
        executor,
        { aSettings.dataCentre, aSettings.retryRatio, aSettings.retrySlack },
        feed,
        desk,
        aDialect.Headers(),
        aClock)
    , slotTicker(executor)
  {
  }

  static wire::EntryMember SelfOf(const Settings& aSettings)
  {
    wire::EntryMember self;
    self.set_address(ToString(aSettings.Self()));
    self.set_data_centre(aSettings.dataCentre.value);
    return self;
  }

  void OnStateChanged(const wire::GatewayCommand* aCommand)
  {
    if (aCommand == nullptr || ChangesSlots(*aCommand)) {
      desk.StateChanged(feed.Known());
    }
    handler.StateChanged(aCommand);
    if (aCommand == nullptr) {
      relay.Reset();
    } else {
      relay.Applied(*aCommand, feed.Known().Applied());
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
      desk.OnAsk(frame.slot_ask());
    } else if (frame.has_slot_answer()) {
      desk.OnAnswer(frame.slot_answer());
    } else if (frame.has_slot_done()) {
      desk.OnDone(frame.slot_done());
    } else if (frame.has_feed_open()) {
      OnRelayOpen(aConnection, frame.feed_open());
    } else if (frame.has_feed_report()) {
      OnRelayedReport(aConnection, frame.feed_report());
    }
  }

  void OnRelayOpen(const net::FrameMesh::Connection& aConnection,
                   const wire::FeedOpen& aOpen)
  {
    if (stopping || feed.Age() >= kRelayedAge) {
      aConnection->Close();
      return;
    }
    relay.Open(aConnection, aOpen);
    relay.Ping(feed.ControlHosts(), feed.Age());
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
    const auto open = net::Listen(acceptor, *settings.callers, "callers");
    if (!open) {
      return tl::unexpected(open.error());
    }
    if (settings.readiness) {
      readiness = std::make_unique<CallServer>(
        executor,
        *settings.readiness,
        [self = weak_from_this()](CallRequest aCall) {
          return AnswerReadiness(self, std::move(aCall));
        });
      if (Result<void> started = readiness->Start(); !started) {
        return started;
      }
    }
    if (settings.metrics) {
      metrics = std::make_unique<CallServer>(
        executor,
        *settings.metrics,
        [self = weak_from_this()](CallRequest aCall) {
          return AnswerMetrics(self, std::move(aCall));
        });
      if (Result<void> started = metrics->Start(); !started) {
        return started;
      }
    }
    feed.Start();
    Accept();
    Sweep();
    TickSlots();
    return {};
  }

  bool IsReady() const
  {
    return !stopping && feed.HasState() && !feed.Known().Items().IsEmpty();
  }

  static asio::awaitable<CallAnswer> AnswerReadiness(std::weak_ptr<Impl> aSelf,
                                                     CallRequest aCall)
  {
    const auto self = aSelf.lock();
    if (self && !self->dialect.IsReadinessPath(aCall.target)) {
      co_return CallAnswer{ kNotFound,
                            "only readiness is asked here\n",
                            "text/plain" };
    }
    const bool ready = self && self->IsReady();
    co_return CallAnswer{ ready ? kOk : kUnavailable,
                          ready ? "ready\n" : "not ready\n",
                          "text/plain" };
  }

  static asio::awaitable<CallAnswer> AnswerMetrics(std::weak_ptr<Impl> aSelf,
                                                   CallRequest aCall)
  {
    const auto self = aSelf.lock();
    co_return CallAnswer{ self ? kOk : kUnavailable,
                          self ? self->handler.MetricsPage() : std::string(),
                          "text/plain" };
  }

  void Accept()
  {
    acceptor.async_accept(
      [self = shared_from_this()](ErrorCode aError, tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted ||
            !self->acceptor.is_open()) {
          return;
        }
        if (!aError) {
          self->Take(std::move(aSocket));
        }
        self->Accept();
      });
  }

  void Take(tcp::socket aSocket)
  {
    net::TuneSocket(aSocket, kUnacknowledged);
    auto connection =
      std::make_shared<CallerConnection>(std::move(aSocket), clock);
    connections.insert(connection);
    asio::co_spawn(
      executor, Serve(shared_from_this(), connection), asio::detached);
  }

  Duration IdleTimeout() const
  {
    const auto ms = feed.Known().Items().Limits().idle_timeout_ms();
    return ms == 0 ? Duration(kDefaultIdle) : Duration(milliseconds(ms));
  }

  static asio::awaitable<void> Serve(std::shared_ptr<Impl> aSelf,
                                     Connection aConnection)
  {
    bool keep = true;
    while (keep) {
      keep = co_await aSelf->ServeOne(aConnection);
    }
    aConnection->Close();
    aSelf->connections.erase(aConnection);
  }

  /// @return whether the connection is kept.
  asio::awaitable<bool> ServeOne(Connection aConnection)
  {
    CallerConnection::Parser parser;
    const wire::LimitsItem& limits = feed.Known().Items().Limits();
    parser.header_limit(limits.max_header_bytes() == 0
                          ? kDefaultHeaderBytes
                          : limits.max_header_bytes());
    parser.body_limit(limits.max_body_bytes() == 0 ? kDefaultBodyBytes
                                                   : limits.max_body_bytes());
    const ErrorCode unread = co_await aConnection->Read(parser, IdleTimeout());
    if (unread) {
      co_return co_await RefuseUnread(aConnection, unread);
    }
    auto& message = parser.get();
    const bool keep = message.keep_alive();
    CallerRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.hasBody = message.has_content_length() || message.chunked();
    request.body = std::move(message.body());
    request.fields = std::move(message.base());
    request.arrived = clock.Now();
    const bool head = request.method == "HEAD";
    auto context = std::make_shared<RequestContext>(executor);
    aConnection->Watch(context);
    CallerAnswer answer = co_await handler.Handle(context, std::move(request));
    if (context->HasLeft()) {
      co_return false;
    }
    aConnection->Unwatch();
    const bool keepOpen = keep && !stopping && !aConnection->IsEnding();
    const std::string text = Serialize(answer, keepOpen, head);
    const bool written = co_await aConnection->Write(text);
    co_return written&& keepOpen;
  }

  asio::awaitable<bool> RefuseUnread(Connection aConnection, ErrorCode aError)
  {
    using BeastError = beast::http::error;
    unsigned status = 0;
    if (aError == BeastError::header_limit) {
      status = kHeadTooLarge;
    } else if (aError == BeastError::body_limit) {
      status = kTooLarge;
    } else if (aError.category() ==
                 make_error_code(BeastError::bad_method).category() &&
               aError != BeastError::end_of_stream &&
               aError != BeastError::partial_message) {
      status = kBadRequest;
    }
    if (status != 0) {
      const std::string text =
        Serialize(handler.Refuse(status, aError.message()), false, false);
      co_await aConnection->Write(text);
    }
    co_return false;
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
    for (const Connection& connection : connections) {
      if (connection->IsIdleTooLong(now)) {
        connection->End();
      }
    }
    handler.Sweep();
    if (!stopping && feed.Age() < kRelayedAge) {
      relay.Ping(feed.ControlHosts(), feed.Age());
    } else {
      relay.CloseAll();
    }
    if (now - reportedAt >= kReportInterval) {
      reportedAt = now;
      wire::FeedReport report = handler.TakeLoads();
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
      ErrorCode ignored; // Nothing is accepted any more either way.
      acceptor.close(ignored);
      for (const Connection& connection : connections) {
        if (connection->IsIdle() && !connection->IsEnding()) {
          connection->End();
        }
      }
    }
    const bool late = aNow - stoppedAt >= settings.shutdownGrace - kGraceMargin;
    const bool idle = !acceptor.is_open() && connections.empty();
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
  tcp::acceptor acceptor;
  asio::steady_timer sweeper;
  std::unique_ptr<net::FrameMesh> mesh;
  FeedClient feed;
  FeedServer relay;
  SlotDesk desk;
  RequestHandler handler;
  asio::steady_timer slotTicker;
  std::unique_ptr<CallServer> readiness;
  std::unique_ptr<CallServer> metrics;
  std::set<Connection> connections;
  Instant reportedAt{};
  bool stopping = false;
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
