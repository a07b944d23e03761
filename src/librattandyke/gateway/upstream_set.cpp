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
/// Assumed for an upstream that has not answered yet.
constexpr double kDefaultSeconds = 0.1;
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
constexpr double kLeastRate = 0.01;
/// A request for a key has one upstream, so that a group has nothing to choose
/// from: owners of keys are spread over all entries, most alone in their group.
constexpr uint32_t kGroupsOfOwners = 4096;

} // namespace

UpstreamSet::UpstreamSet(uint64_t aSeed, Duration aDrainTimeout)
  : mRandom(aSeed)
  , mDrainingOwner(Scaled(aDrainTimeout, kDrainingOwner))
{
}

uint32_t
UpstreamSet::GroupsOf(const State& aState,
                      const std::string& aService,
                      uint32_t aSize)
{
  const auto& services = aState.Items().Services();
  const auto found = services.find(aService);
  if (found != services.end() && found->second.owns_keys()) {
    return kGroupsOfOwners;
  }
  // A power of two: a few instances more or less seldom change it.
  return std::bit_ceil((aSize + kGroupSize - 1) / kGroupSize);
}

void
UpstreamSet::Update(const State& aState, Instant aNow)
{
  for (auto at = mUpstreams.begin(); at != mUpstreams.end();) {
    at->second.gone = aState.FindInstance(at->first) == nullptr;
    const bool forget = at->second.gone && at->second.running == 0;
    at = forget ? mUpstreams.erase(at) : std::next(at);
  }
  std::map<std::string, uint32_t> sizes;
  for (const auto& [id, instance] : aState.Instances()) {
    ++sizes[instance.service()];
  }
  std::map<std::string, uint32_t> groups;
  for (const auto& [service, size] : sizes) {
    groups[service] = GroupsOf(aState, service, size);
  }
  for (const auto& [id, instance] : aState.Instances()) {
    Upstream& upstream = mUpstreams[id];
    if (upstream.life != instance.life()) {
      // A process that has started again has free slots, is not leaving, and
      // has not failed yet; its times are not those of the earlier one.
      upstream = Upstream{};
      upstream.life = instance.life();
    }
    upstream.service = instance.service();
    upstream.address = instance.address();
    upstream.dataCentre = instance.data_centre();
    upstream.slots = std::max(instance.slots(), 1U);
    upstream.group =
      static_cast<uint32_t>(routing::HashOf(id) % groups[instance.service()]);
    if (instance.draining() && !upstream.drainingSince) {
      upstream.drainingSince = aNow;
    }
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
  for (const auto& [id, upstream] : mUpstreams) {
    if (upstream.service == aService && upstream.group == aGroup &&
        !upstream.gone && !upstream.drainingSince) {
      rate += Rate(upstream);
    }
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
  double sum = 0;
  size_t count = 0;
  for (const auto& [id, upstream] : mUpstreams) {
    if (upstream.service == aService && upstream.group == aGroup &&
        !upstream.gone && !upstream.drainingSince) {
      sum += SecondsOf(upstream);
      ++count;
    }
  }
  return count == 0 ? kDefaultSeconds : sum / static_cast<double>(count);
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
  std::vector<uint32_t> groups;
  for (const auto& [id, upstream] : mUpstreams) {
    if (upstream.service == aService && !upstream.gone &&
        !upstream.drainingSince) {
      groups.push_back(upstream.group);
    }
  }
  return groups.empty() ? 0 : groups[aRandom % groups.size()];
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
  return !aUpstream.gone && (!aUpstream.drainingSince ||
                             aNow - *aUpstream.drainingSince < mDrainingOwner);
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
UpstreamSet::HasInstances(const std::string& aService) const
{
  return std::any_of(
    mUpstreams.begin(), mUpstreams.end(), [&](const auto& aItem) {
      return aItem.second.service == aService && !aItem.second.gone;
    });
}

uint64_t
UpstreamSet::LifeOf(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end() ? 0 : found->second.life;
}

UpstreamSet::Outcome
UpstreamSet::Choose(const std::string& aService,
                    uint32_t aGroup,
                    const std::set<std::string>& aTried,
                    const DataCentre& aNear,
                    Instant aNow)
{
  bool known = false;
  std::vector<const std::pair<const std::string, Upstream>*> room;
  std::vector<const std::pair<const std::string, Upstream>*> avoided;
  for (const auto& item : mUpstreams) {
    const Upstream& upstream = item.second;
    if (upstream.service != aService || upstream.group != aGroup ||
        upstream.gone || upstream.drainingSince ||
        aTried.contains(item.first)) {
      continue;
    }
    known = true;
    if (upstream.running >= RoomOf(upstream)) {
      continue;
    }
    (aNow < upstream.avoidUntil ? avoided : room).push_back(&item);
  }
  if (room.empty()) {
    room = avoided;
  }
  if (room.empty()) {
    return known ? Hindrance::Full : Hindrance::NoInstance;
  }
  const auto* best = room[mRandom() % room.size()];
  for (const auto* other : room) {
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
    return Hindrance::NoInstance;
  }
  Upstream& upstream = found->second;
  // Safeguard: the owner of a key has crashed or is cut off, and its keys have
  // no other owner until its hold is over. Each request for them would wait at
  // it until its caller's deadline and keep a slot; refused, its caller knows
  // at once.
  if (upstream.failures >= kDeadAfter) {
    if (aNow < upstream.tryAgainAt) {
      return Hindrance::Failing;
    }
    upstream.tryAgainAt = aNow + Duration(kTryDeadEvery);
  }
  if (upstream.running >= RoomOf(upstream)) {
    return Hindrance::Full;
  }
  return Choice{ found->first, found->second.address };
}

UpstreamSet::Outcome
UpstreamSet::ChooseOneAlone(const std::string& aInstance, Instant aNow) const
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end() || found->second.gone) {
    return Hindrance::NoInstance;
  }
  const Upstream& upstream = found->second;
  const uint32_t room = std::max(upstream.slots / kAlonePart, 1U);
  if (upstream.running >= room || aNow < upstream.avoidUntil) {
    return Hindrance::Full;
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
UpstreamSet::Begin(const std::string& aInstance)
{
  Upstream& upstream = mUpstreams[aInstance];
  ++upstream.running;
  return { upstream.running > upstream.slots, upstream.life };
}

void
UpstreamSet::End(const std::string& aInstance,
                 TryEnd aEnd,
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
  const bool timed =
    aEnd == TryEnd::Silent || (aEnd == TryEnd::Answered && !aBegun.queued);
  if (timed) {
    upstream.seconds =
      upstream.seconds == 0
        ? took
        : upstream.seconds + kNewest * (took - upstream.seconds);
    upstream.newTime = true;
  }
  if (aEnd == TryEnd::Answered) {
    upstream.failures = 0;
    upstream.avoidUntil = {};
  } else if (aEnd != TryEnd::Abandoned) {
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
UpstreamSet::TakeNewTimes()
{
  std::map<std::string, double> times;
  for (auto& [id, upstream] : mUpstreams) {
    if (std::exchange(upstream.newTime, false) && !upstream.gone) {
      times[id] = upstream.seconds;
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
