#include "gateway/ask_line.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Asks under way for one upstream. One waits in the home's queue, one is on
/// its way: more would only be ahead of other entries' requests.
constexpr uint32_t kMostAsking = 2;
/// Time for which requests are refused after one refusal: an upstream of a few
/// slots and some 100 ms a request has one free again.
constexpr milliseconds kFirstFull{ 50 };
/// After many: with 64 entries a home then hears 160 asks a second.
constexpr milliseconds kLongestFull{ 400 };
constexpr uint32_t kMostDoublings = 3;
/// Refusals that are so old say nothing of the next one.
constexpr milliseconds kForgottenAfter{ 1000 };

} // namespace

AskLine::Verdict
AskLine::Enter(uint64_t aTicket,
               const std::string& aInstance,
               uint32_t aPriority,
               Instant aNow)
{
  Line& line = mLines[aInstance];
  if (aNow < line.fullUntil && aPriority >= line.fullPriority) {
    return IsFull{ std::max(line.retryAt - aNow, line.fullUntil - aNow) };
  }
  if (line.asking < kMostAsking) {
    ++line.asking;
    return MayAsk{};
  }
  line.waiting.emplace(Place{ aPriority, ++mArrivals }, aTicket);
  return MustWait{};
}

void
AskLine::Leave(uint64_t aTicket, const std::string& aInstance)
{
  const auto found = mLines.find(aInstance);
  if (found != mLines.end()) {
    std::erase_if(found->second.waiting, [&](const auto& aWaiting) {
      return aWaiting.second == aTicket;
    });
  }
}

std::vector<AskLine::Turn>
AskLine::PassOn(Line& aLine)
{
  aLine.asking -= aLine.asking > 0 ? 1 : 0;
  std::vector<Turn> turns;
  while (aLine.asking < kMostAsking && !aLine.waiting.empty()) {
    const auto first = aLine.waiting.begin();
    turns.push_back(Turn{ first->second, MayAsk{} });
    aLine.waiting.erase(first);
    ++aLine.asking;
  }
  return turns;
}

std::vector<AskLine::Turn>
AskLine::OnGranted(const std::string& aInstance)
{
  Line& line = mLines[aInstance];
  line.refusals = 0;
  line.fullUntil = {};
  return PassOn(line);
}

std::vector<AskLine::Turn>
AskLine::OnRefused(const std::string& aInstance,
                   uint32_t aPriority,
                   Duration aRetryAfter,
                   Instant aNow)
{
  Line& line = mLines[aInstance];
  const Duration full = std::min<Duration>(
    kFirstFull * (1U << std::min(line.refusals, kMostDoublings)), kLongestFull);
  ++line.refusals;
  line.fullPriority = aPriority;
  line.fullUntil = aNow + full;
  line.retryAt = aNow + aRetryAfter;
  std::vector<Turn> turns;
  const auto refused = line.waiting.lower_bound(Place{ aPriority, 0 });
  for (auto at = refused; at != line.waiting.end(); ++at) {
    turns.push_back(Turn{ at->second, IsFull{ aRetryAfter } });
  }
  line.waiting.erase(refused, line.waiting.end());
  for (Turn& turn : PassOn(line)) {
    turns.push_back(std::move(turn));
  }
  return turns;
}

std::vector<AskLine::Turn>
AskLine::OnGivenUp(const std::string& aInstance)
{
  return PassOn(mLines[aInstance]);
}

void
AskLine::Sweep(Instant aNow)
{
  std::erase_if(mLines, [&](const auto& aItem) {
    const Line& line = aItem.second;
    return line.asking == 0 && line.waiting.empty() &&
           aNow - line.fullUntil >= kForgottenAfter;
  });
}

} // namespace rattandyke::gateway
