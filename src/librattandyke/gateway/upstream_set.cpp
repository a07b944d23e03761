#include "gateway/upstream_set.h"

#include <algorithm>
#include <utility>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Weight of the newest response in the moving average of response times: about
/// the last ten responses count.
constexpr double kResponseTimeWeight = 0.15;
/// Time for which an upstream is avoided after its first failure. It doubles
/// with each further one, up to kMaxAvoidTime. A crashed upstream is back
/// within seconds.
constexpr milliseconds kFirstAvoidTime{ 400 };
constexpr milliseconds kMaxAvoidTime{ 5000 };
/// Time after which an upstream at whose address another process has answered
/// is tried again. Its registration usually ends earlier.
constexpr milliseconds kReplacedTime{ 3000 };
/// An owner of keys is assumed to be down after this many failures in a row:
/// one that is only overloaded answers other requests in between.
constexpr uint32_t kFailuresBeforeProbing = 4;
/// Interval of the requests that probe an owner that is assumed to be down:
/// short against the time until its keys are served again, and long enough for
/// probes to be few among the requests that would be lost.
constexpr milliseconds kProbeInterval{ 100 };
/// A draining owner of keys gets requests for this fraction of the drain
/// timeout: it owns the keys until it releases them, but no new request may
/// reach it after the timeout. The rest allows for this host learning late of
/// the draining, and for the wait of the request itself.
constexpr double kDrainingOwnerFraction = 0.45;
/// The same for an owner that says in its responses that it leaves. The host
/// that is told knows at once, so the rest allows only for the way of a
/// request.
constexpr double kLeavingOwnerFraction = 0.9;
/// The same as kDrainingOwnerFraction for an owner in an evacuated data centre.
constexpr double kEvacuatedOwnerFraction = 0.45;
/// Cost of an upstream in another data centre relative to an equal one in the
/// same data centre.
constexpr double kRemoteCostFactor = 2.0;
/// Cost of waiting at an upstream for a slot, in response times: a free slot in
/// another data centre costs less.
constexpr double kQueuedCost = 2.0;
/// Requests that an upstream gets beyond its slots. Without them, a slot would
/// be idle while a response and the next request are in the network: a few ms
/// of each 50 to 200.
constexpr uint32_t kQueuedPerUpstream = 1;
/// An entry that sends uncoordinated uses one in this many slots: if they used
/// all, some ten entries would overload an upstream in demand.
constexpr uint32_t kUncoordinatedDivisor = 2;
/// An upstream that reports this many waiting requests or more gets no
/// uncoordinated ones.
constexpr uint32_t kOverloadedWaiting = 3;
/// Requests per second.
constexpr double kMinCapacity = 0.01;

} // namespace

UpstreamSet::UpstreamSet(uint64_t aSeed, const Options& aOptions)
  : mRandom(aSeed)
  , mOptions(aOptions)
{
}

double
UpstreamSet::ResponseSecondsOf(const Upstream& aUpstream)
{
  return aUpstream.meanSeconds > 0 ? aUpstream.meanSeconds
                                   : kDefaultResponseSeconds;
}

double
UpstreamSet::Cost(const Upstream& aUpstream,
                  double aResponseSeconds,
                  const DataCentre& aDataCentre)
{
  const double load =
    (aUpstream.inFlight + 1.0) / static_cast<double>(aUpstream.slots);
  const double waits = aUpstream.inFlight >= aUpstream.slots ? kQueuedCost : 0;
  const double distanceFactor =
    aUpstream.dataCentre == aDataCentre.value ? 1.0 : kRemoteCostFactor;
  return aResponseSeconds * (0.5 + load + waits) * distanceFactor;
}

uint32_t
UpstreamSet::MaxInFlight(const Upstream& aUpstream)
{
  return aUpstream.slots + kQueuedPerUpstream;
}

double
UpstreamSet::Capacity(const Upstream& aUpstream)
{
  const double capacity = aUpstream.slots / ResponseSecondsOf(aUpstream);
  return HasNamedLimit(aUpstream)
           ? std::min(capacity, *aUpstream.rateLimit->named.RequestsPerSecond())
           : capacity;
}

