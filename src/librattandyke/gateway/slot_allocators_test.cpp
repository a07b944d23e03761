// Allocation of slots by control hosts, or by entry hosts according to their
// links, in simulated time: the load it is designed for, and one failure each.
#include <gtest/gtest.h>

#include "testing/entry_group.h"

namespace rattandyke::gateway {
namespace {

using scheduling::AllocatorRule;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EntryGroup;
using testing::GroupOptions;

constexpr size_t kEntries = 20;
constexpr size_t kControlHosts = 3;
constexpr size_t kUpstreams = 12;
/// 0.6 of what the upstreams can run, with 2 slots and 160 ms.
constexpr double kTraffic = 90;
constexpr milliseconds kServiceTime{ 160 };
/// First allocator: the slots and one queued request. Second one: half of the
/// slots. An upstream of the first customer queues 8 requests.
constexpr size_t kMostOfFirst = 3;
constexpr size_t kMostOfBoth = 4;

GroupOptions
Capacity(size_t aControlHosts)
{
  return { 2.3, aControlHosts, 0 };
}

/// A group whose keyed upstreams are those of the first customer.
class SlotAllocatorsTest : public ::testing::Test
{
protected:
  explicit SlotAllocatorsTest(
    const GroupOptions& aOptions = Capacity(kControlHosts))
    : group(kEntries, kUpstreams, true, aOptions)
  {
    for (size_t upstream = 0; upstream < kUpstreams; ++upstream) {
      group.Upstream(upstream).serviceTime = kServiceTime;
    }
    group.RunFor(seconds{ 4 }, kTraffic);
    group.ResetCounts();
  }

  /// @return the most requests that any upstream had at once.
  size_t MostAtOnce(Instant aFrom) const
  {
    size_t most = 0;
    for (size_t upstream = 0; upstream < kUpstreams; ++upstream) {
      most = std::max(most, group.MostArrivals(upstream, aFrom, kServiceTime));
    }
    return most;
  }

  double ServedShare() const
  {
    return static_cast<double>(group.Served()) /
           static_cast<double>(group.Served() + group.Refused());
  }

