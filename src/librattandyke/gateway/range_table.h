/// Table of the owners of one service's keys.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <rattandyke/result.h>

#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Keys are the integers from 0 to kMaxKey.
inline constexpr uint32_t kMaxKey = 65535;
inline constexpr uint32_t kKeyCount = kMaxKey + 1;

/// Range of keys; both ends are included.
struct KeySpan
{
  uint32_t from = 0;
  uint32_t to = 0;
  bool operator==(const KeySpan&) const = default;
  uint32_t Size() const { return to - from + 1; }
};

/// Partition of the key space into segments, each of which has one owner or
/// none. A segment also has the highest fencing token granted for its keys, the
/// handover of its last owner, and a mark if it is revoked. Not thread-safe.
class RangeTable
{
public:
  RangeTable();

  /// @return the segment that contains a key.
  /// @param aKey at most kMaxKey.
  const wire::RangeSegment& Find(uint32_t aKey) const;

  const std::vector<wire::RangeSegment>& Segments() const { return mSegments; }

  /// @return whether no key has been granted yet.
  bool WasNeverGranted() const;

  /// Grants free keys to an owner.
  /// @param aFence fencing token, higher than those of all earlier grants.
  /// @return Code::RevisionConflict if a key has an owner, Code::InvalidRecord
  /// if a range is invalid. On an error the table is unchanged.
  Result<void> Grant(const wire::GrantRanges& aGrant, uint64_t aFence);

  /// Marks keys as revoked (`held_back` in the stored state): their owner is
  /// about to release them. Keys of other owners are unchanged.
  void Revoke(const wire::HoldBackRanges& aCommand);

  /// Frees keys and sets their handovers. Keys of other owners are unchanged.
  void Free(const wire::FreeRanges& aFree);

  /// Frees all keys of an owner that has ended, without a handover.
  void FreeAllOf(const std::string& aOwner);

  /// @return a version number that rises with each change.
  uint64_t Version() const { return mVersion; }

  /// @return the ranges that have changed since a version, oldest first;
  /// nothing if the table no longer has the changes since then. Segments next
  /// to a range may have been merged with it.
  std::optional<std::vector<KeySpan>> ChangesSince(uint64_t aVersion) const;

  void Save(wire::ServiceRanges& aRanges) const;
  void Load(const wire::ServiceRanges& aRanges);

private:
  size_t IndexOf(uint32_t aKey) const;
  void SplitBefore(uint32_t aKey);
  template<typename Change>
  void UpdateOwned(const wire::KeyRange& aRange,
                   const std::string& aOwner,
                   Change aChange);
  /// Merges equal segments within a range and next to it. All other segments
  /// are merged already, and there are thousands of them. Records the range as
  /// changed.
  void MergeAround(const wire::KeyRange& aRange);

  /// Sorted by key; together they cover all keys.
  std::vector<wire::RangeSegment> mSegments;
  /// Ranges of the most recent changes, oldest first.
  std::deque<KeySpan> mChanges;
  uint64_t mVersion = 0;
};

} // namespace rattandyke::gateway
