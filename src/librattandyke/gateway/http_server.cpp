#include "gateway/http_server.h"

#include <optional>
#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "base/clock.h"
#include "gateway/body_room.h"
#include "gateway/read_body.h"
#include "net/accept_loop.h"
#include "net/close_gently.h"
#include "net/frame_connection.h"
#include "net/peek.h"
#include "net/read_buffer.h"
#include "net/read_error.h"
#include "net/read_head.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Parser = http::request_parser<http::string_body>;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Limit of a request's head.
constexpr uint32_t kMaxHeadBytes = 8192;
/// Limit of a request's body: 8 MiB, enough for a configuration of a few
/// thousand routes.
constexpr uint64_t kMaxBodyBytes = uint64_t{ 8 } * 1024 * 1024;
/// Limit of the bodies of all requests together.
constexpr size_t kMaxBodiesBytes = 4 * kMaxBodyBytes;
/// Clients try another host after a second without a response.
constexpr std::chrono::milliseconds kMaxBodyWait{ 700 };
constexpr const char* kRetryAfterNoRoom = "1"; // seconds
/// Time for sending a refusal.
constexpr std::chrono::milliseconds kMaxRefusalTime{ 1000 };
/// Time limit for receiving a request, counted from the end of the previous
/// one, and for sending a response. The connection is closed when it expires.
constexpr std::chrono::seconds kIdleTimeout{ 30 };
} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  struct Session
  {
    explicit Session(tcp::socket aSocket)
      : stream(std::move(aSocket))
      , buffer(net::ReadBufferLimit(kMaxHeadBytes))
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// Room that the request's body takes.
    MemoryBudget::Reservation bodyRoom;
    /// Parser of the request that is awaited or being read.
    std::optional<Parser> parser;
    /// A request has been read and its response is not yet written.
    bool handling = false;
  };

  Impl(asio::any_io_executor aExecutor,
       Endpoint aAddress,
       size_t aMaxConnections,
       Handler aHandler)
    : executor(std::move(aExecutor))
    , address(std::move(aAddress))
    , maxConnections(aMaxConnections)
    , handler(std::move(aHandler))
  {
  }

  Result<void> Start()
  {
    acceptor = std::make_shared<net::AcceptLoop>(
      executor, [self = weak_from_this()](tcp::socket aSocket) {
        const auto server = self.lock();
        if (server && server->sessions.size() < server->maxConnections) {
          server->Accept(std::move(aSocket));
        }
      });
    return acceptor->Start(address, "calls");
  }

  void Accept(tcp::socket aSocket)
  {
    net::TuneSocket(aSocket, std::chrono::milliseconds(kIdleTimeout));
    auto session = std::make_shared<Session>(std::move(aSocket));
    sessions.insert(session);
    asio::co_spawn(
      executor, Serve(shared_from_this(), session), asio::detached);
  }

  static asio::awaitable<void> Serve(std::shared_ptr<Impl> aSelf,
                                     std::shared_ptr<Session> aSession)
  {
    for (;;) {
      Parser& parser = aSession->parser.emplace();
      parser.header_limit(kMaxHeadBytes);
      parser.body_limit(kMaxBodyBytes);
      aSession->stream.expires_after(kIdleTimeout);
      const ErrorCode readError = co_await ReadRequest(aSelf, *aSession);
      const http::status refusal = StatusForReadError(readError);
      if (refusal != http::status::ok) {
        co_await Refuse(*aSession, refusal);
      }
      if (readError) {
        break;
      }
      aSession->handling = true;
      aSession->stream.expires_never();
      HttpRequest request{ std::string(parser.get().method_string()),
                           std::string(parser.get().target()),
                           std::move(parser.get().body()),
                           [aSession] {
                             return net::HasPeerLeft(aSession->stream.socket());
                           } };
      HttpResponse result = co_await aSelf->handler(std::move(request));
      aSession->bodyRoom = {};
      http::response<http::string_body> response;
      response.result(result.status);
      response.set(http::field::content_type, result.contentType);
      response.body() = std::move(result.body);
      response.keep_alive(parser.get().keep_alive() && !aSelf->stopped &&
                          !result.closes);
      response.prepare_payload();
      aSession->stream.expires_after(kIdleTimeout);
      auto [writeError, written] =
        co_await http::async_write(aSession->stream, response, kAwait);
      aSession->handling = false;
      if (writeError || !response.keep_alive()) {
        break;
      }
    }
    ErrorCode ignored; // The client may have closed the connection already.
    aSession->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    aSelf->sessions.erase(aSession);
  }

  static asio::awaitable<ErrorCode> ReadRequest(std::shared_ptr<Impl> aSelf,
                                                Session& aSession)
  {
    Parser& parser = *aSession.parser;
    const ErrorCode headError = co_await net::ReadHead(
      aSession.stream, aSession.buffer, parser, kMaxHeadBytes);
    if (headError || parser.is_done()) {
      co_return headError;
    }
    BodyRoom room(aSelf->executor,
                  aSelf->bodies,
                  MemoryBudget::Use::Request,
                  kMaxBodyWait,
                  aSelf->clock);
    if (!co_await room.Open(DeclaredLength(parser))) {
      co_return NoRoomError();
    }
    const ErrorCode error =
      co_await ReadBody(aSession.stream, aSession.buffer, parser, room);
    aSession.bodyRoom = room.Take(parser.get().body().size());
    co_return error;
  }

  /// @return the status for a request that could not be read, ok if no response
  /// is due.
  static http::status StatusForReadError(const ErrorCode& aError)
  {
    if (aError == NoRoomError()) {
      return http::status::service_unavailable;
    }
    if (aError == EndlessBodyError()) {
      return http::status::payload_too_large;
    }
    const unsigned status = net::StatusForReadError(aError);
    return status == 0 ? http::status::ok : http::int_to_status(status);
  }

  /// Refuses a request that is not read to its end.
  static asio::awaitable<void> Refuse(Session& aSession, http::status aStatus)
  {
    http::response<http::empty_body> response;
    response.result(aStatus);
    if (aStatus == http::status::service_unavailable) {
      response.set(http::field::retry_after, kRetryAfterNoRoom);
    }
    response.keep_alive(false);
    response.prepare_payload();
    aSession.stream.expires_after(kMaxRefusalTime);
    co_await http::async_write(aSession.stream, response, kAwait);
    co_await net::CloseGently(aSession.stream);
  }

  /// @return whether a request is being received or handled.
  static bool HasRequest(Session& aSession)
  {
    ErrorCode ignored; // available() is 0 after an error.
    return aSession.handling || aSession.buffer.size() > 0 ||
           (aSession.parser && aSession.parser->got_some()) ||
           aSession.stream.socket().available(ignored) > 0;
  }

  /// Cancels only the reads of connections on which no request has begun to
  /// arrive. A stopping control host runs until another host is the leader; if
  /// it cancelled the read of a request that arrives over a slow link, the
  /// client would get no response and not know whether its change was made. The
  /// idle timeout still bounds such a read.
  void Stop()
  {
    stopped = true;
    if (acceptor) {
      acceptor->Stop();
    }
    for (const auto& session : sessions) {
      if (!HasRequest(*session)) {
        session->stream.cancel();
      }
    }
  }

  const asio::any_io_executor executor;
  const Endpoint address;
  const size_t maxConnections;
  const Handler handler;
  std::shared_ptr<net::AcceptLoop> acceptor;
  const SystemClock clock;
  /// Limits the memory of the requests' bodies.
  MemoryBudget bodies{ kMaxBodiesBytes };
  std::set<std::shared_ptr<Session>> sessions;
  bool stopped = false;
};

HttpServer::HttpServer(asio::any_io_executor aExecutor,
                       Endpoint aAddress,
                       size_t aMaxConnections,
                       Handler aHandler)
  : mImpl(std::make_shared<Impl>(std::move(aExecutor),
                                 std::move(aAddress),
                                 aMaxConnections,
                                 std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  Stop();
}

Result<void>
HttpServer::Start()
{
  return mImpl->Start();
}

void
HttpServer::Stop()
{
  if (!mImpl->stopped) {
    mImpl->Stop();
  }
}

} // namespace rattandyke::gateway
