/// The segment files of one log.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "storage/file_system.h"
#include "wire/consensus.pb.h"

namespace rattandyke::storage {

/// Appends entries to segments and takes them off at both ends. Only the
/// newest segment ever holds bytes that are not synced. After a failed call
/// the buffer is empty and the caller repeats what it had not yet seen synced.
/// Not thread-safe.
class SegmentLog
{
public:
  SegmentLog(FileSystem& aFiles,
             FileSystem::Path aFolder,
             uint64_t aSegmentBytes);

  /// Reads the segments among the names of the folder's files, and cuts a torn
  /// last write off.
  /// @return all entries; Code::StorageCorrupt.
  Result<std::vector<wire::LogEntry>> Load(
    const std::vector<std::string>& aNames);

  /// @return index and term of the entry before the first that is held.
  uint64_t BaseIndex() const;
  uint64_t BaseTerm() const;
  uint64_t LastIndex() const;

  /// Buffers an entry. One whose index is held already replaces that and all
  /// after it.
  Result<void> Append(const wire::LogEntry& aEntry);

  /// Writes and syncs what is buffered.
  Result<void> Flush();

  /// Takes off aIndex and all after it, synced on return.
  Result<void> TruncateFrom(uint64_t aIndex);

  /// Removes the segments that hold only entries below aIndex.
  Result<void> DropBelow(uint64_t aIndex);

  /// Removes all and starts anew after the given entry.
  Result<void> Clear(uint64_t aBaseIndex, uint64_t aBaseTerm);

  /// @return syncs so far.
  uint64_t Syncs() const { return mSyncs; }

private:
  struct Item
  {
    uint64_t offset = 0;
    uint64_t term = 0;
  };

  struct Segment
  {
    FileSystem::Path path;
    uint64_t previousIndex = 0;
    uint64_t previousTerm = 0;
    /// Size up to which the file is synced.
    uint64_t bytes = 0;
    std::vector<Item> items;
    uint64_t LastIndex() const { return previousIndex + items.size(); }
    uint64_t LastTerm() const
    {
      return items.empty() ? previousTerm : items.back().term;
    }
  };

  Result<void> LoadSegment(const std::string& aName,
                           bool aLast,
                           std::vector<wire::LogEntry>& aEntries);
  Result<void> StartSegment();
  Result<void> RemoveNewest();
  Result<void> RollBack();
  Result<void> OpenNewest();
  Result<void> SyncFolder();

  FileSystem& mFiles;
  const FileSystem::Path mFolder;
  const uint64_t mSegmentBytes;
  std::vector<Segment> mSegments;
  uint64_t mBaseIndex = 0;
  uint64_t mBaseTerm = 0;
  std::unique_ptr<File> mFile;
  std::string mBuffer;
  std::vector<Item> mBuffered;
  bool mTailUnknown = false;
  uint64_t mSyncs = 0;
};

} // namespace rattandyke::storage
