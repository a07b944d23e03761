#include "gateway/heartbeat_wire.h"

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;

TEST(HeartbeatWire, HeartbeatArrivesWhole)
{
  Heartbeat sent;
  sent.instance = "i-1";
  sent.service = "board";
  sent.address = "10.0.0.1:80";
  sent.dataCentre = "west";
  sent.version = "v1";
  sent.slots = 3;
  sent.draining = true;
  sent.life = 1'760'000'000'000;
  sent.sequence = 9;
  sent.cold = milliseconds{ 2500 };
  sent.holds = { { { 0, 4095 }, Fence{ 7 } } };
  sent.released = { { { 4096, kMaxKey }, "5c0e" } };
  const wire::ForwardedHeartbeat message = ToWire(sent, 42);
  EXPECT_EQ(message.id(), 42U);
  const Heartbeat got = FromWire(message);
  EXPECT_EQ(got.instance, sent.instance);
  EXPECT_EQ(got.service, sent.service);
  EXPECT_EQ(got.address, sent.address);
  EXPECT_EQ(got.dataCentre, sent.dataCentre);
  EXPECT_EQ(got.version, sent.version);
  EXPECT_EQ(got.slots, sent.slots);
  EXPECT_EQ(got.draining, sent.draining);
  EXPECT_EQ(got.life, sent.life);
  EXPECT_EQ(got.sequence, sent.sequence);
  EXPECT_EQ(got.cold, sent.cold);
  ASSERT_EQ(got.holds.size(), 1U);
  EXPECT_EQ(got.holds[0].keys, sent.holds[0].keys);
  EXPECT_EQ(got.holds[0].fence, sent.holds[0].fence);
  ASSERT_EQ(got.released.size(), 1U);
  EXPECT_EQ(got.released[0].keys, sent.released[0].keys);
  EXPECT_EQ(got.released[0].handover, "5c0e");
}

// An answer that renews nothing must not arrive as one that grants nothing: the
// upstream would release all its keys.
TEST(HeartbeatWire, NoRenewalIsNoEmptyGrant)
{
  const auto none = FromWire(ToWire(HeartbeatAnswer{}, 1));
  ASSERT_TRUE(none);
  EXPECT_FALSE(none->grants);
  HeartbeatAnswer empty;
  empty.grants = Grants{ {}, milliseconds{ 4500 } };
  const auto got = FromWire(ToWire(empty, 1));
  ASSERT_TRUE(got);
  ASSERT_TRUE(got->grants);
  EXPECT_TRUE(got->grants->ranges.empty());
  EXPECT_EQ(got->grants->leaseDuration, milliseconds{ 4500 });
}

TEST(HeartbeatWire, GrantsAndFailuresArriveWhole)
{
  HeartbeatAnswer sent;
  sent.grants =
    Grants{ { { { 9000, 9999 }, Fence{ 12 }, "7a21" } }, milliseconds{ 4500 } };
  const auto got = FromWire(ToWire(sent, 1));
  ASSERT_TRUE(got && got->grants);
  ASSERT_EQ(got->grants->ranges.size(), 1U);
  EXPECT_EQ(got->grants->ranges[0].keys, (KeySpan{ 9000, 9999 }));
  EXPECT_EQ(got->grants->ranges[0].fence, Fence{ 12 });
  EXPECT_EQ(got->grants->ranges[0].handover, "7a21");
  const Result<HeartbeatAnswer> failed =
    Fail(Code::UpstreamSuperseded, "a later life");
  const auto failure = FromWire(ToWire(failed, 1));
  ASSERT_FALSE(failure);
  EXPECT_EQ(failure.error().code, Code::UpstreamSuperseded);
  EXPECT_EQ(failure.error().message, "a later life");
}

} // namespace
} // namespace rattandyke::gateway
