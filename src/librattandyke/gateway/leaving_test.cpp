// An upstream that leaves says so in its responses. These tests run groups of
// entries in simulated time while the replicated state does not tell of it.
#include <gtest/gtest.h>

#include "testing/entry_group.h"

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EntryGroup;

constexpr double kTraffic = 60;
constexpr size_t kRounds = 8;

struct GroupCase
{
  size_t entries;
  bool keyed;
};

class LeavingTest : public ::testing::TestWithParam<GroupCase>
{};

// An upstream may end soon after the drain timeout, and would take with it what
// an entry that was told so still sends.
TEST_P(LeavingTest, GetsNothingAfterTheDrainTimeout)
{
  const auto [entries, keyed] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).leaving = true;
  group.RunFor(seconds{ 10 }, kTraffic);
  EXPECT_LE(group.LatestAfterLeaving(0), Duration(EntryGroup::kDrainTimeout));
}

// Silent and restarted home entries, and choices without them, are ways to the
// upstream, too.
TEST_P(LeavingTest, EveryWayToTheUpstreamEnds)
{
  const auto [entries, keyed] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  for (size_t upstream = 0; upstream < (keyed ? 1 : 3); ++upstream) {
    group.Upstream(upstream).reportsLoad = true;
  }
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).leaving = true;
  group.DisturbHomes(kRounds, kTraffic);
  EXPECT_LE(group.LatestAfterLeaving(0), Duration(EntryGroup::kDrainTimeout));
}

INSTANTIATE_TEST_SUITE_P(Groups,
                         LeavingTest,
                         ::testing::Values(GroupCase{ 1, true },
                                           GroupCase{ 10, true },
                                           GroupCase{ 10, false },
                                           GroupCase{ 1000, true },
                                           GroupCase{ 1000, false }));

// Other upstreams run what the leaving one would get, from its first word on.
TEST(Leaving, OtherUpstreamsServeAtOnce)
{
  EntryGroup group(10, 3, false);
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).leaving = true;
  group.RunFor(seconds{ 1 }, kTraffic);
  const size_t before = group.Arrivals(0).size();
  group.RunFor(seconds{ 5 }, kTraffic);
  EXPECT_EQ(group.Arrivals(0).size(), before);
  EXPECT_EQ(group.Refused(), 0U);
}

// An owner of keys serves them until they may have another owner.
TEST(Leaving, OwnerOfKeysServesForAWhile)
{
  EntryGroup group(10, 1, true);
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).leaving = true;
  group.RunFor(milliseconds{ 1500 }, kTraffic);
  EXPECT_EQ(group.Refused(), 0U);
}

// A process that has started again under its id must be used.
TEST(Leaving, EndsWithTheIncarnationThatSaidSo)
{
  EntryGroup group(10, 1, true);
  group.Upstream(0).leaving = true;
  group.RunFor(seconds{ 5 }, kTraffic);
  group.Upstream(0).leaving = false;
  group.RestartUpstream(0);
  group.ResetCounts();
  group.RunFor(seconds{ 3 }, kTraffic);
  EXPECT_EQ(group.Refused(), 0U);
}

// An entry that knows of the leaving and not of the limit tells another one
// that knows both. What it does not know must not lift the limit.
TEST(Leaving, DoesNotLiftARateLimit)
{
  constexpr size_t kAllowed = 11;
  EntryGroup group(10, 1, true);
  group.Upstream(0).rateLimit = 1;
  group.RunFor(seconds{ 4 }, kTraffic);
  group.Upstream(0).leaving = true;
  const Instant told = group.Now();
  for (size_t entry = 0; entry < 10; ++entry) {
    if (entry != group.LastHome()) {
      group.StopEntry(entry, true);
      group.StartEntry(entry);
    }
  }
  group.RunFor(seconds{ 4 }, kTraffic);
  EXPECT_LE(group.ArrivalsSince(0, told), kAllowed);
}

} // namespace
} // namespace rattandyke::gateway
