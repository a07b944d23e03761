#include "gateway/retry_share.h"

#include <deque>
#include <memory>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

/// Simulates the retries of many entries while upstreams reject all requests.
struct RetrySimulation
{
  static constexpr FleetRetryLimits kLimits{ 0.2, 1040 };
  /// Requests over which the limits are checked.
  static constexpr size_t kWindow = 15000;

  explicit RetrySimulation(size_t aEntryCount)
  {
    std::mt19937 random(7);
    std::vector<std::unique_ptr<entry::RetryBudget>> budgets;
    for (size_t at = 0; at < aEntryCount; ++at) {
      budgets.push_back(std::make_unique<entry::RetryBudget>(
        RetryShareOf(kLimits, aEntryCount)));
    }
    std::deque<size_t> window;
    size_t inWindow = 0;
    for (size_t request = 0; request < 5 * kWindow; ++request) {
      entry::RetryBudget& budget = *budgets[random() % aEntryCount];
      budget.OnFirstSend();
      const size_t retries = budget.TryTake() ? 1 : 0;
      total += retries;
      inWindow += retries;
      window.push_back(retries);
      if (window.size() > kWindow) {
        inWindow -= window.front();
        window.pop_front();
      }
      maxInWindow = std::max(maxInWindow, inWindow);
    }
  }

  size_t total = 0;
  /// Most retries within kWindow requests.
  size_t maxInWindow = 0;
};

// Guards against a share of the burst below one token, with which the hosts of
// a large fleet never retry while upstreams reject half of their requests.
TEST(RetryShare, EntriesRetryWithinLimitsAtAnyFleetSize)
{
  for (const size_t entries : { 8U, 80U, 985U, 2000U }) {
    const RetrySimulation simulation(entries);
    EXPECT_GE(simulation.total,
              RetrySimulation::kLimits.ratio * 5 * RetrySimulation::kWindow / 2)
      << entries;
    EXPECT_LE(simulation.maxInWindow,
              RetrySimulation::kLimits.ratio * RetrySimulation::kWindow +
                RetrySimulation::kLimits.burst)
      << entries;
  }
}

} // namespace
} // namespace rattandyke::gateway
