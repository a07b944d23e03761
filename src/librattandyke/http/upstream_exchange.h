/// One sending of a request to an upstream, and its answer.
#pragma once

#include <memory>
#include <optional>
#include <span>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "base/clock.h"
#include "http/headers.h"
#include "http/signal.h"
#include "http/upstream_pool.h"

namespace rattandyke::http {

using boost::system::error_code;

/// Owns one connection for one request. The connection goes back to the pool
/// only from Finish, when the request went out whole and its answer came back
/// whole with nothing after it; in every other case it is closed and never
/// used again, so no answer can reach another request. All on one strand.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange>
{
public:
  /// @param aStrand of the request.
  UpstreamExchange(const boost::asio::any_io_executor& aStrand,
                   UpstreamPool& aPool,
                   Endpoint aUpstream,
                   const Limits& aLimits,
                   const Clock& aClock);
  ~UpstreamExchange();

  /// Takes an idle connection or makes one.
  boost::asio::awaitable<error_code> Connect(bool aIdempotent);

  /// Writes all of the buffers.
  template<typename Buffers>
  boost::asio::awaitable<error_code> Write(const Buffers& aBuffers);

  /// The last byte of the request was written.
  void RequestWritten() { mRequestWritten = true; }

  /// Reads the head of the final answer; interim answers (1xx) are dropped.
  /// Waits as long as the request's deadline lets it.
  /// @param aHeadRequest the request was HEAD: no body follows.
  boost::asio::awaitable<error_code> ReadHead(bool aHeadRequest);
  const AnswerHead& Head() const { return mParser->get().base(); }

  /// How the answer marks its end; nothing if only the connection's end would
  /// mark it, which cannot be told from a broken connection.
  std::optional<Framing> BodyFraming() const;
  bool BodyDone() const { return mParser->is_done(); }

  /// Reads some body bytes; 0 bytes without an error only at its end.
  boost::asio::awaitable<error_code> ReadBodySome(std::span<char> aInto,
                                                  size_t& aRead);

  /// To be called once the answer's body is done.
  /// @return whether the answer is whole: nothing came after it. The
  /// connection is then given back if it may be used again.
  bool Finish();

  /// Closes the connection; pending operations end with an error.
  void Abort();
  bool Aborted() const { return mAborted; }

private:
  boost::asio::awaitable<error_code> MakeConnection();
  /// Aborts after aTime, unless StopTimer comes first.
  void StartTimer(Duration aTime);
  void StopTimer();
  bool BodyIsBuffered() const;
  bool HasSurplus();

  using Parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  UpstreamPool& mPool;
  const Endpoint mUpstream;
  const Limits& mLimits;
  const Clock& mClock;
  UpstreamConnectionPtr mConnection;
  std::optional<Parser> mParser;
  boost::asio::steady_timer mTimer;
  /// Starts and stops of the timer so far.
  uint64_t mTimerTurns = 0;
  bool mRequestWritten = false;
  bool mHeadRequest = false;
  bool mAborted = false;
};

template<typename Buffers>
boost::asio::awaitable<error_code>
UpstreamExchange::Write(const Buffers& aBuffers)
{
  if (mAborted) {
    co_return boost::asio::error::operation_aborted;
  }
  const auto [error, written] =
    co_await boost::asio::async_write(mConnection->socket, aBuffers, kAwait);
  co_return error;
}

/// @return whether the error says that the other side's connection is gone, as
/// when its process died; false for a malformed message or an own abort.
bool MeansConnectionLost(const error_code& aError);

} // namespace rattandyke::http
