#include <algorithm>

#include "control/state.h"

// The routing table's side of State: changes by version, snapshots.

namespace rattandyke::control {

void
State::MarkChanged(ChangedItem aItem)
{
  mVersion = TableVersion{ mApplying.value };
  mChanges.Add(mVersion.value, std::move(aItem));
}

uint64_t
State::LastChange(const ChangedItem& aItem) const
{
  switch (aItem.kind) {
    case ChangedItem::Kind::Record: {
      const StoredRecord* stored = mRecords.Find(aItem.scope, aItem.name);
      return stored ? stored->newest.revision() : 0;
    }
    case ChangedItem::Kind::Ban: {
      const auto* entry = mBans.Find({ aItem.scope, aItem.name });
      return entry ? entry->changed : 0;
    }
    default:
      break;
  }
  const ServiceAssignments* service = mAssignments.Find(aItem.scope);
  if (service == nullptr) {
    return 0;
  }
  if (aItem.kind == ChangedItem::Kind::Upstream) {
    const UpstreamEntry* entry = service->Find(aItem.name);
    return entry ? entry->changed : 0;
  }
  if (aItem.kind == ChangedItem::Kind::Slot) {
    return service->slots[aItem.slot].changed;
  }
  const auto key = service->hotKeys.find(aItem.name);
  return key == service->hotKeys.end() ? 0 : key->second.changed;
}

void
State::AddRecord(const StoredRecord& aRecord, wire::TableUpdate& aUpdate) const
{
  // A host that understands only the older form keeps that one in force.
  if (aRecord.olderInForce) {
    *aUpdate.add_records() = *aRecord.olderInForce;
  }
  *aUpdate.add_records() = aRecord.newest;
}

void
State::AddItem(const ChangedItem& aItem, wire::TableUpdate& aUpdate) const
{
  switch (aItem.kind) {
    case ChangedItem::Kind::Record:
      return AddRecord(*mRecords.Find(aItem.scope, aItem.name), aUpdate);
    case ChangedItem::Kind::Ban:
      *aUpdate.add_bans() = mBans.Find({ aItem.scope, aItem.name })->ban;
      return;
    default:
      break;
  }
  const ServiceAssignments& service = *mAssignments.Find(aItem.scope);
  switch (aItem.kind) {
    case ChangedItem::Kind::Upstream:
      *aUpdate.add_upstreams() = service.Find(aItem.name)->view;
      return;
    case ChangedItem::Kind::Slot:
      *aUpdate.add_owners() = mAssignments.SlotOwnerOf(service, aItem.slot);
      return;
    default:
      *aUpdate.add_owners() = mAssignments.KeyOwnerOf(service, aItem.name);
      return;
  }
}

wire::TableUpdate
State::UpdateSince(TableVersion aVersion) const
{
  const bool known =
    aVersion.value != 0 && aVersion >= mOldestVersion && aVersion <= mVersion;
  if (!known) {
    return WholeTable();
  }
  wire::TableUpdate update;
  update.set_from_version(aVersion.value);
  update.set_to_version(mVersion.value);
  mChanges.VisitAfter(
    aVersion.value,
    [this](const ChangedItem& aItem) { return LastChange(aItem); },
    [&](const ChangedItem& aItem) { AddItem(aItem, update); });
  return update;
}

void
State::VisitChangedUpstreams(
  TableVersion aVersion,
  const std::function<void(const UpstreamEntry&)>& aVisit) const
{
  mChanges.VisitAfter(
    aVersion.value,
    [this](const ChangedItem& aItem) { return LastChange(aItem); },
    [&](const ChangedItem& aItem) {
      if (aItem.kind == ChangedItem::Kind::Upstream) {
        aVisit(*mAssignments.Find(aItem.scope)->Find(aItem.name));
      }
    });
}

wire::TableUpdate
State::WholeTable() const
{
  wire::TableUpdate update;
  update.set_to_version(mVersion.value);
  for (const auto& [key, stored] : mRecords.All()) {
    AddRecord(stored, update);
  }
  for (const auto& [name, service] : mAssignments.All()) {
    for (const UpstreamEntry& entry : service.upstreams) {
      if (!entry.IsForgotten()) {
        *update.add_upstreams() = entry.view;
      }
    }
    for (uint32_t slot = 0; slot < service.slots.size(); ++slot) {
      if (service.slots[slot].fence != 0) {
        *update.add_owners() = mAssignments.SlotOwnerOf(service, slot);
      }
    }
    for (const auto& [key, holding] : service.hotKeys) {
      if (!holding.removed) {
        *update.add_owners() = mAssignments.KeyOwnerOf(service, key);
      }
    }
  }
  for (const auto& [key, entry] : mBans.All()) {
    *update.add_bans() = entry.ban;
  }
  return update;
}

std::string
State::Snapshot() const
{
  wire::StateSnapshot snapshot;
  snapshot.set_version(mVersion.value);
  snapshot.set_oldest_version(mOldestVersion.value);
  snapshot.set_now_unix_ms(mNow.time_since_epoch().count());
  snapshot.set_forgot_unix_ms(mForgotAt.time_since_epoch().count());
  snapshot.set_bans_expired_unix_ms(mBansExpiredAt.time_since_epoch().count());
  snapshot.set_records_changed(mRecordsChanged);
  mRecords.Save(snapshot);
  mAssignments.Save(snapshot);
  mClaims.Save(snapshot);
  mBans.Save(snapshot);
  return snapshot.SerializeAsString();
}

Result<void>
State::Restore(std::string_view aSnapshot)
{
  wire::StateSnapshot snapshot;
  if (!snapshot.ParseFromArray(aSnapshot.data(),
                               static_cast<int>(aSnapshot.size()))) {
    return Fail(Code::StorageCorrupt, "The snapshot cannot be read.");
  }
  const auto toTime = [](uint64_t aMilliseconds) {
    return WallTime(std::chrono::milliseconds(aMilliseconds));
  };
  mVersion = TableVersion{ snapshot.version() };
  mOldestVersion = TableVersion{ snapshot.oldest_version() };
  mNow = toTime(snapshot.now_unix_ms());
  mForgotAt = toTime(snapshot.forgot_unix_ms());
  mBansExpiredAt = toTime(snapshot.bans_expired_unix_ms());
  mRecordsChanged = snapshot.records_changed();
  mRecords.Load(snapshot);
  mAssignments.Load(snapshot);
  mClaims.Load(snapshot);
  mBans.Load(snapshot);
  RebuildIndex();
  return {};
}

void
State::RebuildIndex()
{
  mChanges.Clear();
  using Kind = ChangedItem::Kind;
  for (const auto& [key, stored] : mRecords.All()) {
    mChanges.Add(stored.newest.revision(),
                 { Kind::Record, key.first, key.second, 0 });
    // A newer version of the product may understand what an older one stored.
    if (const auto service = ServiceInForce(key.second);
        service && key.first == "service") {
      mAssignments.EnsureSlots(key.second, service->slots);
    }
  }
  for (const auto& [name, service] : mAssignments.All()) {
    for (const UpstreamEntry& entry : service.upstreams) {
      if (!entry.IsForgotten()) {
        mChanges.Add(entry.changed,
                     { Kind::Upstream, name, entry.view.name(), 0 });
      }
    }
    for (uint32_t slot = 0; slot < service.slots.size(); ++slot) {
      if (service.slots[slot].changed != 0) {
        mChanges.Add(service.slots[slot].changed,
                     { Kind::Slot, name, "", slot });
      }
    }
    for (const auto& [key, holding] : service.hotKeys) {
      mChanges.Add(holding.changed, { Kind::HotKey, name, key, 0 });
    }
  }
  for (const auto& [key, entry] : mBans.All()) {
    mChanges.Add(entry.changed, { Kind::Ban, key.first, key.second, 0 });
  }
}

} // namespace rattandyke::control