double
UpstreamSet::CapacityOf(const std::string& aService, uint32_t aGroup) const
{
  double capacity = 0;
  for (const Item* member : MembersOf(aService, aGroup)) {
    capacity += Capacity(member->second);
  }
  return std::max(capacity, kMinCapacity);
}

double
UpstreamSet::CapacityOfInstance(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end()
           ? kMinCapacity
           : std::max(Capacity(found->second), kMinCapacity);
}

double
UpstreamSet::ResponseSecondsOf(const std::string& aService,
                               uint32_t aGroup) const
{
  const auto& members = MembersOf(aService, aGroup);
  double sum = 0;
  for (const Item* member : members) {
    sum += ResponseSecondsOf(member->second);
  }
  return members.empty() ? kDefaultResponseSeconds
                         : sum / static_cast<double>(members.size());
}

double
UpstreamSet::ResponseSecondsOfInstance(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end() ? kDefaultResponseSeconds
                                   : ResponseSecondsOf(found->second);
}

uint32_t
UpstreamSet::GroupOf(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end() ? 0 : found->second.group;
}

uint32_t
UpstreamSet::PickGroup(const std::string& aService, uint64_t aRandom) const
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
UpstreamSet::RecordLeaving(const std::string& aInstance,
                           uint64_t aIncarnation,
                           Instant aNow)
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end() || found->second.incarnation != aIncarnation ||
      found->second.leavingSince) {
    return false;
  }
  const bool inService = found->second.inService;
  RemoveFromService(*found);
  found->second.leavingSince = aNow;
  if (inService) {
    AddToService(*found);
  }
  return true;
}

bool
UpstreamSet::IsLeaving(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found != mUpstreams.end() && found->second.leavingSince.has_value();
}

bool
UpstreamSet::IsUsable(const Upstream& aUpstream, Instant aNow) const
{
  const auto service = mServices.find(aUpstream.service);
  const bool ownsKeys = service != mServices.end() && service->second.ownsKeys;
  const bool drained = aUpstream.drainingSince &&
                       aNow - *aUpstream.drainingSince >=
                         Scaled(mOptions.drainTimeout, kDrainingOwnerFraction);
  const bool left = aUpstream.leavingSince &&
                    aNow - *aUpstream.leavingSince >=
                      Scaled(mOptions.drainTimeout, kLeavingOwnerFraction);
  // An owner of keys continues to serve them until they have another owner; any
  // other upstream can be replaced at once.
  const bool evacuated = aUpstream.evacuatedSince &&
                         (!ownsKeys || aNow - *aUpstream.evacuatedSince >=
                                         Scaled(mOptions.evacuationTimeout,
                                                kEvacuatedOwnerFraction));
  return !aUpstream.removed && !drained && !left && !evacuated &&
         !IsReplaced(aUpstream, aNow);
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
  return found == mUpstreams.end() ? 0 : found->second.incarnation;
}

UpstreamSet::Outcome
UpstreamSet::Choose(const std::string& aService,
                    uint32_t aGroup,
                    const std::set<std::string>& aExcluded,
                    const DataCentre& aDataCentre,
                    double aRateShare,
                    Instant aNow)
{
  return ChooseWithRoom(
    aService,
    aGroup,
    aExcluded,
    aDataCentre,
    [&](const Upstream& aUpstream) {
      return aUpstream.inFlight < MaxInFlight(aUpstream) &&
             HasRateRoom(aUpstream, aRateShare, aNow);
    },
    aNow);
}

UpstreamSet::Outcome
UpstreamSet::ChooseAsSecond(const std::string& aService,
                            uint32_t aGroup,
                            const std::set<std::string>& aExcluded,
                            const DataCentre& aDataCentre,
                            Instant aNow)
{
  return ChooseWithRoom(
    aService,
    aGroup,
    aExcluded,
    aDataCentre,
    [&](const Upstream& aUpstream) {
      return HasRoomForSecond(aUpstream, aNow);
    },
    aNow);
}

