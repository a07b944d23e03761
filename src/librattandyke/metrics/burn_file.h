/// Keeps the counts of burn over restarts, in the data folder.
#pragma once

#include <memory>

#include "metrics/burn.h"
#include "storage/file_system.h"

namespace rattandyke::metrics {

/// A file of lines, each what was counted in a minute since the line before:
/// lines of the same minute add up. Each has a checksum; a line that a crash
/// left unfinished, or that is damaged, is passed over. Not thread-safe.
class BurnFile
{
public:
  /// @param aFolder exists.
  BurnFile(std::unique_ptr<storage::FileSystem> aFiles,
           std::filesystem::path aFolder);
  ~BurnFile();

  /// Restores what the file holds into aKeeper and writes the file anew,
  /// without what is too old.
  Result<void> Load(BurnKeeper& aKeeper);

  /// Appends what aKeeper has not saved yet, and syncs. Once the file has
  /// grown large it is written anew, and so it is in the call after a failure.
  Result<void> Save(BurnKeeper& aKeeper);

private:
  Result<void> Rewrite(const BurnKeeper& aKeeper);

  std::unique_ptr<storage::FileSystem> mFiles;
  std::filesystem::path mFolder;
  std::unique_ptr<storage::File> mFile;
  size_t mBytes = 0;
};

} // namespace rattandyke::metrics
