// Who gets free keys, and which keys a busy holder gives away.
#include "gateway/range_assigner.h"

#include <algorithm>
#include <cmath>

#include "base/clock.h"
#include "gateway/key_spans.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Times the heartbeat interval for which the first keys of a service wait for
/// instances to announce themselves. All send one within an interval; without
/// the wait the first of them would get all keys.
constexpr double kGatherIntervals = 1.2;

/// Rows of one answer. A row takes up to 45 bytes as text, an answer at most
/// 4 KiB.
constexpr size_t kMaxRows = 64;

/// A piece of free keys is taken whole by an instance whose level it does not
/// raise further above the even one than this.
constexpr double kFits = 1.25;
/// After this long it is cut for those that come, and later taken by anyone:
/// keys without an owner are worse than keys with a busy one. Heartbeats of a
/// service with a dozen instances come every 100 ms.
constexpr Duration kChoosyTime = milliseconds{ 150 };
constexpr Duration kUrgentTime = milliseconds{ 600 };
/// An instance that has just given keys away does not take them back.
constexpr Duration kNotTakenBack = milliseconds{ 1500 };
/// Part of an even share that an instance gets then, however loaded it is.
constexpr double kChoosyPart = 0.5;
constexpr double kUrgentPart = 1.5;

/// An instance takes a little more than its share, so that the last pieces
/// find a holder.
constexpr double kQuotaSlack = 1.05;
/// A holder gives keys away if so much of its slots is busy, and it has so much
/// more than an even share. Below that, requests seldom wait, and each move
/// leaves its keys without an owner for some 200 ms.
constexpr double kBusy = 0.55;
constexpr double kHotRatio = 1.25;
/// Times the standard deviation of the number of requests counted for a holder
/// by which it must be above an even share. With some twenty counted for each
/// of a dozen holders, one in three is a quarter above it by chance; keys that
/// are moved for that are moved back soon.
constexpr double kSignificance = 2.0;
/// Moves that one heartbeat of a holder may begin.
constexpr size_t kMaxMoves = 5;
/// Least part of an even share that is worth a move.
constexpr double kLeastPiece = 0.15;
/// A key that alone keeps its holder's slots busy for so much of the time can't
/// be divided. It is moved if it is this part of the holder's load and finds an
/// instance so much faster.
constexpr double kOverrun = 0.95;
constexpr double kDominant = 0.6;
constexpr double kFaster = 1.4;
/// Time for which it then stays: longer than most keys are so busy.
constexpr Duration kStaysAlone = std::chrono::seconds{ 10 };
/// Such keys are kept for that instance this long.
constexpr Duration kMoveReserved = milliseconds{ 900 };
/// A holder reports a release some 100 ms after it was told of it.
constexpr milliseconds kReleaseTime{ 110 };
/// Longest time for which such keys may be without an owner after that. A
/// holder 1.4 times as fast makes up for it within a second.
constexpr milliseconds kUnownedFor{ 250 };
/// Time within which a grant is committed, or has failed.
constexpr Duration kPlannedFor = milliseconds{ 300 };

} // namespace

