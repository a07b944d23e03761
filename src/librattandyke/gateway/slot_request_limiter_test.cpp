#include "gateway/slot_request_limiter.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using Admitted = SlotRequestLimiter::Admitted;
using Queued = SlotRequestLimiter::Queued;
using Rejected = SlotRequestLimiter::Rejected;

class SlotRequestLimiterTest : public ::testing::Test
{
protected:
  template<typename Decision>
  bool IsDecided(uint64_t aTicket, uint32_t aPriority = 1)
  {
    return std::holds_alternative<Decision>(
      limiter.Admit(aTicket, "i-1", aPriority, now));
  }

  Instant now{ std::chrono::hours{ 1 } };
  SlotRequestLimiter limiter{ 64 };
};

// Hundreds of requests for one upstream arrive at an entry at once. A slot
// request for each would overload the home entry, so that it does not answer in
// time. Only a few may be in flight; the next one is sent when one of them gets
// its slot.
TEST_F(SlotRequestLimiterTest, LimitsRequestsInFlightPerUpstream)
{
  EXPECT_TRUE(IsDecided<Admitted>(1));
  EXPECT_TRUE(IsDecided<Admitted>(2));
  for (uint64_t ticket = 3; ticket <= 300; ++ticket) {
    EXPECT_TRUE(IsDecided<Queued>(ticket));
  }
  const auto decisions = limiter.OnGranted("i-1");
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions.front().ticket, 3U);
  EXPECT_TRUE(std::holds_alternative<Admitted>(decisions.front().decision));
}

TEST_F(SlotRequestLimiterTest, UpstreamsAreLimitedIndependently)
{
  IsDecided<Admitted>(1);
  IsDecided<Admitted>(2);
  EXPECT_TRUE(
    std::holds_alternative<Admitted>(limiter.Admit(3, "i-2", 1, now)));
}

TEST_F(SlotRequestLimiterTest, AdmitsMoreUrgentRequestsFirst)
{
  IsDecided<Admitted>(1);
  IsDecided<Admitted>(2);
  IsDecided<Queued>(3, 2);
  IsDecided<Queued>(4, 0);
  EXPECT_EQ(limiter.OnGranted("i-1").front().ticket, 4U);
}

// A home entry refuses a request, since its queue is too long. It would also
// refuse the requests queued at the entry that are not more urgent. They are
// rejected at once, while their callers have time to retry.
TEST_F(SlotRequestLimiterTest, RefusalRejectsQueuedRequests)
{
  IsDecided<Admitted>(1);
  IsDecided<Admitted>(2);
  IsDecided<Queued>(3, 1);
  IsDecided<Queued>(4, 2);
  IsDecided<Queued>(5, 0);
  const auto decisions = limiter.OnRefused("i-1", 1, milliseconds{ 300 }, now);
  std::set<uint64_t> refused;
  std::set<uint64_t> inFlight;
  for (const SlotRequestLimiter::QueuedDecision& queued : decisions) {
    (std::holds_alternative<Rejected>(queued.decision) ? refused : inFlight)
      .insert(queued.ticket);
  }
  EXPECT_EQ(refused, (std::set<uint64_t>{ 3, 4 }));
  EXPECT_EQ(inFlight, (std::set<uint64_t>{ 5 }));
}

TEST_F(SlotRequestLimiterTest, RejectionExpires)
{
  IsDecided<Admitted>(1);
  limiter.OnRefused("i-1", 1, milliseconds{ 300 }, now);
  EXPECT_TRUE(IsDecided<Rejected>(2));
  EXPECT_TRUE(IsDecided<Admitted>(3, 0));
  now += milliseconds{ 20 };
  EXPECT_TRUE(IsDecided<Admitted>(4));
}

