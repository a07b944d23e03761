/// A caller's connection to an entry host.
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
#include "gateway/request_context.h"

namespace rattandyke::gateway {

/// Reads a caller's requests one after the other, and ends without losing one.
/// Runs on one executor that runs one handler at a time.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::system::error_code;

  /// Sets the socket's options.
  /// @param aClock outlives this object.
  CallerConnection(boost::asio::ip::tcp::socket aSocket, const Clock& aClock);

  /// Reads the next request.
  /// @param aParser with its limits set.
  /// @param aIdle   time within which it must be read.
  /// @return operation_aborted if the connection was ended before.
  boost::asio::awaitable<ErrorCode> Read(Parser& aParser, Duration aIdle);

  /// @return whether all was written.
  boost::asio::awaitable<bool> Write(const std::string& aText);

  /// Tells the context when the caller closes its connection, so that the work
  /// for it ends. Until Unwatch.
  void Watch(std::shared_ptr<RequestContext> aContext);
  void Unwatch();

  /// Ends an idle connection. A request that has begun to arrive is read and
  /// answered first.
  void End();

  /// Ends also a request: its time is up, whether it is read or worked on.
  void ExpireRequests();

  /// @return whether it ends with the answer that comes next.
  bool IsEnding() const { return mEnding; }

  /// @return what the socket said when the caller left or a write failed.
  const std::string& SocketSaid() const { return mSocketSaid; }

  /// @return whether no request is worked on.
  bool IsIdle() const { return mPhase == Phase::Reading; }

  /// @return whether it was made just now, so that its first request is likely
  /// to be on its way.
  bool IsNew(Instant aNow) const
  {
    return !mUsed && aNow - mMadeAt < Duration(kFirstRequest);
  }

  /// @return whether it has waited for its caller for as long as it may.
  bool IsIdleTooLong(Instant aNow) const
  {
    return mPhase != Phase::Working && mIdleUntil <= aNow;
  }

  /// Ends the connection after an answer: reads and drops what still comes,
  /// until the caller closes or some time has passed.
  boost::asio::awaitable<void> Linger();

  void Close();

private:
  /// A caller sends its first request as soon as its connection stands: a round
  /// trip over a link on which 100 KB of something else are queued.
  static constexpr std::chrono::milliseconds kFirstRequest{ 500 };

  enum class Phase : uint8_t
  {
    /// Waits for a request, or reads one.
    Reading,
    /// From a request's last byte to its answer's, and while the connection
    /// writes.
    Working,
    /// Its last answer is written.
    Lingering
  };

  boost::asio::awaitable<ErrorCode> ReadWhole(Parser& aParser, Duration aIdle);
  boost::asio::awaitable<void> WriteContinue();
  void NoteError(ErrorCode aError);
  ErrorCode Peek();
  void AwaitReadable();
  void OnReadable();
  bool GoesOn(const Parser& aParser, ErrorCode aError, Duration aIdle);

  boost::asio::ip::tcp::socket mSocket;
  const Clock& mClock;
  boost::beast::flat_buffer mBuffer;
  const Instant mMadeAt;
  /// A request has been read.
  bool mUsed = false;
  Phase mPhase = Phase::Reading;
  bool mEnding = false;
  Instant mIdleUntil;
  /// The request that arrives has met an end, and was given time for its rest.
  bool mGivenTime = false;
  /// Whose caller is watched.
  std::shared_ptr<RequestContext> mWatched;
  std::string mSocketSaid = "nothing";
};

} // namespace rattandyke::gateway
