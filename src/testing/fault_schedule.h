/// Random fault schedules for benchmarks; tests let RapidCheck draw theirs.
#pragma once

#include <vector>

#include "testing/replica_group.h"

namespace rattandyke::testing {

/// Options that make snapshots, compaction and repair happen within a short
/// schedule.
ReplicaGroup::Options ScheduleOptions(size_t aHosts, uint64_t aSeed);

/// @return aLength steps, the same for the same seed.
std::vector<FaultStep> RandomSchedule(uint64_t aSeed, size_t aLength);

/// Runs a schedule on a new group, then lets it settle.
GroupReport RunSchedule(const ReplicaGroup::Options& aOptions,
                        const std::vector<FaultStep>& aSteps);

} // namespace rattandyke::testing
