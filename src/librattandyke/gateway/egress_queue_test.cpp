#include "gateway/egress_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using Tickets = std::vector<EgressQueue::Ticket>;

/// 100 KB/s, so that 10,000 bytes take 100 ms.
constexpr double kRate = 100'000;
constexpr size_t kLong = 10'000;

class EgressQueueTest : public ::testing::Test
{
protected:
  bool Enqueue(uint64_t aTicket, milliseconds aSendIn, size_t aBytes = kLong)
  {
    return queue.Enqueue(aTicket, aBytes, now + aSendIn, now);
  }

  /// @return the tickets in the order in which they become ready.
  Tickets PopAll()
  {
    Tickets order;
    while (!queue.IsEmpty()) {
      now = std::max(now, queue.NextReadyTime());
      const Tickets ready = queue.PopReady(now);
      order.insert(order.end(), ready.begin(), ready.end());
    }
    return order;
  }

  Instant now{ std::chrono::hours{ 1 } };
  EgressQueue queue{ kRate };
};

TEST_F(EgressQueueTest, IdleLinkSendsAtOnce)
{
  EXPECT_TRUE(Enqueue(1, milliseconds{ 500 }));
  EXPECT_FALSE(Enqueue(2, milliseconds{ 500 }));
  now += milliseconds{ 101 };
  EXPECT_EQ(queue.PopReady(now), Tickets{ 2 });
}

TEST_F(EgressQueueTest, UnlimitedLinkQueuesNothing)
{
  EgressQueue unlimited(0);
  for (uint64_t ticket = 0; ticket < 1000; ++ticket) {
    EXPECT_TRUE(unlimited.Enqueue(ticket, kLong, now, now));
  }
}

// Three responses wait for a busy link. The last would be late in the order of
// arrival; all three are in time if the earliest deadline goes first.
TEST_F(EgressQueueTest, EarliestDeadlineGoesFirst)
{
  Enqueue(1, milliseconds{ 900 });
  Enqueue(2, milliseconds{ 900 });
  Enqueue(3, milliseconds{ 600 });
  Enqueue(4, milliseconds{ 250 });
  EXPECT_EQ(PopAll(), (Tickets{ 4, 3, 2 }));
}

// Responses arrive faster than the link sends them. A late response must not
// delay those that are in time, but must not starve either.
TEST_F(EgressQueueTest, LateResponsesYieldForLimitedTime)
{
  Enqueue(1, milliseconds{ 900 });
  Enqueue(2, milliseconds{ 0 });
  uint64_t next = 3;
  Tickets order;
  for (int step = 0; step < 6; ++step) {
    Enqueue(next++, milliseconds{ 900 });
    now = std::max(now, queue.NextReadyTime());
    const Tickets ready = queue.PopReady(now);
    order.insert(order.end(), ready.begin(), ready.end());
  }
  const auto late = std::find(order.begin(), order.end(), 2);
  ASSERT_NE(late, order.end());
  EXPECT_GT(late - order.begin(), 0);
  EXPECT_LE(late - order.begin(), 3);
}

// A request to an upstream bypasses the queue. The queued responses must start
// later by its sending time.
TEST_F(EgressQueueTest, BypassingBytesDelayQueue)
{
  Enqueue(1, milliseconds{ 900 });
  Enqueue(2, milliseconds{ 900 });
  const Instant before = queue.NextReadyTime();
  queue.RecordSent(kLong, now);
  EXPECT_GE(queue.NextReadyTime() - before, milliseconds{ 100 });
}

TEST_F(EgressQueueTest, RemovedResponseIsNotQueued)
{
  Enqueue(1, milliseconds{ 900 });
  Enqueue(2, milliseconds{ 900 });
  queue.Remove(2);
  EXPECT_TRUE(queue.IsEmpty());
}

// For any sequence of responses: each is sent exactly once, and no faster than
// the link's rate, except for the bytes that are written ahead.
RC_GTEST_PROP(EgressQueue, EachResponseIsSentOnceAtLinkRate, ())
{
  EgressQueue queue(kRate);
  const Instant start{ std::chrono::hours{ 1 } };
  Instant now = start;
  const auto sizes =
    *rc::gen::container<std::vector<size_t>>(rc::gen::inRange(1, 20'000));
  size_t bytes = 0;
  size_t sentCount = 0;
  for (size_t ticket = 0; ticket < sizes.size(); ++ticket) {
    const milliseconds sendBy{ *rc::gen::inRange(-200, 900) };
    sentCount +=
      queue.Enqueue(ticket, sizes[ticket], now + sendBy, now) ? 1 : 0;
    bytes += sizes[ticket];
    now += milliseconds{ *rc::gen::inRange(0, 60) };
    sentCount += queue.PopReady(now).size();
  }
  while (!queue.IsEmpty()) {
    now = std::max(now, queue.NextReadyTime());
    sentCount += queue.PopReady(now).size();
  }
  RC_ASSERT(sentCount == sizes.size());
  if (!sizes.empty()) {
    const std::chrono::duration<double> elapsed = now - start;
    const double sent = static_cast<double>(bytes - sizes.back());
    RC_ASSERT(elapsed.count() + 0.3 >= (sent - 20'000) / kRate);
  }
}

} // namespace
} // namespace rattandyke::gateway
