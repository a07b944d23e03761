/// Threads that run one executor.
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <rattandyke/types.h>

namespace rattandyke::server {

/// An io_context and its threads. Services are stopped first; then Finish lets
/// what they still have pending run to its end.
class WorkerPool
{
public:
  explicit WorkerPool(size_t aThreads);
  /// Stops at once what has not ended.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  boost::asio::any_io_executor Executor() { return mContext.get_executor(); }

  /// Starts the threads, with all signals blocked.
  void Start();

  /// Ends when nothing is pending any more.
  /// @return false if that was not so within aPatience; the rest was dropped.
  bool Finish(Duration aPatience);

private:
  using Guard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  void Join();

  const size_t mSize;
  boost::asio::io_context mContext;
  std::optional<Guard> mGuard;
  std::vector<std::thread> mThreads;
  std::mutex mMutex;
  std::condition_variable mEnded;
  size_t mRunning = 0;
};

} // namespace rattandyke::server
