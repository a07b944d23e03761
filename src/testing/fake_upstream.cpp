#include "testing/fake_upstream.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "testing/drain_body.h"

namespace rattandyke::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

UpstreamSide::UpstreamSide(tcp::socket aSocket, size_t aNumber)
  : mSocket(std::move(aSocket))
  , mNumber(aNumber)
{
}

std::optional<HttpRequest>
UpstreamSide::Read()
{
  error_code error;
  http::request_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  http::read(mSocket, mBuffer, parser, error);
  if (error) {
    return std::nullopt;
  }
  return parser.release();
}

uint64_t
UpstreamSide::DrainBody()
{
  http::request_parser<http::buffer_body> parser;
  return testing::DrainBody(mSocket, mBuffer, parser);
}

bool
UpstreamSide::Write(std::string_view aBytes)
{
  error_code error;
  asio::write(mSocket, asio::buffer(aBytes), error);
  return !error;
}

void
UpstreamSide::AwaitClose()
{
  error_code error;
  std::array<char, 4096> bytes;
  while (!error) {
    mSocket.read_some(asio::buffer(bytes), error);
  }
}

void
UpstreamSide::Reset()
{
  error_code ignored;
  mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  mSocket.close(ignored);
}

FakeUpstream::FakeUpstream(Handler aHandler)
  : mAcceptor(mContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  , mHandler(std::move(aHandler))
  , mAcceptThread([this] { Run(); })
{
}

void
FakeUpstream::Run()
{
  while (!mStopping) {
    error_code error;
    tcp::socket socket(mContext);
    mAcceptor.accept(socket, error);
    if (error || mStopping) {
      return;
    }
    const auto side =
      std::make_shared<UpstreamSide>(std::move(socket), mCount++);
    const std::lock_guard lock(mMutex);
    mSides.push_back(side);
    mThreads.emplace_back([this, side] {
      mHandler(*side);
      error_code ignored;
      side->mSocket.shutdown(tcp::socket::shutdown_both, ignored);
    });
  }
}

FakeUpstream::~FakeUpstream()
{
  mStopping = true;
  error_code ignored;
  // A connection of our own wakes the blocking accept.
  tcp::socket wake(mContext);
  wake.connect(mAcceptor.local_endpoint(), ignored);
  mAcceptThread.join();
  for (const auto& side : mSides) {
    side->mSocket.shutdown(tcp::socket::shutdown_both, ignored);
  }
  for (auto& thread : mThreads) {
    thread.join();
  }
}

Endpoint
FakeUpstream::Address() const
{
  return { "127.0.0.1", mAcceptor.local_endpoint().port() };
}

std::string
AnswerText(std::string_view aBody, std::string_view aHeaders)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n" + std::string(aHeaders) + "\r\n" + std::string(aBody);
}

void
EchoIdentity(UpstreamSide& aSide)
{
  while (const auto request = aSide.Read()) {
    const std::string identity = std::string(request->method_string()) + " " +
                                 std::string(request->target()) + " " +
                                 request->body();
    if (!aSide.Write(AnswerText(identity))) {
      return;
    }
  }
}

} // namespace rattandyke::testing