  /// A control host.
  static constexpr size_t kControl = kEntries;
  EntryGroup group;
};

// Load: the first customer's 68 entry hosts, 5 control hosts and 157 owners of
// keys at 0.44 of their capacity. Guards against entries that allocate although
// control hosts do, and against more requests at an owner than it has room for.
TEST(SlotAllocatorsLoad, ControlHostsAloneAllocate)
{
  constexpr size_t kCallers = 68;
  constexpr size_t kHosts = kCallers + 5;
  EntryGroup group(kCallers, 157, true, Capacity(5));
  for (size_t upstream = 0; upstream < 157; ++upstream) {
    group.Upstream(upstream).serviceTime = kServiceTime;
  }
  group.RunFor(seconds{ 3 }, 0.44 * 157 * 2 / 0.160);
  uint64_t byControlHosts = 0;
  for (size_t host = 0; host < kHosts; ++host) {
    const auto grants = group.Slots(host).Broker().Grants();
    EXPECT_EQ(grants.second, 0U);
    EXPECT_EQ(grants.first > 0, host >= kCallers) << host;
    byControlHosts += grants.first;
  }
  EXPECT_GE(byControlHosts, group.Served());
  EXPECT_GE(group.Served(), 50 * group.Refused());
  EXPECT_EQ(group.RequestsToSecond(), 0U);
  for (size_t upstream = 0; upstream < 157; ++upstream) {
    EXPECT_LE(group.MostArrivals(upstream, Instant{}, kServiceTime),
              kMostOfFirst);
  }
}

// Guards against requests without coordination, or lost, in the time until a
// killed allocator is removed: the second one grants at most half.
TEST_F(SlotAllocatorsTest, KilledAllocatorIsReplacedBySecond)
{
  const Instant killed = group.Now();
  group.StopEntry(kControl, false);
  group.RunFor(EntryGroup::kDetectionTime, kTraffic);
  EXPECT_GT(group.RequestsToSecond(), 0U);
  EXPECT_GT(ServedShare(), 0.85);
  EXPECT_LE(MostAtOnce(killed), kMostOfBoth);
  group.RunFor(seconds{ 1 }, kTraffic);
  const size_t asked = group.RequestsToSecond();
  group.ResetCounts();
  group.RunFor(seconds{ 2 }, kTraffic);
  EXPECT_EQ(group.RequestsToSecond(), asked);
  EXPECT_GT(ServedShare(), 0.98);
}

// Guards against sums above the slots and the queue of an upstream while a
// frozen allocator runs again and entries still ask the second one.
TEST_F(SlotAllocatorsTest, FrozenAllocatorAndSecondStayWithinTheSlots)
{
  const Instant frozen = group.Now();
  for (int round = 0; round < 4; ++round) {
    group.SetSilent(kControl, true);
    group.RunFor(milliseconds{ 700 }, kTraffic);
    group.SetSilent(kControl, false);
    group.RunFor(milliseconds{ 300 }, kTraffic);
  }
  EXPECT_GT(group.RequestsToSecond(), 0U);
  EXPECT_GT(ServedShare(), 0.85);
  EXPECT_LE(MostAtOnce(frozen), kMostOfBoth);
}

// Guards against slots that stay granted because their answers are lost, and
// against requests that never arrive.
TEST_F(SlotAllocatorsTest, AllocatorIsCutOffInOneDirection)
{
  for (const bool in : { true, false }) {
    group.ResetCounts();
    const Instant cut = group.Now();
    group.SetCut(kControl, in, !in);
    group.RunFor(seconds{ 3 }, kTraffic);
    EXPECT_GT(ServedShare(), 0.85) << in;
    EXPECT_LE(MostAtOnce(cut), kMostOfBoth) << in;
    group.SetCut(kControl, false, false);
    group.RunFor(seconds{ 2 }, kTraffic);
    group.ResetCounts();
    group.RunFor(seconds{ 2 }, kTraffic);
    EXPECT_GT(ServedShare(), 0.98) << in;
  }
}

// Guards against requests that fail because no allocator answers: entries send
// without coordination, as without the second allocator.
TEST_F(SlotAllocatorsTest, AllAllocatorsAreSilent)
{
  for (size_t host = 0; host < kControlHosts; ++host) {
    group.SetSilent(kControl + host, true);
  }
  group.RunFor(seconds{ 3 }, kTraffic);
  EXPECT_GT(group.RequestsToSecond(), 0U);
  EXPECT_GT(group.Served(), 2 * group.Refused());
}

// Guards against requests that wait to their end at an allocator that has been
// replaced, and against a lost count of slots when all allocators change.
TEST_F(SlotAllocatorsTest, AllocatorsChangeWhileRequestsAreQueued)
{
  constexpr double kOverload = 250;
  for (const bool allocates : { false, true, false }) {
    group.RunFor(seconds{ 1 }, kOverload);
    for (size_t host = 0; host < kControlHosts; ++host) {
      group.SetAllocating(kControl + host, allocates);
    }
    group.ResetCounts();
    const Instant changed = group.Now();
    group.RunFor(milliseconds{ 500 }, kOverload);
    EXPECT_GT(group.Served(), 50U);
    // The new allocators do not know what runs, and upstreams queue it.
    EXPECT_LE(MostAtOnce(changed), kMostOfFirst + kMostOfBoth);
  }
  EXPECT_LE(group.LongestRefusalTime(), seconds{ 1 });
}

// Guards against allocation by a state that is not known to be up to date: the
// control host declines, and its groups go to the second allocator.
TEST_F(SlotAllocatorsTest, OutdatedControlHostDeclines)
{
  group.SetStateHeld(kControl, true);
  group.RunFor(milliseconds{ 600 }, kTraffic);
  const uint64_t grants = group.Slots(kControl).Broker().Grants().first;
  const size_t asked = group.RequestsToSecond();
  group.ResetCounts();
  group.RunFor(seconds{ 2 }, kTraffic);
  EXPECT_EQ(group.Slots(kControl).Broker().Grants().first, grants);
  EXPECT_GT(group.RequestsToSecond(), asked);
  EXPECT_GT(ServedShare(), 0.9);
}

// A control host lost its disk and is still listed. Guards against refusals of
// requests whose upstreams it does not know.
TEST_F(SlotAllocatorsTest, ControlHostWithoutStateDeclines)
{
  group.StopEntry(kControl, false);
  group.StartWithoutState(kControl);
  group.RunFor(seconds{ 2 }, kTraffic);
  EXPECT_GT(ServedShare(), 0.9);
  const auto grants = group.Slots(kControl).Broker().Grants();
  EXPECT_EQ(grants.first + grants.second, 0U);
  group.SetStateHeld(kControl, false);
  group.RunFor(seconds{ 2 }, kTraffic);
  EXPECT_GT(group.Slots(kControl).Broker().Grants().first, 0U);
}

// Guards against two rules in force in a rolling upgrade: one entry that does
// not state its bandwidth makes all hosts use the rule of equal entries.
TEST_F(SlotAllocatorsTest, OlderEntryRestoresEqualEntries)
{
  group.SetLink(3, 0);
  group.RunFor(seconds{ 1 }, kTraffic);
  const uint64_t grants = group.Slots(kControl).Broker().Grants().first;
  group.ResetCounts();
  group.RunFor(seconds{ 2 }, kTraffic);
  EXPECT_EQ(group.Slots(kControl).Broker().Grants().first, grants);
  EXPECT_GT(ServedShare(), 0.98);
}

/// Entries allocate by their links.
class EntriesByLinkTest : public SlotAllocatorsTest
{
protected:
  EntriesByLinkTest()
    : SlotAllocatorsTest(Capacity(0))
  {
  }
};

// The same as for control hosts. The second allocator may be the entry that
// has the request.
TEST_F(EntriesByLinkTest, KilledAllocatorIsReplacedBySecond)
{
  const size_t killed = group.LastHome();
  const Instant since = group.Now();
  group.StopEntry(killed, false);
  group.RunFor(EntryGroup::kDetectionTime, kTraffic);
  EXPECT_GT(group.RequestsToSecond(), 0U);
  EXPECT_GT(ServedShare(), 0.85);
  EXPECT_LE(MostAtOnce(since), kMostOfBoth);
}

/// Number of control hosts, and whether the upstream is cold (else it names its
/// limit).
struct LimitCase
{
  size_t controlHosts;
  bool cold;
};

class LimitedUpstreamTest : public ::testing::TestWithParam<LimitCase>
{
protected:
  static constexpr double kLimit = 4;
  static constexpr double kDemand = 40;

