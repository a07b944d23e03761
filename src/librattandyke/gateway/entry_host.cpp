#include "gateway/entry_host.h"

#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/endpoint.h"
#include "gateway/call_server.h"
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
using Parser = beast::http::request_parser<beast::http::string_body>;

/// The sweep's interval is the error of the idle timeouts.
constexpr milliseconds kSweepInterval{ 200 };
/// Busy keys change within seconds.
constexpr milliseconds kReportInterval{ 400 };
/// Before the first configuration tells.
constexpr milliseconds kDefaultIdle{ 15000 };
/// Above this age of its own state an entry assures no other of it.
constexpr milliseconds kRelayedAge{ 600 };
constexpr uint32_t kDefaultHeaderBytes = 16384;
constexpr uint64_t kDefaultBodyBytes = uint64_t{ 64 } * 1024 * 1024;
/// A balancer asks once a second and takes a host out after two misses; until
/// then it sends new connections.
constexpr milliseconds kLeaveRotation{ 3200 };
/// Kept of the time before the process is killed.
constexpr milliseconds kGraceMargin{ 500 };
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

} // namespace

struct EntryHost::Impl : std::enable_shared_from_this<EntryHost::Impl>
{
  /// One connection of a caller.
  struct Session
  {
    explicit Session(tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }
    tcp::socket socket;
    beast::flat_buffer buffer;
    bool busy = false;
    /// While no request is worked on: when it is closed.
    Instant idleUntil{};
  };

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
    const bool slots =
      aCommand == nullptr || aCommand->has_put_instance() ||
      aCommand->has_end_instance() || aCommand->has_put_entry() ||
      aCommand->has_drop_entry() || aCommand->has_change_items();
    if (slots) {
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
    auto session = std::make_shared<Session>(std::move(aSocket));
    sessions.insert(session);
    asio::co_spawn(
      executor, Serve(shared_from_this(), session), asio::detached);
  }

  Duration IdleTimeout() const
  {
    const auto ms = feed.Known().Items().Limits().idle_timeout_ms();
    return ms == 0 ? Duration(kDefaultIdle) : Duration(milliseconds(ms));
  }

  static asio::awaitable<void> Serve(std::shared_ptr<Impl> aSelf,
                                     std::shared_ptr<Session> aSession)
  {
    bool keep = true;
    while (keep) {
      keep = co_await aSelf->ServeOne(aSession);
    }
    ErrorCode ignored; // The caller may be gone already.
    aSession->socket.shutdown(tcp::socket::shutdown_send, ignored);
    aSession->socket.close(ignored);
    aSelf->sessions.erase(aSession);
  }

  /// @return whether the connection is kept.
  asio::awaitable<bool> ServeOne(std::shared_ptr<Session> aSession)
  {
    aSession->idleUntil = clock.Now() + IdleTimeout();
    aSession->busy = false;
    Parser parser;
    const wire::LimitsItem& limits = feed.Known().Items().Limits();
    parser.header_limit(limits.max_header_bytes() == 0
                          ? kDefaultHeaderBytes
                          : limits.max_header_bytes());
    parser.body_limit(limits.max_body_bytes() == 0 ? kDefaultBodyBytes
                                                   : limits.max_body_bytes());
    auto [headError, headBytes] = co_await beast::http::async_read_header(
      aSession->socket, aSession->buffer, parser, kAwait);
    if (!headError && !parser.is_done()) {
      if (http::FieldOf(parser.get().base(), "Expect") == "100-continue") {
        static const std::string sContinue = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(
          aSession->socket, asio::buffer(sContinue), kAwait);
      }
      auto [bodyError, bodyBytes] = co_await beast::http::async_read(
        aSession->socket, aSession->buffer, parser, kAwait);
      headError = bodyError;
    }
    if (headError) {
      co_return co_await RefuseUnread(aSession, headError);
    }
    // Safeguard: the read may have ended in the moment in which the idle
    // connection was closed. Passed on, the request would run and its answer
    // be lost; dropped here, its caller sees a close that crossed it.
    if (!aSession->socket.is_open()) {
      co_return false;
    }
    aSession->busy = true;
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
    Watch(aSession, context);
    CallerAnswer answer = co_await handler.Handle(context, std::move(request));
    if (context->HasLeft()) {
      co_return false;
    }
    ErrorCode ignored; // The watch ends; nothing else is pending.
    aSession->socket.cancel(ignored);
    const bool keepOpen = keep && !stopping;
    const std::string text = Serialize(answer, keepOpen, head);
    auto [error, bytes] =
      co_await asio::async_write(aSession->socket, asio::buffer(text), kAwait);
    co_return !error && keepOpen;
  }

  /// Tells the context when the caller closes its connection, so that the work
  /// for it ends.
  void Watch(const std::shared_ptr<Session>& aSession,
             const std::shared_ptr<RequestContext>& aContext)
  {
    if (aSession->buffer.size() > 0) {
      return; // The next request is here already: its caller is, too.
    }
    aSession->socket.async_wait(
      tcp::socket::wait_read, [aSession, aContext](ErrorCode aError) {
        if (aError) {
          return;
        }
        ErrorCode failed;
        if (aSession->socket.available(failed) == 0 || failed) {
          aContext->CallerLeft();
        }
      });
  }

  asio::awaitable<bool> RefuseUnread(std::shared_ptr<Session> aSession,
                                     ErrorCode aError)
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
      co_await asio::async_write(aSession->socket, asio::buffer(text), kAwait);
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
    for (const auto& session : sessions) {
      if (!session->busy && session->idleUntil <= now) {
        CloseSession(*session);
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

  static void CloseSession(Session& aSession)
  {
    ErrorCode ignored; // Ends the session's read.
    aSession.socket.close(ignored);
  }

  void OnStopping(Instant aNow)
  {
    if (aNow - stoppedAt >= kLeaveRotation) {
      ErrorCode ignored; // Nothing is accepted any more either way.
      acceptor.close(ignored);
      for (const auto& session : sessions) {
        if (!session->busy) {
          CloseSession(*session);
        }
      }
    }
    const bool late = aNow - stoppedAt >= settings.shutdownGrace - kGraceMargin;
    const bool idle = !acceptor.is_open() && sessions.empty();
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
  std::set<std::shared_ptr<Session>> sessions;
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
