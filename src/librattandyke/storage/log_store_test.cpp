#include "storage/log_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "testing/disk_model.h"
#include "testing/memory_file_system.h"

namespace rattandyke::storage {
namespace {

using consensus::Persist;
using consensus::Restored;
using testing::DiskModel;
using testing::MemoryDisk;

constexpr uint64_t kIdentity = 7;

Result<std::unique_ptr<LogStore>>
Open(const std::shared_ptr<MemoryDisk>& aDisk, uint64_t aSegmentBytes = 400)
{
  return LogStore::Open(
    MemoryDisk::Mount(aDisk), "data", { aSegmentBytes }, kIdentity);
}

/// Makes batches as a replica would, of every kind.
class BatchSource
{
public:
  explicit BatchSource(uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  Persist Next()
  {
    Persist batch;
    batch.ticket = { ++mTicket };
    const uint64_t kind = mRandom() % 8;
    if (mTicket == 1 || kind == 0) {
      SetTerm(batch, mTerm + 1);
    } else if (kind == 1) {
      Snapshot(batch, mSnapshot + mRandom() % (mLast - mSnapshot + 1), false);
    } else if (kind == 2) {
      Snapshot(batch, mLast + 1 + mRandom() % 5, true);
    } else if (kind == 3 && mLast > mSnapshot) {
      mLast = mSnapshot + mRandom() % (mLast - mSnapshot);
      batch.truncateFrom = LogIndex{ mLast + 1 };
      SetTerm(batch, mTerm + 1);
    }
    for (uint64_t more = mRandom() % 5; more > 0; --more) {
      Append(batch);
    }
    return batch;
  }

private:
  void SetTerm(Persist& aBatch, uint64_t aTerm)
  {
    mTerm = aTerm;
    aBatch.hardState.emplace();
    aBatch.hardState->set_term(mTerm);
  }

  void Append(Persist& aBatch)
  {
    wire::LogEntry& entry = aBatch.entries.emplace_back();
    entry.set_index(++mLast);
    entry.set_term(mTerm);
    entry.set_payload(std::string(mRandom() % 60, 'x'));
    mTerms[mLast] = mTerm;
  }

  void Snapshot(Persist& aBatch, uint64_t aIndex, bool aDiscard)
  {
    if (aIndex <= mSnapshot) {
      return;
    }
    consensus::SaveSnapshot save;
    save.snapshot.meta.set_index(aIndex);
    save.snapshot.meta.set_term(aDiscard ? mTerm : mTerms[aIndex]);
    save.snapshot.data = std::make_shared<const std::string>("state");
    save.keepFrom = std::max(mSnapshot, aIndex - aIndex / 4) + 1;
    save.discardLog = aDiscard;
    mTerms[aIndex] = save.snapshot.meta.term();
    mSnapshot = aIndex;
    mLast = aDiscard ? aIndex : mLast;
    aBatch.snapshot = std::move(save);
  }

  Random mRandom;
  uint64_t mTicket = 0;
  uint64_t mTerm = 0;
  uint64_t mLast = 0;
  uint64_t mSnapshot = 0;
  std::map<uint64_t, uint64_t> mTerms;
};

uint64_t
LastIndex(const Restored& aState)
{
  return aState.previousIndex + aState.entries.size();
}

uint64_t
SnapshotIndex(const Restored& aState)
{
  return aState.snapshot ? aState.snapshot->meta.index() : 0;
}

const wire::LogEntry*
EntryAt(const Restored& aState, uint64_t aIndex)
{
  if (aIndex <= aState.previousIndex || aIndex > LastIndex(aState)) {
    return nullptr;
  }
  return &aState.entries[aIndex - aState.previousIndex - 1];
}

bool
SameEntry(const Restored& aOne, const Restored& aOther, uint64_t aIndex)
{
  const wire::LogEntry* one = EntryAt(aOne, aIndex);
  const wire::LogEntry* other = EntryAt(aOther, aIndex);
  return one != nullptr && other != nullptr && one->term() == other->term() &&
         one->payload() == other->payload();
}

/// Whether all entries of aState after aFrom are those of aModel.
bool
IsPartOf(const Restored& aState, const Restored& aModel, uint64_t aFrom)
{
  for (uint64_t index = aFrom + 1; index <= LastIndex(aState); ++index) {
    if (!SameEntry(aState, aModel, index)) {
      return false;
    }
  }
  return true;
}

RC_GTEST_PROP(LogStore, KeepsWhatItSyncedThroughAnyCrash, (uint64_t seed))
{
  // The machine loses power in the middle of a write: some unsynced bytes and
  // names are on the disk and some are not. The host must start again with
  // everything whose write had returned, and of the write it was in, at most a
  // first part; never an entry that is neither.
  auto disk = std::make_shared<MemoryDisk>();
  Random random(seed);
  BatchSource source(seed);
  DiskModel model;
  auto store = Open(disk);
  RC_ASSERT(store.has_value());
  for (int round = 0; round < 4; ++round) {
    disk->FailAfter(random() % 60);
    Restored before;
    while (true) {
      before = model.Contents();
      const Persist batch = source.Next();
      const bool written = (*store)->Write({ &batch, 1 }).has_value();
      model.Write(batch);
      model.Sync(batch.ticket);
      if (!written) {
        break;
      }
    }
    store->reset();
    disk->FailAfter(std::nullopt);
    disk->Crash(random);
    store = Open(disk);
    RC_ASSERT(store.has_value());
    const Restored found = (*store)->TakeRestored();
    const Restored& after = model.Contents();
    RC_ASSERT(found.hardState.term() == before.hardState.term() ||
              found.hardState.term() == after.hardState.term());
    RC_ASSERT(SnapshotIndex(found) == SnapshotIndex(before) ||
              SnapshotIndex(found) == SnapshotIndex(after));
    const uint64_t from = SnapshotIndex(found);
    RC_ASSERT(found.previousIndex <= from);
    RC_ASSERT(LastIndex(found) >= from);
    RC_ASSERT(IsPartOf(found, before, from) || IsPartOf(found, after, from));
    uint64_t kept = from;
    while (SameEntry(before, after, kept + 1)) {
      ++kept;
    }
    RC_ASSERT(LastIndex(found) >= kept);
    // The interrupted write is repeated, as its ticket was never reported.
    const Persist& last = model.Last();
    RC_ASSERT((*store)->Write({ &last, 1 }).has_value());
  }
  RC_ASSERT((*store)->Identity().value == kIdentity);
}

Persist
Entries(uint64_t aFirst, uint64_t aCount)
{
  Persist batch;
  batch.ticket = { aFirst };
  batch.hardState.emplace();
  batch.hardState->set_term(1);
  for (uint64_t i = 0; i < aCount; ++i) {
    wire::LogEntry& entry = batch.entries.emplace_back();
    entry.set_index(aFirst + i);
    entry.set_term(1);
    entry.set_payload("payload");
  }
  return batch;
}

std::string
NewestSegment(const MemoryDisk& aDisk)
{
  std::string newest;
  for (const std::string& path : aDisk.Paths()) {
    newest = path.starts_with("data/log-") ? path : newest;
  }
  return newest;
}

TEST(LogStore, RefusesDamageToSyncedEntries)
{
  // A byte of the log rots. Were the rest cut off as if it were a torn write,
  // this host would forget entries that it acknowledged and could vote them
  // away. Whichever byte before the last write it is, the start is refused,
  // and the message names the file and what to do.
  auto disk = std::make_shared<MemoryDisk>();
  uint64_t lastWriteAt = 0;
  {
    auto store = Open(disk, UINT64_MAX);
    ASSERT_TRUE(store.has_value());
    for (uint64_t first : { 1, 4, 7 }) {
      lastWriteAt =
        first == 1 ? 0 : disk->Contents(NewestSegment(*disk)).size();
      const Persist batch = Entries(first, 3);
      ASSERT_TRUE((*store)->Write({ &batch, 1 }).has_value());
    }
  }
  const std::string path = NewestSegment(*disk);
  for (uint64_t offset = 0; offset < lastWriteAt; ++offset) {
    disk->Contents(path)[offset] ^= 0x10;
    const auto opened = Open(disk);
    ASSERT_FALSE(opened.has_value()) << offset;
    EXPECT_EQ(opened.error().code, Code::StorageCorrupt) << offset;
    EXPECT_NE(opened.error().message.find(path), std::string::npos);
    EXPECT_NE(opened.error().message.find("offset"), std::string::npos);
    EXPECT_NE(opened.error().message.find("data folder"), std::string::npos);
    disk->Contents(path)[offset] ^= 0x10;
  }
  EXPECT_TRUE(Open(disk).has_value());
}

TEST(LogStore, RefusesAFolderThatLostAFile)
{
  // Somebody tidies up the data folder. Without its vote a host could vote
  // twice in a term; without its identity it would pass its old log off as a
  // new voter's. Neither may start.
  for (const char* lost : { "data/identity", "data/state" }) {
    auto disk = std::make_shared<MemoryDisk>();
    {
      auto store = Open(disk);
      const Persist batch = Entries(1, 3);
      ASSERT_TRUE((*store)->Write({ &batch, 1 }).has_value());
    }
    ASSERT_TRUE(MemoryDisk::Mount(disk)->Remove(lost).has_value());
    const auto opened = Open(disk);
    ASSERT_FALSE(opened.has_value()) << lost;
    EXPECT_EQ(opened.error().code, Code::StorageCorrupt);
  }
}

TEST(LogStore, GoesOnWhenAFullDiskHasRoomAgain)
{
  // The disk fills up in the middle of a write, at any byte of it. The write
  // fails, so nothing of it is acknowledged. Once there is room the same write
  // is repeated: when it returns, all of it is on the disk, once, and nothing
  // of the first try shows.
  bool full = true;
  for (uint64_t room = 0; full; ++room) {
    auto disk = std::make_shared<MemoryDisk>();
    auto store = Open(disk);
    const Persist first = Entries(1, 3);
    ASSERT_TRUE((*store)->Write({ &first, 1 }).has_value());
    Persist second = Entries(4, 20);
    second.hardState.reset();
    disk->LimitTo(disk->Used() + room);
    const auto written = (*store)->Write({ &second, 1 });
    full = !written.has_value();
    if (full) {
      EXPECT_EQ(written.error().code, Code::DiskFull) << room;
      disk->LimitTo(UINT64_MAX);
      ASSERT_TRUE((*store)->Write({ &second, 1 }).has_value()) << room;
    }
    store->reset();
    Random random(room);
    disk->Crash(random);
    store = Open(disk);
    ASSERT_TRUE(store.has_value()) << store.error().message;
    EXPECT_EQ((*store)->TakeRestored().entries.size(), 23U) << room;
  }
}

} // namespace
} // namespace rattandyke::storage
