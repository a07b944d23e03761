#include "http/caller_stream.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "http/body_reader.h"
#include "net/peek.h"
#include "net/read_buffer.h"
#include "net/read_head.h"

namespace rattandyke::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr size_t kReadBytes = 4096;
/// An idle connection keeps no more than this of what a request needed.
constexpr size_t kMaxIdleBufferBytes = 8192;

} // namespace

CallerStream::CallerStream(asio::ip::tcp::socket aSocket,
                           const Limits& aLimits,
                           const Clock& aClock)
  : mSocket(std::move(aSocket))
  , mLimits(aLimits)
  , mClock(aClock)
  , mBuffer(net::ReadBufferLimit(aLimits.maxHeaderBytes))
  , mReadable(mSocket.get_executor())
{
  error_code ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<bool>
CallerStream::AwaitRequest()
{
  if (mBuffer.size() > 0) {
    co_return true;
  }
  if (mBuffer.capacity() > kMaxIdleBufferBytes) {
    mBuffer.shrink_to_fit();
  }
  mIdle = true;
  // The last answer may have told the caller, before the shutdown began, that
  // the connection stays open: its next request may be on the way.
  ExpireIn(mLeaving ? mLimits.lingerTime : mLimits.idleTime);
  co_await AwaitReadable();
  mIdle = false;
  mExpiry.Clear();
  co_return !mGone && !mTimedOut;
}

asio::awaitable<void>
CallerStream::AwaitReadable()
{
  StartWait();
  while (mWaiting) {
    co_await mReadable.Wait();
  }
}

void
CallerStream::StartWait()
{
  if (mWaiting) {
    return;
  }
  mWaiting = true;
  mSocket.async_wait(asio::socket_base::wait_read,
                     [self = shared_from_this()](const error_code& aError) {
                       self->OnReadable(aError);
                     });
}

/// A readiness event does not prove that the socket is readable: one of bytes
/// that have been read since may end the next wait. The connection would count
/// as one on which a request arrives, so that a shutdown did not end it, and
/// its caller would get a response to a request that it never sent.
void
CallerStream::OnReadable(const error_code& aError)
{
  mWaiting = false;
  const error_code input = net::Peek(mSocket);
  if (!aError && input == asio::error::would_block && !mEndsIdle) {
    StartWait();
    return;
  }
  mReadable.Notify();
  if (aError || input) {
    mGone = true;
  }
  if (mGone && mOnGone) {
    std::exchange(mOnGone, nullptr)();
  }
}

void
CallerStream::Watch(std::function<void()> aOnGone)
{
  mOnGone = std::move(aOnGone);
  if (mBuffer.size() == 0) {
    StartWait();
  }
}

asio::awaitable<error_code>
CallerStream::ReadHead()
{
  mParser.emplace();
  mParser->header_limit(mLimits.maxHeaderBytes);
  mParser->body_limit(mLimits.maxBodyBytes);
  mBuffer.reserve(kReadBytes);
  ExpireIn(mLimits.headTime);
  co_return Finish(
    co_await net::ReadHead(mSocket, mBuffer, *mParser, mLimits.maxHeaderBytes));
}

std::optional<uint64_t>
CallerStream::ContentLength() const
{
  const auto length = mParser->content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

std::optional<uint64_t>
CallerStream::RemainingLength() const
{
  const auto length = mParser->content_length_remaining();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

asio::awaitable<error_code>
CallerStream::ReadBodySome(std::span<char> aInto, size_t& aRead)
{
  ExpireIn(mLimits.callerStall);
  co_return Finish(co_await ReadSome(mSocket, mBuffer, *mParser, aInto, aRead));
}

asio::awaitable<error_code>
CallerStream::WriteContinue()
{
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  co_return co_await Write(asio::buffer(kContinue));
}

error_code
CallerStream::Finish(error_code aError)
{
  mExpiry.Clear();
  return mTimedOut ? error_code(asio::error::timed_out) : aError;
}

void
CallerStream::Cancel()
{
  error_code ignored;
  mSocket.cancel(ignored);
}

void
CallerStream::Abort()
{
  error_code ignored;
  mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  mSocket.close(ignored);
}

asio::awaitable<void>
CallerStream::CloseGently()
{
  error_code error;
  mSocket.shutdown(asio::socket_base::shutdown_send, error);
  ExpireIn(mLimits.lingerTime);
  std::array<char, kReadBytes> dropped;
  // Expire() cancels only a read that waits, and input may always be there.
  while (!error && !mTimedOut) {
    const auto [failure, read] =
      co_await mSocket.async_read_some(asio::buffer(dropped), kAwait);
    error = failure;
  }
  mExpiry.Clear();
  mSocket.close(error);
}

void
CallerStream::Close()
{
  error_code ignored;
  mSocket.close(ignored);
}

void
CallerStream::Leave()
{
  asio::post(mSocket.get_executor(),
             [self = shared_from_this()] { self->LeaveNow(); });
}

void
CallerStream::Kill()
{
  asio::post(mSocket.get_executor(),
             [self = shared_from_this()] { self->Abort(); });
}

void
CallerStream::LeaveNow()
{
  mLeaving = true;
  if (IsIdle()) {
    EndIdle();
  }
}

/// A wait whose readiness event is being handled can't be cancelled any more;
/// OnReadable must not begin another.
void
CallerStream::EndIdle()
{
  mEndsIdle = true;
  Cancel();
}

/// @return whether it waits for a request and none has begun to arrive.
bool
CallerStream::IsIdle()
{
  error_code ignored; // Nothing can be read after an error.
  return mIdle && mSocket.available(ignored) == 0;
}

void
CallerStream::CheckExpiry(Instant aNow)
{
  if (mExpiry.Passed(aNow)) {
    asio::post(mSocket.get_executor(),
               [self = shared_from_this()] { self->Expire(); });
  }
}

void
CallerStream::Expire()
{
  // Checked again: the wait may have ended while this was on its way.
  if (!mExpiry.Passed(mClock.Now())) {
    return;
  }
  mExpiry.Clear();
  // Safeguard: a request arrives in the moment in which its connection has been
  // idle for too long. Ended then, it would get neither an answer nor a
  // refusal. What lies in the socket ends the wait, so it is read; from then on
  // the time to read a head limits it.
  if (mIdle && !IsIdle()) {
    return;
  }
  mTimedOut = true;
  EndIdle();
}

} // namespace rattandyke::http
