// Another process has the address of an upstream, and the replicated state does
// not tell of it. These tests run groups of entries in simulated time.
#include <gtest/gtest.h>

#include "testing/entry_group.h"

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EntryGroup;

constexpr double kTraffic = 60;

/// Guards against entries that go on sending to a process that does not know
/// the upstream: each request is refused, and counts as load there.
TEST(ReplacedUpstream, GetsFewRequests)
{
  constexpr size_t kEntries = 10;
  for (const bool keyed : { false, true }) {
    EntryGroup group(kEntries, 3, keyed);
    group.RunFor(seconds{ 2 }, kTraffic);
    group.Upstream(0).replaced = true;
    group.RunFor(milliseconds{ 500 }, kTraffic);
    const Instant known = group.Now();
    group.RunFor(seconds{ 6 }, kTraffic);
    // One of each entry in three seconds.
    EXPECT_LE(group.ArrivalsSince(0, known), 2 * kEntries) << keyed;
  }
}

/// Guards against an upstream that stays unused: what seemed to be another
/// process was a faulty response.
TEST(ReplacedUpstream, IsUsedAgainOnceItAnswers)
{
  EntryGroup group(10, 1, true);
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).replaced = true;
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).replaced = false;
  group.RunFor(seconds{ 4 }, kTraffic);
  group.ResetCounts();
  group.RunFor(seconds{ 3 }, kTraffic);
  EXPECT_EQ(group.Refused(), 0U);
}

/// Guards against an upstream that is avoided under its new address.
TEST(ReplacedUpstream, IsUsedAtOnceAfterANewStart)
{
  EntryGroup group(10, 1, true);
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).replaced = true;
  group.RunFor(seconds{ 1 }, kTraffic);
  group.Upstream(0).replaced = false;
  group.RestartUpstream(0);
  group.RunFor(milliseconds{ 100 }, kTraffic); // For refusals on their way.
  group.ResetCounts();
  group.RunFor(seconds{ 3 }, kTraffic);
  EXPECT_EQ(group.Refused(), 0U);
}

} // namespace
} // namespace rattandyke::gateway
