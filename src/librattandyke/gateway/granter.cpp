#include "gateway/granter.h"

#include <algorithm>
#include <set>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// An instance's clock may run 2% slow, so that its hold lasts 1/0.98 of the
/// time it was told; the rest covers the granularity of timers.
constexpr double kDrift = 1.03;
constexpr Duration kTimerSlack = milliseconds{ 50 };

/// Times the heartbeat interval for which the first keys of a service wait for
/// instances to announce themselves. All send one within an interval; without
/// the wait the first of them would get all keys.
constexpr double kGatherIntervals = 1.2;

/// Rows of one answer. A row takes up to 45 bytes as text, an answer at most
/// 4 KiB.
constexpr size_t kMaxRows = 64;

/// How long free keys wait for the instances that have the least load, before
/// any instance that sends a heartbeat gets a share of them.
constexpr Duration kChoosyTime = milliseconds{ 250 };
constexpr Duration kUrgentTime = milliseconds{ 800 };
/// Part of an even share that an instance gets then, however loaded it is.
constexpr double kChoosyPart = 0.34;
constexpr double kUrgentPart = 1.0;

/// A holder this much above the average gives keys away. Below it, the noise of
/// the counts would move keys to and fro.
constexpr double kHotRatio = 1.45;
/// Requests in memory below which loads are noise.
constexpr double kLeastRequests = 60;
/// Pause between moves of one service, for the loads to show the last one.
constexpr Duration kMovePause = milliseconds{ 1500 };
/// A move begins when its target is about to send a heartbeat, so that the keys
/// are without owner for less time than that.
constexpr Duration kMoveLeadMin = milliseconds{ 90 };
constexpr Duration kMoveLeadMax = milliseconds{ 450 };
constexpr Duration kMovePatience = std::chrono::seconds{ 4 };
/// Keys of a move are kept for its target this long.
constexpr Duration kMoveReserved = milliseconds{ 1600 };

/// Heartbeats of a new process at an address must be this many intervals apart,
/// with the old one silent, for the old one to count as ended. A single
/// heartbeat may be one of an even older process that was held up.
constexpr double kReplaceIntervals = 0.7;

Duration
Scaled(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

wire::KeyRange&
AddRange(wire::FreeRanges& aFree, KeySpan aKeys, const std::string& aHandover)
{
  wire::KeyRange* range = aFree.add_ranges();
  range->set_from(aKeys.from);
  range->set_to(aKeys.to);
  range->set_handover(aHandover);
  return *range;
}

std::optional<KeySpan>
Overlap(KeySpan aOne, KeySpan aOther)
{
  const KeySpan common{ std::max(aOne.from, aOther.from),
                        std::min(aOne.to, aOther.to) };
  if (common.from > common.to) {
    return std::nullopt;
  }
  return common;
}

KeySpan
SpanOf(const wire::RangeSegment& aSegment)
{
  return { aSegment.from(), aSegment.to() };
}

/// @return what is left of a span without another.
std::vector<KeySpan>
Without(KeySpan aSpan, KeySpan aTaken)
{
  std::vector<KeySpan> rest;
  const auto common = Overlap(aSpan, aTaken);
  if (!common) {
    return { aSpan };
  }
  if (aSpan.from < common->from) {
    rest.push_back({ aSpan.from, common->from - 1 });
  }
  if (common->to < aSpan.to) {
    rest.push_back({ common->to + 1, aSpan.to });
  }
  return rest;
}

std::vector<KeySpan>
Without(KeySpan aSpan, const std::vector<KeySpan>& aTaken)
{
  std::vector<KeySpan> rest{ aSpan };
  for (const KeySpan& taken : aTaken) {
    std::vector<KeySpan> next;
    for (const KeySpan& part : rest) {
      const auto parts = Without(part, taken);
      next.insert(next.end(), parts.begin(), parts.end());
    }
    rest = std::move(next);
  }
  return rest;
}

} // namespace

Granter::Granter(Options aOptions)
  : mOptions(aOptions)
{
}

bool
Granter::OwnsKeys(const State& aState, const std::string& aService)
{
  const auto& services = aState.Items().Services();
  const auto found = services.find(aService);
  return found != services.end() && found->second.owns_keys();
}

