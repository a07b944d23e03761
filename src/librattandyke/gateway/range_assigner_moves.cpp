// Grants of free keys, and moves of keys away from overloaded instances.
#include "gateway/range_assigner.h"

#include <algorithm>
#include <cmath>

#include "base/clock.h"
#include "gateway/key_spans.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Number of heartbeat intervals for which the first grant of a service's keys
/// waits for instances to register. All instances send a heartbeat within one
/// interval; without the wait the first of them would get all keys.
constexpr double kRegistrationIntervals = 1.2;

/// Maximum number of ranges in one answer. A range takes up to 45 bytes of
/// text, and an answer has at most 4 KiB.
constexpr size_t kMaxRangesPerAnswer = 64;

/// An instance takes a whole free range if its load then is at most this
/// multiple of its balanced share.
constexpr double kWholeRangeTolerance = 1.25;
/// A free range that no instance takes whole waits until the service has had
/// free keys for kSplitAfter. Then each instance that sends a heartbeat takes a
/// part of it, and after kForceAfter a larger part: keys without an owner are
/// worse than keys with an overloaded owner. With a dozen instances a service
/// gets a heartbeat about every 100 ms.
constexpr Duration kSplitAfter = milliseconds{ 150 };
constexpr Duration kForceAfter = milliseconds{ 600 };
/// Time for which an instance takes no free keys after it released some, unless
/// the service has had free keys for kForceAfter.
constexpr Duration kReacquireDelay = milliseconds{ 1500 };
/// Least load that an instance takes after kSplitAfter and after kForceAfter,
/// as a fraction of its balanced share, however loaded it is.
constexpr double kSplitShare = 0.5;
constexpr double kForcedShare = 1.5;

/// An instance takes slightly more than its balanced share, so that the last
/// free ranges find an owner.
constexpr double kShareTolerance = 1.05;
/// Keys are moved away from an owner if it uses at least this fraction of its
/// slots, and its relative load is at least this multiple of the balanced load.
/// Below that, requests rarely wait, and each move leaves its keys without a
/// owner for about 200 ms.
constexpr double kMinUtilizationToMove = 0.55;
constexpr double kMinLoadRatioToMove = 1.25;
/// Number of standard deviations of its request count by which an owner's load
/// must exceed its balanced share. With about 20 requests counted for each of a
/// dozen owners, one in three exceeds the share by a quarter by chance, and
/// keys that are moved for that are soon moved back.
constexpr double kMinDeviationsToMove = 2.0;
/// Maximum number of ranges that are revoked for one heartbeat.
constexpr size_t kMaxMovesPerHeartbeat = 5;
/// Least load that is worth a move, as a fraction of the owner's balanced
/// share.
constexpr double kMinMoveShare = 0.15;
/// A hot key alone uses at least this fraction of its owner's slots, and can't
/// be divided. If its owner has no other hot key, it is moved only if it makes
/// up at least kHotKeyMinLoadShare of the owner's load and another instance is
/// more than kHotKeyMinSpeedup times as fast.
constexpr double kHotKeyUtilization = 0.95;
constexpr double kHotKeyMinLoadShare = 0.6;
constexpr double kHotKeyMinSpeedup = 1.4;
/// Time for which a hot key is not moved again: longer than most keys stay hot.
constexpr Duration kHotKeyMoveInterval = std::chrono::seconds{ 10 };
/// Time for which a moved hot key is reserved for its target.
constexpr Duration kReservationTime = milliseconds{ 900 };
/// An owner reports a release about 100 ms after the answer that revoked the
/// keys.
constexpr milliseconds kReleaseLatency{ 110 };
/// Maximum time for which a hot key may have no owner after its release. A
/// target that is 1.4 times as fast makes up for that within a second.
constexpr milliseconds kMaxUnownedTime{ 250 };
/// Time after which a pending grant is either committed or has failed.
constexpr Duration kPendingGrantTimeout = milliseconds{ 300 };

} // namespace