  LimitedUpstreamTest()
    : group(kEntries,
            1,
            true,
            { 2.3, GetParam().controlHosts, GetParam().cold ? kLimit : 0 })
  {
    if (!GetParam().cold) {
      group.Upstream(0).rateLimit = kLimit;
    }
    group.RunFor(seconds{ 4 }, kDemand);
    from = group.Now();
  }

  /// Checks the bounds that hold with entries alike: a cold upstream gets its
  /// rate in any second, a named limit one and a half times over 4 s.
  void ExpectWithinLimit() const
  {
    if (GetParam().cold) {
      EXPECT_LE(group.MostArrivals(0, from, seconds{ 1 }),
                static_cast<size_t>(kLimit));
    } else {
      EXPECT_LE(group.MostInWindow(0, from, seconds{ 4 }),
                static_cast<size_t>(1.5 * kLimit * 4 + 5));
    }
    EXPECT_GT(group.ArrivalsSince(0, from), 0U);
  }

  void SetAllocating(bool aAllocates)
  {
    for (size_t host = 0; host < GetParam().controlHosts; ++host) {
      group.SetAllocating(kEntries + host, aAllocates);
    }
  }

  EntryGroup group;
  Instant from{};
};

// Guards against a second host that sends to a limited upstream while the first
// allocator is silent, restarts, or is removed later than it stopped.
TEST_P(LimitedUpstreamTest, AllocatorsFailInSeries)
{
  group.DisturbHomes(12, kDemand);
  group.RunFor(seconds{ 3 }, kDemand);
  ExpectWithinLimit();
}

// Guards against both the old and the new allocator sending while all of them
// change from entries to control hosts and back.
TEST_P(LimitedUpstreamTest, AllocatorsChange)
{
  for (int round = 0; round < 6; ++round) {
    SetAllocating(round % 2 == 1);
    group.RunFor(milliseconds{ 1500 + 700 * round }, kDemand);
  }
  group.RunFor(seconds{ 3 }, kDemand);
  ExpectWithinLimit();
}

// Guards against an allocator that does not learn that it has been replaced,
// and sends on for as long as its state may be outdated.
TEST_P(LimitedUpstreamTest, ReplacedAllocatorIsOutdated)
{
  for (int round = 0; round < 4; ++round) {
    const size_t home = group.LastHome();
    group.SetStateHeld(home, true);
    if (home >= kEntries) {
      group.SetAllocating(home, false);
    } else {
      group.SetLink(home, 0.01);
    }
    group.RunFor(seconds{ 4 }, kDemand);
    group.SetStateHeld(home, false);
    group.RunFor(seconds{ 3 }, kDemand);
  }
  ExpectWithinLimit();
}

INSTANTIATE_TEST_SUITE_P(Allocators,
                         LimitedUpstreamTest,
                         ::testing::Values(LimitCase{ 0, true },
                                           LimitCase{ 0, false },
                                           LimitCase{ 5, true },
                                           LimitCase{ 5, false }));

} // namespace
} // namespace rattandyke::gateway
