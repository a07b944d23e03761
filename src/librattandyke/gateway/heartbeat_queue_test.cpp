#include "gateway/heartbeat_queue.h"

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

HeartbeatQueue::Pending
PendingWithId(uint64_t aId, Instant aReceivedAt)
{
  HeartbeatQueue::Pending pending;
  pending.heartbeat.set_id(aId);
  pending.receivedAt = aReceivedAt;
  return pending;
}

// Guards against a leader that processes the heartbeats of a whole fleet at
// once, and handles no messages of its followers in the meantime.
TEST(HeartbeatQueue, BatchesAreSmallForAnyQueueLength)
{
  const Instant now{ std::chrono::hours{ 1 } };
  HeartbeatQueue queue;
  for (uint64_t id = 1; id <= 10000; ++id) {
    ASSERT_TRUE(queue.Add(PendingWithId(id, now)));
  }
  uint64_t next = 1;
  while (!queue.IsEmpty()) {
    const auto batch = queue.TakeBatch(now);
    EXPECT_LE(batch.toProcess.size(), HeartbeatQueue::kBatchSize);
    EXPECT_TRUE(batch.toReject.empty());
    for (const auto& pending : batch.toProcess) {
      EXPECT_EQ(pending.heartbeat.id(), next++);
    }
  }
  EXPECT_EQ(next, 10001U);
}

// Guards against work on heartbeats whose senders have given up, which delays
// the heartbeats behind them.
TEST(HeartbeatQueue, OldHeartbeatsAreRejected)
{
  const Instant now{ std::chrono::hours{ 1 } };
  HeartbeatQueue queue;
  queue.Add(PendingWithId(1, now));
  queue.Add(PendingWithId(2, now + HeartbeatQueue::kMaxWait / 2));
  const auto batch = queue.TakeBatch(now + HeartbeatQueue::kMaxWait);
  ASSERT_EQ(batch.toReject.size(), 1U);
  EXPECT_EQ(batch.toReject.front().heartbeat.id(), 1U);
  ASSERT_EQ(batch.toProcess.size(), 1U);
  EXPECT_EQ(batch.toProcess.front().heartbeat.id(), 2U);
}

// Guards against memory that grows without limit when upstreams misbehave.
TEST(HeartbeatQueue, AddFailsIfFull)
{
  HeartbeatQueue queue;
  for (size_t at = 0; at < HeartbeatQueue::kCapacity; ++at) {
    ASSERT_TRUE(queue.Add(PendingWithId(at, {})));
  }
  EXPECT_FALSE(queue.Add(PendingWithId(0, {})));
}

} // namespace
} // namespace rattandyke::gateway
