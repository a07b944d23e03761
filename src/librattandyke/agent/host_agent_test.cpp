#include <gtest/gtest.h>

#include "agent/host_agent.h"

namespace rattandyke::agent {
namespace {

using namespace std::chrono_literals;

template<typename T>
const T*
Find(const HostAgent::Effects& aEffects)
{
  for (const auto& effect : aEffects) {
    if (const T* found = std::get_if<T>(&effect)) {
      return found;
    }
  }
  return nullptr;
}

class HostAgentTest : public testing::Test
{
protected:
  HostAgentTest()
    : mAgent(MakeOptions(), Random(1))
  {
  }

  static HostAgent::Options MakeOptions()
  {
    HostAgent::Options options;
    options.name = { "a" };
    options.session = 7;
    options.controlHosts = { { "c1" }, { "c2" }, { "c3" } };
    return options;
  }

  SendHeartbeat Beat()
  {
    mNow = std::max(mNow, mAgent.NextTimer());
    return *Find<SendHeartbeat>(mAgent.Step(HeartbeatTimer{}, mNow));
  }

  wire::HeartbeatReply ReplyTo(const SendHeartbeat& aHeartbeat,
                               uint64_t aTerm = 1) const
  {
    wire::HeartbeatReply reply;
    reply.set_host("a");
    reply.set_session(7);
    reply.set_sequence(aHeartbeat.sequence);
    reply.set_term(aTerm);
    reply.set_leader("c2");
    reply.set_granted(true);
    reply.set_lease_ms(800);
    return reply;
  }

  wire::HeartbeatReply WithUpdate(wire::HeartbeatReply aReply,
                                  uint64_t aFrom,
                                  uint64_t aTo) const
  {
    aReply.mutable_update()->set_from_version(aFrom);
    aReply.mutable_update()->set_to_version(aTo);
    return aReply;
  }

  HostAgent::Effects Reply(const wire::HeartbeatReply& aReply,
                           const std::string& aFrom = "c2")
  {
    return mAgent.Step(HeartbeatReplied{ { aFrom }, aReply }, mNow);
  }

  /// The host knows its leader and has table version 5.
  void Join() { Reply(WithUpdate(ReplyTo(Beat()), 0, 5)); }

