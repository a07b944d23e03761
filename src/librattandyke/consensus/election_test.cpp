#include "consensus/replica.h"

#include <gtest/gtest.h>

#include "testing/fault_schedule.h"

namespace rattandyke::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FaultStep;
using testing::ReplicaGroup;

/// A group of three that has a leader.
class Election : public ::testing::Test
{
protected:
  Election()
    : mGroup(testing::ScheduleOptions(3, 1))
  {
    mGroup.RunFor(milliseconds{ 250 });
    mLeader = static_cast<uint8_t>(mGroup.Leader().value());
    mFollower = (mLeader + 1) % 3;
    mOther = (mLeader + 2) % 3;
    mTerm = TermOf(mLeader);
  }

  Term TermOf(size_t aHost) const
  {
    return mGroup.Host(aHost).Log().CurrentTerm();
  }

  void Cut(uint8_t aFrom, uint8_t aTo)
  {
    mGroup.Execute({ FaultStep::Kind::Cut, aFrom, aTo });
  }

  ReplicaGroup mGroup;
  uint8_t mLeader = 0;
  uint8_t mFollower = 0;
  uint8_t mOther = 0;
  Term mTerm;
};

TEST_F(Election, HostThatWasCutOffForHoursDoesNotDeposeTheLeader)
{
  // A control host is cut off silently and tries to be elected all the time.
  // When it is back, callers must notice nothing: its attempts have raised no
  // term, so the leader stays the leader.
  Cut(mLeader, mFollower);
  Cut(mFollower, mLeader);
  Cut(mOther, mFollower);
  Cut(mFollower, mOther);
  mGroup.RunFor(std::chrono::minutes{ 10 });
  mGroup.Execute({ FaultStep::Kind::Heal });
  mGroup.RunFor(seconds{ 2 });
  EXPECT_EQ(mGroup.Leader(), mLeader);
  EXPECT_EQ(TermOf(mFollower), mTerm);
}

TEST_F(Election, HostThatHearsNobodyDoesNotDeposeTheLeader)
{
  // One way only: a host gets nothing but its own messages reach the others. It
  // asks for votes again and again; the others hear the leader and refuse.
  Cut(mLeader, mFollower);
  Cut(mOther, mFollower);
  mGroup.RunFor(seconds{ 10 });
  EXPECT_EQ(mGroup.Leader(), mLeader);
  EXPECT_EQ(TermOf(mLeader), mTerm);
}

TEST_F(Election, LeaderThatHearsNobodyStandsDown)
{
  // One way only: the leader's heartbeats arrive, so nobody stands for
  // election, but no answer reaches it, so it commits nothing. It has to notice
  // by itself and stop, or changes would wait for ever.
  Cut(mFollower, mLeader);
  Cut(mOther, mLeader);
  mGroup.RunFor(seconds{ 2 });
  ASSERT_TRUE(mGroup.Leader().has_value());
  EXPECT_NE(mGroup.Leader(), mLeader);
  EXPECT_NE(mGroup.Host(mLeader).Log().CurrentRole(), Role::Leader);
  EXPECT_TRUE(mGroup.Propose());
  const uint64_t before = mGroup.Report().acknowledged;
  mGroup.RunFor(milliseconds{ 100 });
  EXPECT_GT(mGroup.Report().acknowledged, before);
}

TEST_F(Election, PausedLeaderKnowsOnReturnThatItsTimeIsOver)
{
  // The leader's process is stopped for longer than an election takes and goes
  // on as if nothing had happened, with old answers waiting to be read.
  // Whatever it looks at first, it leads no more and claims no contact with a
  // majority.
  mGroup.Execute({ FaultStep::Kind::Pause, mLeader });
  mGroup.RunFor(seconds{ 2 });
  const uint64_t acknowledged = mGroup.Report().acknowledged;
  mGroup.Execute({ FaultStep::Kind::Resume });
  EXPECT_FALSE(mGroup.Host(mLeader).Log().IsReadyLeader());
  EXPECT_FALSE(mGroup.Host(mLeader).Log().QuorumContact(Instant{}));
  EXPECT_EQ(mGroup.Report().acknowledged, acknowledged);
  EXPECT_EQ(mGroup.Report().violation, "");
}

/// Guards against elections that are given up before slow disks have taken the
/// votes: no leader was ever elected.
TEST(SlowDisks, LeaderIsElected)
{
  for (const size_t hosts : { 3, 5 }) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      ReplicaGroup::Options options = testing::ScheduleOptions(hosts, seed);
      options.syncMin = milliseconds{ 300 };
      options.syncMax = milliseconds{ 700 };
      ReplicaGroup group(options);
      group.RunFor(seconds{ 10 });
      const auto first = group.Leader();
      ASSERT_TRUE(first) << hosts << " hosts, seed " << seed;
      group.Execute({ FaultStep::Kind::Crash, static_cast<uint8_t>(*first) });
      group.RunFor(seconds{ 10 });
      const auto next = group.Leader();
      ASSERT_TRUE(next) << hosts << " hosts, seed " << seed;
      EXPECT_NE(first, next);
      EXPECT_TRUE(group.Propose());
      const uint64_t before = group.Report().acknowledged;
      group.RunFor(seconds{ 3 });
      EXPECT_GT(group.Report().acknowledged, before);
      EXPECT_EQ(group.Report().violation, "");
    }
  }
}

TEST(Identity, MessageForTheOneThatWasLostIsIgnored)
{
  // A host lost its disk after it had voted. A request for a vote that was
  // meant for its old identity arrives late; a vote of the new one would count
  // for the old, which had voted for somebody else.
  const HostIdentity renewed{ 8 };
  Replica replica(renewed, HostName{ "x" }, {}, {}, 1, Instant{});
  wire::ConsensusMessage request;
  request.set_from(1);
  request.set_to(7);
  request.set_term(9);
  request.mutable_vote_request()->set_last_index(9);
  EXPECT_TRUE(replica.Step(MessageReceived{ request }, Instant{}).empty());
  EXPECT_EQ(replica.CurrentTerm(), Term{ 0 });
}

} // namespace
} // namespace rattandyke::consensus
