#include "gateway/caller_connection.h"

#include <algorithm>
#include <array>

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/string.hpp>

#include "gateway/read_body.h"
#include "http/headers.h"
#include "http/signal.h"
#include "net/frame_connection.h"
#include "net/peek.h"
#include "net/read_buffer.h"
#include "net/read_head.h"

namespace rattandyke::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using http::kAwait;

namespace {

/// Time after which a caller that acknowledges nothing counts as gone, and
/// after which one that reads nothing counts as stalled.
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{ 3000 };
constexpr size_t kDiscardBufferBytes = 4096;
/// Larger read buffers are not kept between requests: a host has thousands of
/// connections.
constexpr size_t kMaxIdleBufferBytes = 4096;

} // namespace

/// Does not enable TCP keep-alive probes. With TCP_USER_TIMEOUT set, Linux
/// resets an idle connection after one probe that is not answered within the
/// probe interval; if the link is delayed for so long, a request in transit is
/// lost. Callers that are gone are detected without probes: by the idle
/// timeout, by the request's deadline, or when the response is written.
CallerConnection::CallerConnection(tcp::socket aSocket, const Clock& aClock)
  : mSocket(std::move(aSocket))
  , mClock(aClock)
  , mAcceptedAt(aClock.Now())
  , mIdleDeadline(Instant::max()) // The first ReadRequest() sets it.
{
  net::LimitUnacknowledged(mSocket, kUnacknowledgedTimeout);
}

asio::awaitable<CallerConnection::ErrorCode>
CallerConnection::ReadHead(Parser& aParser,
                           uint32_t aMaxHeadBytes,
                           Duration aIdleTimeout)
{
  mPhase = Phase::Reading;
  // What has been read for this request may exceed a limit that was lowered.
  mBuffer.max_size(
    std::max(net::ReadBufferLimit(aMaxHeadBytes), mBuffer.size()));
  mIdleDeadline = mClock.Now() + aIdleTimeout;
  mDeadlineExtended = false;
  // A Drain() between two reads had no read to cancel. Without this check the
  // next read would never end, and the host would wait for it at shutdown.
  if (mDraining && mBuffer.size() == 0 &&
      net::Peek(mSocket) == asio::error::would_block) {
    co_return FinishRead(asio::error::operation_aborted);
  }
  ErrorCode error;
  do {
    error = co_await net::ReadHead(mSocket, mBuffer, aParser, aMaxHeadBytes);
  } while (ShouldResumeRead(aParser, error, aIdleTimeout));
  co_return error || aParser.is_done() ? FinishRead(error) : error;
}

asio::awaitable<CallerConnection::ErrorCode>
CallerConnection::ReadRequestBody(Parser& aParser,
                                  Duration aIdleTimeout,
                                  BodyRoom& aRoom)
{
  mPhase = Phase::Handling; // No operation is pending that Drain() may cancel.
  const bool hasRoom = co_await aRoom.Open(DeclaredLength(aParser));
  mPhase = Phase::Reading;
  if (!hasRoom) {
    co_return FinishRead(NoRoomError());
  }
  if (beast::iequals(http::FieldOf(aParser.get().base(), "Expect"),
                     "100-continue")) {
    co_await WriteContinue();
  }
  ErrorCode error;
  do {
    error = co_await ReadBody(mSocket, mBuffer, aParser, aRoom);
  } while (ShouldResumeRead(aParser, error, aIdleTimeout));
  co_return FinishRead(error);
}

CallerConnection::ErrorCode
CallerConnection::FinishRead(ErrorCode aError)
{
  mHasReadRequest = true;
  mPhase = Phase::Handling; // Also if an error response is written next.
  if (mBuffer.size() == 0 && mBuffer.capacity() > kMaxIdleBufferBytes) {
    mBuffer.shrink_to_fit();
  }
  return aError;
}

/// Sets Phase::Handling, in which Drain() does not cancel pending operations:
/// the caller waits for this response before it sends its body.
asio::awaitable<void>
CallerConnection::WriteContinue()
{
  static const std::string sContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  mPhase = Phase::Handling;
  co_await asio::async_write(mSocket, asio::buffer(sContinue), kAwait);
  mPhase = Phase::Reading; // After a write error the next read fails, too.
}

/// @return whether to continue a read that Drain() cancelled.
///
/// A request may arrive at the moment an idle connection is drained. If the
/// connection were closed then, a request that had been read in full would get
/// no response, and a caller that may not repeat it would not know whether it
/// ran. So Drain() only cancels the pending read, and a request that has partly
/// arrived is read to its end. It gets one more idle timeout, counted from the
/// first Drain(), as it may have started to arrive at the last moment over a
/// slow link.
bool
CallerConnection::ShouldResumeRead(const Parser& aParser,
                                   ErrorCode aError,
                                   Duration aIdleTimeout)
{
  if (aError != asio::error::operation_aborted || !mDraining) {
    return false;
  }
  const bool started = aParser.got_some() || mBuffer.size() > 0;
  if (!started && net::Peek(mSocket)) {
    return false;
  }
  const Instant now = mClock.Now();
  if (!mDeadlineExtended) {
    mDeadlineExtended = true;
    mIdleDeadline = now + aIdleTimeout;
  }
  return !started || now < mIdleDeadline;
}

