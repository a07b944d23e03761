#include "gateway/retry_share.h"

#include <deque>
#include <memory>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

/// Second tries of many entries while upstreams refuse all that they are sent.
struct Shed
{
  static constexpr FleetRetryLimits kBound{ 0.2, 1040 };
  static constexpr size_t kWindow = 15000;

  explicit Shed(size_t aEntries)
  {
    std::mt19937 random(7);
    std::vector<std::unique_ptr<entry::RetryBudget>> budgets;
    for (size_t at = 0; at < aEntries; ++at) {
      budgets.push_back(
        std::make_unique<entry::RetryBudget>(RetryShareOf(kBound, aEntries)));
    }
    std::deque<size_t> window;
    size_t inWindow = 0;
    for (size_t request = 0; request < 5 * kWindow; ++request) {
      entry::RetryBudget& budget = *budgets[random() % aEntries];
      budget.OnFirstSend();
      const size_t tries = budget.TryTake() ? 1 : 0;
      all += tries;
      inWindow += tries;
      window.push_back(tries);
      if (window.size() > kWindow) {
        inWindow -= window.front();
        window.pop_front();
      }
      most = std::max(most, inWindow);
    }
  }

  size_t all = 0;
  size_t most = 0;
};

// Guards against a share of the slack below one try, with which a large fleet
// never tries again while upstreams refuse half of what they are sent.
TEST(RetryShare, TriesAreMadeHoweverManyEntriesThereAre)
{
  for (const size_t entries : { 8U, 80U, 985U, 2000U }) {
    const Shed shed(entries);
    EXPECT_GE(shed.all, Shed::kBound.ratio * 5 * Shed::kWindow / 2) << entries;
    EXPECT_LE(shed.most,
              Shed::kBound.ratio * Shed::kWindow + Shed::kBound.slack)
      << entries;
  }
}

} // namespace
} // namespace rattandyke::gateway