/// Revoked keys other than hot keys go to the instances whose heartbeats come
/// next. If they were reserved for certain instances, they would have no owner
/// until those instances send their heartbeats.
void
RangeAssigner::PlanMoves(const Heartbeat& aHeartbeat,
                         const State& aState,
                         Instant aNow,
                         std::vector<wire::GatewayCommand>& aCommands)
{
  const std::string& id = aHeartbeat.instance;
  const RangeTable* ranges = aState.Ranges(aHeartbeat.service);
  const auto found = mPlans.find(aHeartbeat.service);
  if (ranges == nullptr || found == mPlans.end()) {
    return;
  }
  const ServicePlan& plan = found->second;
  // The method returns here for most heartbeats. The loads are copied only for
  // an owner that gives up keys.
  const OwnerLoads& loads = OwnerLoadsOf(aHeartbeat.service, aState, aNow);
  const auto own = loads.find(id);
  if (own == loads.end() || own->second.utilization < kMinUtilizationToMove) {
    return;
  }
  const double balancedLoad = BalancedLoad(plan);
  const double excess = own->second.load - balancedLoad * own->second.speed;
  if (own->second.RelativeLoad() < kMinLoadRatioToMove * balancedLoad ||
      excess < kMinDeviationsToMove * std::sqrt(own->second.load)) {
    return;
  }
  const auto& held = IndexOf(aHeartbeat.service, *ranges).OwnedBy(id);
  const bool releasing = std::any_of(held.begin(), held.end(), [&](auto aKey) {
    return ranges->Find(aKey).held_back();
  });
  if (releasing) {
    return;
  }
  OwnerLoads ownerLoads = loads;
  OwnerLoad& source = ownerLoads.at(id);
  std::vector<KeySpan> revoked;
  MoveHotKey(aHeartbeat, *ranges, ownerLoads, aNow, revoked);
  // These ranges are granted to any instance that sends a heartbeat. A key that
  // is hot even for an average instance would be moved from one overloaded
  // owner to the next, without an owner in between, and gain nothing.
  std::vector<KeySpan> excluded =
    HotKeys(id, MeanUtilizationPerRequest(ownerLoads), *ranges, plan);
  excluded.insert(excluded.end(), revoked.begin(), revoked.end());
  std::vector<OwnerLoad> targets;
  for (const auto& [other, owner] : ownerLoads) {
    if (other != id && owner.RelativeLoad() < balancedLoad) {
      targets.push_back(owner);
    }
  }
  std::sort(
    targets.begin(), targets.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.RelativeLoad() < aOther.RelativeLoad();
    });
  for (const OwnerLoad& target : targets) {
    // The load that brings one of the two to the balanced load.
    const double targetLoad =
      std::min(source.load - balancedLoad * source.speed,
               balancedLoad * target.speed - target.load);
    if (revoked.size() >= kMaxMovesPerHeartbeat ||
        targetLoad < kMinMoveShare * balancedLoad * source.speed) {
      break;
    }
    if (const auto keys =
          ChooseKeysToMove(id, *ranges, plan, excluded, targetLoad)) {
      source.load -= plan.load.LoadOf(*keys);
      revoked.push_back(*keys);
      excluded.push_back(*keys);
    }
  }
  AppendRevocation(aHeartbeat, revoked, aCommands);
}

/// No new requests may reach an evacuated data centre, and keys that are held
/// there can't be served anywhere else. The owner releases them with its next
/// heartbeat, so that the next owners start with the handover. The keys stay
/// if no instance can take them: requests for keys without an owner would be
/// refused as well, and the move would gain nothing.
void
RangeAssigner::RevokeEvacuated(
  const Heartbeat& aHeartbeat,
  const State& aState,
  Instant aNow,
  std::vector<wire::GatewayCommand>& aCommands) const
{
  const RangeTable* ranges = aState.Ranges(aHeartbeat.service);
  const auto& instances = aState.Instances();
  const bool hasTarget =
    std::any_of(instances.begin(), instances.end(), [&](const auto& aItem) {
      return aItem.second.service() == aHeartbeat.service &&
             IsActive(aItem.second, aState, aNow);
    });
  if (ranges == nullptr || !hasTarget) {
    return;
  }
  std::vector<KeySpan> revoked;
  for (const wire::RangeSegment& segment : ranges->Segments()) {
    if (segment.holder() == aHeartbeat.instance && !segment.held_back()) {
      revoked.push_back(SpanOf(segment));
    }
  }
  AppendRevocation(aHeartbeat, revoked, aCommands);
}

