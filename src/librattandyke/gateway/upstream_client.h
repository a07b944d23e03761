/// One try of a request at one upstream.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/dialect.h"

namespace rattandyke::gateway {

/// A connection to an upstream.
struct UpstreamConnection
{
  explicit UpstreamConnection(const boost::asio::any_io_executor& aExecutor)
    : socket(aExecutor)
  {
  }

  void Close()
  {
    boost::system::error_code ignored; // It is given up either way.
    socket.close(ignored);
  }

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  /// Until then the upstream keeps it while it is idle.
  Instant usableUntil{};
};

/// A process to which a request is sent.
struct UpstreamProcess
{
  std::string instance;
  std::string address;
  /// Tells apart processes that start again under one instance's id.
  uint64_t incarnation = 0;
  bool operator==(const UpstreamProcess&) const = default;
};

/// Idle connections to upstreams, by instance. Not thread-safe.
///
/// Safeguard: a connection to a process that has ended silently looks open; a
/// request sent on it may or may not have run. So connections are kept for one
/// life of an instance only.
class ConnectionPool
{
public:
  /// @return an idle connection that is still good, or nullptr.
  std::shared_ptr<UpstreamConnection> Take(const UpstreamProcess& aProcess,
                                           Instant aNow);

  void Put(const UpstreamProcess& aProcess,
           std::shared_ptr<UpstreamConnection> aConnection);

  /// Closes what has been idle too long, and connections to instances that are
  /// gone.
  template<typename IsRegistered>
  void Sweep(Instant aNow, IsRegistered aIsRegistered)
  {
    for (auto at = mIdle.begin(); at != mIdle.end();) {
      auto& idle = at->second.idle;
      while (!idle.empty() &&
             (idle.front()->usableUntil <= aNow || !aIsRegistered(at->first))) {
        idle.pop_front();
      }
      at = idle.empty() ? mIdle.erase(at) : std::next(at);
    }
  }

private:
  struct IdleConnections
  {
    UpstreamProcess process;
    /// Oldest first; the newest is taken first, so that the others time out.
    std::deque<std::shared_ptr<UpstreamConnection>> idle;
  };

  /// @return the connections to a process, without those to earlier ones.
  IdleConnections& ConnectionsTo(const UpstreamProcess& aProcess);

  std::map<std::string, IdleConnections> mIdle;
};

/// What is sent.
struct UpstreamRequest
{
  std::string method;
  std::string target;
  /// Header lines that are the same at every try, each with its line's end.
  std::string fields;
  std::string body;
  /// A body of length 0 is marked, too.
  bool hasBody = false;
  std::string requestId;
};

/// An upstream's whole answer.
struct UpstreamResponse
{
  unsigned status = 0;
  boost::beast::http::fields fields;
  std::string body;
};

/// How a try ended, by what is known of the request.
struct AttemptResult
{
  enum class Kind
  {
    /// A whole answer that is the upstream's own, to this request.
    Response,
    /// The upstream has not run the request, and never will.
    NotExecuted,
    /// Nothing was sent.
    NotSent,
    /// Sent; it may have run.
    OutcomeUnknown,
  };
  Kind kind = Kind::NotSent;
  UpstreamResponse response;
  /// Why, for the log.
  std::string reason;
  /// The upstream kept silent until the try was cut off.
  bool cancelled = false;
  /// Time since the request was sent.
  Duration elapsed{};
};

/// The try can be cut off from outside: its connection is then closed, which
/// ends the upstream's work.
class AttemptHandle
{
public:
  /// @param aReason appears in the result.
  void Cancel(std::string aReason);

  bool IsCancelled() const { return mCancelled; }
  const std::string& CancelReason() const { return mReason; }

  /// For the exchange: what Abort closes.
  void AttachConnection(std::shared_ptr<UpstreamConnection> aConnection);
  void DetachConnection() { mConnection.reset(); }

private:
  std::shared_ptr<UpstreamConnection> mConnection;
  bool mCancelled = false;
  std::string mReason;
};

/// Makes tries over kept connections.
class UpstreamClient
{
public:
  /// @param aClock and @param aHeaders outlive this object.
  UpstreamClient(boost::asio::any_io_executor aExecutor,
                 const HeaderNames& aHeaders,
                 const Clock& aClock);

  /// @param aTimeLeft time that the upstream is given.
  boost::asio::awaitable<AttemptResult> RoundTrip(
    UpstreamProcess aProcess,
    std::shared_ptr<const UpstreamRequest> aRequest,
    Duration aTimeLeft,
    std::shared_ptr<AttemptHandle> aHandle);

  ConnectionPool& Pool() { return mPool; }

  /// Connections made since the start.
  uint64_t ConnectionsOpened() const { return mConnectionsOpened; }

private:
  boost::asio::awaitable<std::shared_ptr<UpstreamConnection>> Connect(
    std::string aAddress,
    std::shared_ptr<AttemptHandle> aHandle);
  std::string FormatHead(const std::string& aInstance,
                         const UpstreamRequest& aRequest,
                         Duration aTimeLeft) const;
  boost::asio::awaitable<AttemptResult> ReadResponse(
    std::shared_ptr<UpstreamConnection> aConnection,
    std::shared_ptr<const UpstreamRequest> aRequest,
    std::string aInstance,
    bool aBodyWritten);
  /// Keeps a connection on which nothing is under way, if it may be used again.
  void PoolOrClose(const UpstreamProcess& aProcess,
                   const std::shared_ptr<UpstreamConnection>& aConnection);
  AttemptResult Classify(UpstreamResponse aResponse) const;

  const boost::asio::any_io_executor mExecutor;
  const HeaderNames& mHeaders;
  const Clock& mClock;
  ConnectionPool mPool;
  uint64_t mConnectionsOpened = 0;
};

} // namespace rattandyke::gateway
