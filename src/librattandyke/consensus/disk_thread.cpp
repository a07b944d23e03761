#include "consensus/disk_thread.h"

namespace rattandyke::consensus {

namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds{ 500 };

} // namespace

DiskThread::DiskThread(std::unique_ptr<storage::LogStore> aStore,
                       Callbacks aCallbacks)
  : mStore(std::move(aStore))
  , mCallbacks(std::move(aCallbacks))
  , mThread([this] { Run(); })
{
}

DiskThread::~DiskThread()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_one();
  mThread.join();
}

void
DiskThread::Add(Persist aBatch)
{
  {
    const std::lock_guard lock(mMutex);
    mQueue.push_back(std::move(aBatch));
  }
  mWake.notify_one();
}

uint64_t
DiskThread::Syncs() const
{
  const std::lock_guard lock(mMutex);
  return mSyncs;
}

void
DiskThread::Run()
{
  while (WaitForWork()) {
    WriteBatches();
  }
}

bool
DiskThread::WaitForWork()
{
  std::unique_lock lock(mMutex);
  if (mFailing) {
    mWake.wait_for(lock, kRetryInterval, [&] { return mStopping; });
  } else {
    mWake.wait(lock, [&] { return mStopping || !mQueue.empty(); });
  }
  std::move(mQueue.begin(), mQueue.end(), std::back_inserter(mWriting));
  mQueue.clear();
  return !mStopping;
}

void
DiskThread::WriteBatches()
{
  const auto written = mStore->Write(mWriting);
  {
    const std::lock_guard lock(mMutex);
    mSyncs = mStore->Syncs();
  }
  NoteOutcome(written);
  if (written) {
    mCallbacks.synced(mWriting.back().ticket);
    mWriting.clear();
  }
}

void
DiskThread::NoteOutcome(const Result<void>& aOutcome)
{
  const bool failing = !aOutcome.has_value();
  if (failing == mFailing) {
    return;
  }
  mFailing = failing;
  mCallbacks.changed(failing ? std::optional<Error>(aOutcome.error())
                             : std::nullopt);
}

} // namespace rattandyke::consensus