/// Once the command is applied, the instance's answers leave the revoked keys
/// out. The mark is part of the replicated state, so a new leader continues the
/// move.
void
RangeAssigner::AppendRevocation(const Heartbeat& aHeartbeat,
                                const std::vector<KeySpan>& aSpans,
                                std::vector<wire::GatewayCommand>& aCommands)
{
  if (aSpans.empty()) {
    return;
  }
  wire::HoldBackRanges* held =
    aCommands.emplace_back().mutable_hold_back_ranges();
  held->set_service(aHeartbeat.service);
  held->set_holder(aHeartbeat.instance);
  for (const KeySpan& keys : aSpans) {
    wire::KeyRange* range = held->add_ranges();
    range->set_from(keys.from);
    range->set_to(keys.to);
  }
}

double
RangeAssigner::MeanUtilizationPerRequest(const OwnerLoads& aOwners)
{
  double sum = 0;
  for (const auto& [id, owner] : aOwners) {
    sum += owner.utilizationPerRequest;
  }
  return sum / static_cast<double>(std::max<size_t>(aOwners.size(), 1));
}

std::vector<KeySpan>
RangeAssigner::HotKeys(const std::string& aId,
                       double aUtilizationPerRequest,
                       const RangeTable& aRanges,
                       const ServicePlan& aPlan)
{
  std::vector<KeySpan> keys;
  for (const uint32_t key : aPlan.index.OwnedBy(aId)) {
    const wire::RangeSegment& segment = aRanges.Find(key);
    if (!segment.held_back()) {
      const auto busy = aPlan.load.FindHotKeys(
        SpanOf(segment), kHotKeyUtilization / aUtilizationPerRequest);
      keys.insert(keys.end(), busy.begin(), busy.end());
    }
  }
  std::sort(keys.begin(), keys.end(), [&](KeySpan aOne, KeySpan aOther) {
    return aPlan.load.LoadOf(aOne) < aPlan.load.LoadOf(aOther);
  });
  return keys;
}

/// Selects the fastest instance whose heartbeat is due when the key is
/// released, and that has no hot key: two hot keys would share the capacity
/// that one of them can use.
RangeAssigner::OwnerLoads::iterator
RangeAssigner::FindHotKeyTarget(const std::string& aFrom,
                                const RangeTable& aRanges,
                                const ServicePlan& aPlan,
                                OwnerLoads& aOwners,
                                Instant aNow) const
{
  auto best = aOwners.end();
  for (auto at = aOwners.begin(); at != aOwners.end(); ++at) {
    const auto& [id, owner] = *at;
    const bool faster =
      best == aOwners.end() || owner.speed > best->second.speed;
    const bool hasReservation =
      std::any_of(aPlan.reservations.begin(),
                  aPlan.reservations.end(),
                  [&](const Reservation& aReservation) {
                    return aReservation.to == at->first;
                  });
    if (id != aFrom && faster && !hasReservation && IsHeartbeatDue(id, aNow) &&
        HotKeys(id, owner.utilizationPerRequest, aRanges, aPlan).empty()) {
      best = at;
    }
  }
  return best;
}

