/// HTTP client of an entry host for requests to upstreams.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "base/clock.h"
#include "base/memory_budget.h"
#include "gateway/dialect.h"
#include "net/read_buffer.h"

namespace rattandyke::gateway {

/// The requests that an upstream has refused on one connection. Not
/// thread-safe.
///
/// An upstream may repeat a response on the connection. The request id tells
/// whose response it is, but not which sending of the request it belongs to: a
/// repeated refusal would pass for the response to the second sending, which
/// may run. So a refused request must not be sent on the same connection again.
class RefusedRequests
{
public:
  /// Longest list. A connection on which more requests were refused that may
  /// still be sent again is not reused.
  static constexpr size_t kMaxRequests = 256;

  /// @param aResendableUntil when the request's deadline is over.
  void Add(std::string_view aRequestId, Instant aResendableUntil, Instant aNow);

  /// @return whether the request was refused and may still be sent again.
  bool Contains(std::string_view aRequestId, Instant aNow) const;

  bool IsFull() const { return mRequests.size() >= kMaxRequests; }

private:
  struct Request
  {
    size_t idHash = 0;
    Instant resendableUntil{};
  };

  std::vector<Request> mRequests;
};

/// A TCP connection to an upstream, with its read buffer.
struct UpstreamConnection
{
  /// Longest head of a response.
  static constexpr uint32_t kMaxHeadBytes = 8192;

  explicit UpstreamConnection(const boost::asio::any_io_executor& aExecutor)
    : socket(aExecutor)
    , buffer(net::ReadBufferLimit(kMaxHeadBytes))
  {
  }

  void Close()
  {
    boost::system::error_code ignored; // Closed even after an error.
    socket.close(ignored);
  }

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  Instant openedAt{};
  /// Time until which the idle connection may be used for a request; the
  /// upstream may close it later. Instant{} if it must not be used again.
  Instant usableUntil{};
  RefusedRequests refused;
  /// A request without an id, a health check, was sent on the connection.
  bool carriedHealthCheck = false;
  /// UpstreamClient::CheckPeers closed the connection.
  bool silent = false;
  /// The upstream reads slowly: CheckPeers, not the kernel, ends the connection
  /// if it is gone.
  bool readsSlowly = false;
  /// The last request was written whole.
  bool requestWritten = true;
};

/// Identifies one process of an upstream, the target of a request.
struct UpstreamProcess
{
  std::string instance;
  std::string address;
  /// Distinguishes successive processes with the same instance id.
  uint64_t incarnation = 0;
  bool operator==(const UpstreamProcess&) const = default;
};

/// Pool of idle connections to upstreams, by instance. Not thread-safe.
///
/// A connection to a process that ended without closing it still looks open,
/// and the outcome of a request sent on it is unknown. So connections are
/// reused only within one incarnation of an instance.
class ConnectionPool
{
public:
  /// Removes a connection from the pool.
  /// @param aRequestId the request to send.
  /// @return an idle connection that is still usable and on which the request
  /// has not been refused before, or nullptr.
  std::shared_ptr<UpstreamConnection> Take(const UpstreamProcess& aProcess,
                                           std::string_view aRequestId,
                                           Instant aNow);

  /// @return whether there is an idle connection to the process that is usable
  /// by its age.
  bool HasIdle(const UpstreamProcess& aProcess, Instant aNow) const;

  /// @return whether an idle connection to the process is still open.
  bool IsConnected(const UpstreamProcess& aProcess) const;

  /// Adds a connection, or closes it if the pool holds connections to another
  /// process of the instance.
  void Put(const UpstreamProcess& aProcess,
           std::shared_ptr<UpstreamConnection> aConnection);

  /// Closes connections that have been idle for too long, and those to
  /// instances that are no longer registered.
  /// @param aIsRegistered bool(const std::string& aInstance).
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
    /// Oldest first. Take() takes the newest, so that unneeded ones time out.
    std::deque<std::shared_ptr<UpstreamConnection>> idle;
  };

  /// @return the connections to a process. Closes those to other incarnations.
  IdleConnections& ConnectionsTo(const UpstreamProcess& aProcess);

  std::map<std::string, IdleConnections> mIdle;
};

