#include <algorithm>

#include "control/assignments.h"

namespace rattandyke::control {

namespace {

// Positions are saved from 1, so that "nobody" is protobuf's default.
uint32_t
ToSaved(UpstreamId aId)
{
  return aId == kNobody ? 0 : aId.value + 1;
}

UpstreamId
FromSaved(uint32_t aSaved)
{
  return aSaved == 0 ? kNobody : UpstreamId{ aSaved - 1 };
}

void
SaveHolding(const Holding& aHolding, wire::HoldingSnapshot& aSaved)
{
  aSaved.set_owner(ToSaved(aHolding.owner));
  aSaved.set_fence(aHolding.fence);
  aSaved.set_previous(ToSaved(aHolding.previous));
  aSaved.set_previous_incarnation(aHolding.previousIncarnation);
  aSaved.set_reason(aHolding.reason);
  aSaved.set_since_unix_ms(aHolding.since.time_since_epoch().count());
  aSaved.set_changed(aHolding.changed);
  aSaved.set_removed(aHolding.removed);
}

Holding
LoadHolding(const wire::HoldingSnapshot& aSaved)
{
  return { FromSaved(aSaved.owner()),
           aSaved.fence(),
           FromSaved(aSaved.previous()),
           aSaved.previous_incarnation(),
           aSaved.reason(),
           WallTime(std::chrono::milliseconds(aSaved.since_unix_ms())),
           aSaved.changed(),
           aSaved.removed() };
}

void
SaveUpstream(const UpstreamEntry& aEntry, wire::UpstreamSnapshot& aSaved)
{
  *aSaved.mutable_upstream() = aEntry.view;
  aSaved.set_home_session(aEntry.homeSession);
  aSaved.set_moved_home(aEntry.movedHome);
  aSaved.set_drained_by_operator(aEntry.drainedByOperator);
  aSaved.set_draining_announced(aEntry.drainingAnnounced);
  for (const uint64_t incarnation : aEntry.superseded) {
    aSaved.add_superseded(incarnation);
  }
  aSaved.set_changed(aEntry.changed);
  aSaved.set_lost_unix_ms(aEntry.lostAt.time_since_epoch().count());
}

UpstreamEntry
LoadUpstream(const wire::UpstreamSnapshot& aSaved)
{
  UpstreamEntry entry;
  entry.view = aSaved.upstream();
  entry.homeSession = aSaved.home_session();
  entry.movedHome = aSaved.moved_home();
  entry.drainedByOperator = aSaved.drained_by_operator();
  entry.drainingAnnounced = aSaved.draining_announced();
  entry.superseded.assign(aSaved.superseded().begin(),
                          aSaved.superseded().end());
  entry.changed = aSaved.changed();
  entry.lostAt = WallTime(std::chrono::milliseconds(aSaved.lost_unix_ms()));
  return entry;
}

void
SaveService(const ServiceAssignments& aService, wire::ServiceSnapshot& aSaved)
{
  aSaved.set_service(aService.name);
  for (const UpstreamEntry& entry : aService.upstreams) {
    SaveUpstream(entry, *aSaved.add_upstreams());
  }
  for (const Holding& holding : aService.slots) {
    SaveHolding(holding, *aSaved.add_slots());
  }
  for (const auto& [key, holding] : aService.hotKeys) {
    wire::HoldingSnapshot& saved = *aSaved.add_hot_keys();
    SaveHolding(holding, saved);
    saved.set_key(key);
  }
}

void
LoadSlots(const wire::ServiceSnapshot& aSaved, ServiceAssignments& aService)
{
  aService.slots.reserve(aSaved.slots_size());
  for (const wire::HoldingSnapshot& saved : aSaved.slots()) {
    const auto slot = static_cast<uint32_t>(aService.slots.size());
    const Holding& holding = aService.slots.emplace_back(LoadHolding(saved));
    if (holding.owner == kNobody) {
      aService.freeSlots.insert(aService.freeSlots.end(), slot);
    } else {
      aService.upstreams[holding.owner.value].slots.push_back(slot);
    }
    aService.changed = std::max(aService.changed, holding.changed);
  }
}

void
LoadHotKeys(const wire::ServiceSnapshot& aSaved, ServiceAssignments& aService)
{
  for (const wire::HoldingSnapshot& saved : aSaved.hot_keys()) {
    const Holding holding = LoadHolding(saved);
    aService.hotKeys.emplace(saved.key(), holding);
    if (holding.owner != kNobody) {
      aService.upstreams[holding.owner.value].hotKeys.insert(saved.key());
    } else if (!holding.removed) {
      aService.freeHotKeys.insert(saved.key());
    }
    aService.changed = std::max(aService.changed, holding.changed);
  }
}

std::set<uint32_t>
Forgettable(const ServiceAssignments& aService, WallTime aLostBefore)
{
  std::set<uint32_t> ids;
  for (uint32_t id = 0; id < aService.upstreams.size(); ++id) {
    const UpstreamEntry& entry = aService.upstreams[id];
    if (!entry.IsForgotten() && entry.IsLost() && entry.lostAt < aLostBefore) {
      ids.insert(id);
    }
  }
  if (ids.empty()) {
    return ids;
  }
  for (const uint32_t slot : aService.freeSlots) {
    ids.erase(aService.slots[slot].previous.value);
  }
  for (const std::string& key : aService.freeHotKeys) {
    ids.erase(aService.hotKeys.at(key).previous.value);
  }
  return ids;
}

void
ForgetPrevious(Holding& aHolding, const std::set<uint32_t>& aGone)
{
  if (aGone.contains(aHolding.previous.value)) {
    aHolding.previous = kNobody;
  }
}

} // namespace

wire::SlotOwner
Assignments::SlotOwnerOf(const ServiceAssignments& aService,
                         uint32_t aSlot) const
{
  const Holding& holding = aService.slots[aSlot];
  wire::SlotOwner owner;
  owner.set_service(aService.name);
  owner.set_slot(aSlot);
  owner.set_fence(holding.fence);
  if (const UpstreamEntry* entry = aService.At(holding.owner)) {
    owner.set_upstream(entry->view.name());
  } else if (const UpstreamEntry* previous = aService.At(holding.previous)) {
    owner.set_previous(previous->view.name());
  }
  return owner;
}

wire::SlotOwner
Assignments::KeyOwnerOf(const ServiceAssignments& aService,
                        const std::string& aKey) const
{
  const Holding& holding = aService.hotKeys.at(aKey);
  wire::SlotOwner owner;
  owner.set_service(aService.name);
  owner.set_key(aKey);
  owner.set_fence(holding.fence);
  owner.set_removed(holding.removed);
  if (const UpstreamEntry* entry = aService.At(holding.owner)) {
    owner.set_upstream(entry->view.name());
  } else if (const UpstreamEntry* previous = aService.At(holding.previous)) {
    owner.set_previous(previous->view.name());
  }
  return owner;
}

Forgotten
Assignments::Forget(WallTime aLostBefore)
{
  Forgotten forgotten;
  for (auto& [name, service] : mServices) {
    std::erase_if(service.hotKeys, [&](const auto& aItem) {
      const Holding& holding = aItem.second;
      const bool old = holding.removed && holding.since < aLostBefore;
      if (old) {
        forgotten.newestHotKey =
          std::max(forgotten.newestHotKey, holding.changed);
      }
      return old;
    });
    const std::set<uint32_t> gone = Forgettable(service, aLostBefore);
    if (gone.empty()) {
      continue;
    }
    forgotten.upstreams = true;
    for (const uint32_t id : gone) {
      service.idByName.erase(service.upstreams[id].view.name());
      service.upstreams[id] = UpstreamEntry{};
      service.forgotten.insert(id);
    }
    for (Holding& holding : service.slots) {
      ForgetPrevious(holding, gone);
    }
    for (auto& [key, holding] : service.hotKeys) {
      ForgetPrevious(holding, gone);
    }
  }
  return forgotten;
}

void
Assignments::Save(wire::StateSnapshot& aSnapshot) const
{
  for (const auto& [name, service] : mServices) {
    SaveService(service, *aSnapshot.add_services());
  }
}

void
Assignments::Load(const wire::StateSnapshot& aSnapshot)
{
  mServices.clear();
  for (const wire::ServiceSnapshot& saved : aSnapshot.services()) {
    ServiceAssignments& service = Service(saved.service());
    for (const wire::UpstreamSnapshot& upstream : saved.upstreams()) {
      const UpstreamId id{ static_cast<uint32_t>(service.upstreams.size()) };
      const UpstreamEntry& entry =
        service.upstreams.emplace_back(LoadUpstream(upstream));
      if (entry.IsForgotten()) {
        service.forgotten.insert(id.value);
      } else {
        service.idByName.emplace(entry.view.name(), id);
      }
      service.changed = std::max(service.changed, entry.changed);
    }
    LoadSlots(saved, service);
    LoadHotKeys(saved, service);
  }
}

} // namespace rattandyke::control
