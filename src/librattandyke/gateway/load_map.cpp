#include "gateway/load_map.h"

#include <algorithm>
#include <cmath>

namespace rattandyke::gateway {

namespace {

/// Time in which a request's weight falls to 1/e. Busy keys change within
/// minutes or, in a rush, seconds; at 50 requests a second 4 s hold 200
/// requests, enough to tell a holder's share from another's to about a third.
constexpr std::chrono::duration<double> kMemory{ 4.0 };
/// Share of the load that is spread over all keys alike.
constexpr double kEvenShare = 0.1;
constexpr double kLeastEvenLoad = 1.0;
constexpr uint32_t kBuckets = kKeyCount / kKeysPerBucket;

} // namespace

LoadMap::LoadMap()
  : mBuckets(kBuckets)
{
}

void
LoadMap::Add(const wire::RangeLoad& aLoad)
{
  const int count = std::min(aLoad.buckets_size(), aLoad.requests_size());
  for (int i = 0; i < count; ++i) {
    if (aLoad.buckets(i) < kBuckets) {
      mBuckets[aLoad.buckets(i)] += static_cast<float>(aLoad.requests(i));
      mSum += aLoad.requests(i);
    }
  }
}

void
LoadMap::Decay(Instant aNow)
{
  const std::chrono::duration<double> passed = aNow - mDecayedAt;
  mDecayedAt = aNow;
  const auto factor =
    static_cast<float>(std::exp(-std::max(passed / kMemory, 0.0)));
  mSum = 0;
  for (float& bucket : mBuckets) {
    bucket *= factor;
    mSum += bucket;
  }
}

double
LoadMap::PerBucket() const
{
  return std::max(mSum * kEvenShare, kLeastEvenLoad) / kBuckets;
}

double
LoadMap::Of(KeySpan aKeys) const
{
  const uint32_t first = aKeys.from / kKeysPerBucket;
  const uint32_t last = aKeys.to / kKeysPerBucket;
  double sum = 0;
  for (uint32_t bucket = first; bucket <= last; ++bucket) {
    sum += mBuckets[bucket];
  }
  return sum + PerBucket() * (last - first + 1);
}

KeySpan
LoadMap::Take(KeySpan aKeys, double aLoad) const
{
  const uint32_t last = aKeys.to / kKeysPerBucket;
  const double even = PerBucket();
  double sum = 0;
  uint32_t bucket = aKeys.from / kKeysPerBucket;
  uint32_t end = bucket;
  for (; bucket <= last; ++bucket) {
    sum += mBuckets[bucket] + even;
    if (sum > aLoad && bucket != aKeys.from / kKeysPerBucket) {
      break;
    }
    end = bucket;
  }
  return { aKeys.from, std::min(aKeys.to, (end + 1) * kKeysPerBucket - 1) };
}

} // namespace rattandyke::gateway
