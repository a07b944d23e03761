/// Decision of an entry host whether a request needs a slot of an allocator.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "scheduling/demand_view.h"
#include "scheduling/owner_admission.h"

namespace rattandyke::scheduling {

/// Reason for a decision.
enum class DispatchReason : uint8_t
{
  /// All requests ask.
  Coordinated,
  /// The demand is low.
  LowDemand,
  /// There is no digest of the demand that is valid, or this host's state is
  /// old.
  NoDigest,
  /// The demand for the owner or service is high, but below its capacity.
  HighDemand,
  /// The request is in the share that the owner can run.
  Admitted,
  /// The digest does not list the service.
  UnknownService,
  /// The digest does not list the owner, and leaves out busy owners.
  UnknownOwner,
  /// This host has recently had a request for the owner.
  SentRecently,
  /// The owner has recently failed or refused a request.
  RecentFailure,
  /// The owner is cold, limited in its rate, resting or leaving.
  Restricted,
  /// The request is not idempotent, and upstreams of the service are not known
  /// to refuse with proof.
  NotRepeatable,
  /// No upstream that may be chosen directly has room.
  NoRoom,
  /// The demand for the owner exceeds its capacity.
  OverCapacity,
};

/// @return the label value in metrics.
std::string_view NameOf(DispatchReason aReason);

/// What the decision about a request depends on.
struct DispatchRequest
{
  std::string_view service;
  /// Owner of the request's key; empty if it has no key.
  std::string_view owner;
  bool idempotent = false;
  /// The owner is neither cold, limited in its rate, resting nor leaving.
  bool ownerUnrestricted = true;
  /// 0 is the most urgent.
  uint32_t priority = 0;
  /// Time for the response that the caller stated in the request.
  Duration stated{};
  /// What is left of it.
  Duration left{};
  /// This host's state is up to date. Otherwise it may not know of a drain, a
  /// cold start or a new owner of the key, also with a fresh digest.
  bool recentState = true;
};

/// The request is sent without asking an allocator.
struct SendDirect
{};

/// The request asks the upstream's allocator for a slot.
struct AskAllocator
{
  DispatchReason reason = DispatchReason::Coordinated;
};

/// The request is refused without sending any message.
struct RefuseAtOnce
{
  OwnerDemand owner;
  /// Share of the owner's requests that is admitted.
  double share = 0;
  /// Age of the digest of the demand.
  Duration digestAge{};
  ReturnSchedule::Return callerReturn;

  /// @return all of these as `name=value` pairs, for a log line.
  std::string Text() const;
};

using DispatchDecision = std::variant<SendDirect, AskAllocator, RefuseAtOnce>;

/// How an attempt at an upstream ended.
enum class DispatchResult : uint8_t
{
  Answered,
  /// The upstream refused with proof that the request has not run.
  Refused,
  Failed,
  /// The attempt says nothing about the upstream.
  Unknown,
};

/// Asks for each request.
class CoordinatedDispatch
{
public:
  DispatchDecision Decide(const DispatchRequest& aRequest, Instant aNow)
  {
    return AskAllocator{};
  }
  void RecordResult(std::string_view aService,
                    std::string_view aInstance,
                    DispatchResult aResult,
                    Instant aNow)
  {
  }
  std::vector<std::string> RecentlyFailed(Instant aNow) const { return {}; }
  void RemoveExpired(Instant aNow) {}
};

/// Decides by the demand of all entry hosts. Does no I/O. Not thread-safe.
class DemandDispatch
{
public:
  /// A request is not sent directly if this host had another one for its owner
  /// within this time: while the demand for an owner rises, the digest does not
  /// list it yet, and the sum of the direct requests of all hosts must stay
  /// near what the owner can queue.
  static constexpr Duration kDirectInterval = std::chrono::milliseconds{ 300 };
  /// Time for which an upstream that failed or refused a request gets no direct
  /// ones.
  static constexpr Duration kFailureMemory = std::chrono::seconds{ 2 };

  /// @param aDemand outlives this object.
  DemandDispatch(const DemandView& aDemand, uint64_t aSeed)
    : mDemand(&aDemand)
    , mRandom(aSeed)
  {
  }

  /// Decides about a request. A request that is not refused counts as sent to
  /// its owner.
  DispatchDecision Decide(const DispatchRequest& aRequest, Instant aNow);

  /// Records how an attempt ended.
  void RecordResult(std::string_view aService,
                    std::string_view aInstance,
                    DispatchResult aResult,
                    Instant aNow);

  /// @return the upstreams that must not be chosen directly because of a
  /// failure or refusal.
  std::vector<std::string> RecentlyFailed(Instant aNow) const;

  /// Forgets what no longer affects a decision. Must be called from time to
  /// time.
  void RemoveExpired(Instant aNow);

private:
  using Times = std::map<std::string, Instant, std::less<>>;

  DispatchDecision DecideForOwner(const DispatchRequest& aRequest,
                                  Instant aNow);
  DispatchDecision DecideForService(const DispatchRequest& aRequest) const;
  DispatchDecision DecideOverCapacity(const DispatchRequest& aRequest,
                                      const OwnerDemand& aOwner,
                                      CallerHistory aHistory,
                                      Instant aNow);
  CallerHistory RecordStated(const DispatchRequest& aRequest, Instant aNow);
  OwnerAdmission& AdmissionOf(std::string_view aOwner);

  /// A pointer, so that the policy can be moved.
  const DemandView* mDemand;
  Random mRandom;
  /// Newest request by owner.
  Times mSentAt;
  /// Newest failure or refusal by upstream.
  Times mFailedAt;
  /// Services whose upstreams have refused with proof.
  std::set<std::string, std::less<>> mProvingServices;
  std::map<std::string, OwnerAdmission, std::less<>> mAdmissions;
  /// By service and priority.
  std::map<std::string, std::map<uint32_t, StatedTimes>, std::less<>>
    mStatedTimes;
};

using DispatchPolicy = std::variant<CoordinatedDispatch, DemandDispatch>;

} // namespace rattandyke::scheduling
