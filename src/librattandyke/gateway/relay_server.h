/// Requests that this host sends to upstreams for other entry hosts.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <rattandyke/types.h>

#include "gateway/upstream_client.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Serves the hosts that use this one as a relay, see RequestRelay. It decides
/// nothing about a request: it makes one attempt and returns the result. Runs
/// on one executor that runs one handler at a time.
class RelayServer
{
public:
  /// A connection of a host that asks; used as an identity only.
  using Connection = const void*;
  using Reply = std::function<void(const wire::GatewayFrame&)>;

  /// Result of an attempt, and what this host tells of its path.
  struct Result
  {
    AttemptResult attempt;
    wire::RelayState state = wire::RELAY_STATE_AGREED;
  };

  /// Makes the attempts.
  class Attempts
  {
  public:
    virtual ~Attempts() = default;

    /// @return whether this host would relay a request for the upstream.
    virtual wire::RelayState RelayStateFor(const std::string& aService,
                                           const std::string& aInstance,
                                           uint64_t aIncarnation) const = 0;

    /// Makes an attempt at the upstream.
    /// @param aHandle cancels it.
    virtual boost::asio::awaitable<Result> Relay(
      std::shared_ptr<const wire::RelayedRequest> aRequest,
      std::shared_ptr<AttemptHandle> aHandle) = 0;
  };

  /// @param aAttempts and aBodies outlive this object.
  /// @param aBodies limits the memory of the requests' bodies.
  RelayServer(boost::asio::any_io_executor aExecutor,
              Attempts& aAttempts,
              MemoryBudget& aBodies);

  void OnAsk(const wire::RelayAsk& aAsk, const Reply& aReply);
  void OnRequest(Connection aConnection,
                 wire::RelayedRequest aRequest,
                 Reply aReply);
  void OnCancel(Connection aConnection, const wire::RelayCancel& aCancel);

  /// The host has gone, or can't be reached. What it sent is given up.
  void OnClosed(Connection aConnection);

  /// Refuses further requests, as this host is about to stop.
  void Stop() { mStopping = true; }

  /// Cancels all requests, as this host stops now.
  void CancelAll();

  /// @return the number of requests in progress.
  size_t InProgress() const { return mInProgress.size(); }

  /// Requests that are relayed at the same time.
  static constexpr size_t kMaxInProgress = 256;

private:
  using Key = std::pair<Connection, uint64_t>;

  boost::asio::awaitable<void> Serve(
    Key aKey,
    std::shared_ptr<const wire::RelayedRequest> aRequest,
    MemoryBudget::Reservation aRoom,
    std::shared_ptr<AttemptHandle> aHandle,
    Reply aReply);

  const boost::asio::any_io_executor mExecutor;
  Attempts& mAttempts;
  MemoryBudget& mBodies;
  bool mStopping = false;
  std::map<Key, std::shared_ptr<AttemptHandle>> mInProgress;
};

} // namespace rattandyke::gateway
