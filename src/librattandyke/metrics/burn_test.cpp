#include "metrics/burn.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::metrics {
namespace {

using namespace std::chrono_literals;

const WallTime kStart{ std::chrono::hours(490'000) };

records::Objective
ObjectiveOf(double aAvailability)
{
  records::Objective objective;
  objective.availability = aAvailability;
  objective.latencyShare = 0.99;
  return objective;
}

BudgetReport
Report(const BurnHistory& aHistory, WallTime aNow, double aTarget = 0.999)
{
  return ReportBudget(
    aHistory, Budget::Availability, ObjectiveOf(aTarget), aNow);
}

/// The same counts each minute for a while.
BurnHistory
Steady(std::chrono::minutes aLength, const ObjectiveCounts& aCounts)
{
  BurnHistory history;
  for (auto at = 0min; at < aLength; ++at) {
    history.Add(kStart + at, aCounts);
  }
  return history;
}

TEST(Burn, FailingJustWhatIsAllowedBurnsAtOne)
{
  const BurnHistory history = Steady(kBudgetPeriod, { 1000, 1, 0 });
  const auto report = Report(history, kStart + kBudgetPeriod - 1min);
  for (const WindowBurn& window : report.windows) {
    EXPECT_NEAR(window.rate, 1, 1e-9) << window.window.count();
  }
  EXPECT_NEAR(report.left, 0, 0.001);
}

// A service ran well for three days and then failed one request in a hundred
// for an hour. Operators see the short windows at ten times the allowed rate
// while the long ones hardly moved, and how long the budget lasts at that pace.
TEST(Burn, AFreshFaultShowsInTheShortWindowsAndInTheTimeLeft)
{
  BurnHistory history = Steady(kBudgetPeriod - 1h, { 1000, 0, 0 });
  const WallTime fault = kStart + kBudgetPeriod - 1h;
  for (auto at = 0min; at < 1h; ++at) {
    history.Add(fault + at, { 1000, 10, 0 });
  }
  const auto report = Report(history, fault + 59min);
  EXPECT_NEAR(report.windows[0].rate, 10, 1e-9);
  EXPECT_NEAR(report.windows[1].rate, 10, 1e-9);
  EXPECT_NEAR(report.windows[2].rate, 10.0 / 6, 1e-6);
  EXPECT_NEAR(report.windows[3].rate, 10.0 / 72, 1e-6);
  EXPECT_NEAR(report.left, 1 - 10.0 / 72, 0.001);
  ASSERT_TRUE(report.runsOutIn);
  EXPECT_NEAR(report.runsOutIn->count(), 62 * 6, 2);
}

// A host has run for ten minutes and half of its first requests failed while
// it started. That is a high rate, but ten minutes cannot have used up a budget
// of three days a hundred times over: most of it is still there.
TEST(Burn, AShortHistoryUsesItsShareOfTheBudget)
{
  const BurnHistory history = Steady(10min, { 100, 1, 0 });
  const auto report = Report(history, kStart + 10min, 0.99);
  EXPECT_NEAR(report.windows.back().rate, 1, 1e-9);
  EXPECT_NEAR(report.left, 1 - 10.0 / (72 * 60), 1e-6);
  ASSERT_TRUE(report.runsOutIn);
  EXPECT_NEAR(report.runsOutIn->count(), 72 * 60 - 10, 1);
}

TEST(Burn, NoRequestsBurnNothing)
{
  const auto report = Report(BurnHistory{}, kStart);
  EXPECT_EQ(report.left, 1);
  EXPECT_FALSE(report.runsOutIn);
}

TEST(Burn, AnOverspentBudgetIsOutNow)
{
  const BurnHistory history = Steady(kBudgetPeriod, { 100, 50, 0 });
  const auto report = Report(history, kStart + kBudgetPeriod - 1min);
  EXPECT_LT(report.left, 0);
  EXPECT_EQ(report.runsOutIn, 0min);
}

// A target of 100% allows no failure. The rate must stay a number that can be
// printed and parsed, or the JSON of the whole report is unreadable.
TEST(Burn, ATargetOfOneStaysFinite)
{
  const BurnHistory history = Steady(5min, { 100, 1, 0 });
  const auto report = Report(history, kStart + 4min, 1);
  EXPECT_TRUE(std::isfinite(report.windows[0].rate));
  EXPECT_GT(report.windows[0].rate, 1000);
}

TEST(Burn, FailedRequestsAreNotInTheLatencyBudget)
{
  const BurnHistory history = Steady(5min, { 100, 50, 1 });
  const auto report =
    ReportBudget(history, Budget::Latency, ObjectiveOf(0.999), kStart + 4min);
  EXPECT_EQ(report.windows[0].total, 250u);
  EXPECT_EQ(report.windows[0].bad, 5u);
  EXPECT_NEAR(report.windows[0].rate, 2, 1e-9);
}

// Several hosts saw parts of a service's traffic, and the report is merged from
// them: it must be what one host would have seen of all of it, in any order.
RC_GTEST_PROP(Burn, MergedHistoriesAreTheHistoryOfAll, ())
{
  BurnHistory all;
  BurnHistory forward;
  BurnHistory backward;
  const auto hosts = *rc::gen::inRange(1, 5);
  std::vector<BurnHistory> parts(hosts);
  const auto events =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6000));
  for (const int event : events) {
    const WallTime at = kStart + std::chrono::minutes(event);
    const ObjectiveCounts counts{ 10, static_cast<uint64_t>(event % 3), 1 };
    all.Add(at, counts);
    parts[event % hosts].Add(at, counts);
  }
  for (int host = 0; host < hosts; ++host) {
    forward.Merge(parts[host]);
    backward.Merge(parts[hosts - 1 - host]);
  }
  RC_ASSERT(forward.Minutes() == all.Minutes());
  RC_ASSERT(backward.Minutes() == all.Minutes());
}

TEST(BurnKeeper, CountsOnlyWhatIsNew)
{
  Recorder recorder;
  BurnKeeper keeper;
  const auto record = [&](uint16_t aStatus) {
    recorder.RecordRequest(
      { .service = "board", .customer = "desk", .status = aStatus });
  };
  record(200);
  record(500);
  keeper.Observe(recorder.Collect(), kStart);
  keeper.Observe(recorder.Collect(), kStart + 1min);
  record(200);
  keeper.Observe(recorder.Collect(), kStart + 2min);
  const BurnHistory& history = keeper.Histories().at("board");
  const ObjectiveCounts first{ 2, 1, 0 };
  const ObjectiveCounts all{ 3, 1, 0 };
  EXPECT_EQ(history.Minutes().begin()->second, first);
  EXPECT_EQ(history.Minutes().size(), 2u);
  EXPECT_EQ(history.Sum(kStart + 2min, 5min), all);
}

// The host's wall clock is set back by an hour. Minutes counted ahead of it
// are not of the window that ends now, and must not be lost either.
TEST(Burn, MinutesAheadOfTheClockAreNotSummed)
{
  BurnHistory history;
  history.Add(kStart + 1h, { 5, 5, 0 });
  history.Add(kStart, { 1, 0, 0 });
  EXPECT_EQ(history.Sum(kStart, 5min).total, 1u);
  EXPECT_EQ(history.Sum(kStart + 1h, 2h).total, 6u);
}

} // namespace
} // namespace rattandyke::metrics