void
Granter::BecomeLeader(const State& aState, Instant aNow)
{
  mLeases.clear();
  mGroups.clear();
  const Instant longest =
    aNow + Scaled(mOptions.holdTime, kDrift) + kTimerSlack;
  for (const auto& [service, ranges] : aState.AllRanges()) {
    for (const wire::RangeSegment& segment : ranges.Segments()) {
      if (!segment.holder().empty()) {
        mLeases[segment.holder()].ends = longest;
      }
    }
  }
  for (const auto& [id, instance] : aState.Instances()) {
    mLeases[id].lastHeartbeat = aNow;
  }
}

std::vector<wire::GatewayCommand>
Granter::OnHeartbeat(const Heartbeat& aHeartbeat,
                     const State& aState,
                     Instant aArrived)
{
  std::vector<wire::GatewayCommand> commands;
  if (aState.HasEnded(aHeartbeat.instance)) {
    return commands;
  }
  Lease& lease = mLeases[aHeartbeat.instance];
  if (aHeartbeat.sequence < lease.sequence) {
    return commands;
  }
  lease.sequence = aHeartbeat.sequence;
  NoteReplaced(aHeartbeat, aState, aArrived, commands);
  const wire::UpstreamInstance* known =
    aState.FindInstance(aHeartbeat.instance);
  if (known == nullptr || known->draining() != aHeartbeat.draining ||
      known->slots() != aHeartbeat.slots) {
    wire::UpstreamInstance* instance =
      commands.emplace_back().mutable_put_instance()->mutable_instance();
    instance->set_id(aHeartbeat.instance);
    instance->set_service(aHeartbeat.service);
    instance->set_address(aHeartbeat.address);
    instance->set_data_centre(aHeartbeat.dataCentre);
    instance->set_version(aHeartbeat.version);
    instance->set_slots(aHeartbeat.slots);
    instance->set_draining(aHeartbeat.draining);
  }
  NoteReleased(aHeartbeat, aState, commands);
  lease.lastHeartbeat = aArrived;
  WithholdForMove(aHeartbeat, aArrived);
  return commands;
}

void
Granter::NoteReplaced(const Heartbeat& aHeartbeat,
                      const State& aState,
                      Instant aNow,
                      std::vector<wire::GatewayCommand>& aCommands)
{
  Lease& lease = mLeases[aHeartbeat.instance];
  if (!lease.firstHeartbeat) {
    lease.firstHeartbeat = aNow;
  }
  for (const auto& [id, other] : aState.Instances()) {
    if (other.address() != aHeartbeat.address || id == aHeartbeat.instance) {
      continue;
    }
    const Lease& old = mLeases[id];
    const bool silent =
      !old.lastHeartbeat || *old.lastHeartbeat < *lease.firstHeartbeat;
    const bool lasting = aNow - *lease.firstHeartbeat >=
                         Scaled(mOptions.heartbeatInterval, kReplaceIntervals);
    if (silent && lasting) {
      aCommands.emplace_back().mutable_end_instance()->set_id(id);
      mLeases[id].expiring = true;
      FreeAll(id, aState, aCommands);
    }
  }
}

void
Granter::FreeAll(const std::string& aId,
                 const State& aState,
                 std::vector<wire::GatewayCommand>& aCommands)
{
  for (const auto& [service, ranges] : aState.AllRanges()) {
    wire::FreeRanges free;
    free.set_service(service);
    free.set_holder(aId);
    for (const wire::RangeSegment& segment : ranges.Segments()) {
      if (segment.holder() == aId) {
        AddRange(free, SpanOf(segment), "");
      }
    }
    if (free.ranges_size() > 0) {
      *aCommands.emplace_back().mutable_free_ranges() = std::move(free);
    }
  }
}

