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

asio::awaitable<void>
ReadInto(Stream& aStream, ErrorCode& aResult)
{
  boost::beast::flat_buffer buffer(size_t{ 2 } * kMaxHeadBytes);
  http::request_parser<http::empty_body> parser;
  parser.header_limit(kMaxHeadBytes);
  aResult = co_await ReadHead(aStream, buffer, parser, kMaxHeadBytes);
}

/// @param aReadBytes that each read returns at most.
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
  asio::co_spawn(context, ReadInto(stream, result), asio::detached);
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

} // namespace
} // namespace rattandyke::net
