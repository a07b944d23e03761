/// Small whole files with a checksum, replaced at once.
#pragma once

#include <string>
#include <string_view>

#include "storage/file_system.h"

namespace rattandyke::storage {

/// 64-bit checksum of everything that is stored.
uint64_t Checksum(std::string_view aBytes);

/// Numbers as they lie on the disk: little-endian.
void AppendNumber(std::string& aTo, uint64_t aValue);
uint64_t ReadNumber(std::string_view aFrom, size_t aOffset);

/// @return Code::StorageCorrupt with the file, the offset and what to do.
tl::unexpected<Error> FailCorrupt(const FileSystem::Path& aPath,
                                  uint64_t aOffset,
                                  std::string_view aWhy);

/// Writes a file under another name, syncs it, renames it and syncs the
/// folder, so that a crash leaves the old file or the new one, never a part.
Result<void> WriteSealed(FileSystem& aFiles,
                         const FileSystem::Path& aPath,
                         std::string_view aPayload);

/// @return the payload, or Code::StorageCorrupt.
Result<std::string> ReadSealed(FileSystem& aFiles,
                               const FileSystem::Path& aPath);

} // namespace rattandyke::storage
