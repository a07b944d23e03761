#include "plan_builder.h"

#include <algorithm>
#include <cmath>

namespace rattandyke::placement {

namespace {

/// Share of its capacity with which a cold upstream starts, so that it owns
/// some keys to warm up with.
constexpr double kMinColdCapacityShare = 0.1;
/// Minimum gain of a move, as a fraction of the mean utilization, for each unit
/// by which the ratio of churn weight to imbalance weight exceeds 1.
constexpr double kMinGainPerExcessChurn = 0.05;
/// Upper limit for that excess.
constexpr double kMaxExcessChurn = 5;
/// Lower limit for divisors, and relative tolerance for rounding errors.
constexpr double kEpsilon = 1e-9;

/// Returns the upstream's capacity, reduced in proportion to its age during the
/// cold start.
double
EffectiveCapacity(const Upstream& aUpstream,
                  std::chrono::milliseconds aColdStart)
{
  if (aUpstream.age >= aColdStart || aColdStart.count() == 0) {
    return aUpstream.capacity;
  }
  const double warmShare = static_cast<double>(aUpstream.age.count()) /
                           static_cast<double>(aColdStart.count());
  return aUpstream.capacity * std::max(kMinColdCapacityShare, warmShare);
}

} // namespace

PlanBuilder::PlanBuilder(const Input& aInput)
  : mInput(aInput)
  , mUpstreams(aInput.upstreams.size())
  , mMovesLeft(aInput.mostMoves)
{
  for (size_t index = 0; index < mUpstreams.size(); ++index) {
    const Upstream& upstream = mInput.upstreams[index];
    mUpstreams[index].capacity =
      EffectiveCapacity(upstream, mInput.wishes.coldStart);
    mUpstreams[index].acceptsSlots = upstream.condition == Condition::Active;
  }
  const size_t expectedSlots =
    mInput.slots.size() / std::max<size_t>(1, mInput.upstreams.size()) + 2;
  for (UpstreamLoad& upstream : mUpstreams) {
    upstream.slots.reserve(expectedSlots);
  }
  for (uint32_t slot = 0; slot < mInput.slots.size(); ++slot) {
    const Slot& ownedSlot = mInput.slots[slot];
    if (ownedSlot.owner == kNobody) {
      continue;
    }
    mUpstreams[ownedSlot.owner].load += ownedSlot.load;
    if (!ownedSlot.resting) {
      mUpstreams[ownedSlot.owner].slots.push_back(slot);
    }
  }
  for (const HotKey& key : mInput.hotKeys) {
    if (key.owner != kNobody) {
      mUpstreams[key.owner].load += key.load;
    }
  }
  const auto isLighter = [&](uint32_t aLeft, uint32_t aRight) {
    return mInput.slots[aLeft].load < mInput.slots[aRight].load;
  };
  std::vector<std::pair<double, uint32_t>> byUtilization;
  for (uint32_t index = 0; index < mUpstreams.size(); ++index) {
    std::vector<uint32_t>& slots = mUpstreams[index].slots;
    if (!std::is_sorted(slots.begin(), slots.end(), isLighter)) {
      std::stable_sort(slots.begin(), slots.end(), isLighter);
    }
    if (mUpstreams[index].acceptsSlots) {
      byUtilization.emplace_back(Utilization(index), index);
    }
  }
  // Construction of a set from a sorted range takes linear time.
  std::sort(byUtilization.begin(), byUtilization.end());
  mByUtilization = { byUtilization.begin(), byUtilization.end() };
}

double
PlanBuilder::Utilization(uint32_t aUpstream) const
{
  return UtilizationWith(aUpstream, 0);
}

double
PlanBuilder::UtilizationWith(uint32_t aUpstream, double aExtraLoad) const
{
  const UpstreamLoad& upstream = mUpstreams[aUpstream];
  return (upstream.load + aExtraLoad) / std::max(upstream.capacity, kEpsilon);
}

/// Adds aLoad, which may be negative, to the upstream's load and updates its
/// position in the ordered sets.
void
PlanBuilder::AddLoad(uint32_t aUpstream, double aLoad)
{
  const std::pair before{ Utilization(aUpstream), aUpstream };
  mUpstreams[aUpstream].load += aLoad;
  const std::pair after{ Utilization(aUpstream), aUpstream };
  if (mByUtilization.erase(before) > 0) {
    mByUtilization.insert(after);
  }
  if (mSources.erase(before) > 0) {
    mSources.insert(after);
  }
}

std::optional<uint32_t>
PlanBuilder::LeastUtilized() const
{
  if (mByUtilization.empty()) {
    return std::nullopt;
  }
  return mByUtilization.begin()->second;
}

void
PlanBuilder::AssignSlots(std::vector<uint32_t> aSlots)
{
  // Slots with the highest load first, so that those with low load even out the
  // remaining differences.
  std::stable_sort(
    aSlots.begin(), aSlots.end(), [&](uint32_t aLeft, uint32_t aRight) {
      return mInput.slots[aLeft].load > mInput.slots[aRight].load;
    });
  for (const uint32_t slot : aSlots) {
    const std::optional<uint32_t> target = LeastUtilized();
    if (!target) {
      return;
    }
    mPlan.slots.push_back({ slot, *target, Reason::NoOwner });
    AddLoad(*target, mInput.slots[slot].load);
  }
}

void
PlanBuilder::AssignHotKeys()
{
  for (uint32_t index = 0; index < mInput.hotKeys.size(); ++index) {
    const HotKey& key = mInput.hotKeys[index];
    const std::optional<uint32_t> target = LeastUtilized();
    if (key.owner != kNobody || !target) {
      continue;
    }
    mPlan.keys.push_back({ index, *target, Reason::HotKey });
    AddLoad(*target, key.load);
  }
}

void
PlanBuilder::AssignUnowned()
{
  AssignHotKeys();
  std::vector<uint32_t> unowned;
  for (uint32_t slot = 0; slot < mInput.slots.size(); ++slot) {
    if (mInput.slots[slot].owner == kNobody) {
      unowned.push_back(slot);
    }
  }
  AssignSlots(std::move(unowned));
}

/// Takes one move from the remaining number of moves.
/// @return false if none is left.
bool
PlanBuilder::ConsumeMove()
{
  if (mMovesLeft == 0) {
    return false;
  }
  --mMovesLeft;
  return true;
}

void
PlanBuilder::MoveOffDraining()
{
  const auto isDraining = [&](uint32_t aOwner) {
    return aOwner != kNobody &&
           mInput.upstreams[aOwner].condition == Condition::Draining;
  };
  for (uint32_t index = 0; index < mInput.hotKeys.size(); ++index) {
    const HotKey& key = mInput.hotKeys[index];
    const std::optional<uint32_t> target = LeastUtilized();
    if (isDraining(key.owner) && target && ConsumeMove()) {
      mPlan.keys.push_back({ index, *target, Reason::OwnerDraining });
      AddLoad(*target, key.load);
    }
  }
  for (uint32_t slot = 0; slot < mInput.slots.size(); ++slot) {
    const std::optional<uint32_t> target = LeastUtilized();
    if (isDraining(mInput.slots[slot].owner) && target && ConsumeMove()) {
      mPlan.slots.push_back({ slot, *target, Reason::OwnerDraining });
      AddLoad(*target, mInput.slots[slot].load);
    }
  }
}

/// Returns the total load of the upstreams that accept slots, divided by their
/// total capacity.
double
PlanBuilder::MeanUtilization() const
{
  double load = 0;
  double capacity = 0;
  for (const UpstreamLoad& upstream : mUpstreams) {
    load += upstream.acceptsSlots ? upstream.load : 0;
    capacity += upstream.acceptsSlots ? upstream.capacity : 0;
  }
  return load / std::max(capacity, kEpsilon);
}

/// Returns the amount by which the target's utilization after a move must be
/// lower than the source's before it. It grows with the ratio of churn weight
/// to imbalance weight.
double
PlanBuilder::MinGain() const
{
  const Wishes& wishes = mInput.wishes;
  const double churnRatio =
    wishes.churnWeight / std::max(wishes.imbalanceWeight, kEpsilon);
  const double excessChurn = std::clamp(churnRatio - 1, 0.0, kMaxExcessChurn);
  return MeanUtilization() * (excessChurn * kMinGainPerExcessChurn + kEpsilon);
}

/// Selects the slot to move from one upstream to another.
/// @return its position in the source's slots, or none if its move would not
/// keep the target's utilization more than aMinGain below the source's current
/// one.
std::optional<size_t>
PlanBuilder::PickSlot(uint32_t aFrom, uint32_t aTo, double aMinGain) const
{
  const UpstreamLoad& from = mUpstreams[aFrom];
  const UpstreamLoad& to = mUpstreams[aTo];
  const double evenLoad = (from.load * to.capacity - to.load * from.capacity) /
                          std::max(from.capacity + to.capacity, kEpsilon);
  const auto load = [&](size_t aIndex) {
    return mInput.slots[from.slots[aIndex]].load;
  };
  // Moving evenLoad would make both utilizations equal. The heaviest slot up to
  // evenLoad is selected, so that the target does not become the more utilized
  // of the two; if every slot is heavier, the lightest one.
  std::optional<size_t> picked;
  for (size_t index = 0; index < from.slots.size() && load(index) <= evenLoad;
       ++index) {
    picked = index;
  }
  if (!picked && !from.slots.empty()) {
    picked = 0;
  }
  const bool isWorthMoving =
    picked &&
    UtilizationWith(aTo, load(*picked)) + aMinGain < Utilization(aFrom);
  return isWorthMoving ? picked : std::nullopt;
}

/// Returns the reason of a balancing move: Balance for a slot of average load,
/// else Load.
Reason
PlanBuilder::BalancingReason(uint32_t aSlot) const
{
  return mInput.slots[aSlot].load == 1 ? Reason::Balance : Reason::Load;
}

/// Moves one slot to the least utilized upstream.
/// @return false if no move is left or none gains enough.
bool
PlanBuilder::MoveOneSlot(uint32_t aFrom, double aMinGain)
{
  const std::optional<uint32_t> to = LeastUtilized();
  if (!to || *to == aFrom) {
    return false;
  }
  const std::optional<size_t> picked = PickSlot(aFrom, *to, aMinGain);
  if (!picked || !ConsumeMove()) {
    return false;
  }
  std::vector<uint32_t>& slots = mUpstreams[aFrom].slots;
  const uint32_t slot = slots[*picked];
  slots.erase(slots.begin() + static_cast<ptrdiff_t>(*picked));
  mPlan.slots.push_back({ slot, *to, BalancingReason(slot) });
  AddLoad(aFrom, -mInput.slots[slot].load);
  AddLoad(*to, mInput.slots[slot].load);
  return true;
}

void
PlanBuilder::BalanceUtilization()
{
  const double minGain = MinGain();
  const double meanUtilization = MeanUtilization();
  mSources = mByUtilization;
  while (mMovesLeft > 0 && !mSources.empty()) {
    const auto mostUtilized = std::prev(mSources.end());
    if (mostUtilized->first <= meanUtilization) {
      return;
    }
    // No slot of this upstream is worth moving, for example because all are too
    // heavy. Upstreams with lower utilization may still have one.
    if (!MoveOneSlot(mostUtilized->second, minGain)) {
      mSources.erase(mostUtilized);
    }
  }
}

void
PlanBuilder::RelieveOverloaded()
{
  const double minGain = MinGain();
  for (uint32_t index = 0; index < mUpstreams.size(); ++index) {
    while (mInput.upstreams[index].drowning && mMovesLeft > 0 &&
           MoveOneSlot(index, minGain)) {
    }
  }
}

Plan
PlanBuilder::TakePlan()
{
  return std::move(mPlan);
}

} // namespace rattandyke::placement
