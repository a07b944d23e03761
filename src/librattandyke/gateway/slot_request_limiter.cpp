#include "gateway/slot_request_limiter.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Asks under way for one upstream, from all entries together, and from each at
/// least: one waits in the home's queue, one is on its way. A home with a tenth
/// of a core takes 0.5 ms for each.
constexpr size_t kAsksAtOnce = 64;
constexpr uint32_t kLeastAsking = 2;
/// Asks a second for one upstream that is full, from all entries together.
constexpr double kAsksASecond = 160;
/// Time for which requests are refused after one refusal: an upstream of a few
/// slots and some 100 ms a request has one free again. It doubles up to the
/// time that an entry's part of the asks allows.
constexpr milliseconds kFirstFull{ 20 };
constexpr uint32_t kMostDoublings = 8;
/// Refusals that are so old say nothing of the next one.
constexpr milliseconds kForgottenAfter{ 1000 };

} // namespace

SlotRequestLimiter::SlotRequestLimiter(size_t aEntries)
{
  SetEntries(aEntries);
}

void
SlotRequestLimiter::SetEntries(size_t aEntries)
{
  const size_t entries = std::max<size_t>(aEntries, 1);
  mMostAsking =
    std::max(static_cast<uint32_t>(kAsksAtOnce / entries), kLeastAsking);
  mLongestFull = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(static_cast<double>(entries) / kAsksASecond));
}

SlotRequestLimiter::Verdict
SlotRequestLimiter::Enter(uint64_t aTicket,
                          const std::string& aInstance,
                          uint32_t aPriority,
                          Instant aNow)
{
  Line& line = mLines[aInstance];
  if (aNow < line.fullUntil && aPriority >= line.fullPriority) {
    return IsFull{ line.retryAfter };
  }
  if (line.asking < mMostAsking) {
    ++line.asking;
    return MayAsk{};
  }
  line.waiting.emplace(Place{ aPriority, ++mArrivals }, aTicket);
  return MustWait{};
}

void
SlotRequestLimiter::Leave(uint64_t aTicket, const std::string& aInstance)
{
  const auto found = mLines.find(aInstance);
  if (found != mLines.end()) {
    std::erase_if(found->second.waiting, [&](const auto& aWaiting) {
      return aWaiting.second == aTicket;
    });
  }
}

std::vector<SlotRequestLimiter::Turn>
SlotRequestLimiter::PassOn(Line& aLine) const
{
  aLine.asking -= aLine.asking > 0 ? 1 : 0;
  std::vector<Turn> turns;
  while (aLine.asking < mMostAsking && !aLine.waiting.empty()) {
    const auto first = aLine.waiting.begin();
    turns.push_back(Turn{ first->second, MayAsk{} });
    aLine.waiting.erase(first);
    ++aLine.asking;
  }
  return turns;
}

/// A request in the home's queue costs the home nothing more. Were it counted
/// as asking until it has a slot, those that wait for a late answer would keep
/// others from asking whose answers may be in time.
std::vector<SlotRequestLimiter::Turn>
SlotRequestLimiter::OnQueued(const std::string& aInstance)
{
  return OnGranted(aInstance);
}

std::vector<SlotRequestLimiter::Turn>
SlotRequestLimiter::OnGranted(const std::string& aInstance)
{
  Line& line = mLines[aInstance];
  line.refusals = 0;
  line.fullUntil = {};
  return PassOn(line);
}

std::vector<SlotRequestLimiter::Turn>
SlotRequestLimiter::OnRefused(const std::string& aInstance,
                              uint32_t aPriority,
                              Duration aRetryAfter,
                              Instant aNow)
{
  Line& line = mLines[aInstance];
  const Duration full = std::min<Duration>(
    kFirstFull * (1U << std::min(line.refusals, kMostDoublings)), mLongestFull);
  ++line.refusals;
  line.fullPriority = aPriority;
  line.fullUntil = aNow + full;
  line.retryAfter = aRetryAfter;
  std::vector<Turn> turns;
  const auto refused = line.waiting.lower_bound(Place{ aPriority, 0 });
  for (auto at = refused; at != line.waiting.end(); ++at) {
    turns.push_back(Turn{ at->second, IsFull{ aRetryAfter } });
  }
  line.waiting.erase(refused, line.waiting.end());
  for (const Turn& turn : PassOn(line)) {
    turns.push_back(turn);
  }
  return turns;
}

std::vector<SlotRequestLimiter::Turn>
SlotRequestLimiter::OnGivenUp(const std::string& aInstance)
{
  return PassOn(mLines[aInstance]);
}

void
SlotRequestLimiter::Sweep(Instant aNow)
{
  std::erase_if(mLines, [&](const auto& aItem) {
    const Line& line = aItem.second;
    return line.asking == 0 && line.waiting.empty() &&
           aNow - line.fullUntil >= kForgottenAfter;
  });
}

} // namespace rattandyke::gateway
