// An upstream in need names in its responses how many requests per second it
// accepts from all entry hosts together. These tests run groups of entries in
// simulated time and count what reaches it in each window of four seconds.
#include <gtest/gtest.h>

#include "testing/entry_group.h"

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EntryGroup;

constexpr seconds kWindow{ 4 };
/// Time after which a named limit must be kept.
constexpr seconds kSettlingTime{ 3 };
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5;
constexpr double kTraffic = 30;

size_t
MaxAllowed(double aLimit)
{
  const auto window = std::chrono::duration<double>(kWindow).count();
  return static_cast<size_t>(kAllowedFactor * aLimit * window + kAllowedExtra);
}

struct GroupCase
{
  size_t entries;
  bool keyed;
  double limit;
};

class RateLimitTest : public ::testing::TestWithParam<GroupCase>
{};

// Entries that each know of the limit, or each keep it by themselves, exceed it
// together.
TEST_P(RateLimitTest, EntriesTogetherStayWithinIt)
{
  const auto [entries, keyed, limit] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).rateLimit = limit;
  const Instant named = group.Now();
  group.RunFor(seconds{ 20 }, kTraffic);
  EXPECT_LE(group.MostInWindow(0, named + kSettlingTime, kWindow),
            MaxAllowed(limit));
}

// Entries that leave and come back, and are found to be gone some time later,
// hand their upstreams to others, which know nothing of the limit or of what
// the previous home entry sent.
TEST_P(RateLimitTest, HomeEntriesRestartInSeries)
{
  const auto [entries, keyed, limit] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  group.Upstream(0).rateLimit = limit;
  group.RunFor(kSettlingTime, kTraffic);
  const Instant settled = group.Now();
  for (size_t round = 0; round < 20; ++round) {
    const size_t home = group.LastHome();
    group.StopEntry(home, round % 2 == 0);
    group.RunFor(milliseconds{ 500 }, kTraffic);
    group.StartEntry(home);
    group.RunFor(milliseconds{ 500 }, kTraffic);
  }
  EXPECT_LE(group.MostInWindow(0, settled, kWindow), MaxAllowed(limit));
}

// While a home entry is silent, the others would each send without it.
TEST_P(RateLimitTest, HomeEntriesAreSilentInSeries)
{
  const auto [entries, keyed, limit] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  group.Upstream(0).rateLimit = limit;
  group.RunFor(kSettlingTime, kTraffic);
  const Instant settled = group.Now();
  for (size_t round = 0; round < 10; ++round) {
    const size_t home = group.LastHome();
    group.SetSilent(home, true);
    group.RunFor(seconds{ 2 }, kTraffic);
    group.SetSilent(home, false);
    group.RunFor(milliseconds{ 500 }, kTraffic);
  }
  EXPECT_LE(group.MostInWindow(0, settled, kWindow), MaxAllowed(limit));
}

// Messages between entries are so slow that entries choose upstreams by the
// load that these report, without the home entry.
TEST_P(RateLimitTest, EntriesChooseWithoutHomeEntry)
{
  const auto [entries, keyed, limit] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  for (size_t upstream = 0; upstream < (keyed ? 1 : 3); ++upstream) {
    group.Upstream(upstream).reportsLoad = true;
  }
  group.SetMessageDelay(milliseconds{ 30 });
  group.RunFor(seconds{ 10 }, kTraffic);
  group.Upstream(0).rateLimit = limit;
  const Instant named = group.Now();
  group.RunFor(seconds{ 20 }, kTraffic);
  EXPECT_LE(group.MostInWindow(0, named + kSettlingTime, kWindow),
            MaxAllowed(limit));
}

// While the control hosts can't be reached, no entry is certain to be the home
// entry. The upstream must still get some requests.
TEST_P(RateLimitTest, ListOfEntriesMayBeOutdated)
{
  const auto [entries, keyed, limit] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  group.Upstream(0).rateLimit = limit;
  group.RunFor(kSettlingTime, kTraffic);
  const Instant settled = group.Now();
  group.SetStateAge(seconds{ 5 });
  const size_t before = group.Arrivals(0).size();
  group.RunFor(seconds{ 20 }, kTraffic);
  EXPECT_LE(group.MostInWindow(0, settled, kWindow), MaxAllowed(limit));
  EXPECT_GT(group.Arrivals(0).size(), before);
}

