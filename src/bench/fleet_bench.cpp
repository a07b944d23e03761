/// Figures of what one heartbeat and one command cost as a fleet grows.
#include <string>

#include "allocation/allocation_counter.h"
#include "bench/bench.h"
#include "gateway/upstream_set.h"
#include "testing/simulated_leader.h"

namespace rattandyke::bench {
namespace {

using gateway::testing::HeartbeatFrom;
using gateway::testing::SimulatedLeader;

constexpr size_t kFew = 100;
constexpr size_t kMany = 800;
constexpr uint64_t kCalls = 2000;
/// Of a heartbeat that changes nothing: its answer with one row, and what finds
/// it. As many at any number of upstreams.
constexpr double kMostAllocations = 12;
/// A leader answers each upstream once a second with at most a fifth of half a
/// core, at 800 upstreams: 125 us each.
constexpr double kMostHeartbeatNanoseconds = 125'000;
/// An entry takes a command for each of 800 upstreams, as a fleet starts, in a
/// second of a tenth of a core.
constexpr double kMostTakenNanoseconds = 125'000;

std::string
NameOf(size_t aNumber)
{
  return "i-" + std::to_string(100'000 + aNumber);
}

gateway::Heartbeat
HeartbeatOf(size_t aNumber, uint64_t aSequence)
{
  gateway::Heartbeat heartbeat = HeartbeatFrom(NameOf(aNumber), aSequence);
  heartbeat.address = "10.0." + std::to_string(aNumber / 200) + "." +
                      std::to_string(aNumber % 200) + ":80";
  return heartbeat;
}

/// A service whose keys are shared out among so many upstreams.
struct Fleet
{
  explicit Fleet(size_t aUpstreams)
    : upstreams(aUpstreams)
  {
    constexpr int kRounds = 6;
    for (int round = 0; round < kRounds; ++round) {
      ++sequence;
      for (size_t number = 0; number < upstreams; ++number) {
        leader.HandleHeartbeat(HeartbeatOf(number, sequence));
      }
      leader.AdvanceTime(gateway::testing::kHeartbeatInterval);
    }
    ++sequence;
  }

  /// Heartbeats of all upstreams in turn.
  void Next()
  {
    KeepAlive(leader.HandleHeartbeat(HeartbeatOf(next, sequence)));
    if (++next == upstreams) {
      next = 0;
      ++sequence;
    }
  }

  const size_t upstreams;
  SimulatedLeader leader;
  uint64_t sequence = 0;
  size_t next = 0;
};

void
RunFleet(Reporter& aReporter)
{
  Fleet few(kFew);
  Fleet many(kMany);
  aReporter.Printed("fleet_heartbeat_100",
                    NanosecondsPerCall(kCalls, [&] { few.Next(); }),
                    "ns");
  const double nanoseconds = NanosecondsPerCall(kCalls, [&] { many.Next(); });
  aReporter.AtMost(
    "fleet_heartbeat_800", nanoseconds, "ns", kMostHeartbeatNanoseconds);
  const gateway::Heartbeat heartbeat = HeartbeatOf(many.next, many.sequence);
  const auto count = allocation::During(
    [&] { KeepAlive(many.leader.HandleHeartbeat(heartbeat)); });
  aReporter.AtMost("fleet_heartbeat_allocations",
                   static_cast<double>(count.allocations),
                   "count",
                   kMostAllocations);

  gateway::UpstreamSet upstreams(kSeed, { std::chrono::seconds{ 2 } });
  upstreams.Update(many.leader.state, many.leader.now);
  const double taken = NanosecondsPerCall(kCalls, [&] {
    upstreams.Update(many.leader.state, NameOf(0), many.leader.now);
  });
  aReporter.AtMost(
    "fleet_one_upstream_800", taken, "ns", kMostTakenNanoseconds);
  aReporter.Printed("fleet_all_upstreams_800",
                    NanosecondsPerCall(kCalls / 100,
                                       [&] {
                                         upstreams.Update(many.leader.state,
                                                          many.leader.now);
                                       }),
                    "ns");
}

const Registration sFleet("fleet", RunFleet);

} // namespace
} // namespace rattandyke::bench
