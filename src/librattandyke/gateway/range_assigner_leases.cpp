// Expiry of leases, release of keys, and replacement of instances.
#include "gateway/range_assigner.h"

#include <algorithm>

#include "base/clock.h"
#include "gateway/key_spans.h"

namespace rattandyke::gateway {

namespace {

/// The leader lets a lease end after this multiple of its duration, plus a
/// constant. An instance's clock may run 2% slow, so that its lease lasts
/// 1/0.98 of the duration; the rest of the margin covers the granularity of
/// timers.
constexpr double kLeaseMargin = 1.03;
constexpr Duration kTimerSlack = std::chrono::milliseconds{ 50 };
/// A new process at an address replaces a silent one only after it has sent
/// heartbeats for this many intervals. A single heartbeat is more likely a
/// delayed one of an earlier process.
constexpr double kReplacementIntervals = 0.7;
/// Number of ticks, one second in total, in which RemoveSilentInstances visits
/// all statuses, and the least number that it visits in a tick.
constexpr size_t kRemovalTicks = 10;
constexpr size_t kMinRemovalBatch = 256;
/// Commands that free keys and are not applied by then are lost, and are
/// proposed again.
constexpr Duration kFreeRetryInterval = std::chrono::seconds{ 1 };

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

Duration
RangeAssigner::MaxLeaseTime() const
{
  return Scaled(mOptions.leaseDuration, kLeaseMargin) + kTimerSlack;
}

void
RangeAssigner::ScheduleLeaseCheck(const std::string& aId,
                                  InstanceStatus& aStatus,
                                  Instant aTime)
{
  CancelLeaseCheck(aId, aStatus);
  aStatus.leaseCheckAt = aTime;
  mLeaseChecks.emplace(aTime, aId);
}

void
RangeAssigner::CancelLeaseCheck(const std::string& aId, InstanceStatus& aStatus)
{
  if (aStatus.leaseCheckAt) {
    mLeaseChecks.erase({ *aStatus.leaseCheckAt, aId });
    aStatus.leaseCheckAt.reset();
  }
}

bool
RangeAssigner::HoldsKeys(const std::string& aId, const State& aState)
{
  const auto& allRanges = aState.AllRanges();
  return std::any_of(
    allRanges.begin(), allRanges.end(), [&](const auto& aItem) {
      return !IndexOf(aItem.first, aItem.second).OwnedBy(aId).empty();
    });
}

/// A single heartbeat may have been sent before the call that withdrew the
/// instance, and delayed heartbeats arrive together. Two heartbeats that arrive
/// most of an interval apart come from an instance that still runs.
bool
RangeAssigner::HasReturned(const Heartbeat& aHeartbeat,
                           const wire::UpstreamInstance* aKnown,
                           Instant aNow)
{
  InstanceStatus& status = mStatuses[aHeartbeat.instance];
  const bool withdrawn = aKnown != nullptr && aKnown->withdrawn() &&
                         aKnown->life() == aHeartbeat.life;
  if (!withdrawn || aHeartbeat.draining) {
    status.readySince.reset();
    return false;
  }
  if (!status.readySince) {
    status.readySince = aNow;
  }
  return aNow - *status.readySince >=
         Scaled(mOptions.heartbeatInterval, kReplacementIntervals);
}

/// A later incarnation holds none of the earlier one's keys, and numbers its
/// heartbeats from the beginning. The end of the earlier incarnation's lease is
/// kept: it applies until the registration of the later one is committed.
void
RangeAssigner::StartIncarnation(const std::string& aInstance,
                                uint64_t aIncarnation)
{
  InstanceStatus& status = mStatuses[aInstance];
  InstanceStatus next;
  next.incarnation = aIncarnation;
  next.leaseEnd = status.leaseEnd;
  next.leaseCheckAt = status.leaseCheckAt;
  status = next;
}

void
RangeAssigner::EndReplacedInstances(
  const Heartbeat& aHeartbeat,
  const State& aState,
  Instant aNow,
  std::vector<wire::GatewayCommand>& aCommands)
{
  InstanceStatus& status = mStatuses[aHeartbeat.instance];
  if (!status.firstHeartbeatAt) {
    status.firstHeartbeatAt = aNow;
  }
  for (const std::string& id : OthersAtAddress(aHeartbeat, aState)) {
    const wire::UpstreamInstance& other = *aState.FindInstance(id);
    const InstanceStatus& oldStatus = mStatuses[id];
    const bool silent = !oldStatus.lastHeartbeatAt ||
                        *oldStatus.lastHeartbeatAt < *status.firstHeartbeatAt;
    const bool persistent =
      aNow - *status.firstHeartbeatAt >=
      Scaled(mOptions.heartbeatInterval, kReplacementIntervals);
    if (silent && persistent && IsSafeToEnd(other, aHeartbeat, aNow)) {
      wire::EndInstance* end = aCommands.emplace_back().mutable_end_instance();
      end->set_id(id);
      end->set_life(other.life());
      mStatuses[id].freeingKeys = true;
      FreeAllKeys(id, aState, aCommands);
    }
  }
}

std::vector<std::string>
RangeAssigner::OthersAtAddress(const Heartbeat& aHeartbeat, const State& aState)
{
  std::set<std::string>& ids = mInstancesByAddress[aHeartbeat.address];
  ids.insert(aHeartbeat.instance);
  mVisits += ids.size();
  std::erase_if(ids, [&](const std::string& aId) {
    const wire::UpstreamInstance* known = aState.FindInstance(aId);
    const bool registered =
      known != nullptr && known->address() == aHeartbeat.address;
    return !registered && aId != aHeartbeat.instance;
  });
  std::vector<std::string> others(ids.begin(), ids.end());
  std::erase(others, aHeartbeat.instance);
  return others;
}

/// Heartbeats from an address may be delayed ones of a process that ran there
/// before the current one and never reached the leader. If the leader took that
/// process for a successor, it would end the current one while it still serves,
/// and its keys would have two owners. A later incarnation number proves that
/// the current process has ended. Without incarnation numbers no heartbeat
/// proves it, and only the end of the lease is certain.
bool
RangeAssigner::IsSafeToEnd(const wire::UpstreamInstance& aOld,
                           const Heartbeat& aOther,
                           Instant aNow) const
{
  if (aOld.life() > 0 && aOther.life > 0) {
    return aOther.life > aOld.life();
  }
  const auto status = mStatuses.find(aOld.id());
  return status == mStatuses.end() || aNow >= status->second.leaseEnd;
}

void
RangeAssigner::FreeAllKeys(const std::string& aId,
                           const State& aState,
                           std::vector<wire::GatewayCommand>& aCommands)
{
  for (const auto& [service, ranges] : aState.AllRanges()) {
    wire::FreeRanges free;
    free.set_service(service);
    free.set_holder(aId);
    for (const uint32_t key : IndexOf(service, ranges).OwnedBy(aId)) {
      AddRange(free, SpanOf(ranges.Find(key)), "");
    }
    if (free.ranges_size() > 0) {
      *aCommands.emplace_back().mutable_free_ranges() = std::move(free);
    }
  }
}

void
RangeAssigner::FreeReleasedKeys(const Heartbeat& aHeartbeat,
                                const State& aState,
                                std::vector<wire::GatewayCommand>& aCommands)
{
  const RangeTable* ranges = aState.Ranges(aHeartbeat.service);
  if (ranges == nullptr || aHeartbeat.released.empty()) {
    return;
  }
  const OwnerIndex& index = IndexOf(aHeartbeat.service, *ranges);
  wire::FreeRanges free;
  free.set_service(aHeartbeat.service);
  free.set_holder(aHeartbeat.instance);
  for (const ReleasedRange& released : aHeartbeat.released) {
    for (const uint32_t key : index.OwnedBy(aHeartbeat.instance)) {
      const wire::RangeSegment& segment = ranges->Find(key);
      // A heartbeat that was sent before the grant reports a release from an
      // earlier grant of these keys.
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

/// Each lease is checked at the end time that it had at the previous check, so
/// a renewal doesn't reschedule the check.
void
RangeAssigner::FreeExpiredLeases(const State& aState,
                                 Instant aNow,
                                 std::vector<wire::GatewayCommand>& aCommands)
{
  while (!mLeaseChecks.empty() && mLeaseChecks.begin()->first <= aNow) {
    const std::string id = mLeaseChecks.begin()->second;
    InstanceStatus& status = mStatuses[id];
    ++mVisits;
    if (!HoldsKeys(id, aState)) {
      status.freeingKeys = false;
      status.freeProposedAt.reset();
      ScheduleLeaseCheck(id, status, aNow + kIdleCheckInterval);
    } else if (aNow >= status.leaseEnd) {
      // The lease must not be renewed until the commands are applied.
      status.freeingKeys = true;
      if (!status.freeProposedAt ||
          aNow - *status.freeProposedAt >= kFreeRetryInterval) {
        status.freeProposedAt = aNow;
        FreeAllKeys(id, aState, aCommands);
      }
      ScheduleLeaseCheck(id, status, aNow + kTick);
    } else {
      ScheduleLeaseCheck(id, status, status.leaseEnd);
    }
  }
}

/// An owner whose lease on revoked keys expires, since the answers to its
/// heartbeats are lost, does not report them as released: to it, they have
/// expired. It sends heartbeats and its other keys are renewed, so without this
/// the revoked keys would have no owner for as long as it runs. No answer since
/// the revocation was committed has renewed them.
void
RangeAssigner::FreeUnreportedKeys(const State& aState,
                                  Instant aNow,
                                  std::vector<wire::GatewayCommand>& aCommands)
{
  for (const auto& [service, ranges] : aState.AllRanges()) {
    const OwnerIndex::FirstKeys& revoked = IndexOf(service, ranges).Revoked();
    auto& revocations = mPlans[service].revocations;
    std::erase_if(revocations, [&](const auto& aItem) {
      return !revoked.contains(aItem.first);
    });
    for (const uint32_t key : revoked) {
      const wire::RangeSegment& segment = ranges.Find(key);
      Revocation& revocation = revocations[key];
      if (revocation.keys != SpanOf(segment) ||
          revocation.owner != segment.holder() ||
          revocation.fence != segment.fence()) {
        revocation = {
          SpanOf(segment), segment.holder(), segment.fence(), aNow
        };
      } else if (aNow - revocation.since >= MaxLeaseTime()) {
        revocation.since = aNow;
        wire::FreeRanges& free =
          *aCommands.emplace_back().mutable_free_ranges();
        free.set_service(service);
        free.set_holder(segment.holder());
        AddRange(free, SpanOf(segment), "");
      }
    }
  }
}

void
RangeAssigner::RemoveSilentInstances(
  const State& aState,
  Instant aNow,
  std::vector<wire::GatewayCommand>& aCommands)
{
  const size_t batchSize =
    std::max(mStatuses.size() / kRemovalTicks + 1, kMinRemovalBatch);
  auto at = mStatuses.upper_bound(mRemovalCursor);
  for (size_t visited = 0; visited < std::min(batchSize, mStatuses.size());
       ++visited) {
    if (at == mStatuses.end()) {
      at = mStatuses.begin();
    }
    ++mVisits;
    const std::string& id = at->first;
    InstanceStatus& status = at->second;
    const wire::UpstreamInstance* known = aState.FindInstance(id);
    if (known != nullptr && !status.lastHeartbeatAt) {
      status.lastHeartbeatAt = aNow;
    }
    const bool silent = !status.lastHeartbeatAt ||
                        aNow - *status.lastHeartbeatAt >= mOptions.removeAfter;
    if (known != nullptr && silent) {
      wire::EndInstance* end = aCommands.emplace_back().mutable_end_instance();
      end->set_id(id);
      end->set_life(known->life());
      end->set_forgotten(true);
    }
    mRemovalCursor = id;
    const bool obsolete = known == nullptr && silent;
    if ((obsolete || aState.HasEnded(id, status.incarnation)) &&
        !HoldsKeys(id, aState)) {
      CancelLeaseCheck(id, status);
      at = mStatuses.erase(at);
    } else {
      ++at;
    }
  }
}

} // namespace rattandyke::gateway
