#include "scheduling/dispatch_policy.h"

#include <algorithm>
#include <sstream>

namespace rattandyke::scheduling {

namespace {

/// Below these, a choice by a host's own knowledge seldom meets a full
/// upstream.
constexpr double kMaxDirectUtilization = 0.6;
constexpr double kMaxDirectRefusedShare = 0.02;
/// Part of an owner's capacity that is admitted. The rest allows for the error
/// of the estimates.
constexpr double kAdmittedCapacity = 0.95;
/// Time after the last request for an owner for which its admission is kept.
constexpr Duration kAdmissionRetention = std::chrono::seconds{ 10 };
/// Number of different phases of an OwnerAdmission.
constexpr uint64_t kPhases = 1024;

bool
IsWithin(const std::map<std::string, Instant, std::less<>>& aTimes,
         std::string_view aName,
         Duration aTime,
         Instant aNow)
{
  const auto found = aTimes.find(aName);
  return found != aTimes.end() && aNow - found->second < aTime;
}

void
Put(std::map<std::string, Instant, std::less<>>& aTimes,
    std::string_view aName,
    Instant aNow)
{
  const auto found = aTimes.find(aName);
  if (found == aTimes.end()) {
    aTimes.emplace(aName, aNow);
  } else {
    found->second = aNow;
  }
}

} // namespace

std::string_view
NameOf(DispatchReason aReason)
{
  switch (aReason) {
    case DispatchReason::Coordinated:
      return "coordinated";
    case DispatchReason::LowDemand:
      return "low_demand";
    case DispatchReason::NoDigest:
      return "no_digest";
    case DispatchReason::HighDemand:
      return "high_demand";
    case DispatchReason::Admitted:
      return "admitted";
    case DispatchReason::UnknownService:
      return "unknown_service";
    case DispatchReason::UnknownOwner:
      return "unknown_owner";
    case DispatchReason::SentRecently:
      return "sent_recently";
    case DispatchReason::RecentFailure:
      return "recent_failure";
    case DispatchReason::Restricted:
      return "restricted";
    case DispatchReason::NotRepeatable:
      return "not_repeatable";
    case DispatchReason::NoRoom:
      return "no_room";
    case DispatchReason::OverCapacity:
      return "over_capacity";
  }
  return {};
}

std::string
RefuseAtOnce::Text() const
{
  const auto toMs = [](Duration aTime) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  };
  std::ostringstream text;
  text << "owner=" << owner.instance << " demand=" << owner.demand
       << " capacity=" << owner.capacity << " share=" << share
       << " digest_age_ms=" << toMs(digestAge)
       << " retry_after_ms=" << toMs(callerReturn.after)
       << " booked=" << callerReturn.booked;
  return text.str();
}

DispatchDecision
DemandDispatch::Decide(const DispatchRequest& aRequest, Instant aNow)
{
  if (aRequest.owner.empty()) {
    return mDemand->IsFresh(aNow) && aRequest.recentState
             ? DecideForService(aRequest)
             : DispatchDecision(AskAllocator{ DispatchReason::NoDigest });
  }
  DispatchDecision decision = DecideForOwner(aRequest, aNow);
  if (!std::holds_alternative<RefuseAtOnce>(decision)) {
    Put(mSentAt, aRequest.owner, aNow);
  }
  return decision;
}

DispatchDecision
DemandDispatch::DecideForService(const DispatchRequest& aRequest) const
{
  const auto service = mDemand->ServiceOf(aRequest.service);
  if (!service) {
    return AskAllocator{ DispatchReason::UnknownService };
  }
  if (service->utilization >= kMaxDirectUtilization ||
      service->refusedShare >= kMaxDirectRefusedShare) {
    return AskAllocator{ DispatchReason::HighDemand };
  }
  return SendDirect{};
}