  Instant mNow{ 1h };
  HostAgent mAgent;
};

TEST_F(HostAgentTest, TriesControlHostsInTurnUntilOneIsGranted)
{
  std::set<HostName> tried;
  for (int i = 0; i < 3; ++i) {
    tried.insert(Beat().to);
  }
  EXPECT_EQ(tried.size(), 3U);
  Join();
  EXPECT_EQ(Beat().to, HostName{ "c2" });
}

// The reply took 300 ms. The leader counts from when it got the heartbeat, so a
// lease counted from the reply would outlive what the leader believes.
TEST_F(HostAgentTest, LeaseRunsFromTheSendingOfTheHeartbeat)
{
  Join();
  const SendHeartbeat heartbeat = Beat();
  const Instant sent = mNow;
  mNow += 300ms;
  const auto effects = Reply(ReplyTo(heartbeat));
  EXPECT_EQ(Find<LeaseExtended>(effects)->leaseUntil, sent + 800ms);
}

// Replies overtake each other and come twice. One to an older heartbeat must
// not count; a repeated one gives no longer lease than the first.
TEST_F(HostAgentTest, OlderRepliesAreIgnored)
{
  Join();
  const SendHeartbeat first = Beat();
  const SendHeartbeat second = Beat();
  const auto once = Reply(ReplyTo(second));
  mNow += 50ms;
  const auto again = Reply(ReplyTo(second));
  EXPECT_EQ(Find<LeaseExtended>(once)->leaseUntil,
            Find<LeaseExtended>(again)->leaseUntil);
  EXPECT_TRUE(Reply(ReplyTo(first)).empty());
}

// A key moves. The leader does not wait for the next heartbeat but repeats its
// last reply with the newer table, which shortens the time without an owner.
TEST_F(HostAgentTest, PushedTableIsTaken)
{
  Join();
  const SendHeartbeat heartbeat = Beat();
  Reply(ReplyTo(heartbeat));
  const auto effects = Reply(WithUpdate(ReplyTo(heartbeat), 5, 6));
  EXPECT_EQ(Find<TableReplaced>(effects)->table->Version(), TableVersion{ 6 });
}

// The process restarted; a reply to its earlier life arrives. The sequence
// number may match one of this life, but the lease it names began long ago.
TEST_F(HostAgentTest, ReplyToAnEarlierLifeIsIgnored)
{
  Join();
  auto reply = ReplyTo(Beat());
  reply.set_session(6);
  EXPECT_TRUE(Reply(reply).empty());
}

// A leader was paused and replaced. On return it still answers a heartbeat from
// before, in its old term; its table and lease count no more.
TEST_F(HostAgentTest, ReplacedLeaderIsIgnored)
{
  Join();
  Reply(ReplyTo(Beat(), 3));
  EXPECT_TRUE(Reply(ReplyTo(Beat(), 2)).empty());
}

// The leader dies. Within the timeout the host asks the others, and a follower
// names the new leader, who is asked at once.
TEST_F(HostAgentTest, FindsTheNextLeader)
{
  Join();
  const Instant lost = mNow;
  SendHeartbeat heartbeat = Beat();
  while (heartbeat.to == HostName{ "c2" } && mNow < lost + 1s) {
    heartbeat = Beat();
  }
  EXPECT_LE(mNow - lost, 400ms);
  auto reply = ReplyTo(heartbeat, 1);
  reply.set_granted(false);
  reply.set_leader("c3");
  const auto effects = Reply(reply, heartbeat.to.value);
  EXPECT_TRUE(Find<ControlHeard>(effects));
  EXPECT_EQ(Find<SendHeartbeat>(effects)->to, HostName{ "c3" });
}

// During an election two hosts name each other as leader. Following every hint
// at once would bounce heartbeats as fast as the network allows.
TEST_F(HostAgentTest, HintsDoNotBounceWithoutPause)
{
  int sent = 0;
  SendHeartbeat heartbeat = Beat();
  for (int i = 0; i < 20; ++i) {
    auto reply = ReplyTo(heartbeat);
    reply.set_granted(false);
    reply.set_leader(i % 2 == 0 ? "c1" : "c3");
    const auto effects = Reply(reply, "c2");
    if (const auto* next = Find<SendHeartbeat>(effects)) {
      ++sent;
      heartbeat = *next;
    }
  }
  EXPECT_LE(sent, 1);
}

// An update begins after the host's version. The host must not claim to be up
// to date, nor hold a lease under the older table; it asks for all.
TEST_F(HostAgentTest, GapAsksForACompleteTable)
{
  Join();
  auto effects = Reply(WithUpdate(ReplyTo(Beat()), 8, 9));
  EXPECT_FALSE(Find<LeaseExtended>(effects));
  EXPECT_EQ(Find<SendHeartbeat>(effects)->tableVersion, TableVersion{});
  effects = Reply(WithUpdate(ReplyTo(Beat()), 0, 9));
  EXPECT_TRUE(Find<LeaseExtended>(effects));
  EXPECT_EQ(Find<TableReplaced>(effects)->table->Version(), TableVersion{ 9 });
  EXPECT_EQ(Beat().tableVersion, TableVersion{ 9 });
}

// A new leader has applied less than the old one had told. The host keeps the
// newer table: no host goes back to an older revision.
TEST_F(HostAgentTest, OlderTableOfANewLeaderIsNotTaken)
{
  Join();
  for (const uint64_t from : { 0, 3 }) {
    const auto effects = Reply(WithUpdate(ReplyTo(Beat(), 2), from, 4));
    EXPECT_FALSE(Find<TableReplaced>(effects));
    EXPECT_TRUE(Find<LeaseExtended>(effects));
    EXPECT_EQ(mAgent.Table()->Version(), TableVersion{ 5 });
  }
}

TEST_F(HostAgentTest, LeaveIsToldAndAcknowledged)
{
  Join();
  const SendHeartbeat earlier = Beat();
  const auto effects = mAgent.Step(LeaveRequested{}, mNow);
  const SendHeartbeat leaving = *Find<SendHeartbeat>(effects);
  EXPECT_TRUE(leaving.leaving);
  EXPECT_FALSE(Find<LeaveAcknowledged>(Reply(ReplyTo(earlier))));
  EXPECT_TRUE(Find<LeaveAcknowledged>(Reply(ReplyTo(leaving))));
}

// Two replies cross: the list that came with the second is newer than the one
// that the first leaves out. An upstream that asks where else to announce
// itself would be told of hosts that are gone if the list were emptied or set
// back.
TEST_F(HostAgentTest, KeepsTheNewestListOfHosts)
{
  const SendHeartbeat first = Beat();
  EXPECT_EQ(first.hostsDigest, 0U);
  wire::HeartbeatReply reply = WithUpdate(ReplyTo(first), 0, 5);
  reply.mutable_hosts()->set_digest(11);
  reply.mutable_hosts()->add_entries("a");
  reply.mutable_hosts()->add_upstream_addresses("127.0.0.1:1");
  const auto effects = Reply(reply);
  const auto* listed = Find<HostsListed>(effects);
  ASSERT_NE(listed, nullptr);
  EXPECT_EQ(listed->entries, std::vector{ HostName{ "a" } });
  EXPECT_EQ(listed->upstreamAddresses,
            std::vector<std::string>{ "127.0.0.1:1" });

  const SendHeartbeat second = Beat();
  EXPECT_EQ(second.hostsDigest, 11U);
  EXPECT_EQ(Find<HostsListed>(Reply(ReplyTo(second))), nullptr);
  EXPECT_EQ(Beat().hostsDigest, 11U);
}

} // namespace
} // namespace rattandyke::agent
