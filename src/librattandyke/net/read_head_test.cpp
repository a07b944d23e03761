#include "net/read_head.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/_experimental/test/stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace rattandyke::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Stream = boost::beast::test::stream;
using ErrorCode = boost::system::error_code;

constexpr uint32_t kMaxHeadBytes = 8192;
constexpr size_t kLineBytes = 20;

/// @return a head of lines of kLineBytes each.
std::string
HeadOf(size_t aLines)
{
  std::string text = "GET /aaaa HTTP/1.1\r\n";
  for (size_t line = 1; line < aLines; ++line) {
    text += "X-More: aaaaaaaaaa\r\n";
  }
  return text + "\r\n";
}

template<typename Parser>
asio::awaitable<void>
ReadInto(Stream& aStream, ErrorCode& aResult)
{
  boost::beast::flat_buffer buffer(size_t{ 2 } * kMaxHeadBytes);
  Parser parser;
  parser.header_limit(kMaxHeadBytes);
  aResult = co_await ReadHead(aStream, buffer, parser, kMaxHeadBytes);
}

/// @param aReadBytes that each read returns at most.
template<typename Parser = http::request_parser<http::empty_body>>
ErrorCode
Read(const std::string& aText, size_t aReadBytes, bool aEnds = false)
{
  asio::io_context context;
  Stream stream(context, aText);
  Stream peer(context);
  stream.connect(peer);
  stream.read_size(aReadBytes);
  if (aEnds) {
    peer.close();
  }
  ErrorCode result = asio::error::would_block;
  asio::co_spawn(context, ReadInto<Parser>(stream, result), asio::detached);
  context.poll();
  return result;
}

// Guards against heads that fill the memory of this host line by line.
TEST(ReadHeadTest, LimitIsOneOfTheWholeHead)
{
  constexpr size_t kLines = kMaxHeadBytes / kLineBytes;
  for (const size_t readBytes : { size_t{ 1 }, kLineBytes, size_t{ 65536 } }) {
    EXPECT_FALSE(Read(HeadOf(kLines - 1), readBytes)) << readBytes;
    EXPECT_EQ(Read(HeadOf(2 * kLines), readBytes), http::error::header_limit)
      << readBytes;
  }
}

TEST(ReadHeadTest, EndOfTheConnectionIsTold)
{
  EXPECT_EQ(Read("", 1, true), http::error::end_of_stream);
  EXPECT_EQ(Read("GET", 1, true), http::error::partial_message);
}

TEST(ReadHeadTest, FrameIsChecked)
{
  EXPECT_EQ(Read("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 65536),
            FrameError::UnknownCoding);
}

using ResponseParser = http::response_parser<http::empty_body>;

// Guards against two lines of a response's head that are passed on as one.
TEST(ReadHeadTest, LinesOfAResponseDontBeginWithABlank)
{
  const std::string head = "HTTP/1.1 200 OK\r\nX-A: 1\r\n";
  for (const std::string line : { " X-B: 2", "\tX-B: 2", " ", "\t" }) {
    for (const size_t readBytes :
         { size_t{ 1 }, size_t{ 3 }, size_t{ 9999 } }) {
      EXPECT_TRUE(Read<ResponseParser>(
        head + line + "\r\nContent-Length: 0\r\n\r\n", readBytes))
        << line << readBytes;
      EXPECT_TRUE(Read<ResponseParser>(head + line + "\r\n\r\n", readBytes))
        << line << readBytes;
    }
  }
  EXPECT_FALSE(Read<ResponseParser>(head + "X-B: \t2 \r\n\r\n", 1));
}

// RFC 9112, section 5.2: in a request, such a line may continue the one before.
TEST(ReadHeadTest, LinesOfARequestMayBeginWithABlank)
{
  EXPECT_FALSE(Read("GET / HTTP/1.1\r\nX-A: 1\r\n 2\r\n\r\n", 1));
}

} // namespace
} // namespace rattandyke::net
