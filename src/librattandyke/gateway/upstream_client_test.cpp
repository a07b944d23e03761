#include "gateway/upstream_client.h"

#include <thread>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "base/endpoint.h"
#include "http/headers.h"
#include "http/signal.h"
#include "testing/upstream_client_fixture.h"

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using http::kAwait;
using rattandyke::testing::kBodyBytes;
using rattandyke::testing::ResponseTo;
using rattandyke::testing::ScriptedUpstream;
using rattandyke::testing::UpstreamClientTest;
using std::chrono::milliseconds;

/// Longer than UpstreamClient waits for a connection.
constexpr milliseconds kLongerThanConnectTimeout{ 300 };

using Kind = AttemptResult::Kind;

TEST_F(UpstreamClientTest, SendsInstanceAndRemainingTime)
{
  const auto attempts = Send({ ResponseTo("r-1", "hello") });
  ASSERT_EQ(attempts[0].kind, Kind::Response);
  EXPECT_EQ(attempts[0].response.body, "hello");
  const std::string& head = upstream->Heads().front();
  EXPECT_NE(head.find("Expected: i-1\r\n"), std::string::npos);
  const size_t at = head.find("Deadline: ");
  ASSERT_NE(at, std::string::npos);
  EXPECT_LE(std::stoi(head.substr(at + 10)), 1000);
}

// Guards against work for a caller that is gone: a pause of the host uses up
// the request's time. The deadline header would be 0, which many upstreams
// treat as no limit.
TEST_F(UpstreamClientTest, ExpiredRequestIsNotSent)
{
  for (const Duration time :
       { Duration(milliseconds{ -853 }), Duration::zero() }) {
    left = time;
    const auto attempts = Send({ ResponseTo("r-1", "a") });
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_EQ(attempts[0].kind, Kind::NotSent);
    EXPECT_TRUE(upstream->Heads().empty());
    context.restart();
    results.clear();
  }
}

TEST_F(UpstreamClientTest, IdleConnectionIsReused)
{
  const auto attempts =
    Send({ ResponseTo("r-1", "a"), ResponseTo("r-2", "b") }, 2);
  EXPECT_EQ(attempts[1].response.body, "b");
  EXPECT_EQ(upstream->Connections(), 1U);
}

// An upstream repeats the response to an earlier request before the expected
// one. The caller must get the expected one, and the connection must not be
// reused, as it may carry further duplicates.
TEST_F(UpstreamClientTest, ResponseToAnotherRequestIsSkipped)
{
  const auto attempts =
    Send({ ResponseTo("r-0", "old") + ResponseTo("r-1", "new"),
           ResponseTo("r-2", "b") },
         2);
  ASSERT_EQ(attempts[0].kind, Kind::Response);
  EXPECT_EQ(attempts[0].response.body, "new");
  EXPECT_EQ(attempts[1].response.body, "b");
  EXPECT_EQ(upstream->Connections(), 2U);
}

// Guards against a false promise that a request has not run: the upstream
// repeats its refusal where the response to the second sending is due, and runs
// the request.
TEST_F(UpstreamClientTest, RepeatedRefusalIsNoResponseToTheSecondSending)
{
  sameRequest = true;
  const std::string refusal =
    ResponseTo("r-1", "", "", "421 Misdirected Request");
  const auto attempts = Send({ refusal, ResponseTo("r-1", "ran") }, 2);
  EXPECT_EQ(attempts[0].kind, Kind::NotExecuted);
  EXPECT_EQ(attempts[1].kind, Kind::Response);
  EXPECT_EQ(upstream->Connections(), 2U);
}

// Guards against a new connection for each refusal of a full upstream: other
// requests still use the connection.
TEST_F(UpstreamClientTest, RefusedRequestKeepsTheConnectionForOthers)
{
  const auto attempts =
    Send({ ResponseTo("r-1", "", "Not-Run: 1\r\n", "503 Service Unavailable"),
           ResponseTo("r-2", "b") },
         2);
  EXPECT_EQ(attempts[0].kind, Kind::NotExecuted);
  EXPECT_EQ(attempts[1].kind, Kind::Response);
  EXPECT_EQ(upstream->Connections(), 1U);
}

// Guards against a false promise that a request has not run: a refusal without
// an id, of a health check or of another request, arrives in its response's
// place.
TEST_F(UpstreamClientTest, RefusalWithoutIdProvesNothing)
{
  EXPECT_EQ(Send({ "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
                   "Content-Length: 0\r\n\r\n" })[0]
              .kind,
            Kind::OutcomeUnknown);
}

