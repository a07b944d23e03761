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

#include "net/accept_loop.h"
#include "net/frame_connection.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Parser = http::request_parser<http::string_body>;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Of one call; a configuration of a few thousand routes fits.
constexpr uint64_t kMaxBodyBytes = uint64_t{ 8 } * 1024 * 1024;
/// A caller that neither sends nor takes anything for so long is cut off.
constexpr std::chrono::seconds kIdleTimeout{ 30 };
} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  struct Session
  {
    explicit Session(tcp::socket aSocket)
      : stream(std::move(aSocket))
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// Of the call that is awaited or read.
    std::optional<Parser> parser;
    bool busy = false;
  };

  Impl(asio::any_io_executor aExecutor,
       Endpoint aListen,
       size_t aMostConnections,
       Handler aHandler)
    : executor(std::move(aExecutor))
    , listen(std::move(aListen))
    , mostConnections(aMostConnections)
    , handler(std::move(aHandler))
  {
  }

  Result<void> Start()
  {
    acceptor = std::make_shared<net::AcceptLoop>(
      executor, [self = weak_from_this()](tcp::socket aSocket) {
        const auto server = self.lock();
        if (server && server->sessions.size() < server->mostConnections) {
          server->Take(std::move(aSocket));
        }
      });
    return acceptor->Start(listen, "calls");
  }

  void Take(tcp::socket aSocket)
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
      parser.body_limit(kMaxBodyBytes);
      aSession->stream.expires_after(kIdleTimeout);
      auto [readError, read] = co_await http::async_read(
        aSession->stream, aSession->buffer, parser, kAwait);
      if (readError) {
        break;
      }
      aSession->busy = true;
      aSession->stream.expires_never();
      HttpRequest request{ std::string(parser.get().method_string()),
                           std::string(parser.get().target()),
                           std::move(parser.get().body()) };
      HttpResponse answer = co_await aSelf->handler(std::move(request));
      http::response<http::string_body> response;
      response.result(answer.status);
      response.set(http::field::content_type, answer.contentType);
      response.body() = std::move(answer.body);
      response.keep_alive(parser.get().keep_alive() && !aSelf->stopped);
      response.prepare_payload();
      aSession->stream.expires_after(kIdleTimeout);
      auto [writeError, written] =
        co_await http::async_write(aSession->stream, response, kAwait);
      aSession->busy = false;
      if (writeError || !response.keep_alive()) {
        break;
      }
    }
    ErrorCode ignored; // The other side may be gone already.
    aSession->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    aSelf->sessions.erase(aSession);
  }

  /// @return whether a call is worked on, or has begun to arrive.
  static bool HasCall(Session& aSession)
  {
    ErrorCode ignored; // Nothing can be read after an error.
    return aSession.busy || aSession.buffer.size() > 0 ||
           (aSession.parser && aSession.parser->got_some()) ||
           aSession.stream.socket().available(ignored) > 0;
  }

  /// Safeguard: a call arrives over a slow link while the host stops, which
  /// lives on until another leads. Were its read cut, the caller would get no
  /// answer and not know whether its change was made. So only a wait for a call
  /// is cut; what has begun to arrive has the idle timeout that runs already.
  void Stop()
  {
    stopped = true;
    if (acceptor) {
      acceptor->Stop();
    }
    for (const auto& session : sessions) {
      if (!HasCall(*session)) {
        session->stream.cancel();
      }
    }
  }

  const asio::any_io_executor executor;
  const Endpoint listen;
  const size_t mostConnections;
  const Handler handler;
  std::shared_ptr<net::AcceptLoop> acceptor;
  std::set<std::shared_ptr<Session>> sessions;
  bool stopped = false;
};

HttpServer::HttpServer(asio::any_io_executor aExecutor,
                       Endpoint aListen,
                       size_t aMostConnections,
                       Handler aHandler)
  : mImpl(std::make_shared<Impl>(std::move(aExecutor),
                                 std::move(aListen),
                                 aMostConnections,
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
