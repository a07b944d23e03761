// An upstream that refuses a request may want no further one from the same
// entry host for some time. These tests run groups of entries in simulated time
// and count what each entry sends it within that time.
#include <algorithm>

#include <gtest/gtest.h>

#include "testing/entry_group.h"

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EntryGroup;

constexpr seconds kRest{ 3 };
/// Requests of one entry that may reach an upstream within its rest.
constexpr size_t kAllowed = 2;
constexpr double kTraffic = 60;
constexpr size_t kRounds = 8;
constexpr size_t kMostRestarted = 10;

struct GroupCase
{
  size_t entries;
  bool keyed;
};

class RestTest : public ::testing::TestWithParam<GroupCase>
{};

// The home entry of an upstream lets probes pass, whichever entry asks, so an
// entry that must leave the upstream alone sends it requests all the same.
TEST_P(RestTest, EntriesSendNothingWithinARest)
{
  const auto [entries, keyed] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).rest = kRest;
  group.RunFor(seconds{ 12 }, kTraffic);
  EXPECT_LE(group.MostWithinRest(0), kAllowed);
}

// Requests that wait at a home entry when the rest begins, homes that restart
// or are silent, and choices without them are ways to the upstream, too.
TEST_P(RestTest, EveryWayToTheUpstreamKeepsIt)
{
  const auto [entries, keyed] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  group.Upstream(0).reportsLoad = true;
  group.Upstream(0).serviceTime = milliseconds{ 100 };
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).rest = kRest;
  group.DisturbHomes(kRounds, kTraffic);
  EXPECT_LE(group.MostWithinRest(0), kAllowed);
}

// An entry is killed within a rest. The process that starts in its place must
// not send the upstream what it asked the entry not to send.
TEST_P(RestTest, RestartedEntriesKeepIt)
{
  const auto [entries, keyed] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).rest = kRest;
  group.RunFor(milliseconds{ 500 }, kTraffic);
  group.Upstream(0).rest.reset();
  for (size_t entry = 0; entry < std::min(entries, kMostRestarted); ++entry) {
    group.StopEntry(entry, true);
    group.RunFor(milliseconds{ 50 }, kTraffic);
    group.StartEntry(entry);
  }
  group.RunFor(seconds{ 4 }, kTraffic);
  EXPECT_LE(group.MostWithinRest(0), kAllowed);
}

// A rest must not cost callers whose requests another upstream can run.
TEST(Rest, OtherUpstreamsServeMeanwhile)
{
  EntryGroup group(10, 3, false);
  group.Upstream(0).rest = kRest;
  group.RunFor(seconds{ 10 }, kTraffic);
  EXPECT_EQ(group.Refused(), 0U);
  EXPECT_GE(group.Served(), 540U);
}

// After its rest, the upstream must be used again as before.
TEST(Rest, EndsWithItsTime)
{
  EntryGroup group(10, 1, true);
  group.Upstream(0).rest = seconds{ 1 };
  group.RunFor(seconds{ 3 }, kTraffic);
  group.Upstream(0).rest.reset();
  group.RunFor(seconds{ 3 }, kTraffic);
  group.ResetCounts();
  group.RunFor(seconds{ 3 }, kTraffic / 4);
  EXPECT_EQ(group.Refused(), 0U);
  EXPECT_GE(group.Served(), 40U);
}

// A caller must know at once that its request can't be sent, and when to
// return.
TEST(Rest, RefusesAtOnce)
{
  EntryGroup group(1, 1, true);
  group.Upstream(0).rest = kRest;
  group.RunFor(seconds{ 6 }, kTraffic);
  EXPECT_LE(group.LongestRefusalTime(), Duration(milliseconds{ 20 }));
  EXPECT_GE(group.RetryAfterTimes().size(), 50U);
}

INSTANTIATE_TEST_SUITE_P(Groups,
                         RestTest,
                         ::testing::Values(GroupCase{ 1, true },
                                           GroupCase{ 10, true },
                                           GroupCase{ 10, false },
                                           GroupCase{ 1000, true },
                                           GroupCase{ 1000, false }));

} // namespace
} // namespace rattandyke::gateway
