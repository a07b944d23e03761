#include "entry/crash_blame.h"

#include <gtest/gtest.h>

#include "entry/trial_desk.h"
#include "testing/poison_model.h"

namespace rattandyke::entry {
namespace {

using namespace std::chrono_literals;

const ServiceName kService{ "board" };
constexpr WallTime kStart{ 1h };

UpstreamLife
Life(int aNumber)
{
  return { kService, { "u" + std::to_string(aNumber) }, 1 };
}

blame_event::Reported
Report(int aUpstream,
       std::vector<std::string> aFingerprints,
       std::string aOnTrial = "")
{
  return { Life(aUpstream), std::move(aFingerprints), std::move(aOnTrial) };
}

/// A request takes an upstream with it while two others run there, then a
/// second one on its trial. It is banned after the second, and the two that
/// were beside it are free again: they were in one of its crashes only.
TEST(CrashBlame, BansTheRequestOfBothCrashesAndFreesTheOthers)
{
  CrashBlame blame({});
  blame.Step(Report(1, { "poison", "a" }), kStart);
  EXPECT_EQ(blame.Verdict(kService, "poison"), QuarantineVerdict::Free);
  blame.Step(blame_event::Lost{ Life(1) }, kStart + 1s);
  blame.Step(Report(1, { "b" }), kStart + 1s); // From another host.
  for (const char* suspect : { "poison", "a", "b" }) {
    EXPECT_EQ(blame.Verdict(kService, suspect), QuarantineVerdict::Suspect);
  }
  blame.Step(blame_event::Lost{ Life(2) }, kStart + 2s);
  blame.Step(Report(2, { "c" }), kStart + 2s);
  blame.Step(Report(2, { "poison" }, "poison"), kStart + 2s);
  EXPECT_EQ(blame.Verdict(kService, "poison"), QuarantineVerdict::Banned);
  for (const char* innocent : { "a", "b", "c" }) {
    EXPECT_EQ(blame.Verdict(kService, innocent), QuarantineVerdict::Free);
  }
}

/// Two popular requests run wherever their keys are, and both upstreams are
/// killed for other reasons. Being there twice is no proof: neither is banned.
TEST(CrashBlame, DoesNotBanWhatCannotBeToldApart)
{
  CrashBlame blame({});
  blame.Step(Report(1, { "a", "b" }), kStart);
  blame.Step(blame_event::Lost{ Life(1) }, kStart);
  blame.Step(Report(2, { "a", "b" }), kStart);
  blame.Step(blame_event::Lost{ Life(2) }, kStart);
  EXPECT_EQ(blame.Verdict(kService, "a"), QuarantineVerdict::Suspect);
  EXPECT_EQ(blame.Verdict(kService, "b"), QuarantineVerdict::Suspect);
}

/// A request was beside a crash, ran well on its trial, and is beside another
/// crash later. The trial counts for it: it is a suspect anew, not banned.
TEST(CrashBlame, AClearedRequestStartsAfresh)
{
  CrashBlame blame({});
  blame.Step(Report(1, { "a" }), kStart);
  blame.Step(blame_event::Lost{ Life(1) }, kStart);
  blame.Step(blame_event::Cleared{ kService, "a" }, kStart + 1s);
  EXPECT_EQ(blame.Verdict(kService, "a"), QuarantineVerdict::Free);
  blame.Step(Report(2, { "a" }), kStart + 2s);
  blame.Step(blame_event::Lost{ Life(2) }, kStart + 2s);
  EXPECT_EQ(blame.Verdict(kService, "a"), QuarantineVerdict::Suspect);
}

/// A connection broke but the upstream lives on: no crash, so nobody is
/// suspected, and an upstream lost minutes later is not blamed on it.
TEST(CrashBlame, ABrokenConnectionAloneIsNoCrash)
{
  CrashBlame blame({});
  blame.Step(Report(1, { "a" }), kStart);
  blame.Step(blame_event::Tick{}, kStart + 6s);
  blame.Step(blame_event::Lost{ Life(1) }, kStart + 60s);
  EXPECT_EQ(blame.Verdict(kService, "a"), QuarantineVerdict::Free);
}

/// A ban ends by itself after its time, and at once when an operator lifts it.
TEST(CrashBlame, BansExpireAndCanBeLifted)
{
  CrashBlame blame({ .banFor = 10s });
  const auto ban = [&](WallTime aNow) {
    for (int upstream : { 1, 2 }) {
      blame.Step(Report(upstream, { "a" }), aNow);
      blame.Step(blame_event::Lost{ Life(upstream) }, aNow);
    }
    EXPECT_EQ(blame.Verdict(kService, "a"), QuarantineVerdict::Banned);
  };
  ban(kStart);
  const auto lifted =
    blame.Step(blame_event::Lifted{ kService, "a" }, kStart + 1s);
  ASSERT_EQ(lifted.size(), 1u);
  EXPECT_EQ(lifted[0].verdict, QuarantineVerdict::Free);
  ban(kStart + 2s);
  blame.Step(blame_event::Tick{}, kStart + 13s);
  EXPECT_EQ(blame.Verdict(kService, "a"), QuarantineVerdict::Free);
}

/// Two hosts want to run suspects. One runs at a time; the other is told when
/// to ask again, and gets its turn when the first host is gone. A new leader
/// grants none while one that its predecessor granted may still run.
TEST(TrialDesk, GrantsOneTrialAtATime)
{
  const Instant start{ 1h };
  TrialDesk desk({ .longest = 5s }, start);
  const TrialAsker first{ { "h1" }, 1, 1 };
  const TrialAsker second{ { "h2" }, 2, 1 };
  const auto ask = [&](const TrialAsker& aAsker, Instant aNow) {
    return desk.Step(trial_event::Asked{ aAsker, kService, "a" }, aNow)
      ->granted;
  };
  EXPECT_FALSE(ask(first, start + 4s));
  EXPECT_TRUE(ask(first, start + 5s));
  EXPECT_TRUE(ask(first, start + 5s)); // The call is repeated.
  EXPECT_FALSE(ask(second, start + 5s));
  desk.Step(trial_event::SessionGone{ { "h1" }, 1 }, start + 6s);
  EXPECT_TRUE(ask(second, start + 6s));
  desk.Step(trial_event::Ended{ second, kService }, start + 7s);
  EXPECT_TRUE(ask(first, start + 7s));
}

/// Fifty sendings of a request that crashes whoever runs it, through all
/// entries, beside popular and single innocent requests, while other upstreams
/// are killed. Callers lose two upstreams to it at most, and nothing innocent
/// is banned where no kill falls into a trial.
TEST(Quarantine, APoisonedRequestTakesTwoUpstreamsAtMost)
{
  constexpr uint64_t kSchedules = 10;
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    testing::PoisonModelSettings settings;
    settings.seed = seed;
    const auto calm = testing::RunPoisonModel(settings);
    EXPECT_LE(calm.lostToPoison, 2u) << "seed " << seed;
    EXPECT_EQ(calm.innocentsBanned, 0u) << "seed " << seed;
    settings.kills = 3;
    EXPECT_LE(testing::RunPoisonModel(settings).lostToPoison, 2u)
      << "seed " << seed;
  }
}

} // namespace
} // namespace rattandyke::entry
