#include <iostream>

#include "bench/bench.h"
#include "testing/fault_schedule.h"

namespace rattandyke::bench {
namespace {

using std::chrono::milliseconds;
using testing::FaultStep;
using testing::GroupReport;
using testing::ReplicaGroup;

constexpr uint64_t kSchedules = 20000;
constexpr size_t kStepsPerSchedule = 14;
constexpr uint64_t kLeaderLosses = 500;

double
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

void
RunFaultSchedules(Reporter& aReporter)
{
  uint64_t violated = 0;
  uint64_t lost = 0;
  uint64_t leaders = 0;
  uint64_t acknowledged = 0;
  uint64_t elections = 0;
  for (uint64_t i = 0; i < kSchedules; ++i) {
    const size_t hosts = 3 + 2 * (i % 3);
    const GroupReport report = testing::RunSchedule(
      testing::ScheduleOptions(hosts, kSeed + i),
      testing::RandomSchedule(kSeed + i, kStepsPerSchedule));
    violated += report.violation.empty() ? 0 : 1;
    lost += report.acknowledgedLost;
    leaders = std::max(leaders, report.leadersPerTermMax);
    acknowledged += report.acknowledged;
    elections += report.elections;
    if (!report.violation.empty()) {
      std::cerr << "schedule " << i << ": " << report.violation << '\n';
    }
  }
  aReporter.AtLeast("log_schedules", kSchedules, "count", 20000);
  aReporter.Printed("log_schedules_acknowledged", acknowledged, "count");
  aReporter.Printed("log_schedules_elections", elections, "count");
  aReporter.AtMost("log_schedules_violated", violated, "count", 0);
  aReporter.AtMost("acknowledged_lost", lost, "count", 0);
  aReporter.AtMost("leaders_per_term_max", leaders, "count", 1);
}

/// @return how long no change was acknowledged after the leader was lost.
Duration
WriteGap(FaultStep::Kind aLoss, uint64_t aSeed)
{
  ReplicaGroup::Options options;
  options.hosts = aSeed % 2 == 0 ? 3 : 5;
  options.seed = aSeed;
  ReplicaGroup group(options);
  group.RunFor(milliseconds{ 500 + aSeed % 97 });
  const auto leader = static_cast<uint8_t>(group.Leader().value());
  group.Propose();
  group.RunFor(milliseconds{ 20 });
  const Duration lostAt = group.Elapsed();
  group.Execute({ aLoss, leader, 0, milliseconds{ 0 } });
  while (group.LastAcknowledgement() < lostAt) {
    group.Propose();
    group.RunFor(milliseconds{ 2 });
  }
  return group.LastAcknowledgement() - lostAt;
}

void
MeasureLeaderLoss(Reporter& aReporter)
{
  std::vector<double> gaps;
  for (uint64_t i = 0; i < kLeaderLosses; ++i) {
    for (const auto loss : { FaultStep::Kind::Crash, FaultStep::Kind::Pause }) {
      gaps.push_back(ToMilliseconds(WriteGap(loss, kSeed + i)));
    }
  }
  aReporter.AtMost(
    "control_leader_loss_write_gap_ms_p99", Percentile(gaps, 0.99), "ms", 1000);
  aReporter.Printed(
    "control_leader_loss_write_gap_ms_p50", Percentile(gaps, 0.5), "ms");
  aReporter.Printed(
    "control_leader_loss_write_gap_ms_max", Percentile(gaps, 1), "ms");
  std::vector<double> handOvers;
  for (uint64_t i = 0; i < kLeaderLosses; ++i) {
    handOvers.push_back(
      ToMilliseconds(WriteGap(FaultStep::Kind::Transfer, kSeed + i)));
  }
  aReporter.AtMost("control_leader_handover_write_gap_ms_p99",
                   Percentile(handOvers, 0.99),
                   "ms",
                   100);
}

/// @param aPerMillisecond changes proposed together each millisecond.
void
MeasureLoad(Reporter& aReporter,
            const std::string& aName,
            size_t aPerMillisecond)
{
  constexpr size_t kHosts = 5;
  ReplicaGroup::Options options;
  options.hosts = kHosts;
  options.seed = kSeed;
  options.countBytes = true;
  options.payloadBytes = 200;
  ReplicaGroup group(options);
  group.RunFor(milliseconds{ 500 });
  group.ResetCounts();
  const uint64_t before = group.Report().committed;
  for (int i = 0; i < 1000; ++i) {
    group.Propose(aPerMillisecond);
    group.RunFor(milliseconds{ 1 });
  }
  group.RunFor(milliseconds{ 50 });
  const GroupReport report = group.Report();
  const double entries = static_cast<double>(report.committed - before);
  const double followers = kHosts - 1;
  aReporter.Printed("log_entries_per_second_" + aName, entries, "count");
  aReporter.AtMost("log_syncs_per_entry_and_host_" + aName,
                   report.syncs / entries / kHosts,
                   "count",
                   aPerMillisecond > 1 ? 0.1 : 0.5);
  aReporter.AtMost("log_messages_per_entry_and_follower_" + aName,
                   report.messages / entries / followers,
                   "count",
                   aPerMillisecond > 1 ? 0.5 : 2.2);
  aReporter.AtMost("log_bytes_per_entry_and_follower_" + aName,
                   report.bytes / entries / followers,
                   "bytes",
                   aPerMillisecond > 1 ? 300 : 450);
}

void
MeasureRest(Reporter& aReporter)
{
  ReplicaGroup::Options options;
  options.hosts = 5;
  options.seed = kSeed;
  options.countBytes = true;
  ReplicaGroup group(options);
  group.RunFor(std::chrono::seconds{ 1 });
  group.ResetCounts();
  group.RunFor(std::chrono::seconds{ 10 });
  const GroupReport report = group.Report();
  aReporter.AtMost("log_messages_per_second_at_rest_per_follower",
                   report.messages / 10.0 / 4,
                   "count",
                   40);
  aReporter.Printed("log_bytes_per_second_at_rest_per_follower",
                    report.bytes / 10.0 / 4,
                    "bytes");
  aReporter.AtMost("log_syncs_at_rest", report.syncs, "count", 0);
}

const Registration sSchedules("consensus_schedules", RunFaultSchedules);

const Registration sLeaderLoss("consensus_leader_loss", MeasureLeaderLoss);

const Registration sLoad("consensus_load", [](Reporter& aReporter) {
  MeasureLoad(aReporter, "light", 1);
  MeasureLoad(aReporter, "heavy", 20);
  MeasureRest(aReporter);
});

} // namespace
} // namespace rattandyke::bench
