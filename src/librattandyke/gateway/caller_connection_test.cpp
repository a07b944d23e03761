#include "gateway/caller_connection.h"

#include <array>
#include <optional>

#include <sys/socket.h>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "testing/stepped_clock.h"

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = CallerConnection::ErrorCode;

class CallerConnectionTest : public ::testing::Test
{
protected:
  CallerConnectionTest()
  {
    tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    caller.connect(acceptor.local_endpoint());
    tcp::socket accepted = acceptor.accept();
    handle = accepted.native_handle();
    connection = std::make_shared<CallerConnection>(std::move(accepted), clock);
  }

  void Send(const std::string& aText)
  {
    asio::write(caller, asio::buffer(aText));
  }

  /// Begins to read and lets all handlers run that can run.
  void BeginRead(Duration aIdle = std::chrono::seconds{ 9 })
  {
    context.restart();
    asio::co_spawn(context, Read(aIdle), asio::detached);
    context.poll();
  }

  asio::awaitable<void> Read(Duration aIdle)
  {
    error = co_await connection->Read(*parser, aIdle);
    over = true;
  }

  /// Runs until the read is over.
  void Finish()
  {
    while (!over && context.run_one() > 0) {
    }
  }

  testing::SteppedClock clock;
  asio::io_context context;
  tcp::socket caller{ context };
  /// Of the connection's socket.
  int handle = -1;
  std::shared_ptr<CallerConnection> connection;
  std::optional<CallerConnection::Parser> parser{ std::in_place };
  ErrorCode error;
  bool over = false;
};

TEST_F(CallerConnectionTest, IdleConnectionEnds)
{
  BeginRead();
  connection->End();
  Finish();
  EXPECT_EQ(error, asio::error::operation_aborted);
  EXPECT_TRUE(connection->IsEnding());
}

// The host leaves: it ends its idle connections. In that moment a request has
// arrived on one of them and has not been read. Its caller may not repeat it,
// and gets its answer; the connection ends with that.
TEST_F(CallerConnectionTest, RequestThatArrivesAsTheConnectionEndsIsRead)
{
  BeginRead();
  Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  connection->End();
  Finish();
  EXPECT_FALSE(error);
  EXPECT_EQ(parser->get().target(), "/x");
  EXPECT_TRUE(connection->IsEnding());
}

// The same while half of its head, or of its body, has been read before.
TEST_F(CallerConnectionTest, RequestThatIsArrivingIsReadToItsEnd)
{
  const std::string whole =
    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n12345678";
  for (const size_t sent : { size_t{ 9 }, whole.size() - 4 }) {
    Send(whole.substr(0, sent));
    parser.emplace();
    over = false;
    BeginRead();
    connection->End();
    context.poll();
    EXPECT_FALSE(over);
    Send(whole.substr(sent));
    Finish();
    EXPECT_FALSE(error);
    EXPECT_EQ(parser->get().body(), "12345678");
  }
}

class CallerConnectionEndTest
  : public CallerConnectionTest
  , public ::testing::WithParamInterface<int>
{};

// The caller sees its connection closed with no answer, a third of a second
// after it sent a whole request on it. While a large change of the
// configuration held the host up, the connection had been idle for too long.
// Then the host read the request, in two reads, and ended the connection
// between the second one and the work on what it had read: all three were due
// at the same moment. Wherever the end falls, the request must be read.
TEST_P(CallerConnectionEndTest, RequestOfTwoReadsIsReadWholeWhereverTheEndFalls)
{
  // More than is read at once at first.
  const std::string body(900, 'b');
  BeginRead(Duration::zero());
  Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" + body);
  for (int handler = 0; handler < GetParam(); ++handler) {
    context.poll_one();
  }
  connection->End();
  Finish();
  EXPECT_FALSE(error) << error.message();
  EXPECT_EQ(parser->get().body(), body);
}

INSTANTIATE_TEST_SUITE_P(AfterHandlers,
                         CallerConnectionEndTest,
                         ::testing::Range(0, 5));

// A caller begins a request and sends no more of it. The connection is not kept
// for longer than an idle one.
TEST_F(CallerConnectionTest, RequestThatNeverArrivesWholeEndsWithTheIdleTime)
{
  Send("GET /x HT");
  BeginRead(Duration::zero());
  connection->End();
  Finish();
  EXPECT_EQ(error, asio::error::operation_aborted);
}

// The host ends an idle connection between two of its reads, or before its
// first one: nothing is there that could be cut short. Were the end forgotten,
// the connection would stay, and the host would wait for it until it is killed.
TEST_F(CallerConnectionTest, EndBeforeTheReadIsNotLost)
{
  connection->End();
  BeginRead();
  EXPECT_TRUE(over);
  EXPECT_EQ(error, asio::error::operation_aborted);
}

// The same with a request that has arrived by then: it is read.
TEST_F(CallerConnectionTest, EndBeforeTheReadOfARequestThatIsHere)
{
  connection->End();
  Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  BeginRead();
  Finish();
  EXPECT_FALSE(error);
}

