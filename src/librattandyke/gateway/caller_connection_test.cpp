#include "gateway/caller_connection.h"

#include <optional>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

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
    connection = std::make_shared<CallerConnection>(acceptor.accept(), clock);
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

  SystemClock clock;
  asio::io_context context;
  tcp::socket caller{ context };
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
