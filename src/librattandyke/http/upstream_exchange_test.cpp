#include "http/upstream_exchange.h"

#include <thread>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "base/clock.h"

namespace rattandyke::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// A caller's request, which must run once, ends with an unknown outcome though
// its upstream is sound. The entry is held up while it connects; then the
// connection stands and the time of connecting is over at the same moment. The
// timer's handler is called although it was cancelled, and closes the
// connection under the request that has been sent on it.
TEST(UpstreamExchange, LateTimerOfConnectingDoesNotEndTheRequest)
{
  asio::io_context context;
  tcp::acceptor upstream(context, { asio::ip::address_v4::loopback(), 0 });
  Limits limits;
  limits.connectTime = milliseconds{ 20 };
  const SystemClock clock;
  UpstreamPool pool(context.get_executor(), limits);
  const auto exchange = std::make_shared<UpstreamExchange>(
    context.get_executor(),
    pool,
    Endpoint{ "127.0.0.1", upstream.local_endpoint().port() },
    limits,
    clock);
  error_code error = asio::error::would_block;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      error = co_await exchange->Connect(false);
    },
    asio::detached);
  context.poll_one();
  std::this_thread::sleep_for(limits.connectTime * 2);
  while (error == asio::error::would_block) {
    context.run_one();
  }
  ASSERT_FALSE(error) << error.message();
  context.restart();
  context.poll();
  EXPECT_FALSE(exchange->Aborted());
}

} // namespace
} // namespace rattandyke::http
