#include "gateway/range_assigner.h"

#include <algorithm>

#include "base/clock.h"
#include "base/endpoint.h"
#include "gateway/key_spans.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Maximum number of recomputations of a service's owner loads in one tick
/// that returning instances may force.
constexpr uint32_t kMaxForcedUpdates = 4;

/// Tolerance between two reports of the end of one cold phase. Heartbeats
/// differ in their network delay.
constexpr Duration kColdReportTolerance = milliseconds{ 300 };

} // namespace

RangeAssigner::RangeAssigner(Options aOptions)
  : mOptions(aOptions)
{
}

bool
RangeAssigner::OwnsKeys(const State& aState, const std::string& aService)
{
  const auto& services = aState.Items().Services();
  const auto found = services.find(aService);
  return found != services.end() && found->second.owns_keys();
}

void
RangeAssigner::OnElected(const State& aState, Instant aNow)
{
  mStatuses.clear();
  mLeaseChecks.clear();
  mInstancesByAddress.clear();
  mPlans.clear();
  mIncarnationsReported = false;
  const Instant leaseEnd = aNow + MaxLeaseTime();
  for (const auto& [service, ranges] : aState.AllRanges()) {
    for (const wire::RangeSegment& segment : ranges.Segments()) {
      if (!segment.holder().empty()) {
        InstanceStatus& status = mStatuses[segment.holder()];
        status.leaseEnd = leaseEnd;
        ScheduleLeaseCheck(segment.holder(), status, leaseEnd);
      }
    }
  }
  for (const auto& [id, instance] : aState.Instances()) {
    InstanceStatus& status = mStatuses[id];
    status.lastHeartbeatAt = aNow;
    status.incarnation = instance.life();
    mIncarnationsReported |= instance.life() > 0;
    mInstancesByAddress[instance.address()].insert(id);
    if (instance.cold_ms() > 0) {
      status.coldIndex = instance.cold_index();
      status.coldUntil = aNow + milliseconds{ instance.cold_ms() };
    }
  }
}

const OwnerIndex&
RangeAssigner::IndexOf(const std::string& aService, const RangeTable& aRanges)
{
  OwnerIndex& index = mPlans[aService].index;
  const uint64_t readBefore = index.SegmentsRead();
  index.Update(aRanges);
  mVisits += index.SegmentsRead() - readBefore;
  return index;
}

Result<void>
RangeAssigner::CheckIncarnation(const std::string& aInstance,
                                uint64_t aIncarnation,
                                const State& aState) const
{
  const auto status = mStatuses.find(aInstance);
  const wire::UpstreamInstance* known = aState.FindInstance(aInstance);
  const uint64_t newest =
    std::max(status == mStatuses.end() ? 0 : status->second.incarnation,
             known == nullptr ? 0 : known->life());
  // All upstreams of a deployment run the same program: if one reports
  // incarnations, all do.
  if (aIncarnation == 0 && (newest > 0 || mIncarnationsReported)) {
    return Fail(Code::InvalidRecord, "The message has no incarnation number.");
  }
  if (aIncarnation < newest) {
    return Fail(Code::UpstreamSuperseded,
                "A later incarnation of the instance is known.");
  }
  return {};
}

/// A message may come from a sender that is not an upstream of this deployment.
/// If the leader accepted it as a heartbeat of a known instance, its sequence
/// number could exceed the real instance's, which would then lose its keys, and
/// its address would receive requests. So a heartbeat changes nothing if it
/// names a service that is not configured, or lacks an incarnation number where
/// other instances report theirs.
Result<void>
RangeAssigner::Check(const Heartbeat& aHeartbeat, const State& aState) const
{
  if (!ParseEndpoint(aHeartbeat.address)) {
    return Fail(Code::InvalidRecord,
                "The heartbeat's address is not a valid endpoint.");
  }
  const ItemTable& items = aState.Items();
  if (!items.IsEmpty() && !items.Services().contains(aHeartbeat.service)) {
    return Fail(Code::InvalidRecord, "The heartbeat's service does not exist.");
  }
  const wire::UpstreamInstance* known =
    aState.FindInstance(aHeartbeat.instance);
  const bool otherService = known != nullptr &&
                            known->life() == aHeartbeat.life &&
                            known->service() != aHeartbeat.service;
  if (otherService) {
    return Fail(Code::InvalidRecord,
                "The instance is registered for another service.");
  }
  return CheckIncarnation(aHeartbeat.instance, aHeartbeat.life, aState);
}

