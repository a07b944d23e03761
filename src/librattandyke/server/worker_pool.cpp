#include "server/worker_pool.h"

#include <csignal>

namespace rattandyke::server {

namespace {

/// Signals go to the main thread, which waits for them.
void
BlockSignals()
{
  sigset_t all;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

} // namespace

WorkerPool::WorkerPool(size_t aThreads)
  : mSize(aThreads)
  , mContext(static_cast<int>(aThreads))
  , mGuard(boost::asio::make_work_guard(mContext))
{
}

WorkerPool::~WorkerPool()
{
  mContext.stop();
  Join();
}

void
WorkerPool::Start()
{
  mRunning = mSize;
  for (size_t i = 0; i < mSize; ++i) {
    mThreads.emplace_back([this] {
      BlockSignals();
      mContext.run();
      const std::lock_guard lock(mMutex);
      --mRunning;
      mEnded.notify_all();
    });
  }
}

bool
WorkerPool::Finish(Duration aPatience)
{
  mGuard.reset();
  bool dry = false;
  {
    std::unique_lock lock(mMutex);
    dry = mEnded.wait_for(lock, aPatience, [this] { return mRunning == 0; });
  }
  mContext.stop();
  Join();
  return dry;
}

void
WorkerPool::Join()
{
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

} // namespace rattandyke::server