// Guards against a false promise that a request has not run: the upstream
// repeats its refusal of a health check where the response to the next request
// on the connection is due.
TEST_F(UpstreamClientTest, RepeatedRefusalOfAHealthCheckIsSkipped)
{
  const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                              "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  upstream = std::make_unique<ScriptedUpstream>(
    context,
    std::vector<std::string>{ refusal, refusal + ResponseTo("r-1", "ran") });
  asio::co_spawn(context, ProbeThenSend(), asio::detached);
  context.run();
  EXPECT_EQ(results.at(0).kind, Kind::Response) << results.at(0).reason;
  EXPECT_EQ(upstream->Connections(), 1U);
  EXPECT_EQ(client.SkippedResponses(), 1U);
}

// An upstream sends a second response after the expected one. It must not be
// taken for the response to the next request.
TEST_F(UpstreamClientTest, ExtraResponseEndsReuse)
{
  const auto attempts =
    Send({ ResponseTo("r-1", "a") + ResponseTo("r-1", "again"),
           ResponseTo("r-2", "b") },
         2);
  EXPECT_EQ(attempts[0].response.body, "a");
  EXPECT_EQ(attempts[1].response.body, "b");
  EXPECT_EQ(upstream->Connections(), 2U);
}

// Guards against responses that wait for a link that is idle: the egress queue
// counts the bytes of requests whose upstream could not be reached.
TEST_F(UpstreamClientTest, UnreachableUpstreamIsNotSent)
{
  tcp::acceptor closed(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const auto port = closed.local_endpoint().port();
  closed.close();
  AttemptResult result;
  auto request = std::make_shared<UpstreamRequest>();
  request->method = "GET";
  request->target = "/x";
  request->requestId = "r-1";
  asio::co_spawn(
    context,
    client.RoundTrip(
      UpstreamProcess{ "i-1", "127.0.0.1:" + std::to_string(port) },
      request,
      std::chrono::seconds{ 1 },
      std::make_shared<AttemptHandle>()),
    [&](const std::exception_ptr&, AttemptResult aResult) {
      result = std::move(aResult);
    });
  context.run();
  EXPECT_EQ(result.kind, Kind::NotSent);
  EXPECT_EQ(bytesWritten, 0U);
}

TEST_F(UpstreamClientTest, CountsTheBytesOfAWrittenRequest)
{
  Send({ ResponseTo("r-1", "a") });
  EXPECT_EQ(bytesWritten, upstream->Heads().front().size());
}

// Guards against a request that its connect timer ends: the host pauses, and
// the connection is established just as the timer expires. The timer's handler
// runs although the timer is cancelled.
TEST_F(UpstreamClientTest, LateConnectTimerDoesNotEndTheRequest)
{
  upstream = std::make_unique<ScriptedUpstream>(
    context, std::vector<std::string>{ ResponseTo("r-1", "a") });
  asio::co_spawn(context, SendAll(1), asio::detached);
  while (client.ConnectionsOpened() == 0) {
    context.poll_one();
  }
  std::this_thread::sleep_for(kLongerThanConnectTimeout);
  context.run();
  EXPECT_EQ(results.at(0).kind, Kind::Response) << results.at(0).reason;
}

// Guards against a host that is killed: responses of any length were read into
// memory. One that never fits ends the attempt at once.
TEST_F(UpstreamClientTest, ResponseBeyondTheBudgetIsNotRead)
{
  const auto attempts =
    Send({ ResponseTo("r-1", std::string(2 * kBodyBytes, 'x')) });
  EXPECT_EQ(attempts[0].kind, Kind::OutcomeUnknown);
  // The upstream and the path to it are well.
  EXPECT_TRUE(attempts[0].responded);
  EXPECT_TRUE(attempts[0].noRoom);
  EXPECT_FALSE(attempts[0].connectionLost);
  EXPECT_EQ(bodies.BytesInUse(), 0U);
  EXPECT_LT(bodies.PeakBytes(), kBodyBytes);
}

TEST_F(UpstreamClientTest, ResponseWithoutLengthBeyondTheBudgetIsNotRead)
{
  const auto attempts = Send({ "HTTP/1.1 200 OK\r\nId: r-1\r\n"
                               "Signature: s\r\n\r\n" +
                               std::string(2 * kBodyBytes, 'x') });
  EXPECT_EQ(attempts[0].kind, Kind::OutcomeUnknown);
  EXPECT_LE(bodies.PeakBytes(), kBodyBytes);
  // The upstream's fault: another one may have a response that ends.
  EXPECT_FALSE(attempts[0].noRoom);
}

// Guards against memory that the responses to slow callers take beyond the
// budget: a response waits until another one has been written.
TEST_F(UpstreamClientTest, LargeResponseWaitsForRoom)
{
  auto held = bodies.TryReserve(MemoryBudget::Use::Response, kBodyBytes / 2);
  asio::steady_timer timer(context, milliseconds{ 50 });
  timer.async_wait([&](auto) { held.reset(); });
  const std::string body(kBodyBytes * 3 / 4, 'x');
  const auto attempts = Send({ ResponseTo("r-1", body) });
  ASSERT_EQ(attempts[0].kind, Kind::Response) << attempts[0].reason;
  EXPECT_EQ(attempts[0].response.body, body);
  EXPECT_EQ(bodies.BytesInUse(), body.size());
}

const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nId: r-1\r\nSignature: s\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

// Guards against a host whose memory an upstream fills: the end of a chunk's
// size line was looked for in all that arrived.
TEST_F(UpstreamClientTest, ExtensionOfAChunkIsBounded)
{
  const auto attempts =
    Send({ kChunkedHead + "4;x=" + std::string(4 * kBodyBytes, 'a') });
  EXPECT_EQ(attempts[0].kind, Kind::OutcomeUnknown);
  EXPECT_TRUE(attempts[0].responded);
  EXPECT_FALSE(attempts[0].connectionLost);
}

TEST_F(UpstreamClientTest, TrailersAreBounded)
{
  std::string trailers;
  while (trailers.size() < kBodyBytes) {
    trailers += "More: more\r\n";
  }
  const auto attempts = Send({ kChunkedHead + "0\r\n" + trailers });
  EXPECT_EQ(attempts[0].kind, Kind::OutcomeUnknown);
  EXPECT_TRUE(attempts[0].responded);
}

// Guards against a host that is busy with tiny chunks until the deadline.
TEST_F(UpstreamClientTest, MoreFramingThanBodyIsRefused)
{
  std::string chunks;
  while (chunks.size() < kBodyBytes / 2) {
    chunks += "4\r\naaaa\r\n";
  }
  const auto attempts = Send({ kChunkedHead + chunks + "0\r\n\r\n" });
  EXPECT_EQ(attempts[0].kind, Kind::OutcomeUnknown);
  EXPECT_TRUE(attempts[0].responded);
  EXPECT_LT(bodies.PeakBytes(), kBodyBytes / 4);
}

TEST_F(UpstreamClientTest, ChunkWithAnExtensionIsRead)
{
  const auto attempts =
    Send({ kChunkedHead + "4;x=y\r\nbody\r\n0\r\nMore: more\r\n\r\n" });
  ASSERT_EQ(attempts[0].kind, Kind::Response) << attempts[0].reason;
  EXPECT_EQ(attempts[0].response.body, "body");
}

// Guards against a caller that gets an interim response as its final one.
TEST_F(UpstreamClientTest, InterimResponsesAreSkipped)
{
  const std::string interim =
    "HTTP/1.1 103 Early Hints\r\nId: r-1\r\nSignature: s\r\n\r\n";
  const auto attempts =
    Send({ interim + interim + ResponseTo("r-1", "the final one") });
  ASSERT_EQ(attempts[0].kind, Kind::Response) << attempts[0].reason;
  EXPECT_EQ(attempts[0].response.status, 200U);
  EXPECT_EQ(attempts[0].response.body, "the final one");
}

TEST_F(UpstreamClientTest, InterimResponsesWithoutEndAreAFailure)
{
  std::string interim;
  for (int count = 0; count < 100; ++count) {
    interim += "HTTP/1.1 100 Continue\r\nId: r-1\r\nSignature: s\r\n\r\n";
  }
  const auto attempts = Send({ interim });
  EXPECT_EQ(attempts[0].kind, Kind::OutcomeUnknown);
  EXPECT_TRUE(attempts[0].responded);
}

/// Upstream that accepts one connection and reads it late, with a small window.
class LateReader
{
public:
  explicit LateReader(asio::io_context& aContext)
    : mAcceptor(aContext, tcp::v4())
  {
    mAcceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    mAcceptor.bind({ asio::ip::address_v4::loopback(), 0 });
    mAcceptor.listen();
    asio::co_spawn(aContext, Serve(), asio::detached);
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  static constexpr milliseconds kPause{ 2000 };

private:
  asio::awaitable<void> Serve()
  {
    auto [error, socket] = co_await mAcceptor.async_accept(kAwait);
    asio::steady_timer pause(mAcceptor.get_executor(), kPause);
    co_await pause.async_wait(kAwait);
    std::string received;
    co_await asio::async_read_until(
      socket, asio::dynamic_buffer(received), "the end", kAwait);
    const std::string response = ResponseTo("r-1", "done");
    co_await asio::async_write(socket, asio::buffer(response), kAwait);
  }

  tcp::acceptor mAcceptor;
};

// Guards against a request that is cut off while its upstream, which
// acknowledges everything, has not begun to read the body.
TEST_F(UpstreamClientTest, UpstreamMayReadALongBodyLate)
{
  LateReader reader(context);
  auto request = std::make_shared<UpstreamRequest>();
  request->method = "PUT";
  request->target = "/x";
  request->requestId = "r-1";
  request->hasBody = true;
  request->body = std::string(kBodyBytes, 'x') + "the end";
  AttemptResult result;
  asio::co_spawn(context,
                 client.RoundTrip(UpstreamProcess{ "i-1", reader.Address() },
                                  request,
                                  3 * LateReader::kPause,
                                  std::make_shared<AttemptHandle>()),
                 [&](const std::exception_ptr&, AttemptResult aResult) {
                   result = std::move(aResult);
                   context.stop();
                 });
  SystemClock now;
  for (int sweep = 0; sweep < 40 && !context.stopped(); ++sweep) {
    context.run_for(milliseconds{ 200 });
    client.CheckPeers(now.Now());
  }
  EXPECT_EQ(result.kind, Kind::Response) << result.reason;
  EXPECT_EQ(client.SilentConnections(), 0U);
}

// Guards against a list of refused requests that grows with the load: only
// those that may still be sent again are kept.
TEST(RefusedRequestsTest, ForgetsRequestsAfterTheirDeadline)
{
  RefusedRequests refused;
  Instant now{ std::chrono::hours{ 1 } };
  for (size_t number = 0; number < 4 * RefusedRequests::kMaxRequests;
       ++number) {
    now += milliseconds{ 10 };
    refused.Add(std::to_string(number), now + std::chrono::seconds{ 1 }, now);
    EXPECT_FALSE(refused.IsFull());
  }
  const std::string last =
    std::to_string(4 * RefusedRequests::kMaxRequests - 1);
  EXPECT_TRUE(refused.Contains(last, now));
  EXPECT_FALSE(refused.Contains(last, now + std::chrono::seconds{ 1 }));
  EXPECT_FALSE(refused.Contains("0", now));
}

// Guards against requests of unknown outcome: an upstream restarts with the
// same id and address. A connection to the earlier process still looks open and
// must not be reused.
TEST(ConnectionPoolTest, ConnectionsAreReusedWithinOneIncarnation)
{
  asio::io_context context;
  ConnectionPool pool;
  const Instant now{ std::chrono::hours{ 1 } };
  tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  const auto connect = [&] {
    auto connection = std::make_shared<UpstreamConnection>(
      asio::any_io_executor(context.get_executor()));
    connection->socket.connect(acceptor.local_endpoint());
    connection->usableUntil = now + std::chrono::seconds{ 9 };
    return connection;
  };
  const UpstreamProcess earlier{ "i-1", "10.0.0.1:80", 100 };
  const UpstreamProcess later{ "i-1", "10.0.0.1:80", 200 };
  pool.Put(earlier, connect());
  EXPECT_NE(pool.Take(earlier, "r-1", now), nullptr);
  pool.Put(earlier, connect());
  EXPECT_EQ(pool.Take(later, "r-1", now), nullptr);
  pool.Put(earlier, connect());
  EXPECT_EQ(pool.Take(later, "r-1", now), nullptr);
  pool.Put(later, connect());
  EXPECT_NE(pool.Take(later, "r-1", now), nullptr);
}

} // namespace
} // namespace rattandyke::gateway
