#include "gateway/slot_request_limiter.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Slot requests in flight for one upstream from all entries together. A home
/// entry with a tenth of a core takes 0.5 ms for each.
constexpr size_t kMaxInFlight = 64;
/// One at the home entry and one on its way.
constexpr uint32_t kMinInFlightPerEntry = 2;
/// Slot requests per second for one full upstream from all entries together.
constexpr double kMaxRequestsPerSecond = 160;
/// Time for which requests are rejected after the first refusal: within it, an
/// upstream with a few slots and some 100 ms per request frees one. It doubles
/// with each refusal, up to this entry's share of kMaxRequestsPerSecond.
constexpr milliseconds kFirstRejectTime{ 20 };
constexpr uint32_t kMaxDoublings = 8;
/// Refusals older than this do not predict the next one.
constexpr milliseconds kIdleRetention{ 1000 };

} // namespace

SlotRequestLimiter::SlotRequestLimiter(size_t aEntryCount)
{
  SetEntryCount(aEntryCount);
}

void
SlotRequestLimiter::SetEntryCount(size_t aEntryCount)
{
  const size_t entryCount = std::max<size_t>(aEntryCount, 1);
  mMaxInFlight = std::max(static_cast<uint32_t>(kMaxInFlight / entryCount),
                          kMinInFlightPerEntry);
  mMaxRejectTime =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(entryCount) / kMaxRequestsPerSecond));
}

SlotRequestLimiter::Decision
SlotRequestLimiter::Admit(uint64_t aTicket,
                          const std::string& aInstance,
                          uint32_t aPriority,
                          Instant aNow)
{
  Limit& limit = mLimits[aInstance];
  if (aNow < limit.rejectUntil && aPriority >= limit.rejectedPriority) {
    return Rejected{ limit.retryAfter };
  }
  if (limit.inFlight < mMaxInFlight) {
    ++limit.inFlight;
    return Admitted{};
  }
  limit.waiting.emplace(QueuePosition{ aPriority, ++mArrivals }, aTicket);
  return Queued{};
}

void
SlotRequestLimiter::Cancel(uint64_t aTicket, const std::string& aInstance)
{
  const auto found = mLimits.find(aInstance);
  if (found != mLimits.end()) {
    std::erase_if(found->second.waiting, [&](const auto& aWaiting) {
      return aWaiting.second == aTicket;
    });
  }
}

std::vector<SlotRequestLimiter::QueuedDecision>
SlotRequestLimiter::AdmitNext(Limit& aLimit) const
{
  aLimit.inFlight -= aLimit.inFlight > 0 ? 1 : 0;
  std::vector<QueuedDecision> decisions;
  while (aLimit.inFlight < mMaxInFlight && !aLimit.waiting.empty()) {
    const auto first = aLimit.waiting.begin();
    decisions.push_back(QueuedDecision{ first->second, Admitted{} });
    aLimit.waiting.erase(first);
    ++aLimit.inFlight;
  }
  return decisions;
}

/// A request in the home entry's queue costs the home entry no further work. If
/// it counted as in flight until it has a slot, requests that wait for a late
/// response would block requests whose responses may still be in time.
std::vector<SlotRequestLimiter::QueuedDecision>
SlotRequestLimiter::OnQueued(const std::string& aInstance)
{
  return OnGranted(aInstance);
}

std::vector<SlotRequestLimiter::QueuedDecision>
SlotRequestLimiter::OnGranted(const std::string& aInstance)
{
  Limit& limit = mLimits[aInstance];
  limit.refusals = 0;
  limit.rejectUntil = {};
  return AdmitNext(limit);
}

std::vector<SlotRequestLimiter::QueuedDecision>
SlotRequestLimiter::OnRefused(const std::string& aInstance,
                              uint32_t aPriority,
                              Duration aRetryAfter,
                              Instant aNow)
{
  Limit& limit = mLimits[aInstance];
  const Duration rejectTime = std::min<Duration>(
    kFirstRejectTime * (1U << std::min(limit.refusals, kMaxDoublings)),
    mMaxRejectTime);
  ++limit.refusals;
  limit.rejectedPriority = aPriority;
  limit.rejectUntil = aNow + rejectTime;
  limit.retryAfter = aRetryAfter;
  std::vector<QueuedDecision> decisions;
  const auto refused = limit.waiting.lower_bound(QueuePosition{ aPriority, 0 });
  for (auto at = refused; at != limit.waiting.end(); ++at) {
    decisions.push_back(QueuedDecision{ at->second, Rejected{ aRetryAfter } });
  }
  limit.waiting.erase(refused, limit.waiting.end());
  for (const QueuedDecision& queued : AdmitNext(limit)) {
    decisions.push_back(queued);
  }
  return decisions;
}

std::vector<SlotRequestLimiter::QueuedDecision>
SlotRequestLimiter::OnUnanswered(const std::string& aInstance)
{
  return AdmitNext(mLimits[aInstance]);
}

void
SlotRequestLimiter::RemoveIdle(Instant aNow)
{
  std::erase_if(mLimits, [&](const auto& aItem) {
    const Limit& limit = aItem.second;
    return limit.inFlight == 0 && limit.waiting.empty() &&
           aNow - limit.rejectUntil >= kIdleRetention;
  });
}

} // namespace rattandyke::gateway
