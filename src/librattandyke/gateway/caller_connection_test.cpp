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

constexpr uint32_t kMaxHeadBytes = 8192;

class CallerConnectionTest : public ::testing::Test
{
protected:
  CallerConnectionTest()
  {
    tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    caller.connect(acceptor.local_endpoint());
    tcp::socket accepted = acceptor.accept();
    descriptor = accepted.native_handle();
    connection = std::make_shared<CallerConnection>(std::move(accepted), clock);
  }

  void Send(const std::string& aText)
  {
    asio::write(caller, asio::buffer(aText));
  }

  /// Starts a read and runs all handlers that are ready.
  void BeginRead(Duration aIdleTimeout = std::chrono::seconds{ 9 })
  {
    context.restart();
    asio::co_spawn(context, ReadRequest(aIdleTimeout), asio::detached);
    context.poll();
  }

  asio::awaitable<void> ReadRequest(Duration aIdleTimeout)
  {
    error = co_await connection->ReadHead(*parser, kMaxHeadBytes, aIdleTimeout);
    if (!error && !parser->is_done()) {
      BodyRoom room(context.get_executor(),
                    budget,
                    MemoryBudget::Use::Request,
                    Duration::zero(),
                    clock);
      error = co_await connection->ReadRequestBody(*parser, aIdleTimeout, room);
    }
    finished = true;
  }

  /// Runs until the read has finished.
  void Finish()
  {
    while (!finished && context.run_one() > 0) {
    }
  }

  testing::SteppedClock clock;
  asio::io_context context;
  MemoryBudget budget{ size_t{ 1024 } * 1024 };
  tcp::socket caller{ context };
  /// Descriptor of the connection's socket.
  int descriptor = -1;
  std::shared_ptr<CallerConnection> connection;
  std::optional<CallerConnection::Parser> parser{ std::in_place };
  ErrorCode error;
  bool finished = false;
};

TEST_F(CallerConnectionTest, DrainEndsIdleConnection)
{
  BeginRead();
  connection->Drain();
  Finish();
  EXPECT_EQ(error, asio::error::operation_aborted);
  EXPECT_TRUE(connection->IsDraining());
}

// Guards against the loss of a request that arrives as the connection is
// drained: the host shuts down, and a request has arrived on an idle connection
// but has not been read. The request must be read; the connection closes after
// its response.
TEST_F(CallerConnectionTest, RequestArrivingAtDrainIsRead)
{
  BeginRead();
  Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  connection->Drain();
  Finish();
  EXPECT_FALSE(error);
  EXPECT_EQ(parser->get().target(), "/x");
  EXPECT_TRUE(connection->IsDraining());
}

// The same when part of the head or of the body has already been read.
TEST_F(CallerConnectionTest, PartlyReadRequestIsReadToItsEndAfterDrain)
{
  const std::string whole =
    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n12345678";
  for (const size_t sent : { size_t{ 9 }, whole.size() - 4 }) {
    Send(whole.substr(0, sent));
    parser.emplace();
    finished = false;
    BeginRead();
    connection->Drain();
    context.poll();
    EXPECT_FALSE(finished);
    Send(whole.substr(sent));
    Finish();
    EXPECT_FALSE(error);
    EXPECT_EQ(parser->get().body(), "12345678");
  }
}

class CallerConnectionDrainTest
  : public CallerConnectionTest
  , public ::testing::WithParamInterface<int>
{};

// Guards against a connection that is closed without a response a third of a
// second after its caller sent a whole request. A large configuration change
// delayed the host until the idle timeout had expired. Then the host read the
// request in two reads and drained the connection after the second read, before
// it handled the data. The request must be read whenever the drain happens.
TEST_P(CallerConnectionDrainTest, RequestInTwoReadsSurvivesDrainAtAnyStep)
{
  // Larger than the first read.
  const std::string body(900, 'b');
  BeginRead(Duration::zero());
  Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" + body);
  for (int handler = 0; handler < GetParam(); ++handler) {
    context.poll_one();
  }
  connection->Drain();
  Finish();
  EXPECT_FALSE(error) << error.message();
  EXPECT_EQ(parser->get().body(), body);
}

INSTANTIATE_TEST_SUITE_P(AfterHandlers,
                         CallerConnectionDrainTest,
                         ::testing::Range(0, 5));

// Guards against a connection that is kept after its idle timeout because the
// caller sent only the beginning of a request.
TEST_F(CallerConnectionTest, IncompleteRequestEndsWithIdleTimeout)
{
  Send("GET /x HT");
  BeginRead(Duration::zero());
  connection->Drain();
  Finish();
  EXPECT_EQ(error, asio::error::operation_aborted);
}

// Guards against a shutdown that never completes: the host drains a connection
// between two reads, when there is no read to cancel. The next read must end.
TEST_F(CallerConnectionTest, DrainBeforeReadEndsTheRead)
{
  connection->Drain();
  BeginRead();
  EXPECT_TRUE(finished);
  EXPECT_EQ(error, asio::error::operation_aborted);
}

// The same when a request has arrived by then: it is read.
TEST_F(CallerConnectionTest, DrainBeforeReadKeepsArrivedRequest)
{
  connection->Drain();
  Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  BeginRead();
  Finish();
  EXPECT_FALSE(error);
}

