#include "scheduling/allocator_watch.h"

#include <gtest/gtest.h>

namespace rattandyke::scheduling {
namespace {

using std::chrono::milliseconds;

// Guards against a dead control host that remains the first allocator of its
// groups, since the control group has no spare that replaces it.
TEST(AllocatorWatch, SilentHostIsWithdrawnOnceInASecond)
{
  Instant now{ std::chrono::hours{ 1 } };
  AllocatorWatch watch;
  watch.OnElected(now);
  int withdrawn = 0;
  for (int tick = 1; tick <= 25; ++tick) {
    now += milliseconds{ 100 };
    watch.RecordReport("alive", now);
    EXPECT_FALSE(watch.ShouldWithdraw("alive", now));
    const bool due = watch.ShouldWithdraw("dead", now);
    EXPECT_FALSE(due && tick < 10);
    withdrawn += due ? 1 : 0;
  }
  EXPECT_EQ(withdrawn, 2);
}

// Guards against a new leader that withdraws hosts before they could report.
TEST(AllocatorWatch, HostsCountAsReportedAtTheElection)
{
  Instant now{ std::chrono::hours{ 1 } };
  AllocatorWatch watch;
  watch.OnElected(now);
  watch.RecordReport("a", now);
  now += std::chrono::seconds{ 5 };
  watch.OnElected(now);
  EXPECT_FALSE(watch.ShouldWithdraw("a", now + milliseconds{ 900 }));
}

} // namespace
} // namespace rattandyke::scheduling
