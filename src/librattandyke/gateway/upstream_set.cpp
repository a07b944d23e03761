#include "gateway/upstream_set.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "routing/service_table.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Weight of the newest answer in the moving average of times: the last ten or
/// so count.
constexpr double kNewest = 0.15;
/// Time for which an upstream is avoided after a failure; doubled with each
/// further one. A crashed one is back within seconds.
constexpr milliseconds kFirstAvoided{ 400 };
constexpr milliseconds kLongestAvoided{ 5000 };
/// An owner of keys seems dead after so many failures in a row: one that is
/// merely overrun answers others in between.
constexpr uint32_t kDeadAfter = 4;
/// Requests that find out if it is back: within the time in which its keys are
/// served again after that, and few beside those that would be lost.
constexpr milliseconds kTryDeadEvery{ 100 };
/// A draining owner of keys gets requests for this part of the drain timeout:
/// it holds them until they are released, but nothing new may reach it later.
/// The rest is for this host to hear of it late, and for a request's own wait.
constexpr double kDrainingOwner = 0.45;
/// The same for an owner in an evacuated data centre.
constexpr double kEvacuatedOwner = 0.45;
/// What a request to another data centre costs, as a part of the time of an
/// answer: so that an equal one nearby is chosen.
constexpr double kFarFactor = 2.0;
/// What waiting at an upstream for a slot costs, as a part of the time of an
/// answer: rather a free slot in another data centre.
constexpr double kWaitsThere = 2.0;
/// Requests that an upstream is given beyond its slots. While one answer is on
/// its way back and the next request on its way there, a slot would be idle: a
/// few ms of each 50 to 200.
constexpr uint32_t kQueuedThere = 1;
/// An entry that knows only its own requests takes one of so many slots: with
/// all, some ten entries overrun an upstream that is asked for often.
constexpr uint32_t kAlonePart = 2;
/// An upstream that tells of so many that wait is left to its home.
constexpr uint32_t kCrowded = 3;
constexpr double kLeastRate = 0.01;
/// A request for a key has one upstream, so that a group has nothing to choose
/// from: owners of keys are spread over all entries, most alone in their group.
constexpr uint32_t kGroupsOfOwners = 4096;

} // namespace

UpstreamSet::UpstreamSet(uint64_t aSeed, const Options& aOptions)
  : mRandom(aSeed)
  , mOptions(aOptions)
{
}

uint32_t
UpstreamSet::GroupsFor(const Service& aService)
{
  if (aService.ownsKeys) {
    return kGroupsOfOwners;
  }
  // A power of two: a few instances more or less seldom change it.
  return std::bit_ceil((aService.instances + kGroupSize - 1) / kGroupSize);
}

bool
UpstreamSet::IsMember(const Upstream& aUpstream)
{
  return aUpstream.included && !aUpstream.drainingSince &&
         !aUpstream.evacuatedSince;
}

const std::vector<const UpstreamSet::Item*>&
UpstreamSet::MembersOf(const std::string& aService, uint32_t aGroup) const
{
  static const std::vector<const Item*> sNone;
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return sNone;
  }
  const auto group = service->second.members.find(aGroup);
  return group == service->second.members.end() ? sNone : group->second;
}

void
UpstreamSet::Include(Item& aItem)
{
  Upstream& upstream = aItem.second;
  Service& service = mServices[upstream.service];
  upstream.included = true;
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
UpstreamSet::Exclude(Item& aItem)
{
  Upstream& upstream = aItem.second;
  if (!upstream.included) {
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
  upstream.included = false;
}

void
UpstreamSet::Put(const wire::UpstreamInstance& aInstance,
                 bool aEvacuated,
                 Instant aNow)
{
  const auto at = mUpstreams.try_emplace(aInstance.id()).first;
  Exclude(*at);
  Upstream& upstream = at->second;
  if (upstream.life != aInstance.life()) {
    // A process that has started again has free slots, is not leaving, and
    // has not failed yet; its times are not those of the earlier one.
    upstream = Upstream{};
    upstream.life = aInstance.life();
  }
  upstream.gone = false;
  upstream.service = aInstance.service();
  upstream.address = aInstance.address();
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
  PutCold(aInstance, upstream, aNow);
  Include(*at);
}

void
UpstreamSet::Remove(const std::string& aInstance)
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end()) {
    return;
  }
  Exclude(*found);
  found->second.gone = true;
  if (found->second.running == 0) {
    mUpstreams.erase(found);
  }
}

