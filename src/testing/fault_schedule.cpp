#include "testing/fault_schedule.h"

#include <algorithm>

namespace rattandyke::testing {

ReplicaGroup::Options
ScheduleOptions(size_t aHosts, uint64_t aSeed)
{
  ReplicaGroup::Options options;
  options.hosts = aHosts;
  options.seed = aSeed;
  options.replica.entriesPerSnapshot = 8;
  options.replica.entriesKeptBehind = 3;
  options.replica.snapshotChunkBytes = 16;
  options.replica.maxAppendsInFlight = 4;
  options.replica.replaceAfter = std::chrono::milliseconds{ 500 };
  options.replica.spareAfter = std::chrono::milliseconds{ 700 };
  // Seven hosts: five voters and two spares.
  options.replica.voters = std::min<size_t>(aHosts, 5);
  return options;
}

std::vector<FaultStep>
RandomSchedule(uint64_t aSeed, size_t aLength)
{
  constexpr uint64_t kLongestStepMs = 400;
  // So short that messages and syncs are under way at the next fault.
  constexpr uint64_t kShortStepMs = 8;
  Random random(aSeed);
  std::vector<FaultStep> steps(aLength);
  for (FaultStep& step : steps) {
    step.kind = static_cast<FaultStep::Kind>(random() % FaultStep::kKinds);
    step.host = static_cast<uint8_t>(random());
    step.other = static_cast<uint8_t>(random());
    const uint64_t longest = random() % 2 == 0 ? kShortStepMs : kLongestStepMs;
    step.time = std::chrono::milliseconds{ random() % longest };
  }
  return steps;
}

GroupReport
RunSchedule(const ReplicaGroup::Options& aOptions,
            const std::vector<FaultStep>& aSteps)
{
  ReplicaGroup group(aOptions);
  // Founded, unless the first fault comes in between.
  group.RunFor(std::chrono::milliseconds{ 250 });
  for (const FaultStep& step : aSteps) {
    group.Execute(step);
    group.Propose();
  }
  group.Settle();
  return group.Report();
}

} // namespace rattandyke::testing
