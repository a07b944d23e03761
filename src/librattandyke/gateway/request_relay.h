/// Requests that this host sends to upstreams through another entry host.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/relay_peers.h"
#include "gateway/state.h"
#include "gateway/upstream_client.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// An attempt that another entry host makes for this one.
struct RelayAttempt
{
  std::string service;
  UpstreamProcess process;
  std::string upstreamDataCentre;
  std::shared_ptr<const UpstreamRequest> request;
  /// For the admission by the relay's link.
  std::string route;
  uint32_t priority = 0;
  Duration objective{};
  Duration timeout{};
  /// Time since the request arrived at this host.
  Duration age{};
  /// Time left for the response.
  Duration timeLeft{};
};

/// Result of a RelayAttempt.
struct RelayResult
{
  /// Why a request was not relayed.
  enum class Refusal
  {
    /// It was relayed.
    None,
    /// No host was found that reaches the service and can carry the request.
    NoRelay,
    /// Other hosts can't reach the upstream either.
    UnreachableForOthers,
    /// The upstream must get no requests, by what the relay knows.
    NotUsable,
  };
  AttemptResult attempt;
  Refusal refusal = Refusal::None;
  /// The relay was lost, so the outcome says nothing about the upstream.
  bool relayLost = false;
  /// Address of the last relay that was tried.
  std::string relay;
};

/// Sends requests to upstreams through other entry hosts, while this host has
/// no path to them. A relay makes one attempt for this host, over a connection
/// of its own, and returns the whole response; this host decides on everything
/// else: the slot, the retries and the response to the caller. A relay never
/// passes a request on to a third host.
///
/// A host is asked before it gets a request, so that the request itself, whose
/// outcome is unknown if its relay is lost, is sent only to hosts that have
/// lately answered. Runs on one executor that runs one handler at a time.
class RequestRelay
{
public:
  /// @return whether the message was accepted for sending.
  using Send =
    std::function<bool(const HostName& aTo, const wire::GatewayFrame&)>;

  RequestRelay(boost::asio::any_io_executor aExecutor,
               RelayPeers aPeers,
               Send aSend,
               const Clock& aClock);
  ~RequestRelay();

  /// Makes an attempt through another host.
  /// @param aState  lists the entry hosts; outlives the call.
  /// @param aHandle cancels the attempt, also at the relay.
  boost::asio::awaitable<RelayResult> RoundTrip(
    const State& aState,
    RelayAttempt aAttempt,
    std::shared_ptr<AttemptHandle> aHandle);

  void OnAnswer(const wire::RelayAnswer& aAnswer);
  void OnResponse(wire::RelayedResponse aResponse);

  /// The connection to a host ended, or could not be established.
  /// @param aWasConnected whether anything may have been sent.
  void OnPeerLost(const HostName& aPeer, bool aWasConnected);

  /// Must be called from time to time.
  void RemoveExpired() { mPeers.RemoveExpired(mClock.Now()); }

  /// Longest request, with its header, that is relayed.
  static constexpr size_t kMaxBytes = size_t{ 8 } * 1024 * 1024;

private:
  struct Ask;
  struct Pending;

  /// What the hosts that were asked or tried for one attempt have told.
  struct Tried
  {
    std::set<std::string> peers;
    /// Hosts that reach the service, but not the upstream.
    size_t withoutInstance = 0;
    bool notUsable = false;
  };

  boost::asio::awaitable<std::string> FindRelay(const State& aState,
                                                const RelayAttempt& aAttempt,
                                                const AttemptHandle& aHandle,
                                                Instant aDeadline,
                                                Tried& aTried);
  boost::asio::awaitable<RelayResult> SendTo(
    std::string aPeer,
    const RelayAttempt& aAttempt,
    std::shared_ptr<AttemptHandle> aHandle,
    Instant aDeadline);
  std::shared_ptr<Ask> StartAsk(const State& aState,
                                const RelayAttempt& aAttempt,
                                const std::set<std::string>& aExcluded);
  void AskMore(const State& aState, const RelayAttempt& aAttempt);
  void EndAsk(const std::shared_ptr<Ask>& aAsk);
  /// @param aWhat what has happened, for the log.
  void RecordSilence(const std::string& aPeer, std::string_view aWhat);
  void RecordState(wire::RelayState aState,
                   const std::string& aPeer,
                   const std::string& aService);
  static void CountState(wire::RelayState aState, Tried& aTried);

  /// Expires with this object, for timers that outlive it.
  const std::shared_ptr<bool> mAlive;
  const boost::asio::any_io_executor mExecutor;
  RelayPeers mPeers;
  const Send mSend;
  const Clock& mClock;
  uint64_t mLastId = 0;
  /// By the id of the question to one host.
  std::map<uint64_t, std::shared_ptr<Ask>> mAsks;
  /// By the id of the request.
  std::map<uint64_t, std::shared_ptr<Pending>> mPending;
  /// When further hosts may be asked for a service that has a relay.
  std::map<std::string, Instant> mNextAskMoreAt;
};

} // namespace rattandyke::gateway