/// TCP_USER_TIMEOUT counts the time for which the caller's window is closed,
/// too, and applies until the kernel has sent all that it holds. CheckWrite
/// finds callers that are gone in its place.
void
CallerConnection::AllowSlowReading(const net::PeerAcks& aAcks, Instant aNow)
{
  if (!mReadsSlowly && net::IsReadingSlowly(aAcks, kUnacknowledgedTimeout)) {
    mReadsSlowly = true;
    net::SetUserTimeout(
      mSocket,
      std::chrono::ceil<std::chrono::milliseconds>(mWriteUntil - aNow) +
        kUnacknowledgedTimeout);
  }
}

asio::awaitable<bool>
CallerConnection::WriteResponse(const std::string& aHead,
                                const std::string& aBody,
                                Instant aUntil)
{
  mWriteProgressAt = mClock.Now();
  mWriteUntil = aUntil;
  mBytesToWrite = aHead.size() + aBody.size();
  mAwaitsDelivery = true;
  if (std::exchange(mReadsSlowly, false)) {
    net::SetUserTimeout(mSocket, kUnacknowledgedTimeout);
  }
  beast::buffers_suffix left(std::array<asio::const_buffer, 2>{
    asio::buffer(aHead), asio::buffer(aBody) });
  ErrorCode error;
  while (!error && mBytesToWrite > 0) {
    auto [writeError, bytes] = co_await mSocket.async_write_some(left, kAwait);
    error = writeError;
    left.consume(bytes);
    mBytesToWrite -= bytes;
    mWriteProgressAt = mClock.Now();
  }
  mBytesToWrite = 0;
  RecordError(error);
  co_return !error;
}

CallerConnection::WriteState
CallerConnection::CheckWrite(Instant aNow)
{
  if (!mAwaitsDelivery) {
    return WriteState::Progressing;
  }
  const auto acks = net::QueryPeerAcks(mSocket);
  if (acks) {
    AllowSlowReading(*acks, aNow);
  }
  if (mBytesToWrite == 0) {
    mAwaitsDelivery = acks && acks->unsentBytes > 0;
    return WriteState::Progressing;
  }
  if (aNow >= mWriteUntil) {
    return WriteState::Overdue;
  }
  if (WriteStall(aNow) < Duration(kUnacknowledgedTimeout)) {
    return WriteState::Progressing;
  }
  return acks && net::IsSilent(*acks, kUnacknowledgedTimeout)
           ? WriteState::Silent
           : WriteState::Stalled;
}

void
CallerConnection::AbortWrite()
{
  ErrorCode ignored; // The connection ends in any case.
  mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  mSocket.close(ignored);
}

void
CallerConnection::RecordError(ErrorCode aError)
{
  if (aError) {
    mLastSocketError = aError.message();
  }
}

void
CallerConnection::WatchForDisconnect(std::shared_ptr<RequestContext> aContext)
{
  mWatchedRequest = std::move(aContext);
  if (mBuffer.size() == 0) { // Otherwise the next request has arrived.
    AwaitReadable();
  }
}

void
CallerConnection::AwaitReadable()
{
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(), context = mWatchedRequest](ErrorCode aError) {
      if (!aError && context == self->mWatchedRequest) {
        self->OnReadable();
      }
    });
}

/// Cancels the watched request if the caller has disconnected.
///
/// A readiness event does not prove that the socket is still readable, nor that
/// it was closed. A late or spurious event must not cancel a request, so this
/// checks the socket itself and continues to watch if nothing can be read.
///
/// A caller that has shut down only its sending side can't be told from one
/// that has disconnected, and most of these have disconnected. Both requests
/// are cancelled, but CallerServer still writes the response that says so.
void
CallerConnection::OnReadable()
{
  const ErrorCode error = net::Peek(mSocket);
  if (error == asio::error::would_block) {
    AwaitReadable();
  } else if (error) { // Success: the next request has arrived.
    RecordError(error);
    mWatchedRequest->OnCallerDisconnected();
  }
}

void
CallerConnection::StopWatching()
{
  mWatchedRequest.reset();
  ErrorCode ignored; // Only the wait in AwaitReadable() is pending.
  mSocket.cancel(ignored);
}

void
CallerConnection::Drain()
{
  mDraining = true;
  if (mPhase != Phase::Handling) {
    ErrorCode ignored; // Cancels the pending read.
    mSocket.cancel(ignored);
  }
}

void
CallerConnection::ExpireRequests()
{
  if (mWatchedRequest) {
    mWatchedRequest->OnHostShutdown();
  }
  if (mPhase == Phase::Reading) {
    mDeadlineExtended = true;
    mIdleDeadline = mClock.Now();
  }
  Drain();
}

/// The kernel resets a connection that is closed with unread input, and drops
/// unsent output: the caller would get only a part of the response. Input is
/// unread after an error response to a request that is still arriving, and when
/// the caller has sent its next request before it read `Connection: close`.
asio::awaitable<void>
CallerConnection::Linger(Duration aTimeout)
{
  mPhase = Phase::Lingering;
  mIdleDeadline = mClock.Now() + aTimeout;
  ErrorCode error;
  mSocket.shutdown(tcp::socket::shutdown_send, error);
  std::array<char, kDiscardBufferBytes> discarded{};
  while (!error && mClock.Now() < mIdleDeadline) {
    auto [readError, bytes] =
      co_await mSocket.async_read_some(asio::buffer(discarded), kAwait);
    error = readError;
  }
}

void
CallerConnection::Close()
{
  ErrorCode ignored; // The caller may have disconnected.
  mSocket.shutdown(tcp::socket::shutdown_send, ignored);
  mSocket.close(ignored);
}

} // namespace rattandyke::gateway
