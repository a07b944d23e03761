#include "storage/sealed_file.h"

#include <boost/endian/conversion.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rattandyke::storage {

namespace {

constexpr std::string_view kMagic = "RDYKEF01";
constexpr size_t kHeaderBytes = 16;

} // namespace

uint64_t
Checksum(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

void
AppendNumber(std::string& aTo, uint64_t aValue)
{
  const uint64_t stored = boost::endian::native_to_little(aValue);
  aTo.append(reinterpret_cast<const char*>(&stored), sizeof(stored));
}

uint64_t
ReadNumber(std::string_view aFrom, size_t aOffset)
{
  return boost::endian::load_little_u64(
    reinterpret_cast<const unsigned char*>(aFrom.data() + aOffset));
}

tl::unexpected<Error>
FailCorrupt(const FileSystem::Path& aPath,
            uint64_t aOffset,
            std::string_view aWhy)
{
  return Fail(Code::StorageCorrupt,
              "File " + aPath.string() + " is damaged at offset " +
                std::to_string(aOffset) + ": " + std::string(aWhy) +
                ". Move this host's data folder away and start it with an "
                "empty one; it joins the group anew.");
}

Result<void>
WriteSealed(FileSystem& aFiles,
            const FileSystem::Path& aPath,
            std::string_view aPayload)
{
  FileSystem::Path temporary = aPath;
  temporary += ".tmp";
  std::string bytes(kMagic);
  AppendNumber(bytes, Checksum(aPayload));
  bytes += aPayload;
  return aFiles.Remove(temporary)
    .and_then([&] { return aFiles.Open(temporary); })
    .and_then([&](std::unique_ptr<File> aFile) {
      return aFile->Append(bytes).and_then([&] { return aFile->Sync(); });
    })
    .and_then([&] { return aFiles.Rename(temporary, aPath); })
    .and_then([&] { return aFiles.SyncFolder(aPath.parent_path()); });
}

Result<std::string>
ReadSealed(FileSystem& aFiles, const FileSystem::Path& aPath)
{
  Result<std::string> bytes = aFiles.Read(aPath);
  if (!bytes) {
    return bytes;
  }
  if (bytes->size() < kHeaderBytes || !bytes->starts_with(kMagic)) {
    return FailCorrupt(aPath, 0, "it does not begin as it should");
  }
  const std::string_view payload =
    std::string_view(*bytes).substr(kHeaderBytes);
  if (ReadNumber(*bytes, kMagic.size()) != Checksum(payload)) {
    return FailCorrupt(aPath, kHeaderBytes, "the checksum does not match");
  }
  return std::string(payload);
}

} // namespace rattandyke::storage
