#include "routing/service_table.h"

#include <algorithm>
#include <unordered_map>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "base/endpoint.h"

namespace rattandyke::routing {

namespace {

template<typename T>
std::shared_ptr<const std::vector<T>>
EmptyShared()
{
  static const auto sEmpty = std::make_shared<const std::vector<T>>();
  return sEmpty;
}

/// @return a vector of exactly the size that it needs.
template<typename T>
std::shared_ptr<const std::vector<T>>
Share(std::vector<T> aValues)
{
  aValues.shrink_to_fit();
  return std::make_shared<const std::vector<T>>(std::move(aValues));
}

/// @return the private copy, made from aShared on the first call.
template<typename T>
std::vector<T>&
CopyOnce(std::optional<std::vector<T>>& aCopy,
         const std::shared_ptr<const std::vector<T>>& aShared)
{
  if (!aCopy) {
    aCopy = *aShared;
  }
  return *aCopy;
}

bool
IsBefore(const HotKey& aEntry, uint64_t aHash, std::string_view aKey)
{
  return aEntry.hash != aHash ? aEntry.hash < aHash : aEntry.key < aKey;
}

/// @return the first entry that is not before the key.
template<typename Iterator>
Iterator
LowerBound(Iterator aFirst,
           Iterator aLast,
           uint64_t aHash,
           std::string_view aKey)
{
  return std::partition_point(aFirst, aLast, [&](const HotKey& aEntry) {
    return IsBefore(aEntry, aHash, aKey);
  });
}

bool
IsKey(const HotKey& aEntry, uint64_t aHash, std::string_view aKey)
{
  return aEntry.hash == aHash && aEntry.key == aKey;
}

template<typename Iterator>
Iterator
LowerBoundOfCustomer(Iterator aFirst,
                     Iterator aLast,
                     std::string_view aCustomer)
{
  return std::partition_point(
    aFirst, aLast, [&](const records::LimitRecord& aLimit) {
      return aLimit.customer.value.compare(aCustomer) < 0;
    });
}

template<typename Iterator>
Iterator
LowerBoundOfFingerprint(Iterator aFirst,
                        Iterator aLast,
                        std::string_view aFingerprint)
{
  return std::partition_point(aFirst, aLast, [&](const wire::Ban& aBan) {
    return aBan.fingerprint().compare(aFingerprint) < 0;
  });
}

UpstreamView
ViewOf(const wire::Upstream& aUpstream)
{
  UpstreamView view;
  view.name = { aUpstream.name() };
  view.service = { aUpstream.service() };
  view.incarnation = aUpstream.incarnation();
  view.address = ParseEndpoint(aUpstream.address()).value_or(Endpoint{});
  view.dataCentre = { aUpstream.data_centre() };
  view.slots = aUpstream.slots();
  view.checksFences = aUpstream.checks_fences();
  view.state = aUpstream.state();
  view.home = { aUpstream.home() };
  view.registered = { aUpstream.registered_version() };
  view.started = WallTime(std::chrono::milliseconds(aUpstream.start_unix_ms()));
  return view;
}

wire::SlotOwner
SlotGrant(const ServiceName& aService, size_t aSlot, const SlotEntry& aEntry)
{
  wire::SlotOwner grant;
  grant.set_service(aService.value);
  grant.set_slot(static_cast<uint32_t>(aSlot));
  grant.set_fence(aEntry.OwnFence().value);
  return grant;
}

wire::SlotOwner
KeyGrantOf(const ServiceName& aService, const HotKey& aEntry, Fence aFence)
{
  wire::SlotOwner grant;
  grant.set_service(aService.value);
  grant.set_key(aEntry.key);
  grant.set_fence(aFence.value);
  return grant;
}

} // namespace

uint64_t
HashKey(std::string_view aKey)
{
  return XXH64(aKey.data(), aKey.size(), 0);
}

uint64_t
MixBits(uint64_t aNumber)
{
  aNumber = (aNumber ^ (aNumber >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  aNumber = (aNumber ^ (aNumber >> 27U)) * 0x94d049bb133111ebULL;
  return aNumber ^ (aNumber >> 31U);
}

Slot
SlotOfHash(uint64_t aHash, uint32_t aSlots)
{
  __extension__ using Wide = unsigned __int128;
  return { static_cast<uint32_t>(Wide{ aHash } * aSlots >> 64) };
}

Slot
SlotOf(std::string_view aKey, uint32_t aSlots)
{
  return SlotOfHash(HashKey(aKey), aSlots);
}

ServiceTable::ServiceTable(ServiceName aName)
  : name(std::move(aName))
  , byName(EmptyShared<UpstreamIndex>())
  , hotKeys(EmptyShared<HotKey>())
  , limits(EmptyShared<records::LimitRecord>())
  , bans(EmptyShared<wire::Ban>())
{
}

std::optional<UpstreamIndex>
ServiceTable::IndexOf(std::string_view aUpstream) const
{
  const auto found = std::partition_point(
    byName->begin(), byName->end(), [&](UpstreamIndex aIndex) {
      return upstreams[aIndex].name.value < aUpstream;
    });
  if (found == byName->end() || upstreams[*found].name.value != aUpstream) {
    return std::nullopt;
  }
  return *found;
}

const HotKey*
ServiceTable::FindHotKey(uint64_t aHash, std::string_view aKey) const
{
  const auto found = LowerBound(hotKeys->begin(), hotKeys->end(), aHash, aKey);
  return found != hotKeys->end() && IsKey(*found, aHash, aKey) ? &*found
                                                               : nullptr;
}

const UpstreamView*
ServiceTable::Reachable(UpstreamIndex aIndex) const
{
  if (aIndex == kNoUpstream) {
    return nullptr;
  }
  const UpstreamView& view = upstreams[aIndex];
  const bool takesWork = view.state == wire::UPSTREAM_STATE_ACTIVE ||
                         view.state == wire::UPSTREAM_STATE_DRAINING;
  return takesWork ? &view : nullptr;
}

Owner
ServiceTable::FindOwner(std::string_view aKey, uint32_t aSlots) const
{
  const uint64_t hash = HashKey(aKey);
  Owner owner;
  owner.slot = SlotOfHash(hash, aSlots);
  if (const HotKey* hot = FindHotKey(hash, aKey)) {
    owner.upstream = Reachable(hot->upstream);
    owner.fence = hot->fence;
    owner.hotKey = true;
    return owner;
  }
  if (owner.slot.value < slots.Size()) {
    const SlotEntry& entry = slots[owner.slot.value];
    owner.upstream = Reachable(entry.upstream);
    owner.fence = entry.OwnFence();
  }
  return owner;
}

const records::LimitRecord*
ServiceTable::FindLimit(std::string_view aCustomer) const
{
  const auto found =
    LowerBoundOfCustomer(limits->begin(), limits->end(), aCustomer);
  return found != limits->end() && found->customer.value == aCustomer ? &*found
                                                                      : nullptr;
}

const wire::Ban*
ServiceTable::FindBan(std::string_view aFingerprint, WallTime aNow) const
{
  const auto found =
    LowerBoundOfFingerprint(bans->begin(), bans->end(), aFingerprint);
  if (found == bans->end() || found->fingerprint() != aFingerprint) {
    return nullptr;
  }
  const WallTime expires{ std::chrono::milliseconds(found->expires_unix_ms()) };
  return aNow < expires ? &*found : nullptr;
}

std::vector<std::vector<wire::SlotOwner>>
ServiceTable::GrantsOf(const std::vector<UpstreamName>& aUpstreams) const
{
  std::vector<std::vector<wire::SlotOwner>> grants(aUpstreams.size());
  std::vector<std::vector<wire::SlotOwner>*> wanted(upstreams.Size(), nullptr);
  for (size_t i = 0; i < aUpstreams.size(); ++i) {
    if (const auto index = IndexOf(aUpstreams[i].value)) {
      wanted[*index] = &grants[i];
    }
  }
  const auto listOf = [&](UpstreamIndex aIndex) {
    return aIndex == kNoUpstream ? nullptr : wanted[aIndex];
  };
  for (size_t slot = 0; slot < slots.Size(); ++slot) {
    if (auto* list = listOf(slots[slot].upstream)) {
      list->push_back(SlotGrant(name, slot, slots[slot]));
    }
  }
  for (const HotKey& hot : *hotKeys) {
    if (auto* list = listOf(hot.upstream)) {
      list->push_back(KeyGrantOf(name, hot, hot.fence));
    }
    const Slot slot = SlotOfHash(hot.hash, record ? record->slots : 0);
    if (slot.value >= slots.Size() ||
        slots[slot.value].upstream == hot.upstream) {
      continue;
    }
    // The slot's owner keeps its fence when a key moves out of the slot. An
    // entry with an older table would have it run the key beside the new
    // owner; listing the key as not granted makes it refuse.
    if (auto* list = listOf(slots[slot.value].upstream)) {
      list->push_back(KeyGrantOf(name, hot, Fence{}));
    }
  }
  return grants;
}

ServiceEditor::ServiceEditor(const ServiceTable& aBase)
  : mResult(aBase)
  , mUpstreams(std::move(mResult.upstreams))
  , mSlots(std::move(mResult.slots))
{
}

void
ServiceEditor::SetRecord(std::shared_ptr<const records::ServiceRecord> aRecord)
{
  mResult.record = std::move(aRecord);
}

void
ServiceEditor::SetLimit(records::LimitRecord aLimit)
{
  auto& limits = CopyOnce(mLimits, mResult.limits);
  const auto found =
    LowerBoundOfCustomer(limits.begin(), limits.end(), aLimit.customer.value);
  if (found != limits.end() && found->customer == aLimit.customer) {
    *found = std::move(aLimit);
  } else {
    limits.insert(found, std::move(aLimit));
  }
}

void
ServiceEditor::RemoveLimit(const CustomerName& aCustomer)
{
  auto& limits = CopyOnce(mLimits, mResult.limits);
  std::erase_if(limits, [&](const records::LimitRecord& aLimit) {
    return aLimit.customer == aCustomer;
  });
}

void
ServiceEditor::SetUpstream(const wire::Upstream& aUpstream)
{
  mUpstreams.Change(Intern(aUpstream.name())) = ViewOf(aUpstream);
}

void
ServiceEditor::SetOwner(const wire::SlotOwner& aOwner)
{
  if (aOwner.key().empty()) {
    SetSlotOwner(aOwner);
  } else {
    SetKeyOwner(aOwner);
  }
}

void
ServiceEditor::SetSlotOwner(const wire::SlotOwner& aOwner)
{
  const UpstreamIndex upstream = Intern(aOwner.upstream());
  mSlots.GrowTo(size_t{ aOwner.slot() } + 1);
  SlotEntry& entry = mSlots.Change(aOwner.slot());
  Touch(entry.upstream);
  Touch(upstream);
  entry.upstream = upstream;
  entry.SetFence({ aOwner.fence() });
}

void
ServiceEditor::SetKeyOwner(const wire::SlotOwner& aOwner)
{
  const uint64_t hash = HashKey(aOwner.key());
  const UpstreamIndex upstream = Intern(aOwner.upstream());
  auto& keys = CopyOnce(mHotKeys, mResult.hotKeys);
  auto found = LowerBound(keys.begin(), keys.end(), hash, aOwner.key());
  const bool exists = found != keys.end() && IsKey(*found, hash, aOwner.key());
  TouchOwnerOfSlot(hash);
  if (exists) {
    Touch(found->upstream);
  }
  if (aOwner.removed()) {
    if (exists) {
      keys.erase(found);
    }
    return;
  }
  Touch(upstream);
  if (!exists) {
    found = keys.insert(found, HotKey{ hash, aOwner.key(), {}, {} });
  }
  found->upstream = upstream;
  found->fence = { aOwner.fence() };
}

void
ServiceEditor::SetBan(const wire::Ban& aBan)
{
  auto& bans = CopyOnce(mBans, mResult.bans);
  const auto found =
    LowerBoundOfFingerprint(bans.begin(), bans.end(), aBan.fingerprint());
  const bool exists =
    found != bans.end() && found->fingerprint() == aBan.fingerprint();
  if (aBan.lifted()) {
    if (exists) {
      bans.erase(found);
    }
  } else if (exists) {
    *found = aBan;
  } else {
    bans.insert(found, aBan);
  }
}

const UpstreamName&
ServiceEditor::NameOf(UpstreamIndex aIndex) const
{
  return mUpstreams[aIndex].name;
}

std::optional<UpstreamIndex>
ServiceEditor::Find(std::string_view aName) const
{
  const auto& byName = mByName ? *mByName : *mResult.byName;
  const auto found = std::partition_point(
    byName.begin(), byName.end(), [&](UpstreamIndex aIndex) {
      return mUpstreams[aIndex].name.value < aName;
    });
  if (found == byName.end() || mUpstreams[*found].name.value != aName) {
    return std::nullopt;
  }
  return *found;
}

UpstreamIndex
ServiceEditor::Intern(std::string_view aName)
{
  if (aName.empty()) {
    return kNoUpstream;
  }
  if (const auto found = Find(aName)) {
    return *found;
  }
  // An owner may be named before its upstream is described; until then its
  // state is unspecified and nobody is sent to it.
  const auto index = static_cast<UpstreamIndex>(mUpstreams.Size());
  UpstreamView view;
  view.name = { std::string(aName) };
  view.service = mResult.name;
  view.state = wire::UPSTREAM_STATE_UNSPECIFIED;
  mUpstreams.Append(std::move(view));
  auto& byName = CopyOnce(mByName, mResult.byName);
  const auto place = std::partition_point(
    byName.begin(), byName.end(), [&](UpstreamIndex aOther) {
      return mUpstreams[aOther].name.value < aName;
    });
  byName.insert(place, index);
  return index;
}

void
ServiceEditor::Touch(UpstreamIndex aIndex)
{
  if (aIndex != kNoUpstream) {
    mTouched.push_back(aIndex);
  }
}

void
ServiceEditor::TouchOwnerOfSlot(uint64_t aHash)
{
  const Slot slot =
    SlotOfHash(aHash, mResult.record ? mResult.record->slots : 0);
  if (slot.value < mSlots.Size()) {
    Touch(mSlots[slot.value].upstream);
  }
}

std::shared_ptr<const ServiceTable>
ServiceEditor::Finish()
{
  mResult.upstreams = mUpstreams.Finish();
  mResult.slots = mSlots.Finish();
  if (mByName) {
    mResult.byName = Share(std::move(*mByName));
  }
  if (mHotKeys) {
    mResult.hotKeys = Share(std::move(*mHotKeys));
  }
  if (mLimits) {
    mResult.limits = Share(std::move(*mLimits));
  }
  if (mBans) {
    mResult.bans = Share(std::move(*mBans));
  }
  return std::make_shared<const ServiceTable>(std::move(mResult));
}

} // namespace rattandyke::routing
