/// Files in memory that lose what was not synced.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "storage/file_system.h"

namespace rattandyke::testing {

/// A disk that outlives the processes that use it.
class MemoryDisk
{
public:
  /// A file system on this disk, for one process.
  static std::unique_ptr<storage::FileSystem> Mount(
    const std::shared_ptr<MemoryDisk>& aDisk);

  /// Loses a random last part of what was not synced: bytes written, names
  /// made, changed and removed, and cuts.
  void Crash(Random& aRandom);

  /// From now on, operations that change the disk fail once aCount of them were
  /// done; the one that fails does a part of its work. Nothing: no limit.
  void FailAfter(std::optional<uint64_t> aCount) { mFailAfter = aCount; }

  /// Bytes that all files together may hold. May be called while another thread
  /// uses the disk.
  void LimitTo(uint64_t aBytes) { mCapacity = aBytes; }

  /// @return the bytes of all files.
  uint64_t Used() const;

  /// @return the paths of files, sorted.
  std::vector<std::string> Paths() const;

  /// @return the contents of a file, to read or to damage.
  std::string& Contents(const std::string& aPath);

private:
  struct Node
  {
    std::string synced;
    std::string bytes;
  };
  /// A change of a name; no node: the name is removed.
  struct NameChange
  {
    std::string path;
    std::shared_ptr<Node> node;
  };
  using Names = std::map<std::string, std::shared_ptr<Node>>;
  class Files;
  class OpenFile;

  bool MayGoOn();
  void SetName(const std::string& aPath, std::shared_ptr<Node> aNode);
  static void Apply(Names& aNames, const NameChange& aChange);

  Names mNames;
  Names mSyncedNames;
  std::vector<NameChange> mUnsyncedChanges;
  std::optional<uint64_t> mFailAfter;
  std::atomic<uint64_t> mCapacity = UINT64_MAX;
  bool mLocked = false;
};

} // namespace rattandyke::testing
