/// One caller's connection: requests in, answers out.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "base/clock.h"
#include "http/expiry.h"
#include "http/headers.h"
#include "http/limits.h"
#include "http/signal.h"

namespace rattandyke::http {

using boost::system::error_code;

/// Reads and writes with timeouts, and notices a caller that goes away while
/// its request is worked on. All on one strand, but for CheckExpiry.
class CallerStream : public std::enable_shared_from_this<CallerStream>
{
public:
  CallerStream(boost::asio::ip::tcp::socket aSocket,
               const Limits& aLimits,
               const Clock& aClock);

  /// Waits for the next request's first byte.
  /// @return false if the caller closed, was idle too long, or is to close.
  boost::asio::awaitable<bool> AwaitRequest();

  /// Reads one request's head. Errors are Beast's, or timed_out.
  boost::asio::awaitable<error_code> ReadHead();
  const RequestHead& Head() const { return mParser->get().base(); }
  bool IsChunked() const { return mParser->chunked(); }
  bool KeepsAlive() const { return mParser->keep_alive(); }
  bool BodyDone() const { return mParser->is_done(); }
  std::optional<uint64_t> ContentLength() const;
  /// Body bytes that are still to come, if a length was announced.
  std::optional<uint64_t> RemainingLength() const;

  /// Reads some body bytes; 0 bytes without an error only at its end.
  boost::asio::awaitable<error_code> ReadBodySome(std::span<char> aInto,
                                                  size_t& aRead);

  /// Tells a caller that waits for it to send the body.
  boost::asio::awaitable<error_code> WriteContinue();

  /// Writes all of the buffers; a caller that does not read times out.
  template<typename Buffers>
  boost::asio::awaitable<error_code> Write(const Buffers& aBuffers);

  /// Begins to watch for the caller's going. Only once the body is done.
  /// @param aOnGone called at most once until StopWatch.
  void Watch(std::function<void()> aOnGone);
  void StopWatch() { mOnGone = nullptr; }

  void Close();

  /// Ends pending reads and writes with an error.
  void Cancel();

  /// Ends the connection so that the caller sees an error: what it got of an
  /// answer cannot pass for the whole.
  void Abort();

  /// Ends the connection after a whole answer. Closing with unread input would
  /// send a reset, which can destroy the answer before the caller has read it;
  /// so what comes is read and dropped for a short time.
  boost::asio::awaitable<void> CloseGently();

  /// Closes it if it waits for a request and none has begun to arrive; if not,
  /// no further request is awaited. Thread-safe.
  void Leave();

  /// Breaks it off at once. Thread-safe.
  void Kill();

  bool TimedOut() const { return mTimedOut; }

  /// Called by the sweep, from any thread.
  void CheckExpiry(Instant aNow);

private:
  boost::asio::awaitable<void> AwaitReadable();
  void StartWait();
  void OnReadable(const error_code& aError);
  void Expire();
  void LeaveNow();
  bool IsIdle();
  void EndIdle();
  void ExpireIn(Duration aTime) { mExpiry.Set(mClock.Now() + aTime); }
  error_code Finish(error_code aError);

  using Parser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  boost::asio::ip::tcp::socket mSocket;
  const Limits& mLimits;
  const Clock& mClock;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  Expiry mExpiry;
  Signal mReadable;
  std::function<void()> mOnGone;
  /// A wait for input is pending; at most one, kept from one request's watch
  /// to the wait for the next request.
  bool mWaiting = false;
  bool mGone = false;
  bool mIdle = false;
  bool mLeaving = false;
  /// The connection ends unless bytes have arrived on it.
  bool mEndsIdle = false;
  bool mTimedOut = false;
};

template<typename Buffers>
boost::asio::awaitable<error_code>
CallerStream::Write(const Buffers& aBuffers)
{
  ExpireIn(mLimits.callerStall);
  const auto [error, written] =
    co_await boost::asio::async_write(mSocket, aBuffers, kAwait);
  co_return Finish(error);
}

} // namespace rattandyke::http
