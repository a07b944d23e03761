#include "gateway/range_assigner.h"

#include <gtest/gtest.h>

#include "testing/simulated_leader.h"

namespace rattandyke::gateway {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

Heartbeat
FromLife(const std::string& aInstance, uint64_t aLife, uint64_t aSequence)
{
  Heartbeat heartbeat = HeartbeatFrom(aInstance, aSequence);
  heartbeat.life = aLife;
  return heartbeat;
}

/// Announces the first lives of two instances until they share all keys.
void
SettleLives(SimulatedLeader& aLeader)
{
  for (uint64_t sequence = 1; sequence <= 4; ++sequence) {
    aLeader.HandleHeartbeat(FromLife("a", 100, sequence));
    aLeader.AdvanceTime(kHeartbeatInterval / 2);
    aLeader.HandleHeartbeat(FromLife("b", 100, sequence));
    aLeader.AdvanceTime(kHeartbeatInterval / 2);
  }
}

// A process crashes and starts again under its id, with its calls numbered from
// 1. Taken as late calls of the earlier life they would renew nothing, and its
// keys would have no owner that runs requests until the old hold is over. The
// later life proves that the earlier one is over: its first heartbeat is given
// keys, under a fence above the earlier one's.
TEST(RangeAssigner, LaterLifeIsGivenKeysAtItsFirstHeartbeat)
{
  SimulatedLeader leader;
  SettleLives(leader);
  const uint32_t key = leader.state.Ranges("board")->Segments().front().from();
  const std::string owner = leader.HolderOf(key);
  const uint64_t fence = leader.state.Ranges("board")->Find(key).fence();
  leader.AdvanceTime(milliseconds{ 300 });
  const auto grants = leader.HandleHeartbeat(FromLife(owner, 200, 1));
  ASSERT_TRUE(grants);
  ASSERT_GT(CountKeys(grants), 0U);
  for (const GrantedRange& range : grants->ranges) {
    EXPECT_GT(range.fence.value, fence);
  }
}

// The last heartbeat of an earlier life was held up and arrives after the later
// life has spoken: it reports releases, says that it drains, and has a higher
// sequence than any of the later life. It must change nothing, whoever leads.
TEST(RangeAssigner, EarlierLifeChangesNothingOnceALaterOneSpoke)
{
  for (const bool replaced : { false, true }) {
    SimulatedLeader leader;
    SettleLives(leader);
    leader.HandleHeartbeat(FromLife("a", 200, 1));
    leader.HandleHeartbeat(FromLife("a", 200, 2));
    if (replaced) {
      leader.FailOver();
    }
    const auto before = leader.state.Save().SerializeAsString();
    Heartbeat late = FromLife("a", 100, 50);
    late.draining = true;
    late.released = { { { 0, kMaxKey }, "h" } };
    EXPECT_EQ(leader.rangeAssigner->Check(late, leader.state).error().code,
              Code::UpstreamSuperseded);
    EXPECT_FALSE(leader.HandleHeartbeat(late));
    EXPECT_FALSE(
      leader.rangeAssigner->OnDeregistration({ "a", 100 }, leader.state));
    EXPECT_EQ(leader.state.Save().SerializeAsString(), before);
    EXPECT_TRUE(leader.HandleHeartbeat(FromLife("a", 200, 3)));
  }
}

// A grant to a life is planned, and the next life is registered before the log
// has the grant. Applied then, it would name an owner that holds nothing.
TEST(RangeAssigner, GrantToAnEarlierLifeIsRefused)
{
  SimulatedLeader leader;
  SettleLives(leader);
  wire::GatewayCommand late;
  wire::GrantRanges* grant = late.mutable_grant_ranges();
  grant->set_service("board");
  grant->set_holder("a");
  grant->set_life(100);
  leader.Commit(leader.rangeAssigner->OnHeartbeat(
    FromLife("a", 200, 1), leader.state, leader.now));
  EXPECT_FALSE(leader.state.Apply(late, LogIndex{ ++leader.index }));
  EXPECT_EQ(leader.rangeAssigner->RenewLease(
              FromLife("a", 100, 4), leader.state, leader.now),
            std::nullopt);
}

// A process says that it leaves, crashes, and starts again: its later life does
// not leave. Within one life a heartbeat that was held up from before must not
// bring the process back, also when a new leader hears it that knows no
// sequence.
TEST(RangeAssigner, OnlyALaterLifeEndsDraining)
{
  SimulatedLeader leader;
  SettleLives(leader);
  Heartbeat leaving = FromLife("a", 100, 9);
  leaving.draining = true;
  leader.HandleHeartbeat(leaving);
  leader.FailOver();
  leader.HandleHeartbeat(FromLife("a", 100, 8));
  EXPECT_TRUE(leader.state.FindInstance("a")->draining());
  leader.HandleHeartbeat(FromLife("a", 200, 1));
  EXPECT_FALSE(leader.state.FindInstance("a")->draining());
}

// An instance deregisters and starts again under its id: what ended is its
// earlier life only, and a held-up call of that one ends nothing any more.
TEST(RangeAssigner, DeregisteredInstanceComesBackInALaterLife)
{
  SimulatedLeader leader;
  SettleLives(leader);
  const auto ended =
    leader.rangeAssigner->OnDeregistration({ "a", 100 }, leader.state);
  ASSERT_TRUE(ended);
  leader.Commit({ *ended });
  leader.HandleHeartbeat(FromLife("a", 100, 9));
  EXPECT_EQ(leader.state.FindInstance("a"), nullptr);
  leader.HandleHeartbeat(FromLife("a", 200, 1));
  ASSERT_NE(leader.state.FindInstance("a"), nullptr);
  leader.Commit({ *ended });
  EXPECT_NE(leader.state.FindInstance("a"), nullptr);
}

/// A deregistration that tells no life.
wire::GatewayCommand
Withdrawal(const SimulatedLeader& aLeader, const std::string& aInstance)
{
  const auto command =
    aLeader.rangeAssigner->OnDeregistration({ aInstance, 0 }, aLeader.state);
  return command.value_or(wire::GatewayCommand{});
}

// Guards against upstreams that leave by a call without a life, are refused,
// and are sent requests after they are gone.
TEST(RangeAssigner, DeregistrationWithoutALifeDrainsThePresentOne)
{
  SimulatedLeader leader;
  SettleLives(leader);
  const wire::GatewayCommand command = Withdrawal(leader, "a");
  ASSERT_TRUE(command.has_withdraw_instance());
  leader.Commit({ command });
  EXPECT_TRUE(leader.state.FindInstance("a")->draining());
  // The same call again is taken again.
  leader.Commit({ Withdrawal(leader, "a") });
  EXPECT_TRUE(leader.state.FindInstance("a")->draining());
  EXPECT_TRUE(Withdrawal(leader, "gone").has_end_instance());
}

// Guards against a deregistration of an earlier life that arrives late and
// takes a later one out for good.
TEST(RangeAssigner, WithdrawnInstanceThatGoesOnComesBack)
{
  for (const bool replaced : { false, true }) {
    SimulatedLeader leader;
    SettleLives(leader);
    leader.Commit({ Withdrawal(leader, "a") });
    if (replaced) {
      leader.FailOver();
    }
    leader.HandleHeartbeat(FromLife("a", 100, 10));
    EXPECT_TRUE(leader.state.FindInstance("a")->draining());
    leader.AdvanceTime(kHeartbeatInterval);
    leader.HandleHeartbeat(FromLife("a", 100, 11));
    EXPECT_FALSE(leader.state.FindInstance("a")->draining());
    EXPECT_FALSE(leader.state.FindInstance("a")->withdrawn());
  }
}

// Guards against heartbeats that were held up and bring a leaving upstream
// back: they were sent before its deregistration and arrive together.
TEST(RangeAssigner, HeldUpHeartbeatsDoNotBringAWithdrawnInstanceBack)
{
  SimulatedLeader leader;
  SettleLives(leader);
  leader.Commit({ Withdrawal(leader, "a") });
  leader.AdvanceTime(kHeartbeatInterval * 2);
  for (uint64_t sequence = 10; sequence < 14; ++sequence) {
    leader.HandleHeartbeat(FromLife("a", 100, sequence));
    leader.AdvanceTime(milliseconds{ 20 });
  }
  EXPECT_TRUE(leader.state.FindInstance("a")->draining());
  Heartbeat leaving = FromLife("a", 100, 20);
  leaving.draining = true;
  leader.AdvanceTime(kHeartbeatInterval);
  leader.HandleHeartbeat(leaving);
  leader.HandleHeartbeat(FromLife("a", 100, 21));
  EXPECT_TRUE(leader.state.FindInstance("a")->draining());
}

// Guards against a withdrawal that outlives the process that it was about.
TEST(RangeAssigner, LaterLifeIsNotWithdrawn)
{
  SimulatedLeader leader;
  SettleLives(leader);
  leader.Commit({ Withdrawal(leader, "a") });
  leader.HandleHeartbeat(FromLife("a", 200, 1));
  EXPECT_FALSE(leader.state.FindInstance("a")->draining());
}

// A process starts again with a clock that was set back: its life looks earlier
// than the one known, as a held-up message does. It is taken once the known one
// has been silent for longer than any message is held up.
TEST(RangeAssigner, LifeOfAClockSetBackIsTakenOnceTheKnownOneIsForgotten)
{
  SimulatedLeader leader;
  SettleLives(leader);
  EXPECT_FALSE(leader.HandleHeartbeat(FromLife("a", 50, 1)));
  leader.AdvanceTime(kOptions.forgetAfter + kHeartbeatInterval);
  EXPECT_TRUE(leader.HandleHeartbeat(FromLife("a", 50, 2)));
  EXPECT_EQ(leader.state.FindInstance("a")->life(), 50U);
}

// Another life may have another address, or serve another service: its keys of
// the earlier one are free.
TEST(RangeAssigner, LaterLifeMayServeElsewhere)
{
  SimulatedLeader leader;
  SettleLives(leader);
  wire::GatewayCommand command;
  wire::ServiceItem* service = command.mutable_change_items()->add_services();
  service->set_name("desk");
  service->set_version(1);
  service->set_source("desk");
  leader.Commit({ command });
  Heartbeat moved = FromLife("a", 200, 1);
  moved.service = "desk";
  moved.address = "10.0.0.7:99";
  leader.HandleHeartbeat(moved);
  EXPECT_EQ(leader.state.FindInstance("a")->service(), "desk");
  for (const auto& segment : leader.state.Ranges("board")->Segments()) {
    EXPECT_NE(segment.holder(), "a");
  }
}

/// What a process that is not known sends from the address of another.
Heartbeat
FromAddressOf(const std::string& aOther, uint64_t aLife, uint64_t aSequence)
{
  Heartbeat heartbeat = FromLife("x", aLife, aSequence);
  heartbeat.address = HeartbeatFrom(aOther, 1).address;
  return heartbeat;
}

// A process crashed before any of its heartbeats came through; another one
// started at its address, was granted keys, and can't reach the control hosts
// for a moment. Two heartbeats of the first that were held up arrive now, an
// interval apart: as from a successor of the second, which goes on serving for
// the rest of its hold. Its keys must not be granted to others before.
TEST(RangeAssigner, HeldUpHeartbeatsOfAnEarlierProcessEndNothing)
{
  for (const uint64_t life : { uint64_t{ 0 }, uint64_t{ 100 } }) {
    SimulatedLeader leader;
    const auto beat = [&](const std::string& aInstance, uint64_t aSequence) {
      return leader.HandleHeartbeat(FromLife(aInstance, life, aSequence));
    };
    for (uint64_t sequence = 1; sequence <= 4; ++sequence) {
      beat("a", sequence);
      leader.AdvanceTime(kHeartbeatInterval / 2);
      beat("b", sequence);
      leader.AdvanceTime(kHeartbeatInterval / 2);
    }
    const std::string owner = leader.HolderOf(0);
    beat(owner, 5);
    for (uint64_t sequence = 3; sequence <= 4; ++sequence) {
      leader.AdvanceTime(kHeartbeatInterval);
      leader.HandleHeartbeat(FromAddressOf(owner, life / 2, sequence));
    }
    EXPECT_EQ(leader.HolderOf(0), owner) << "life " << life;
    EXPECT_TRUE(beat(owner, 6)) << "life " << life;
  }
}

// Where lives are told apart, one that started later at an address proves that
// the earlier one there is over, also if its hold is not.
TEST(RangeAssigner, LaterLifeAtAnAddressEndsTheEarlierOneThere)
{
  SimulatedLeader leader;
  SettleLives(leader);
  const std::string owner = leader.HolderOf(0);
  leader.HandleHeartbeat(FromAddressOf(owner, 200, 1));
  leader.AdvanceTime(kHeartbeatInterval);
  leader.HandleHeartbeat(FromAddressOf(owner, 200, 2));
  EXPECT_NE(leader.HolderOf(0), owner);
  EXPECT_TRUE(leader.state.HasEnded(owner, 100));
  EXPECT_FALSE(leader.HandleHeartbeat(FromLife(owner, 100, 99)));
}

// Heartbeats come from a writer that is no upstream of ours: for a service that
// nobody named, of a known instance under another service, without a life where
// others tell theirs, from an address that is none. Taken, their sequence would
// make the true upstream's heartbeats look late, and it would lose its keys.
TEST(RangeAssigner, HeartbeatsOfOtherWritersChangeNothing)
{
  SimulatedLeader leader;
  SettleLives(leader);
  const auto before = leader.state.Save().SerializeAsString();
  Heartbeat unnamed = FromLife("x", 300, 1);
  unnamed.service = "no-such-service";
  Heartbeat other = FromLife("a", 100, 900);
  other.service = "no-such-service";
  Heartbeat lifeless = HeartbeatFrom("x", 7);
  Heartbeat known = HeartbeatFrom("a", 900);
  Heartbeat nowhere = FromLife("x", 300, 1);
  nowhere.address = "somewhere";
  for (const Heartbeat& each : { unnamed, other, lifeless, known, nowhere }) {
    EXPECT_EQ(leader.rangeAssigner->Check(each, leader.state).error().code,
              Code::InvalidRecord);
    EXPECT_FALSE(leader.HandleHeartbeat(each));
  }
  EXPECT_EQ(leader.state.Save().SerializeAsString(), before);
  EXPECT_TRUE(leader.HandleHeartbeat(FromLife("a", 100, 5)));
}

} // namespace
} // namespace rattandyke::gateway