/// What the holder gives up is taken by the instances whose heartbeats come
/// next: keys that wait for a certain instance's heartbeat have no owner.
void
RangeAssigner::PlanMoves(const Heartbeat& aHeartbeat,
                         const State& aState,
                         Instant aNow,
                         std::vector<wire::GatewayCommand>& aCommands)
{
  const std::string& id = aHeartbeat.instance;
  const RangeTable* ranges = aState.Ranges(aHeartbeat.service);
  const auto found = mGroups.find(aHeartbeat.service);
  if (ranges == nullptr || found == mGroups.end()) {
    return;
  }
  const Group& group = found->second;
  // Nearly all holders are done here; the copy is for one that gives away.
  const Holders& all = HoldersOf(aHeartbeat.service, aState, aNow);
  const auto known = all.find(id);
  if (known == all.end() || known->second.busy < kBusy) {
    return;
  }
  const double even = EvenLevel(group);
  const double excess = known->second.load - even * known->second.speed;
  if (known->second.Level() < kHotRatio * even ||
      excess < kSignificance * std::sqrt(known->second.load)) {
    return;
  }
  const auto& held = IndexOf(aHeartbeat.service, *ranges).HeldBy(id);
  const bool releasing = std::any_of(held.begin(), held.end(), [&](auto aKey) {
    return ranges->Find(aKey).held_back();
  });
  if (releasing) {
    return;
  }
  Holders holders = all;
  Holder& hot = holders.at(id);
  std::vector<KeySpan> given;
  MoveKeyAlone(aHeartbeat, *ranges, holders, aNow, given);
  // Safeguard: a slice is for whoever comes next. A key that alone is too much
  // for one like most would be moved from one full holder to the next, without
  // an owner each time, and would gain nothing.
  std::vector<KeySpan> except =
    KeysTooMuch(id, UsualTime(holders), *ranges, group);
  except.insert(except.end(), given.begin(), given.end());
  std::vector<Holder> cold;
  for (const auto& [other, holder] : holders) {
    if (other != id && holder.Level() < even) {
      cold.push_back(holder);
    }
  }
  std::sort(cold.begin(), cold.end(), [](const auto& aOne, const auto& aOther) {
    return aOne.Level() < aOther.Level();
  });
  for (const Holder& taker : cold) {
    // As much as brings one of the two to the even level.
    const double wanted =
      std::min(hot.load - even * hot.speed, even * taker.speed - taker.load);
    if (given.size() >= kMaxMoves || wanted < kLeastPiece * even * hot.speed) {
      break;
    }
    if (const auto slice = SliceOf(id, *ranges, group, except, wanted)) {
      hot.load -= group.load.LoadOf(*slice);
      given.push_back(*slice);
      except.push_back(*slice);
    }
  }
  HoldBack(aHeartbeat, given, aCommands);
}

/// Safeguard: nothing new may reach an evacuated data centre, and keys that are
/// held there can be served nowhere else. They are released with the holder's
/// next heartbeat, so that their next holders start with the handover. Where
/// nobody can take them they stay: without an owner they would be refused, too,
/// and moved in vain.
void
RangeAssigner::GiveUpAll(const Heartbeat& aHeartbeat,
                         const State& aState,
                         Instant aNow,
                         std::vector<wire::GatewayCommand>& aCommands) const
{
  const RangeTable* ranges = aState.Ranges(aHeartbeat.service);
  const auto& instances = aState.Instances();
  const bool taken =
    std::any_of(instances.begin(), instances.end(), [&](const auto& aItem) {
      return aItem.second.service() == aHeartbeat.service &&
             IsActive(aItem.second, aState, aNow);
    });
  if (ranges == nullptr || !taken) {
    return;
  }
  std::vector<KeySpan> given;
  for (const wire::RangeSegment& segment : ranges->Segments()) {
    if (segment.holder() == aHeartbeat.instance && !segment.held_back()) {
      given.push_back(SpanOf(segment));
    }
  }
  HoldBack(aHeartbeat, given, aCommands);
}

