/// Finds the keys that get the most requests, in bounded memory.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattandyke::routing {

/// A key with the estimate of its requests.
struct KeyCount
{
  std::string service;
  std::string key;
  /// At least the true count, and above it by at most error.
  uint64_t count = 0;
  uint64_t error = 0;
};

/// Space-saving sketch: keeps a fixed number of counters; a key without one
/// takes over the smallest. Every key with more than total/capacity requests is
/// among the counters. Not thread-safe.
class HotKeys
{
public:
  /// @param aCapacity counters kept; memory is proportional to it.
  explicit HotKeys(size_t aCapacity);

  /// Counts one request; logarithmic in the capacity. Keys over 256 bytes are
  /// not followed.
  void Count(std::string_view aService, std::string_view aKey);

  /// @return at most aLimit keys whose count without its error is at least
  /// aLeast, largest first.
  std::vector<KeyCount> Top(size_t aLimit, uint64_t aLeast) const;

  /// Begins a new interval.
  void Reset();

  size_t Size() const { return mHeap.size(); }

private:
  struct Counter
  {
    KeyCount value;
    uint64_t hash = 0;
  };

  void SiftUp(size_t aPlace);
  void SiftDown(size_t aPlace);
  void Swap(size_t aOne, size_t aOther);

  size_t mCapacity;
  /// A heap with the smallest count in front.
  std::vector<Counter> mHeap;
  /// Places in the heap by hash of service and key. Two keys of one hash share
  /// a counter, which makes the estimate too high, never too low.
  std::unordered_map<uint64_t, size_t> mPlaces;
};

} // namespace rattandyke::routing