void
Granter::NoteReleased(const Heartbeat& aHeartbeat,
                      const State& aState,
                      std::vector<wire::GatewayCommand>& aCommands)
{
  const RangeTable* ranges = aState.Ranges(aHeartbeat.service);
  if (ranges == nullptr) {
    return;
  }
  Lease& lease = mLeases[aHeartbeat.instance];
  wire::FreeRanges free;
  free.set_service(aHeartbeat.service);
  free.set_holder(aHeartbeat.instance);
  for (const ReleasedRange& released : aHeartbeat.released) {
    for (const wire::RangeSegment& segment : ranges->Segments()) {
      // A release in a heartbeat that was sent before the grant speaks of an
      // earlier hold of these keys.
      const bool current = segment.holder() == aHeartbeat.instance &&
                           segment.sequence() < aHeartbeat.sequence;
      const auto common = Overlap(SpanOf(segment), released.keys);
      if (current && common) {
        AddRange(free, *common, released.handover);
      }
    }
    std::vector<KeySpan> withheld;
    for (const KeySpan& span : lease.withheld) {
      const auto rest = Without(span, released.keys);
      withheld.insert(withheld.end(), rest.begin(), rest.end());
    }
    lease.withheld = std::move(withheld);
  }
  if (free.ranges_size() > 0) {
    *aCommands.emplace_back().mutable_free_ranges() = std::move(free);
  }
}

void
Granter::WithholdForMove(const Heartbeat& aHeartbeat, Instant aNow)
{
  const auto found = mGroups.find(aHeartbeat.service);
  if (found == mGroups.end() || !found->second.move) {
    return;
  }
  Move& move = *found->second.move;
  if (move.from != aHeartbeat.instance || move.startedAt) {
    return;
  }
  const Lease& target = mLeases[move.to];
  if (!target.lastHeartbeat) {
    return;
  }
  const Duration since = aNow - *target.lastHeartbeat;
  const Duration left = mOptions.heartbeatInterval - since;
  const bool timely = left >= kMoveLeadMin && left <= kMoveLeadMax;
  if (!timely && aNow - move.plannedAt < kMovePatience) {
    return;
  }
  move.startedAt = aNow;
  Lease& lease = mLeases[aHeartbeat.instance];
  lease.withheld.push_back(move.keys);
}

bool
Granter::IsActive(const wire::UpstreamInstance& aInstance, Instant aNow) const
{
  const auto lease = mLeases.find(aInstance.id());
  if (aInstance.draining() || lease == mLeases.end() ||
      lease->second.expiring || !lease->second.lastHeartbeat) {
    return false;
  }
  return aNow - *lease->second.lastHeartbeat <
         Scaled(mOptions.heartbeatInterval, 2.5);
}

Granter::Loads
Granter::LoadOfHolders(const std::string& aService,
                       const State& aState,
                       Instant aNow) const
{
  Loads loads;
  for (const auto& [id, instance] : aState.Instances()) {
    if (instance.service() == aService && IsActive(instance, aNow)) {
      loads[id] = 0;
    }
  }
  const RangeTable* ranges = aState.Ranges(aService);
  const auto group = mGroups.find(aService);
  if (ranges == nullptr || group == mGroups.end()) {
    return loads;
  }
  for (const wire::RangeSegment& segment : ranges->Segments()) {
    const auto found = loads.find(segment.holder());
    if (found != loads.end()) {
      found->second += group->second.load.Of(SpanOf(segment));
    }
  }
  return loads;
}

void
Granter::UpdatePool(const std::string& aService,
                    const State& aState,
                    Instant aNow)
{
  Group& group = mGroups[aService];
  const RangeTable* ranges = aState.Ranges(aService);
  const bool free =
    ranges == nullptr ||
    std::any_of(ranges->Segments().begin(),
                ranges->Segments().end(),
                [](const auto& aSegment) { return aSegment.holder().empty(); });
  if (!free) {
    group.freeSince.reset();
  } else if (!group.freeSince) {
    group.freeSince = aNow;
  }
}

double
Granter::Quota(const Group& aGroup,
               const Loads& aLoads,
               const std::string& aId,
               Instant aNow) const
{
  const double share = aGroup.load.Total() /
                       static_cast<double>(std::max<size_t>(aLoads.size(), 1));
  const double own = aLoads.at(aId);
  const Duration age = aNow - *aGroup.freeSince;
  const double part = age >= kUrgentTime   ? kUrgentPart
                      : age >= kChoosyTime ? kChoosyPart
                                           : 0.0;
  return std::max(share * 1.05 - own, share * part);
}

