#include "storage/segment.h"

#include "storage/sealed_file.h"

namespace rattandyke::storage {

namespace {

constexpr std::string_view kHeaderMagic = "RDYKEL01";
constexpr std::string_view kRecordMagic = "RDYKEREC";
constexpr size_t kNumberBytes = 8;
constexpr size_t kHeaderBytes = 4 * kNumberBytes;
/// Magic, checksum, length, first index of the batch.
constexpr size_t kRecordHeaderBytes = 4 * kNumberBytes;

struct ParsedRecord
{
  wire::LogEntry entry;
  uint64_t batchFirst = 0;
  uint64_t bytes = 0;
};

std::optional<ParsedRecord>
ParseRecord(std::string_view aBytes)
{
  if (aBytes.size() < kRecordHeaderBytes || !aBytes.starts_with(kRecordMagic)) {
    return std::nullopt;
  }
  const uint64_t checksum = ReadNumber(aBytes, kNumberBytes);
  const uint64_t length = ReadNumber(aBytes, 2 * kNumberBytes);
  if (length > aBytes.size() - kRecordHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view covered =
    aBytes.substr(2 * kNumberBytes, 2 * kNumberBytes + length);
  ParsedRecord record;
  if (Checksum(covered) != checksum ||
      !record.entry.ParseFromArray(aBytes.data() + kRecordHeaderBytes,
                                   static_cast<int>(length))) {
    return std::nullopt;
  }
  record.batchFirst = ReadNumber(aBytes, 3 * kNumberBytes);
  record.bytes = kRecordHeaderBytes + length;
  return record;
}

std::optional<SegmentHeader>
ParseHeader(std::string_view aBytes)
{
  if (aBytes.size() < kHeaderBytes || !aBytes.starts_with(kHeaderMagic)) {
    return std::nullopt;
  }
  const std::string_view covered =
    aBytes.substr(2 * kNumberBytes, 2 * kNumberBytes);
  if (Checksum(covered) != ReadNumber(aBytes, kNumberBytes)) {
    return std::nullopt;
  }
  return SegmentHeader{ ReadNumber(covered, 0),
                        ReadNumber(covered, kNumberBytes) };
}

/// Whether the bytes hold a record of a batch that began after entry aIndex.
/// Such a batch was begun only when entry aIndex had been synced.
bool
HoldsLaterBatch(std::string_view aBytes, uint64_t aIndex)
{
  size_t offset = aBytes.find(kRecordMagic);
  while (offset != std::string_view::npos) {
    const auto record = ParseRecord(aBytes.substr(offset));
    if (record && record->batchFirst > aIndex) {
      return true;
    }
    offset = aBytes.find(kRecordMagic, offset + 1);
  }
  return false;
}

} // namespace

std::string
EncodeHeader(const SegmentHeader& aHeader)
{
  std::string covered;
  AppendNumber(covered, aHeader.previousIndex);
  AppendNumber(covered, aHeader.previousTerm);
  std::string bytes(kHeaderMagic);
  AppendNumber(bytes, Checksum(covered));
  return bytes + covered;
}

std::string
EncodeRecord(const wire::LogEntry& aEntry, uint64_t aBatchFirst)
{
  const std::string payload = aEntry.SerializeAsString();
  std::string covered;
  AppendNumber(covered, payload.size());
  AppendNumber(covered, aBatchFirst);
  covered += payload;
  std::string bytes(kRecordMagic);
  AppendNumber(bytes, Checksum(covered));
  return bytes + covered;
}

Result<SegmentContents>
DecodeSegment(const FileSystem::Path& aPath,
              std::string_view aBytes,
              bool aLast)
{
  SegmentContents contents;
  contents.header = ParseHeader(aBytes);
  if (!contents.header) {
    if (!aLast || HoldsLaterBatch(aBytes, 0)) {
      return FailCorrupt(aPath, 0, "the header does not match its checksum");
    }
    return contents;
  }
  contents.validBytes = kHeaderBytes;
  uint64_t index = contents.header->previousIndex;
  while (contents.validBytes < aBytes.size()) {
    const std::string_view rest = aBytes.substr(contents.validBytes);
    auto record = ParseRecord(rest);
    if (record && record->entry.index() != index + 1) {
      return FailCorrupt(
        aPath, contents.validBytes, "the entry's index does not follow");
    }
    if (!record) {
      // A torn write was never synced and never acknowledged: dropping it is
      // right. Damage to synced entries must not be taken for one, or
      // acknowledged entries would vanish from this host without a word.
      if (!aLast || HoldsLaterBatch(rest, index + 1)) {
        return FailCorrupt(
          aPath, contents.validBytes, "an entry does not match its checksum");
      }
      return contents;
    }
    contents.records.push_back(
      { contents.validBytes, std::move(record->entry) });
    contents.validBytes += record->bytes;
    ++index;
  }
  return contents;
}

} // namespace rattandyke::storage
