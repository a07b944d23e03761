#include "gateway/key_load_map.h"

#include <algorithm>
#include <cmath>

namespace rattandyke::gateway {

namespace {

/// The average reaches over the time in which this many requests come, and so
/// many for each holder, within bounds: enough to tell one holder's share from
/// another's, and no longer, as busy keys change within seconds. One number for
/// all holders together would leave each of some hundred with a handful, and
/// their shares would follow chance.
constexpr double kLeastRequests = 250;
constexpr double kRequestsPerHolder = 20;
constexpr double kLeastMemory = 1.0;
constexpr double kMostMemory = 4.0;
/// Fewer requests than this say nothing of a rate: counting begins anew.
constexpr double kNothing = 1.0;
/// Reports come every 200 to 600 ms.
constexpr double kLeastSeconds = 0.4;
/// Share of the load that is spread over all keys alike.
constexpr double kEvenShare = 0.1;
constexpr double kLeastEvenLoad = 1.0;
constexpr uint32_t kBuckets = kKeyCount / kKeysPerBucket;

} // namespace

KeyLoadMap::KeyLoadMap()
  : mBuckets(kBuckets)
  , mSums(kBuckets + 1)
{
}

void
KeyLoadMap::Add(const wire::RangeLoad& aLoad)
{
  const int count = std::min(aLoad.buckets_size(), aLoad.requests_size());
  for (int i = 0; i < count; ++i) {
    if (aLoad.buckets(i) < kBuckets) {
      mBuckets[aLoad.buckets(i)] += static_cast<float>(aLoad.requests(i));
    }
  }
}

void
KeyLoadMap::Decay(Instant aNow, size_t aHolders)
{
  const std::chrono::duration<double> since = aNow - mDecayedAt;
  mDecayedAt = aNow;
  // After a pause in the calls nothing is known of the time in between.
  const double passed = std::clamp(since.count(), 0.0, kMostMemory);
  const double rate = mSum / mSeconds;
  const double remembered = std::max(
    kLeastRequests, kRequestsPerHolder * static_cast<double>(aHolders));
  const double memory =
    std::clamp(remembered / std::max(rate, 1.0), kLeastMemory, kMostMemory);
  const double factor = std::exp(-passed / memory);
  for (float& bucket : mBuckets) {
    bucket *= static_cast<float>(factor);
  }
  SumUp();
  // Safeguard: taken as the whole memory from the beginning, the time over
  // which the first requests are summed up would make them look like a tenth of
  // what comes, and a holder that is overrun from the start like an idle one.
  if (mSum < kNothing) {
    mSeconds = kLeastSeconds;
  } else {
    mSeconds =
      std::max(mSeconds * factor + memory * (1 - factor), kLeastSeconds);
  }
}

void
KeyLoadMap::SumUp()
{
  double sum = 0;
  for (uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    mSums[bucket] = sum;
    sum += mBuckets[bucket];
  }
  mSums[kBuckets] = sum;
  mSum = sum;
}

double
KeyLoadMap::PerBucket() const
{
  return std::max(mSum * kEvenShare, kLeastEvenLoad) / kBuckets;
}

double
KeyLoadMap::BucketLoad(uint32_t aBucket) const
{
  return mBuckets[aBucket] + PerBucket();
}

double
KeyLoadMap::Counted(KeySpan aKeys) const
{
  return mSums[aKeys.to / kKeysPerBucket + 1] -
         mSums[aKeys.from / kKeysPerBucket];
}

double
KeyLoadMap::LoadOf(KeySpan aKeys) const
{
  const uint32_t buckets =
    aKeys.to / kKeysPerBucket - aKeys.from / kKeysPerBucket + 1;
  return Counted(aKeys) + PerBucket() * buckets;
}

double
KeyLoadMap::Rate(KeySpan aKeys) const
{
  return Counted(aKeys) / mSeconds;
}

std::vector<KeySpan>
KeyLoadMap::FindHotKeys(KeySpan aKeys, double aASecond) const
{
  const uint32_t last = aKeys.to / kKeysPerBucket;
  std::vector<KeySpan> busy;
  for (uint32_t bucket = aKeys.from / kKeysPerBucket; bucket <= last;
       ++bucket) {
    const KeySpan keys{ std::max(aKeys.from, bucket * kKeysPerBucket),
                        std::min(aKeys.to, (bucket + 1) * kKeysPerBucket - 1) };
    if (Rate(keys) >= aASecond) {
      busy.push_back(keys);
    }
  }
  return busy;
}

std::optional<KeySpan>
KeyLoadMap::FindHotRun(KeySpan aKeys, double aLoad) const
{
  const uint32_t first = (aKeys.from + kKeysPerBucket - 1) / kKeysPerBucket;
  const uint32_t end = (aKeys.to + 1) / kKeysPerBucket;
  std::optional<uint32_t> busiest;
  for (uint32_t bucket = first; bucket < end; ++bucket) {
    const bool fits = BucketLoad(bucket) <= aLoad;
    if (fits && (!busiest || BucketLoad(bucket) > BucketLoad(*busiest))) {
      busiest = bucket;
    }
  }
  if (!busiest) {
    return std::nullopt;
  }
  uint32_t low = *busiest;
  uint32_t high = *busiest + 1;
  double sum = BucketLoad(low);
  // Safeguard: a neighbour that does not fit bounds the run on its side only.
  // Beside a key that alone is too much, a run would else end with its first
  // key, and the holder of that key could give nothing else away.
  const auto fits = [&](uint32_t aBucket) {
    return sum + BucketLoad(aBucket) <= aLoad;
  };
  for (;;) {
    const bool below = low > first && fits(low - 1);
    const bool above = high < end && fits(high);
    if (!below && !above) {
      break;
    }
    if (below && (!above || BucketLoad(low - 1) >= BucketLoad(high))) {
      --low;
      sum += BucketLoad(low);
    } else {
      sum += BucketLoad(high);
      ++high;
    }
  }
  return KeySpan{ low * kKeysPerBucket, high * kKeysPerBucket - 1 };
}

KeySpan
KeyLoadMap::PrefixWithin(KeySpan aKeys, double aLoad) const
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