// A limit must not cost more than it asks for: what it admits is sent.
TEST(RateLimit, AdmittedRateIsUsed)
{
  constexpr double kLimit = 2;
  EntryGroup group(10, 1, true);
  group.Upstream(0).rateLimit = kLimit;
  group.RunFor(kSettlingTime, kTraffic);
  const size_t before = group.Arrivals(0).size();
  constexpr seconds kTime{ 20 };
  group.RunFor(kTime, kTraffic);
  const auto sent = static_cast<double>(group.Arrivals(0).size() - before);
  EXPECT_GE(sent, 0.9 * kLimit * kTime.count());
}

// Entries and homes that pass an old limit on among themselves must not keep it
// in force.
TEST(RateLimit, EndsWithTheFirstResponseThatNamesNone)
{
  EntryGroup group(10, 1, true);
  group.Upstream(0).rateLimit = 0;
  group.RunFor(seconds{ 10 }, kTraffic);
  group.Upstream(0).rateLimit.reset();
  group.RunFor(seconds{ 8 }, kTraffic);
  group.ResetCounts();
  group.RunFor(seconds{ 5 }, kTraffic);
  EXPECT_EQ(group.Refused(), 0U);
  EXPECT_GE(group.Served(), 140U);
}

// A process that has started again must not be kept at the limit of the
// previous one.
TEST(RateLimit, EndsWithTheIncarnationThatNamedIt)
{
  EntryGroup group(10, 1, true);
  group.Upstream(0).rateLimit = 0;
  group.RunFor(seconds{ 10 }, kTraffic);
  group.Upstream(0).rateLimit.reset();
  group.RestartUpstream(0);
  group.RunFor(milliseconds{ 500 }, kTraffic);
  group.ResetCounts();
  group.RunFor(seconds{ 5 }, kTraffic);
  EXPECT_EQ(group.Refused(), 0U);
}

// A lower limit must not be exceeded by what the higher one had admitted, and a
// higher one must be used.
TEST(RateLimit, FollowsTheNewestValue)
{
  EntryGroup group(10, 1, true);
  group.Upstream(0).rateLimit = 10;
  group.RunFor(seconds{ 6 }, kTraffic);
  group.Upstream(0).rateLimit = 1;
  const Instant lowered = group.Now();
  group.RunFor(seconds{ 12 }, kTraffic);
  EXPECT_LE(group.MostInWindow(0, lowered + kSettlingTime, kWindow),
            MaxAllowed(1));
  group.Upstream(0).rateLimit = 10;
  group.RunFor(seconds{ 3 }, kTraffic);
  const size_t before = group.Arrivals(0).size();
  group.RunFor(seconds{ 4 }, kTraffic);
  EXPECT_GE(group.Arrivals(0).size() - before, 36U);
}

// A request for an upstream whose limit is used up must be refused at once,
// with a time to come back that is not the same for all.
TEST(RateLimit, RefusesAtOnceWhatItCannotAdmit)
{
  EntryGroup group(10, 1, true);
  group.Upstream(0).rateLimit = 0.5;
  group.RunFor(seconds{ 5 }, kTraffic);
  EXPECT_LE(group.LongestRefusalTime(), Duration(milliseconds{ 20 }));
  EXPECT_GE(group.RetryAfterTimes().size(), 50U);
}

// A notice goes with each slot message of a limited upstream, so it must be
// small against the messages of a host.
TEST(RateLimit, NoticeIsSmall)
{
  constexpr size_t kMaxBytes = 64;
  wire::UpstreamNotice notice;
  notice.set_instance("i-0123456789abcdef");
  notice.set_life(uint64_t{ 1 } << 40U);
  const Instant now{ std::chrono::hours{ 1 } };
  *notice.mutable_rate() = entry::ToWire({ 1.5, now - seconds{ 60 } }, now);
  notice.set_leaving(true);
  EXPECT_LE(notice.ByteSizeLong(), kMaxBytes);
}

INSTANTIATE_TEST_SUITE_P(Groups,
                         RateLimitTest,
                         ::testing::Values(GroupCase{ 10, true, 0 },
                                           GroupCase{ 10, true, 0.5 },
                                           GroupCase{ 10, true, 1.5 },
                                           GroupCase{ 10, true, 10 },
                                           GroupCase{ 10, false, 1 },
                                           GroupCase{ 1000, true, 1 },
                                           GroupCase{ 1000, false, 1 }));

} // namespace
} // namespace rattandyke::gateway
