#include <algorithm>

#include "control/mover.h"

// The mover's use of placement policies.

namespace rattandyke::control {

namespace {

// Moves for balance or draining under way at once, as a share of the slots.
constexpr size_t kSlotsPerMove = 16;
// A service without changes is looked at this often: cold starts end, loads
// shift, upstreams that did not let go are asked again.
constexpr std::chrono::seconds kIdlePlanning{ 1 };
// Planning costs about this for each slot; a large service is planned less
// often, so that a storm of changes cannot keep the leader busy with it.
constexpr std::chrono::microseconds kPlanningPerSlot{ 1 };

placement::Condition
ToCondition(const UpstreamEntry& aEntry)
{
  if (aEntry.IsForgotten() || aEntry.IsLost()) {
    return placement::Condition::Gone;
  }
  return aEntry.IsActive() ? placement::Condition::Active
                           : placement::Condition::Draining;
}

wire::MoveReason
ToWire(placement::Reason aReason)
{
  switch (aReason) {
    case placement::Reason::NoOwner:
      return wire::MOVE_REASON_OWNER_LOST;
    case placement::Reason::OwnerDraining:
      return wire::MOVE_REASON_OWNER_DRAINING;
    case placement::Reason::Balance:
      return wire::MOVE_REASON_BALANCE;
    case placement::Reason::Load:
      return wire::MOVE_REASON_LOAD;
    case placement::Reason::HotKey:
      return wire::MOVE_REASON_HOT_KEY;
  }
  return wire::MOVE_REASON_UNSPECIFIED;
}

placement::Wishes
ToWishes(const records::ServiceRecord& aRecord)
{
  return { aRecord.weights.imbalance,
           aRecord.weights.churn,
           aRecord.weights.unavailable,
           aRecord.coldStart,
           aRecord.deadlineWindow };
}

/// Why the free holding came to have no owner.
wire::MoveReason
GrantReason(const Holding& aHolding)
{
  return aHolding.fence == 0 ? wire::MOVE_REASON_FIRST_OWNER : aHolding.reason;
}

} // namespace

placement::Input
Mover::MakeInput(const ServiceAssignments& aOwners,
                 const Service& aService,
                 Instant aNow) const
{
  placement::Input input;
  input.wishes = ToWishes(*aService.record);
  input.upstreams.reserve(aOwners.upstreams.size());
  for (const UpstreamEntry& entry : aOwners.upstreams) {
    placement::Upstream& added = input.upstreams.emplace_back();
    const WallTime start{ std::chrono::milliseconds(
      entry.view.start_unix_ms()) };
    added.name = entry.view.name();
    added.dataCentre = entry.view.data_centre();
    added.capacity = std::max(1U, entry.view.slots());
    added.condition = ToCondition(entry);
    added.age = std::max(mWall - start, std::chrono::milliseconds{ 0 });
  }
  const auto rests = [&](const Holding& aHolding) {
    const UpstreamEntry* owner = aOwners.At(aHolding.owner);
    if (owner == nullptr) {
      return false;
    }
    const auto rest = aService.restUntil.find(owner->view.name());
    return rest != aService.restUntil.end() && aNow < rest->second;
  };
  input.slots.reserve(aOwners.slots.size());
  for (const Holding& holding : aOwners.slots) {
    placement::Slot& added = input.slots.emplace_back();
    added.owner = holding.owner.value;
    added.resting = rests(holding);
  }
  for (const auto& [key, holding] : aOwners.hotKeys) {
    if (!holding.removed) {
      placement::HotKey& added = input.hotKeys.emplace_back();
      added.owner = holding.owner.value;
      added.resting = rests(holding);
    }
  }
  const size_t most = std::max<size_t>(1, aOwners.slots.size() / kSlotsPerMove);
  const size_t moving = aOwners.freeSlots.size();
  const bool held = aNow < aService.holdUntil;
  input.mostMoves = held || moving >= most ? 0 : most - moving;
  return input;
}

bool
Mover::IsPlanDue(const ServiceAssignments& aOwners,
                 const Service& aService,
                 bool aCanGrant,
                 Instant aNow) const
{
  const Duration passed = aNow - aService.plannedAt;
  if (passed < kPlanningPerSlot * aOwners.slots.size()) {
    return false;
  }
  return aCanGrant || aOwners.changed != aService.plannedChange ||
         passed >= kIdlePlanning;
}

void
Mover::Decide(const ServiceAssignments& aOwners,
              Service& aService,
              const std::vector<Free>& aFree,
              Instant aNow,
              Decision& aDecision)
{
  std::map<uint32_t, const Free*> slots;
  std::map<std::string, const Free*> keys;
  for (const Free& free : aFree) {
    if (!HasLetGo(aOwners, *free.holding, aNow)) {
      continue;
    }
    if (free.fence.key().empty()) {
      slots.emplace(free.fence.slot(), &free);
    } else {
      keys.emplace(free.fence.key(), &free);
    }
  }
  const bool canGrant = !slots.empty() || !keys.empty();
  if (!IsPlanDue(aOwners, aService, canGrant, aNow)) {
    return;
  }
  aService.plannedAt = aNow;
  aService.plannedChange = aOwners.changed;
  const placement::Input input = MakeInput(aOwners, aService, aNow);
  const placement::Plan plan = aService.policy->Decide(input);
  const auto grant = [&](const Free& aGranted, uint32_t aTarget) {
    const wire::Upstream& target = aOwners.upstreams[aTarget].view;
    wire::SlotGrant& added = *aDecision.grants.add_grants();
    *added.mutable_released() = aGranted.fence;
    added.set_upstream(target.name());
    added.set_incarnation(target.incarnation());
    added.set_reason(GrantReason(*aGranted.holding));
  };
  for (const placement::SlotMove& move : plan.slots) {
    if (input.slots[move.slot].owner == placement::kNobody) {
      if (const auto free = slots.find(move.slot); free != slots.end()) {
        grant(*free->second, move.target);
      }
      continue;
    }
    wire::SlotFence& released =
      *aDecision.releases[ToWire(move.reason)].add_slots();
    released.set_slot(move.slot);
    released.set_fence(aOwners.slots[move.slot].fence);
  }
  for (const placement::KeyMove& move : plan.keys) {
    auto key = aOwners.hotKeys.begin();
    for (uint32_t skipped = 0;; ++key) {
      if (!key->second.removed && skipped++ == move.key) {
        break;
      }
    }
    if (key->second.owner == kNobody) {
      if (const auto free = keys.find(key->first); free != keys.end()) {
        grant(*free->second, move.target);
      }
      continue;
    }
    wire::SlotFence& released =
      *aDecision.releases[ToWire(move.reason)].add_slots();
    released.set_key(key->first);
    released.set_fence(key->second.fence);
  }
}

} // namespace rattandyke::control
