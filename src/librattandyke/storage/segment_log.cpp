#include "storage/segment_log.h"

#include <algorithm>
#include <cstdio>

#include "storage/sealed_file.h"
#include "storage/segment.h"

namespace rattandyke::storage {

namespace {

constexpr std::string_view kPrefix = "log-";
constexpr size_t kIndexDigits = 20;

std::string
SegmentName(uint64_t aFirstIndex)
{
  const std::string digits = std::to_string(aFirstIndex);
  return std::string(kPrefix) + std::string(kIndexDigits - digits.size(), '0') +
         digits;
}

} // namespace

SegmentLog::SegmentLog(FileSystem& aFiles,
                       FileSystem::Path aFolder,
                       uint64_t aSegmentBytes)
  : mFiles(aFiles)
  , mFolder(std::move(aFolder))
  , mSegmentBytes(aSegmentBytes)
{
}

Result<std::vector<wire::LogEntry>>
SegmentLog::Load(const std::vector<std::string>& aNames)
{
  std::vector<std::string> names;
  std::copy_if(aNames.begin(),
               aNames.end(),
               std::back_inserter(names),
               [](const auto& aName) { return aName.starts_with(kPrefix); });
  std::vector<wire::LogEntry> entries;
  for (const std::string& name : names) {
    const auto loaded = LoadSegment(name, name == names.back(), entries);
    if (!loaded) {
      return tl::unexpected(loaded.error());
    }
  }
  if (!mSegments.empty()) {
    mBaseIndex = mSegments.front().previousIndex;
    mBaseTerm = mSegments.front().previousTerm;
  }
  return entries;
}

Result<void>
SegmentLog::LoadSegment(const std::string& aName,
                        bool aLast,
                        std::vector<wire::LogEntry>& aEntries)
{
  const FileSystem::Path path = mFolder / aName;
  const auto bytes = mFiles.Read(path);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  auto contents = DecodeSegment(path, *bytes, aLast);
  if (!contents) {
    return tl::unexpected(contents.error());
  }
  if (!contents->header) {
    return mFiles.Remove(path).and_then([&] { return SyncFolder(); });
  }
  Segment segment;
  segment.path = path;
  segment.previousIndex = contents->header->previousIndex;
  segment.previousTerm = contents->header->previousTerm;
  segment.bytes = contents->validBytes;
  const bool follows = mSegments.empty() ||
                       (mSegments.back().LastIndex() == segment.previousIndex &&
                        mSegments.back().LastTerm() == segment.previousTerm);
  if (!follows) {
    return FailCorrupt(path, 0, "it does not follow the segment before");
  }
  for (SegmentRecord& record : contents->records) {
    segment.items.push_back({ record.offset, record.entry.term() });
    aEntries.push_back(std::move(record.entry));
  }
  mSegments.push_back(std::move(segment));
  if (!aLast) {
    return {};
  }
  // What was read whole may still be in memory only: sync it before anything
  // relies on it, and cut off what is torn.
  ++mSyncs;
  return OpenNewest()
    .and_then([&] { return mFile->Truncate(mSegments.back().bytes); })
    .and_then([&] { return mFile->Sync(); });
}

uint64_t
SegmentLog::BaseIndex() const
{
  return mSegments.empty() ? mBaseIndex : mSegments.front().previousIndex;
}

uint64_t
SegmentLog::BaseTerm() const
{
  return mSegments.empty() ? mBaseTerm : mSegments.front().previousTerm;
}

uint64_t
SegmentLog::LastIndex() const
{
  const uint64_t synced =
    mSegments.empty() ? mBaseIndex : mSegments.back().LastIndex();
  return synced + mBuffered.size();
}

Result<void>
SegmentLog::Append(const wire::LogEntry& aEntry)
{
  if (aEntry.index() <= BaseIndex()) {
    // Written again after a failure, and a snapshot covers it meanwhile.
    return {};
  }
  if (aEntry.index() <= LastIndex()) {
    if (auto cut = TruncateFrom(aEntry.index()); !cut) {
      return cut;
    }
  }
  if (aEntry.index() != LastIndex() + 1) {
    return Fail(Code::StorageFailed,
                "Entry " + std::to_string(aEntry.index()) +
                  " does not follow entry " + std::to_string(LastIndex()) +
                  " of the log in " + mFolder.string() + ".");
  }
  const bool full = mSegments.empty() ||
                    mSegments.back().bytes + mBuffer.size() >= mSegmentBytes;
  if (full) {
    auto started = Flush().and_then([&] { return StartSegment(); });
    if (!started) {
      return started;
    }
  }
  const uint64_t batchFirst = mSegments.back().LastIndex() + 1;
  mBuffered.push_back(
    { mSegments.back().bytes + mBuffer.size(), aEntry.term() });
  mBuffer += EncodeRecord(aEntry, batchFirst);
  return {};
}

Result<void>
SegmentLog::StartSegment()
{
  Segment segment;
  segment.previousIndex = LastIndex();
  segment.previousTerm =
    mSegments.empty() ? mBaseTerm : mSegments.back().LastTerm();
  segment.path = mFolder / SegmentName(segment.previousIndex + 1);
  const std::string header =
    EncodeHeader({ segment.previousIndex, segment.previousTerm });
  segment.bytes = header.size();
  // Synced before any entry, so that a damaged header never is a torn write.
  ++mSyncs;
  return mFiles.Remove(segment.path)
    .and_then([&] { return mFiles.Open(segment.path); })
    .and_then([&](std::unique_ptr<File> aFile) {
      mFile = std::move(aFile);
      return mFile->Append(header);
    })
    .and_then([&] { return mFile->Sync(); })
    .and_then([&] { return SyncFolder(); })
    .map([&] { mSegments.push_back(std::move(segment)); })
    .map_error([&](Error aError) {
      mFile.reset();
      return aError;
    });
}

Result<void>
SegmentLog::Flush()
{
  if (mTailUnknown) {
    if (auto rolledBack = RollBack(); !rolledBack) {
      return rolledBack;
    }
  }
  if (mBuffered.empty()) {
    return {};
  }
  const std::string bytes = std::exchange(mBuffer, {});
  const std::vector<Item> items = std::exchange(mBuffered, {});
  ++mSyncs;
  auto written =
    OpenNewest().and_then([&] { return mFile->Append(bytes); }).and_then([&] {
      return mFile->Sync();
    });
  if (!written) {
    // A part may be in the file. It is cut off before the next write, and all
    // of it is written again: after a failed sync the system may have dropped
    // pages it could not write and would not report them a second time.
    mTailUnknown = true;
    return written;
  }
  Segment& segment = mSegments.back();
  segment.bytes += bytes.size();
  segment.items.insert(segment.items.end(), items.begin(), items.end());
  return {};
}

Result<void>
SegmentLog::RollBack()
{
  return OpenNewest()
    .and_then([&] { return mFile->Truncate(mSegments.back().bytes); })
    .map([&] { mTailUnknown = false; });
}

Result<void>
SegmentLog::OpenNewest()
{
  if (mFile) {
    return {};
  }
  return mFiles.Open(mSegments.back().path)
    .map([&](std::unique_ptr<File> aFile) { mFile = std::move(aFile); });
}

Result<void>
SegmentLog::SyncFolder()
{
  ++mSyncs;
  return mFiles.SyncFolder(mFolder);
}

Result<void>
SegmentLog::RemoveNewest()
{
  // Each removal is synced by itself, newest first: out of order they would
  // leave a gap, which looks like damage.
  mFile.reset();
  return mFiles.Remove(mSegments.back().path)
    .and_then([&] { return SyncFolder(); })
    .map([&] {
      mBaseIndex = mSegments.back().previousIndex;
      mBaseTerm = mSegments.back().previousTerm;
      mSegments.pop_back();
      mTailUnknown = false;
    });
}

Result<void>
SegmentLog::TruncateFrom(uint64_t aIndex)
{
  if (auto flushed = Flush(); !flushed) {
    return flushed;
  }
  while (!mSegments.empty() && mSegments.back().previousIndex + 1 >= aIndex) {
    if (auto removed = RemoveNewest(); !removed) {
      return removed;
    }
  }
  if (mSegments.empty() || LastIndex() < aIndex) {
    return {};
  }
  // Synced before the next append: else a crash could leave new entries in
  // front of old ones.
  Segment& segment = mSegments.back();
  const size_t kept = aIndex - segment.previousIndex - 1;
  const uint64_t bytes = segment.items[kept].offset;
  ++mSyncs;
  return OpenNewest()
    .and_then([&] { return mFile->Truncate(bytes); })
    .and_then([&] { return mFile->Sync(); })
    .map([&] {
      segment.items.resize(kept);
      segment.bytes = bytes;
    });
}

Result<void>
SegmentLog::DropBelow(uint64_t aIndex)
{
  while (mSegments.size() > 1 && mSegments.front().LastIndex() < aIndex) {
    auto removed = mFiles.Remove(mSegments.front().path).and_then([&] {
      return SyncFolder();
    });
    if (!removed) {
      return removed;
    }
    mSegments.erase(mSegments.begin());
  }
  return {};
}

Result<void>
SegmentLog::Clear(uint64_t aBaseIndex, uint64_t aBaseTerm)
{
  mBuffer.clear();
  mBuffered.clear();
  while (!mSegments.empty()) {
    if (auto removed = RemoveNewest(); !removed) {
      return removed;
    }
  }
  mBaseIndex = aBaseIndex;
  mBaseTerm = aBaseTerm;
  return {};
}

} // namespace rattandyke::storage
