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
MakeMembers(int aCount, Duration aAge = 1h)
{
  Members members;
  for (int i = 0; i < aCount; ++i) {
    members.members.push_back({ Id(i), 4, aAge });
  }
  return members;
}

void
ReportFailures(EvidenceHealth& aHealth, int aUpstream, int aTimes, Instant aNow)
{
  for (int i = 0; i < aTimes; ++i) {
    aHealth.Step(Evidence{ Id(aUpstream), Observation::Unreachable }, aNow);
  }
}

/// Failure: an upstream stops responding while it still reports itself healthy.
/// After five failures, requests are refused immediately with the time to the
/// next probe. Then one request passes as a probe, and its success ends the
/// ejection.
TEST(EvidenceHealth, EjectsProbesAndReadmits)
{
  EvidenceHealth health({});
  health.Step(MakeMembers(4), kStart);
  ReportFailures(health, 0, 4, kStart);
  EXPECT_TRUE(health.Judge(Id(0), kStart).accept);
  ReportFailures(health, 0, 1, kStart);
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

/// Failure: all upstreams fail at once, for example because of this host's own
/// network. At least half of the service must stay in use, so that ejections do
/// not turn a partial outage into a complete one.
TEST(EvidenceHealth, EjectsAtMostHalf)
{
  EvidenceHealth health({});
  health.Step(MakeMembers(5), kStart);
  for (int i = 0; i < 5; ++i) {
    ReportFailures(health, i, 50, kStart);
  }
  EXPECT_EQ(health.Ejected(kStart).size(), 2u);

  EvidenceHealth single({});
  single.Step(MakeMembers(1), kStart);
  ReportFailures(single, 0, 50, kStart);
  EXPECT_TRUE(single.Judge(Id(0), kStart).accept);
}

/// A new upstream with four slots has a cold start of ten seconds. It starts
/// with one slot and gets all four at the end, because it would respond late
/// under full load from the start.
TEST(EvidenceHealth, RampsSlotsDuringColdStart)
{
  EvidenceHealth health({ .coldStart = 10s });
  health.Step(MakeMembers(1, 0s), kStart);
  EXPECT_EQ(health.Judge(Id(0), kStart).slots, 1u);
  EXPECT_EQ(health.Judge(Id(0), kStart + 5s).slots, 2u);
  EXPECT_EQ(health.Judge(Id(0), kStart + 10s).slots, 4u);
}

/// An upstream that sheds requests is not ejected. Each shed request halves its
/// slots, down to one, and successes restore them.
TEST(EvidenceHealth, SheddingHalvesSlots)
{
  EvidenceHealth health({});
  health.Step(MakeMembers(2), kStart);
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