/// A request as it is sent to an upstream.
struct UpstreamRequest
{
  std::string method;
  std::string target;
  /// Header lines that are the same in every attempt, each terminated by CRLF.
  std::string fields;
  std::string body;
  /// Room that the body takes.
  MemoryBudget::Reservation bodyRoom;
  /// The request has a body, which may have length 0.
  bool hasBody = false;
  std::string requestId;
};

/// An upstream's response, read in full.
struct UpstreamResponse
{
  unsigned status = 0;
  boost::beast::http::fields fields;
  std::string body;
  /// Room that the body takes.
  MemoryBudget::Reservation bodyRoom;
};

/// Result of one attempt to send a request to an upstream.
struct AttemptResult
{
  /// What is known about the execution of the request.
  enum class Kind
  {
    /// The upstream sent a complete, signed response to this request.
    Response,
    /// The upstream refused the request: it has not run it and never will.
    NotExecuted,
    /// No part of the request was sent.
    NotSent,
    /// The request was sent, at least in part, and may have run.
    OutcomeUnknown,
  };
  /// @return that nothing was sent, for a reason.
  static AttemptResult NotSent(std::string aReason);

  Kind kind = Kind::NotSent;
  UpstreamResponse response;
  /// Description for the log; empty for Kind::Response.
  std::string reason;
  /// The attempt was cancelled while it waited for the response.
  bool cancelled = false;
  /// The connection was opened for the attempt.
  bool newConnection = false;
  /// The connection ended while the request was in progress.
  bool connectionLost = false;
  /// The upstream responded, but this host had no room for the response.
  bool noRoom = false;
  /// The upstream sent a response, whether or not it is one to the request.
  bool responded = false;
  /// When the connection was opened; Instant{} if that is not known.
  Instant connectionOpenedAt{};
  /// Time from sending the request to the end of the attempt; 0 if the request
  /// could not be written.
  Duration elapsed{};
  /// Time for which the upstream, which refused the request with 503, wants no
  /// further one from this host; an error if it can't be read.
  Result<std::optional<Duration>> rest;
};

/// Cancels an attempt from outside. The attempt's connection is closed, which
/// makes the upstream stop working on the request.
class AttemptHandle
{
public:
  /// @param aReason becomes the reason in the attempt's result.
  void Cancel(std::string aReason);

  bool IsCancelled() const { return mCancelled; }
  const std::string& CancelReason() const { return mReason; }

  /// For UpstreamClient: the connection that Cancel() closes.
  void AttachConnection(std::shared_ptr<UpstreamConnection> aConnection);
  void DetachConnection() { mConnection.reset(); }

  /// For operations that wait without a connection: what Cancel() calls, at
  /// once if it was called before.
  void AttachWaiter(std::function<void()> aOnCancel);
  void DetachWaiter() { mOnCancel = nullptr; }

private:
  std::shared_ptr<UpstreamConnection> mConnection;
  std::function<void()> mOnCancel;
  bool mCancelled = false;
  std::string mReason;
};

/// Sends requests to upstreams over pooled HTTP/1.1 connections, one request at
/// a time per connection. Runs on one executor that runs one handler at a time.
class UpstreamClient
{
public:
  using OnWrite = std::function<void(size_t aBytes)>;

  /// @param aHeaders, aBodies and aClock outlive this object.
  /// @param aBodies limits the memory of responses' bodies.
  /// @param aOnWrite called when a request begins to be written, with its size.
  UpstreamClient(boost::asio::any_io_executor aExecutor,
                 const HeaderNames& aHeaders,
                 MemoryBudget& aBodies,
                 const Clock& aClock,
                 OnWrite aOnWrite);

  /// Sends a request and reads the response: one attempt.
  /// @param aTimeLeft time for the response, sent as the deadline header.
  /// @param aHandle   cancels the attempt.
  boost::asio::awaitable<AttemptResult> RoundTrip(
    UpstreamProcess aProcess,
    std::shared_ptr<const UpstreamRequest> aRequest,
    Duration aTimeLeft,
    std::shared_ptr<AttemptHandle> aHandle);

  /// Finds out whether an upstream can be reached, by a request for its health
  /// path. Any response of its own shows that it can, whatever it says of its
  /// health.
  /// @param aHealthPath empty: a connection is enough.
  /// @return whether it can be reached.
  boost::asio::awaitable<bool> Probe(UpstreamProcess aProcess,
                                     std::string aHealthPath);