/// The keys are left out of the instance's answers from then on, by the
/// replicated state, so that a new leader goes on with it.
void
RangeAssigner::HoldBack(const Heartbeat& aHeartbeat,
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
RangeAssigner::UsualTime(const Holders& aHolders)
{
  double sum = 0;
  for (const auto& [id, holder] : aHolders) {
    sum += holder.perRequest;
  }
  return sum / static_cast<double>(std::max<size_t>(aHolders.size(), 1));
}

std::vector<KeySpan>
RangeAssigner::KeysTooMuch(const std::string& aId,
                           double aPerRequest,
                           const RangeTable& aRanges,
                           const Group& aGroup)
{
  std::vector<KeySpan> keys;
  for (const uint32_t key : aGroup.index.HeldBy(aId)) {
    const wire::RangeSegment& segment = aRanges.Find(key);
    if (!segment.held_back()) {
      const auto busy =
        aGroup.load.FindHotKeys(SpanOf(segment), kOverrun / aPerRequest);
      keys.insert(keys.end(), busy.begin(), busy.end());
    }
  }
  std::sort(keys.begin(), keys.end(), [&](KeySpan aOne, KeySpan aOther) {
    return aGroup.load.LoadOf(aOne) < aGroup.load.LoadOf(aOther);
  });
  return keys;
}

/// The fastest instance whose heartbeat is due when the key is released, and
/// that has no such key: two of them would share what one can have.
RangeAssigner::Holders::iterator
RangeAssigner::TakerAlone(const std::string& aFrom,
                          const RangeTable& aRanges,
                          const Group& aGroup,
                          Holders& aHolders,
                          Instant aNow) const
{
  auto best = aHolders.end();
  for (auto at = aHolders.begin(); at != aHolders.end(); ++at) {
    const auto& [id, holder] = *at;
    const bool faster =
      best == aHolders.end() || holder.speed > best->second.speed;
    const bool awaits =
      std::any_of(aGroup.moves.begin(),
                  aGroup.moves.end(),
                  [&](const Move& aMove) { return aMove.to == at->first; });
    if (id != aFrom && faster && !awaits && TakesSoon(id, aNow) &&
        KeysTooMuch(id, holder.perRequest, aRanges, aGroup).empty()) {
      best = at;
    }
  }
  return best;
}

/// A key that no upstream can carry gains little by a move, and has no owner
/// meanwhile: it goes to an instance that is clearly faster, which then gives
/// its other keys away, or away from another such key.
///
/// Safeguard: whoever holds it is full, and answers slower for that, so that
/// others look faster wherever it is. Moved each time, it had no owner for 0.1
/// to 0.9 s in every one or two; so it stays where it was moved.
void
RangeAssigner::MoveKeyAlone(const Heartbeat& aHeartbeat,
                            const RangeTable& aRanges,
                            Holders& aHolders,
                            Instant aNow,
                            std::vector<KeySpan>& aGiven)
{
  Group& group = mGroups[aHeartbeat.service];
  Holder& hot = aHolders.at(aHeartbeat.instance);
  const std::vector<KeySpan> tooMuch =
    KeysTooMuch(aHeartbeat.instance, hot.perRequest, aRanges, group);
  const auto key =
    std::find_if(tooMuch.begin(), tooMuch.end(), [&](KeySpan aKeys) {
      return !group.movedAlone.contains(aKeys.from);
    });
  if (key == tooMuch.end()) {
    return;
  }
  const auto taker =
    TakerAlone(aHeartbeat.instance, aRanges, group, aHolders, aNow);
  if (taker == aHolders.end()) {
    return;
  }
  const double load = group.load.LoadOf(*key);
  const double faster = taker->second.speed / hot.speed;
  const bool gains = tooMuch.size() > 1
                       ? faster * static_cast<double>(tooMuch.size()) > 1
                       : faster > kFaster && load >= kDominant * hot.load;
  if (gains) {
    hot.load -= load;
    taker->second.load += load;
    group.moves.push_back(Move{ taker->first, *key, aNow });
    group.movedAlone[key->from] = aNow;
    aGiven.push_back(*key);
  }
}

/// Safeguard: keys that wait for one instance's heartbeat have no owner, and
/// the busiest key of a service loses by that what a faster owner would gain in
/// seconds. So such keys go only to an instance whose heartbeat is due about
/// when they are released, with the time for which its answer may be held.
bool
RangeAssigner::TakesSoon(const std::string& aInstance, Instant aNow) const
{
  const auto lease = mLeases.find(aInstance);
  if (lease == mLeases.end() || !lease->second.lastHeartbeat) {
    return false;
  }
  const Duration due =
    *lease->second.lastHeartbeat + mOptions.heartbeatInterval - aNow;
  return due <= Duration(kReleaseTime) + Duration(kUnownedFor);
}

void
RangeAssigner::EndReservations(Group& aGroup, Instant aNow)
{
  std::erase_if(aGroup.moves, [&](const Move& aMove) {
    return aNow - aMove.startedAt >= kMoveReserved;
  });
  std::erase_if(aGroup.movedAlone, [&](const auto& aKey) {
    return aNow - aKey.second >= kStaysAlone;
  });
}

const RangeAssigner::Move*
RangeAssigner::MoveOf(const Group& aGroup, KeySpan aKeys, Instant aNow)
{
  for (const Move& move : aGroup.moves) {
    if (aNow - move.startedAt < kMoveReserved && Intersect(aKeys, move.keys)) {
      return &move;
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
  const auto group = mGroups.find(aHeartbeat.service);
  if (ranges == nullptr || group == mGroups.end()) {
    return false;
  }
  bool released = false;
  for (const uint32_t key : IndexOf(aHeartbeat.service, *ranges).HeldBack()) {
    const wire::RangeSegment& segment = ranges->Find(key);
    ++mVisits;
    if (segment.holder() == aHeartbeat.instance) {
      continue;
    }
    const Move* move = MoveOf(group->second, SpanOf(segment), aNow);
    if (move != nullptr && move->to == aHeartbeat.instance) {
      return true;
    }
    released |= move == nullptr;
  }
  if (!released) {
    return false;
  }
  const Holders& holders = HoldersOf(aHeartbeat.service, aState, aNow);
  const auto own = holders.find(aHeartbeat.instance);
  return own != holders.end() && own->second.Level() < EvenLevel(group->second);
}

void
RangeAssigner::UpdatePool(const std::string& aService,
                          const State& aState,
                          Instant aNow)
{
  Group& group = mGroups[aService];
  const RangeTable* ranges = aState.Ranges(aService);
  const bool free =
    ranges == nullptr || !IndexOf(aService, *ranges).Free().empty();
  if (!free) {
    group.freeSince.reset();
  } else if (!group.freeSince) {
    group.freeSince = aNow;
  }
}

std::optional<KeySpan>
RangeAssigner::PieceFor(KeySpan aFree,
                        const Group& aGroup,
                        const Holder& aTaker,
                        double aShare,
                        Duration aAge,
                        bool aFirst)
{
  const double load = aGroup.load.LoadOf(aFree);
  if (aTaker.load + load <= kFits * aShare) {
    return aFree;
  }
  if (aFirst) {
    const double room = aShare * kQuotaSlack - aTaker.load;
    return room > 0 ? std::optional(aGroup.load.PrefixWithin(aFree, room))
                    : std::nullopt;
  }
  if (aAge < kChoosyTime) {
    return std::nullopt;
  }
  const double part = aAge < kUrgentTime ? kChoosyPart : kUrgentPart;
  const double room =
    std::max(aShare * kQuotaSlack - aTaker.load, aShare * part);
  return aGroup.load.PrefixWithin(aFree, room);
}

/// Safeguard: while one grant is committed, the heartbeats of hundreds of other
/// instances arrive. Given the same keys, all but one are refused, plan again
/// and are refused again: one grant in each round of the log, and a fleet waits
/// for its first keys for a minute. A grant that fails leaves its keys to
/// others after a moment.
std::vector<KeySpan>
RangeAssigner::NotPlanned(Group& aGroup, KeySpan aFree, Instant aNow)
{
  while (!aGroup.plannedOrder.empty() &&
         aNow - aGroup.plannedOrder.front().first >= kPlannedFor) {
    aGroup.planned.erase(aGroup.plannedOrder.front().second);
    aGroup.plannedOrder.pop_front();
  }
  std::vector<KeySpan> rest;
  uint32_t from = aFree.from;
  auto at = aGroup.planned.upper_bound(from);
  if (at != aGroup.planned.begin() && std::prev(at)->second >= from) {
    --at;
  }
  for (; at != aGroup.planned.end() && at->first <= aFree.to; ++at) {
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
RangeAssigner::NotePlanned(Group& aGroup, KeySpan aKeys, Instant aNow)
{
  aGroup.planned[aKeys.from] = aKeys.to;
  aGroup.plannedOrder.emplace_back(aNow, aKeys.from);
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
  UpdatePool(instance->service(), aState, aNow);
  Group& group = mGroups[instance->service()];
  if (!group.firstInstance) {
    group.firstInstance = aNow;
  }
  static const RangeTable sUntouched;
  const RangeTable* granted = aState.Ranges(instance->service());
  const RangeTable& ranges = granted == nullptr ? sUntouched : *granted;
  if (!group.freeSince) {
    return std::nullopt;
  }
  const bool first = ranges.IsUntouched();
  if (first && aNow - *group.firstInstance <
                 Scaled(mOptions.heartbeatInterval, kGatherIntervals)) {
    group.freeSince = aNow;
    return std::nullopt;
  }
  const Holders& holders = HoldersOf(instance->service(), aState, aNow);
  // One that has just come is not among the holders yet, and holds nothing.
  const auto known = holders.find(id);
  Holder taker = known == holders.end() ? Holder{} : known->second;
  const double share = EvenLevel(group) * taker.speed;
  const Duration age = aNow - *group.freeSince;
  const std::optional<Instant>& released = mLeases[id].releasedAt;
  if (released && age < kUrgentTime && aNow - *released < kNotTakenBack) {
    return std::nullopt;
  }
  const HolderIndex& index = IndexOf(instance->service(), ranges);
  size_t rows = index.HeldBy(id).size();
  wire::GatewayCommand command;
  wire::GrantRanges* grant = command.mutable_grant_ranges();
  grant->set_service(instance->service());
  grant->set_holder(id);
  grant->set_life(aHeartbeat.life);
  grant->set_sequence(aHeartbeat.sequence);
  for (const uint32_t key : index.Free()) {
    const wire::RangeSegment& segment = ranges.Find(key);
    ++mVisits;
    if (rows >= kMaxRows) {
      break;
    }
    for (KeySpan keys : NotPlanned(group, SpanOf(segment), aNow)) {
      const Move* move = MoveOf(group, keys, aNow);
      const bool forOther = move != nullptr && move->to != id;
      if (forOther || rows >= kMaxRows) {
        continue;
      }
      if (move == nullptr) {
        const auto piece = PieceFor(keys, group, taker, share, age, first);
        if (!piece) {
          continue;
        }
        keys = *piece;
      }
      taker.load += group.load.LoadOf(keys);
      NotePlanned(group, keys, aNow);
      wire::KeyRange* range = grant->add_ranges();
      range->set_from(keys.from);
      range->set_to(keys.to);
      range->set_handover(segment.handover());
      ++rows;
    }
  }
  if (grant->ranges_size() == 0) {
    return std::nullopt;
  }
  // It may be committed and never renewed: then its end is looked at, too.
  if (Lease& lease = mLeases[id]; !lease.watchedAt) {
    Watch(id, lease, aNow + kIdleWatch);
  }
  return command;
}

std::optional<KeySpan>
RangeAssigner::SliceOf(const std::string& aHolder,
                       const RangeTable& aRanges,
                       const Group& aGroup,
                       const std::vector<KeySpan>& aExcept,
                       double aWanted)
{
  std::optional<KeySpan> best;
  const KeyLoadMap& load = aGroup.load;
  for (const uint32_t key : aGroup.index.HeldBy(aHolder)) {
    for (const KeySpan& keys : Subtract(SpanOf(aRanges.Find(key)), aExcept)) {
      const auto slice = load.FindHotRun(keys, aWanted);
      if (slice && (!best || load.LoadOf(*slice) > load.LoadOf(*best))) {
        best = slice;
      }
    }
  }
  return best;
}

void
RangeAssigner::AddLoad(const wire::RangeLoad& aLoad)
{
  mGroups[aLoad.service()].load.Add(aLoad);
}

} // namespace rattandyke::gateway
