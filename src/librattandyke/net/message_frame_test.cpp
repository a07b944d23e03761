#include "net/message_frame.h"

#include <gtest/gtest.h>

#include "net/read_error.h"

namespace rattandyke::net {
namespace {

namespace http = boost::beast::http;
using Request = http::request_header<>;

constexpr unsigned kHttp10 = 10;

Request
RequestWith(const std::vector<std::pair<const char*, const char*>>& aFields)
{
  Request request;
  for (const auto& [name, value] : aFields) {
    request.insert(name, value);
  }
  return request;
}

constexpr const char* kCoding = "Transfer-Encoding";

// Guards against a body that is read as the next request.
TEST(MessageFrameTest, OnlyChunkedAloneIsKnown)
{
  for (const char* value : { "gzip",
                             "identity",
                             "xchunked",
                             "chunked, gzip",
                             "gzip, chunked",
                             "chunked, chunked",
                             "chunked;q=1",
                             "\"chunked\"" }) {
    EXPECT_EQ(CheckFrame(RequestWith({ { kCoding, value } })),
              FrameError::UnknownCoding)
      << value;
  }
  EXPECT_FALSE(CheckFrame(RequestWith({ { kCoding, "chunked" } })));
  EXPECT_FALSE(CheckFrame(RequestWith({ { kCoding, "Chunked" } })));
  EXPECT_FALSE(CheckFrame(RequestWith({ { "Content-Length", "3" } })));
}

// Guards against heads that two readers understand differently.
TEST(MessageFrameTest, ContradictionsAreErrors)
{
  EXPECT_EQ(CheckFrame(RequestWith({ { kCoding, "" } })),
            FrameError::Contradiction);
  EXPECT_EQ(CheckFrame(RequestWith(
              { { kCoding, "identity" }, { "Content-Length", "0" } })),
            FrameError::Contradiction);
  EXPECT_EQ(
    CheckFrame(RequestWith({ { kCoding, "chunked" }, { kCoding, "chunked" } })),
    FrameError::Contradiction);
  Request old = RequestWith({ { kCoding, "chunked" } });
  old.version(kHttp10);
  EXPECT_EQ(CheckFrame(old), FrameError::Contradiction);
}

// Guards against a request that is routed by one Host and served by another.
TEST(MessageFrameTest, RequestHasOneHost)
{
  EXPECT_EQ(CheckFrame(RequestWith({ { "Host", "a" }, { "Host", "b" } })),
            FrameError::SeveralHosts);
  EXPECT_FALSE(CheckFrame(RequestWith({ { "Host", "a" } })));
}

// Guards against a response of a status that has no meaning, which is waited
// for as an interim one or passed on.
TEST(MessageFrameTest, StatusIsOfAKnownClass)
{
  http::response_header<> response;
  for (const unsigned status : { 0U, 1U, 99U, 600U, 999U }) {
    response.result(status);
    EXPECT_TRUE(CheckFrame(response)) << status;
  }
  for (const unsigned status : { 100U, 199U, 200U, 418U, 599U }) {
    response.result(status);
    EXPECT_FALSE(CheckFrame(response)) << status;
  }
}

TEST(MessageFrameTest, ErrorsHaveAStatus)
{
  EXPECT_EQ(StatusForReadError(FrameError::UnknownCoding), 501U);
  EXPECT_EQ(StatusForReadError(FrameError::Contradiction), 400U);
  EXPECT_EQ(StatusForReadError(FrameError::SeveralHosts), 400U);
  EXPECT_EQ(StatusForReadError(http::error::bad_method), 400U);
  EXPECT_EQ(StatusForReadError(http::error::buffer_overflow), 413U);
  EXPECT_EQ(StatusForReadError(http::error::header_limit), 431U);
  EXPECT_EQ(StatusForReadError(http::error::end_of_stream), 0U);
}

} // namespace
} // namespace rattandyke::net
