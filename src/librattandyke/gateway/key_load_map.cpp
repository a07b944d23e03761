#include "gateway/key_load_map.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace rattandyke::gateway {

namespace {

/// The time constant of the average, in seconds, is the time in which this many
/// requests arrive, but at least kRequestsPerOwner for each owner, within the
/// bounds below. That suffices to tell the owners' shares apart and follows hot
/// keys, which change within seconds. A total that does not grow with the
/// owners would leave each of some hundred owners a handful of requests, and
/// their measured shares would be random.
constexpr double kMinRequests = 250;
constexpr double kRequestsPerOwner = 20;
constexpr double kMinTimeConstant = 1.0;
constexpr double kMaxTimeConstant = 4.0;
/// Below this many requests no rate can be estimated: the window starts anew.
constexpr double kNegligibleRequests = 1.0;
/// Seconds. Load reports arrive every 200 to 600 ms.
constexpr double kMinEffectiveSeconds = 0.4;
/// Uniform load as a fraction of all requests, spread equally over all keys.
constexpr double kUniformFraction = 0.1;
constexpr double kMinUniformLoad = 1.0;
constexpr uint32_t kBuckets = kKeyCount / kKeysPerBucket;

} // namespace

KeyLoadMap::KeyLoadMap()
  : mBuckets(kBuckets)
  , mPrefixSums(kBuckets + 1)
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
KeyLoadMap::Decay(Instant aNow, size_t aOwners)
{
  const std::chrono::duration<double> since = aNow - mDecayedAt;
  mDecayedAt = aNow;
  // After a pause in the calls, the time in between has no counts.
  const double elapsed = std::clamp(since.count(), 0.0, kMaxTimeConstant);
  const double rate = mTotalRequests / mEffectiveSeconds;
  const double wantedRequests =
    std::max(kMinRequests, kRequestsPerOwner * static_cast<double>(aOwners));
  const double timeConstant = std::clamp(
    wantedRequests / std::max(rate, 1.0), kMinTimeConstant, kMaxTimeConstant);
  const double factor = std::exp(-elapsed / timeConstant);
  for (float& bucket : mBuckets) {
    bucket *= static_cast<float>(factor);
  }
  UpdatePrefixSums();
  // The window starts short and grows to the time constant. With the full time
  // constant from the start, the first requests would seem to arrive at a tenth
  // of their rate, and an owner that is overloaded from the start would seem
  // idle.
  if (mTotalRequests < kNegligibleRequests) {
    mEffectiveSeconds = kMinEffectiveSeconds;
  } else {
    mEffectiveSeconds =
      std::max(mEffectiveSeconds * factor + timeConstant * (1 - factor),
               kMinEffectiveSeconds);
  }
}

void
KeyLoadMap::UpdatePrefixSums()
{
  double sum = 0;
  for (uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    mPrefixSums[bucket] = sum;
    sum += mBuckets[bucket];
  }
  mPrefixSums[kBuckets] = sum;
  mTotalRequests = sum;
}

double
KeyLoadMap::UniformLoadPerBucket() const
{
  return std::max(mTotalRequests * kUniformFraction, kMinUniformLoad) /
         kBuckets;
}

double
KeyLoadMap::BucketLoad(uint32_t aBucket) const
{
  return mBuckets[aBucket] + UniformLoadPerBucket();
}

double
KeyLoadMap::DecayedRequests(KeySpan aKeys) const
{
  return mPrefixSums[aKeys.to / kKeysPerBucket + 1] -
         mPrefixSums[aKeys.from / kKeysPerBucket];
}

double
KeyLoadMap::LoadOf(KeySpan aKeys) const
{
  const uint32_t buckets =
    aKeys.to / kKeysPerBucket - aKeys.from / kKeysPerBucket + 1;
  return DecayedRequests(aKeys) + UniformLoadPerBucket() * buckets;
}

double
KeyLoadMap::Rate(KeySpan aKeys) const
{
  return DecayedRequests(aKeys) / mEffectiveSeconds;
}

double
KeyLoadMap::NewRequests(KeySpan aKeys) const
{
  const auto first = mBuckets.begin() + aKeys.from / kKeysPerBucket;
  const auto end = mBuckets.begin() + aKeys.to / kKeysPerBucket + 1;
  const double requests = std::accumulate(first, end, 0.0);
  return std::max(requests - DecayedRequests(aKeys), 0.0);
}

std::vector<KeySpan>
KeyLoadMap::FindHotKeys(KeySpan aKeys, double aMinRate) const
{
  const uint32_t last = aKeys.to / kKeysPerBucket;
  std::vector<KeySpan> hot;
  for (uint32_t bucket = aKeys.from / kKeysPerBucket; bucket <= last;
       ++bucket) {
    const KeySpan keys{ std::max(aKeys.from, bucket * kKeysPerBucket),
                        std::min(aKeys.to, (bucket + 1) * kKeysPerBucket - 1) };
    if (Rate(keys) >= aMinRate) {
      hot.push_back(keys);
    }
  }
  return hot;
}

std::optional<KeySpan>
KeyLoadMap::FindHotRun(KeySpan aKeys, double aMaxLoad) const
{
  const uint32_t first = (aKeys.from + kKeysPerBucket - 1) / kKeysPerBucket;
  const uint32_t end = (aKeys.to + 1) / kKeysPerBucket;
  std::optional<uint32_t> hottest;
  for (uint32_t bucket = first; bucket < end; ++bucket) {
    const bool fits = BucketLoad(bucket) <= aMaxLoad;
    if (fits && (!hottest || BucketLoad(bucket) > BucketLoad(*hottest))) {
      hottest = bucket;
    }
  }
  if (!hottest) {
    return std::nullopt;
  }
  uint32_t low = *hottest;
  uint32_t high = *hottest + 1;
  double sum = BucketLoad(low);
  // A neighbour that does not fit ends the run on its side only. If it ended
  // the run on both sides, a run beside a key that alone exceeds aMaxLoad would
  // have one key, and the owner of that key could give nothing else away.
  const auto fits = [&](uint32_t aBucket) {
    return sum + BucketLoad(aBucket) <= aMaxLoad;
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
KeyLoadMap::PrefixWithin(KeySpan aKeys, double aMaxLoad) const
{
  const uint32_t last = aKeys.to / kKeysPerBucket;
  const double uniform = UniformLoadPerBucket();
  double sum = 0;
  uint32_t bucket = aKeys.from / kKeysPerBucket;
  uint32_t end = bucket;
  for (; bucket <= last; ++bucket) {
    sum += mBuckets[bucket] + uniform;
    if (sum > aMaxLoad && bucket != aKeys.from / kKeysPerBucket) {
      break;
    }
    end = bucket;
  }
  return { aKeys.from, std::min(aKeys.to, (end + 1) * kKeysPerBucket - 1) };
}

} // namespace rattandyke::gateway
