/// The least_moves policy, and planning and tables at full size.
#include <limits>
#include <numeric>

#include <rattandyke/placement.h>

#include "bench/bench.h"
#include "control/state.h"
#include "routing/routing_table.h"

namespace rattandyke::bench {
namespace {

using placement::Input;
using placement::Plan;

constexpr uint32_t kSlots = 256;
constexpr uint32_t kUpstreams = 14;
constexpr uint32_t kKeys = 1'000'000;
constexpr int kChanges = 40;
constexpr uint32_t kFullUpstreams = 18'000;
constexpr uint32_t kSlotsPerUpstream = 16;
constexpr uint32_t kFullHotKeys = 500;

std::unique_ptr<placement::Policy>
MakePolicy()
{
  return std::move(*placement::PolicyRegistry::Make("least_moves"));
}

Input
MakeInput(uint32_t aUpstreams, uint32_t aSlots)
{
  Input input;
  input.upstreams.resize(aUpstreams);
  for (placement::Upstream& upstream : input.upstreams) {
    upstream.capacity = 2;
  }
  input.slots.resize(aSlots);
  input.mostMoves = aSlots;
  return input;
}

/// Carries the plan out. @return how many slots changed.
size_t
Carry(const Plan& aPlan, Input& aInput)
{
  for (const placement::SlotMove& move : aPlan.slots) {
    aInput.slots[move.slot].owner = move.target;
  }
  return aPlan.slots.size();
}

std::vector<double>
LoadOfOwners(const Input& aInput, const std::vector<double>& aSlotLoads)
{
  std::vector<double> loads(aInput.upstreams.size());
  for (size_t slot = 0; slot < aSlotLoads.size(); ++slot) {
    loads[aInput.slots[slot].owner] += aSlotLoads[slot];
  }
  return loads;
}

double
Imbalance(const std::vector<double>& aLoads)
{
  const double sum = std::accumulate(aLoads.begin(), aLoads.end(), 0.0);
  const double mean = sum / static_cast<double>(aLoads.size());
  return *std::max_element(aLoads.begin(), aLoads.end()) / mean;
}

void
ReportUniform(Reporter& aReporter)
{
  std::vector<double> loads(kSlots);
  for (uint32_t key = 0; key < kKeys; ++key) {
    loads[routing::SlotOf("key-" + std::to_string(key), kSlots).value] += 1;
  }
  const auto policy = MakePolicy();
  Input input = MakeInput(kUpstreams, kSlots);
  Carry(policy->Decide(input), input);
  aReporter.AtMost("placement_imbalance_uniform",
                   Imbalance(LoadOfOwners(input, loads)),
                   "ratio",
                   1.05);
  aReporter.AtMost("placement_moves_when_even",
                   static_cast<double>(policy->Decide(input).slots.size()),
                   "count",
                   0);
}

/// Upstreams join and leave in turn; the least that must move is what a leaver
/// owned, and the whole part of a joiner's fair share.
void
ReportChurn(Reporter& aReporter)
{
  Random random(kSeed);
  const auto policy = MakePolicy();
  Input input = MakeInput(kUpstreams, kSlots);
  Carry(policy->Decide(input), input);
  size_t moved = 0;
  size_t least = 0;
  for (int change = 0; change < kChanges; ++change) {
    if (change % 2 == 0) {
      const auto leaver =
        static_cast<uint32_t>(random() % input.upstreams.size());
      input.upstreams[leaver].condition = placement::Condition::Gone;
      for (placement::Slot& slot : input.slots) {
        least += slot.owner == leaver ? 1 : 0;
        slot.owner = slot.owner == leaver ? placement::kNobody : slot.owner;
      }
    } else {
      for (placement::Upstream& upstream : input.upstreams) {
        upstream.condition = placement::Condition::Active;
      }
      least += kSlots / kUpstreams;
    }
    moved += Carry(policy->Decide(input), input);
  }
  aReporter.AtMost("placement_moved_over_minimum",
                   static_cast<double>(moved) / static_cast<double>(least),
                   "ratio",
                   1.05);
}

/// @return microseconds an upstream takes of one plan after a join.
double
PlanningCost(uint32_t aUpstreams)
{
  const auto policy = MakePolicy();
  Input input = MakeInput(aUpstreams, aUpstreams * kSlotsPerUpstream);
  Carry(policy->Decide(input), input);
  input.upstreams.emplace_back().capacity = 2;
  input.mostMoves = kSlotsPerUpstream;
  constexpr uint64_t kRounds = 3;
  const double time =
    NanosecondsPerCall(kRounds, [&] { KeepAlive(policy->Decide(input)); });
  constexpr double kNanosecondsInMicrosecond = 1000;
  return time / kNanosecondsInMicrosecond / aUpstreams;
}

void
ReportPlanning(Reporter& aReporter)
{
  // The least of several turns: other work on the machine only adds.
  constexpr int kTurns = 10;
  double tenth = std::numeric_limits<double>::max();
  double full = tenth;
  for (int turn = 0; turn < kTurns; ++turn) {
    tenth = std::min(tenth, PlanningCost(kFullUpstreams / 10));
    full = std::min(full, PlanningCost(kFullUpstreams));
  }
  aReporter.Printed("planning_us_per_upstream_tenth", tenth, "us");
  aReporter.Printed("planning_us_per_upstream_full", full, "us");
  aReporter.AtMost("planning_full_over_tenth", full / tenth, "ratio", 1.5);
}

/// Builds the state of one service at full size through its commands.
class FullState
{
public:
  FullState()
  {
    wire::Command submit;
    wire::Record& record = *submit.mutable_submit_record()->mutable_record();
    record.set_kind("service");
    record.set_name("board");
    record.set_schema_version(1);
    const uint32_t slots = kFullUpstreams * kSlotsPerUpstream;
    record.set_body_json("{\"slots\": " + std::to_string(slots) + "}");
    Apply(submit);
    Register();
    GrantAll();
    GrantHotKeys();
  }