// Guards against a request that is never read to its end: the caller waits for
// 100 Continue before it sends its body, its link is delayed, and the response
// is still in the send buffer when the host drains the connection.
TEST_F(CallerConnectionTest, DrainDoesNotCancelContinueResponse)
{
  Send("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
       "Content-Length: 4\r\n\r\n");
  const std::string filler(65536, '.');
  while (send(descriptor, filler.data(), filler.size(), MSG_DONTWAIT) > 0) {
  }
  BeginRead();
  connection->Drain();
  context.poll();
  EXPECT_FALSE(finished);
  std::string received;
  caller.non_blocking(true);
  constexpr int kMaxRounds = 2000;
  for (int round = 0; round < kMaxRounds && !received.ends_with("\r\n\r\n");
       ++round) {
    std::array<char, 65536> bytes;
    ErrorCode ignored; // There may be no data in this round.
    const size_t read = caller.read_some(asio::buffer(bytes), ignored);
    received.append(bytes.data(), read);
    context.run_for(std::chrono::milliseconds{ 1 });
  }
  EXPECT_TRUE(received.ends_with("HTTP/1.1 100 Continue\r\n\r\n"));
  Send("1234");
  Finish();
  EXPECT_FALSE(error);
  EXPECT_EQ(parser->get().body(), "1234");
}

// Guards against the loss of a request on a delayed link: it begins to arrive
// just before the idle timeout, and the rest arrives just after. The caller has
// respected the idle timeout.
TEST_F(CallerConnectionTest, RequestStartedBeforeIdleTimeoutIsReadToItsEnd)
{
  BeginRead(std::chrono::seconds{ 9 });
  clock.Step(std::chrono::milliseconds{ 8990 });
  Send("GET /x HT");
  context.poll();
  clock.Step(std::chrono::milliseconds{ 20 });
  ASSERT_TRUE(connection->IsIdleTooLong(clock.Now()));
  connection->Drain();
  context.poll();
  EXPECT_FALSE(finished);
  Send("TP/1.1\r\nHost: h\r\n\r\n");
  Finish();
  EXPECT_FALSE(error);
}

// The same when the rest never arrives: the connection gets one more idle
// timeout, not more.
TEST_F(CallerConnectionTest, IncompleteRequestGetsOneMoreIdleTimeout)
{
  BeginRead(std::chrono::seconds{ 9 });
  clock.Step(std::chrono::milliseconds{ 8990 });
  Send("GET /x HT");
  context.poll();
  for (int sweep = 0; sweep < 2; ++sweep) {
    clock.Step(std::chrono::seconds{ 9 });
    ASSERT_TRUE(finished || connection->IsIdleTooLong(clock.Now()));
    connection->Drain();
    context.poll();
  }
  EXPECT_TRUE(finished);
  EXPECT_EQ(error, asio::error::operation_aborted);
}

// Guards against a request that is cancelled by a spurious readiness event: the
// kernel reports the socket as readable, but when the event is handled another
// reader has consumed the data, and the caller is still connected.
TEST_F(CallerConnectionTest, SpuriousReadinessIsNoDisconnect)
{
  tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  tcp::socket signal(context);
  signal.connect(acceptor.local_endpoint());
  tcp::socket trigger = acceptor.accept();
  std::array<char, 9> consumed;
  ssize_t received = 0;
  trigger.async_wait(tcp::socket::wait_read, [&](ErrorCode) {
    received = recv(descriptor, consumed.data(), consumed.size(), MSG_DONTWAIT);
  });
  const auto request = std::make_shared<RequestContext>(context.get_executor());
  connection->WatchForDisconnect(request);
  asio::write(signal, asio::buffer("1", 1)); // This event is handled first.
  Send("2");
  context.poll();
  ASSERT_EQ(received, 1);
  EXPECT_FALSE(request->HasCallerDisconnected());
  caller.close();
  context.restart();
  context.poll();
  EXPECT_TRUE(request->HasCallerDisconnected())
    << "the connection is no longer watched";
}

TEST_F(CallerConnectionTest, CloseByCallerIsDetected)
{
  const auto request = std::make_shared<RequestContext>(context.get_executor());
  connection->WatchForDisconnect(request);
  context.poll();
  EXPECT_FALSE(request->HasCallerDisconnected());
  caller.close();
  context.restart();
  context.poll();
  EXPECT_TRUE(request->HasCallerDisconnected());
}

TEST_F(CallerConnectionTest, ResetByCallerIsDetected)
{
  const auto request = std::make_shared<RequestContext>(context.get_executor());
  connection->WatchForDisconnect(request);
  caller.set_option(asio::socket_base::linger(true, 0));
  caller.close();
  context.poll();
  EXPECT_TRUE(request->HasCallerDisconnected());
}

TEST_F(CallerConnectionTest, ConnectionHandlingRequestIsNotIdle)
{
  Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  BeginRead(Duration::zero());
  Finish();
  EXPECT_FALSE(connection->IsReading());
  EXPECT_FALSE(connection->IsIdleTooLong(clock.Now()));
}

} // namespace
} // namespace rattandyke::gateway
