#include "http/caller_stream.h"

#include <array>
#include <optional>

#include <sys/socket.h>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "testing/stepped_clock.h"

namespace rattandyke::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// A caller sends a whole request on a connection that reaches its idle limit,
// while the entry is held up. Both are due at the same moment: the end as idle
// must not close a connection on which a request lies, which would get neither
// an answer nor a refusal.
TEST(CallerStream, IdleEndDoesNotCutOffARequestThatIsHere)
{
  asio::io_context context;
  testing::SteppedClock clock;
  const Limits limits;
  tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  tcp::socket caller(context);
  caller.connect(acceptor.local_endpoint());
  const auto stream =
    std::make_shared<CallerStream>(acceptor.accept(), limits, clock);
  std::optional<bool> readable;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      readable = co_await stream->AwaitRequest();
    },
    asio::detached);
  context.poll();
  clock.Step(limits.idleTime);
  asio::write(caller,
              asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
  stream->CheckExpiry(clock.Now());
  context.restart();
  context.run_for(std::chrono::milliseconds{ 50 });
  EXPECT_EQ(readable, std::optional(true));
}

// Guards against an idle connection that counts as one on which a request
// arrives, and outlives a shutdown, after a readiness event without bytes.
TEST(CallerStream, SpuriousReadinessIsNoRequest)
{
  asio::io_context context;
  testing::SteppedClock clock;
  const Limits limits;
  tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  tcp::socket caller(context);
  caller.connect(acceptor.local_endpoint());
  tcp::socket accepted = acceptor.accept();
  const int descriptor = accepted.native_handle();
  const auto stream =
    std::make_shared<CallerStream>(std::move(accepted), limits, clock);
  tcp::socket signal(context);
  signal.connect(acceptor.local_endpoint());
  tcp::socket trigger = acceptor.accept();
  std::array<char, 9> consumed;
  ssize_t received = 0;
  trigger.async_wait(tcp::socket::wait_read, [&](const error_code&) {
    received = recv(descriptor, consumed.data(), consumed.size(), MSG_DONTWAIT);
  });
  std::optional<bool> readable;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      readable = co_await stream->AwaitRequest();
    },
    asio::detached);
  context.poll();
  asio::write(signal, asio::buffer("1", 1)); // This event is handled first.
  asio::write(caller, asio::buffer("2", 1));
  context.restart();
  context.poll();
  ASSERT_EQ(received, 1);
  EXPECT_FALSE(readable.has_value());
  stream->Leave();
  context.restart();
  context.poll();
  EXPECT_EQ(readable, std::optional(false));
}

} // namespace
} // namespace rattandyke::http
