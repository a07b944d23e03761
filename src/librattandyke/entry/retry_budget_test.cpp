#include "entry/retry_budget.h"

#include <gtest/gtest.h>

namespace rattandyke::entry {
namespace {

/// All upstreams of a service fail and every request asks to be retried. The
/// upstreams see at most a tenth more than the callers sent, since retries are
/// paid for by first sendings and not by time.
TEST(RetryBudget, RetriesStayWithinTheirShare)
{
  RetryBudget budget({ .share = 0.1, .burst = 10, .initial = 2 });
  int retries = 0;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i) {
    budget.OnFirstSend();
    while (budget.TryTake()) {
      ++retries;
    }
  }
  EXPECT_LE(retries, kRequests / 10 + 2);
  EXPECT_GE(retries, kRequests / 10 - 1);
}

/// The first request after a start breaks and is retried, and so are others as
/// the budget allows. What was lent to the first is paid back: after a while
/// the share holds as if it had been earned.
TEST(RetryBudget, LendsTheFirstRetries)
{
  RetryBudget budget({ .share = 0.1, .burst = 10, .initial = 2 });
  int retries = budget.TryTake() ? 1 : 0;
  EXPECT_EQ(retries, 1);
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    budget.OnFirstSend();
    retries += budget.TryTake() ? 1 : 0;
  }
  EXPECT_LE(retries, kRequests / 10);
}

} // namespace
} // namespace rattandyke::entry
