// How holds end: by their time, by a release, or by a successor.
#include "gateway/range_assigner.h"

#include <algorithm>

#include "base/clock.h"
#include "gateway/key_spans.h"

namespace rattandyke::gateway {

namespace {

/// Heartbeats of a new process at an address must be this many intervals apart,
/// with the old one silent, before it is asked whether the old one has ended: a
/// single one is more likely held up than a successor's.
constexpr double kReplaceIntervals = 0.7;
/// Leases are looked through for ones that are over within a second, a part in
/// each tick.
constexpr size_t kForgetParts = 10;
constexpr size_t kLeastForgotten = 256;
/// Commands that free keys are planned again once they must have been lost.
constexpr Duration kFreedFor = std::chrono::seconds{ 1 };

wire::KeyRange&
AddRange(wire::FreeRanges& aFree, KeySpan aKeys, const std::string& aHandover)
{
  wire::KeyRange* range = aFree.add_ranges();
  range->set_from(aKeys.from);
  range->set_to(aKeys.to);
  range->set_handover(aHandover);
  return *range;
}

} // namespace

void
RangeAssigner::Watch(const std::string& aId, Lease& aLease, Instant aAt)
{
  Unwatch(aId, aLease);
  aLease.watchedAt = aAt;
  mWatched.emplace(aAt, aId);
}

void
RangeAssigner::Unwatch(const std::string& aId, Lease& aLease)
{
  if (aLease.watchedAt) {
    mWatched.erase({ *aLease.watchedAt, aId });
    aLease.watchedAt.reset();
  }
}

bool
RangeAssigner::HoldsKeys(const std::string& aId, const State& aState)
{
  const auto& all = aState.AllRanges();
  return std::any_of(all.begin(), all.end(), [&](const auto& aItem) {
    return !IndexOf(aItem.first, aItem.second).HeldBy(aId).empty();
  });
}

/// A single heartbeat may have been sent before the call that withdrew the
/// instance, and ones that were held up arrive together. Two that are most of
/// an interval apart come from an instance that goes on.
bool
RangeAssigner::Returns(const Heartbeat& aHeartbeat,
                       const wire::UpstreamInstance* aKnown,
                       Instant aNow)
{
  Lease& lease = mLeases[aHeartbeat.instance];
  const bool withdrawn = aKnown != nullptr && aKnown->withdrawn() &&
                         aKnown->life() == aHeartbeat.life;
  if (!withdrawn || aHeartbeat.draining) {
    lease.readySince.reset();
    return false;
  }
  if (!lease.readySince) {
    lease.readySince = aNow;
  }
  return aNow - *lease.readySince >=
         Scaled(mOptions.heartbeatInterval, kReplaceIntervals);
}

/// A later life holds nothing of what the earlier one held, and its calls are
/// numbered anew. The end of the earlier life's hold stays: it is the bound
/// until the registration of the later one is committed.
void
RangeAssigner::BeginLife(const std::string& aInstance, uint64_t aLife)
{
  Lease& lease = mLeases[aInstance];
  Lease next;
  next.life = aLife;
  next.ends = lease.ends;
  next.watchedAt = lease.watchedAt;
  lease = next;
}

void
RangeAssigner::NoteReplaced(const Heartbeat& aHeartbeat,
                            const State& aState,
                            Instant aNow,
                            std::vector<wire::GatewayCommand>& aCommands)
{
  Lease& lease = mLeases[aHeartbeat.instance];
  if (!lease.firstHeartbeat) {
    lease.firstHeartbeat = aNow;
  }
  for (const std::string& id : OthersAtAddress(aHeartbeat, aState)) {
    const wire::UpstreamInstance& other = *aState.FindInstance(id);
    const Lease& old = mLeases[id];
    const bool silent =
      !old.lastHeartbeat || *old.lastHeartbeat < *lease.firstHeartbeat;
    const bool lasting = aNow - *lease.firstHeartbeat >=
                         Scaled(mOptions.heartbeatInterval, kReplaceIntervals);
    if (silent && lasting && IsOver(other, aHeartbeat, aNow)) {
      wire::EndInstance* end = aCommands.emplace_back().mutable_end_instance();
      end->set_id(id);
      end->set_life(other.life());
      mLeases[id].expiring = true;
      FreeAll(id, aState, aCommands);
    }
  }
}

std::vector<std::string>
RangeAssigner::OthersAtAddress(const Heartbeat& aHeartbeat, const State& aState)
{
  std::set<std::string>& ids = mAtAddress[aHeartbeat.address];
  ids.insert(aHeartbeat.instance);
  mVisits += ids.size();
  std::erase_if(ids, [&](const std::string& aId) {
    const wire::UpstreamInstance* known = aState.FindInstance(aId);
    const bool there =
      known != nullptr && known->address() == aHeartbeat.address;
    return !there && aId != aHeartbeat.instance;
  });
  std::vector<std::string> others(ids.begin(), ids.end());
  std::erase(others, aHeartbeat.instance);
  return others;
}

/// Safeguard: heartbeats at an address may be ones of a process that ran there
/// before the present one and was never heard: they were all held up. Taken for
/// a successor's, they would end the present one while it serves, and its keys
/// would have two owners. A later life proves that the present one is over.
/// Where lives are not told, nothing in a heartbeat does, and only the end of
/// its hold is certain.
bool
RangeAssigner::IsOver(const wire::UpstreamInstance& aOld,
                      const Heartbeat& aOther,
                      Instant aNow) const
{
  if (aOld.life() > 0 && aOther.life > 0) {
    return aOther.life > aOld.life();
  }
  const auto lease = mLeases.find(aOld.id());
  return lease == mLeases.end() || aNow >= lease->second.ends;
}

void
RangeAssigner::FreeAll(const std::string& aId,
                       const State& aState,
                       std::vector<wire::GatewayCommand>& aCommands)
{
  for (const auto& [service, ranges] : aState.AllRanges()) {
    wire::FreeRanges free;
    free.set_service(service);
    free.set_holder(aId);
    for (const uint32_t key : IndexOf(service, ranges).HeldBy(aId)) {
      AddRange(free, SpanOf(ranges.Find(key)), "");
    }
    if (free.ranges_size() > 0) {
      *aCommands.emplace_back().mutable_free_ranges() = std::move(free);
    }
  }
}

void
RangeAssigner::NoteReleased(const Heartbeat& aHeartbeat,
                            const State& aState,
                            std::vector<wire::GatewayCommand>& aCommands)
{
  const RangeTable* ranges = aState.Ranges(aHeartbeat.service);
  if (ranges == nullptr || aHeartbeat.released.empty()) {
    return;
  }
  const HolderIndex& index = IndexOf(aHeartbeat.service, *ranges);
  wire::FreeRanges free;
  free.set_service(aHeartbeat.service);
  free.set_holder(aHeartbeat.instance);
  for (const ReleasedRange& released : aHeartbeat.released) {
    for (const uint32_t key : index.HeldBy(aHeartbeat.instance)) {
      const wire::RangeSegment& segment = ranges->Find(key);
      // A release in a heartbeat that was sent before the grant speaks of an
      // earlier hold of these keys.
      const bool current = segment.sequence() < aHeartbeat.sequence;
      const auto common = Intersect(SpanOf(segment), released.keys);
      if (current && common) {
        AddRange(free, *common, released.handover);
      }
    }
  }
  if (free.ranges_size() > 0) {
    *aCommands.emplace_back().mutable_free_ranges() = std::move(free);
  }
}

/// A lease is looked at when its hold was to end as it was last looked at, so
/// that renewals cost nothing here.
void
RangeAssigner::FreeExpired(const State& aState,
                           Instant aNow,
                           std::vector<wire::GatewayCommand>& aCommands)
{
  while (!mWatched.empty() && mWatched.begin()->first <= aNow) {
    const std::string id = mWatched.begin()->second;
    Lease& lease = mLeases[id];
    ++mVisits;
    if (!HoldsKeys(id, aState)) {
      lease.expiring = false;
      lease.freedAt.reset();
      Watch(id, lease, aNow + kIdleWatch);
    } else if (aNow >= lease.ends) {
      // Until the commands are applied nothing of it may be renewed.
      lease.expiring = true;
      if (!lease.freedAt || aNow - *lease.freedAt >= kFreedFor) {
        lease.freedAt = aNow;
        FreeAll(id, aState, aCommands);
      }
      Watch(id, lease, aNow + kTick);
    } else {
      Watch(id, lease, lease.ends);
    }
  }
}

void
RangeAssigner::Forget(const State& aState,
                      Instant aNow,
                      std::vector<wire::GatewayCommand>& aCommands)
{
  const size_t most =
    std::max(mLeases.size() / kForgetParts + 1, kLeastForgotten);
  auto at = mLeases.upper_bound(mForgottenUpTo);
  for (size_t looked = 0; looked < std::min(most, mLeases.size()); ++looked) {
    if (at == mLeases.end()) {
      at = mLeases.begin();
    }
    ++mVisits;
    const std::string& id = at->first;
    Lease& lease = at->second;
    const wire::UpstreamInstance* known = aState.FindInstance(id);
    if (known != nullptr && !lease.lastHeartbeat) {
      lease.lastHeartbeat = aNow;
    }
    const bool silent = !lease.lastHeartbeat ||
                        aNow - *lease.lastHeartbeat >= mOptions.forgetAfter;
    if (known != nullptr && silent) {
      wire::EndInstance* end = aCommands.emplace_back().mutable_end_instance();
      end->set_id(id);
      end->set_life(known->life());
      end->set_forgotten(true);
    }
    mForgottenUpTo = id;
    const bool forgotten = known == nullptr && silent;
    if ((forgotten || aState.HasEnded(id, lease.life)) &&
        !HoldsKeys(id, aState)) {
      Unwatch(id, lease);
      at = mLeases.erase(at);
    } else {
      ++at;
    }
  }
}

} // namespace rattandyke::gateway
