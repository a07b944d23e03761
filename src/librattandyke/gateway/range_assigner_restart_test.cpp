#include "gateway/range_assigner.h"

#include <gtest/gtest.h>

#include "testing/simulated_leader.h"

namespace rattandyke::gateway {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

Heartbeat
HeartbeatOf(const std::string& aInstance,
            uint64_t aIncarnation,
            uint64_t aSequence)
{
  Heartbeat heartbeat = HeartbeatFrom(aInstance, aSequence);
  heartbeat.life = aIncarnation;
  return heartbeat;
}

/// Sends heartbeats of the first incarnations of "a" and "b" until they own all
/// keys.
void
AssignKeysToFirstIncarnations(SimulatedLeader& aLeader)
{
  for (uint64_t sequence = 1; sequence <= 4; ++sequence) {
    aLeader.HandleHeartbeat(HeartbeatOf("a", 100, sequence));
    aLeader.AdvanceTime(kHeartbeatInterval / 2);
    aLeader.HandleHeartbeat(HeartbeatOf("b", 100, sequence));
    aLeader.AdvanceTime(kHeartbeatInterval / 2);
  }
}

// A process crashes and restarts under its id, with its heartbeats numbered
// from 1. If the leader took them for delayed ones of the earlier incarnation,
// it would renew no lease, and the keys would be unserved until the old lease
// ends. The later incarnation proves that the earlier one has ended, so its
// first heartbeat is granted keys, with a higher fence.
TEST(RangeAssigner, LaterIncarnationIsGrantedKeysAtFirstHeartbeat)
{
  SimulatedLeader leader;
  AssignKeysToFirstIncarnations(leader);
  const uint32_t key = leader.state.Ranges("board")->Segments().front().from();
  const std::string owner = leader.OwnerOf(key);
  const uint64_t fence = leader.state.Ranges("board")->Find(key).fence();
  leader.AdvanceTime(milliseconds{ 300 });
  const auto grants = leader.HandleHeartbeat(HeartbeatOf(owner, 200, 1));
  ASSERT_TRUE(grants);
  ASSERT_GT(CountKeys(grants), 0U);
  for (const GrantedRange& range : grants->ranges) {
    EXPECT_GT(range.fence.value, fence);
  }
}

// The last heartbeat of an earlier incarnation is delayed, and arrives after
// one of the later incarnation. It reports releases, is draining, and has a
// higher sequence number. It must change nothing, also after a change of
// leader.
TEST(RangeAssigner, EarlierIncarnationChangesNothingAfterLaterOne)
{
  for (const bool failover : { false, true }) {
    SimulatedLeader leader;
    AssignKeysToFirstIncarnations(leader);
    leader.HandleHeartbeat(HeartbeatOf("a", 200, 1));
    leader.HandleHeartbeat(HeartbeatOf("a", 200, 2));
    if (failover) {
      leader.FailOver();
    }
    const auto before = leader.state.Save().SerializeAsString();
    Heartbeat late = HeartbeatOf("a", 100, 50);
    late.draining = true;
    late.released = { { { 0, kMaxKey }, "h" } };
    EXPECT_EQ(leader.rangeAssigner->Check(late, leader.state).error().code,
              Code::UpstreamSuperseded);
    EXPECT_FALSE(leader.HandleHeartbeat(late));
    EXPECT_FALSE(
      leader.rangeAssigner->OnDeregistration({ "a", 100 }, leader.state));
    EXPECT_EQ(leader.state.Save().SerializeAsString(), before);
    EXPECT_TRUE(leader.HandleHeartbeat(HeartbeatOf("a", 200, 3)));
  }
}

// A grant to an incarnation is planned, and the next incarnation is registered
// before the grant is committed. If the grant were applied, its keys would have
// an owner that does not serve them.
TEST(RangeAssigner, GrantToEarlierIncarnationIsRefused)
{
  SimulatedLeader leader;
  AssignKeysToFirstIncarnations(leader);
  wire::GatewayCommand late;
  wire::GrantRanges* grant = late.mutable_grant_ranges();
  grant->set_service("board");
  grant->set_holder("a");
  grant->set_life(100);
  leader.Commit(leader.rangeAssigner->OnHeartbeat(
    HeartbeatOf("a", 200, 1), leader.state, leader.now));
  EXPECT_FALSE(leader.state.Apply(late, LogIndex{ ++leader.index }));
  EXPECT_EQ(leader.rangeAssigner->RenewLease(
              HeartbeatOf("a", 100, 4), leader.state, leader.now),
            std::nullopt);
}

// A process starts to drain, crashes and restarts: its later incarnation does
// not drain. Within one incarnation a delayed heartbeat from before must not
// end the draining, also at a new leader that does not know the sequence
// number.
TEST(RangeAssigner, OnlyLaterIncarnationEndsDraining)
{
  SimulatedLeader leader;
  AssignKeysToFirstIncarnations(leader);
  Heartbeat drainingHeartbeat = HeartbeatOf("a", 100, 9);
  drainingHeartbeat.draining = true;
  leader.HandleHeartbeat(drainingHeartbeat);
  leader.FailOver();
  leader.HandleHeartbeat(HeartbeatOf("a", 100, 8));
  EXPECT_TRUE(leader.state.FindInstance("a")->draining());
  leader.HandleHeartbeat(HeartbeatOf("a", 200, 1));
  EXPECT_FALSE(leader.state.FindInstance("a")->draining());
}

// An instance deregisters and restarts under its id. The deregistration ends
// only the earlier incarnation, and a delayed second deregistration of that
// incarnation ends nothing.
TEST(RangeAssigner, DeregisteredInstanceReturnsAsLaterIncarnation)
{
  SimulatedLeader leader;
  AssignKeysToFirstIncarnations(leader);
  const auto ended =
    leader.rangeAssigner->OnDeregistration({ "a", 100 }, leader.state);
  ASSERT_TRUE(ended);
  leader.Commit({ *ended });
  leader.HandleHeartbeat(HeartbeatOf("a", 100, 9));
  EXPECT_EQ(leader.state.FindInstance("a"), nullptr);
  leader.HandleHeartbeat(HeartbeatOf("a", 200, 1));
  ASSERT_NE(leader.state.FindInstance("a"), nullptr);
  leader.Commit({ *ended });
  EXPECT_NE(leader.state.FindInstance("a"), nullptr);
}

/// @return the command for a deregistration without an incarnation number.
wire::GatewayCommand
WithdrawalOf(const SimulatedLeader& aLeader, const std::string& aInstance)
{
  const auto command =
    aLeader.rangeAssigner->OnDeregistration({ aInstance, 0 }, aLeader.state);
  return command.value_or(wire::GatewayCommand{});
}

// Guards against upstreams whose deregistration without an incarnation number
// is refused, and that get requests after they have ended.
TEST(RangeAssigner, DeregistrationWithoutIncarnationDrainsCurrentOne)
{
  SimulatedLeader leader;
  AssignKeysToFirstIncarnations(leader);
  const wire::GatewayCommand command = WithdrawalOf(leader, "a");
  ASSERT_TRUE(command.has_withdraw_instance());
  leader.Commit({ command });
  EXPECT_TRUE(leader.state.FindInstance("a")->draining());
  // A repeated call is accepted.
  leader.Commit({ WithdrawalOf(leader, "a") });
  EXPECT_TRUE(leader.state.FindInstance("a")->draining());
  EXPECT_TRUE(WithdrawalOf(leader, "gone").has_end_instance());
}

// Guards against a delayed deregistration of an earlier incarnation that
// permanently withdraws a later one.
TEST(RangeAssigner, WithdrawnInstanceThatStillRunsReturns)
{
  for (const bool failover : { false, true }) {
    SimulatedLeader leader;
    AssignKeysToFirstIncarnations(leader);
    leader.Commit({ WithdrawalOf(leader, "a") });
    if (failover) {
      leader.FailOver();
    }
    leader.HandleHeartbeat(HeartbeatOf("a", 100, 10));
    EXPECT_TRUE(leader.state.FindInstance("a")->draining());
    leader.AdvanceTime(kHeartbeatInterval);
    leader.HandleHeartbeat(HeartbeatOf("a", 100, 11));
    EXPECT_FALSE(leader.state.FindInstance("a")->draining());
    EXPECT_FALSE(leader.state.FindInstance("a")->withdrawn());
  }
}

// Guards against delayed heartbeats that make a draining upstream active: they
// were sent before its deregistration, and arrive together.
TEST(RangeAssigner, DelayedHeartbeatsDoNotReturnWithdrawnInstance)
{
  SimulatedLeader leader;
  AssignKeysToFirstIncarnations(leader);
  leader.Commit({ WithdrawalOf(leader, "a") });
  leader.AdvanceTime(kHeartbeatInterval * 2);
  for (uint64_t sequence = 10; sequence < 14; ++sequence) {
    leader.HandleHeartbeat(HeartbeatOf("a", 100, sequence));
    leader.AdvanceTime(milliseconds{ 20 });
  }
  EXPECT_TRUE(leader.state.FindInstance("a")->draining());
  Heartbeat drainingHeartbeat = HeartbeatOf("a", 100, 20);
  drainingHeartbeat.draining = true;
  leader.AdvanceTime(kHeartbeatInterval);
  leader.HandleHeartbeat(drainingHeartbeat);
  leader.HandleHeartbeat(HeartbeatOf("a", 100, 21));
  EXPECT_TRUE(leader.state.FindInstance("a")->draining());
}

// Guards against a withdrawal that applies to a later incarnation.
TEST(RangeAssigner, LaterIncarnationIsNotWithdrawn)
{
  SimulatedLeader leader;
  AssignKeysToFirstIncarnations(leader);
  leader.Commit({ WithdrawalOf(leader, "a") });
  leader.HandleHeartbeat(HeartbeatOf("a", 200, 1));
  EXPECT_FALSE(leader.state.FindInstance("a")->draining());
}

// A process restarts after its clock was set back, so its incarnation number is
// lower than the known one, as in a delayed message. It is accepted once the
// known incarnation has been silent for longer than any message is delayed.
TEST(RangeAssigner, LowerIncarnationIsAcceptedAfterKnownOneIsRemoved)
{
  SimulatedLeader leader;
  AssignKeysToFirstIncarnations(leader);
  EXPECT_FALSE(leader.HandleHeartbeat(HeartbeatOf("a", 50, 1)));
  leader.AdvanceTime(kOptions.removeAfter + kHeartbeatInterval);
  EXPECT_TRUE(leader.HandleHeartbeat(HeartbeatOf("a", 50, 2)));
  EXPECT_EQ(leader.state.FindInstance("a")->life(), 50U);
}

// A later incarnation may have another address or serve another service. The
// keys of the earlier incarnation are freed.
TEST(RangeAssigner, LaterIncarnationMayServeAnotherService)
{
  SimulatedLeader leader;
  AssignKeysToFirstIncarnations(leader);
  wire::GatewayCommand command;
  wire::ServiceItem* service = command.mutable_change_items()->add_services();
  service->set_name("desk");
  service->set_version(1);
  service->set_source("desk");
  leader.Commit({ command });
  Heartbeat moved = HeartbeatOf("a", 200, 1);
  moved.service = "desk";
  moved.address = "10.0.0.7:99";
  leader.HandleHeartbeat(moved);
  EXPECT_EQ(leader.state.FindInstance("a")->service(), "desk");
  for (const auto& segment : leader.state.Ranges("board")->Segments()) {
    EXPECT_NE(segment.holder(), "a");
  }
}

/// @return a heartbeat of the unknown instance "x" from the address of another
/// instance.
Heartbeat
HeartbeatFromAddressOf(const std::string& aOther,
                       uint64_t aIncarnation,
                       uint64_t aSequence)
{
  Heartbeat heartbeat = HeartbeatOf("x", aIncarnation, aSequence);
  heartbeat.address = HeartbeatFrom(aOther, 1).address;
  return heartbeat;
}

// A process crashes before any of its heartbeats arrives. Another process
// starts at its address, is granted keys, and temporarily can't reach the
// control hosts. Two delayed heartbeats of the first process arrive, an
// interval apart, as from a successor of the second process, which serves until
// its lease ends. Its keys must not be granted to other instances before.
TEST(RangeAssigner, DelayedHeartbeatsOfEarlierProcessEndNoInstance)
{
  for (const uint64_t incarnation : { uint64_t{ 0 }, uint64_t{ 100 } }) {
    SimulatedLeader leader;
    const auto sendHeartbeat = [&](const std::string& aInstance,
                                   uint64_t aSequence) {
      return leader.HandleHeartbeat(
        HeartbeatOf(aInstance, incarnation, aSequence));
    };
    for (uint64_t sequence = 1; sequence <= 4; ++sequence) {
      sendHeartbeat("a", sequence);
      leader.AdvanceTime(kHeartbeatInterval / 2);
      sendHeartbeat("b", sequence);
      leader.AdvanceTime(kHeartbeatInterval / 2);
    }
    const std::string owner = leader.OwnerOf(0);
    sendHeartbeat(owner, 5);
    for (uint64_t sequence = 3; sequence <= 4; ++sequence) {
      leader.AdvanceTime(kHeartbeatInterval);
      leader.HandleHeartbeat(
        HeartbeatFromAddressOf(owner, incarnation / 2, sequence));
    }
    EXPECT_EQ(leader.OwnerOf(0), owner) << "incarnation " << incarnation;
    EXPECT_TRUE(sendHeartbeat(owner, 6)) << "incarnation " << incarnation;
  }
}

// With incarnation numbers, a later incarnation at the same address proves that
// the earlier one has ended, even before its lease ends.
TEST(RangeAssigner, LaterIncarnationAtSameAddressEndsEarlierOne)
{
  SimulatedLeader leader;
  AssignKeysToFirstIncarnations(leader);
  const std::string owner = leader.OwnerOf(0);
  leader.HandleHeartbeat(HeartbeatFromAddressOf(owner, 200, 1));
  leader.AdvanceTime(kHeartbeatInterval);
  leader.HandleHeartbeat(HeartbeatFromAddressOf(owner, 200, 2));
  EXPECT_NE(leader.OwnerOf(0), owner);
  EXPECT_TRUE(leader.state.HasEnded(owner, 100));
  EXPECT_FALSE(leader.HandleHeartbeat(HeartbeatOf(owner, 100, 99)));
}

// Heartbeats come from a sender that is not an upstream of this deployment: for
// an unknown service, of a known instance under another service, without an
// incarnation number where other instances have one, and with an invalid
// address. If they were accepted, their sequence numbers would make the real
// upstream's heartbeats look outdated, and it would lose its keys.
TEST(RangeAssigner, HeartbeatsOfForeignSendersChangeNothing)
{
  SimulatedLeader leader;
  AssignKeysToFirstIncarnations(leader);
  const auto before = leader.state.Save().SerializeAsString();
  Heartbeat unknownService = HeartbeatOf("x", 300, 1);
  unknownService.service = "no-such-service";
  Heartbeat changedService = HeartbeatOf("a", 100, 900);
  changedService.service = "no-such-service";
  Heartbeat noIncarnation = HeartbeatFrom("x", 7);
  Heartbeat knownInstance = HeartbeatFrom("a", 900);
  Heartbeat invalidAddress = HeartbeatOf("x", 300, 1);
  invalidAddress.address = "somewhere";
  for (const Heartbeat& each : { unknownService,
                                 changedService,
                                 noIncarnation,
                                 knownInstance,
                                 invalidAddress }) {
    EXPECT_EQ(leader.rangeAssigner->Check(each, leader.state).error().code,
              Code::InvalidRecord);
    EXPECT_FALSE(leader.HandleHeartbeat(each));
  }
  EXPECT_EQ(leader.state.Save().SerializeAsString(), before);
  EXPECT_TRUE(leader.HandleHeartbeat(HeartbeatOf("a", 100, 5)));
}

} // namespace
} // namespace rattandyke::gateway
