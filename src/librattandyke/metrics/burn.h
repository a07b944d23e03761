/// How fast a service uses up its error budgets. Pure: counts and times in,
/// figures out. docs/design/burn.md gives the reasons.
#pragma once

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include <rattandyke/types.h>

#include "metrics/recorder.h"
#include "records/records.h"

namespace rattandyke::metrics {

/// The budget's period, and the longest window.
inline constexpr std::chrono::hours kBudgetPeriod{ 72 };

/// Windows of the report, shortest first.
inline constexpr std::array<std::chrono::minutes, 4> kBurnWindows{
  std::chrono::minutes{ 5 },
  std::chrono::hours{ 1 },
  std::chrono::hours{ 6 },
  kBudgetPeriod
};

/// A service's requests by minute, for the budget's period. Counts of several
/// hosts, or of several lives of one, add up. Not thread-safe.
class BurnHistory
{
public:
  using Minute = std::chrono::sys_time<std::chrono::minutes>;

  /// Adds to the minute of aAt, and forgets minutes that are older than the
  /// period before the newest one.
  void Add(WallTime aAt, const ObjectiveCounts& aCounts);

  void Merge(const BurnHistory& aOther);

  /// @return what was counted in the window that ends at aNow, in whole
  /// minutes, the running one included.
  ObjectiveCounts Sum(WallTime aNow, std::chrono::minutes aWindow) const;

  /// @return minutes with requests, oldest first.
  const std::map<Minute, ObjectiveCounts>& Minutes() const { return mMinutes; }

private:
  void Forget();

  std::map<Minute, ObjectiveCounts> mMinutes;
};

enum class Budget
{
  /// Requests that may fail.
  Availability,
  /// Answered requests that may be slow.
  Latency
};

struct WindowBurn
{
  std::chrono::minutes window{};
  uint64_t total = 0;
  uint64_t bad = 0;
  /// Share of bad requests over the share that the objective allows: at 1 the
  /// budget lasts just for its period. 0 if there were no requests.
  double rate = 0;
};

struct BudgetReport
{
  Budget budget = Budget::Availability;
  /// Share of requests that should be good.
  double target = 0;
  /// One for each of kBurnWindows.
  std::vector<WindowBurn> windows;
  /// Share of the budget that is left; below 0 if it is overspent.
  double left = 1;
  /// At the pace of the last hour. Nothing if it does not run out within the
  /// period; zero if it is used up.
  std::optional<std::chrono::minutes> runsOutIn;
};

/// @param aNow end of the windows; the clock of whoever reports.
BudgetReport ReportBudget(const BurnHistory& aHistory,
                          Budget aBudget,
                          const records::Objective& aObjective,
                          WallTime aNow);

/// A part of what was counted in one minute.
struct CountedMinute
{
  std::string service;
  WallTime at{};
  ObjectiveCounts counts;
};

/// Turns the rising counts of a Recorder into histories. Not thread-safe.
class BurnKeeper
{
public:
  /// Adds what was recorded since the last call, as of aNow.
  void Observe(const Snapshot& aSnapshot, WallTime aNow);

  /// Puts back what an earlier life of the host had counted.
  void Restore(const CountedMinute& aCounted);

  /// @return what was observed and not marked as saved.
  const std::vector<CountedMinute>& Unsaved() const { return mUnsaved; }
  void MarkSaved() { mUnsaved.clear(); }

  /// By service.
  const std::map<std::string, BurnHistory>& Histories() const
  {
    return mHistories;
  }

private:
  std::map<std::string, BurnHistory> mHistories;
  std::map<std::string, ObjectiveCounts> mSeen;
  std::vector<CountedMinute> mUnsaved;
};

} // namespace rattandyke::metrics
