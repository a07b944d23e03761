#include "http/entry_context.h"

#include "http/request_run.h"

namespace rattandyke::http {

void
WaitingRuns::Add(std::shared_ptr<RequestRun> aRun)
{
  const std::lock_guard lock(mMutex);
  mRuns.insert(std::move(aRun));
}

void
WaitingRuns::Remove(const std::shared_ptr<RequestRun>& aRun)
{
  const std::lock_guard lock(mMutex);
  mRuns.erase(aRun);
}

void
WaitingRuns::TellAll()
{
  std::vector<std::shared_ptr<RequestRun>> runs;
  {
    const std::lock_guard lock(mMutex);
    runs.assign(mRuns.begin(), mRuns.end());
  }
  for (const auto& run : runs) {
    run->TellOwnerMayHaveChanged();
  }
}

entry::RetryBudget&
RetryBudgets::Of(const ServiceName& aService)
{
  const std::lock_guard lock(mMutex);
  auto& budget = mBudgets[aService];
  if (!budget) {
    budget =
      std::make_unique<entry::RetryBudget>(entry::RetryBudget::Settings{});
  }
  return *budget;
}

} // namespace rattandyke::http
