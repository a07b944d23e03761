/// Request rates of the keys of a service.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <rattandyke/types.h>

#include "gateway/range_table.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Number of adjacent keys that share a request counter. Hot keys are often
/// adjacent, and each may keep an instance busy by itself, so each key has its
/// own counter: 65,536 floats, 256 KB per service, and twice that for the
/// prefix sums.
inline constexpr uint32_t kKeysPerBucket = 1;

/// Exponentially weighted moving averages of the request rate of each key of a
/// service. Not thread-safe.
class KeyLoadMap
{
public:
  KeyLoadMap();

  /// Adds the request counts of a report.
  void Add(const wire::RangeLoad& aLoad);

  /// Decays earlier requests and makes the requests added since the last call
  /// visible to the queries below. Must be called several times per second.
  /// @param aOwners number of instances that share the keys.
  void Decay(Instant aNow, size_t aOwners);

  /// @return the load of the keys: their decayed request count plus a small
  /// uniform amount per key, so that keys without requests are distributed as
  /// well.
  double LoadOf(KeySpan aKeys) const;

  double TotalLoad() const { return LoadOf({ 0, kMaxKey }); }

  /// @return the request rate of the keys, in requests per second.
  double Rate(KeySpan aKeys) const;

  /// @return the requests added since the last Decay. Its cost grows with the
  /// number of keys.
  double NewRequests(KeySpan aKeys) const;

  /// @return the longest span that starts at the first key of aKeys and has a
  /// load of at most aMaxLoad; at least one bucket.
  KeySpan PrefixWithin(KeySpan aKeys, double aMaxLoad) const;

  /// @return a short span within aKeys with a load of at most aMaxLoad and
  /// close to it, grown around the bucket with the highest load that fits;
  /// nothing if no bucket fits.
  std::optional<KeySpan> FindHotRun(KeySpan aKeys, double aMaxLoad) const;

  /// @return each bucket within aKeys whose own request rate is at least
  /// aMinRate requests per second.
  std::vector<KeySpan> FindHotKeys(KeySpan aKeys, double aMinRate) const;

private:
  double DecayedRequests(KeySpan aKeys) const;
  double UniformLoadPerBucket() const;
  double BucketLoad(uint32_t aBucket) const;
  void UpdatePrefixSums();

  std::vector<float> mBuckets;
  /// For each bucket, the sum of all buckets before it as of the last Decay.
  std::vector<double> mPrefixSums;
  double mTotalRequests = 0;
  /// Length of the time window to which the decayed counts correspond: a rate
  /// is the decayed count divided by this.
  double mEffectiveSeconds = 1;
  Instant mDecayedAt{};
};

} // namespace rattandyke::gateway
