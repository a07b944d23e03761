/// Writes a replica's batches on a thread of its own.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "consensus/replica_events.h"
#include "storage/log_store.h"

namespace rattandyke::consensus {

/// All batches that wait when a sync ends share the next one. A failed write is
/// repeated until it succeeds, so a disk that was full goes on by itself once
/// there is room; nothing is reported as synced before.
class DiskThread
{
public:
  /// Both are called on the disk's thread.
  struct Callbacks
  {
    std::function<void(Ticket)> synced;
    /// Once when writes begin to fail, and once, with no error, when they
    /// succeed again.
    std::function<void(std::optional<Error>)> changed;
  };

  DiskThread(std::unique_ptr<storage::LogStore> aStore, Callbacks aCallbacks);

  /// Ends the thread after the write it is in.
  ~DiskThread();

  /// Thread-safe; does not wait.
  void Add(Persist aBatch);

  /// Thread-safe.
  uint64_t Syncs() const;

private:
  void Run();
  bool WaitForWork();
  void WriteBatches();
  void NoteOutcome(const Result<void>& aOutcome);

  const std::unique_ptr<storage::LogStore> mStore;
  const Callbacks mCallbacks;
  mutable std::mutex mMutex;
  std::condition_variable mWake;
  std::vector<Persist> mQueue;
  bool mStopping = false;
  uint64_t mSyncs = 0;
  /// Of the thread alone.
  std::vector<Persist> mWriting;
  bool mFailing = false;
  std::thread mThread;
};

} // namespace rattandyke::consensus
