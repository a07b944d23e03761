/// The part of the replicated log that a replica holds in memory.
#pragma once

#include <deque>
#include <optional>

#include "wire/consensus.pb.h"

namespace rattandyke::consensus {

/// Entries after a base, which stands for everything compacted away. Not
/// thread-safe.
class MemoryLog
{
public:
  /// @param aBaseIndex index of the newest entry that is not held; 0: none.
  MemoryLog(uint64_t aBaseIndex, uint64_t aBaseTerm);

  uint64_t BaseIndex() const { return mBaseIndex; }
  uint64_t LastIndex() const { return mBaseIndex + mEntries.size(); }
  uint64_t LastTerm() const;

  /// @return the term of an entry, the base included; nothing if not held.
  std::optional<uint64_t> TermAt(uint64_t aIndex) const;

  /// @param aIndex above BaseIndex, not above LastIndex.
  const wire::LogEntry& At(uint64_t aIndex) const;

  /// @param aEntry whose index follows LastIndex.
  void Append(wire::LogEntry aEntry);

  /// Drops the entry at aIndex and all after it.
  void TruncateFrom(uint64_t aIndex);

  /// Moves the base forward to aIndex, which is held.
  void CompactTo(uint64_t aIndex);

  /// Drops everything and starts after a new base.
  void Reset(uint64_t aBaseIndex, uint64_t aBaseTerm);

private:
  uint64_t mBaseIndex;
  uint64_t mBaseTerm;
  std::deque<wire::LogEntry> mEntries;
};

} // namespace rattandyke::consensus