  control::State state;

private:
  void Apply(const wire::Command& aCommand)
  {
    state.Apply(LogIndex{ ++mIndex }, aCommand);
  }

  static std::string NameOf(uint32_t aUpstream)
  {
    return "board-" + std::to_string(aUpstream);
  }

  void Register()
  {
    wire::Command command;
    for (uint32_t at = 0; at < kFullUpstreams; ++at) {
      wire::UpstreamRegistration& added =
        *command.mutable_register_upstreams()->add_registrations();
      wire::Upstream& upstream = *added.mutable_announced();
      upstream.set_service("board");
      upstream.set_name(NameOf(at));
      upstream.set_incarnation(at + 1);
      upstream.set_address("10.1.2.3:" + std::to_string(1 + at));
      upstream.set_data_centre("kolkata-1");
      upstream.set_slots(2);
      upstream.set_checks_fences(true);
      added.set_home("host-" + std::to_string(at % 11));
    }
    Apply(command);
  }

  void GrantAll()
  {
    for (uint32_t at = 0; at < kFullUpstreams; ++at) {
      wire::Command command;
      command.mutable_grant_slots()->set_service("board");
      for (uint32_t slot = 0; slot < kSlotsPerUpstream; ++slot) {
        wire::SlotGrant& grant = *command.mutable_grant_slots()->add_grants();
        grant.mutable_released()->set_slot(at * kSlotsPerUpstream + slot);
        grant.set_upstream(NameOf(at));
        grant.set_incarnation(at + 1);
      }
      Apply(command);
    }
  }

  void GrantHotKeys()
  {
    const auto* service = state.Owners().Find("board");
    for (uint32_t at = 0; at < kFullHotKeys; ++at) {
      wire::Command release;
      release.mutable_release_slots()->set_service("board");
      wire::SlotFence& key = *release.mutable_release_slots()->add_slots();
      key.set_key("hot-key-" + std::to_string(at));
      key.set_slot(at);
      key.set_fence(service->slots[at].fence);
      Apply(release);
      wire::Command command;
      command.mutable_grant_slots()->set_service("board");
      wire::SlotGrant& grant = *command.mutable_grant_slots()->add_grants();
      grant.mutable_released()->set_key(key.key());
      grant.mutable_released()->set_fence(mIndex);
      grant.set_upstream(NameOf(at + 1));
      grant.set_incarnation(at + 2);
      Apply(command);
    }
  }

  uint64_t mIndex = 0;
};

void
ReportFullSize(Reporter& aReporter)
{
  FullState full;
  const auto size = [&](TableVersion aSince) {
    return static_cast<double>(full.state.UpdateSince(aSince).ByteSizeLong());
  };
  const TableVersion newest = full.state.Version();
  // One message between hosts holds at most 16 MiB.
  constexpr double kMostMessage = 16.0 * 1024 * 1024;
  aReporter.AtMost("table_update_whole_bytes", size({}), "bytes", kMostMessage);
  aReporter.Printed(
    "table_update_one_change_bytes", size({ newest.value - 1 }), "bytes");
  aReporter.Printed("snapshot_bytes_at_full_size",
                    static_cast<double>(full.state.Snapshot().size()),
                    "bytes");
}

const Registration sPlacement("placement", [](Reporter& aReporter) {
  ReportUniform(aReporter);
  ReportChurn(aReporter);
  ReportPlanning(aReporter);
  ReportFullSize(aReporter);
});

} // namespace
} // namespace rattandyke::bench