/// A key that exceeds the capacity of any instance gains little by a move, and
/// has no owner during the move. It moves only to a clearly faster instance,
/// which then gives up its other keys, or away from another hot key.
///
/// The owner of a hot key is overloaded and therefore responds more slowly, so
/// other instances look faster wherever the key is. When hot keys were moved
/// each time, such a key had no owner for 0.1 to 0.9 s out of every one or two
/// seconds. So a hot key stays for kHotKeyMoveInterval after a move.
void
RangeAssigner::MoveHotKey(const Heartbeat& aHeartbeat,
                          const RangeTable& aRanges,
                          OwnerLoads& aOwners,
                          Instant aNow,
                          std::vector<KeySpan>& aRevoked)
{
  ServicePlan& plan = mPlans[aHeartbeat.service];
  OwnerLoad& source = aOwners.at(aHeartbeat.instance);
  const std::vector<KeySpan> hotKeys =
    HotKeys(aHeartbeat.instance, source.utilizationPerRequest, aRanges, plan);
  const auto key =
    std::find_if(hotKeys.begin(), hotKeys.end(), [&](KeySpan aKeys) {
      return !plan.hotKeyMoves.contains(aKeys.from);
    });
  if (key == hotKeys.end()) {
    return;
  }
  const auto target =
    FindHotKeyTarget(aHeartbeat.instance, aRanges, plan, aOwners, aNow);
  if (target == aOwners.end()) {
    return;
  }
  const double load = plan.load.LoadOf(*key);
  const double speedup = target->second.speed / source.speed;
  const bool worthwhile = hotKeys.size() > 1
                            ? speedup * static_cast<double>(hotKeys.size()) > 1
                            : speedup > kHotKeyMinSpeedup &&
                                load >= kHotKeyMinLoadShare * source.load;
  if (worthwhile) {
    source.load -= load;
    target->second.load += load;
    plan.reservations.push_back(Reservation{ target->first, *key, aNow });
    plan.hotKeyMoves[key->from] = aNow;
    aRevoked.push_back(*key);
  }
}

/// Reserved keys have no owner until their target sends a heartbeat, and the
/// busiest key of a service loses more by a long wait than a faster owner makes
/// up for within seconds. So a hot key moves only to an instance whose
/// heartbeat is due about when the key is released. The deadline allows for the
/// time for which the instance's answer may be delayed.
bool
RangeAssigner::IsHeartbeatDue(const std::string& aInstance, Instant aNow) const
{
  const auto status = mStatuses.find(aInstance);
  if (status == mStatuses.end() || !status->second.lastHeartbeatAt) {
    return false;
  }
  const Duration due =
    *status->second.lastHeartbeatAt + mOptions.heartbeatInterval - aNow;
  return due <= Duration(kReleaseLatency) + Duration(kMaxUnownedTime);
}

void
RangeAssigner::ExpireReservations(ServicePlan& aPlan, Instant aNow)
{
  std::erase_if(aPlan.reservations, [&](const Reservation& aReservation) {
    return aNow - aReservation.createdAt >= kReservationTime;
  });
  std::erase_if(aPlan.hotKeyMoves, [&](const auto& aKey) {
    return aNow - aKey.second >= kHotKeyMoveInterval;
  });
}

const RangeAssigner::Reservation*
RangeAssigner::FindReservation(const ServicePlan& aPlan,
                               KeySpan aKeys,
                               Instant aNow)
{
  for (const Reservation& reservation : aPlan.reservations) {
    if (aNow - reservation.createdAt < kReservationTime &&
        Intersect(aKeys, reservation.keys)) {
      return &reservation;
    }
  }
  return nullptr;
}

bool
RangeAssigner::ShouldDelayAnswer(const Heartbeat& aHeartbeat,
                                 const State& aState,
                                 Instant aNow)
{
  const RangeTable* ranges = aState.Ranges(aHeartbeat.service);
  const auto plan = mPlans.find(aHeartbeat.service);
  if (ranges == nullptr || plan == mPlans.end()) {
    return false;
  }
  bool releasing = false;
  for (const uint32_t key : IndexOf(aHeartbeat.service, *ranges).Revoked()) {
    const wire::RangeSegment& segment = ranges->Find(key);
    ++mVisits;
    if (segment.holder() == aHeartbeat.instance) {
      continue;
    }
    const Reservation* reservation =
      FindReservation(plan->second, SpanOf(segment), aNow);
    if (reservation != nullptr && reservation->to == aHeartbeat.instance) {
      return true;
    }
    releasing |= reservation == nullptr;
  }
  if (!releasing) {
    return false;
  }
  const OwnerLoads& ownerLoads = OwnerLoadsOf(aHeartbeat.service, aState, aNow);
  const auto own = ownerLoads.find(aHeartbeat.instance);
  return own != ownerLoads.end() &&
         own->second.RelativeLoad() < BalancedLoad(plan->second);
}