/// Only the first allocator counts the requests to a limited upstream.
bool
UpstreamSet::HasRoomForSecond(const Upstream& aUpstream, Instant aNow)
{
  return !IsRateLimited(aUpstream, aNow) &&
         aUpstream.inFlight <
           std::max(aUpstream.slots / kUncoordinatedDivisor, 1U);
}

UpstreamSet::Outcome
UpstreamSet::ChooseWithRoom(const std::string& aService,
                            uint32_t aGroup,
                            const std::set<std::string>& aExcluded,
                            const DataCentre& aDataCentre,
                            const HasRoom& aHasRoom,
                            Instant aNow)
{
  bool known = false;
  std::vector<const Item*> room;
  std::vector<const Item*> avoided;
  for (const Item* item : MembersOf(aService, aGroup)) {
    const Upstream& upstream = item->second;
    if (aExcluded.contains(item->first) || IsReplaced(upstream, aNow)) {
      continue;
    }
    known = true;
    if (!aHasRoom(upstream)) {
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
  const CostAt cost = [&](const Upstream& aUpstream, double aSeconds) {
    return Cost(aUpstream, aSeconds, aDataCentre);
  };
  const auto presentCost = [&](const Item* aItem) {
    return cost(aItem->second, ResponseSecondsOf(aItem->second));
  };
  const Item* best = room[mRandom() % room.size()];
  for (const Item* other : room) {
    if (presentCost(other) < presentCost(best)) {
      best = other;
    }
  }
  const Item* chosen = PreferOutdated(room, best, cost, aNow);
  return Choice{ chosen->first, chosen->second.address };
}

UpstreamSet::Outcome
UpstreamSet::ChooseOne(const std::string& aInstance,
                       double aRateShare,
                       Instant aNow)
{
  return ChooseOneWithRoom(
    aInstance,
    [&](const Upstream& aUpstream) {
      return aUpstream.inFlight < MaxInFlight(aUpstream) &&
             HasRateRoom(aUpstream, aRateShare, aNow);
    },
    aNow);
}

UpstreamSet::Outcome
UpstreamSet::ChooseOneAsSecond(const std::string& aInstance, Instant aNow)
{
  return ChooseOneWithRoom(
    aInstance,
    [&](const Upstream& aUpstream) {
      return HasRoomForSecond(aUpstream, aNow);
    },
    aNow);
}

UpstreamSet::Outcome
UpstreamSet::ChooseOneWithRoom(const std::string& aInstance,
                               const HasRoom& aHasRoom,
                               Instant aNow)
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end() || found->second.removed) {
    return UnavailableReason::NoInstance;
  }
  Upstream& upstream = found->second;
  const bool ended = upstream.evacuatedSince || upstream.replacedUntil;
  if (ended && !IsUsable(upstream, aNow)) {
    return UnavailableReason::NoOwner;
  }
  // If the owner of a key has crashed or is partitioned, its keys have no other
  // owner until its lease expires. Each request for them would occupy a slot
  // and wait until its caller's deadline; refused, its caller knows at once.
  if (upstream.failures >= kFailuresBeforeProbing) {
    if (aNow < upstream.nextProbeAt) {
      return UnavailableReason::Failing;
    }
    upstream.nextProbeAt = aNow + Duration(kProbeInterval);
  }
  if (!aHasRoom(upstream)) {
    return UnavailableReason::Full;
  }
  return Choice{ found->first, found->second.address };
}

