#include "consensus/replica.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace rattandyke::consensus {
namespace {

constexpr uint64_t kSelf = 1;
constexpr uint64_t kPeer = 2;

/// One replica of a group of three; the test plays the others. It starts with
/// an entry of an earlier term that nobody knows to be committed.
class ReplicaRules : public ::testing::Test
{
protected:
  ReplicaRules()
    : mReplica(HostIdentity{ kSelf }, HostName{ "a" }, {}, OnDisk(), 1, mNow)
  {
  }

  static Restored OnDisk()
  {
    wire::Configuration members;
    members.set_group(kSelf);
    for (uint64_t identity : { 1, 2, 3 }) {
      wire::GroupMember* member = members.add_members();
      member->set_identity(identity);
      member->set_voter(true);
    }
    Restored restored;
    restored.hardState.set_term(2);
    AddEntry(restored, 1, wire::ENTRY_KIND_CONFIGURATION);
    restored.entries.back().set_payload(members.SerializeAsString());
    AddEntry(restored, 2, wire::ENTRY_KIND_COMMAND);
    return restored;
  }

  static void AddEntry(Restored& aRestored,
                       uint64_t aTerm,
                       wire::EntryKind aKind)
  {
    wire::LogEntry& entry = aRestored.entries.emplace_back();
    entry.set_index(aRestored.entries.size());
    entry.set_term(aTerm);
    entry.set_kind(aKind);
  }

  wire::ConsensusMessage FromPeer(uint64_t aTerm) const
  {
    wire::ConsensusMessage message;
    message.set_from(kPeer);
    message.set_from_name("b");
    message.set_to(kSelf);
    message.set_term(aTerm);
    return message;
  }

  std::vector<Effect> Step(const Event& aEvent)
  {
    auto effects = mReplica.Step(aEvent, mNow);
    for (const Effect& effect : effects) {
      if (const auto* persist = std::get_if<Persist>(&effect)) {
        mLastTicket = persist->ticket;
      }
    }
    return effects;
  }

  void Sync() { Step(Synced{ mLastTicket }); }

  void Vote(bool aPreVote)
  {
    wire::ConsensusMessage vote = FromPeer(3);
    vote.mutable_vote_reply()->set_pre_vote(aPreVote);
    vote.mutable_vote_reply()->set_granted(true);
    Step(MessageReceived{ vote });
  }

  void BecomeLeader()
  {
    mNow += std::chrono::seconds{ 1 };
    Step(Tick{});
    Vote(true);
    Sync();
    Vote(false);
    Sync();
  }

  void Acknowledge(uint64_t aIndex)
  {
    wire::ConsensusMessage reply = FromPeer(3);
    reply.mutable_append_reply()->set_match_index(aIndex);
    Step(MessageReceived{ reply });
  }