void
RangeAssigner::UpdateFreeSince(const std::string& aService,
                               const State& aState,
                               Instant aNow)
{
  ServicePlan& plan = mPlans[aService];
  const RangeTable* ranges = aState.Ranges(aService);
  const bool free =
    ranges == nullptr || !IndexOf(aService, *ranges).Free().empty();
  if (!free) {
    plan.freeSince.reset();
  } else if (!plan.freeSince) {
    plan.freeSince = aNow;
  }
}

std::optional<KeySpan>
RangeAssigner::ChooseFreeKeys(KeySpan aFree,
                              const ServicePlan& aPlan,
                              const OwnerLoad& aCandidate,
                              double aShare,
                              Duration aFreeFor,
                              bool aFirstGrant)
{
  const double load = aPlan.load.LoadOf(aFree);
  if (aCandidate.load + load <= kWholeRangeTolerance * aShare) {
    return aFree;
  }
  if (aFirstGrant) {
    const double room = aShare * kShareTolerance - aCandidate.load;
    return room > 0 ? std::optional(aPlan.load.PrefixWithin(aFree, room))
                    : std::nullopt;
  }
  if (aFreeFor < kSplitAfter) {
    return std::nullopt;
  }
  const double part = aFreeFor < kForceAfter ? kSplitShare : kForcedShare;
  const double room =
    std::max(aShare * kShareTolerance - aCandidate.load, aShare * part);
  return aPlan.load.PrefixWithin(aFree, room);
}

/// While one grant is being committed, heartbeats of hundreds of other
/// instances arrive. If they were granted the same keys, all grants but one
/// would fail in each round of the log, and a fleet would wait a minute for its
/// first keys. If a grant fails, its keys are available again after
/// kPendingGrantTimeout.
std::vector<KeySpan>
RangeAssigner::ExcludePendingGrants(ServicePlan& aPlan,
                                    KeySpan aFree,
                                    Instant aNow)
{
  while (!aPlan.pendingGrantOrder.empty() &&
         aNow - aPlan.pendingGrantOrder.front().first >= kPendingGrantTimeout) {
    aPlan.pendingGrants.erase(aPlan.pendingGrantOrder.front().second);
    aPlan.pendingGrantOrder.pop_front();
  }
  std::vector<KeySpan> rest;
  uint32_t from = aFree.from;
  auto at = aPlan.pendingGrants.upper_bound(from);
  if (at != aPlan.pendingGrants.begin() && std::prev(at)->second >= from) {
    --at;
  }
  for (; at != aPlan.pendingGrants.end() && at->first <= aFree.to; ++at) {
    if (at->first > from) {
      rest.push_back({ from, at->first - 1 });
    }
    from = at->second + 1;
  }
  if (from <= aFree.to) {
    rest.push_back({ from, aFree.to });
  }
  return rest;
}

void
RangeAssigner::AddPendingGrant(ServicePlan& aPlan, KeySpan aKeys, Instant aNow)
{
  aPlan.pendingGrants[aKeys.from] = aKeys.to;
  aPlan.pendingGrantOrder.emplace_back(aNow, aKeys.from);
}

