#include "consensus/replica.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "testing/fault_schedule.h"

namespace rattandyke::testing {

// RapidCheck finds it by this name.
void
showValue(const FaultStep& aStep, // NOLINT(readability-identifier-naming)
          std::ostream& aOut)
{
  aOut << "{kind " << static_cast<int>(aStep.kind) << " host "
       << int{ aStep.host } << " other " << int{ aStep.other } << " "
       << aStep.time.count() << " ms}";
}

} // namespace rattandyke::testing

template<>
struct rc::Arbitrary<rattandyke::testing::FaultStep>
{
  // NOLINTNEXTLINE(readability-identifier-naming): RapidCheck's name.
  static Gen<rattandyke::testing::FaultStep> arbitrary()
  {
    using rattandyke::testing::FaultStep;
    return gen::map(
      gen::tuple(gen::inRange(0, FaultStep::kKinds),
                 gen::inRange<uint8_t>(0, 7),
                 gen::inRange<uint8_t>(0, 7),
                 gen::oneOf(gen::inRange(0, 8), gen::inRange(0, 400))),
      [](const auto& aDrawn) {
        return FaultStep{ static_cast<FaultStep::Kind>(std::get<0>(aDrawn)),
                          std::get<1>(aDrawn),
                          std::get<2>(aDrawn),
                          std::chrono::milliseconds{ std::get<3>(aDrawn) } };
      });
  }
};

namespace rattandyke::consensus {
namespace {

using testing::FaultStep;
using testing::ReplicaGroup;

RC_GTEST_PROP(ReplicaFaults,
              AcknowledgedChangesSurviveAnySchedule,
              (const std::vector<FaultStep>& steps, uint64_t seed))
{
  // Hosts are cut off one way or both, paused, crashed with unsynced writes
  // lost, emptied, out of disk space, and made to hand over, at any moment and
  // several at once, while changes are proposed. No term has two leaders, no
  // committed entry changes, all hosts apply the same commands in the same
  // order, and once the faults end the group has everything it acknowledged and
  // its full number.
  const size_t hosts = *rc::gen::element<size_t>(1, 3, 5, 7);
  const auto report = RunSchedule(testing::ScheduleOptions(hosts, seed), steps);
  RC_ASSERT(report.violation == std::string());
  RC_ASSERT(report.acknowledgedLost == 0U);
}

TEST(ReplicaFaults, FollowerBehindACompactedLogGetsTheSnapshot)
{
  // Changes go on while one host hears nothing; the leader sends it as many
  // appends as may be in flight, then compacts its log. When the cut ends, the
  // host accepts each heartbeat, since none can refer to a compacted entry, and
  // would never get the rest: it must be sent the snapshot.
  ReplicaGroup group(testing::ScheduleOptions(3, 1));
  group.RunFor(std::chrono::milliseconds{ 250 });
  const size_t leader = group.Leader().value();
  const auto cutOff = static_cast<uint8_t>((leader + 1) % 3);
  group.Execute({ FaultStep::Kind::Cut, static_cast<uint8_t>(leader), cutOff });
  for (int i = 0; i < 40; ++i) {
    group.Propose();
    group.RunFor(std::chrono::milliseconds{ 10 });
  }
  EXPECT_TRUE(group.Settle()) << group.Report().violation;
  EXPECT_EQ(group.Report().acknowledged, group.Report().committed);
}

TEST(ReplicaFaults, NewcomerThatIsLostAgainDoesNotStopTheGroup)
{
  // One of three hosts loses its disk, comes back empty, catches up, and loses
  // its disk again in the moment before it is to vote. The other two must go
  // on: were it made a voter beside its old identity, they would be two of four
  // voters and could never commit anything again, not even its removal.
  ReplicaGroup group(testing::ScheduleOptions(3, 1));
  group.RunFor(std::chrono::milliseconds{ 250 });
  group.Propose();
  group.RunFor(std::chrono::milliseconds{ 250 });
  const size_t leader = group.Leader().value();
  const auto lost = static_cast<uint8_t>((leader + 1) % 3);
  group.Execute({ FaultStep::Kind::LoseDisk, lost, 0 });
  const auto& log = group.Host(leader).Log();
  const auto hasCaughtUp = [&] {
    const auto members = log.Status(Instant{}).members;
    return std::any_of(members.begin(), members.end(), [&](const auto& aRow) {
      return !aRow.voter && aRow.match == log.CommitIndex();
    });
  };
  while (!hasCaughtUp()) {
    group.RunFor(std::chrono::milliseconds{ 1 });
  }
  group.Execute({ FaultStep::Kind::LoseDisk, lost, 0 });
  EXPECT_TRUE(group.Settle()) << group.Report().violation;
}

TEST(ReplicaFaults, SpareTakesThePlaceOfASilentVoter)
{
  // Five hosts vote and two are spares. One voter is gone for long, so the
  // group can stand one loss less; a spare, which has the log already, votes in
  // its place without anyone's doing. Then two more hosts are lost at once, and
  // changes must still be acknowledged.
  ReplicaGroup group(testing::ScheduleOptions(7, 1));
  group.RunFor(std::chrono::milliseconds{ 250 });
  const size_t leader = group.Leader().value();
  const auto other = [&](size_t aDistance) {
    return static_cast<uint8_t>((leader + aDistance) % 5);
  };
  group.Execute({ FaultStep::Kind::Crash, other(1) });
  group.RunFor(std::chrono::seconds{ 3 });
  group.Execute({ FaultStep::Kind::Crash, other(2) });
  group.Execute({ FaultStep::Kind::Crash, other(3) });
  const uint64_t before = group.Report().acknowledged;
  group.Propose();
  group.RunFor(std::chrono::milliseconds{ 100 });
  EXPECT_EQ(group.Report().acknowledged, before + 1);
  EXPECT_TRUE(group.Settle()) << group.Report().violation;
}

} // namespace
} // namespace rattandyke::consensus