  Instant mNow{ std::chrono::seconds{ 1 } };
  Replica mReplica;
  Ticket mLastTicket;
};

TEST_F(ReplicaRules, EntryOfAnEarlierTermIsNotCommittedByItsCopies)
{
  // A new leader finds an entry of an earlier term on a majority. A host that
  // lacks it but has one of a later term can still be elected and overwrite it,
  // so whoever was told of it would have been told wrong. It counts only once
  // an entry of the leader's own term is on a majority.
  BecomeLeader();
  ASSERT_EQ(mReplica.CurrentRole(), Role::Leader);
  Acknowledge(2);
  EXPECT_EQ(mReplica.CommitIndex(), LogIndex{ 0 });
  Acknowledge(3);
  EXPECT_EQ(mReplica.CommitIndex(), LogIndex{ 3 });
}

TEST_F(ReplicaRules, LeaderItselfCountsOnlyOnceItsDiskHasSynced)
{
  // The leader's disk is slow. An acknowledgement that rests on the leader's
  // own copy and one follower's would be lost with two power cuts.
  BecomeLeader();
  Acknowledge(3);
  Step(Propose{ { { ProposalId{ 1 }, "change" } } });
  Acknowledge(4);
  EXPECT_EQ(mReplica.CommitIndex(), LogIndex{ 3 });
  Sync();
  EXPECT_EQ(mReplica.CommitIndex(), LogIndex{ 4 });
}

TEST_F(ReplicaRules, HostWithAnOlderLogGetsNoVote)
{
  // A host that missed acknowledged changes asks for a vote, by request of a
  // leader that is gone, so without a pre-vote. Were it elected, it would
  // overwrite them.
  wire::ConsensusMessage request = FromPeer(3);
  request.mutable_vote_request()->set_transfer(true);
  request.mutable_vote_request()->set_last_index(9);
  request.mutable_vote_request()->set_last_term(1);
  Step(MessageReceived{ request });
  bool answered = false;
  for (const Effect& effect : Step(Synced{ mLastTicket })) {
    if (const auto* send = std::get_if<Send>(&effect)) {
      answered = true;
      EXPECT_FALSE(send->message.vote_reply().granted());
    }
  }
  EXPECT_TRUE(answered);
}

TEST_F(ReplicaRules, SecondChangeOfTheMembershipWaitsForTheFirst)
{
  // Two operators change the group at once. Two changes under way together
  // could leave two majorities that share no voter; the second is refused.
  BecomeLeader();
  Acknowledge(3);
  const auto add = [](uint64_t aId) {
    return ChangeMembership{ ProposalId{ aId },
                             AddLearner{ {}, HostIdentity{ 10 + aId } } };
  };
  Step(add(1));
  const auto effects = Step(add(2));
  ASSERT_EQ(effects.size(), 1U);
  const auto* failed = std::get_if<ProposalFailed>(&effects.front());
  ASSERT_NE(failed, nullptr);
  EXPECT_EQ(failed->error.code, Code::RevisionConflict);
}

/// Whether any effect asks for votes.
bool
AsksForVotes(const std::vector<Effect>& aEffects)
{
  return std::any_of(aEffects.begin(), aEffects.end(), [](const Effect& aItem) {
    const auto* send = std::get_if<Send>(&aItem);
    return send != nullptr && send->message.has_vote_request();
  });
}

/// A follower of a group of three that counts as held up after 30 ms.
class ReplicaHeldUp : public ::testing::Test
{
protected:
  ReplicaHeldUp()
    : mReplica(HostIdentity{ kSelf },
               HostName{ "a" },
               Options(),
               OnDisk(),
               1,
               mNow)
  {
  }

  static ReplicaOptions Options()
  {
    ReplicaOptions options;
    options.heldUpAfter = std::chrono::milliseconds{ 30 };
    return options;
  }

  static Restored OnDisk()
  {
    wire::Configuration members;
    for (const uint64_t identity : { kSelf, kPeer, uint64_t{ 3 } }) {
      wire::GroupMember* member = members.add_members();
      member->set_identity(identity);
      member->set_voter(true);
    }
    Restored restored;
    restored.hardState.set_term(1);
    wire::LogEntry& entry = restored.entries.emplace_back();
    entry.set_index(1);
    entry.set_term(1);
    entry.set_kind(wire::ENTRY_KIND_CONFIGURATION);
    entry.set_payload(members.SerializeAsString());
    return restored;
  }

  void HearLeader()
  {
    wire::ConsensusMessage heartbeat;
    heartbeat.set_from(kPeer);
    heartbeat.set_from_name("b");
    heartbeat.set_to(kSelf);
    heartbeat.set_term(1);
    heartbeat.mutable_append_request();
    mReplica.Step(MessageReceived{ heartbeat }, mNow);
  }

  Instant mNow{ std::chrono::hours{ 1 } };
  Replica mReplica;
};

// Guards against followers that were busy themselves and depose a leader whose
// heartbeats lie unread in their sockets.
TEST_F(ReplicaHeldUp, LeaderThatIsHeardLateIsNotDeposed)
{
  mNow = mReplica.NextDeadline() + std::chrono::milliseconds{ 200 };
  EXPECT_FALSE(AsksForVotes(mReplica.Step(Tick{}, mNow)));
  HearLeader();
  mNow += Options().catchUpTime;
  EXPECT_FALSE(AsksForVotes(mReplica.Step(Tick{}, mNow)));
}

// Guards against a host that is always held up and never stands for election.
TEST_F(ReplicaHeldUp, ItWaitsOnlyOnce)
{
  mNow = mReplica.NextDeadline() + std::chrono::milliseconds{ 200 };
  EXPECT_FALSE(AsksForVotes(mReplica.Step(Tick{}, mNow)));
  mNow += Options().catchUpTime + std::chrono::milliseconds{ 200 };
  EXPECT_TRUE(AsksForVotes(mReplica.Step(Tick{}, mNow)));
}

// Guards against an election that is put off where the timer is in time.
TEST_F(ReplicaHeldUp, TimerInTimeAsksAtOnce)
{
  mNow = mReplica.NextDeadline() + std::chrono::milliseconds{ 5 };
  EXPECT_TRUE(AsksForVotes(mReplica.Step(Tick{}, mNow)));
}

} // namespace
} // namespace rattandyke::consensus
