/// Owners of one service's keys, by ranges.
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

/// The key space: numbers from 0 to kMaxKey.
inline constexpr uint32_t kMaxKey = 65535;
inline constexpr uint32_t kKeyCount = kMaxKey + 1;

/// Keys from `from` to `to`, both included.
struct KeySpan
{
  uint32_t from = 0;
  uint32_t to = 0;
  bool operator==(const KeySpan&) const = default;
  uint32_t Size() const { return to - from + 1; }
};

/// A partition of the key space into segments with one holder or none. Not
/// thread-safe.
class RangeTable
{
public:
  RangeTable();

  /// @return the segment of a key; aKey is at most kMaxKey.
  const wire::RangeSegment& Find(uint32_t aKey) const;

  const std::vector<wire::RangeSegment>& Segments() const { return mSegments; }

  /// @return whether no key has ever had a holder.
  bool IsUntouched() const;

  /// Gives free keys to a holder.
  /// @param aFence above every fence given before.
  /// @return Code::RevisionConflict, and nothing is changed, unless all keys
  /// are free.
  Result<void> Grant(const wire::GrantRanges& aGrant, uint64_t aFence);

  /// Marks keys that their holder is about to release.
  void Revoke(const wire::HoldBackRanges& aCommand);

  /// Takes keys from a holder; keys that it does not hold stay as they are.
  void Free(const wire::FreeRanges& aFree);

  /// Takes all keys from a holder that has ended, without a handover.
  void FreeAllOf(const std::string& aHolder);

  /// @return a number that rises with each change.
  uint64_t Version() const { return mVersion; }

  /// @return the keys around which segments changed since a version, oldest
  /// first; nothing if that is not known any more.
  std::optional<std::vector<KeySpan>> ChangesSince(uint64_t aVersion) const;

  void Save(wire::ServiceRanges& aRanges) const;
  void Load(const wire::ServiceRanges& aRanges);

private:
  size_t IndexOf(uint32_t aKey) const;
  void SplitBefore(uint32_t aKey);
  template<typename Change>
  void ChangeHeld(const wire::KeyRange& aRange,
                  const std::string& aHolder,
                  Change aChange);
  /// Joins segments that are alike in and next to a range: all others are
  /// joined already, and there are thousands of them.
  void MergeAround(const wire::KeyRange& aRange);

  /// Sorted; together they cover all keys.
  std::vector<wire::RangeSegment> mSegments;
  /// The newest changes, oldest first.
  std::deque<KeySpan> mChanges;
  uint64_t mVersion = 0;
};

} // namespace rattandyke::gateway
