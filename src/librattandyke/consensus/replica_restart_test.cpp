#include "consensus/replica.h"

#include <gtest/gtest.h>

namespace rattandyke::consensus {
namespace {

// A follower answers its leader, restarts at once, and is asked for its vote by
// a host that was cut off. The leader still gives leases on the strength of
// that answer, so the vote must wait for the least election timeout, as if the
// follower had not restarted. Before, it voted at once.
TEST(ReplicaRestart, AHostThatRestartedDoesNotVoteAtOnce)
{
  const Instant start{ std::chrono::hours(1) };
  Restored restored;
  restored.hardState.set_term(3);
  Replica replica(
    HostIdentity{ 2 }, HostName{ "b" }, {}, std::move(restored), 1, start);
  wire::ConsensusMessage asks;
  asks.set_from(3);
  asks.set_from_name("c");
  asks.set_to(2);
  asks.set_term(4);
  asks.mutable_vote_request()->set_last_index(9);
  replica.Step(MessageReceived{ asks }, start + std::chrono::milliseconds(100));
  EXPECT_EQ(replica.Status(start).term.value, 3U);
  replica.Step(MessageReceived{ asks }, start + std::chrono::milliseconds(251));
  EXPECT_EQ(replica.Status(start).term.value, 4U);
}

} // namespace
} // namespace rattandyke::consensus
