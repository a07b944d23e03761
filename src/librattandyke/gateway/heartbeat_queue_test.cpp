#include "gateway/heartbeat_queue.h"

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

HeartbeatQueue::Pending
Numbered(uint64_t aId, Instant aArrived)
{
  HeartbeatQueue::Pending waiting;
  waiting.heartbeat.set_id(aId);
  waiting.arrived = aArrived;
  return waiting;
}

// Guards against a leader that decides the heartbeats of a whole fleet in one
// turn and hears nothing of its followers meanwhile.
TEST(HeartbeatQueue, TurnsAreShortHoweverManyCome)
{
  const Instant now{ std::chrono::hours{ 1 } };
  HeartbeatQueue queue;
  for (uint64_t id = 1; id <= 10000; ++id) {
    ASSERT_TRUE(queue.Add(Numbered(id, now)));
  }
  uint64_t next = 1;
  while (!queue.IsEmpty()) {
    const auto slice = queue.TakeBatch(now);
    EXPECT_LE(slice.toProcess.size(), HeartbeatQueue::kBatchSize);
    EXPECT_TRUE(slice.toReject.empty());
    for (const auto& waiting : slice.toProcess) {
      EXPECT_EQ(waiting.heartbeat.id(), next++);
    }
  }
  EXPECT_EQ(next, 10001U);
}

// Guards against work for senders that have gone elsewhere, which makes those
// behind them late, too.
TEST(HeartbeatQueue, OldOnesAreRefused)
{
  const Instant now{ std::chrono::hours{ 1 } };
  HeartbeatQueue queue;
  queue.Add(Numbered(1, now));
  queue.Add(Numbered(2, now + HeartbeatQueue::kMaxWait / 2));
  const auto slice = queue.TakeBatch(now + HeartbeatQueue::kMaxWait);
  ASSERT_EQ(slice.toReject.size(), 1U);
  EXPECT_EQ(slice.toReject.front().heartbeat.id(), 1U);
  ASSERT_EQ(slice.toProcess.size(), 1U);
  EXPECT_EQ(slice.toProcess.front().heartbeat.id(), 2U);
}

// Guards against memory that grows with what misbehaving upstreams send.
TEST(HeartbeatQueue, IsBounded)
{
  HeartbeatQueue queue;
  for (size_t at = 0; at < HeartbeatQueue::kCapacity; ++at) {
    ASSERT_TRUE(queue.Add(Numbered(at, {})));
  }
  EXPECT_FALSE(queue.Add(Numbered(0, {})));
}

} // namespace
} // namespace rattandyke::gateway
