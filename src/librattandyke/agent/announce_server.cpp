#include "agent/announce_server.h"

#include <optional>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "agent/announcement_json.h"
#include "base/endpoint.h"
#include "log/log.h"
#include "net/close_gently.h"
#include "net/read_buffer.h"
#include "net/read_error.h"
#include "net/read_head.h"

namespace rattandyke::agent {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr uint32_t kMostHeaderBytes = 8 * 1024;
constexpr uint64_t kMostBodyBytes = 16ULL * 1024;
/// Longest pause between two requests of a connection, or within one.
constexpr std::chrono::seconds kIdleTime{ 10 };
constexpr size_t kMostConnections = 8192;
/// Pause after a failed accept; the usual cause is a lack of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{ 100 };
constexpr std::string_view kPath = "/v1/announce";

AnnounceAnswer
Refusal(Code aCode, std::string aMessage)
{
  AnnounceAnswer answer;
  answer.code = aCode;
  answer.message = std::move(aMessage);
  return answer;
}

http::status
StatusOf(const AnnounceAnswer& aAnswer)
{
  return http::int_to_status(Describe(aAnswer.code).httpStatus);
}

bool
IsTooLarge(const beast::error_code& aError)
{
  return aError == http::error::header_limit ||
         aError == http::error::body_limit ||
         aError == http::error::buffer_overflow;
}

/// One connection of an upstream.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(Tcp::socket aSocket, AgentService& aService)
    : mStream(std::move(aSocket))
    , mService(aService)
  {
  }

  void Start()
  {
    asio::dispatch(mStream.get_executor(),
                   [self = shared_from_this()] { self->Read(); });
  }

  void Close()
  {
    asio::post(mStream.get_executor(), [self = shared_from_this()] {
      self->mClosed = true;
      beast::error_code ignored;
      self->mStream.socket().close(ignored);
    });
  }

private:
  void Read()
  {
    mParser.emplace();
    mParser->header_limit(kMostHeaderBytes);
    mParser->body_limit(kMostBodyBytes);
    mStream.expires_after(kIdleTime);
    asio::co_spawn(
      mStream.get_executor(), ReadWhole(shared_from_this()), asio::detached);
  }

  static asio::awaitable<void> ReadWhole(std::shared_ptr<Session> aSelf)
  {
    beast::error_code error = co_await net::ReadHead(
      aSelf->mStream, aSelf->mBuffer, *aSelf->mParser, kMostHeaderBytes);
    if (!error) {
      const auto [bodyError, size] =
        co_await http::async_read(aSelf->mStream,
                                  aSelf->mBuffer,
                                  *aSelf->mParser,
                                  asio::as_tuple(asio::use_awaitable));
      error = bodyError;
    }
    aSelf->OnRead(error);
  }

  void OnRead(const beast::error_code& aError)
  {
    if (IsTooLarge(aError)) {
      Answer(Refusal(Code::RequestTooLarge,
                     "The header may have 8 KiB and the body 16 KiB."),
             http::status::payload_too_large,
             false);
    } else if (net::IsMalformed(aError)) {
      Answer(
        Refusal(Code::MalformedRequest,
                "This can't be read as HTTP/1.1: " + aError.message() + "."),
        http::int_to_status(net::StatusForReadError(aError)),
        false);
    } else if (!aError) {
      Dispatch();
    }
  }

  void Dispatch()
  {
    const auto& request = mParser->get();
    if (request.target() != kPath) {
      Answer(Refusal(Code::MalformedRequest, "Only /v1/announce is here."),
             http::status::not_found,
             request.keep_alive());
      return;
    }
    if (request.method() != http::verb::post) {
      Answer(Refusal(Code::MalformedRequest, "Announcements are sent by POST."),
             http::status::method_not_allowed,
             request.keep_alive());
      return;
    }
    auto announcement = ParseAnnouncement(request.body());
    if (!announcement) {
      Answer(Refusal(announcement.error().code, announcement.error().message),
             http::status::bad_request,
             request.keep_alive());
      return;
    }
    mStream.expires_never();
    mService.Announce(
      std::move(*announcement),
      [self = shared_from_this(),
       keepAlive = request.keep_alive()](AnnounceAnswer aAnswer) {
        asio::post(self->mStream.get_executor(),
                   [self, keepAlive, answer = std::move(aAnswer)] {
                     self->Answer(answer, StatusOf(answer), keepAlive);
                   });
      });
  }

