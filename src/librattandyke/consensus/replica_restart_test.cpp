#include "consensus/replica.h"

#include <algorithm>

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

/// A message of a vote between hosts 2 (this one) and 3.
wire::ConsensusMessage
VoteOf(uint64_t aTerm, bool aPreVote)
{
  wire::ConsensusMessage asks;
  asks.set_from(3);
  asks.set_from_name("c");
  asks.set_to(2);
  asks.set_term(aTerm);
  asks.mutable_vote_request()->set_last_index(9);
  asks.mutable_vote_request()->set_pre_vote(aPreVote);
  return asks;
}

bool
Encourages(const std::vector<Effect>& aEffects)
{
  return std::any_of(aEffects.begin(), aEffects.end(), [](const Effect& aItem) {
    const auto* send = std::get_if<Send>(&aItem);
    return send != nullptr && send->message.vote_reply().granted();
  });
}

// All hosts start at once. Two of them stand for election at nearly the same
// time; one is voted for, and the other asks those who voted whether it could
// win. Encouraged, it would depose the first a few milliseconds after it has
// won, and the group would have no leader for one more election.
TEST(ReplicaRestart, WhoHasJustVotedEncouragesNobodyElse)
{
  const Instant start{ std::chrono::hours(1) };
  Replica replica(HostIdentity{ 2 }, HostName{ "b" }, {}, {}, 1, start);
  replica.Step(MessageReceived{ VoteOf(4, false) }, start);
  const Instant soon = start + std::chrono::milliseconds(20);
  EXPECT_FALSE(
    Encourages(replica.Step(MessageReceived{ VoteOf(5, true) }, soon)));
  const Instant later = start + std::chrono::milliseconds(260);
  EXPECT_TRUE(
    Encourages(replica.Step(MessageReceived{ VoteOf(5, true) }, later)));
}

/// A restarted voter of a group of three.
Replica
RestartedVoter(Instant aNow)
{
  Restored restored;
  restored.hardState.set_term(3);
  wire::LogEntry& entry = restored.entries.emplace_back();
  entry.set_index(1);
  entry.set_term(3);
  entry.set_kind(wire::ENTRY_KIND_CONFIGURATION);
  wire::Configuration configuration;
  configuration.set_group(1);
  for (uint64_t identity = 2; identity <= 4; ++identity) {
    wire::GroupMember* member = configuration.add_members();
    member->set_identity(identity);
    member->set_name(std::to_string(identity));
    member->set_voter(true);
  }
  entry.set_payload(configuration.SerializeAsString());
  return {
    HostIdentity{ 2 }, HostName{ "2" }, {}, std::move(restored), 1, aNow
  };
}

// After a loss of power the first hosts that are up ask the others, in vain,
// since these do not run yet. They ask again before another election timeout
// is over: each 100 ms of it is time in which nobody is served.
TEST(ReplicaRestart, HostThatAskedInVainAsksAgainSoon)
{
  const Instant start{ std::chrono::hours(1) };
  Replica replica = RestartedVoter(start);
  const Instant due = replica.NextDeadline();
  replica.Step(Tick{}, due);
  EXPECT_EQ(replica.CurrentRole(), Role::PreCandidate);
  EXPECT_LE(replica.NextDeadline() - due, std::chrono::milliseconds(125));
  EXPECT_GE(replica.NextDeadline() - due, std::chrono::milliseconds(50));
}

// A host that has restarted hears a new leader at once, but has applied its log
// only as far as its last snapshot. Entries that subscribe to it would serve by
// a configuration that is minutes old.
TEST(ReplicaRestart, FollowerIsUpToDateOnceItsLeaderHasCommitted)
{
  const Instant start{ std::chrono::hours(1) };
  Replica replica = RestartedVoter(start);
  wire::ConsensusMessage append;
  append.set_from(3);
  append.set_from_name("3");
  append.set_to(2);
  append.set_group(1);
  append.set_term(4);
  wire::AppendRequest* request = append.mutable_append_request();
  request->set_previous_index(1);
  request->set_previous_term(3);
  wire::LogEntry* entry = request->add_entries();
  entry->set_index(2);
  entry->set_term(4);
  entry->set_kind(wire::ENTRY_KIND_NO_OP);
  request->set_commit_index(1);
  replica.Step(MessageReceived{ append }, start);
  ASSERT_TRUE(replica.Leader().has_value());
  EXPECT_FALSE(replica.FollowsUpToDate());
  request->clear_entries();
  request->set_previous_index(2);
  request->set_previous_term(4);
  request->set_commit_index(2);
  replica.Step(MessageReceived{ append }, start);
  EXPECT_TRUE(replica.FollowsUpToDate());
}