/// Makes as many groups as the service's size asks for.
void
UpstreamSet::Regroup(const std::string& aName)
{
  Service& service = mServices[aName];
  const uint32_t groups = GroupsFor(service);
  if (groups == service.groups) {
    return;
  }
  std::vector<Item*> items;
  for (Item& item : mUpstreams) {
    if (item.second.included && item.second.service == aName) {
      items.push_back(&item);
    }
  }
  // Taken out one by one, each would be searched for among all of its group.
  service.members.clear();
  service.usable = 0;
  service.instances = 0;
  for (Item* item : items) {
    item->second.included = false;
  }
  service.groups = groups;
  for (Item* item : items) {
    Include(*item);
  }
}

void
UpstreamSet::Update(const State& aState, Instant aNow)
{
  for (const auto& [name, item] : aState.Items().Services()) {
    mServices[name].ownsKeys = item.owns_keys();
    mServices[name].coldBound = ColdBound(item);
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
    Put(instance, aState.IsEvacuated(instance.data_centre()), aNow);
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
    Put(*instance, aState.IsEvacuated(instance->data_centre()), aNow);
    Regroup(instance->service());
  } else {
    Remove(aInstance);
  }
  if (!before.empty()) {
    Regroup(before);
  }
}

double
UpstreamSet::SecondsOf(const Upstream& aUpstream)
{
  return aUpstream.seconds > 0 ? aUpstream.seconds : kDefaultSeconds;
}

double
UpstreamSet::Score(const Upstream& aUpstream, const DataCentre& aNear)
{
  const double load =
    (aUpstream.running + 1.0) / static_cast<double>(aUpstream.slots);
  const double waits = aUpstream.running >= aUpstream.slots ? kWaitsThere : 0;
  const double far = aUpstream.dataCentre == aNear.value ? 1.0 : kFarFactor;
  return SecondsOf(aUpstream) * (0.5 + load + waits) * far;
}

uint32_t
UpstreamSet::RoomOf(const Upstream& aUpstream)
{
  return aUpstream.slots + kQueuedThere;
}

double
UpstreamSet::Rate(const Upstream& aUpstream)
{
  return aUpstream.slots / SecondsOf(aUpstream);
}

double
UpstreamSet::RateOf(const std::string& aService, uint32_t aGroup) const
{
  double rate = 0;
  for (const Item* member : MembersOf(aService, aGroup)) {
    rate += Rate(member->second);
  }
  return std::max(rate, kLeastRate);
}

double
UpstreamSet::RateOfOne(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end() ? kLeastRate
                                   : std::max(Rate(found->second), kLeastRate);
}

double
UpstreamSet::SecondsOf(const std::string& aService, uint32_t aGroup) const
{
  const auto& members = MembersOf(aService, aGroup);
  double sum = 0;
  for (const Item* member : members) {
    sum += SecondsOf(member->second);
  }
  return members.empty() ? kDefaultSeconds
                         : sum / static_cast<double>(members.size());
}

double
UpstreamSet::SecondsOfOne(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end() ? kDefaultSeconds : SecondsOf(found->second);
}

uint32_t
UpstreamSet::GroupOf(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end() ? 0 : found->second.group;
}

uint32_t
UpstreamSet::DrawGroup(const std::string& aService, uint64_t aRandom) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end() || service->second.usable == 0) {
    return 0;
  }
  size_t left = aRandom % service->second.usable;
  for (const auto& [group, members] : service->second.members) {
    if (left < members.size()) {
      return group;
    }
    left -= members.size();
  }
  return 0;
}

