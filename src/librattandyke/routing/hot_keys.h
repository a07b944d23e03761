/// Sketch of the most frequently requested keys, in bounded memory.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattandyke::routing {

/// A key with the estimated number of its requests.
struct KeyCount
{
  std::string service;
  std::string key;
  /// Estimate: at least the true count, and at most the true count plus error.
  uint64_t count = 0;
  /// Largest possible overestimate in count.
  uint64_t error = 0;
};

/// Space-Saving sketch with a fixed number of counters. A key without a counter
/// replaces the key with the smallest count. Every key with more than
/// total/capacity requests has a counter. Not thread-safe.
class HotKeys
{
public:
  /// @param aCapacity number of counters; memory use is proportional to it.
  explicit HotKeys(size_t aCapacity);

  /// Counts one request in O(log capacity) time. Ignores keys longer than
  /// 256 bytes.
  void Count(std::string_view aService, std::string_view aKey);

  /// @return at most aLimit keys whose count minus error is at least aMinCount,
  /// in descending order of count.
  std::vector<KeyCount> Top(size_t aLimit, uint64_t aMinCount) const;

  /// Removes all counters, to start a new measuring interval.
  void Reset();

  size_t Size() const { return mHeap.size(); }

private:
  struct Counter
  {
    KeyCount value;
    uint64_t hash = 0;
  };

  void SiftUp(size_t aIndex);
  void SiftDown(size_t aIndex);
  void Swap(size_t aOne, size_t aOther);

  size_t mCapacity;
  /// Min-heap by count.
  std::vector<Counter> mHeap;
  /// Index in mHeap by hash of service and key. Keys with equal hashes share a
  /// counter, so the estimate may be too high but never too low.
  std::unordered_map<uint64_t, size_t> mHeapIndexes;
};

} // namespace rattandyke::routing
