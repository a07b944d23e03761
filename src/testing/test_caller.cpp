#include "testing/test_caller.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "testing/drain_body.h"

namespace rattandyke::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

TestCaller::TestCaller(const Endpoint& aEntry)
  : mSocket(mContext)
{
  mSocket.connect({ asio::ip::make_address(aEntry.address), aEntry.port });
}

bool
TestCaller::Write(std::string_view aBytes)
{
  error_code error;
  asio::write(mSocket, asio::buffer(aBytes), error);
  return !error;
}

std::optional<HttpAnswer>
TestCaller::Read(bool aHeadRequest)
{
  error_code error;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.skip(aHeadRequest);
  http::read(mSocket, mBuffer, parser, error);
  if (error || parser.need_eof()) {
    return std::nullopt;
  }
  return parser.release();
}

uint64_t
TestCaller::DrainBody()
{
  http::response_parser<http::buffer_body> parser;
  return testing::DrainBody(mSocket, mBuffer, parser);
}

std::optional<HttpAnswer>
TestCaller::Ask(std::string_view aMethod,
                std::string_view aTarget,
                std::string_view aBody,
                std::string_view aHeaders)
{
  if (!Write(RequestText(aMethod, aTarget, aBody, aHeaders))) {
    return std::nullopt;
  }
  return Read(aMethod == "HEAD");
}

void
TestCaller::AwaitReadable()
{
  error_code ignored;
  mSocket.wait(asio::socket_base::wait_read, ignored);
}

void
TestCaller::FinishWriting()
{
  error_code ignored;
  mSocket.shutdown(asio::socket_base::shutdown_send, ignored);
}

bool
TestCaller::SeesClose()
{
  error_code error;
  char byte = 0;
  return mSocket.read_some(asio::buffer(&byte, 1), error) == 0 && error;
}

void
TestCaller::Close()
{
  error_code ignored;
  mSocket.close(ignored);
}

std::string
RequestText(std::string_view aMethod,
            std::string_view aTarget,
            std::string_view aBody,
            std::string_view aHeaders)
{
  std::string text = std::string(aMethod) + " " + std::string(aTarget) +
                     " HTTP/1.1\r\nHost: entry\r\n" + std::string(aHeaders);
  if (!aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + std::string(aBody);
}

} // namespace rattandyke::testing