std::string
UpstreamSet::ServiceOf(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end() ? std::string() : found->second.service;
}

bool
UpstreamSet::IsUsable(const Upstream& aUpstream, Instant aNow) const
{
  const auto service = mServices.find(aUpstream.service);
  const bool ownsKeys = service != mServices.end() && service->second.ownsKeys;
  const bool drained =
    aUpstream.drainingSince && aNow - *aUpstream.drainingSince >=
                                 Scaled(mOptions.drainTimeout, kDrainingOwner);
  // An owner of keys serves on until they have another one; any other upstream
  // has others beside it.
  const bool evacuated =
    aUpstream.evacuatedSince &&
    (!ownsKeys || aNow - *aUpstream.evacuatedSince >=
                    Scaled(mOptions.evacuationTimeout, kEvacuatedOwner));
  return !aUpstream.gone && !drained && !evacuated;
}

std::string
UpstreamSet::UsableAddress(const std::string& aInstance, Instant aNow) const
{
  const auto found = mUpstreams.find(aInstance);
  const bool usable =
    found != mUpstreams.end() && IsUsable(found->second, aNow);
  return usable ? found->second.address : std::string();
}

bool
UpstreamSet::CanServe(const std::string& aService) const
{
  const auto service = mServices.find(aService);
  return service != mServices.end() && service->second.usable > 0;
}

bool
UpstreamSet::HasInstances(const std::string& aService) const
{
  const auto service = mServices.find(aService);
  return service != mServices.end() && service->second.instances > 0;
}

uint64_t
UpstreamSet::IncarnationOf(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end() ? 0 : found->second.life;
}

UpstreamSet::Outcome
UpstreamSet::Choose(const std::string& aService,
                    uint32_t aGroup,
                    const std::set<std::string>& aTried,
                    const DataCentre& aNear,
                    bool aCold,
                    Instant aNow)
{
  bool known = false;
  std::vector<const Item*> room;
  std::vector<const Item*> avoided;
  for (const Item* item : MembersOf(aService, aGroup)) {
    if (aTried.contains(item->first)) {
      continue;
    }
    known = true;
    const Upstream& upstream = item->second;
    const bool cold = aNow < upstream.coldUntil;
    if (upstream.running >= RoomOf(upstream) ||
        (cold && (!aCold || IsColdFull(upstream, aNow)))) {
      continue;
    }
    (aNow < upstream.avoidUntil ? avoided : room).push_back(item);
  }
  if (room.empty()) {
    room = avoided;
  }
  if (room.empty()) {
    return known ? UnavailableReason::Full : UnavailableReason::NoInstance;
  }
  const Item* best = room[mRandom() % room.size()];
  for (const Item* other : room) {
    if (Score(other->second, aNear) < Score(best->second, aNear)) {
      best = other;
    }
  }
  return Choice{ best->first, best->second.address };
}

UpstreamSet::Outcome
UpstreamSet::ChooseOne(const std::string& aInstance, Instant aNow)
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end() || found->second.gone) {
    return UnavailableReason::NoInstance;
  }
  Upstream& upstream = found->second;
  if (upstream.evacuatedSince && !IsUsable(upstream, aNow)) {
    return UnavailableReason::NoOwner;
  }
  // Safeguard: the owner of a key has crashed or is cut off, and its keys have
  // no other owner until its hold is over. Each request for them would wait at
  // it until its caller's deadline and keep a slot; refused, its caller knows
  // at once.
  if (upstream.failures >= kDeadAfter) {
    if (aNow < upstream.tryAgainAt) {
      return UnavailableReason::Failing;
    }
    upstream.tryAgainAt = aNow + Duration(kTryDeadEvery);
  }
  if (upstream.running >= RoomOf(upstream) || IsColdFull(upstream, aNow)) {
    return UnavailableReason::Full;
  }
  return Choice{ found->first, found->second.address };
}

