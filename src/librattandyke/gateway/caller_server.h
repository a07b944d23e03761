/// The callers' side of an entry host: takes their connections and ends them.
#pragma once

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
#include "log/rate_bound.h"

namespace rattandyke::gateway {

/// Accepts callers' connections, has their requests answered, and is the one
/// place that ends a connection: it says why. Runs on one executor that runs
/// one handler at a time.
class CallerServer
{
public:
  /// @param aService and @param aClock outlive this object.
  CallerServer(const boost::asio::any_io_executor& aExecutor,
               CallerRequestHandler& aService,
               const Clock& aClock);

  /// @param aOwner kept alive, and with it this object, while callers are
  ///               accepted and served.
  /// @return the address it listens on.
  Result<Endpoint> Start(const Endpoint& aListen,
                         const std::shared_ptr<void>& aOwner);

  /// Ends connections that have been idle for too long, and accepts again if it
  /// could not.
  void Sweep(Instant aNow);

  /// From now on each connection ends with its next answer.
  void Stop() { mStopping = true; }

  /// Accepts those that have connected, then none, and ends idle connections.
  /// Called again and again until all have ended.
  void Close();

  /// The host is about to end: each request gets an answer now. Called again
  /// and again.
  void ExpireRequests();

  /// @return whether no connection is left, and none can come.
  bool IsClosed() const
  {
    return !mAcceptor.is_open() && !mAccepting && mOpen.empty();
  }

private:
  using Connection = std::shared_ptr<CallerConnection>;
  using Owner = std::shared_ptr<void>;

  /// A connection's end.
  struct Ended
  {
    CloseReason reason{};
    /// Of the request under which it ended.
    std::string id{};
    Duration worked{};
  };

  /// Nothing if the connection is kept.
  using End = std::optional<Ended>;

  void Accept(Owner aOwner);
  void AcceptQueued();
  void Take(boost::asio::ip::tcp::socket aSocket, Owner aOwner);
  static boost::asio::awaitable<void> Serve(CallerServer* aSelf,
                                            Connection aConnection,
                                            Owner aOwner);
  boost::asio::awaitable<End> ServeOne(Connection aConnection);
  boost::asio::awaitable<End> ServeRequest(Connection aConnection,
                                           CallerConnection::Parser& aParser);
  boost::asio::awaitable<CallerResponse> AnswerOf(
    std::shared_ptr<RequestContext> aContext,
    CallerRequest aRequest,
    CloseReason& aEnd);
  boost::asio::awaitable<Ended> RefuseUnread(Connection aConnection,
                                             CallerConnection::ErrorCode aError,
                                             bool aBegun);
  /// Waits for a caller to take its last answer.
  boost::asio::awaitable<void> AwaitTaken(Connection aConnection,
                                          CloseReason aEnd);
  void Tell(const CallerConnection& aConnection, const Ended& aEnd);

  const boost::asio::any_io_executor mExecutor;
  CallerRequestHandler& mService;
  const Clock& mClock;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::set<Connection> mOpen;
  log::RateBound mLines;
  std::weak_ptr<void> mOwner;
  bool mAccepting = false;
  size_t mLingering = 0;
  bool mStopping = false;
  bool mLastCalled = false;
};

} // namespace rattandyke::gateway
