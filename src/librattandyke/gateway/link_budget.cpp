#include "gateway/link_budget.h"

#include <algorithm>
#include <chrono>

#include "base/clock.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Queue limit of all requests. Requests of priority n add kMaxUrgentExtra /
/// (n + 1) to it.
constexpr milliseconds kMaxQueue{ 100 };
constexpr milliseconds kMaxUrgentExtra{ 200 };
/// Shortest time after which a rejected caller is asked to retry.
constexpr milliseconds kMinRetryAfter{ 60 };
/// Response size relative to the request size above which rejecting the request
/// saves more bandwidth than it costs.
constexpr size_t kMinSizeRatio = 3;
/// Share of a request's timeout that its response may spend in the queue. The
/// rest is for the upstream.
constexpr double kMaxQueueShare = 0.6;
/// Weight of the newest response in the moving average of its route.
constexpr double kSmoothing = 0.05;
/// Expected size before the first response of a route.
constexpr double kDefaultBytes = 2000;

} // namespace

LinkBudget::LinkBudget(double aBytesPerSecond)
  : mBytesPerSecond(aBytesPerSecond * kUsableShare)
{
}

Duration
LinkBudget::TransferTime(size_t aBytes) const
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    static_cast<double>(aBytes) / mBytesPerSecond));
}

void
LinkBudget::RecordReceived(size_t aBytes, Instant aNow)
{
  if (mBytesPerSecond > 0) {
    mLinkFreeAt = std::max(mLinkFreeAt, aNow) + TransferTime(aBytes);
  }
}

std::optional<Duration>
LinkBudget::Admit(uint32_t aPriority,
                  size_t aRequestBytes,
                  size_t aResponseBytes,
                  Duration aTimeout,
                  Instant aNow)
{
  if (mBytesPerSecond <= 0) {
    return std::nullopt;
  }
  const Duration maxQueue =
    Duration(kMaxQueue) + Duration(kMaxUrgentExtra) / (aPriority + 1);
  const Duration queue = std::max(mLinkFreeAt - aNow, Duration::zero());
  const bool refusalSavesBytes = aResponseBytes > kMinSizeRatio * aRequestBytes;
  const Duration queueLimit =
    refusalSavesBytes ? maxQueue
                      : std::max(maxQueue, Scaled(aTimeout, kMaxQueueShare));
  if (queue > queueLimit) {
    return std::max<Duration>(queue - queueLimit, kMinRetryAfter);
  }
  RecordReceived(aResponseBytes, aNow);
  return std::nullopt;
}

void
LinkBudget::Release(size_t aBytes)
{
  if (mBytesPerSecond > 0) {
    mLinkFreeAt -= TransferTime(aBytes);
  }
}

void
ResponseSizes::Record(const std::string& aRoute, size_t aBytes)
{
  const auto [at, added] =
    mMeanBytes.try_emplace(aRoute, static_cast<double>(aBytes));
  if (!added) {
    at->second += kSmoothing * (static_cast<double>(aBytes) - at->second);
  }
}

size_t
ResponseSizes::Expected(const std::string& aRoute) const
{
  const auto found = mMeanBytes.find(aRoute);
  return static_cast<size_t>(found == mMeanBytes.end() ? kDefaultBytes
                                                       : found->second);
}

} // namespace rattandyke::gateway
