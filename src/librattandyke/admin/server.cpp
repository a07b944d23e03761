#include "admin/server.h"

#include <atomic>
#include <map>
#include <mutex>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/endpoint.h"
#include "log/log.h"
#include "net/close_gently.h"
#include "net/listen.h"
#include "net/peek.h"
#include "net/read_buffer.h"
#include "net/read_head.h"

namespace rattandyke::admin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Parser = http::request_parser<http::string_body>;
using HttpRequest = http::request<http::string_body>;
using HttpAnswer = http::response<http::string_body>;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

std::string_view
View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string
BearerToken(const HttpRequest& aRequest)
{
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = View(aRequest[http::field::authorization]);
  return value.starts_with(kScheme) ? std::string(value.substr(kScheme.size()))
                                    : std::string();
}

std::optional<std::string>
IfMatch(const HttpRequest& aRequest)
{
  const auto found = aRequest.find(http::field::if_match);
  if (found == aRequest.end()) {
    return std::nullopt;
  }
  std::string_view value = View(found->value());
  if (value.size() >= 2 && value.front() == '"' && value.back() == '"') {
    value = value.substr(1, value.size() - 2);
  }
  return std::string(value);
}

Result<ApiRequest>
ToApi(const HttpRequest& aRequest, bool aFromLoopback)
{
  ApiRequest request;
  request.method = aRequest.method_string();
  request.token = BearerToken(aRequest);
  request.ifMatch = IfMatch(aRequest);
  request.submissionId = aRequest["Submission-Id"];
  request.body = aRequest.body();
  request.fromLoopback = aFromLoopback;
  if (!DecodeTarget(View(aRequest.target()), request)) {
    return Fail(Code::MalformedRequest, "The request target is malformed.");
  }
  return request;
}

HttpAnswer
ToHttp(ApiAnswer aAnswer, unsigned aVersion, bool aKeepAlive)
{
  HttpAnswer answer(http::int_to_status(aAnswer.status), aVersion);
  answer.set(http::field::server, "rattandyke");
  answer.set(http::field::content_type, aAnswer.contentType);
  answer.set(http::field::cache_control, "no-store");
  answer.body() = std::move(aAnswer.body);
  answer.keep_alive(aKeepAlive);
  answer.prepare_payload();
  return answer;
}

Error
ReadError(const ErrorCode& aError)
{
  if (aError == http::error::body_limit ||
      aError == http::error::header_limit) {
    return { Code::RequestTooLarge, "The header or body is too large." };
  }
  if (aError.category() == net::FrameCategory()) {
    return { Code::MalformedRequest, aError.message() };
  }
  return { Code::MalformedRequest, "The request is not HTTP/1.1." };
}

asio::awaitable<ErrorCode>
ReadWhole(beast::tcp_stream& aStream,
          beast::flat_buffer& aBuffer,
          Parser& aParser,
          size_t aMaxHeadBytes)
{
  const ErrorCode headError =
    co_await net::ReadHead(aStream, aBuffer, aParser, aMaxHeadBytes);
  if (headError) {
    co_return headError;
  }
  const auto [error, size] =
    co_await http::async_read(aStream, aBuffer, aParser, kAwait);
  co_return error;
}

/// An answer that a connection waits for; used on its strand only.
struct PendingAnswer
{
  explicit PendingAnswer(const asio::any_io_executor& aStrand)
    : arrival(aStrand, asio::steady_timer::time_point::max())
  {
  }
  asio::steady_timer arrival;
  std::optional<ApiAnswer> answer;
};

/// Counts connections in all and by address. Thread-safe.
class ConnectionCount
{
public:
  ConnectionCount(uint64_t aMost, uint64_t aMostPerPeer)
    : mMost(aMost)
    , mMostPerPeer(aMostPerPeer)
  {
  }

  bool Enter(const asio::ip::address& aPeer)
  {
    const std::lock_guard lock(mMutex);
    uint64_t& ofPeer = mOfPeer[aPeer];
    if (mAll >= mMost || ofPeer >= mMostPerPeer) {
      return false;
    }
    ++mAll;
    ++ofPeer;
    return true;
  }

  void Leave(const asio::ip::address& aPeer)
  {
    const std::lock_guard lock(mMutex);
    --mAll;
    const auto found = mOfPeer.find(aPeer);
    if (--found->second == 0) {
      mOfPeer.erase(found);
    }
  }

private:
  std::mutex mMutex;
  const uint64_t mMost;
  const uint64_t mMostPerPeer;
  uint64_t mAll = 0;
  std::map<asio::ip::address, uint64_t> mOfPeer;
};

} // namespace

struct AdminServer::Impl : std::enable_shared_from_this<AdminServer::Impl>
{
  Impl(asio::any_io_executor aExecutor, Options aOptions)
    : executor(std::move(aExecutor))
    , options(std::move(aOptions))
    , acceptor(asio::make_strand(executor))
    , pause(acceptor.get_executor())
    , count(options.connections, options.connectionsPerPeer)
  {
  }

  /// Waits for the API's answer on the connection's own strand. The wait is a
  /// timer that never expires and is cancelled; a lambda with captures inside
  /// a co_await expression is destroyed twice by GCC 12.
  asio::awaitable<ApiAnswer> Ask(ApiRequest aRequest)
  {
    const auto strand = co_await asio::this_coro::executor;
    const auto pending = std::make_shared<PendingAnswer>(strand);
    const Responder respond = [pending](ApiAnswer aAnswer) {
      asio::post(pending->arrival.get_executor(),
                 [pending, answer = std::move(aAnswer)]() mutable {
                   pending->answer = std::move(answer);
                   pending->arrival.cancel();
                 });
    };
    api->Handle(aRequest, respond);
    while (!pending->answer) {
      co_await pending->arrival.async_wait(kAwait);
    }
    co_return std::move(*pending->answer);
  }

