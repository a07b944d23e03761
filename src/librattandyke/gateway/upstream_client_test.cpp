#include "gateway/upstream_client.h"

#include <thread>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "base/endpoint.h"
#include "http/headers.h"
#include "http/signal.h"

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using http::kAwait;
using std::chrono::milliseconds;

const HeaderNames kNames{ "Id",      "Deadline", "Signature", "Expected",
                          "Not-Run", "Instance", "Key" };

/// More than an exchange waits for a connection to stand.
constexpr milliseconds kLongerThanConnecting{ 300 };

/// Answers each request on a connection with the next of some texts, then
/// closes if it is told to.
class ScriptedUpstream
{
public:
  ScriptedUpstream(asio::io_context& aContext, std::vector<std::string> aTexts)
    : mAcceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , mTexts(std::move(aTexts))
  {
    asio::co_spawn(aContext, Accept(), asio::detached);
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  const std::vector<std::string>& Heads() const { return mHeads; }
  size_t Connections() const { return mConnections; }

private:
  asio::awaitable<void> Accept()
  {
    for (;;) {
      auto [error, socket] = co_await mAcceptor.async_accept(kAwait);
      if (error) {
        co_return;
      }
      ++mConnections;
      co_await Serve(std::move(socket));
    }
  }

  asio::awaitable<void> Serve(tcp::socket aSocket)
  {
    std::string received;
    while (mNext < mTexts.size()) {
      auto [error, size] = co_await asio::async_read_until(
        aSocket, asio::dynamic_buffer(received), "\r\n\r\n", kAwait);
      if (error) {
        co_return;
      }
      mHeads.push_back(received.substr(0, size));
      received.erase(0, size);
      const std::string text = mTexts[mNext++];
      co_await asio::async_write(aSocket, asio::buffer(text), kAwait);
    }
  }

  tcp::acceptor mAcceptor;
  std::vector<std::string> mTexts;
  std::vector<std::string> mHeads;
  size_t mNext = 0;
  size_t mConnections = 0;
};

std::string
AnswerTo(const std::string& aId,
         const std::string& aBody,
         const std::string& aFields = "Signature: s\r\n",
         const std::string& aStatus = "200 OK")
{
  return "HTTP/1.1 " + aStatus + "\r\nId: " + aId + "\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

class ExchangerTest : public ::testing::Test
{
protected:
  /// Sends requests "r-1", "r-2", ... one after the other.
  std::vector<AttemptResult> Send(std::vector<std::string> aTexts,
                                  size_t aCount = 1)
  {
    upstream = std::make_unique<ScriptedUpstream>(context, std::move(aTexts));
    asio::co_spawn(context, SendAll(aCount), asio::detached);
    context.run();
    return std::move(results);
  }

  asio::awaitable<void> SendAll(size_t aCount)
  {
    for (size_t number = 1; number <= aCount; ++number) {
      auto request = std::make_shared<UpstreamRequest>();
      request->method = "GET";
      request->target = "/x";
      request->requestId = "r-" + std::to_string(number);
      const UpstreamProcess peer{ "i-1", upstream->Address() };
      results.push_back(co_await exchanger.Run(
        peer, request, left, std::make_shared<AttemptHandle>()));
    }
    context.stop();
  }

  SystemClock clock;
  asio::io_context context;
  UpstreamClient exchanger{ context.get_executor(), kNames, clock };
  Duration left = std::chrono::seconds{ 1 };
  std::unique_ptr<ScriptedUpstream> upstream;
  std::vector<AttemptResult> results;
};

using Kind = AttemptResult::Kind;

TEST_F(ExchangerTest, NamesTheInstanceAndTheTimeLeft)
{
  const auto got = Send({ AnswerTo("r-1", "hello") });
  ASSERT_EQ(got[0].kind, Kind::Answer);
  EXPECT_EQ(got[0].answer.body, "hello");
  const std::string& head = upstream->Heads().front();
  EXPECT_NE(head.find("Expected: i-1\r\n"), std::string::npos);
  const size_t at = head.find("Deadline: ");
  ASSERT_NE(at, std::string::npos);
  EXPECT_LE(std::stoi(head.substr(at + 10)), 1000);
}

// The host is held up until the request's time is over. Sent now, it would tell
// the upstream of no time left, which many take for no limit: it would run for
// a caller that is gone. It is not sent, and nothing else is lost by it.
TEST_F(ExchangerTest, RequestWhoseTimeIsOverIsNotSent)
{
  for (const Duration time :
       { Duration(milliseconds{ -853 }), Duration::zero() }) {
    left = time;
    const auto got = Send({ AnswerTo("r-1", "a") });
    ASSERT_EQ(got.size(), 1U);
    EXPECT_EQ(got[0].kind, Kind::NotSent);
    EXPECT_TRUE(upstream->Heads().empty());
    context.restart();
    results.clear();
  }
}

TEST_F(ExchangerTest, KeptConnectionIsUsedAgain)
{
  const auto got = Send({ AnswerTo("r-1", "a"), AnswerTo("r-2", "b") }, 2);
  EXPECT_EQ(got[1].answer.body, "b");
  EXPECT_EQ(upstream->Connections(), 1U);
}

// An upstream sends the answer to an earlier request again, just before the
// one that is awaited. The caller must get its own, and the connection, on
// which more may come, must not be used again.
TEST_F(ExchangerTest, AnswerToAnotherRequestIsSkipped)
{
  const auto got = Send(
    { AnswerTo("r-0", "old") + AnswerTo("r-1", "new"), AnswerTo("r-2", "b") },
    2);
  ASSERT_EQ(got[0].kind, Kind::Answer);
  EXPECT_EQ(got[0].answer.body, "new");
  EXPECT_EQ(got[1].answer.body, "b");
  EXPECT_EQ(upstream->Connections(), 2U);
}

// An upstream sends a second answer after the one that was awaited. It must not
// be taken for the answer to the next request.
TEST_F(ExchangerTest, ExtraAnswerEndsTheConnection)
{
  const auto got = Send(
    { AnswerTo("r-1", "a") + AnswerTo("r-1", "again"), AnswerTo("r-2", "b") },
    2);
  EXPECT_EQ(got[0].answer.body, "a");
  EXPECT_EQ(got[1].answer.body, "b");
  EXPECT_EQ(upstream->Connections(), 2U);
}

// A faulty upstream sends a success without its signature, without the
// request's id, or with an encoding that nobody asked for. None of these bytes
// are its answer; the request may have run.
TEST_F(ExchangerTest, SuccessThatIsNotTheUpstreamsOwnIsNoAnswer)
{
  EXPECT_EQ(Send({ AnswerTo("r-1", "x", "") })[0].kind, Kind::Unknown);
}

TEST_F(ExchangerTest, EncodedSuccessIsNoAnswer)
{
  EXPECT_EQ(Send({ AnswerTo(
              "r-1", "x", "Signature: s\r\nContent-Encoding: gzip\r\n") })[0]
              .kind,
            Kind::Unknown);
}

TEST_F(ExchangerTest, BytesThatAreNoAnswerAreNoAnswer)
{
  EXPECT_EQ(Send({ "SSH-2.0-x\r\n\r\n" })[0].kind, Kind::Unknown);
}

// The connection breaks in the middle of the body. What came must not be passed
// on as if it were whole.
TEST_F(ExchangerTest, TruncatedAnswerIsNoAnswer)
{
  std::string text = AnswerTo("r-1", "0123456789");
  text.resize(text.size() - 4);
  EXPECT_EQ(Send({ text })[0].kind, Kind::Unknown);
}

TEST_F(ExchangerTest, RefusalsProveThatNothingRan)
{
  EXPECT_EQ(
    Send({ AnswerTo("r-1", "", "", "421 Misdirected Request") })[0].kind,
    Kind::NotRun);
}

TEST_F(ExchangerTest, FullUpstreamProvesThatNothingRan)
{
  EXPECT_EQ(Send({ AnswerTo(
              "r-1", "", "Not-Run: 1\r\n", "503 Service Unavailable") })[0]
              .kind,
            Kind::NotRun);
}

// A 503 without the proof says nothing: the request may have run.
TEST_F(ExchangerTest, FailureWithoutProofIsNoRefusal)
{
  EXPECT_NE(
    Send({ AnswerTo("r-1", "", "", "503 Service Unavailable") })[0].kind,
    Kind::NotRun);
}

/// What an upstream sends, and what is known of the request then.
struct Proof
{
  const char* status;
  const char* fields;
  Kind known;
};

class ProofTest
  : public ExchangerTest
  , public ::testing::WithParamInterface<Proof>
{};

constexpr const char* kOwn = "Signature: s\r\n";
constexpr const char* kProved = "Signature: s\r\nNot-Run: 1\r\n";

// Guards against a status that promises "not run" to a caller although nothing
// proves it, and against a failure that an upstream made being replaced.
TEST_P(ProofTest, OnlyProvedRefusalsAreRefusals)
{
  const Proof& proof = GetParam();
  const auto got = Send({ AnswerTo("r-1", "x", proof.fields, proof.status) });
  ASSERT_EQ(got.size(), 1U);
  EXPECT_EQ(got[0].kind, proof.known) << proof.status << " " << proof.fields;
}

INSTANTIATE_TEST_SUITE_P(
  Statuses,
  ProofTest,
  ::testing::Values(Proof{ "408 Request Timeout", kOwn, Kind::Unknown },
                    Proof{ "429 Too Many Requests", kOwn, Kind::Unknown },
                    Proof{ "503 Service Unavailable", kOwn, Kind::Unknown },
                    Proof{ "503 Service Unavailable", "", Kind::Unknown },
                    Proof{ "408 Request Timeout", kProved, Kind::NotRun },
                    Proof{ "421 Misdirected Request", kOwn, Kind::NotRun },
                    Proof{ "429 Too Many Requests", kProved, Kind::NotRun },
                    Proof{ "503 Service Unavailable", kProved, Kind::NotRun },
                    Proof{ "500 Internal Server Error", kOwn, Kind::Answer },
                    Proof{ "504 Gateway Timeout", kOwn, Kind::Answer },
                    Proof{ "502 Bad Gateway", "", Kind::Unknown },
                    Proof{ "200 OK", kProved, Kind::Answer }));

TEST_F(ExchangerTest, UnreachableUpstreamWasSentNothing)
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
    exchanger.Run(UpstreamProcess{ "i-1", "127.0.0.1:" + std::to_string(port) },
                  request,
                  std::chrono::seconds{ 1 },
                  std::make_shared<AttemptHandle>()),
    [&](const std::exception_ptr&, AttemptResult aResult) {
      result = std::move(aResult);
    });
  context.run();
  EXPECT_EQ(result.kind, Kind::NotSent);
}

