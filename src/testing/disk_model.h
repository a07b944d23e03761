/// A replica's disk: what was written and what was synced.
#pragma once

#include <deque>

#include "base/clock.h"
#include "consensus/replica_events.h"

namespace rattandyke::testing {

/// Keeps a replica's batches as storage::LogStore would.
class DiskModel
{
public:
  void Write(consensus::Persist aBatch);

  /// Makes everything written up to a ticket survive a crash.
  void Sync(consensus::Ticket aTicket);

  /// Loses what was not synced, but for a random first part of it.
  void Crash(Random& aRandom);

  bool HasUnsynced() const { return !mUnsynced.empty(); }
  consensus::Ticket LastWritten() const { return mUnsynced.back().ticket; }

  const consensus::Restored& Contents() const { return mSynced; }

  /// @return the batch written last.
  const consensus::Persist& Last() const { return mLast; }

private:
  void Commit(consensus::Persist aBatch);
  void TruncateFrom(uint64_t aIndex);
  void Save(const consensus::SaveSnapshot& aSave);

  consensus::Restored mSynced;
  consensus::Persist mLast;
  std::deque<consensus::Persist> mUnsynced;
};

} // namespace rattandyke::testing
