/// Index of the segments of a key range table by owner.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "gateway/range_table.h"

namespace rattandyke::gateway {

/// Index of the segments of a RangeTable: those of each owner, the free ones,
/// and the revoked ones, each identified by its first key. It is updated from
/// the table's list of recent changes, so the cost of an update depends on the
/// number of changes and not on the number of owners, of which there may be
/// thousands. Not thread-safe.
class OwnerIndex
{
public:
  using FirstKeys = std::set<uint32_t>;

  /// Applies the changes of the table since the last call.
  /// @param aRanges the same table in each call.
  void Update(const RangeTable& aRanges);

  /// @return the first keys of an owner's segments.
  const FirstKeys& OwnedBy(const std::string& aOwner) const;

  /// @return the first keys of the segments without an owner.
  const FirstKeys& Free() const { return mFree; }

  /// @return the first keys of the segments that are marked as revoked.
  const FirstKeys& Revoked() const { return mRevoked; }

  /// @return the number of segments read from the table so far: a measure of
  /// the cost of updates.
  uint64_t SegmentsRead() const { return mSegmentsRead; }

private:
  struct Segment
  {
    uint32_t to = 0;
    std::string owner;
    bool revoked = false;
  };
  using Segments = std::map<uint32_t, Segment>;

  void Reread(const RangeTable& aRanges, KeySpan aKeys);
  void Add(const wire::RangeSegment& aSegment);
  Segments::iterator Remove(Segments::iterator aAt);

  std::optional<uint64_t> mVersion;
  Segments mSegments;
  std::unordered_map<std::string, FirstKeys> mOwnedBy;
  FirstKeys mFree;
  FirstKeys mRevoked;
  uint64_t mSegmentsRead = 0;
};

} // namespace rattandyke::gateway
