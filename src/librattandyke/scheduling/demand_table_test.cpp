#include "scheduling/demand_table.h"

#include <functional>

#include <gtest/gtest.h>

namespace rattandyke::scheduling {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{ 200 };
/// Owners of the first customer: two slots with a service time of 160 ms.
constexpr double kOwnerCapacity = 2 / 0.16;
constexpr size_t kOwners = 157;

std::string
OwnerName(size_t aNumber)
{
  return "owner-" + std::to_string(aNumber);
}

/// A leader's table and its clock. Reports of several control hosts arrive at
/// different times between digests, each every kReportInterval.
class DemandTableTest : public ::testing::Test
{
protected:
  using Rates = std::function<double(size_t aOwner)>;
  static constexpr int kControlHosts = 5;

  DemandTableTest()
  {
    for (size_t number = 0; number < kOwners; ++number) {
      names.push_back(OwnerName(number));
    }
    for (const std::string& name : names) {
      capacities.push_back({ name, kOwnerCapacity });
    }
    table.Start(3, now);
  }

  /// Advances the time by whole intervals with these requests per second.
  /// @return the last round; nothing if none was made.
  std::optional<DemandTable::Round> Run(Duration aTime, const Rates& aRates)
  {
    std::optional<DemandTable::Round> last;
    const double share =
      std::chrono::duration<double>(kReportInterval).count() / kControlHosts;
    for (const Instant end = now + aTime; now < end;) {
      for (int host = 0; host < kControlHosts; ++host) {
        now += kReportInterval / kControlHosts;
        for (size_t owner = 0; owner < kOwners; ++owner) {
          if (const double rate = aRates(owner); rate > 0) {
            table.AddOwnerRequests(names[owner], rate * share);
          }
        }
      }
      if (auto round = table.MakeRound(capacities, services, now)) {
        changes.insert(
          changes.end(), round->changes.begin(), round->changes.end());
        omitted += round->omittedChanges;
        last = std::move(round);
      }
    }
    return last;
  }

  static double Steady(size_t) { return 0.44 * kOwnerCapacity; }
  static double HotKey(size_t aOwner)
  {
    return aOwner == 7 ? 490 : Steady(aOwner);
  }

  Instant now{ std::chrono::hours{ 1 } };
  DemandTable table;
  std::vector<std::string> names;
  std::vector<DemandTable::OwnerCapacity> capacities;
  std::vector<DemandTable::ServiceSlots> services;
  std::vector<DemandTable::OverloadChange> changes;
  size_t omitted = 0;
};

// Load: all owners at 0.44 of their capacity, and a key with 490 requests per
// second at an owner that runs 12.
TEST_F(DemandTableTest, OnlyTheOwnerOfTheHotKeyIsListed)
{
  const auto quiet = Run(milliseconds{ 2000 }, Steady);
  ASSERT_TRUE(quiet);
  EXPECT_TRUE(quiet->digest.owners.empty());
  EXPECT_EQ(quiet->digest.term, 3U);
  const auto hot = Run(milliseconds{ 3000 }, HotKey);
  ASSERT_EQ(hot->digest.owners.size(), 1U);
  EXPECT_EQ(hot->digest.owners[0].instance, OwnerName(7));
  EXPECT_NEAR(hot->digest.owners[0].demand, 490, 10);
  EXPECT_GT(hot->digest.sequence, quiet->digest.sequence);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes[0].overloaded);
  const auto after = Run(milliseconds{ 4000 }, Steady);
  EXPECT_TRUE(after->digest.owners.empty());
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_FALSE(changes[1].overloaded);
}

// Load: bookings rise to 2.5 times their rate for 7 s. Guards against a demand
// that is known only when callers have already been refused for seconds.
TEST_F(DemandTableTest, BurstIsSeenWithinItsFirstSecond)
{
  Run(milliseconds{ 2000 }, Steady);
  const auto burst = [](size_t aOwner) { return 2.5 * Steady(aOwner); };
  const auto first = Run(milliseconds{ 1000 }, burst);
  ASSERT_EQ(first->digest.owners.size(), kOwners);
  EXPECT_GT(first->digest.owners[0].demand,
            0.9 * first->digest.owners[0].capacity);
  const auto last = Run(milliseconds{ 6000 }, burst);
  EXPECT_NEAR(last->digest.owners[0].demand, 2.5 * Steady(0), 0.1);
}

// Failure: a new leader does not know the demand. It must send nothing at
// first, and then no demand that looks low because little was counted.
TEST_F(DemandTableTest, NewLeaderIsSilentUntilItKnowsTheDemand)
{
  Run(milliseconds{ 2000 }, HotKey);
  table.Start(4, now);
  EXPECT_FALSE(Run(milliseconds{ 400 }, HotKey));
  const auto first = Run(milliseconds{ 200 }, HotKey);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->digest.term, 4U);
  EXPECT_EQ(first->digest.sequence, 1U);
  ASSERT_EQ(first->digest.owners.size(), 1U);
  EXPECT_NEAR(first->digest.owners[0].demand, 490, 25);
}

