#include "gateway/control_host_selector.h"

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kNear = "10.0.0.1:7003";
const std::string kFar = "10.0.1.1:7003";
const std::string kFarther = "10.0.2.1:7003";

class ControlHostSelectorTest : public ::testing::Test
{
protected:
  ControlHostSelectorTest()
  {
    Put(kNear, "south", 1);
    Put(kFar, "north", 2);
    Put(kFarther, "east", 3);
    selector.SetControlHosts({ kNear, kFar, kFarther });
  }

  static wire::EntryMember Self()
  {
    wire::EntryMember self;
    self.set_address("10.0.0.9:7003");
    self.set_data_centre("south");
    return self;
  }

  void Put(const std::string& aHost, const char* aDataCentre, uint64_t aIndex)
  {
    wire::GatewayCommand command;
    auto* control = command.mutable_put_control()->mutable_control();
    control->set_address(aHost);
    control->set_data_centre(aDataCentre);
    ASSERT_TRUE(state.Apply(command, LogIndex{ aIndex }));
  }

  State state;
  ControlHostSelector selector{ state, Self(), 1 };
  Instant now{ seconds{ 100 } };
};

TEST_F(ControlHostSelectorTest, PrefersItsDataCentre)
{
  EXPECT_EQ(selector.Next(now), kNear);
}

// Guards against entry hosts with an old configuration: the only control host
// of the data centre is partitioned from the leader, and entry hosts connect to
// it again after they have left it.
TEST_F(ControlHostSelectorTest, FailedHostComesLast)
{
  selector.Next(now);
  selector.OnConfirmed(kNear);
  selector.OnFailed(kNear, now);
  EXPECT_NE(selector.Next(now), kNear);
  EXPECT_NE(selector.Next(now), kNear);
  EXPECT_EQ(selector.Next(now), kNear);
}

// Guards against a move back to a control host that is still partitioned.
TEST_F(ControlHostSelectorTest, MovesBackOnlyAfterThePenalty)
{
  selector.OnFailed(kNear, now);
  const Instant end = now + seconds{ 3 };
  for (; now < end; now += milliseconds{ 200 }) {
    EXPECT_FALSE(selector.ShouldMove(kFar, now));
  }
  bool moves = false;
  for (int step = 0; step < 120 && !moves; ++step) {
    now += milliseconds{ 200 };
    moves = selector.ShouldMove(kFar, now);
  }
  EXPECT_TRUE(moves);
  EXPECT_EQ(selector.Next(now), kNear);
}

// Guards against an entry host that waits for control hosts that are all
// partitioned from it while another entry host receives the state.
TEST_F(ControlHostSelectorTest, TriesAnEntryHostOnceAllHaveFailed)
{
  wire::GatewayCommand command;
  command.mutable_put_entry()->mutable_entry()->set_address("10.0.0.8:7003");
  ASSERT_TRUE(state.Apply(command, LogIndex{ 4 }));
  for (int attempt = 0; attempt < 3; ++attempt) {
    selector.OnFailed(selector.Next(now), now);
  }
  EXPECT_EQ(selector.Next(now), "10.0.0.8:7003");
}

} // namespace
} // namespace rattandyke::gateway
