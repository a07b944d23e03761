#include "gateway/key_load_map.h"

#include <cmath>
#include <random>

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds{ 100 };
constexpr size_t kHolders = 12;

class KeyLoadMapTest : public ::testing::Test
{
protected:
  /// Requests for one key at a steady rate, in reports of 200 ms.
  void Come(uint32_t aKey, double aASecond, Duration aFor)
  {
    const Instant end = now + aFor;
    while (now < end) {
      now += kTick;
      due += aASecond / 10;
      if (++ticks % 2 == 0) {
        wire::RangeLoad load;
        load.add_buckets(aKey);
        load.add_requests(static_cast<uint32_t>(due));
        due -= static_cast<uint32_t>(due);
        map.Add(load);
      }
      map.Decay(now, kHolders);
    }
  }

  Instant now{ std::chrono::hours{ 1 } };
  KeyLoadMap map;
  double due = 0;
  int ticks = 0;
};

// Four hundred holders have equal shares of 2,600 requests a second, which come
// at random. The load that is seen of each must not stray from its share by
// more than twenty requests do by chance, or keys are moved for nothing, and
// are without an owner meanwhile.
TEST_F(KeyLoadMapTest, SharesOfManyHoldersAreToldApart)
{
  constexpr size_t kMany = 400;
  constexpr uint32_t kKeys = kKeyCount / kMany;
  constexpr double kATick = 260;
  const double mostDeviation = 1 / std::sqrt(20.0);
  std::mt19937 random(20261203); // NOLINT(cert-msc32-c,cert-msc51-cpp)
  std::poisson_distribution<int> requests(kATick);
  std::uniform_int_distribution<uint32_t> key(0, kKeys * kMany - 1);
  for (int tick = 0; tick < 150; ++tick) {
    now += kTick;
    wire::RangeLoad load;
    for (int left = requests(random); left > 0; --left) {
      load.add_buckets(key(random));
      load.add_requests(1);
    }
    map.Add(load);
    map.Decay(now, kMany);
  }
  const double mean = map.LoadOf({ 0, kKeys * kMany - 1 }) / kMany;
  double squares = 0;
  for (uint32_t holder = 0; holder < kMany; ++holder) {
    const double share =
      map.LoadOf({ holder * kKeys, (holder + 1) * kKeys - 1 }) / mean - 1;
    squares += share * share;
  }
  EXPECT_LE(std::sqrt(squares / kMany), mostDeviation);
}

// A key is busy from the first request on. Its holder is overrun, and must not
// look like an idle one because the first requests are divided by the whole
// time of the average: keys are moved only from holders that are busy.
TEST_F(KeyLoadMapTest, FirstRequestsAreNotDiluted)
{
  Come(7, 200, milliseconds{ 800 });
  EXPECT_GT(map.Rate({ 7, 7 }), 140);
  EXPECT_LT(map.Rate({ 7, 7 }), 260);
}

TEST_F(KeyLoadMapTest, RateIsThatOfTheRequests)
{
  Come(7, 200, std::chrono::seconds{ 6 });
  EXPECT_NEAR(map.Rate({ 7, 7 }), 200, 30);
  Come(7, 40, std::chrono::seconds{ 20 });
  EXPECT_NEAR(map.Rate({ 7, 7 }), 40, 10);
}

// Nothing comes for a while, then a key is busy at once: the silence before is
// not a part of its average.
TEST_F(KeyLoadMapTest, LoadAfterASilenceIsNotDiluted)
{
  Come(7, 200, std::chrono::seconds{ 3 });
  Come(7, 0, std::chrono::seconds{ 60 });
  EXPECT_LT(map.Rate({ 0, kMaxKey }), 1);
  Come(9, 200, milliseconds{ 800 });
  EXPECT_GT(map.Rate({ 9, 9 }), 140);
}

// A holder must know which of its keys overrun it alone, and not count one that
// lies beside its range.
TEST_F(KeyLoadMapTest, BusyKeysAreThoseOfTheRangeThatAreBusyAlone)
{
  Come(1000, 200, std::chrono::seconds{ 3 });
  const auto busy = map.FindHotKeys({ 900, 1000 }, 150);
  ASSERT_EQ(busy.size(), 1U);
  EXPECT_EQ(busy.front().from, 1000U);
  EXPECT_EQ(busy.front().to, 1000U);
  EXPECT_TRUE(map.FindHotKeys({ 900, 1000 }, 250).empty());
  EXPECT_TRUE(map.FindHotKeys({ 1001, 2000 }, 150).empty());
}

// One key is more than its holder can take. The holder is to give its other
// keys away in runs that are worth a move, also those beside that key.
TEST_F(KeyLoadMapTest, RunBesideAKeyThatIsTooMuchGoesOnAwayFromIt)
{
  Come(1000, 200, std::chrono::seconds{ 3 });
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