// A caller asks whether it shall send its body. Its link is held up, and the
// answer to that waits in the send buffer when the host leaves. The caller
// waits for the word; without it the request ends half read.
TEST_F(CallerConnectionTest, EndDoesNotCutTheWordThatABodyMayCome)
{
  Send("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
       "Content-Length: 4\r\n\r\n");
  const std::string filler(65536, '.');
  while (send(handle, filler.data(), filler.size(), MSG_DONTWAIT) > 0) {
  }
  BeginRead();
  connection->End();
  context.poll();
  EXPECT_FALSE(over);
  std::string got;
  caller.non_blocking(true);
  constexpr int kMostRounds = 2000;
  for (int round = 0; round < kMostRounds && !got.ends_with("\r\n\r\n");
       ++round) {
    std::array<char, 65536> bytes;
    ErrorCode ignored; // Nothing may be there in this round.
    const size_t read = caller.read_some(asio::buffer(bytes), ignored);
    got.append(bytes.data(), read);
    context.run_for(std::chrono::milliseconds{ 1 });
  }
  EXPECT_TRUE(got.ends_with("HTTP/1.1 100 Continue\r\n\r\n"));
  Send("1234");
  Finish();
  EXPECT_FALSE(error);
  EXPECT_EQ(parser->get().body(), "1234");
}

// A link is held up: a request begins to arrive just before its connection has
// been idle for too long, and the rest of it just after. The caller kept to the
// idle time; it gets its answer.
TEST_F(CallerConnectionTest, RequestThatBeganWithinTheIdleTimeIsReadToItsEnd)
{
  BeginRead(std::chrono::seconds{ 9 });
  clock.Step(std::chrono::milliseconds{ 8990 });
  Send("GET /x HT");
  context.poll();
  clock.Step(std::chrono::milliseconds{ 20 });
  ASSERT_TRUE(connection->IsIdleTooLong(clock.Now()));
  connection->End();
  context.poll();
  EXPECT_FALSE(over);
  Send("TP/1.1\r\nHost: h\r\n\r\n");
  Finish();
  EXPECT_FALSE(error);
}

// The same, but the rest never comes: the connection is not kept for longer
// than an idle one.
TEST_F(CallerConnectionTest, RequestThatBeganWithinTheIdleTimeIsNotKeptForEver)
{
  BeginRead(std::chrono::seconds{ 9 });
  clock.Step(std::chrono::milliseconds{ 8990 });
  Send("GET /x HT");
  context.poll();
  for (int sweep = 0; sweep < 2; ++sweep) {
    clock.Step(std::chrono::seconds{ 9 });
    ASSERT_TRUE(over || connection->IsIdleTooLong(clock.Now()));
    connection->End();
    context.poll();
  }
  EXPECT_TRUE(over);
  EXPECT_EQ(error, asio::error::operation_aborted);
}

// The kernel reports that something can be read, and by the time in which the
// report is handled it has been taken: nothing is there, and the caller has not
// left. Taken for its end, a request that was read whole would get no answer.
TEST_F(CallerConnectionTest, EventWithNothingToReadIsNotTheCallersEnd)
{
  tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  tcp::socket signal(context);
  signal.connect(acceptor.local_endpoint());
  tcp::socket taker = acceptor.accept();
  std::array<char, 9> taken;
  ssize_t got = 0;
  taker.async_wait(tcp::socket::wait_read, [&](ErrorCode) {
    got = recv(handle, taken.data(), taken.size(), MSG_DONTWAIT);
  });
  const auto request = std::make_shared<RequestContext>(context.get_executor());
  connection->Watch(request);
  asio::write(signal, asio::buffer("1", 1)); // Handled first: it came first.
  Send("2");
  context.poll();
  ASSERT_EQ(got, 1);
  EXPECT_FALSE(request->HasCallerDisconnected());
  caller.close();
  context.restart();
  context.poll();
  EXPECT_TRUE(request->HasCallerDisconnected()) << "it is watched on";
}

TEST_F(CallerConnectionTest, CallerThatClosesIsNoticed)
{
  const auto request = std::make_shared<RequestContext>(context.get_executor());
  connection->Watch(request);
  context.poll();
  EXPECT_FALSE(request->HasCallerDisconnected());
  caller.close();
  context.restart();
  context.poll();
  EXPECT_TRUE(request->HasCallerDisconnected());
}

TEST_F(CallerConnectionTest, CallerWhoseConnectionIsResetIsNoticed)
{
  const auto request = std::make_shared<RequestContext>(context.get_executor());
  connection->Watch(request);
  caller.set_option(asio::socket_base::linger(true, 0));
  caller.close();
  context.poll();
  EXPECT_TRUE(request->HasCallerDisconnected());
}

TEST_F(CallerConnectionTest, ConnectionWithARequestIsNotIdle)
{
  Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  BeginRead(Duration::zero());
  Finish();
  EXPECT_FALSE(connection->IsIdle());
  EXPECT_FALSE(connection->IsIdleTooLong(clock.Now()));
}

} // namespace
} // namespace rattandyke::gateway