  asio::awaitable<bool> Write(beast::tcp_stream& aStream, HttpAnswer aAnswer)
  {
    aStream.expires_after(options.writeTimeout);
    const bool keepAlive = aAnswer.keep_alive();
    const auto [error, size] =
      co_await http::async_write(aStream, aAnswer, kAwait);
    co_return !error && keepAlive;
  }

  asio::awaitable<bool> ServeOne(beast::tcp_stream& aStream,
                                 beast::flat_buffer& aBuffer,
                                 bool aFromLoopback)
  {
    Parser parser;
    parser.header_limit(static_cast<uint32_t>(options.headerBytes));
    parser.body_limit(options.bodyBytes);
    aStream.expires_after(options.idleTimeout);
    if (aBuffer.size() == 0) {
      const auto [error, size] =
        co_await aStream.async_read_some(aBuffer.prepare(1024), kAwait);
      if (error) {
        co_return false;
      }
      aBuffer.commit(size);
    }
    aStream.expires_after(options.readTimeout);
    const ErrorCode error =
      co_await ReadWhole(aStream, aBuffer, parser, options.headerBytes);
    if (error == http::error::end_of_stream || error == beast::error::timeout) {
      co_return false;
    }
    if (error) {
      co_return co_await Write(
        aStream, ToHttp(ErrorAnswer(ReadError(error)), 11, false));
    }
    const HttpRequest& request = parser.get();
    if (request.method() != http::verb::get &&
        net::HasPeerLeft(aStream.socket())) {
      co_return false; // It may have sent the order to another host since.
    }
    const bool keepAlive = request.keep_alive() && !stopping;
    const unsigned version = request.version();
    Result<ApiRequest> call = ToApi(request, aFromLoopback);
    aStream.expires_never();
    ApiAnswer answer;
    if (call) {
      answer = co_await Ask(std::move(*call));
    } else {
      answer = ErrorAnswer(call.error());
    }
    co_return co_await Write(aStream,
                             ToHttp(std::move(answer), version, keepAlive));
  }

  asio::awaitable<void> Serve(Tcp::socket aSocket, asio::ip::address aPeer)
  {
    const auto self = shared_from_this();
    const auto shared = std::make_shared<beast::tcp_stream>(std::move(aSocket));
    beast::tcp_stream& stream = *shared;
    Remember(shared);
    beast::flat_buffer buffer(
      net::ReadBufferLimit(static_cast<uint32_t>(options.headerBytes)));
    const bool fromLoopback = aPeer.is_loopback();
    while (co_await ServeOne(stream, buffer, fromLoopback)) {
    }
    co_await net::CloseGently(stream);
    count.Leave(aPeer);
  }

  void Remember(const std::shared_ptr<beast::tcp_stream>& aStream)
  {
    const std::lock_guard lock(streamsMutex);
    std::erase_if(streams, [](const auto& aOne) { return aOne.expired(); });
    streams.push_back(aStream);
  }

  /// Ends what waits for a request or for its peer to read.
  void CloseStreams()
  {
    const std::lock_guard lock(streamsMutex);
    for (const auto& weak : streams) {
      if (const auto stream = weak.lock()) {
        asio::post(stream->get_executor(), [stream] { stream->cancel(); });
      }
    }
  }

  void Accept()
  {
    const auto self = shared_from_this();
    acceptor.async_accept(asio::make_strand(executor),
                          [self](const ErrorCode& aError, Tcp::socket aSocket) {
                            self->Accepted(aError, std::move(aSocket));
                          });
  }

  void Accepted(const ErrorCode& aError, Tcp::socket aSocket)
  {
    if (stopping || aError == asio::error::operation_aborted) {
      return;
    }
    if (aError) {
      return AcceptLater();
    }
    ErrorCode error;
    const auto peer = aSocket.remote_endpoint(error);
    if (!error && count.Enter(peer.address())) {
      const auto strand = aSocket.get_executor();
      asio::co_spawn(
        strand, Serve(std::move(aSocket), peer.address()), asio::detached);
    }
    Accept();
  }

  // Safeguard: without free file descriptors every accept fails at once, and
  // trying again without a pause would take a whole core.
  void AcceptLater()
  {
    pause.expires_after(std::chrono::milliseconds(100));
    pause.async_wait([self = shared_from_this()](const ErrorCode& aError) {
      if (!aError) {
        self->Accept();
      }
    });
  }

  asio::any_io_executor executor;
  Options options;
  AdminApi* api = nullptr;
  Tcp::acceptor acceptor;
  asio::steady_timer pause;
  ConnectionCount count;
  std::atomic<bool> stopping{ false };
  std::mutex streamsMutex; // guards the next one
  std::vector<std::weak_ptr<beast::tcp_stream>> streams;
};

AdminServer::AdminServer(asio::any_io_executor aExecutor, Options aOptions)
  : mImpl(std::make_shared<Impl>(std::move(aExecutor), std::move(aOptions)))
{
}

AdminServer::~AdminServer() = default;

Result<Endpoint>
AdminServer::Bind()
{
  return net::Listen(mImpl->acceptor, mImpl->options.listen, "operators");
}

void
AdminServer::Start(AdminApi& aApi)
{
  mImpl->api = &aApi;
  mImpl->Accept();
}

void
AdminServer::Stop()
{
  mImpl->stopping = true;
  asio::post(mImpl->acceptor.get_executor(), [impl = mImpl] {
    ErrorCode ignored;
    impl->acceptor.close(ignored);
    impl->pause.cancel();
    impl->CloseStreams();
  });
}

} // namespace rattandyke::admin
