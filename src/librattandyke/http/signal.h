/// Wakes the one coroutine that waits for something on its strand.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattandyke::http {

/// Completion token of every operation here: errors as values.
inline constexpr auto kAwait =
  boost::asio::as_tuple(boost::asio::use_awaitable);

/// Not thread-safe: all on one strand. One waiter at a time.
class Signal
{
public:
  explicit Signal(const boost::asio::any_io_executor& aStrand)
    : mTimer(aStrand, boost::asio::steady_timer::time_point::max())
  {
  }

  /// Waits for the next Notify; the caller checks its condition first and
  /// again afterwards.
  boost::asio::awaitable<void> Wait() { co_await mTimer.async_wait(kAwait); }

  void Notify() { mTimer.cancel(); }

private:
  boost::asio::steady_timer mTimer;
};

} // namespace rattandyke::http
