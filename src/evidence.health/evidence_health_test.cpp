#include "evidence.health/evidence_health.h"

#include <gtest/gtest.h>

namespace rattandyke::health {
namespace {

using namespace std::chrono_literals;

constexpr Instant kStart{ 1h };

UpstreamId
Id(int aNumber)
{
  return { { "u" + std::to_string(aNumber) }, 1 };
}

Members
MembersOf(int aCount, Duration aAge = 1h)
{
  Members members;
  for (int i = 0; i < aCount; ++i) {
    members.members.push_back({ Id(i), 4, aAge });
  }
  return members;
}

void
FailTimes(EvidenceHealth& aHealth, int aUpstream, int aTimes, Instant aNow)
{
  for (int i = 0; i < aTimes; ++i) {
    aHealth.Step(Evidence{ Id(aUpstream), Observation::Unreachable }, aNow);
  }
}

/// An upstream answers nothing though it calls itself healthy. After five
/// failures its callers hear so at once, with the time of the next probe, and
/// one request at a time finds out whether it is back.
TEST(EvidenceHealth, EjectsProbesAndReadmits)
{
  EvidenceHealth health({});
  health.Step(MembersOf(4), kStart);
  FailTimes(health, 0, 4, kStart);
  EXPECT_TRUE(health.Judge(Id(0), kStart).accept);
  FailTimes(health, 0, 1, kStart);
  const Verdict verdict = health.Judge(Id(0), kStart);
  EXPECT_FALSE(verdict.accept);
  EXPECT_EQ(verdict.retryAfter, 250ms);

  const Instant later = kStart + 250ms;
  EXPECT_TRUE(health.Judge(Id(0), later).accept);
  EXPECT_FALSE(health.Judge(Id(0), later).accept);
  health.Step(Evidence{ Id(0), Observation::Succeeded, 5ms }, later + 5ms);
  EXPECT_TRUE(health.Judge(Id(0), later + 5ms).accept);
  EXPECT_TRUE(health.Ejected(later + 5ms).empty());
}

/// Everything fails at once, as when this host's own network is at fault.
/// Half of the service stays reachable, so that the fault is not made whole.
TEST(EvidenceHealth, NeverEjectsMoreThanHalf)
{
  EvidenceHealth health({});
  health.Step(MembersOf(5), kStart);
  for (int i = 0; i < 5; ++i) {
    FailTimes(health, i, 50, kStart);
  }
  EXPECT_EQ(health.Ejected(kStart).size(), 2u);

  EvidenceHealth single({});
  single.Step(MembersOf(1), kStart);
  FailTimes(single, 0, 50, kStart);
  EXPECT_TRUE(single.Judge(Id(0), kStart).accept);
}

/// A new upstream with four slots warms up for ten seconds. It gets one slot at
/// first and all at the end; full load at once would make it answer late.
TEST(EvidenceHealth, RampsAColdStart)
{
  EvidenceHealth health({ .coldStart = 10s });
  health.Step(MembersOf(1, 0s), kStart);
  EXPECT_EQ(health.Judge(Id(0), kStart).slots, 1u);
  EXPECT_EQ(health.Judge(Id(0), kStart + 5s).slots, 2u);
  EXPECT_EQ(health.Judge(Id(0), kStart + 10s).slots, 4u);
}

/// An upstream sheds: it is alive, so it is not ejected, but it gets half the
/// load, and more again as its answers succeed.
TEST(EvidenceHealth, SheddingHalvesTheSlotsInUse)
{
  EvidenceHealth health({});
  health.Step(MembersOf(2), kStart);
  for (int i = 0; i < 10; ++i) {
    health.Step(Evidence{ Id(0), Observation::Shed }, kStart);
  }
  EXPECT_TRUE(health.Judge(Id(0), kStart).accept);
  EXPECT_EQ(health.Judge(Id(0), kStart).slots, 1u);
  for (int i = 0; i < 200; ++i) {
    health.Step(Evidence{ Id(0), Observation::Succeeded, 5ms }, kStart);
  }
  EXPECT_EQ(health.Judge(Id(0), kStart).slots, 4u);
}

} // namespace
} // namespace rattandyke::health