// A caller retries once, after the time in its response. A request rejected
// near the end of the rejection must not get the few remaining milliseconds:
// the home entry's queue is as long as before.
TEST_F(SlotRequestLimiterTest, RejectionPassesOnRetryAfterOfHome)
{
  IsDecided<Admitted>(1);
  limiter.OnRefused("i-1", 1, milliseconds{ 300 }, now);
  now += milliseconds{ 19 };
  const auto decision = limiter.Admit(2, "i-1", 1, now);
  ASSERT_TRUE(std::holds_alternative<Rejected>(decision));
  EXPECT_EQ(std::get<Rejected>(decision).retryAfter, milliseconds{ 300 });
}

TEST_F(SlotRequestLimiterTest, RepeatedRefusalsBackOff)
{
  size_t admitted = 0;
  for (uint64_t ticket = 1; ticket <= 2000; ++ticket) {
    if (IsDecided<Admitted>(ticket)) {
      ++admitted;
      limiter.OnRefused("i-1", 1, milliseconds{ 300 }, now);
    }
    now += milliseconds{ 1 };
  }
  EXPECT_LE(admitted, 12U);
  now += milliseconds{ 400 };
  EXPECT_TRUE(IsDecided<Admitted>(3000));
  limiter.OnGranted("i-1");
  EXPECT_TRUE(IsDecided<Admitted>(3001));
}

// With few entries, each may have more slot requests in flight: the home entry
// can process them all, and requests queue only there.
TEST_F(SlotRequestLimiterTest, FewEntriesHaveHigherLimits)
{
  limiter.SetEntryCount(8);
  for (uint64_t ticket = 1; ticket <= 8; ++ticket) {
    EXPECT_TRUE(IsDecided<Admitted>(ticket));
  }
  for (int refusal = 0; refusal < 20; ++refusal) {
    limiter.OnRefused("i-1", 1, milliseconds{ 300 }, now);
  }
  now += milliseconds{ 50 };
  EXPECT_TRUE(IsDecided<Admitted>(9));
}

TEST_F(SlotRequestLimiterTest, RemovesIdleUpstreams)
{
  IsDecided<Admitted>(1);
  limiter.RemoveIdle(now);
  EXPECT_EQ(limiter.Size(), 1U);
  limiter.OnUnanswered("i-1");
  limiter.RemoveIdle(now);
  EXPECT_EQ(limiter.Size(), 0U);
}

// For any sequence of arriving, cancelled, granted and refused requests: at
// most two are in flight, and none waits while fewer are.
RC_GTEST_PROP(SlotRequestLimiterProperty, NoRequestWaitsBelowTheLimit, ())
{
  SlotRequestLimiter limiter(64);
  Instant now{ std::chrono::hours{ 1 } };
  std::set<uint64_t> inFlight;
  std::set<uint64_t> waiting;
  uint64_t last = 0;
  const auto note = [&](uint64_t aTicket,
                        const SlotRequestLimiter::Decision& aDecision) {
    waiting.erase(aTicket);
    if (std::holds_alternative<Admitted>(aDecision)) {
      inFlight.insert(aTicket);
    } else if (std::holds_alternative<Queued>(aDecision)) {
      waiting.insert(aTicket);
    }
  };
  const auto steps =
    *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 6));
  for (const int step : steps) {
    now += milliseconds{ 7 };
    std::vector<SlotRequestLimiter::QueuedDecision> decisions;
    if (step <= 2) {
      const uint64_t ticket = ++last;
      note(ticket, limiter.Admit(ticket, "i", ticket % 3, now));
    } else if (step == 3 && !waiting.empty()) {
      limiter.Cancel(*waiting.begin(), "i");
      waiting.erase(waiting.begin());
    } else if (!inFlight.empty()) {
      inFlight.erase(inFlight.begin());
      decisions = step == 4
                    ? limiter.OnGranted("i")
                    : limiter.OnRefused("i", 1, milliseconds{ 90 }, now);
    }
    for (const SlotRequestLimiter::QueuedDecision& queued : decisions) {
      RC_ASSERT(waiting.contains(queued.ticket));
      note(queued.ticket, queued.decision);
    }
    RC_ASSERT(inFlight.size() <= 2U);
    RC_ASSERT(waiting.empty() || inFlight.size() == 2U);
  }
}

} // namespace
} // namespace rattandyke::gateway