UpstreamSet::Outcome
UpstreamSet::ChooseOneAlone(const std::string& aInstance, Instant aNow) const
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end() || found->second.gone) {
    return UnavailableReason::NoInstance;
  }
  const Upstream& upstream = found->second;
  const uint32_t room = std::max(upstream.slots / kAlonePart, 1U);
  // Safeguard: hosts that each send a cold upstream a little send too much
  // together. It is left to its home.
  const bool crowded =
    HasToldLately(upstream, aNow) && upstream.told->waiting >= kCrowded;
  if (crowded || upstream.running >= room || aNow < upstream.avoidUntil ||
      aNow < upstream.coldUntil) {
    return UnavailableReason::Full;
  }
  return Choice{ found->first, upstream.address };
}

std::string
UpstreamSet::OwnerOf(const State& aState,
                     const std::string& aService,
                     uint32_t aKey,
                     Instant aNow) const
{
  const RangeTable* ranges = aState.Ranges(aService);
  if (ranges == nullptr) {
    return {};
  }
  const wire::RangeSegment& segment = ranges->Find(aKey);
  const auto found = mUpstreams.find(segment.holder());
  const bool usable = !segment.held_back() && found != mUpstreams.end() &&
                      IsUsable(found->second, aNow);
  return usable ? found->first : std::string();
}

UpstreamSet::Begun
UpstreamSet::Begin(const std::string& aInstance, Instant aNow)
{
  Upstream& upstream = mUpstreams[aInstance];
  const bool full = LoadOf(upstream, aNow) >= upstream.slots;
  ++upstream.running;
  ++upstream.begunSince;
  upstream.begunAt = aNow;
  const auto service = mServices.find(upstream.service);
  if (service != mServices.end() && service->second.coldBound) {
    upstream.recent.push_back(aNow);
    while (upstream.recent.size() > *service->second.coldBound) {
      upstream.recent.erase(upstream.recent.begin());
    }
  }
  const bool told = HasToldLately(upstream, aNow);
  return { upstream.running > upstream.slots || (told && full), upstream.life };
}

void
UpstreamSet::End(const std::string& aInstance,
                 AttemptOutcome aEnd,
                 Duration aTook,
                 const Begun& aBegun,
                 Instant aNow)
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end() || found->second.life != aBegun.life) {
    return;
  }
  Upstream& upstream = found->second;
  upstream.running -= upstream.running > 0 ? 1 : 0;
  const double took = std::chrono::duration<double>(aTook).count();
  // A request that waited there first tells more of the load than of the
  // upstream.
  const bool timed = aEnd == AttemptOutcome::TimedOut ||
                     (aEnd == AttemptOutcome::Answered && !aBegun.queued);
  if (timed) {
    // The first ones count alike, or the very first would stand for ten.
    ++upstream.timed;
    const double weight = std::max(kNewest, 1.0 / upstream.timed);
    upstream.seconds += weight * (took - upstream.seconds);
    mNewTimes.insert(aInstance);
  }
  if (aEnd == AttemptOutcome::Answered) {
    upstream.failures = 0;
    upstream.avoidUntil = {};
  } else if (aEnd != AttemptOutcome::Abandoned) {
    ++upstream.failures;
    const auto time = std::min<Duration>(
      kFirstAvoided * (1U << std::min(upstream.failures - 1, 8U)),
      kLongestAvoided);
    upstream.avoidUntil = aNow + time;
  }
  if (upstream.gone && upstream.running == 0) {
    mUpstreams.erase(found);
  }
}

std::map<std::string, double>
UpstreamSet::TakeChangedResponseSeconds()
{
  std::map<std::string, double> times;
  for (const std::string& id : std::exchange(mNewTimes, {})) {
    const auto found = mUpstreams.find(id);
    if (found != mUpstreams.end() && !found->second.gone &&
        found->second.timed > 0) {
      times[id] = found->second.seconds;
    }
  }
  return times;
}

uint32_t
UpstreamSet::Running(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end() ? 0 : found->second.running;
}

} // namespace rattandyke::gateway
