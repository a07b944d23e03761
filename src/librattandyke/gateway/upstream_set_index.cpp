// Index of the instances of an UpstreamSet, by service and group.
#include "gateway/upstream_set.h"

#include <algorithm>
#include <bit>

#include "routing/service_table.h"

namespace rattandyke::gateway {

namespace {

/// Number of groups of a service whose keys have owners. A request for a key
/// has only one suitable upstream, so larger groups would offer no choice; with
/// this many, most owners are alone in their group, and the groups are spread
/// over all entries.
constexpr uint32_t kOwnerGroups = 4096;

} // namespace

uint32_t
UpstreamSet::GroupCountFor(const Service& aService)
{
  if (aService.ownsKeys) {
    return kOwnerGroups;
  }
  // A power of two: adding or removing a few instances seldom changes it.
  return std::bit_ceil((aService.instances + kGroupSize - 1) / kGroupSize);
}

bool
UpstreamSet::IsMember(const Upstream& aUpstream)
{
  return aUpstream.inService && !aUpstream.drainingSince &&
         !aUpstream.leavingSince && !aUpstream.evacuatedSince;
}

const std::vector<const UpstreamSet::Item*>&
UpstreamSet::MembersOf(const std::string& aService, uint32_t aGroup) const
{
  static const std::vector<const Item*> sEmpty;
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return sEmpty;
  }
  const auto group = service->second.members.find(aGroup);
  return group == service->second.members.end() ? sEmpty : group->second;
}

void
UpstreamSet::AddToService(Item& aItem)
{
  Upstream& upstream = aItem.second;
  Service& service = mServices[upstream.service];
  upstream.inService = true;
  service.subset.reset();
  upstream.group =
    static_cast<uint32_t>(routing::HashKey(aItem.first) % service.groups);
  ++service.instances;
  if (IsMember(upstream)) {
    service.members[upstream.group].push_back(&aItem);
    ++service.usable;
  }
}

void
UpstreamSet::RemoveFromService(Item& aItem)
{
  Upstream& upstream = aItem.second;
  if (!upstream.inService) {
    return;
  }
  Service& service = mServices[upstream.service];
  service.subset.reset();
  if (IsMember(upstream)) {
    auto& members = service.members[upstream.group];
    std::erase(members, &aItem);
    if (members.empty()) {
      service.members.erase(upstream.group);
    }
    --service.usable;
  }
  --service.instances;
  upstream.inService = false;
}

void
UpstreamSet::PutInstance(const wire::UpstreamInstance& aInstance,
                         bool aEvacuated,
                         Instant aNow)
{
  const auto at = mUpstreams.try_emplace(aInstance.id()).first;
  RemoveFromService(*at);
  Upstream& upstream = at->second;
  if (upstream.incarnation != aInstance.life()) {
    // A new incarnation has free slots, is not draining and has not failed; the
    // response times of the earlier one do not apply to it.
    upstream = Upstream{};
    upstream.incarnation = aInstance.life();
  }
  upstream.removed = false;
  upstream.service = aInstance.service();
  if (upstream.address != aInstance.address()) {
    upstream.address = aInstance.address();
    upstream.replacedUntil.reset();
  }
  upstream.dataCentre = aInstance.data_centre();
  upstream.slots = std::max(aInstance.slots(), 1U);
  if (aInstance.draining() && !upstream.drainingSince) {
    upstream.drainingSince = aNow;
  }
  if (!aEvacuated) {
    upstream.evacuatedSince.reset();
  } else if (!upstream.evacuatedSince) {
    upstream.evacuatedSince = aNow;
  }
  UpdateCold(aInstance, upstream, aNow);
  AddToService(*at);
}

void
UpstreamSet::Remove(const std::string& aInstance)
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end()) {
    return;
  }
  RemoveFromService(*found);
  found->second.removed = true;
  if (found->second.inFlight == 0) {
    mUpstreams.erase(found);
  }
}

/// Changes the number of groups of a service if its size requires that.
void
UpstreamSet::Regroup(const std::string& aName)
{
  Service& service = mServices[aName];
  const uint32_t groups = GroupCountFor(service);
  if (groups == service.groups) {
    return;
  }
  std::vector<Item*> items;
  for (Item& item : mUpstreams) {
    if (item.second.inService && item.second.service == aName) {
      items.push_back(&item);
    }
  }
  // Clearing all at once avoids a search through the group for each instance.
  service.members.clear();
  service.usable = 0;
  service.instances = 0;
  for (Item* item : items) {
    item->second.inService = false;
  }
  service.groups = groups;
  for (Item* item : items) {
    AddToService(*item);
  }
}

void
UpstreamSet::Update(const State& aState, Instant aNow)
{
  for (const auto& [name, item] : aState.Items().Services()) {
    mServices[name].ownsKeys = item.owns_keys();
    mServices[name].coldLimit = ColdLimit(item);
  }
  std::vector<std::string> ended;
  for (const auto& [id, upstream] : mUpstreams) {
    if (aState.FindInstance(id) == nullptr) {
      ended.push_back(id);
    }
  }
  for (const std::string& id : ended) {
    Remove(id);
  }
  for (const auto& [id, instance] : aState.Instances()) {
    PutInstance(instance, aState.IsEvacuated(instance.data_centre()), aNow);
  }
  for (const auto& [name, service] : mServices) {
    Regroup(name);
  }
}

void
UpstreamSet::Update(const State& aState,
                    const std::string& aInstance,
                    Instant aNow)
{
  const std::string before = ServiceOf(aInstance);
  if (const auto* instance = aState.FindInstance(aInstance)) {
    PutInstance(*instance, aState.IsEvacuated(instance->data_centre()), aNow);
    Regroup(instance->service());
  } else {
    Remove(aInstance);
  }
  if (!before.empty()) {
    Regroup(before);
  }
}

} // namespace rattandyke::gateway
