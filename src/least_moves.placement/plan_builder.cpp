#include "plan_builder.h"

#include <algorithm>
#include <cmath>

namespace rattandyke::placement {

namespace {

// A cold upstream starts with this share of its capacity, so that it has some
// keys to warm up with.
constexpr double kColdShare = 0.1;
// Of the mean use, for each unit by which churn outweighs imbalance.
constexpr double kGainPerChurnWeight = 0.05;
constexpr double kMostChurnWeight = 5;
constexpr double kRounding = 1e-9;

double
Capacity(const Upstream& aUpstream, std::chrono::milliseconds aColdStart)
{
  if (aUpstream.age >= aColdStart || aColdStart.count() == 0) {
    return aUpstream.capacity;
  }
  const double warm = static_cast<double>(aUpstream.age.count()) /
                      static_cast<double>(aColdStart.count());
  return aUpstream.capacity * std::max(kColdShare, warm);
}

} // namespace

Balance::Balance(const Input& aInput)
  : mInput(aInput)
  , mWork(aInput.upstreams.size())
  , mMovesLeft(aInput.mostMoves)
{
  for (size_t at = 0; at < mWork.size(); ++at) {
    const Upstream& upstream = mInput.upstreams[at];
    mWork[at].capacity = Capacity(upstream, mInput.wishes.coldStart);
    mWork[at].takes = upstream.condition == Condition::Active;
  }
  const size_t share =
    mInput.slots.size() / std::max<size_t>(1, mInput.upstreams.size()) + 2;
  for (Work& work : mWork) {
    work.slots.reserve(share);
  }
  for (uint32_t slot = 0; slot < mInput.slots.size(); ++slot) {
    const Slot& held = mInput.slots[slot];
    if (held.owner == kNobody) {
      continue;
    }
    mWork[held.owner].load += held.load;
    if (!held.resting) {
      mWork[held.owner].slots.push_back(slot);
    }
  }
  for (const HotKey& key : mInput.hotKeys) {
    if (key.owner != kNobody) {
      mWork[key.owner].load += key.load;
    }
  }
  const auto isLighter = [&](uint32_t aLeft, uint32_t aRight) {
    return mInput.slots[aLeft].load < mInput.slots[aRight].load;
  };
  std::vector<std::pair<double, uint32_t>> byUse;
  for (uint32_t at = 0; at < mWork.size(); ++at) {
    std::vector<uint32_t>& slots = mWork[at].slots;
    if (!std::is_sorted(slots.begin(), slots.end(), isLighter)) {
      std::stable_sort(slots.begin(), slots.end(), isLighter);
    }
    if (mWork[at].takes) {
      byUse.emplace_back(Use(at), at);
    }
  }
  // A set is made from a sorted list in linear time.
  std::sort(byUse.begin(), byUse.end());
  mByUse = { byUse.begin(), byUse.end() };
}

double
Balance::Use(uint32_t aUpstream) const
{
  return UseWith(aUpstream, 0);
}

double
Balance::UseWith(uint32_t aUpstream, double aMore) const
{
  const Work& work = mWork[aUpstream];
  return (work.load + aMore) / std::max(work.capacity, kRounding);
}

void
Balance::Change(uint32_t aUpstream, double aLoad)
{
  const std::pair before{ Use(aUpstream), aUpstream };
  mWork[aUpstream].load += aLoad;
  const std::pair after{ Use(aUpstream), aUpstream };
  if (mByUse.erase(before) > 0) {
    mByUse.insert(after);
  }
  if (mSources.erase(before) > 0) {
    mSources.insert(after);
  }
}

std::optional<uint32_t>
Balance::LeastUsed() const
{
  if (mByUse.empty()) {
    return std::nullopt;
  }
  return mByUse.begin()->second;
}

void
Balance::PlaceSlots(std::vector<uint32_t> aSlots)
{
  // Heaviest first: the light ones then fill what is left uneven.
  std::stable_sort(
    aSlots.begin(), aSlots.end(), [&](uint32_t aLeft, uint32_t aRight) {
      return mInput.slots[aLeft].load > mInput.slots[aRight].load;
    });
  for (const uint32_t slot : aSlots) {
    const std::optional<uint32_t> target = LeastUsed();
    if (!target) {
      return;
    }
    mPlan.slots.push_back({ slot, *target, Reason::NoOwner });
    Change(*target, mInput.slots[slot].load);
  }
}

void
Balance::PlaceKeys()
{
  for (uint32_t at = 0; at < mInput.hotKeys.size(); ++at) {
    const HotKey& key = mInput.hotKeys[at];
    const std::optional<uint32_t> target = LeastUsed();
    if (key.owner != kNobody || !target) {
      continue;
    }
    mPlan.keys.push_back({ at, *target, Reason::HotKey });
    Change(*target, key.load);
  }
}

void
Balance::PlaceFree()
{
  PlaceKeys();
  std::vector<uint32_t> unowned;
  for (uint32_t slot = 0; slot < mInput.slots.size(); ++slot) {
    if (mInput.slots[slot].owner == kNobody) {
      unowned.push_back(slot);
    }
  }
  PlaceSlots(std::move(unowned));
}

bool
Balance::MayMove()
{
  if (mMovesLeft == 0) {
    return false;
  }
  --mMovesLeft;
  return true;
}

void
Balance::EmptyDraining()
{
  const auto isDraining = [&](uint32_t aOwner) {
    return aOwner != kNobody &&
           mInput.upstreams[aOwner].condition == Condition::Draining;
  };
  for (uint32_t at = 0; at < mInput.hotKeys.size(); ++at) {
    const HotKey& key = mInput.hotKeys[at];
    const std::optional<uint32_t> target = LeastUsed();
    if (isDraining(key.owner) && target && MayMove()) {
      mPlan.keys.push_back({ at, *target, Reason::OwnerDraining });
      Change(*target, key.load);
    }
  }
  for (uint32_t slot = 0; slot < mInput.slots.size(); ++slot) {
    const std::optional<uint32_t> target = LeastUsed();
    if (isDraining(mInput.slots[slot].owner) && target && MayMove()) {
      mPlan.slots.push_back({ slot, *target, Reason::OwnerDraining });
      Change(*target, mInput.slots[slot].load);
    }
  }
}

double
Balance::MeanUse() const
{
  double load = 0;
  double capacity = 0;
  for (const Work& work : mWork) {
    load += work.takes ? work.load : 0;
    capacity += work.takes ? work.capacity : 0;
  }
  return load / std::max(capacity, kRounding);
}

double
Balance::LeastGain() const
{
  const Wishes& wishes = mInput.wishes;
  const double churn =
    wishes.churnWeight / std::max(wishes.imbalanceWeight, kRounding);
  const double excess = std::clamp(churn - 1, 0.0, kMostChurnWeight);
  return MeanUse() * (excess * kGainPerChurnWeight + kRounding);
}

std::optional<size_t>
Balance::PickSlot(uint32_t aFrom, uint32_t aTo, double aGain) const
{
  const Work& from = mWork[aFrom];
  const Work& to = mWork[aTo];
  const double even = (from.load * to.capacity - to.load * from.capacity) /
                      std::max(from.capacity + to.capacity, kRounding);
  const auto load = [&](size_t aAt) {
    return mInput.slots[from.slots[aAt]].load;
  };
  // The heaviest that does not make the target the fuller one of the two; if
  // all would, the lightest one that still gains.
  std::optional<size_t> picked;
  for (size_t at = 0; at < from.slots.size() && load(at) <= even; ++at) {
    picked = at;
  }
  if (!picked && !from.slots.empty()) {
    picked = 0;
  }
  const bool gains = picked && UseWith(aTo, load(*picked)) + aGain < Use(aFrom);
  return gains ? picked : std::nullopt;
}

Reason
Balance::ReasonFor(uint32_t aSlot) const
{
  return mInput.slots[aSlot].load == 1 ? Reason::Balance : Reason::Load;
}

bool
Balance::MoveOne(uint32_t aFrom, double aGain)
{
  const std::optional<uint32_t> to = LeastUsed();
  if (!to || *to == aFrom) {
    return false;
  }
  const std::optional<size_t> picked = PickSlot(aFrom, *to, aGain);
  if (!picked || !MayMove()) {
    return false;
  }
  std::vector<uint32_t>& slots = mWork[aFrom].slots;
  const uint32_t slot = slots[*picked];
  slots.erase(slots.begin() + static_cast<ptrdiff_t>(*picked));
  mPlan.slots.push_back({ slot, *to, ReasonFor(slot) });
  Change(aFrom, -mInput.slots[slot].load);
  Change(*to, mInput.slots[slot].load);
  return true;
}

void
Balance::Even()
{
  const double gain = LeastGain();
  const double mean = MeanUse();
  mSources = mByUse;
  while (mMovesLeft > 0 && !mSources.empty()) {
    const auto most = std::prev(mSources.end());
    if (most->first <= mean) {
      return;
    }
    // An upstream whose slots are all too heavy to move stays as it is; the
    // ones below it may still be evened.
    if (!MoveOne(most->second, gain)) {
      mSources.erase(most);
    }
  }
}

void
Balance::RelieveDrowning()
{
  const double gain = LeastGain();
  for (uint32_t at = 0; at < mWork.size(); ++at) {
    while (mInput.upstreams[at].drowning && mMovesLeft > 0 &&
           MoveOne(at, gain)) {
    }
  }
}

Plan
Balance::TakePlan()
{
  return std::move(mPlan);
}

} // namespace rattandyke::placement
