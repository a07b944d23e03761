/// The durable state of one replica: identity, vote, log and snapshot.
#pragma once

#include <memory>
#include <span>

#include "consensus/replica_events.h"
#include "storage/file_system.h"

namespace rattandyke::storage {

struct LogStoreOptions
{
  /// Size above which the next entries go to a new file.
  uint64_t segmentBytes = uint64_t{ 16 } * 1024 * 1024;
};

/// One data folder:
///
/// - `lock`: held while the folder is in use;
/// - `identity`: random, made once; a folder that was lost is another identity;
/// - `state`: term and vote;
/// - `log-INDEX`: segments, INDEX that of the first entry;
/// - `snapshot-INDEX`: INDEX that of the last entry it contains.
///
/// Not thread-safe.
class LogStore
{
public:
  /// Opens a folder, made if there is none, and recovers it: a torn last write
  /// is cut off.
  /// @param aRandomIdentity not 0; used if the folder has none yet.
  /// @return Code::StorageLocked, Code::StorageCorrupt, Code::StorageFailed or
  /// Code::DiskFull.
  static Result<std::unique_ptr<LogStore>> Open(
    std::unique_ptr<FileSystem> aFiles,
    std::filesystem::path aFolder,
    LogStoreOptions aOptions,
    uint64_t aRandomIdentity);
  ~LogStore();

  HostIdentity Identity() const;

  /// @return what the folder held when it was opened; once.
  consensus::Restored TakeRestored();

  /// Writes batches in their order under as few syncs as possible.
  /// @return once all of them survive a crash. After a failure nothing of them
  /// may be acknowledged; the same batches may be written again.
  Result<void> Write(std::span<const consensus::Persist> aBatches);

  /// @return syncs of files and folders since it was opened.
  uint64_t Syncs() const;

private:
  struct Impl;
  explicit LogStore(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::storage