Result<wire::GatewayCommand>
RangeAssigner::OnDeregistration(const Deregistration& aDeregistration,
                                const State& aState) const
{
  wire::GatewayCommand command;
  const wire::UpstreamInstance* known =
    aState.FindInstance(aDeregistration.instance);
  if (aDeregistration.life == 0 && known != nullptr && known->life() > 0) {
    // Any incarnation may have sent this call, possibly long ago. The current
    // one drains, and becomes active again if its heartbeats say that it is
    // ready.
    command.mutable_withdraw_instance()->set_id(aDeregistration.instance);
    return command;
  }
  const bool hasIncarnation = aDeregistration.life > 0;
  Result<void> checked =
    hasIncarnation
      ? CheckIncarnation(aDeregistration.instance, aDeregistration.life, aState)
      : Result<void>{};
  if (!checked) {
    return tl::unexpected(checked.error());
  }
  command.mutable_end_instance()->set_id(aDeregistration.instance);
  command.mutable_end_instance()->set_life(aDeregistration.life);
  return command;
}

bool
RangeAssigner::IsNewest(const Heartbeat& aHeartbeat) const
{
  const auto status = mStatuses.find(aHeartbeat.instance);
  return status != mStatuses.end() &&
         status->second.incarnation == aHeartbeat.life &&
         status->second.sequence == aHeartbeat.sequence;
}

std::vector<wire::GatewayCommand>
RangeAssigner::OnHeartbeat(const Heartbeat& aHeartbeat,
                           const State& aState,
                           Instant aArrived)
{
  std::vector<wire::GatewayCommand> commands;
  if (aState.HasEnded(aHeartbeat.instance, aHeartbeat.life)) {
    return commands;
  }
  if (mStatuses[aHeartbeat.instance].incarnation < aHeartbeat.life) {
    StartIncarnation(aHeartbeat.instance, aHeartbeat.life);
  }
  InstanceStatus& status = mStatuses[aHeartbeat.instance];
  if (aHeartbeat.sequence < status.sequence) {
    return commands;
  }
  status.sequence = aHeartbeat.sequence;
  mIncarnationsReported |= aHeartbeat.life > 0;
  EndReplacedInstances(aHeartbeat, aState, aArrived, commands);
  const wire::UpstreamInstance* known =
    aState.FindInstance(aHeartbeat.instance);
  const bool sameIncarnation =
    known != nullptr && known->life() == aHeartbeat.life;
  const bool coldChanged = UpdateColdTime(aHeartbeat, aState, aArrived);
  const bool returned = HasReturned(aHeartbeat, known, aArrived);
  const bool isDraining =
    sameIncarnation && (known->draining() || aHeartbeat.draining);
  if (!sameIncarnation || coldChanged || returned ||
      known->draining() != isDraining || known->slots() != aHeartbeat.slots) {
    wire::PutInstance* put = commands.emplace_back().mutable_put_instance();
    put->set_returns(returned);
    wire::UpstreamInstance* instance = put->mutable_instance();
    instance->set_id(aHeartbeat.instance);
    instance->set_service(aHeartbeat.service);
    instance->set_address(aHeartbeat.address);
    instance->set_data_centre(aHeartbeat.dataCentre);
    instance->set_version(aHeartbeat.version);
    instance->set_slots(aHeartbeat.slots);
    instance->set_draining(aHeartbeat.draining);
    instance->set_life(aHeartbeat.life);
    const Duration cold =
      std::max(status.coldUntil - aArrived, Duration::zero());
    instance->set_cold_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<milliseconds>(cold).count()));
  }
  const size_t commandCount = commands.size();
  if (sameIncarnation) {
    FreeReleasedKeys(aHeartbeat, aState, commands);
  }
  const bool wasActive = sameIncarnation && IsActive(*known, aState, aArrived);
  status.lastHeartbeatAt = aArrived;
  if (const auto plan = mPlans.find(aHeartbeat.service);
      !wasActive && plan != mPlans.end()) {
    InvalidateLoads(plan->second, sameIncarnation);
  }
  if (commands.size() != commandCount) {
    status.releasedAt = aArrived;
  } else if (sameIncarnation && aState.IsEvacuated(known->data_centre())) {
    RevokeEvacuated(aHeartbeat, aState, aArrived, commands);
  } else if (sameIncarnation) {
    PlanMoves(aHeartbeat, aState, aArrived, commands);
  }
  return commands;
}

/// An instance that sends heartbeats again after a silence may be overloaded,
/// but is missing from the loads by which its keys would be moved, so the loads
/// are recomputed at once. The number of forced recomputations is limited: when
/// a whole fleet returns or registers, one for each instance would keep the
/// leader so busy that it is deposed.
void
RangeAssigner::InvalidateLoads(ServicePlan& aPlan, bool aReturning)
{
  if (aReturning && aPlan.forcedUpdates < kMaxForcedUpdates) {
    ++aPlan.forcedUpdates;
    aPlan.loadsIndex.reset();
  }
  aPlan.loadsStale = true;
}

