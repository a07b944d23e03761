#include "metrics/burn.h"

#include <algorithm>

namespace rattandyke::metrics {
namespace {

BurnHistory::Minute
MinuteOf(WallTime aTime)
{
  return std::chrono::floor<std::chrono::minutes>(aTime);
}

double
AllowedShare(double aTarget)
{
  // A target of 1 allows nothing; dividing by zero would make the first bad
  // request an infinite burn and the report unreadable.
  constexpr double kLeastShare = 1e-9;
  return std::max(1 - aTarget, kLeastShare);
}

WindowBurn
BurnOf(const ObjectiveCounts& aCounts,
       Budget aBudget,
       double aTarget,
       std::chrono::minutes aWindow)
{
  WindowBurn burn;
  burn.window = aWindow;
  const bool availability = aBudget == Budget::Availability;
  // A failed request has no latency to speak of: it is in the other budget.
  burn.total = availability ? aCounts.total : aCounts.total - aCounts.failed;
  burn.bad = availability ? aCounts.failed : aCounts.slow;
  if (burn.total > 0) {
    const double share =
      static_cast<double>(burn.bad) / static_cast<double>(burn.total);
    burn.rate = share / AllowedShare(aTarget);
  }
  return burn;
}

/// @return the share of the period that the history covers.
double
CoveredShare(const BurnHistory& aHistory, WallTime aNow)
{
  if (aHistory.Minutes().empty()) {
    return 0;
  }
  const std::chrono::duration<double> covered =
    aNow - aHistory.Minutes().begin()->first;
  const std::chrono::duration<double> period = kBudgetPeriod;
  return std::clamp(covered / period, 0.0, 1.0);
}

std::optional<std::chrono::minutes>
TimeUntilOut(double aLeft, double aRate)
{
  if (aLeft <= 0) {
    return std::chrono::minutes{ 0 };
  }
  const std::chrono::duration<double, std::ratio<60>> period = kBudgetPeriod;
  const auto time = period * aLeft / std::max(aRate, 1e-9);
  if (time >= period) {
    return std::nullopt;
  }
  return std::chrono::floor<std::chrono::minutes>(time);
}

} // namespace

void
BurnHistory::Add(WallTime aAt, const ObjectiveCounts& aCounts)
{
  if (aCounts == ObjectiveCounts{}) {
    return;
  }
  mMinutes[MinuteOf(aAt)] += aCounts;
  Forget();
}

void
BurnHistory::Merge(const BurnHistory& aOther)
{
  for (const auto& [minute, counts] : aOther.mMinutes) {
    mMinutes[minute] += counts;
  }
  Forget();
}

void
BurnHistory::Forget()
{
  if (!mMinutes.empty()) {
    const Minute oldest = mMinutes.rbegin()->first - kBudgetPeriod;
    mMinutes.erase(mMinutes.begin(), mMinutes.upper_bound(oldest));
  }
}

ObjectiveCounts
BurnHistory::Sum(WallTime aNow, std::chrono::minutes aWindow) const
{
  const Minute last = MinuteOf(aNow);
  ObjectiveCounts sum;
  for (auto at = mMinutes.upper_bound(last - aWindow);
       at != mMinutes.end() && at->first <= last;
       ++at) {
    sum += at->second;
  }
  return sum;
}

BudgetReport
ReportBudget(const BurnHistory& aHistory,
             Budget aBudget,
             const records::Objective& aObjective,
             WallTime aNow)
{
  BudgetReport report;
  report.budget = aBudget;
  report.target = aBudget == Budget::Availability ? aObjective.availability
                                                  : aObjective.latencyShare;
  for (const std::chrono::minutes window : kBurnWindows) {
    report.windows.push_back(
      BurnOf(aHistory.Sum(aNow, window), aBudget, report.target, window));
  }
  // A history of an hour can have used up no more than an hour's part of the
  // budget at rate 1, however few requests it has seen.
  report.left = 1 - report.windows.back().rate * CoveredShare(aHistory, aNow);
  const double pace = report.windows[1].rate;
  report.runsOutIn = TimeUntilOut(report.left, pace);
  return report;
}

void
BurnKeeper::Observe(const Snapshot& aSnapshot, WallTime aNow)
{
  for (const ServiceFigures& service : aSnapshot.services) {
    ObjectiveCounts& seen = mSeen[service.service];
    const ObjectiveCounts& now = service.objective;
    const ObjectiveCounts fresh{ now.total - seen.total,
                                 now.failed - seen.failed,
                                 now.slow - seen.slow };
    if (fresh != ObjectiveCounts{}) {
      mHistories[service.service].Add(aNow, fresh);
      mUnsaved.push_back({ service.service, aNow, fresh });
      seen = now;
    }
  }
}

void
BurnKeeper::Restore(const CountedMinute& aCounted)
{
  mHistories[aCounted.service].Add(aCounted.at, aCounted.counts);
}

} // namespace rattandyke::metrics
