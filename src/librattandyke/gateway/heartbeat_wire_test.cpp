#include "gateway/heartbeat_wire.h"

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;

TEST(HeartbeatWire, HeartbeatRoundTrips)
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
  const Heartbeat received = FromWire(message);
  EXPECT_EQ(received.instance, sent.instance);
  EXPECT_EQ(received.service, sent.service);
  EXPECT_EQ(received.address, sent.address);
  EXPECT_EQ(received.dataCentre, sent.dataCentre);
  EXPECT_EQ(received.version, sent.version);
  EXPECT_EQ(received.slots, sent.slots);
  EXPECT_EQ(received.draining, sent.draining);
  EXPECT_EQ(received.life, sent.life);
  EXPECT_EQ(received.sequence, sent.sequence);
  EXPECT_EQ(received.cold, sent.cold);
  ASSERT_EQ(received.holds.size(), 1U);
  EXPECT_EQ(received.holds[0].keys, sent.holds[0].keys);
  EXPECT_EQ(received.holds[0].fence, sent.holds[0].fence);
  ASSERT_EQ(received.released.size(), 1U);
  EXPECT_EQ(received.released[0].keys, sent.released[0].keys);
  EXPECT_EQ(received.released[0].handover, "5c0e");
}

// An answer that does not renew the lease must not be converted to one with
// empty grants: the upstream would release all its keys.
TEST(HeartbeatWire, NoRenewalDiffersFromEmptyGrants)
{
  const auto noRenewal = FromWire(ToWire(HeartbeatAnswer{}, 1));
  ASSERT_TRUE(noRenewal);
  EXPECT_FALSE(noRenewal->grants);
  HeartbeatAnswer empty;
  empty.grants = Grants{ {}, milliseconds{ 4500 } };
  const auto received = FromWire(ToWire(empty, 1));
  ASSERT_TRUE(received);
  ASSERT_TRUE(received->grants);
  EXPECT_TRUE(received->grants->ranges.empty());
  EXPECT_EQ(received->grants->leaseDuration, milliseconds{ 4500 });
}

TEST(HeartbeatWire, GrantsAndErrorsRoundTrip)
{
  HeartbeatAnswer sent;
  sent.grants =
    Grants{ { { { 9000, 9999 }, Fence{ 12 }, "7a21" } }, milliseconds{ 4500 } };
  const auto received = FromWire(ToWire(sent, 1));
  ASSERT_TRUE(received && received->grants);
  ASSERT_EQ(received->grants->ranges.size(), 1U);
  EXPECT_EQ(received->grants->ranges[0].keys, (KeySpan{ 9000, 9999 }));
  EXPECT_EQ(received->grants->ranges[0].fence, Fence{ 12 });
  EXPECT_EQ(received->grants->ranges[0].handover, "7a21");
  const Result<HeartbeatAnswer> failed =
    Fail(Code::UpstreamSuperseded, "a later incarnation");
  const auto receivedError = FromWire(ToWire(failed, 1));
  ASSERT_FALSE(receivedError);
  EXPECT_EQ(receivedError.error().code, Code::UpstreamSuperseded);
  EXPECT_EQ(receivedError.error().message, "a later incarnation");
}

} // namespace
} // namespace rattandyke::gateway
