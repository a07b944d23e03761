#include "gateway/slot_request_limiter.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using MayAsk = SlotRequestLimiter::MayAsk;
using MustWait = SlotRequestLimiter::MustWait;
using IsFull = SlotRequestLimiter::IsFull;

class SlotRequestLimiterTest : public ::testing::Test
{
protected:
  template<typename Verdict>
  bool Enters(uint64_t aTicket, uint32_t aPriority = 1)
  {
    return std::holds_alternative<Verdict>(
      line.Enter(aTicket, "i-1", aPriority, now));
  }

  Instant now{ std::chrono::hours{ 1 } };
  SlotRequestLimiter line{ 64 };
};

// Hundreds of requests for one upstream arrive at an entry at once. An ask for
// each would keep the upstream's home so busy that it seems silent; only a few
// are under way, and the next one goes when one of them has its slot.
TEST_F(SlotRequestLimiterTest, FewAsksAreUnderWayForOneUpstream)
{
  EXPECT_TRUE(Enters<MayAsk>(1));
  EXPECT_TRUE(Enters<MayAsk>(2));
  for (uint64_t ticket = 3; ticket <= 300; ++ticket) {
    EXPECT_TRUE(Enters<MustWait>(ticket));
  }
  const auto turns = line.OnGranted("i-1");
  ASSERT_EQ(turns.size(), 1U);
  EXPECT_EQ(turns.front().ticket, 3U);
  EXPECT_TRUE(std::holds_alternative<MayAsk>(turns.front().verdict));
}

TEST_F(SlotRequestLimiterTest, OtherUpstreamsAreNotHeldUp)
{
  Enters<MayAsk>(1);
  Enters<MayAsk>(2);
  EXPECT_TRUE(std::holds_alternative<MayAsk>(line.Enter(3, "i-2", 1, now)));
}

TEST_F(SlotRequestLimiterTest, MoreUrgentRequestsGoFirst)
{
  Enters<MayAsk>(1);
  Enters<MayAsk>(2);
  Enters<MustWait>(3, 2);
  Enters<MustWait>(4, 0);
  EXPECT_EQ(line.OnGranted("i-1").front().ticket, 4U);
}

// A home refuses a request, since its queue is too long. Those that wait at the
// entry, and are no more urgent, would be refused, too: they are told at once,
// while their callers can still use their time.
TEST_F(SlotRequestLimiterTest, RefusalHoldsForThoseThatWait)
{
  Enters<MayAsk>(1);
  Enters<MayAsk>(2);
  Enters<MustWait>(3, 1);
  Enters<MustWait>(4, 2);
  Enters<MustWait>(5, 0);
  const auto turns = line.OnRefused("i-1", 1, milliseconds{ 300 }, now);
  std::set<uint64_t> refused;
  std::set<uint64_t> asking;
  for (const SlotRequestLimiter::Turn& turn : turns) {
    (std::holds_alternative<IsFull>(turn.verdict) ? refused : asking)
      .insert(turn.ticket);
  }
  EXPECT_EQ(refused, (std::set<uint64_t>{ 3, 4 }));
  EXPECT_EQ(asking, (std::set<uint64_t>{ 5 }));
}

TEST_F(SlotRequestLimiterTest, RefusalEndsByItself)
{
  Enters<MayAsk>(1);
  line.OnRefused("i-1", 1, milliseconds{ 300 }, now);
  EXPECT_TRUE(Enters<IsFull>(2));
  EXPECT_TRUE(Enters<MayAsk>(3, 0));
  now += milliseconds{ 20 };
  EXPECT_TRUE(Enters<MayAsk>(4));
}

