#include "gateway/caller_connection.h"

#include <array>

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>

#include "http/headers.h"
#include "http/signal.h"
#include "net/frame_connection.h"

namespace rattandyke::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using http::kAwait;

namespace {

/// Time after which a caller that takes nothing of its answer is given up.
constexpr std::chrono::milliseconds kUnacknowledged{ 3000 };
/// A round trip over a link on which 100 KB of something else are queued.
constexpr std::chrono::milliseconds kLingerTime{ 500 };
constexpr size_t kDroppedBytes = 4096;

} // namespace

/// Safeguard: callers get no keep-alive probes. With an end to unacknowledged
/// bytes set, Linux resets an idle connection after one probe that is not
/// answered within the probes' interval; a link that is held up for so long
/// would lose a request that crosses it. A caller that is gone is found without
/// probes: by the idle time, by its request's time, or by its answer.
CallerConnection::CallerConnection(tcp::socket aSocket, const Clock& aClock)
  : mSocket(std::move(aSocket))
  , mClock(aClock)
  , mMadeAt(aClock.Now())
  , mIdleUntil(Instant::max()) // Until it reads, it can't have been idle.
{
  net::LimitUnacknowledged(mSocket, kUnacknowledged);
}

asio::awaitable<CallerConnection::ErrorCode>
CallerConnection::Read(Parser& aParser, Duration aIdle)
{
  mPhase = Phase::Reading;
  mIdleUntil = mClock.Now() + aIdle;
  mGivenTime = false;
  const ErrorCode error = co_await ReadWhole(aParser, aIdle);
  mUsed = true;
  mPhase = Phase::Working; // Also if what is written next is a refusal.
  co_return error;
}

asio::awaitable<CallerConnection::ErrorCode>
CallerConnection::ReadWhole(Parser& aParser, Duration aIdle)
{
  // Safeguard: an end that came between two reads had nothing to cut short.
  // Nobody would end this read, and the host would wait for it.
  if (mEnding && mBuffer.size() == 0 && Peek() == asio::error::would_block) {
    co_return asio::error::operation_aborted;
  }
  ErrorCode error;
  do {
    auto [headError, bytes] = co_await beast::http::async_read_header(
      mSocket, mBuffer, aParser, kAwait);
    error = headError;
  } while (GoesOn(aParser, error, aIdle));
  if (error || aParser.is_done()) {
    co_return error;
  }
  if (beast::iequals(http::FieldOf(aParser.get().base(), "Expect"),
                     "100-continue")) {
    co_await WriteContinue();
  }
  do {
    auto [bodyError, bytes] =
      co_await beast::http::async_read(mSocket, mBuffer, aParser, kAwait);
    error = bodyError;
  } while (GoesOn(aParser, error, aIdle));
  co_return error;
}

/// Safeguard: an end cancels what is pending on the socket. It must not be this
/// write: the caller waits for the word before it sends its body.
asio::awaitable<void>
CallerConnection::WriteContinue()
{
  static const std::string sContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  mPhase = Phase::Working;
  co_await asio::async_write(mSocket, asio::buffer(sContinue), kAwait);
  mPhase = Phase::Reading; // After an error the next read fails, too.
}

/// Safeguard: an idle connection is ended in the moment in which a request
/// arrives on it. Were it closed under the read, a request that was read whole
/// would get no answer, and its caller, if it may not repeat it, would not know
/// what became of it. So the end only cuts the read short: what has begun to
/// arrive is read on. It has the idle time once more, from the first end that
/// meets it: it may have begun to arrive in the last moment, over a slow link.
bool
CallerConnection::GoesOn(const Parser& aParser,
                         ErrorCode aError,
                         Duration aIdle)
{
  if (aError != asio::error::operation_aborted || !mEnding) {
    return false;
  }
  const bool begun = aParser.got_some() || mBuffer.size() > 0;
  if (!begun && Peek()) {
    return false;
  }
  const Instant now = mClock.Now();
  if (!mGivenTime) {
    mGivenTime = true;
    mIdleUntil = now + aIdle;
  }
  return !begun || now < mIdleUntil;
}

asio::awaitable<bool>
CallerConnection::Write(const std::string& aText)
{
  auto [error, bytes] =
    co_await asio::async_write(mSocket, asio::buffer(aText), kAwait);
  NoteError(error);
  co_return !error;
}

void
CallerConnection::NoteError(ErrorCode aError)
{
  if (aError) {
    mSocketSaid = aError.message();
  }
}

void
CallerConnection::Watch(std::shared_ptr<RequestContext> aContext)
{
  mWatched = std::move(aContext);
  if (mBuffer.size() == 0) { // If not, the next request is here: its caller is.
    AwaitReadable();
  }
}

void
CallerConnection::AwaitReadable()
{
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(), context = mWatched](ErrorCode aError) {
      if (!aError && context == self->mWatched) {
        self->OnReadable();
      }
    });
}

/// Safeguard: an event says that something could be read when it arose, not
/// that it still can, and never what. Taken for the caller's end, an event that
/// is late or stands for nothing ends a request without an answer. Only the
/// socket's own word counts; without one the watch goes on.
///
/// A caller that only closes its sending side looks the same as one that is
/// gone, and most of those that do are gone: the work ends for both. The answer
/// that says so is written all the same, see CallerServer.
void
CallerConnection::OnReadable()
{
  const ErrorCode said = Peek();
  if (said == asio::error::would_block) {
    AwaitReadable();
  } else if (said) { // No error: the next request. Its caller is here.
    NoteError(said);
    mWatched->OnCallerDisconnected();
  }
}

/// @return no error if there are bytes to read, eof if the caller closed,
/// would_block if there is nothing.
CallerConnection::ErrorCode
CallerConnection::Peek()
{
  char byte = 0;
  const ssize_t got = ::recv(
    mSocket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (got < 0) {
    return { errno, boost::system::system_category() };
  }
  return got == 0 ? make_error_code(asio::error::eof) : ErrorCode{};
}

void
CallerConnection::Unwatch()
{
  mWatched.reset();
  ErrorCode ignored; // The watch ends; nothing else is pending.
  mSocket.cancel(ignored);
}

void
CallerConnection::End()
{
  mEnding = true;
  if (mPhase != Phase::Working) {
    ErrorCode ignored; // Cuts the read short.
    mSocket.cancel(ignored);
  }
}

void
CallerConnection::ExpireRequests()
{
  if (mWatched) {
    mWatched->OnHostShutdown();
  }
  if (mPhase == Phase::Reading) {
    mGivenTime = true;
    mIdleUntil = mClock.Now();
  }
  End();
}

/// Safeguard: the kernel resets a connection that is closed with bytes to read,
/// and drops what it still had to send: the caller gets part of its answer.
/// Bytes lie unread after a refusal, whose request goes on arriving, and if the
/// caller sent its next request before it read that this answer is the last.
asio::awaitable<void>
CallerConnection::Linger()
{
  mPhase = Phase::Lingering;
  mIdleUntil = mClock.Now() + Duration(kLingerTime);
  ErrorCode error;
  mSocket.shutdown(tcp::socket::shutdown_send, error);
  std::array<char, kDroppedBytes> dropped{};
  while (!error && mClock.Now() < mIdleUntil) {
    auto [ended, bytes] =
      co_await mSocket.async_read_some(asio::buffer(dropped), kAwait);
    error = ended;
  }
}

void
CallerConnection::Close()
{
  ErrorCode ignored; // The caller may be gone already.
  mSocket.shutdown(tcp::socket::shutdown_send, ignored);
  mSocket.close(ignored);
}

} // namespace rattandyke::gateway
