#include "control/assignments.h"

#include <algorithm>

namespace rattandyke::control {

namespace {

// Enough to refuse every earlier life that can still be running.
constexpr size_t kMostSuperseded = 16;

bool
IsSuperseded(const UpstreamEntry& aEntry, uint64_t aIncarnation)
{
  const auto& old = aEntry.superseded;
  return std::find(old.begin(), old.end(), aIncarnation) != old.end();
}

void
Supersede(UpstreamEntry& aEntry)
{
  aEntry.superseded.push_back(aEntry.view.incarnation());
  if (aEntry.superseded.size() > kMostSuperseded) {
    aEntry.superseded.erase(aEntry.superseded.begin());
  }
}

wire::UpstreamState
LiveState(const UpstreamEntry& aEntry)
{
  return aEntry.drainedByOperator || aEntry.drainingAnnounced
           ? wire::UPSTREAM_STATE_DRAINING
           : wire::UPSTREAM_STATE_ACTIVE;
}

ChangedItem
SlotItem(const std::string& aService, uint32_t aSlot)
{
  return { ChangedItem::Kind::Slot, aService, "", aSlot };
}

ChangedItem
KeyItem(const std::string& aService, const std::string& aKey)
{
  return { ChangedItem::Kind::HotKey, aService, aKey, 0 };
}

} // namespace

const UpstreamEntry*
ServiceAssignments::Find(const std::string& aUpstream) const
{
  const auto found = idByName.find(aUpstream);
  return found == idByName.end() ? nullptr : &upstreams[found->second.value];
}

const UpstreamEntry*
ServiceAssignments::At(UpstreamId aId) const
{
  return aId == kNobody ? nullptr : &upstreams[aId.value];
}

Assignments::Assignments(Mark aMark)
  : mMark(std::move(aMark))
{
}

ServiceAssignments&
Assignments::Service(const std::string& aName)
{
  ServiceAssignments& service = mServices[aName];
  service.name = aName;
  return service;
}

ServiceAssignments*
Assignments::FindMutable(const std::string& aName)
{
  const auto found = mServices.find(aName);
  return found == mServices.end() ? nullptr : &found->second;
}

const ServiceAssignments*
Assignments::Find(const std::string& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? nullptr : &found->second;
}

const UpstreamEntry*
Assignments::FindUpstream(const std::string& aService,
                          const std::string& aUpstream) const
{
  const ServiceAssignments* service = Find(aService);
  return service == nullptr ? nullptr : service->Find(aUpstream);
}

void
Assignments::EnsureSlots(const std::string& aService, uint32_t aSlots)
{
  ServiceAssignments& service = Service(aService);
  if (!service.slots.empty()) {
    return;
  }
  service.slots.resize(aSlots);
  for (uint32_t slot = 0; slot < aSlots; ++slot) {
    service.freeSlots.insert(service.freeSlots.end(), slot);
  }
}

void
Assignments::MarkUpstream(LogIndex aIndex,
                          ServiceAssignments& aService,
                          UpstreamEntry& aEntry)
{
  aEntry.changed = aIndex.value;
  aService.changed = aIndex.value;
  mMark({ ChangedItem::Kind::Upstream, aService.name, aEntry.view.name(), 0 });
}

UpstreamId
Assignments::NewId(ServiceAssignments& aService)
{
  if (!aService.forgotten.empty()) {
    return { aService.forgotten.extract(aService.forgotten.begin()).value() };
  }
  aService.upstreams.emplace_back();
  return { static_cast<uint32_t>(aService.upstreams.size() - 1) };
}

void
Assignments::Register(LogIndex aIndex,
                      const wire::UpstreamRegistration& aRegistration,
                      WallTime aNow)
{
  const wire::Upstream& announced = aRegistration.announced();
  ServiceAssignments& service = Service(announced.service());
  auto id = service.idByName.find(announced.name());
  const bool first = id == service.idByName.end();
  if (first) {
    id = service.idByName.emplace(announced.name(), NewId(service)).first;
  }
  UpstreamEntry& entry = service.upstreams[id->second.value];
  // An older life that froze and came back must not take over from the newer.
  if (IsSuperseded(entry, announced.incarnation())) {
    return;
  }
  const bool sameLife = entry.view.incarnation() == announced.incarnation();
  const bool sameHome = entry.view.home() == aRegistration.home() &&
                        entry.homeSession == aRegistration.home_session();
  if (!first && !sameLife) {
    Supersede(entry);
    FreeAllOf(aIndex, service, id->second, aNow);
    entry.drainingAnnounced = false;
  }
  const bool keepsStart = !first && sameLife && !entry.IsLost();
  const uint64_t start =
    keepsStart ? entry.view.start_unix_ms() : aNow.time_since_epoch().count();
  entry.movedHome = sameLife && (entry.movedHome || !sameHome);
  entry.homeSession = aRegistration.home_session();
  // Whom to wait for at a move depends on it, so one life cannot change it.
  const bool checksFences =
    sameLife ? entry.view.checks_fences() : announced.checks_fences();
  entry.view = announced;
  entry.view.set_checks_fences(checksFences);
  entry.view.set_home(aRegistration.home());
  entry.view.set_registered_version(aIndex.value);
  entry.view.set_start_unix_ms(start);
  entry.view.set_state(LiveState(entry));
  MarkUpstream(aIndex, service, entry);
}

UpstreamEntry*
Assignments::FindCurrent(const wire::UpstreamRef& aRef)
{
  ServiceAssignments* service = FindMutable(aRef.service());
  if (service == nullptr) {
    return nullptr;
  }
  const auto id = service->idByName.find(aRef.upstream());
  if (id == service->idByName.end()) {
    return nullptr;
  }
  UpstreamEntry& entry = service->upstreams[id->second.value];
  const bool current =
    entry.view.incarnation() == aRef.incarnation() &&
    entry.view.registered_version() == aRef.registered_version();
  return current ? &entry : nullptr;
}

bool
Assignments::SetLost(LogIndex aIndex,
                     const wire::UpstreamRef& aRef,
                     WallTime aNow)
{
  UpstreamEntry* entry = FindCurrent(aRef);
  if (entry == nullptr || entry->IsLost()) {
    return false;
  }
  ServiceAssignments& service = Service(aRef.service());
  entry->view.set_state(wire::UPSTREAM_STATE_LOST);
  entry->lostAt = aNow;
  MarkUpstream(aIndex, service, *entry);
  FreeAllOf(aIndex, service, service.idByName.at(aRef.upstream()), aNow);
  return true;
}

void
Assignments::Drain(LogIndex aIndex, const wire::DrainUpstream& aDrain)
{
  ServiceAssignments* service = FindMutable(aDrain.service());
  if (service == nullptr || !service->idByName.contains(aDrain.upstream())) {
    return;
  }
  UpstreamEntry& entry =
    service->upstreams[service->idByName.at(aDrain.upstream()).value];
  bool& flag =
    aDrain.by_operator() ? entry.drainedByOperator : entry.drainingAnnounced;
  if (flag == aDrain.drain()) {
    return;
  }
  flag = aDrain.drain();
  if (!entry.IsLost()) {
    entry.view.set_state(LiveState(entry));
  }
  MarkUpstream(aIndex, *service, entry);
}

void
Assignments::FreeSlot(LogIndex aIndex,
                      ServiceAssignments& aService,
                      uint32_t aSlot,
                      wire::MoveReason aReason,
                      WallTime aNow)
{
  Holding& holding = aService.slots[aSlot];
  UpstreamEntry& owner = aService.upstreams[holding.owner.value];
  std::erase(owner.slots, aSlot);
  holding = { kNobody, aIndex.value, holding.owner, owner.view.incarnation(),
              aReason, aNow,         aIndex.value,  false };
  aService.freeSlots.insert(aSlot);
  aService.changed = aIndex.value;
  mMark(SlotItem(aService.name, aSlot));
}

void
Assignments::FreeHotKey(LogIndex aIndex,
                        ServiceAssignments& aService,
                        const std::string& aKey,
                        wire::MoveReason aReason,
                        WallTime aNow)
{
  Holding& holding = aService.hotKeys.at(aKey);
  UpstreamEntry& owner = aService.upstreams[holding.owner.value];
  owner.hotKeys.erase(aKey);
  holding = { kNobody, aIndex.value, holding.owner, owner.view.incarnation(),
              aReason, aNow,         aIndex.value,  false };
  aService.freeHotKeys.insert(aKey);
  aService.changed = aIndex.value;
  mMark(KeyItem(aService.name, aKey));
}

void
Assignments::FreeAllOf(LogIndex aIndex,
                       ServiceAssignments& aService,
                       UpstreamId aOwner,
                       WallTime aNow)
{
  constexpr wire::MoveReason kReason = wire::MOVE_REASON_OWNER_LOST;
  UpstreamEntry& entry = aService.upstreams[aOwner.value];
  // Taken out first, so that freeing each one has nothing to search.
  const std::vector<uint32_t> slots = std::exchange(entry.slots, {});
  const std::set<std::string> keys = std::exchange(entry.hotKeys, {});
  for (const uint32_t slot : slots) {
    FreeSlot(aIndex, aService, slot, kReason, aNow);
  }
  for (const std::string& key : keys) {
    FreeHotKey(aIndex, aService, key, kReason, aNow);
  }
}

void
Assignments::Release(LogIndex aIndex,
                     const wire::ReleaseSlots& aRelease,
                     WallTime aNow)
{
  ServiceAssignments* service = FindMutable(aRelease.service());
  if (service == nullptr) {
    return;
  }
  for (const wire::SlotFence& item : aRelease.slots()) {
    if (!item.key().empty()) {
      ReleaseHotKey(aIndex, *service, item, aRelease.reason(), aNow);
      continue;
    }
    const bool known = item.slot() < service->slots.size();
    if (known && service->slots[item.slot()].owner != kNobody &&
        service->slots[item.slot()].fence == item.fence()) {
      FreeSlot(aIndex, *service, item.slot(), aRelease.reason(), aNow);
    }
  }
}

void
Assignments::ReleaseHotKey(LogIndex aIndex,
                           ServiceAssignments& aService,
                           const wire::SlotFence& aKey,
                           wire::MoveReason aReason,
                           WallTime aNow)
{
  const auto found = aService.hotKeys.find(aKey.key());
  if (found != aService.hotKeys.end() && !found->second.removed) {
    const Holding& holding = found->second;
    if (holding.owner != kNobody && holding.fence == aKey.fence()) {
      FreeHotKey(aIndex, aService, aKey.key(), aReason, aNow);
    }
    return;
  }
  // A new exception: its first owner to wait for is the owner of its slot.
  if (aKey.slot() >= aService.slots.size()) {
    return;
  }
  const Holding& slot = aService.slots[aKey.slot()];
  if (slot.owner == kNobody || slot.fence != aKey.fence()) {
    return;
  }
  const UpstreamEntry& owner = aService.upstreams[slot.owner.value];
  aService.hotKeys[aKey.key()] = { kNobody,      aIndex.value,
                                   slot.owner,   owner.view.incarnation(),
                                   aReason,      aNow,
                                   aIndex.value, false };
  aService.freeHotKeys.insert(aKey.key());
  aService.changed = aIndex.value;
  mMark(KeyItem(aService.name, aKey.key()));
}

void
Assignments::Grant(LogIndex aIndex,
                   const wire::GrantSlots& aGrant,
                   WallTime aNow)
{
  ServiceAssignments* service = FindMutable(aGrant.service());
  if (service == nullptr) {
    return;
  }
  for (const wire::SlotGrant& grant : aGrant.grants()) {
    GrantOne(aIndex, *service, grant, aNow);
  }
}

void
Assignments::GrantOne(LogIndex aIndex,
                      ServiceAssignments& aService,
                      const wire::SlotGrant& aGrant,
                      WallTime aNow)
{
  const wire::SlotFence& released = aGrant.released();
  const bool isKey = !released.key().empty();
  Holding* holding = nullptr;
  if (isKey) {
    const auto found = aService.hotKeys.find(released.key());
    holding = found == aService.hotKeys.end() ? nullptr : &found->second;
  } else if (released.slot() < aService.slots.size()) {
    holding = &aService.slots[released.slot()];
  }
  if (holding == nullptr || holding->removed || holding->owner != kNobody ||
      holding->fence != released.fence()) {
    return;
  }
  const auto id = aService.idByName.find(aGrant.upstream());
  if (id == aService.idByName.end()) {
    return;
  }
  UpstreamEntry& owner = aService.upstreams[id->second.value];
  if (!owner.IsActive() || owner.view.incarnation() != aGrant.incarnation()) {
    return;
  }
  holding->owner = id->second;
  holding->fence = aIndex.value;
  holding->reason = aGrant.reason();
  holding->since = aNow;
  holding->changed = aIndex.value;
  aService.changed = aIndex.value;
  if (isKey) {
    owner.hotKeys.insert(released.key());
    aService.freeHotKeys.erase(released.key());
    mMark(KeyItem(aService.name, released.key()));
  } else {
    owner.slots.push_back(released.slot());
    aService.freeSlots.erase(released.slot());
    mMark(SlotItem(aService.name, released.slot()));
  }
}

void
Assignments::RemoveHotKeys(LogIndex aIndex, const wire::RemoveHotKeys& aRemove)
{
  ServiceAssignments* service = FindMutable(aRemove.service());
  if (service == nullptr) {
    return;
  }
  for (const wire::SlotFence& item : aRemove.keys()) {
    const auto found = service->hotKeys.find(item.key());
    if (found == service->hotKeys.end() || found->second.removed ||
        found->second.owner != kNobody || found->second.fence != item.fence()) {
      continue;
    }
    found->second.removed = true;
    found->second.fence = aIndex.value;
    found->second.changed = aIndex.value;
    service->freeHotKeys.erase(item.key());
    service->changed = aIndex.value;
    mMark(KeyItem(service->name, item.key()));
  }
}

void
Assignments::ReleaseAll(LogIndex aIndex,
                        const std::string& aService,
                        WallTime aNow)
{
  ServiceAssignments* service = FindMutable(aService);
  if (service == nullptr) {
    return;
  }
  for (uint32_t id = 0; id < service->upstreams.size(); ++id) {
    FreeAllOf(aIndex, *service, UpstreamId{ id }, aNow);
  }
}

} // namespace rattandyke::control
