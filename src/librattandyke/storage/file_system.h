/// The few file operations that the log's storage needs.
#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <rattandyke/result.h>

namespace rattandyke::storage {

/// A file opened to append. Failures are Code::DiskFull if the disk is full,
/// else Code::StorageFailed.
class File
{
public:
  virtual ~File() = default;

  /// Adds bytes at the end; a failure may leave a part of them there.
  virtual Result<void> Append(std::string_view aBytes) = 0;

  /// Shortens the file.
  virtual Result<void> Truncate(uint64_t aSize) = 0;

  /// Returns once the contents survive a crash. The file's name survives only
  /// after FileSystem::SyncFolder.
  virtual Result<void> Sync() = 0;
};

/// Held as long as the object lives.
class FileLock
{
public:
  virtual ~FileLock() = default;
};

/// Thread-safe where the operating system's calls are.
class FileSystem
{
public:
  using Path = std::filesystem::path;
  virtual ~FileSystem() = default;

  /// Makes a folder and those above it.
  virtual Result<void> CreateFolder(const Path& aPath) = 0;

  /// @return Code::StorageLocked if another process holds it.
  virtual Result<std::unique_ptr<FileLock>> Lock(const Path& aPath) = 0;

  /// @return the names of the files in a folder, sorted.
  virtual Result<std::vector<std::string>> List(const Path& aFolder) = 0;

  virtual Result<std::string> Read(const Path& aPath) = 0;

  /// Opens a file to append; makes it if there is none.
  virtual Result<std::unique_ptr<File>> Open(const Path& aPath) = 0;

  /// Replaces aTo; after a crash aTo is either the old file or the new one.
  virtual Result<void> Rename(const Path& aFrom, const Path& aTo) = 0;

  virtual Result<void> Remove(const Path& aPath) = 0;

  /// Returns once the names in a folder survive a crash.
  virtual Result<void> SyncFolder(const Path& aFolder) = 0;
};

/// The operating system's files.
std::unique_ptr<FileSystem> MakeFileSystem();

} // namespace rattandyke::storage