std::optional<wire::GatewayCommand>
RangeAssigner::PlanGrant(const Heartbeat& aHeartbeat,
                         const State& aState,
                         Instant aNow)
{
  const std::string& id = aHeartbeat.instance;
  const wire::UpstreamInstance* instance = aState.FindInstance(id);
  if (instance == nullptr || instance->life() != aHeartbeat.life ||
      !OwnsKeys(aState, instance->service()) || !IsNewest(aHeartbeat) ||
      !IsActive(*instance, aState, aNow)) {
    return std::nullopt;
  }
  UpdateFreeSince(instance->service(), aState, aNow);
  ServicePlan& plan = mPlans[instance->service()];
  if (!plan.firstCandidateAt) {
    plan.firstCandidateAt = aNow;
  }
  static const RangeTable sNeverGranted;
  const RangeTable* granted = aState.Ranges(instance->service());
  const RangeTable& ranges = granted == nullptr ? sNeverGranted : *granted;
  if (!plan.freeSince) {
    return std::nullopt;
  }
  const bool firstGrant = ranges.WasNeverGranted();
  if (firstGrant &&
      aNow - *plan.firstCandidateAt <
        Scaled(mOptions.heartbeatInterval, kRegistrationIntervals)) {
    plan.freeSince = aNow;
    return std::nullopt;
  }
  const OwnerLoads& ownerLoads =
    OwnerLoadsOf(instance->service(), aState, aNow);
  // A new instance is not among the owners yet, and holds nothing.
  const auto own = ownerLoads.find(id);
  OwnerLoad candidate = own == ownerLoads.end() ? OwnerLoad{} : own->second;
  const double share = BalancedLoad(plan) * candidate.speed;
  const Duration freeFor = aNow - *plan.freeSince;
  const std::optional<Instant>& releasedAt = mStatuses[id].releasedAt;
  if (releasedAt && freeFor < kForceAfter &&
      aNow - *releasedAt < kReacquireDelay) {
    return std::nullopt;
  }
  const OwnerIndex& index = IndexOf(instance->service(), ranges);
  size_t rangeCount = index.OwnedBy(id).size();
  wire::GatewayCommand command;
  wire::GrantRanges* grant = command.mutable_grant_ranges();
  grant->set_service(instance->service());
  grant->set_holder(id);
  grant->set_life(aHeartbeat.life);
  grant->set_sequence(aHeartbeat.sequence);
  for (const uint32_t key : index.Free()) {
    const wire::RangeSegment& segment = ranges.Find(key);
    ++mVisits;
    if (rangeCount >= kMaxRangesPerAnswer) {
      break;
    }
    for (KeySpan keys : ExcludePendingGrants(plan, SpanOf(segment), aNow)) {
      const Reservation* reservation = FindReservation(plan, keys, aNow);
      const bool forOther = reservation != nullptr && reservation->to != id;
      if (forOther || rangeCount >= kMaxRangesPerAnswer) {
        continue;
      }
      if (reservation == nullptr) {
        const auto part =
          ChooseFreeKeys(keys, plan, candidate, share, freeFor, firstGrant);
        if (!part) {
          continue;
        }
        keys = *part;
      }
      candidate.load += plan.load.LoadOf(keys);
      AddPendingGrant(plan, keys, aNow);
      wire::KeyRange* range = grant->add_ranges();
      range->set_from(keys.from);
      range->set_to(keys.to);
      range->set_handover(segment.handover());
      ++rangeCount;
    }
  }
  if (grant->ranges_size() == 0) {
    return std::nullopt;
  }
  // The grant may be committed without a renewal of the lease. Its expiry is
  // checked in this case, too.
  if (InstanceStatus& status = mStatuses[id]; !status.leaseCheckAt) {
    ScheduleLeaseCheck(id, status, aNow + kIdleCheckInterval);
  }
  return command;
}

std::optional<KeySpan>
RangeAssigner::ChooseKeysToMove(const std::string& aOwner,
                                const RangeTable& aRanges,
                                const ServicePlan& aPlan,
                                const std::vector<KeySpan>& aExcluded,
                                double aTargetLoad)
{
  std::optional<KeySpan> best;
  const KeyLoadMap& load = aPlan.load;
  for (const uint32_t key : aPlan.index.OwnedBy(aOwner)) {
    for (const KeySpan& keys : Subtract(SpanOf(aRanges.Find(key)), aExcluded)) {
      const auto run = load.FindHotRun(keys, aTargetLoad);
      if (run && (!best || load.LoadOf(*run) > load.LoadOf(*best))) {
        best = run;
      }
    }
  }
  return best;
}

void
RangeAssigner::AddLoad(const wire::RangeLoad& aLoad)
{
  mPlans[aLoad.service()].load.Add(aLoad);
}

} // namespace rattandyke::gateway