std::optional<wire::GatewayCommand>
Granter::PlanGrant(const Heartbeat& aHeartbeat,
                   const State& aState,
                   Instant aNow)
{
  const std::string& id = aHeartbeat.instance;
  const wire::UpstreamInstance* instance = aState.FindInstance(id);
  if (instance == nullptr || !OwnsKeys(aState, instance->service()) ||
      mLeases[id].sequence != aHeartbeat.sequence ||
      !IsActive(*instance, aNow)) {
    return std::nullopt;
  }
  UpdatePool(instance->service(), aState, aNow);
  Group& group = mGroups[instance->service()];
  if (!group.firstInstance) {
    group.firstInstance = aNow;
  }
  static const RangeTable sUntouched;
  const RangeTable* known = aState.Ranges(instance->service());
  const RangeTable& ranges = known == nullptr ? sUntouched : *known;
  if (!group.freeSince) {
    return std::nullopt;
  }
  const bool first = ranges.IsUntouched();
  if (first && aNow - *group.firstInstance <
                 Scaled(mOptions.heartbeatInterval, kGatherIntervals)) {
    group.freeSince = aNow;
    return std::nullopt;
  }
  const Loads loads = LoadOfHolders(instance->service(), aState, aNow);
  if (!loads.contains(id)) {
    return std::nullopt;
  }
  double quota = Quota(group, loads, id, aNow);
  size_t rows = 0;
  for (const wire::RangeSegment& segment : ranges.Segments()) {
    rows += segment.holder() == id ? 1 : 0;
  }
  wire::GatewayCommand command;
  wire::GrantRanges* grant = command.mutable_grant_ranges();
  grant->set_service(instance->service());
  grant->set_holder(id);
  grant->set_sequence(aHeartbeat.sequence);
  for (const wire::RangeSegment& segment : ranges.Segments()) {
    if (!segment.holder().empty() || rows >= kMaxRows) {
      continue;
    }
    KeySpan keys = SpanOf(segment);
    const bool reserved = group.move && group.move->startedAt &&
                          aNow - *group.move->startedAt < kMoveReserved &&
                          Overlap(keys, group.move->keys).has_value();
    if (reserved && group.move->to != id) {
      continue;
    }
    if (!reserved) {
      if (quota <= 0) {
        continue;
      }
      keys = group.load.Take(keys, quota);
      quota -= group.load.Of(keys);
    }
    wire::KeyRange* range = grant->add_ranges();
    range->set_from(keys.from);
    range->set_to(keys.to);
    range->set_handover(segment.handover());
    ++rows;
  }
  if (grant->ranges_size() == 0) {
    return std::nullopt;
  }
  return command;
}

bool
Granter::IsWithheld(const Lease& aLease, uint32_t aKey) const
{
  return std::any_of(
    aLease.withheld.begin(), aLease.withheld.end(), [&](const KeySpan& aSpan) {
      return aSpan.from <= aKey && aKey <= aSpan.to;
    });
}

std::optional<Grants>
Granter::Renew(const Heartbeat& aHeartbeat,
               const State& aState,
               Instant aArrived)
{
  const std::string& id = aHeartbeat.instance;
  const auto found = mLeases.find(id);
  const wire::UpstreamInstance* instance = aState.FindInstance(id);
  if (instance == nullptr || found == mLeases.end()) {
    return std::nullopt;
  }
  Lease& lease = found->second;
  if (lease.expiring || lease.sequence != aHeartbeat.sequence ||
      !OwnsKeys(aState, instance->service())) {
    return std::nullopt;
  }
  Grants grants;
  grants.holdTime = mOptions.holdTime;
  const RangeTable* ranges = aState.Ranges(instance->service());
  if (ranges != nullptr && !instance->draining()) {
    for (const wire::RangeSegment& segment : ranges->Segments()) {
      if (segment.holder() != id) {
        continue;
      }
      for (const KeySpan& keys : Without(SpanOf(segment), lease.withheld)) {
        grants.ranges.push_back(
          { keys, Fence{ segment.fence() }, segment.handover() });
      }
    }
  }
  // Counted from the arrival: the instance counts from the sending, so its hold
  // ends no later than this.
  lease.ends = std::max(
    lease.ends, aArrived + Scaled(mOptions.holdTime, kDrift) + kTimerSlack);
  return grants;
}