/// Does nothing unless the service limits the request rate of cold upstreams:
/// elsewhere the time is not used.
bool
RangeAssigner::UpdateColdTime(const Heartbeat& aHeartbeat,
                              const State& aState,
                              Instant aNow)
{
  const auto& services = aState.Items().Services();
  const auto service = services.find(aHeartbeat.service);
  if (service == services.end() || service->second.cold_rate() <= 0) {
    return false;
  }
  InstanceStatus& status = mStatuses[aHeartbeat.instance];
  const wire::UpstreamInstance* known =
    aState.FindInstance(aHeartbeat.instance);
  const bool knownCold = known != nullptr && known->cold_ms() > 0;
  if (knownCold && known->cold_index() != status.coldIndex) {
    // If a heartbeat reported the cold phase, its end is known here already.
    // Only a cold phase that the state assumes at the end of an evacuation is
    // new.
    status.coldIndex = known->cold_index();
    if (status.coldUntil <= aNow) {
      status.coldUntil = aNow + milliseconds{ known->cold_ms() };
    }
  }
  const Instant reportedEnd = aNow + aHeartbeat.cold;
  if (aHeartbeat.cold > Duration::zero() &&
      (!knownCold || reportedEnd > status.coldUntil + kColdReportTolerance)) {
    status.coldUntil = reportedEnd;
    return true;
  }
  return false;
}

bool
RangeAssigner::IsActive(const wire::UpstreamInstance& aInstance,
                        const State& aState,
                        Instant aNow) const
{
  const auto status = mStatuses.find(aInstance.id());
  return status != mStatuses.end() &&
         IsActive(aInstance, status->second, aState, aNow);
}

bool
RangeAssigner::IsActive(const wire::UpstreamInstance& aInstance,
                        const InstanceStatus& aStatus,
                        const State& aState,
                        Instant aNow) const
{
  if (aInstance.draining() || aState.IsEvacuated(aInstance.data_centre()) ||
      aStatus.freeingKeys || !aStatus.lastHeartbeatAt) {
    return false;
  }
  return aNow - *aStatus.lastHeartbeatAt <
         Scaled(mOptions.heartbeatInterval, 2.5);
}

std::optional<Grants>
RangeAssigner::RenewLease(const Heartbeat& aHeartbeat,
                          const State& aState,
                          Instant aArrived)
{
  const std::string& id = aHeartbeat.instance;
  const auto found = mStatuses.find(id);
  const wire::UpstreamInstance* instance = aState.FindInstance(id);
  if (instance == nullptr || found == mStatuses.end()) {
    return std::nullopt;
  }
  InstanceStatus& status = found->second;
  if (status.freeingKeys || !IsNewest(aHeartbeat) ||
      instance->life() != aHeartbeat.life ||
      !OwnsKeys(aState, instance->service())) {
    return std::nullopt;
  }
  Grants grants;
  grants.leaseDuration = mOptions.leaseDuration;
  const RangeTable* ranges = aState.Ranges(instance->service());
  if (ranges != nullptr && !instance->draining()) {
    for (const uint32_t key :
         IndexOf(instance->service(), *ranges).OwnedBy(id)) {
      const wire::RangeSegment& segment = ranges->Find(key);
      if (!segment.held_back()) {
        grants.ranges.push_back(
          { SpanOf(segment), Fence{ segment.fence() }, segment.handover() });
      }
    }
  }
  // The leader counts from the arrival of the heartbeat, and the instance from
  // the earlier sending, so the instance's lease ends no later than this.
  status.leaseEnd = std::max(status.leaseEnd, aArrived + MaxLeaseTime());
  if (!status.leaseCheckAt) {
    ScheduleLeaseCheck(id, status, status.leaseEnd);
  }
  return grants;
}

std::vector<wire::GatewayCommand>
RangeAssigner::Tick(const State& aState, Instant aNow)
{
  std::vector<wire::GatewayCommand> commands;
  FreeExpiredLeases(aState, aNow, commands);
  FreeUnreportedKeys(aState, aNow, commands);
  RemoveSilentInstances(aState, aNow, commands);
  for (auto& [service, plan] : mPlans) {
    plan.load.Decay(aNow, plan.ownerLoads.size());
    plan.loadsIndex.reset();
    plan.forcedUpdates = 0;
    UpdateFreeSince(service, aState, aNow);
    ExpireReservations(plan, aNow);
  }
  return commands;
}

} // namespace rattandyke::gateway
