/// Finds the segments of a key table by their holder.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "gateway/range_table.h"

namespace rattandyke::gateway {

/// Names the segments of a RangeTable by their first keys: those of each
/// holder, those that are free, and those that are about to be released.
/// Follows the table by its changes, so that a lookup costs what it finds and
/// not a pass over the segments of thousands of holders. Not thread-safe.
class HolderIndex
{
public:
  using FirstKeys = std::set<uint32_t>;

  /// Takes over what has changed since the last call.
  /// @param aRanges the same table in each call.
  void Follow(const RangeTable& aRanges);

  /// @return the segments of a holder.
  const FirstKeys& HeldBy(const std::string& aHolder) const;

  const FirstKeys& Free() const { return mFree; }

  const FirstKeys& HeldBack() const { return mHeldBack; }

  /// @return how many segments have been read from tables so far.
  uint64_t SegmentsRead() const { return mSegmentsRead; }

private:
  struct Known
  {
    uint32_t to = 0;
    std::string holder;
    bool heldBack = false;
  };
  using Segments = std::map<uint32_t, Known>;

  void Read(const RangeTable& aRanges, KeySpan aKeys);
  void Add(const wire::RangeSegment& aSegment);
  Segments::iterator Remove(Segments::iterator aAt);

  std::optional<uint64_t> mVersion;
  Segments mSegments;
  std::unordered_map<std::string, FirstKeys> mHeldBy;
  FirstKeys mFree;
  FirstKeys mHeldBack;
  uint64_t mSegmentsRead = 0;
};

} // namespace rattandyke::gateway
