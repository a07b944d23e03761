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
  Instant goodUntil{};
};

/// A process to which a request is sent.
struct UpstreamProcess
{
  std::string instance;
  std::string address;
  /// Tells apart processes that start again under one instance's id.
  uint64_t life = 0;
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
  std::shared_ptr<UpstreamConnection> Take(const UpstreamProcess& aPeer,
                                           Instant aNow);

  void Put(const UpstreamProcess& aPeer,
           std::shared_ptr<UpstreamConnection> aConnection);

  /// Closes what has been idle too long, and connections to instances that are
  /// gone.
  template<typename Known>
  void Sweep(Instant aNow, Known aKnown)
  {
    for (auto at = mIdle.begin(); at != mIdle.end();) {
      auto& idle = at->second.idle;
      while (!idle.empty() &&
             (idle.front()->goodUntil <= aNow || !aKnown(at->first))) {
        idle.pop_front();
      }
      at = idle.empty() ? mIdle.erase(at) : std::next(at);
    }
  }

private:
  struct Kept
  {
    UpstreamProcess peer;
    /// Oldest first; the newest is taken first, so that the others time out.
    std::deque<std::shared_ptr<UpstreamConnection>> idle;
  };

  /// @return the connections to a process, without those to earlier ones.
  Kept& KeptOf(const UpstreamProcess& aPeer);

  std::map<std::string, Kept> mIdle;
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
    Answer,
    /// The upstream has not run the request, and never will.
    NotRun,
    /// Nothing was sent.
    NotSent,
    /// Sent; it may have run.
    Unknown,
  };
  Kind kind = Kind::NotSent;
  UpstreamResponse answer;
  /// Why, for the log.
  std::string reason;
  /// The upstream kept silent until the try was cut off.
  bool silent = false;
  /// Time since the request was sent.
  Duration took{};
};

/// The try can be cut off from outside: its connection is then closed, which
/// ends the upstream's work.
class AttemptHandle
{
public:
  /// @param aReason appears in the result.
  void Abort(std::string aReason);

  bool Aborted() const { return mAborted; }
  const std::string& Reason() const { return mReason; }

  /// For the exchange: what Abort closes.
  void Attach(std::shared_ptr<UpstreamConnection> aConnection);
  void Detach() { mConnection.reset(); }

private:
  std::shared_ptr<UpstreamConnection> mConnection;
  bool mAborted = false;
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

  /// @param aLeft time that the upstream is given.
  boost::asio::awaitable<AttemptResult> Run(
    UpstreamProcess aPeer,
    std::shared_ptr<const UpstreamRequest> aRequest,
    Duration aLeft,
    std::shared_ptr<AttemptHandle> aHandle);

  ConnectionPool& Pool() { return mPool; }

  /// Connections made since the start.
  uint64_t Connects() const { return mConnects; }

private:
  boost::asio::awaitable<std::shared_ptr<UpstreamConnection>> Connect(
    std::string aAddress,
    std::shared_ptr<AttemptHandle> aHandle);
  std::string HeadOf(const std::string& aInstance,
                     const UpstreamRequest& aRequest,
                     Duration aLeft) const;
  boost::asio::awaitable<AttemptResult> ReadAnswer(
    std::shared_ptr<UpstreamConnection> aConnection,
    std::shared_ptr<const UpstreamRequest> aRequest,
    std::string aInstance,
    bool aWritten);
  /// Keeps a connection on which nothing is under way, if it may be used again.
  void KeepOrClose(const UpstreamProcess& aPeer,
                   const std::shared_ptr<UpstreamConnection>& aConnection);
  AttemptResult Judge(UpstreamResponse aAnswer) const;

  const boost::asio::any_io_executor mExecutor;
  const HeaderNames& mHeaders;
  const Clock& mClock;
  ConnectionPool mPool;
  uint64_t mConnects = 0;
};

} // namespace rattandyke::gateway
