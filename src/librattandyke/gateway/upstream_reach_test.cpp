#include "gateway/upstream_reach.h"

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UpstreamReachTest : public ::testing::Test
{
protected:
  static UpstreamProcess Process(const std::string& aInstance,
                                 uint64_t aIncarnation = 1)
  {
    return { aInstance, "10.0.0.1:80", aIncarnation };
  }

  void Fail(const std::string& aInstance,
            PathFailure aFailure = PathFailure::NoConnection)
  {
    reach.RecordFailure("desk", Process(aInstance), aFailure, now);
  }

  void LoseService()
  {
    Fail("a");
    Fail("b");
  }

  UpstreamReach reach{ 1 };
  Instant now{ std::chrono::hours{ 1 } };
};

// A host without a path must not try each upstream of the service anew: each
// attempt costs its caller the time to connect.
TEST_F(UpstreamReachTest, FailuresAtTwoUpstreamsLoseTheService)
{
  Fail("a");
  EXPECT_FALSE(reach.IsLost("desk"));
  EXPECT_TRUE(reach.CanReach("desk", "b", false));
  Fail("b");
  EXPECT_TRUE(reach.IsLost("desk"));
  EXPECT_FALSE(reach.CanReach("desk", "c", false));
  EXPECT_TRUE(reach.CanReach("board", "d", false));
}

// Requests that hang on open connections show a lost path, too.
TEST_F(UpstreamReachTest, UnansweredRequestsLoseTheService)
{
  Fail("a", PathFailure::NoResponse);
  Fail("a", PathFailure::NoResponse);
  EXPECT_FALSE(reach.IsLost("desk"));
  Fail("b", PathFailure::NoResponse);
  EXPECT_TRUE(reach.IsLost("desk"));
  EXPECT_FALSE(reach.CanReach("desk", "a", true));
}

// An overload in which requests time out must not make hosts refuse for want of
// a path.
TEST_F(UpstreamReachTest, OnlyFailedConnectionsShowThatThereIsNoPath)
{
  Fail("a", PathFailure::NoResponse);
  Fail("b", PathFailure::NoResponse);
  EXPECT_TRUE(reach.IsLost("desk"));
  EXPECT_FALSE(reach.HasNoPath("desk"));
  Fail("c");
  EXPECT_TRUE(reach.HasNoPath("desk"));
}

// One upstream that is down or slow is no reason to leave the others alone.
TEST_F(UpstreamReachTest, ResponseInBetweenKeepsTheService)
{
  Fail("a");
  now += milliseconds{ 10 };
  reach.RecordResponse("desk", "c", false, now);
  now += milliseconds{ 10 };
  Fail("b");
  EXPECT_FALSE(reach.IsLost("desk"));
}

TEST_F(UpstreamReachTest, OldFailuresDoNotCount)
{
  Fail("a");
  now += UpstreamReach::kFailureWindow + milliseconds{ 1 };
  Fail("b");
  EXPECT_FALSE(reach.IsLost("desk"));
}

// New connections may be refused while open ones live on: these must be used,
// and a response on one must not lead to new connections.
TEST_F(UpstreamReachTest, OpenConnectionsAreUsedWhileNewOnesFail)
{
  Fail("a");
  EXPECT_FALSE(reach.CanReach("desk", "a", false));
  EXPECT_TRUE(reach.CanReach("desk", "a", true));
  reach.RecordResponse("desk", "a", false, now);
  EXPECT_FALSE(reach.CanReach("desk", "a", false));
  reach.RecordResponse("desk", "a", true, now);
  EXPECT_TRUE(reach.CanReach("desk", "a", false));
}

// A restarted upstream must be tried at once.
TEST_F(UpstreamReachTest, NewIncarnationIsTriedAtOnce)
{
  Fail("a");
  reach.OnInstance("a", 1);
  EXPECT_FALSE(reach.CanReach("desk", "a", false));
  reach.OnInstance("a", 2);
  EXPECT_TRUE(reach.CanReach("desk", "a", false));
}

// Probes need connections to upstreams, of which there are few.
TEST_F(UpstreamReachTest, LostServiceIsProbedByOneUpstreamAtATime)
{
  LoseService();
  EXPECT_TRUE(reach.TakeProbes(now).empty());
  now += UpstreamReach::kProbeInterval;
  const auto probes = reach.TakeProbes(now);
  ASSERT_EQ(probes.size(), 1U);
  now += seconds{ 5 };
  EXPECT_TRUE(reach.TakeProbes(now).empty());
  reach.RecordProbe(probes[0], false, now);
  EXPECT_TRUE(reach.IsLost("desk"));
  now += UpstreamReach::kProbeInterval;
  EXPECT_EQ(reach.TakeProbes(now).size(), 1U);
}

// Callers must not be sent through other hosts for longer than the cut lasts.
TEST_F(UpstreamReachTest, SuccessfulProbeRegainsTheService)
{
  LoseService();
  now += UpstreamReach::kProbeInterval;
  const auto probes = reach.TakeProbes(now);
  ASSERT_EQ(probes.size(), 1U);
  reach.RecordProbe(probes[0], true, now);
  EXPECT_FALSE(reach.IsLost("desk"));
  EXPECT_TRUE(reach.CanReach("desk", "a", false));
  EXPECT_TRUE(reach.CanReach("desk", "b", false));
  const auto changes = reach.TakeChanges();
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_TRUE(changes[0].lost);
  EXPECT_FALSE(changes[1].lost);
  EXPECT_EQ(changes[1].lostFor, Duration(UpstreamReach::kProbeInterval));
}

// If all upstreams that failed are gone, no probe would ever end the loss.
TEST_F(UpstreamReachTest, LossEndsWithTheUpstreamsThatFailed)
{
  LoseService();
  reach.RemoveUnregistered([](const std::string&) { return false; });
  EXPECT_TRUE(reach.TakeProbes(now).empty());
  EXPECT_FALSE(reach.IsLost("desk"));
}

TEST_F(UpstreamReachTest, UnreachableUpstreamIsProbedAtGrowingIntervals)
{
  Fail("a");
  Duration interval = UpstreamReach::kProbeInterval;
  for (int round = 0; round < 6; ++round) {
    now += interval - milliseconds{ 1 };
    EXPECT_TRUE(reach.TakeProbes(now).empty());
    now += milliseconds{ 1 };
    const auto probes = reach.TakeProbes(now);
    ASSERT_EQ(probes.size(), 1U);
    reach.RecordProbe(probes[0], false, now);
    interval =
      std::min<Duration>(interval * 2, UpstreamReach::kMaxProbeInterval);
  }
}

// Other hosts are not asked for each request to an upstream that is down.
TEST_F(UpstreamReachTest, UnreachableForOthersIsKnownForAWhile)
{
  Fail("a");
  reach.RecordUnreachableForOthers("desk", "a", now);
  EXPECT_TRUE(reach.IsUnreachableForOthers("desk", "a", now));
  now += UpstreamReach::kProbeInterval;
  EXPECT_FALSE(reach.IsUnreachableForOthers("desk", "a", now));
}

} // namespace
} // namespace rattandyke::gateway