// Guards against a control host that takes its state for confirmed by a vote
// request of a peer, or by an append request of an earlier leader.
TEST(ReplicaRestart, OnlyAppendsOfTheLeaderAreHeard)
{
  const Instant start{ std::chrono::hours(1) };
  Replica replica = RestartedVoter(start);
  wire::ConsensusMessage message;
  message.set_from(3);
  message.set_from_name("3");
  message.set_to(2);
  message.set_group(1);
  message.set_term(4);
  wire::AppendRequest* append = message.mutable_append_request();
  append->set_previous_index(1);
  append->set_previous_term(3);
  append->set_commit_index(1);
  replica.Step(MessageReceived{ message }, start);
  EXPECT_EQ(replica.AppendsHeard(), 1U);
  message.set_term(3);
  replica.Step(MessageReceived{ message }, start);
  EXPECT_EQ(replica.AppendsHeard(), 1U);
  message.set_term(5);
  message.mutable_vote_request()->set_pre_vote(true);
  replica.Step(MessageReceived{ message }, start);
  EXPECT_EQ(replica.AppendsHeard(), 1U);
}

// Guards against entries that serve by an old configuration: the replies of a
// follower are lost, so the leader sends it heartbeats but no entries, and it
// keeps telling its subscribers that they are up to date.
TEST(ReplicaRestart, FollowerThatLacksCommittedEntriesIsNotUpToDate)
{
  Instant now{ std::chrono::hours(1) };
  Replica replica = RestartedVoter(now);
  wire::ConsensusMessage append;
  append.set_from(3);
  append.set_from_name("3");
  append.set_to(2);
  append.set_group(1);
  append.set_term(4);
  wire::AppendRequest* request = append.mutable_append_request();
  const auto addEntry = [&](uint64_t aIndex) {
    request->clear_entries();
    wire::LogEntry* entry = request->add_entries();
    entry->set_index(aIndex);
    entry->set_term(4);
    entry->set_kind(wire::ENTRY_KIND_NO_OP);
  };
  request->set_previous_index(1);
  request->set_previous_term(3);
  addEntry(2);
  request->set_commit_index(2);
  replica.Step(MessageReceived{ append }, now);
  ASSERT_TRUE(replica.FollowsUpToDate());
  request->clear_entries();
  request->set_previous_index(2);
  request->set_previous_term(4);
  request->set_commit_index(3);
  for (int heartbeat = 0; heartbeat < 7; ++heartbeat) {
    now += std::chrono::milliseconds{ 50 };
    replica.Step(MessageReceived{ append }, now);
  }
  EXPECT_FALSE(replica.FollowsUpToDate());
  addEntry(3);
  replica.Step(MessageReceived{ append }, now);
  EXPECT_TRUE(replica.FollowsUpToDate());
}

/// @return the index at which a follower with a snapshot of so many bytes takes
/// the next one.
uint64_t
NextSnapshotAfter(size_t aBytes)
{
  const Instant start{ std::chrono::hours(1) };
  Restored restored;
  restored.hardState.set_term(2);
  restored.previousIndex = 1;
  restored.previousTerm = 1;
  Snapshot& snapshot = restored.snapshot.emplace();
  snapshot.meta.set_index(1);
  snapshot.meta.set_term(1);
  for (const uint64_t identity : { 2, 3 }) {
    wire::GroupMember* member =
      snapshot.meta.mutable_configuration()->add_members();
    member->set_identity(identity);
    member->set_voter(true);
  }
  snapshot.data = std::make_shared<const std::string>(aBytes, 's');
  ReplicaOptions options;
  options.entriesPerSnapshot = 100;
  Replica replica(
    HostIdentity{ 2 }, HostName{ "b" }, options, std::move(restored), 1, start);
  for (uint64_t index = 2; index < 20000; ++index) {
    wire::ConsensusMessage message;
    message.set_from(3);
    message.set_from_name("c");
    message.set_to(2);
    message.set_term(2);
    wire::AppendRequest* request = message.mutable_append_request();
    request->set_previous_index(index - 1);
    request->set_previous_term(index == 2 ? 1 : 2);
    request->set_commit_index(index);
    wire::LogEntry* entry = request->add_entries();
    entry->set_index(index);
    entry->set_term(2);
    entry->set_kind(wire::ENTRY_KIND_COMMAND);
    uint64_t synced = 0;
    for (const Effect& effect :
         replica.Step(MessageReceived{ message }, start)) {
      if (const auto* persist = std::get_if<Persist>(&effect)) {
        synced = persist->ticket.value;
      }
      if (std::holds_alternative<TakeSnapshot>(effect)) {
        return index;
      }
    }
    for (const Effect& effect :
         replica.Step(Synced{ Ticket{ synced } }, start)) {
      if (std::holds_alternative<TakeSnapshot>(effect)) {
        return index;
      }
    }
  }
  return 0;
}

// Guards against a host that encodes a state of thousands of records again for
// every few of them that change.
TEST(ReplicaRestart, SnapshotsOfALargeStateAreTakenSeldom)
{
  EXPECT_EQ(NextSnapshotAfter(1000), 101U);
  EXPECT_EQ(NextSnapshotAfter(size_t{ 256 } * 1000), 1001U);
  EXPECT_EQ(NextSnapshotAfter(size_t{ 256 } * 10000), 10001U);
}

} // namespace
} // namespace rattandyke::consensus
