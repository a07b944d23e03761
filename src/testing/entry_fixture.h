/// One entry on loopback, with its pool of workers, for tests and benches.
#pragma once

#include <future>
#include <stdexcept>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "http/entry_service.h"
#include "testing/fake_entry_host.h"

namespace rattandyke::testing {

/// Runs until destroyed.
class EntryFixture
{
public:
  explicit EntryFixture(
    http::Limits aLimits = {},
    std::chrono::milliseconds aDrainNotice = {},
    std::chrono::milliseconds aDrainLimit = std::chrono::seconds{ 30 },
    size_t aWorkers = 4)
    : mHost(new FakeEntryHost)
    , mService(mContext.get_executor(),
               { { "127.0.0.1", 0 }, aLimits, aDrainNotice, aDrainLimit },
               std::unique_ptr<http::EntryHost>(mHost),
               mClock,
               kSeed)
  {
    if (const auto started = mService.Start(); !started) {
      throw std::runtime_error(started.error().message);
    }
    for (size_t worker = 0; worker < aWorkers; ++worker) {
      mWorkers.emplace_back([this] { mContext.run(); });
    }
  }

  ~EntryFixture()
  {
    mService.Stop();
    mWork.reset();
    for (auto& worker : mWorkers) {
      worker.join();
    }
  }

  /// Runs a call on one of the workers and waits for its result; with a single
  /// worker, its thread's counters can be read so.
  template<typename Call>
  auto OnWorker(Call aCall)
  {
    std::promise<decltype(aCall())> promise;
    boost::asio::post(mContext, [&] { promise.set_value(aCall()); });
    return promise.get_future().get();
  }

  FakeEntryHost& Host() { return *mHost; }
  http::EntryService& Service() { return mService; }
  Endpoint Address() const { return mService.Listening(); }

private:
  static constexpr uint64_t kSeed = 20261202;

  SystemClock mClock;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork{ mContext.get_executor() };
  FakeEntryHost* mHost;
  http::EntryService mService;
  std::vector<std::thread> mWorkers;
};

} // namespace rattandyke::testing
