/// HTTP connection of a caller to an entry host.
#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/body_room.h"
#include "gateway/request_context.h"
#include "net/peer_acks.h"

namespace rattandyke::gateway {

/// Server side of a caller's HTTP/1.1 connection: reads requests one after the
/// other, writes responses, detects that the caller disconnects, and closes
/// without losing a request. Runs on one executor that runs one handler at a
/// time.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::system::error_code;

  /// Sets the socket options.
  /// @param aClock outlives this object.
  CallerConnection(boost::asio::ip::tcp::socket aSocket, const Clock& aClock);

  /// Reads the head of the next request.
  /// @param aParser       its size limits must be set.
  /// @param aMaxHeadBytes the limit of the head that is set.
  /// @param aIdleTimeout time until IsIdleTooLong() returns true.
  /// @return operation_aborted if the connection was drained before the head
  /// was read.
  boost::asio::awaitable<ErrorCode> ReadHead(Parser& aParser,
                                             uint32_t aMaxHeadBytes,
                                             Duration aIdleTimeout);

  /// Reads the body of the request whose head was read last, once there is room
  /// for it.
  /// @return NoRoomError() if there is none, operation_aborted if the
  /// connection was drained before the body was read.
  boost::asio::awaitable<ErrorCode> ReadRequestBody(Parser& aParser,
                                                    Duration aIdleTimeout,
                                                    BodyRoom& aRoom);

  /// Writes a response. The caller may read it as slowly as its time allows.
  /// @param aHead  the response up to its body.
  /// @param aUntil when the caller no longer waits for it.
  /// @return whether the whole response was written.
  boost::asio::awaitable<bool> WriteResponse(const std::string& aHead,
                                             const std::string& aBody,
                                             Instant aUntil);

  /// How the writing of a response goes.
  enum class WriteState : uint8_t
  {
    /// No response is being written, or the caller reads it.
    Progressing,
    /// The caller has read nothing for a while, and is there.
    Stalled,
    /// The caller acknowledges nothing.
    Silent,
    /// The caller's time is over.
    Overdue,
  };
  /// Call it several times a second.
  WriteState CheckWrite(Instant aNow);

  /// @return the time for which nothing of the response could be written.
  Duration WriteStall(Instant aNow) const { return aNow - mWriteProgressAt; }

  /// @return the bytes of the response that this host still holds.
  size_t BytesToWrite() const { return mBytesToWrite; }

  /// Ends the writing of a response: its connection is reset, so that it can't
  /// look complete.
  void AbortWrite();

  /// Cancels a request when the caller disconnects. Ends with StopWatching().
  void WatchForDisconnect(std::shared_ptr<RequestContext> aContext);
  void StopWatching();

  /// Stops waiting for further requests. A request that has partly arrived is
  /// still read, for one more idle timeout, and handled.
  void Drain();

  /// Drains the connection without waiting for its request: a request in
  /// progress is cancelled, one that has partly arrived is no longer read.
  void ExpireRequests();

  /// @return whether the connection closes after its next response.
  bool IsDraining() const { return mDraining; }

  /// @return the socket's error when the caller disconnected or a write failed,
  /// "nothing" if there was none.
  const std::string& LastSocketError() const { return mLastSocketError; }

  /// @return whether the connection waits for a request or reads one.
  bool IsReading() const { return mPhase == Phase::Reading; }

  /// @return whether the connection is so new that its first request is likely
  /// to be in transit.
  bool AwaitsFirstRequest(Instant aNow) const
  {
    return !mHasReadRequest &&
           aNow - mAcceptedAt < Duration(kFirstRequestTimeout);
  }

  /// @return whether the time for the next request, or for the caller's close
  /// after the last response, is over.
  bool IsIdleTooLong(Instant aNow) const
  {
    return mPhase != Phase::Handling && mIdleDeadline <= aNow;
  }

  /// Lingering close: shuts down the sending side, then discards what arrives
  /// until the caller closes. Ends at Drain(), and at the first data after
  /// aTimeout.
  boost::asio::awaitable<void> Linger(Duration aTimeout);

  void Close();

private:
  /// Time for the first request of a new connection. A caller sends it as soon
  /// as it is connected; this is a round trip over a link with 100 KB of other
  /// data queued.
  static constexpr std::chrono::milliseconds kFirstRequestTimeout{ 500 };

  enum class Phase : uint8_t
  {
    /// Waiting for a request or reading one.
    Reading,
    /// Handling a request, or writing a response or 100 Continue.
    Handling,
    /// Discarding input after the last response.
    Lingering
  };

  /// Lets the kernel wait for a caller that reads slowly.
  void AllowSlowReading(const net::PeerAcks& aAcks, Instant aNow);
  /// Ends a read, with an error or a whole request.
  ErrorCode FinishRead(ErrorCode aError);
  boost::asio::awaitable<void> WriteContinue();
  void RecordError(ErrorCode aError);
  void AwaitReadable();
  void OnReadable();
  bool ShouldResumeRead(const Parser& aParser,
                        ErrorCode aError,
                        Duration aIdleTimeout);

  boost::asio::ip::tcp::socket mSocket;
  const Clock& mClock;
  boost::beast::flat_buffer mBuffer;
  const Instant mAcceptedAt;
  /// The first read has finished, with a request or an error.
  bool mHasReadRequest = false;
  Phase mPhase = Phase::Reading;
  bool mDraining = false;
  Instant mIdleDeadline;
  /// Bytes of the response that the kernel has not taken yet.
  size_t mBytesToWrite = 0;
  Instant mWriteUntil{};
  Instant mWriteProgressAt{};
  /// The kernel may hold a part of the last response.
  bool mAwaitsDelivery = false;
  /// The user timeout lasts until mWriteUntil.
  bool mReadsSlowly = false;
  /// The arriving request has already got its extra time because of Drain().
  bool mDeadlineExtended = false;
  /// Request to cancel when the caller disconnects; null if not watching.
  std::shared_ptr<RequestContext> mWatchedRequest;
  std::string mLastSocketError = "nothing";
};

} // namespace rattandyke::gateway