UpstreamSet::Outcome
UpstreamSet::ChooseOneUncoordinated(const std::string& aInstance,
                                    Instant aNow) const
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end() || found->second.removed) {
    return UnavailableReason::NoInstance;
  }
  const Upstream& upstream = found->second;
  if (IsReplaced(upstream, aNow)) {
    return UnavailableReason::NoOwner;
  }
  const uint32_t room = std::max(upstream.slots / kUncoordinatedDivisor, 1U);
  const bool overloaded = HasFreshReport(upstream, aNow) &&
                          upstream.report->waiting >= kOverloadedWaiting;
  if (overloaded || upstream.inFlight >= room || aNow < upstream.avoidUntil ||
      !HasUncoordinatedRateRoom(upstream, aNow)) {
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

UpstreamSet::AttemptStart
UpstreamSet::BeginAttempt(const std::string& aInstance,
                          double aRateShare,
                          Instant aNow)
{
  Upstream& upstream = mUpstreams[aInstance];
  const bool full = EstimatedLoad(upstream, aNow) >= upstream.slots;
  const bool outdated = IsOutdated(upstream, aNow);
  upstream.timesPassedOver = 0;
  ++upstream.inFlight;
  ++upstream.startsSinceReport;
  upstream.lastStartAt = aNow;
  if (upstream.replacedUntil) {
    upstream.replacedUntil = aNow + Duration(kReplacedTime);
  }
  const auto service = mServices.find(upstream.service);
  if (service != mServices.end() && service->second.coldLimit) {
    upstream.recentStarts.push_back(aNow);
    while (upstream.recentStarts.size() > *service->second.coldLimit) {
      upstream.recentStarts.erase(upstream.recentStarts.begin());
    }
  }
  if (HasNamedLimit(upstream) && aRateShare > 0) {
    upstream.rateLimit->bucket.Take(1 / aRateShare, aNow);
  } else if (HasNamedLimit(upstream)) {
    upstream.rateLimit->uncoordinatedFrom = NextUncoordinated(aInstance, aNow);
  }
  const bool hasReport = HasFreshReport(upstream, aNow);
  return { upstream.inFlight > upstream.slots || (hasReport && full),
           upstream.incarnation,
           outdated };
}

void
UpstreamSet::EndAttempt(const std::string& aInstance,
                        AttemptOutcome aOutcome,
                        Duration aElapsed,
                        const AttemptStart& aStart,
                        Instant aNow)
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end() ||
      found->second.incarnation != aStart.incarnation) {
    return;
  }
  Upstream& upstream = found->second;
  upstream.inFlight -= upstream.inFlight > 0 ? 1 : 0;
  const double seconds = std::chrono::duration<double>(aElapsed).count();
  // The response time of a request that waited for a slot there depends on the
  // load more than on the upstream.
  const bool timed = aOutcome == AttemptOutcome::TimedOut ||
                     (aOutcome == AttemptOutcome::Answered && !aStart.queued);
  if (timed) {
    // The first responses have equal weights; otherwise the very first would
    // count for ten.
    ++upstream.timedResponses;
    const double weight =
      aStart.outdated
        ? 1.0
        : std::max(kResponseTimeWeight, 1.0 / upstream.timedResponses);
    upstream.meanSeconds += weight * (seconds - upstream.meanSeconds);
    mChangedResponseSeconds.insert(aInstance);
  }
  if (aOutcome == AttemptOutcome::Misdirected) {
    upstream.replacedUntil = aNow + Duration(kReplacedTime);
  } else if (aOutcome == AttemptOutcome::Answered ||
             aOutcome == AttemptOutcome::Refused) {
    upstream.replacedUntil.reset();
  }
  if (aOutcome == AttemptOutcome::Answered) {
    upstream.failures = 0;
    upstream.avoidUntil = {};
  } else if (aOutcome != AttemptOutcome::Abandoned) {
    ++upstream.failures;
    const auto time = std::min<Duration>(
      kFirstAvoidTime * (1U << std::min(upstream.failures - 1, 8U)),
      kMaxAvoidTime);
    upstream.avoidUntil = aNow + time;
  }
  if (upstream.removed && upstream.inFlight == 0) {
    mUpstreams.erase(found);
  }
}

std::map<std::string, double>
UpstreamSet::TakeChangedResponseSeconds()
{
  std::map<std::string, double> times;
  for (const std::string& id : std::exchange(mChangedResponseSeconds, {})) {
    const auto found = mUpstreams.find(id);
    if (found != mUpstreams.end() && !found->second.removed &&
        found->second.timedResponses > 0) {
      times[id] = found->second.meanSeconds;
    }
  }
  return times;
}

uint32_t
UpstreamSet::InFlight(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end() ? 0 : found->second.inFlight;
}

} // namespace rattandyke::gateway
