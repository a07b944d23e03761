#include "gateway/egress_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using Tickets = std::vector<EgressQueue::Ticket>;

/// 100 KB a second, so that 10,000 bytes take 100 ms.
constexpr double kRate = 100'000;
constexpr size_t kLong = 10'000;

class EgressQueueTest : public ::testing::Test
{
protected:
  bool Enter(uint64_t aTicket, milliseconds aDueIn, size_t aBytes = kLong)
  {
    return queue.Enter(aTicket, aBytes, now + aDueIn, now);
  }

  /// @return what becomes ready until the queue is empty, in order.
  Tickets Drain()
  {
    Tickets order;
    while (!queue.IsEmpty()) {
      now = std::max(now, queue.NextAt());
      const Tickets ready = queue.TakeReady(now);
      order.insert(order.end(), ready.begin(), ready.end());
    }
    return order;
  }

  Instant now{ std::chrono::hours{ 1 } };
  EgressQueue queue{ kRate };
};

TEST_F(EgressQueueTest, FreeLinkTakesAnAnswerAtOnce)
{
  EXPECT_TRUE(Enter(1, milliseconds{ 500 }));
  EXPECT_FALSE(Enter(2, milliseconds{ 500 }));
  now += milliseconds{ 101 };
  EXPECT_EQ(queue.TakeReady(now), Tickets{ 2 });
}

TEST_F(EgressQueueTest, LinkWithoutABoundKeepsNothing)
{
  EgressQueue unbounded(0);
  for (uint64_t ticket = 0; ticket < 1000; ++ticket) {
    EXPECT_TRUE(unbounded.Enter(ticket, kLong, now, now));
  }
}

// The link is busy. Three callers' answers become ready: the first has time to
// spare, the last would be late in the order of arrival. All three are in time
// if the one due first goes first.
TEST_F(EgressQueueTest, WhatIsDueFirstGoesFirst)
{
  Enter(1, milliseconds{ 900 });
  Enter(2, milliseconds{ 900 });
  Enter(3, milliseconds{ 600 });
  Enter(4, milliseconds{ 250 });
  EXPECT_EQ(Drain(), (Tickets{ 4, 3, 2 }));
}

// Answers come faster than the link takes them. One that is late already would
// make another one late if it went first; it goes once nobody is in time any
// more, or has waited long enough.
TEST_F(EgressQueueTest, LateAnswersWaitForThoseInTimeButNotForever)
{
  Enter(1, milliseconds{ 900 });
  Enter(2, milliseconds{ 0 });
  uint64_t next = 3;
  Tickets order;
  for (int step = 0; step < 6; ++step) {
    Enter(next++, milliseconds{ 900 });
    now = std::max(now, queue.NextAt());
    const Tickets ready = queue.TakeReady(now);
    order.insert(order.end(), ready.begin(), ready.end());
  }
  const auto late = std::find(order.begin(), order.end(), 2);
  ASSERT_NE(late, order.end());
  EXPECT_GT(late - order.begin(), 0);
  EXPECT_LE(late - order.begin(), 3);
}

// A request to an upstream is written while answers wait. It does not wait, and
// the answers start later by as much as it takes.
TEST_F(EgressQueueTest, WhatDoesNotWaitTakesItsTimeOfTheLink)
{
  Enter(1, milliseconds{ 900 });
  Enter(2, milliseconds{ 900 });
  const Instant before = queue.NextAt();
  queue.RecordSent(kLong, now);
  EXPECT_GE(queue.NextAt() - before, milliseconds{ 100 });
}

TEST_F(EgressQueueTest, AnswerThatLeavesIsForgotten)
{
  Enter(1, milliseconds{ 900 });
  Enter(2, milliseconds{ 900 });
  queue.Leave(2);
  EXPECT_TRUE(queue.IsEmpty());
}

// Whatever comes in whatever order: each answer goes once, and the link is
// never given more than it can take, but for what is handed over ahead.
RC_GTEST_PROP(EgressQueue, EachAnswerGoesOnceAndNoSoonerThanTheLinkTakes, ())
{
  EgressQueue queue(kRate);
  const Instant start{ std::chrono::hours{ 1 } };
  Instant now = start;
  const auto sizes =
    *rc::gen::container<std::vector<size_t>>(rc::gen::inRange(1, 20'000));
  size_t bytes = 0;
  size_t gone = 0;
  for (size_t at = 0; at < sizes.size(); ++at) {
    const milliseconds due{ *rc::gen::inRange(-200, 900) };
    gone += queue.Enter(at, sizes[at], now + due, now) ? 1 : 0;
    bytes += sizes[at];
    now += milliseconds{ *rc::gen::inRange(0, 60) };
    gone += queue.TakeReady(now).size();
  }
  while (!queue.IsEmpty()) {
    now = std::max(now, queue.NextAt());
    gone += queue.TakeReady(now).size();
  }
  RC_ASSERT(gone == sizes.size());
  if (!sizes.empty()) {
    const std::chrono::duration<double> took = now - start;
    const double sent = static_cast<double>(bytes - sizes.back());
    RC_ASSERT(took.count() + 0.3 >= (sent - 20'000) / kRate);
  }
}

} // namespace
} // namespace rattandyke::gateway