// A caller comes back after the time that it is told, and only once. Near the
// end of the hold it must not be told a few milliseconds: the queue is as long
// as before.
TEST_F(SlotRequestLimiterTest, HeldRefusalTellsTheHomesTime)
{
  Enters<MayAsk>(1);
  line.OnRefused("i-1", 1, milliseconds{ 300 }, now);
  now += milliseconds{ 19 };
  const auto verdict = line.Enter(2, "i-1", 1, now);
  ASSERT_TRUE(std::holds_alternative<IsFull>(verdict));
  EXPECT_EQ(std::get<IsFull>(verdict).retryAfter, milliseconds{ 300 });
}

TEST_F(SlotRequestLimiterTest, RefusalsThatGoOnAreAskedForLessOften)
{
  size_t asks = 0;
  for (uint64_t ticket = 1; ticket <= 2000; ++ticket) {
    if (Enters<MayAsk>(ticket)) {
      ++asks;
      line.OnRefused("i-1", 1, milliseconds{ 300 }, now);
    }
    now += milliseconds{ 1 };
  }
  EXPECT_LE(asks, 12U);
  now += milliseconds{ 400 };
  EXPECT_TRUE(Enters<MayAsk>(3000));
  line.OnGranted("i-1");
  EXPECT_TRUE(Enters<MayAsk>(3001));
}

// With few entries none has to hold back for the others: the home can hear all
// asks, and its queue is the only one.
TEST_F(SlotRequestLimiterTest, FewEntriesAskMore)
{
  line.SetEntries(8);
  for (uint64_t ticket = 1; ticket <= 8; ++ticket) {
    EXPECT_TRUE(Enters<MayAsk>(ticket));
  }
  for (int refusal = 0; refusal < 20; ++refusal) {
    line.OnRefused("i-1", 1, milliseconds{ 300 }, now);
  }
  now += milliseconds{ 50 };
  EXPECT_TRUE(Enters<MayAsk>(9));
}

TEST_F(SlotRequestLimiterTest, ForgetsUpstreamsThatNobodyAsksFor)
{
  Enters<MayAsk>(1);
  line.Sweep(now);
  EXPECT_EQ(line.Size(), 1U);
  line.OnGivenUp("i-1");
  line.Sweep(now);
  EXPECT_EQ(line.Size(), 0U);
}

// Whatever the order in which requests come, go, get slots and are refused: no
// more than two asks are under way, and while one could be, nobody waits.
RC_GTEST_PROP(SlotRequestLimiterProperty, NobodyWaitsWhileFewAsk, ())
{
  SlotRequestLimiter line(64);
  Instant now{ std::chrono::hours{ 1 } };
  std::set<uint64_t> asking;
  std::set<uint64_t> waiting;
  uint64_t last = 0;
  const auto note = [&](uint64_t aTicket,
                        const SlotRequestLimiter::Verdict& aVerdict) {
    waiting.erase(aTicket);
    if (std::holds_alternative<MayAsk>(aVerdict)) {
      asking.insert(aTicket);
    } else if (std::holds_alternative<MustWait>(aVerdict)) {
      waiting.insert(aTicket);
    }
  };
  const auto steps =
    *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 6));
  for (const int step : steps) {
    now += milliseconds{ 7 };
    std::vector<SlotRequestLimiter::Turn> turns;
    if (step <= 2) {
      const uint64_t ticket = ++last;
      note(ticket, line.Enter(ticket, "i", ticket % 3, now));
    } else if (step == 3 && !waiting.empty()) {
      line.Leave(*waiting.begin(), "i");
      waiting.erase(waiting.begin());
    } else if (!asking.empty()) {
      asking.erase(asking.begin());
      turns = step == 4 ? line.OnGranted("i")
                        : line.OnRefused("i", 1, milliseconds{ 90 }, now);
    }
    for (const SlotRequestLimiter::Turn& turn : turns) {
      RC_ASSERT(waiting.contains(turn.ticket));
      note(turn.ticket, turn.verdict);
    }
    RC_ASSERT(asking.size() <= 2U);
    RC_ASSERT(waiting.empty() || asking.size() == 2U);
  }
}

} // namespace
} // namespace rattandyke::gateway
