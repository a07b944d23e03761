#include "testing/disk_model.h"

namespace rattandyke::testing {

void
DiskModel::Write(consensus::Persist aBatch)
{
  mLast = aBatch;
  mUnsynced.push_back(std::move(aBatch));
}

void
DiskModel::Sync(consensus::Ticket aTicket)
{
  while (!mUnsynced.empty() && mUnsynced.front().ticket <= aTicket) {
    Commit(std::move(mUnsynced.front()));
    mUnsynced.pop_front();
  }
}

void
DiskModel::Crash(Random& aRandom)
{
  size_t kept = aRandom() % (mUnsynced.size() + 1);
  for (; kept > 0; --kept) {
    Commit(std::move(mUnsynced.front()));
    mUnsynced.pop_front();
  }
  mUnsynced.clear();
}

void
DiskModel::Commit(consensus::Persist aBatch)
{
  if (aBatch.hardState) {
    mSynced.hardState = *aBatch.hardState;
  }
  if (aBatch.snapshot) {
    Save(*aBatch.snapshot);
  }
  if (aBatch.truncateFrom) {
    TruncateFrom(aBatch.truncateFrom->value);
  }
  for (wire::LogEntry& entry : aBatch.entries) {
    mSynced.entries.push_back(std::move(entry));
  }
}

void
DiskModel::TruncateFrom(uint64_t aIndex)
{
  mSynced.entries.resize(aIndex - mSynced.previousIndex - 1);
}

void
DiskModel::Save(const consensus::SaveSnapshot& aSave)
{
  const wire::SnapshotMeta& meta = aSave.snapshot.meta;
  mSynced.snapshot = aSave.snapshot;
  if (aSave.discardLog) {
    mSynced.entries.clear();
    mSynced.previousIndex = meta.index();
    mSynced.previousTerm = meta.term();
    return;
  }
  while (mSynced.previousIndex + 1 < aSave.keepFrom) {
    mSynced.previousTerm = mSynced.entries.front().term();
    mSynced.entries.erase(mSynced.entries.begin());
    ++mSynced.previousIndex;
  }
}

} // namespace rattandyke::testing