  void Answer(const AnnounceAnswer& aAnswer,
              http::status aStatus,
              bool aKeepAlive)
  {
    if (mClosed) {
      return;
    }
    mResponse = {};
    mResponse.version(11);
    mResponse.result(aStatus);
    mResponse.set(http::field::content_type, "application/json");
    mResponse.keep_alive(aKeepAlive);
    mResponse.body() = ToJson(aAnswer);
    mResponse.prepare_payload();
    mStream.expires_after(kIdleTime);
    http::async_write(
      mStream, mResponse, [self = shared_from_this()](auto aError, size_t) {
        self->OnWritten(aError);
      });
  }

  void OnWritten(const beast::error_code& aError)
  {
    if (!aError && mResponse.keep_alive()) {
      Read();
      return;
    }
    asio::co_spawn(
      mStream.get_executor(), Finish(shared_from_this()), asio::detached);
  }

  static asio::awaitable<void> Finish(std::shared_ptr<Session> aSelf)
  {
    co_await net::CloseGently(aSelf->mStream);
  }

  beast::tcp_stream mStream;
  AgentService& mService;
  beast::flat_buffer mBuffer{ net::ReadBufferLimit(kMostHeaderBytes) };
  std::optional<http::request_parser<http::string_body>> mParser;
  http::response<http::string_body> mResponse;
  bool mClosed = false;
};

} // namespace

struct AnnounceServer::Impl : std::enable_shared_from_this<AnnounceServer::Impl>
{
  Impl(asio::any_io_executor aExecutor,
       Endpoint aListen,
       AgentService& aService)
    : executor(std::move(aExecutor))
    , strand(asio::make_strand(executor))
    , acceptor(strand)
    , pause(strand)
    , listen(std::move(aListen))
    , service(aService)
  {
  }

  void Accept()
  {
    acceptor.async_accept(
      asio::make_strand(executor),
      [self = shared_from_this()](auto aError, Tcp::socket aSocket) {
        self->OnAccept(aError, std::move(aSocket));
      });
  }

  void OnAccept(const beast::error_code& aError, Tcp::socket aSocket)
  {
    if (stopped) {
      return;
    }
    if (aError) {
      log::Line(log::Part::Agent, log::Severity::Warning)
        << "cannot accept an upstream's connection: " << aError.message();
      pause.expires_after(kAcceptPause);
      pause.async_wait([self = shared_from_this()](auto aWaitError) {
        if (!aWaitError) {
          self->Accept();
        }
      });
      return;
    }
    std::erase_if(sessions,
                  [](const auto& aSession) { return aSession.expired(); });
    // Over the bound the connection is closed at once, so that the upstream
    // tries another host.
    if (sessions.size() < kMostConnections) {
      StartSession(std::move(aSocket));
    }
    Accept();
  }

  void StartSession(Tcp::socket aSocket)
  {
    beast::error_code ignored;
    aSocket.set_option(Tcp::no_delay(true), ignored);
    const auto session = std::make_shared<Session>(std::move(aSocket), service);
    sessions.push_back(session);
    session->Start();
  }

  void Stop()
  {
    stopped = true;
    beast::error_code ignored;
    acceptor.close(ignored);
    pause.cancel();
    for (const auto& session : sessions) {
      if (const auto open = session.lock()) {
        open->Close();
      }
    }
    sessions.clear();
  }

  asio::any_io_executor executor;
  asio::strand<asio::any_io_executor> strand;
  Tcp::acceptor acceptor;
  asio::steady_timer pause;
  Endpoint listen;
  AgentService& service;
  std::vector<std::weak_ptr<Session>> sessions;
  bool stopped = false;
};

AnnounceServer::AnnounceServer(asio::any_io_executor aExecutor,
                               Endpoint aListen,
                               AgentService& aService)
  : mImpl(std::make_shared<Impl>(std::move(aExecutor),
                                 std::move(aListen),
                                 aService))
{
}

AnnounceServer::~AnnounceServer()
{
  Stop();
}

Result<void>
AnnounceServer::Start()
{
  try {
    const Tcp::endpoint endpoint(asio::ip::make_address(mImpl->listen.address),
                                 mImpl->listen.port);
    mImpl->acceptor.open(endpoint.protocol());
    mImpl->acceptor.set_option(Tcp::acceptor::reuse_address(true));
    mImpl->acceptor.bind(endpoint);
    mImpl->acceptor.listen();
    mImpl->listen.port = mImpl->acceptor.local_endpoint().port();
  } catch (const boost::system::system_error& error) {
    return Fail(Code::AddressInUse,
                "The upstream port " + ToString(mImpl->listen) +
                  " cannot be opened: " + error.code().message() + ".");
  }
  asio::post(mImpl->strand, [impl = mImpl] { impl->Accept(); });
  return {};
}

void
AnnounceServer::Stop()
{
  asio::post(mImpl->strand, [impl = mImpl] { impl->Stop(); });
}

Endpoint
AnnounceServer::Listening() const
{
  return mImpl->listen;
}

} // namespace rattandyke::agent