void
Granter::FreeExpired(const State& aState,
                     Instant aNow,
                     std::vector<wire::GatewayCommand>& aCommands)
{
  std::set<std::string> holders;
  for (const auto& [service, ranges] : aState.AllRanges()) {
    for (const wire::RangeSegment& segment : ranges.Segments()) {
      if (!segment.holder().empty()) {
        holders.insert(segment.holder());
      }
    }
  }
  for (const std::string& id : holders) {
    Lease& lease = mLeases[id];
    if (aNow >= lease.ends) {
      // Until the commands are applied nothing of it may be renewed.
      lease.expiring = true;
      FreeAll(id, aState, aCommands);
    }
  }
  for (auto at = mLeases.begin(); at != mLeases.end();) {
    const bool holds = holders.contains(at->first);
    if (!holds) {
      at->second.expiring = false;
    }
    const bool gone = !holds && aState.HasEnded(at->first);
    at = gone ? mLeases.erase(at) : std::next(at);
  }
}

std::vector<wire::GatewayCommand>
Granter::Tick(const State& aState, Instant aNow)
{
  std::vector<wire::GatewayCommand> commands;
  FreeExpired(aState, aNow, commands);
  for (const auto& [id, instance] : aState.Instances()) {
    Lease& lease = mLeases[id];
    if (!lease.lastHeartbeat) {
      lease.lastHeartbeat = aNow;
    }
    if (aNow - *lease.lastHeartbeat >= mOptions.forgetAfter) {
      commands.emplace_back().mutable_end_instance()->set_id(id);
    }
  }
  for (auto& [service, group] : mGroups) {
    group.load.Decay(aNow);
    UpdatePool(service, aState, aNow);
    PlanMove(service, aState, aNow);
  }
  return commands;
}

std::optional<KeySpan>
Granter::SliceOf(const std::string& aHolder,
                 const RangeTable& aRanges,
                 const LoadMap& aLoad,
                 double aWanted) const
{
  std::optional<KeySpan> busiest;
  double most = 0;
  for (const wire::RangeSegment& segment : aRanges.Segments()) {
    if (segment.holder() != aHolder) {
      continue;
    }
    // Load for each key: a move of few busy keys costs less than one of many.
    const double load = aLoad.Of(SpanOf(segment));
    if (load > most) {
      most = load;
      busiest = SpanOf(segment);
    }
  }
  if (!busiest) {
    return std::nullopt;
  }
  const KeySpan slice = aLoad.Take(*busiest, aWanted);
  return slice;
}

void
Granter::PlanMove(const std::string& aService,
                  const State& aState,
                  Instant aNow)
{
  Group& group = mGroups[aService];
  if (group.move) {
    const bool done = group.move->startedAt
                        ? aNow - *group.move->startedAt >= kMoveReserved
                        : aNow - group.move->plannedAt >= 2 * kMovePatience;
    if (!done) {
      return;
    }
    group.move.reset();
    group.lastMove = aNow;
  }
  const RangeTable* ranges = aState.Ranges(aService);
  if (ranges == nullptr || group.freeSince ||
      aNow - group.lastMove < kMovePause ||
      group.load.Requests() < kLeastRequests) {
    return;
  }
  const Loads loads = LoadOfHolders(aService, aState, aNow);
  if (loads.size() < 2) {
    return;
  }
  const auto byLoad = [](const auto& aOne, const auto& aOther) {
    return aOne.second < aOther.second;
  };
  const auto hottest = std::max_element(loads.begin(), loads.end(), byLoad);
  const auto coldest = std::min_element(loads.begin(), loads.end(), byLoad);
  const double share = group.load.Total() / static_cast<double>(loads.size());
  if (hottest->second < kHotRatio * share) {
    return;
  }
  const double wanted =
    std::min(hottest->second - share, (hottest->second - coldest->second) / 2);
  const auto slice = SliceOf(hottest->first, *ranges, group.load, wanted);
  if (!slice || group.load.Of(*slice) >= hottest->second - coldest->second) {
    return;
  }
  group.move = Move{ hottest->first, coldest->first, *slice, aNow, {} };
}

void
Granter::AddLoad(const wire::RangeLoad& aLoad)
{
  mGroups[aLoad.service()].load.Add(aLoad);
}

} // namespace rattandyke::gateway
