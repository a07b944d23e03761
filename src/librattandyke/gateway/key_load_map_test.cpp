#include "gateway/key_load_map.h"

#include <cmath>
#include <random>

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds{ 100 };
constexpr size_t kOwners = 12;

class KeyLoadMapTest : public ::testing::Test
{
protected:
  /// Adds requests for one key at a steady rate, in reports of 200 ms.
  void AddRequests(uint32_t aKey, double aRequestsPerSecond, Duration aFor)
  {
    const Instant end = now + aFor;
    while (now < end) {
      now += kTick;
      unreported += aRequestsPerSecond / 10;
      if (++ticks % 2 == 0) {
        wire::RangeLoad load;
        load.add_buckets(aKey);
        load.add_requests(static_cast<uint32_t>(unreported));
        unreported -= static_cast<uint32_t>(unreported);
        map.Add(load);
      }
      map.Decay(now, kOwners);
    }
  }

  Instant now{ std::chrono::hours{ 1 } };
  KeyLoadMap map;
  double unreported = 0;
  int ticks = 0;
};

// Four hundred owners have equal shares of 2,600 requests per second with
// random arrivals. The deviation of the measured shares must not exceed the
// random deviation of twenty requests. Otherwise keys are moved without need
// and have no owner during the move.
TEST_F(KeyLoadMapTest, SharesOfManyOwnersAreAccurate)
{
  constexpr size_t kManyOwners = 400;
  constexpr uint32_t kKeysPerOwner = kKeyCount / kManyOwners;
  constexpr double kRequestsPerTick = 260;
  const double maxDeviation = 1 / std::sqrt(20.0);
  std::mt19937 random(20261203); // NOLINT(cert-msc32-c,cert-msc51-cpp)
  std::poisson_distribution<int> requests(kRequestsPerTick);
  std::uniform_int_distribution<uint32_t> key(0,
                                              kKeysPerOwner * kManyOwners - 1);
  for (int tick = 0; tick < 150; ++tick) {
    now += kTick;
    wire::RangeLoad load;
    for (int left = requests(random); left > 0; --left) {
      load.add_buckets(key(random));
      load.add_requests(1);
    }
    map.Add(load);
    map.Decay(now, kManyOwners);
  }
  const double mean =
    map.LoadOf({ 0, kKeysPerOwner * kManyOwners - 1 }) / kManyOwners;
  double squares = 0;
  for (uint32_t owner = 0; owner < kManyOwners; ++owner) {
    const double share =
      map.LoadOf({ owner * kKeysPerOwner, (owner + 1) * kKeysPerOwner - 1 }) /
        mean -
      1;
    squares += share * share;
  }
  EXPECT_LE(std::sqrt(squares / kManyOwners), maxDeviation);
}

// A key is hot from the first request on and overloads its owner. If the first
// requests were divided by the full time constant, the owner would seem idle,
// and keys are moved only from loaded owners.
TEST_F(KeyLoadMapTest, RateOfFirstRequestsIsNotUnderestimated)
{
  AddRequests(7, 200, milliseconds{ 800 });
  EXPECT_GT(map.Rate({ 7, 7 }), 140);
  EXPECT_LT(map.Rate({ 7, 7 }), 260);
}

TEST_F(KeyLoadMapTest, RateFollowsTheRequests)
{
  AddRequests(7, 200, std::chrono::seconds{ 6 });
  EXPECT_NEAR(map.Rate({ 7, 7 }), 200, 30);
  AddRequests(7, 40, std::chrono::seconds{ 20 });
  EXPECT_NEAR(map.Rate({ 7, 7 }), 40, 10);
}

// After a minute without requests a key suddenly becomes hot. The idle period
// must not lower its average.
TEST_F(KeyLoadMapTest, RateAfterIdlePeriodIsNotUnderestimated)
{
  AddRequests(7, 200, std::chrono::seconds{ 3 });
  AddRequests(7, 0, std::chrono::seconds{ 60 });
  EXPECT_LT(map.Rate({ 0, kMaxKey }), 1);
  AddRequests(9, 200, milliseconds{ 800 });
  EXPECT_GT(map.Rate({ 9, 9 }), 140);
}

// FindHotKeys must return the keys within the range that reach the rate by
// themselves, and no key beside the range.
TEST_F(KeyLoadMapTest, HotKeysReachTheRateWithinTheRange)
{
  AddRequests(1000, 200, std::chrono::seconds{ 3 });
  const auto hot = map.FindHotKeys({ 900, 1000 }, 150);
  ASSERT_EQ(hot.size(), 1U);
  EXPECT_EQ(hot.front().from, 1000U);
  EXPECT_EQ(hot.front().to, 1000U);
  EXPECT_TRUE(map.FindHotKeys({ 900, 1000 }, 250).empty());
  EXPECT_TRUE(map.FindHotKeys({ 1001, 2000 }, 150).empty());
}

// One key exceeds the load allowed for a run. The owner's other keys must still
// form runs that are long enough to move, including those beside that key.
TEST_F(KeyLoadMapTest, HotRunExtendsAwayFromKeyThatDoesNotFit)
{
  AddRequests(1000, 200, std::chrono::seconds{ 3 });
  const auto run =
    map.FindHotRun({ 1000, 9000 }, map.LoadOf({ 1000, 1000 }) / 2);
  ASSERT_TRUE(run);
  EXPECT_EQ(run->from, 1001U);
  EXPECT_GT(run->Size(), 1000U);
  const auto before =
    map.FindHotRun({ 100, 1000 }, map.LoadOf({ 1000, 1000 }) / 2);
  ASSERT_TRUE(before);
  EXPECT_EQ(before->to, 999U);
  EXPECT_GT(before->Size(), 100U);
}

} // namespace
} // namespace rattandyke::gateway
