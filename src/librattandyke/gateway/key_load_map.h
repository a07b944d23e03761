/// How busy the keys of a service are.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <rattandyke/types.h>

#include "gateway/range_table.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Keys counted together. Busy keys lie side by side, and each alone may keep
/// an instance busy, so each has a count of its own: 65,536 floats, 256 KB a
/// service, and twice that for their sums.
inline constexpr uint32_t kKeysPerBucket = 1;

/// Requests a second of each key, as a moving average. Not thread-safe.
class KeyLoadMap
{
public:
  KeyLoadMap();

  /// Adds the requests of a report.
  void Add(const wire::RangeLoad& aLoad);

  /// Lets earlier requests count less, and takes those added since the last
  /// call into account. Call it several times a second.
  /// @param aHolders instances among which the keys are shared out.
  void Decay(Instant aNow, size_t aHolders);

  /// @return load of the keys: their requests, and a little for each key, so
  /// that keys without requests are spread, too.
  double LoadOf(KeySpan aKeys) const;

  double TotalLoad() const { return LoadOf({ 0, kMaxKey }); }

  /// @return requests a second for the keys.
  double Rate(KeySpan aKeys) const;

  /// @return the longest run of keys from the start of aKeys whose load is at
  /// most aLoad; at least one bucket.
  KeySpan PrefixWithin(KeySpan aKeys, double aLoad) const;

  /// @return a run of few keys within aKeys whose load is at most aLoad and
  /// near it, around the busiest bucket that fits; nothing if none fits.
  std::optional<KeySpan> FindHotRun(KeySpan aKeys, double aLoad) const;

  /// @return the buckets within aKeys that each alone get so many requests a
  /// second, or more.
  std::vector<KeySpan> FindHotKeys(KeySpan aKeys, double aASecond) const;

private:
  double Counted(KeySpan aKeys) const;
  double PerBucket() const;
  double BucketLoad(uint32_t aBucket) const;
  void SumUp();

  std::vector<float> mBuckets;
  /// Sum of the buckets before each one, as of the last Decay.
  std::vector<double> mSums;
  double mSum = 0;
  /// Time over which the counts are summed, in effect.
  double mSeconds = 1;
  Instant mDecayedAt{};
};

} // namespace rattandyke::gateway
