/// Form of a log's segment files.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "storage/file_system.h"
#include "wire/consensus.pb.h"

namespace rattandyke::storage {

/// Segment file: a header with the index and term of the entry before its
/// first, then a record for each entry, indices rising by one.
struct SegmentHeader
{
  uint64_t previousIndex = 0;
  uint64_t previousTerm = 0;
};

/// One entry with the offset of its record.
struct SegmentRecord
{
  uint64_t offset = 0;
  wire::LogEntry entry;
};

struct SegmentContents
{
  /// Nothing: the file was cut short within its header and holds no entry.
  std::optional<SegmentHeader> header;
  std::vector<SegmentRecord> records;
  /// Where the last whole record ends.
  uint64_t validBytes = 0;
};

std::string EncodeHeader(const SegmentHeader& aHeader);

/// @param aBatchFirst index of the first entry that is written under the same
/// sync as this one.
std::string EncodeRecord(const wire::LogEntry& aEntry, uint64_t aBatchFirst);

/// Reads a segment's bytes.
/// @param aLast whether it is the newest segment, whose end may be torn: a
/// write that was never synced, so nothing in it was acknowledged.
/// @return the whole records; Code::StorageCorrupt if one that was synced does
/// not match its checksum.
Result<SegmentContents> DecodeSegment(const FileSystem::Path& aPath,
                                      std::string_view aBytes,
                                      bool aLast);

} // namespace rattandyke::storage