// Failure: an entry host dies. Its last reports must not count for long.
TEST_F(DemandTableTest, DemandOfADeadEntryHostDecays)
{
  Run(milliseconds{ 2000 }, HotKey);
  const auto after = Run(milliseconds{ 1000 }, [](size_t) { return 0.0; });
  ASSERT_EQ(after->digest.owners.size(), 1U);
  EXPECT_LT(after->digest.owners[0].demand, 490 * 0.15);
  EXPECT_TRUE(Run(milliseconds{ 2000 }, [](size_t) {
                return 0.0;
              })->digest.owners.empty());
}

// Failure: an owner ends. It is not listed, whatever its demand was.
TEST_F(DemandTableTest, OwnerThatGetsNoRequestsIsNotListed)
{
  Run(milliseconds{ 2000 }, HotKey);
  std::erase_if(capacities, [](const auto& aOwner) {
    return aOwner.instance == OwnerName(7);
  });
  EXPECT_TRUE(Run(milliseconds{ 200 }, HotKey)->digest.owners.empty());
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_FALSE(changes[1].overloaded);
}

// Failure: a hot key moves, and its former owner looks overloaded until its
// average has decayed.
TEST_F(DemandTableTest, DemandMovesWithTheKeys)
{
  Run(milliseconds{ 3000 }, HotKey);
  table.RemoveMovedDemand(OwnerName(7), 0.99);
  table.AddMovedDemand(OwnerName(8), 485);
  const auto moved = Run(milliseconds{ 200 }, [](size_t aOwner) {
    return aOwner == 8 ? 490 : Steady(aOwner);
  });
  ASSERT_EQ(moved->digest.owners.size(), 1U);
  EXPECT_EQ(moved->digest.owners[0].instance, OwnerName(8));
  EXPECT_NEAR(moved->digest.owners[0].demand, 490, 10);
}

// Load: all 300 owners of a service are overloaded at once. Guards against
// digests and logs of any length.
TEST_F(DemandTableTest, DigestAndLoggedChangesAreLimited)
{
  for (size_t number = kOwners; number < 300; ++number) {
    names.push_back(OwnerName(number));
  }
  capacities.clear();
  for (const std::string& name : names) {
    capacities.push_back({ name, kOwnerCapacity });
  }
  Run(milliseconds{ 600 }, Steady);
  std::optional<DemandTable::Round> round;
  for (int interval = 0; interval < 10; ++interval) {
    now += kReportInterval;
    for (size_t owner = 0; owner < names.size(); ++owner) {
      table.AddOwnerRequests(names[owner], 5.0 + static_cast<double>(owner));
    }
    round = table.MakeRound(capacities, services, now);
    changes.insert(changes.end(), round->changes.begin(), round->changes.end());
    omitted += round->omittedChanges;
  }
  ASSERT_EQ(round->digest.owners.size(), 256U);
  EXPECT_TRUE(round->digest.truncated);
  EXPECT_EQ(round->digest.owners.front().instance, OwnerName(299));
  EXPECT_EQ(round->digest.owners.back().instance, OwnerName(44));
  EXPECT_EQ(round->overloadedOwners, 300U);
  EXPECT_LE(changes.size(), 28U);
  EXPECT_EQ(changes.size() + omitted, 300U);
}

// An owner whose demand is about its capacity must not be logged several times
// per second.
TEST_F(DemandTableTest, DemandAroundTheCapacityIsOneOverload)
{
  Run(milliseconds{ 1000 }, Steady);
  for (int wave = 0; wave < 10; ++wave) {
    Run(milliseconds{ 400 }, [&](size_t aOwner) {
      return aOwner == 0 ? (wave % 2 == 0 ? 1.1 : 0.95) * kOwnerCapacity : 0;
    });
  }
  EXPECT_EQ(changes.size(), 1U);
}

// Load: the second customer's services without keys: 82 upstreams with 3 slots
// and 270 ms, at 0.6 of their slots, which refuse 2% of the requests; and one
// that nobody uses.
TEST_F(DemandTableTest, ServicesAreListedWithUtilizationAndRefusedShare)
{
  constexpr uint64_t kSlots = 246;
  services = { { "desk", kSlots }, { "idle", 10 }, { "none", 0 } };
  std::optional<DemandTable::Round> round;
  for (int interval = 0; interval < 20; ++interval) {
    now += kReportInterval;
    const double busy = 0.6 * kSlots * 0.2;
    const auto requests = static_cast<uint64_t>(busy / 0.27);
    table.AddServiceLoad("desk",
                         { requests,
                           std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(busy)),
                           requests / 50 });
    round = table.MakeRound(capacities, services, now);
  }
  ASSERT_EQ(round->digest.services.size(), 3U);
  EXPECT_NEAR(round->digest.services[0].utilization, 0.6, 0.01);
  EXPECT_NEAR(round->digest.services[0].refusedShare, 0.02, 0.005);
  EXPECT_EQ(round->digest.services[1], (ServiceDemand{ "idle", 0, 0 }));
  EXPECT_EQ(round->digest.services[2], (ServiceDemand{ "none", 1, 0 }));
}

} // namespace
} // namespace rattandyke::scheduling
