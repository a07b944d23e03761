#include "control/live_hosts.h"

#include <gtest/gtest.h>

namespace rattandyke::control {
namespace {

using namespace std::chrono_literals;

class LiveHostsTest : public testing::Test
{
protected:
  LiveHostsTest()
    : mLeases(LeaseOptions{})
  {
    mLeases.Begin(mNow);
    mNow += 1h;
  }

  void Hear(const std::string& aHost, bool aLeaving = false)
  {
    wire::Heartbeat heartbeat;
    heartbeat.set_host(aHost);
    heartbeat.set_session(1);
    heartbeat.set_sequence(++mSequence);
    heartbeat.set_entry(true);
    heartbeat.set_leaving(aLeaving);
    heartbeat.set_upstream_address(aHost + ":1");
    mLeases.Note(heartbeat, mNow);
    mLeases.Renew({ HostName{ aHost }, 1 }, mNow);
  }

  wire::HostList Listed(uint64_t aKnownDigest = 0)
  {
    mHosts.Refresh(mLeases, mNow);
    wire::HeartbeatReply reply;
    mHosts.AddTo(reply, aKnownDigest);
    return reply.hosts();
  }

  Instant mNow{ 1h };
  uint64_t mSequence = 0;
  HostLeases mLeases;
  LiveHosts mHosts;
};

// Every host hears the list ten times a second. Sent whole each time it grows
// with the hosts squared: at 18,000 hosts the leader would send 100 GB a
// second.
TEST_F(LiveHostsTest, IsLeftOutForAHostThatHoldsIt)
{
  Hear("a");
  Hear("b");
  const wire::HostList list = Listed();
  EXPECT_EQ(list.entries_size(), 2);
  EXPECT_EQ(Listed(list.digest()).entries_size(), 0);
}

// A host is killed, or leaves gracefully. Upstreams are told where else to
// announce themselves, so the others must hear of it although they hold a list.
TEST_F(LiveHostsTest, IsSentAgainWhenAHostIsGone)
{
  Hear("a");
  Hear("b");
  const uint64_t before = Listed().digest();
  Hear("b", true);
  const wire::HostList leaving = Listed(before);
  ASSERT_EQ(leaving.entries_size(), 1);
  EXPECT_EQ(leaving.entries(0), "a");
  EXPECT_NE(leaving.digest(), before);
}

TEST_F(LiveHostsTest, DropsAHostWhoseLeaseIsOver)
{
  Hear("a");
  Hear("b");
  const uint64_t before = Listed().digest();
  mNow += 10s;
  Hear("a");
  EXPECT_EQ(Listed(before).entries_size(), 1);
}

} // namespace
} // namespace rattandyke::control