// The connection stands in the moment in which the time for it runs out, since
// the host paused: the timer's handler is called although the timer was
// cancelled. It must not close the connection in the middle of the request.
TEST_F(ExchangerTest, LateTimerOfConnectingDoesNotEndTheRequest)
{
  upstream = std::make_unique<ScriptedUpstream>(
    context, std::vector<std::string>{ AnswerTo("r-1", "a") });
  asio::co_spawn(context, SendAll(1), asio::detached);
  while (exchanger.Connects() == 0) {
    context.poll_one();
  }
  std::this_thread::sleep_for(kLongerThanConnecting);
  context.run();
  EXPECT_EQ(results.at(0).kind, Kind::Answer) << results.at(0).reason;
}

// An upstream starts again under its id, at the same address. A connection to
// the process before looks open and is not used again: what is sent on it may
// or may not run.
TEST(ConnectionPoolTest, ConnectionsAreKeptForOneLife)
{
  asio::io_context context;
  ConnectionPool pool;
  const Instant now{ std::chrono::hours{ 1 } };
  tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  const auto connect = [&] {
    auto connection = std::make_shared<UpstreamConnection>(
      asio::any_io_executor(context.get_executor()));
    connection->socket.connect(acceptor.local_endpoint());
    connection->goodUntil = now + std::chrono::seconds{ 9 };
    return connection;
  };
  const UpstreamProcess earlier{ "i-1", "10.0.0.1:80", 100 };
  const UpstreamProcess later{ "i-1", "10.0.0.1:80", 200 };
  pool.Put(earlier, connect());
  EXPECT_NE(pool.Take(earlier, now), nullptr);
  pool.Put(earlier, connect());
  EXPECT_EQ(pool.Take(later, now), nullptr);
  pool.Put(earlier, connect());
  EXPECT_EQ(pool.Take(later, now), nullptr);
  pool.Put(later, connect());
  EXPECT_NE(pool.Take(later, now), nullptr);
}

} // namespace
} // namespace rattandyke::gateway
