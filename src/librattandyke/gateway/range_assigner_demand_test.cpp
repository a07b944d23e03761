// Demand for owners of keys, as RangeAssigner counts it.
#include "gateway/range_assigner.h"

#include <gtest/gtest.h>

#include "testing/simulated_leader.h"

namespace rattandyke::gateway {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)
using scheduling::DemandTable;
using std::chrono::milliseconds;

/// Instances "a" and "b" with two slots each own all keys.
class RangeAssignerDemandTest : public ::testing::Test
{
protected:
  RangeAssignerDemandTest()
  {
    AssignKeysToTwo(leader);
    table.Start(1, leader.now);
    for (const auto& segment : leader.state.Ranges("board")->Segments()) {
      keys[segment.holder()] = segment.from();
    }
  }

  /// Advances the time with requests for one key of each instance.
  DemandTable::Round Run(Duration aTime, double aPerSecondOfA, double aOfB)
  {
    std::optional<DemandTable::Round> round;
    for (const Instant end = leader.now + aTime; leader.now < end;) {
      for (int tick = 0; tick < 2; ++tick) {
        wire::RangeLoad load;
        load.set_service("board");
        load.add_buckets(keys.at("a"));
        load.add_requests(static_cast<uint32_t>(aPerSecondOfA / 10));
        load.add_buckets(keys.at("b"));
        load.add_requests(static_cast<uint32_t>(aOfB / 10));
        leader.rangeAssigner->AddLoad(load);
        leader.rangeAssigner->AddDemand(leader.state, table);
        leader.AdvanceTime(RangeAssigner::kTick);
      }
      round = table.MakeRound(
        leader.rangeAssigner->OwnerCapacities(leader.state, leader.now),
        {},
        leader.now);
      KeepAlive();
    }
    return round.value();
  }

  void KeepAlive()
  {
    leader.HandleHeartbeat(HeartbeatFrom("a", ++sequence));
    leader.HandleHeartbeat(HeartbeatFrom("b", sequence));
  }

  Result<void> Commit(const wire::GatewayCommand& aCommand)
  {
    return leader.rangeAssigner->ApplyAndMoveDemand(
      aCommand, LogIndex{ ++leader.index }, leader.state, table);
  }

  SimulatedLeader leader;
  DemandTable table;
  std::map<std::string, uint32_t> keys;
  uint64_t sequence = 100;
};

// Load: a key with 490 requests per second at an owner that runs 20, which is
// two slots with the response time that is assumed at first, 100 ms. The other
// owner is at its capacity.
TEST_F(RangeAssignerDemandTest, RequestsAreCountedForTheKeysOwner)
{
  const DemandTable::Round round = Run(milliseconds{ 2000 }, 20, 490);
  ASSERT_EQ(round.digest.owners.size(), 2U);
  EXPECT_EQ(round.digest.owners[0].instance, "b");
  EXPECT_NEAR(round.digest.owners[0].demand, 490, 10);
  EXPECT_NEAR(round.digest.owners[0].capacity, 20, 0.1);
  EXPECT_NEAR(round.digest.owners[1].demand, 20, 0.5);
}

// Failure: keys move, and the demand stays with their former owner. Requests
// for its other keys would be refused.
TEST_F(RangeAssignerDemandTest, DemandFollowsKeysThatMove)
{
  Run(milliseconds{ 8000 }, 10, 490);
  wire::GatewayCommand revoke;
  revoke.mutable_hold_back_ranges()->set_service("board");
  revoke.mutable_hold_back_ranges()->set_holder("b");
  wire::KeyRange* range = revoke.mutable_hold_back_ranges()->add_ranges();
  range->set_from(keys.at("b"));
  range->set_to(keys.at("b"));
  ASSERT_TRUE(Commit(revoke));
  wire::GatewayCommand free;
  free.mutable_free_ranges()->set_service("board");
  free.mutable_free_ranges()->set_holder("b");
  *free.mutable_free_ranges()->add_ranges() = *range;
  ASSERT_TRUE(Commit(free));
  wire::GatewayCommand grant;
  grant.mutable_grant_ranges()->set_service("board");
  grant.mutable_grant_ranges()->set_holder("a");
  *grant.mutable_grant_ranges()->add_ranges() = *range;
  ASSERT_TRUE(Commit(grant));
  ASSERT_EQ(leader.OwnerOf(keys.at("b")), "a");
  const DemandTable::Round round = Run(milliseconds{ 200 }, 10, 490);
  ASSERT_EQ(round.digest.owners.size(), 1U);
  EXPECT_EQ(round.digest.owners[0].instance, "a");
  EXPECT_NEAR(round.digest.owners[0].demand, 500, 20);
}

// Failure: keys are granted to an instance that has restarted meanwhile, so the
// state rejects the command. The instance would look overloaded for a second.
TEST_F(RangeAssignerDemandTest, RejectedCommandMovesNoDemand)
{
  Run(milliseconds{ 8000 }, 10, 490);
  wire::GatewayCommand grant;
  grant.mutable_grant_ranges()->set_service("board");
  grant.mutable_grant_ranges()->set_holder("a");
  grant.mutable_grant_ranges()->set_life(
    leader.state.FindInstance("a")->life() + 1);
  wire::KeyRange* range = grant.mutable_grant_ranges()->add_ranges();
  range->set_from(keys.at("b"));
  range->set_to(keys.at("b"));
  ASSERT_FALSE(Commit(grant));
  const DemandTable::Round round = Run(milliseconds{ 200 }, 10, 490);
  for (const auto& owner : round.digest.owners) {
    EXPECT_NEAR(owner.demand, owner.instance == "a" ? 10 : 490, 20)
      << owner.instance;
  }
}

// Failure: an instance is silent. It gets no requests and has no capacity.
TEST_F(RangeAssignerDemandTest, SilentInstanceHasNoCapacity)
{
  ASSERT_EQ(
    leader.rangeAssigner->OwnerCapacities(leader.state, leader.now).size(), 2U);
  leader.AdvanceTime(kHeartbeatInterval * 3);
  EXPECT_TRUE(
    leader.rangeAssigner->OwnerCapacities(leader.state, leader.now).empty());
}

} // namespace
} // namespace rattandyke::gateway
