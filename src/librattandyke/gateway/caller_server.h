/// HTTP server for callers' connections.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <rattandyke/result.h>

#include "base/clock.h"
#include "gateway/caller_connection.h"
#include "gateway/caller_request_handler.h"
#include "gateway/serialize_response.h"
#include "log/rate_bound.h"

namespace rattandyke::gateway {

/// HTTP server of an entry host for callers: accepts their connections, passes
/// their requests to a CallerRequestHandler, writes the responses and closes
/// the connections. All connections are closed here, and each close is counted
/// with its CloseReason. Runs on one executor that runs one handler at a time.
class CallerServer
{
public:
  /// @param aRequestHandler, aBodies and aClock outlive this object.
  /// @param aBodies limits the memory of requests' bodies.
  CallerServer(const boost::asio::any_io_executor& aExecutor,
               CallerRequestHandler& aRequestHandler,
               MemoryBudget& aBodies,
               const Clock& aClock);

  /// Listens and accepts connections.
  /// @param aOwner keeps this object alive while connections are accepted and
  ///               served.
  /// @return the address that the server listens on.
  Result<Endpoint> Start(const Endpoint& aListen,
                         const std::shared_ptr<void>& aOwner);

  /// Drains connections whose idle timeout has expired. Accepts again after an
  /// error. Call it at regular intervals.
  void Sweep(Instant aNow);

  /// Makes each connection close after its next response.
  void Stop() { mStopping = true; }

  /// Accepts the connections that are queued, closes the listener and drains
  /// idle connections. Call it repeatedly until IsClosed().
  void Close();

  /// Cancels all requests at the end of a shutdown, so that each gets a
  /// response now. Call it repeatedly until IsClosed().
  void ExpireRequests();

  /// @return whether the listener is closed and no connection is left.
  bool IsClosed() const
  {
    return !mAcceptor.is_open() && !mAccepting && mConnections.empty();
  }

private:
  using Connection = std::shared_ptr<CallerConnection>;
  using Owner = std::shared_ptr<void>;

  /// Describes how a connection ended.
  struct CloseEvent
  {
    CloseReason reason{};
    /// Id of the last request, if it was read.
    std::string id{};
    /// From reading that request to writing its response.
    Duration handlingTime{};
  };

  /// nullopt if the connection stays open.
  using CloseResult = std::optional<CloseEvent>;

  void Accept(Owner aOwner);
  void AcceptPending();
  void AddConnection(boost::asio::ip::tcp::socket aSocket, Owner aOwner);
  static boost::asio::awaitable<void> ServeConnection(CallerServer* aSelf,
                                                      Connection aConnection,
                                                      Owner aOwner);
  /// Reads one request and handles it.
  boost::asio::awaitable<CloseResult> ServeNextRequest(Connection aConnection);
  boost::asio::awaitable<CloseResult> HandleRequest(
    Connection aConnection,
    CallerConnection::Parser& aParser,
    BodyRoom& aRoom);
  /// Refuses a request whose body was not read.
  boost::asio::awaitable<CloseEvent> RefuseBody(
    Connection aConnection,
    const CallerConnection::Parser& aParser);
  /// @param aUntil when the caller no longer waits for the response.
  static boost::asio::awaitable<bool> Write(
    Connection aConnection,
    const CallerResponse& aResponse,
    const std::optional<KeepAlive>& aKeepAlive,
    bool aIsHead,
    Instant aUntil);
  /// @return when the caller of a request that arrives now no longer waits.
  Instant ResponseDeadline(const boost::beast::http::fields& aFields) const;
  /// @return when a caller no longer waits for a response that this host writes
  /// now in place of an upstream's.
  Instant ErrorDeadline() const;
  /// Ends the writing of responses that can't be delivered in time, and of one
  /// that is not read if others need its memory.
  void CheckWrites(Instant aNow);
  void AbortWrite(const Connection& aConnection, CloseReason aReason);
  boost::asio::awaitable<CallerResponse> HandleOrFail(
    std::shared_ptr<RequestContext> aContext,
    CallerRequest aRequest,
    CloseReason& aReason);
  /// Sends an error response to a request that could not be read, if one is
  /// due.
  boost::asio::awaitable<CloseEvent> HandleReadError(
    Connection aConnection,
    CallerConnection::ErrorCode aError,
    const CallerConnection::Parser& aParser);
  /// Performs a lingering close if a response was written.
  boost::asio::awaitable<void> LingerAfterResponse(Connection aConnection,
                                                   CloseReason aReason);
  /// Counts the end of a connection, and logs it if a request was in progress.
  void RecordClose(const CallerConnection& aConnection,
                   const CloseEvent& aEvent);

  const boost::asio::any_io_executor mExecutor;
  CallerRequestHandler& mRequestHandler;
  MemoryBudget& mBodies;
  const Clock& mClock;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::set<Connection> mConnections;
  log::RateBound mLogLimit;
  std::weak_ptr<void> mOwner;
  bool mAccepting = false;
  size_t mLingeringCount = 0;
  bool mStopping = false;
  bool mRequestsExpired = false;
  /// Why the writing of a response was ended.
  std::map<const CallerConnection*, CloseReason> mAbortedWrites;
};

} // namespace rattandyke::gateway
