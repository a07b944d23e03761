#include "entry/retry_budget.h"

#include <algorithm>

namespace rattandyke::entry {

RetryBudget::RetryBudget(Settings aSettings)
  : mSettings(aSettings)
  , mTokens(aSettings.initial)
  , mOwed(aSettings.initial)
{
}

void
RetryBudget::SetBurst(double aBurst)
{
  const std::lock_guard lock(mMutex);
  mSettings.burst = aBurst;
  mTokens = std::min(mTokens, aBurst);
}

void
RetryBudget::OnFirstSend()
{
  const std::lock_guard lock(mMutex);
  if (mOwed > 0) {
    mOwed -= mSettings.share;
    return;
  }
  mTokens = std::min(mTokens + mSettings.share, mSettings.burst);
}

bool
RetryBudget::TryTake()
{
  const std::lock_guard lock(mMutex);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace rattandyke::entry
