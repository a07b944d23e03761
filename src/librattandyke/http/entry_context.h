/// What all requests of one entry share.
#pragma once

#include <atomic>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

#include "base/clock.h"
#include "entry/retry_budget.h"
#include "http/entry_host.h"
#include "http/health_desk.h"
#include "http/limits.h"
#include "http/slot_queues.h"
#include "http/suspects.h"
#include "http/upstream_pool.h"

namespace rattandyke::http {

class RequestRun;

/// Requests that want to hear of a new table. Thread-safe; a leaf lock.
class WaitingRuns
{
public:
  void Add(std::shared_ptr<RequestRun> aRun);
  void Remove(const std::shared_ptr<RequestRun>& aRun);
  /// Tells each of them, on its own strand.
  void TellAll();

private:
  std::mutex mMutex;
  std::unordered_set<std::shared_ptr<RequestRun>> mRuns;
};

/// Retry budgets by service. Thread-safe; a leaf lock.
class RetryBudgets
{
public:
  /// @return lives as long as this.
  entry::RetryBudget& Of(const ServiceName& aService);

private:
  std::mutex mMutex;
  std::unordered_map<ServiceName, std::unique_ptr<entry::RetryBudget>> mBudgets;
};

/// Counts what a shutdown has to wait for while it lives.
class OpenWork
{
public:
  explicit OpenWork(std::atomic<size_t>& aCount)
    : mCount(&aCount)
  {
    ++*mCount;
  }
  OpenWork(const OpenWork& aOther)
    : OpenWork(*aOther.mCount)
  {
  }
  OpenWork& operator=(const OpenWork&) = delete;
  ~OpenWork() { --*mCount; }

private:
  std::atomic<size_t>* mCount;
};

/// Shared by the service, its connections and requests; a request may outlive
/// its connection, and either the service.
struct EntryContext
{
  EntryContext(const boost::asio::any_io_executor& aExecutor,
               const Limits& aLimits,
               std::unique_ptr<EntryHost> aHost,
               const Clock& aClock,
               uint64_t aSeed)
    : executor(aExecutor)
    , limits(aLimits)
    , ownedHost(std::move(aHost))
    , host(*ownedHost)
    , clock(aClock)
    , seed(aSeed)
    , pool(aExecutor, aLimits)
    , slots(aExecutor, aClock, host)
    , health(aClock)
  {
  }

  const boost::asio::any_io_executor executor;
  const Limits limits;
  const std::unique_ptr<EntryHost> ownedHost;
  EntryHost& host;
  const Clock& clock;
  /// Makes request ids of this process unlike those of any other.
  const uint64_t seed;
  UpstreamPool pool;
  SlotQueues slots;
  HealthDesk health;
  Suspects suspects;
  RetryBudgets budgets;
  WaitingRuns waiting;
  std::atomic<uint64_t> lastRequest{ 0 };
  std::atomic<bool> draining{ false };
  std::atomic<bool> stopped{ false };
  /// Requests and claims that are not settled, also those whose caller has
  /// gone: a claim left open would hold up the resends of its key.
  std::atomic<size_t> openWork{ 0 };
};

} // namespace rattandyke::http
