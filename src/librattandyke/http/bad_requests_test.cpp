#include <future>

#include <gtest/gtest.h>

#include "testing/entry_fixture.h"
#include "testing/fake_upstream.h"
#include "testing/test_caller.h"

namespace rattandyke::http {
namespace {

using rattandyke::testing::EchoIdentity;
using rattandyke::testing::EntryFixture;
using rattandyke::testing::FakeUpstream;
using rattandyke::testing::HttpRequest;
using rattandyke::testing::TestCaller;
using rattandyke::testing::UpstreamSide;

struct BadRequest
{
  std::string text;
  uint32_t status;
};

// Something that is not a proper request arrives, perhaps made to be read in
// two ways. It gets a 4xx and the end of its connection, and nothing of it
// reaches an upstream: what follows it cannot be told from a next request.
TEST(BadRequests, MalformedOnesGetA4xxAndTheConnectionEnds)
{
  const std::string head = "POST /board/k1 HTTP/1.1\r\nHost: entry\r\n";
  const std::vector<BadRequest> requests = {
    { "no request at all\r\n\r\n", 400 },
    { "GET /board/k1 HTTP/1.1\r\n\r\n", 400 },
    { "GET /board/k1 HTTP/1.0\r\nHost: entry\r\n\r\n", 400 },
    { "GET board HTTP/1.1\r\nHost: entry\r\n\r\n", 400 },
    { "GET /board/%zz HTTP/1.1\r\nHost: entry\r\n\r\n", 400 },
    { "GET /board/k HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400 },
    { head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400 },
    { head + "Content-Length: -1\r\n\r\n", 400 },
    { head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
      400 },
    { head + "Transfer-Encoding: gzip\r\n\r\nabc", 400 },
    { head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", 400 },
    { head + "Rattandyke-Deadline-Ms: soon\r\n\r\n", 400 },
    { head + "Idempotency-Key: " + std::string(200, 'k') + "\r\n\r\n", 400 },
    { head + "X: " + std::string(20'000, 'x') + "\r\n\r\n", 413 },
    { head + "Content-Length: 2000000\r\n\r\n", 413 },
  };
  FakeUpstream upstream(EchoIdentity);
  Limits limits;
  limits.maxBodyBytes = 1'000'000;
  EntryFixture entry(limits);
  entry.Host().SetOwner(upstream.Address());
  for (const BadRequest& request : requests) {
    TestCaller caller(entry.Address());
    caller.Write(request.text);
    const auto answer = caller.Read();
    ASSERT_TRUE(answer) << request.text.substr(0, 100);
    EXPECT_EQ(answer->result_int(), request.status)
      << request.text.substr(0, 100);
    EXPECT_EQ((*answer)["Rattandyke-Outcome"], "not-run");
    EXPECT_TRUE(caller.SeesClose()) << request.text.substr(0, 100);
  }
  EXPECT_EQ(upstream.Connections(), 0U);
}

// The caller's connection ends in the middle of a request.
TEST(BadRequests, TruncatedOnesDoNotRun)
{
  FakeUpstream upstream(EchoIdentity);
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  const std::vector<std::string> cut = {
    "GET /board/k1 HT",
    "POST /board/k1 HTTP/1.1\r\nHost: entry\r\nContent-Length: 9\r\n\r\nhalf",
    "POST /board/k1 HTTP/1.1\r\nHost: entry\r\n"
    "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
  };
  for (const std::string& text : cut) {
    TestCaller caller(entry.Address());
    caller.Write(text);
    caller.FinishWriting();
    const auto answer = caller.Read();
    ASSERT_TRUE(answer) << text;
    EXPECT_EQ(answer->result_int(), 400U) << text;
  }
  EXPECT_EQ(upstream.Connections(), 0U);
}

// A caller sends the first bytes of a head, or of a body, and then nothing.
TEST(BadRequests, SlowSendersAreCutOff)
{
  FakeUpstream upstream(EchoIdentity);
  Limits limits;
  limits.headTime = std::chrono::milliseconds{ 10 };
  limits.callerStall = std::chrono::milliseconds{ 10 };
  EntryFixture entry(limits);
  entry.Host().SetOwner(upstream.Address());
  const std::vector<std::string> slow = {
    "GET /board/k1 HT",
    "POST /board/k1 HTTP/1.1\r\nHost: entry\r\nContent-Length: 9\r\n\r\nhalf",
  };
  for (const std::string& text : slow) {
    TestCaller caller(entry.Address());
    caller.Write(text);
    const auto answer = caller.Read();
    ASSERT_TRUE(answer) << text;
    EXPECT_EQ(answer->result_int(), 400U) << text;
    EXPECT_TRUE(caller.SeesClose());
  }
  EXPECT_EQ(upstream.Connections(), 0U);
}

TEST(BadRequests, UnknownServiceOrKeyIsA404AndTheConnectionGoesOn)
{
  FakeUpstream upstream(EchoIdentity);
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  for (const char* target : { "/nowhere/k1", "/board", "/board/", "/" }) {
    const auto answer = caller.Ask("GET", target);
    ASSERT_TRUE(answer) << target;
    EXPECT_EQ(answer->result_int(), 404U) << target;
    EXPECT_EQ((*answer)["Rattandyke-Outcome"], "not-run");
  }
  const auto good = caller.Ask("GET", "/board/k1");
  ASSERT_TRUE(good);
  EXPECT_EQ(good->result_int(), 200U);
}

// A caller names headers that only rattandyke sets, a hop's own headers, and a
// header that it declares to be of this hop. The upstream sees none of them
// but what the entry itself says.
TEST(BadRequests, ReservedAndHopHeadersDoNotPass)
{
  std::promise<HttpRequest> seen;
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    seen.set_value(aSide.Read().value());
    aSide.Write(rattandyke::testing::AnswerText(
      "ok",
      "Rattandyke-Code: 999 forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
      "Retry-After: 7\r\n"));
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  const auto answer = caller.Ask("GET",
                                 "/board/a%20b",
                                 "",
                                 "Rattandyke-Fence: 99999\r\n"
                                 "Rattandyke-Forged: 1\r\n"
                                 "Customer: big one\r\n"
                                 "Connection: X-Hop\r\nX-Hop: 1\r\n"
                                 "Keep-Alive: 5\r\nX-Own: kept\r\n"
                                 "Rattandyke-Deadline-Ms: 5000\r\n"
                                 "Rattandyke-Request-Id: abc\r\n");
  const HttpRequest request = seen.get_future().get();
  EXPECT_NE(request["Rattandyke-Fence"], "99999");
  EXPECT_EQ(request.count("Rattandyke-Fence"), 1U);
  EXPECT_EQ(request.count("Rattandyke-Forged"), 0U);
  EXPECT_EQ(request.count("X-Hop"), 0U);
  EXPECT_EQ(request.count("Keep-Alive"), 0U);
  EXPECT_EQ(request["X-Own"], "kept");
  EXPECT_EQ(request["Rattandyke-Key"], "a%20b");
  EXPECT_EQ(request["Rattandyke-Customer"], "big%20one");
  EXPECT_EQ(request["Rattandyke-Request-Id"], "abc");
  EXPECT_LE(std::stoi(std::string(request["Rattandyke-Deadline-Ms"])), 5000);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->count("Rattandyke-Code"), 0U);
  EXPECT_EQ(answer->count("X-Hop"), 0U);
  EXPECT_EQ((*answer)["Retry-After"], "7");
}

} // namespace
} // namespace rattandyke::http