DispatchDecision
DemandDispatch::DecideForOwner(const DispatchRequest& aRequest, Instant aNow)
{
  const CallerHistory history = RecordStated(aRequest, aNow);
  if (!mDemand->IsFresh(aNow) || !aRequest.recentState) {
    return AskAllocator{ DispatchReason::NoDigest };
  }
  if (const auto owner = mDemand->OwnerOf(aRequest.owner)) {
    return owner->demand > owner->capacity
             ? DecideOverCapacity(aRequest, *owner, history, aNow)
             : AskAllocator{ DispatchReason::HighDemand };
  }
  if (mDemand->IsTruncated()) {
    return AskAllocator{ DispatchReason::UnknownOwner };
  }
  if (!aRequest.ownerUnrestricted) {
    return AskAllocator{ DispatchReason::Restricted };
  }
  if (IsWithin(mFailedAt, aRequest.owner, kFailureMemory, aNow)) {
    return AskAllocator{ DispatchReason::RecentFailure };
  }
  if (!aRequest.idempotent && !mProvingServices.contains(aRequest.service)) {
    return AskAllocator{ DispatchReason::NotRepeatable };
  }
  if (IsWithin(mSentAt, aRequest.owner, kDirectInterval, aNow)) {
    return AskAllocator{ DispatchReason::SentRecently };
  }
  return SendDirect{};
}

DispatchDecision
DemandDispatch::DecideOverCapacity(const DispatchRequest& aRequest,
                                   const OwnerDemand& aOwner,
                                   CallerHistory aHistory,
                                   Instant aNow)
{
  const double share =
    std::clamp(kAdmittedCapacity * aOwner.capacity / aOwner.demand, 0.0, 1.0);
  const auto refused =
    AdmissionOf(aRequest.owner)
      .Admit({ aRequest.priority, aRequest.left, aHistory }, share, aNow);
  if (!refused) {
    return AskAllocator{ DispatchReason::Admitted };
  }
  return RefuseAtOnce{
    aOwner, share, mDemand->Age(aNow).value_or(Duration{}), *refused
  };
}

CallerHistory
DemandDispatch::RecordStated(const DispatchRequest& aRequest, Instant aNow)
{
  auto service = mStatedTimes.find(aRequest.service);
  if (service == mStatedTimes.end()) {
    service = mStatedTimes.try_emplace(std::string(aRequest.service)).first;
  }
  return service->second[aRequest.priority].Record(aRequest.stated, aNow);
}

OwnerAdmission&
DemandDispatch::AdmissionOf(std::string_view aOwner)
{
  const auto found = mAdmissions.find(aOwner);
  if (found != mAdmissions.end()) {
    return found->second;
  }
  const double phase = static_cast<double>(mRandom() % kPhases) / kPhases;
  return mAdmissions.try_emplace(std::string(aOwner), phase).first->second;
}

void
DemandDispatch::RecordResult(std::string_view aService,
                             std::string_view aInstance,
                             DispatchResult aResult,
                             Instant aNow)
{
  if (aResult == DispatchResult::Refused &&
      !mProvingServices.contains(aService)) {
    mProvingServices.emplace(aService);
  }
  if (aResult == DispatchResult::Refused || aResult == DispatchResult::Failed) {
    Put(mFailedAt, aInstance, aNow);
  }
}

std::vector<std::string>
DemandDispatch::RecentlyFailed(Instant aNow) const
{
  std::vector<std::string> failed;
  for (const auto& [instance, at] : mFailedAt) {
    if (aNow - at < kFailureMemory) {
      failed.push_back(instance);
    }
  }
  return failed;
}

void
DemandDispatch::RemoveExpired(Instant aNow)
{
  std::erase_if(mSentAt, [&](const auto& aItem) {
    return aNow - aItem.second >= kDirectInterval;
  });
  std::erase_if(mFailedAt, [&](const auto& aItem) {
    return aNow - aItem.second >= kFailureMemory;
  });
  std::erase_if(mAdmissions, [&](const auto& aItem) {
    return aNow - aItem.second.LastRequestAt() >= kAdmissionRetention;
  });
}

} // namespace rattandyke::scheduling