  /// Lets the kernel wait for upstreams that read a request slowly, and closes
  /// their connections once they acknowledge nothing. Call it several times a
  /// second.
  void CheckPeers(Instant aNow);

  ConnectionPool& Pool() { return mPool; }
  const ConnectionPool& Pool() const { return mPool; }

  /// @return the number of connections opened since the start.
  uint64_t ConnectionsOpened() const { return mConnectionsOpened; }

  /// @return how many of them could not be established.
  uint64_t ConnectionsFailed() const { return mConnectionsFailed; }

  /// @return how many of them CheckPeers() has closed.
  uint64_t SilentConnections() const { return mSilentConnections; }

  /// @return how many responses were skipped because they belong to another
  /// request.
  uint64_t SkippedResponses() const { return mSkippedResponses; }

  /// @return how many responses without a request id ended an attempt.
  uint64_t UnidentifiedResponses() const { return mUnidentifiedResponses; }

private:
  using ErrorCode = boost::system::error_code;
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  /// @param aFailure set to the reason of a failure.
  /// @return the connection, or nullptr.
  boost::asio::awaitable<std::shared_ptr<UpstreamConnection>> Connect(
    std::string aAddress,
    std::shared_ptr<AttemptHandle> aHandle,
    std::string& aFailure);
  /// Sends a request for the health path.
  /// @return whether a response came that is not one of another process.
  boost::asio::awaitable<bool> CheckHealth(UpstreamConnection& aConnection,
                                           const UpstreamProcess& aProcess,
                                           std::string aHealthPath);
  std::string FormatHead(const std::string& aInstance,
                         const UpstreamRequest& aRequest,
                         Duration aTimeLeft) const;
  boost::asio::awaitable<AttemptResult> ReadResponse(
    std::shared_ptr<UpstreamConnection> aConnection,
    std::shared_ptr<const UpstreamRequest> aRequest,
    Duration aTimeLeft,
    std::shared_ptr<AttemptHandle> aHandle);
  /// Reads a response, its body once there is room for it.
  /// @return the room that the body takes, or an error.
  boost::asio::awaitable<tl::expected<MemoryBudget::Reservation, ErrorCode>>
  ReadWhole(UpstreamConnection& aConnection,
            Parser& aParser,
            Duration aTimeLeft,
            AttemptHandle& aHandle);
  /// Writes a request and reads the response on a connection.
  /// @param aLeft time for the response.
  boost::asio::awaitable<AttemptResult> Exchange(
    std::shared_ptr<UpstreamConnection> aConnection,
    const std::string& aInstance,
    std::shared_ptr<const UpstreamRequest> aRequest,
    Duration aLeft,
    std::shared_ptr<AttemptHandle> aHandle);
  /// Returns an idle connection to the pool, or closes it if it must not be
  /// reused.
  void PoolOrClose(const UpstreamProcess& aProcess,
                   const std::shared_ptr<UpstreamConnection>& aConnection);
  /// @return whether a field that the caller needs is said to concern the
  /// connection only.
  bool DropsRequiredField(const UpstreamResponse& aResponse) const;
  /// What a response's request id tells about the request that it belongs to.
  enum class Identity : uint8_t
  {
    ThisRequest,
    OtherRequest,
    Unknown
  };
  Identity IdentityOf(const UpstreamResponse& aResponse,
                      const UpstreamRequest& aRequest,
                      const UpstreamConnection& aConnection) const;
  /// @return what a response to this request says about its execution.
  AttemptResult Classify(UpstreamResponse aResponse) const;

  const boost::asio::any_io_executor mExecutor;
  const HeaderNames& mHeaders;
  MemoryBudget& mBodies;
  const Clock& mClock;
  const OnWrite mOnWrite;
  ConnectionPool mPool;
  /// Connections on which a request is in progress, and since when.
  std::map<std::shared_ptr<UpstreamConnection>, Instant> mInProgress;
  uint64_t mConnectionsOpened = 0;
  uint64_t mConnectionsFailed = 0;
  uint64_t mSilentConnections = 0;
  uint64_t mSkippedResponses = 0;
  uint64_t mUnidentifiedResponses = 0;
};

} // namespace rattandyke::gateway
