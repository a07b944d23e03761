#include "gateway/link_budget.h"

#include <algorithm>
#include <chrono>

#include "base/clock.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Longest queue that a request may make, and what the most urgent ones may add
/// to it; the next ones half of that, and so on.
constexpr milliseconds kLongestQueue{ 100 };
constexpr milliseconds kUrgentMore{ 200 };
constexpr milliseconds kLeastWait{ 60 };
/// Times the request by which an answer must be longer for a refusal to save
/// more than it costs.
constexpr size_t kWorthRefusing = 3;
/// Part of the time for an answer that the queue may take; the rest is for the
/// upstream.
constexpr double kMostOfItsTime = 0.6;
/// Weight of the newest answer of a route, and what is taken for the first one.
constexpr double kNewest = 0.05;
constexpr double kDefaultSize = 2000;

} // namespace

LinkBudget::LinkBudget(double aBytesPerSecond)
  : mBytesPerSecond(aBytesPerSecond * kUsable)
{
}

Duration
LinkBudget::TimeOf(size_t aBytes) const
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    static_cast<double>(aBytes) / mBytesPerSecond));
}

void
LinkBudget::NoteReceived(size_t aBytes, Instant aNow)
{
  if (mBytesPerSecond > 0) {
    mFreeAt = std::max(mFreeAt, aNow) + TimeOf(aBytes);
  }
}

std::optional<Duration>
LinkBudget::Admit(uint32_t aPriority,
                  size_t aRequest,
                  size_t aAnswer,
                  Duration aInTime,
                  Instant aNow)
{
  if (mBytesPerSecond <= 0) {
    return std::nullopt;
  }
  const Duration longest =
    Duration(kLongestQueue) + Duration(kUrgentMore) / (aPriority + 1);
  const Duration queue = std::max(mFreeAt - aNow, Duration::zero());
  const bool saves = aAnswer > kWorthRefusing * aRequest;
  const Duration most =
    saves ? longest : std::max(longest, Scaled(aInTime, kMostOfItsTime));
  if (queue > most) {
    return std::max<Duration>(queue - most, kLeastWait);
  }
  NoteReceived(aAnswer, aNow);
  return std::nullopt;
}

void
LinkBudget::GiveBack(size_t aBytes)
{
  if (mBytesPerSecond > 0) {
    mFreeAt -= TimeOf(aBytes);
  }
}

void
ResponseSizes::Note(const std::string& aRoute, size_t aBytes)
{
  const auto [at, added] =
    mSizes.try_emplace(aRoute, static_cast<double>(aBytes));
  if (!added) {
    at->second += kNewest * (static_cast<double>(aBytes) - at->second);
  }
}

size_t
ResponseSizes::Of(const std::string& aRoute) const
{
  const auto found = mSizes.find(aRoute);
  return static_cast<size_t>(found == mSizes.end() ? kDefaultSize
                                                   : found->second);
}

} // namespace rattandyke::gateway
