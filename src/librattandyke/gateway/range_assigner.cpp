#include "gateway/range_assigner.h"

#include <algorithm>

#include "base/clock.h"
#include "base/endpoint.h"
#include "gateway/key_spans.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// An instance's clock may run 2% slow, so that its hold lasts 1/0.98 of the
/// time it was told; the rest covers the granularity of timers.
constexpr double kDrift = 1.03;
constexpr Duration kTimerSlack = milliseconds{ 50 };

/// Times in a tick that a service is summed up for one that comes back.
constexpr uint32_t kSumsAgain = 4;

/// Time by which two reports of the end of one cold spell may differ, as they
/// take differently long to arrive.
constexpr Duration kColdSlack = milliseconds{ 300 };

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
  mLeases.clear();
  mWatched.clear();
  mAtAddress.clear();
  mGroups.clear();
  mLivesTold = false;
  const Instant longest =
    aNow + Scaled(mOptions.leaseDuration, kDrift) + kTimerSlack;
  for (const auto& [service, ranges] : aState.AllRanges()) {
    for (const wire::RangeSegment& segment : ranges.Segments()) {
      if (!segment.holder().empty()) {
        Lease& lease = mLeases[segment.holder()];
        lease.ends = longest;
        Watch(segment.holder(), lease, longest);
      }
    }
  }
  for (const auto& [id, instance] : aState.Instances()) {
    Lease& lease = mLeases[id];
    lease.lastHeartbeat = aNow;
    lease.life = instance.life();
    mLivesTold |= instance.life() > 0;
    mAtAddress[instance.address()].insert(id);
    if (instance.cold_ms() > 0) {
      lease.coldIndex = instance.cold_index();
      lease.coldUntil = aNow + milliseconds{ instance.cold_ms() };
    }
  }
}

const HolderIndex&
RangeAssigner::IndexOf(const std::string& aService, const RangeTable& aRanges)
{
  HolderIndex& index = mGroups[aService].index;
  const uint64_t before = index.SegmentsRead();
  index.Follow(aRanges);
  mVisits += index.SegmentsRead() - before;
  return index;
}

Result<void>
RangeAssigner::CheckLife(const std::string& aInstance,
                         uint64_t aLife,
                         const State& aState) const
{
  const auto lease = mLeases.find(aInstance);
  const wire::UpstreamInstance* known = aState.FindInstance(aInstance);
  const uint64_t newest =
    std::max(lease == mLeases.end() ? 0 : lease->second.life,
             known == nullptr ? 0 : known->life());
  // One program runs on all upstreams of a deployment: where one tells its
  // lives apart, all do.
  if (aLife == 0 && (newest > 0 || mLivesTold)) {
    return Fail(Code::InvalidRecord, "The message does not tell its life.");
  }
  if (aLife < newest) {
    return Fail(Code::UpstreamSuperseded, "A later life is known.");
  }
  return {};
}

/// Safeguard: a message may come from a writer that is no upstream of this
/// deployment. Taken for one, its sequence would outrun the true upstream's,
/// which would then lose its keys, and its address would be sent requests. So
/// what names a service that no item names, or does not tell its life where
/// others do, changes nothing.
Result<void>
RangeAssigner::Check(const Heartbeat& aHeartbeat, const State& aState) const
{
  if (!ParseEndpoint(aHeartbeat.address)) {
    return Fail(Code::InvalidRecord, "The heartbeat's address is none.");
  }
  const ItemTable& items = aState.Items();
  if (!items.IsEmpty() && !items.Services().contains(aHeartbeat.service)) {
    return Fail(Code::InvalidRecord, "The heartbeat's service is not known.");
  }
  const wire::UpstreamInstance* known =
    aState.FindInstance(aHeartbeat.instance);
  const bool otherService = known != nullptr &&
                            known->life() == aHeartbeat.life &&
                            known->service() != aHeartbeat.service;
  if (otherService) {
    return Fail(Code::InvalidRecord, "The instance is one of another service.");
  }
  return CheckLife(aHeartbeat.instance, aHeartbeat.life, aState);
}

Result<wire::GatewayCommand>
RangeAssigner::OnDeregistration(const Deregistration& aLeaving,
                                const State& aState) const
{
  wire::GatewayCommand command;
  const wire::UpstreamInstance* known = aState.FindInstance(aLeaving.instance);
  if (aLeaving.life == 0 && known != nullptr && known->life() > 0) {
    // Any life may have sent it, however late: the present one drains, and
    // comes back if its heartbeats say that it is ready.
    command.mutable_withdraw_instance()->set_id(aLeaving.instance);
    return command;
  }
  const bool told = aLeaving.life > 0;
  Result<void> checked =
    told ? CheckLife(aLeaving.instance, aLeaving.life, aState) : Result<void>{};
  if (!checked) {
    return tl::unexpected(checked.error());
  }
  command.mutable_end_instance()->set_id(aLeaving.instance);
  command.mutable_end_instance()->set_life(aLeaving.life);
  return command;
}

bool
RangeAssigner::IsNewest(const Heartbeat& aHeartbeat) const
{
  const auto lease = mLeases.find(aHeartbeat.instance);
  return lease != mLeases.end() && lease->second.life == aHeartbeat.life &&
         lease->second.sequence == aHeartbeat.sequence;
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
  if (mLeases[aHeartbeat.instance].life < aHeartbeat.life) {
    BeginLife(aHeartbeat.instance, aHeartbeat.life);
  }
  Lease& lease = mLeases[aHeartbeat.instance];
  if (aHeartbeat.sequence < lease.sequence) {
    return commands;
  }
  lease.sequence = aHeartbeat.sequence;
  mLivesTold |= aHeartbeat.life > 0;
  NoteReplaced(aHeartbeat, aState, aArrived, commands);
  const wire::UpstreamInstance* known =
    aState.FindInstance(aHeartbeat.instance);
  const bool sameLife = known != nullptr && known->life() == aHeartbeat.life;
  const bool coldChanged = NoteCold(aHeartbeat, aState, aArrived);
  const bool returns = Returns(aHeartbeat, known, aArrived);
  const bool drains = sameLife && (known->draining() || aHeartbeat.draining);
  if (!sameLife || coldChanged || returns || known->draining() != drains ||
      known->slots() != aHeartbeat.slots) {
    wire::PutInstance* put = commands.emplace_back().mutable_put_instance();
    put->set_returns(returns);
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
      std::max(lease.coldUntil - aArrived, Duration::zero());
    instance->set_cold_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<milliseconds>(cold).count()));
  }
  const size_t before = commands.size();
  if (sameLife) {
    NoteReleased(aHeartbeat, aState, commands);
  }
  const bool counted = sameLife && IsActive(*known, aState, aArrived);
  lease.lastHeartbeat = aArrived;
  if (const auto group = mGroups.find(aHeartbeat.service);
      !counted && group != mGroups.end()) {
    NoteUncounted(group->second, sameLife);
  }
  if (commands.size() != before) {
    lease.releasedAt = aArrived;
  } else if (sameLife && aState.IsEvacuated(known->data_centre())) {
    GiveUpAll(aHeartbeat, aState, aArrived, commands);
  } else if (sameLife) {
    PlanMoves(aHeartbeat, aState, aArrived, commands);
  }
  return commands;
}

/// Safeguard: one that comes back from a silence may be busy, and is not among
/// the sums by which it would give keys away. But when a fleet comes back, or
/// registers, sums for each would keep the leader busy until it is deposed.
void
RangeAssigner::NoteUncounted(Group& aGroup, bool aComesBack)
{
  if (aComesBack && aGroup.sumsAgain < kSumsAgain) {
    ++aGroup.sumsAgain;
    aGroup.holdersAt.reset();
  }
  aGroup.holdersStale = true;
}

/// Only where a service bounds what a cold upstream may get: elsewhere nobody
/// needs to know.
bool
RangeAssigner::NoteCold(const Heartbeat& aHeartbeat,
                        const State& aState,
                        Instant aNow)
{
  const auto& services = aState.Items().Services();
  const auto service = services.find(aHeartbeat.service);
  if (service == services.end() || service->second.cold_rate() <= 0) {
    return false;
  }
  Lease& lease = mLeases[aHeartbeat.instance];
  const wire::UpstreamInstance* known =
    aState.FindInstance(aHeartbeat.instance);
  const bool knownCold = known != nullptr && known->cold_ms() > 0;
  if (knownCold && known->cold_index() != lease.coldIndex) {
    // Told by a heartbeat, it is known here for how long; only what the end of
    // an evacuation assumed is new.
    lease.coldIndex = known->cold_index();
    if (lease.coldUntil <= aNow) {
      lease.coldUntil = aNow + milliseconds{ known->cold_ms() };
    }
  }
  const Instant until = aNow + aHeartbeat.cold;
  if (aHeartbeat.cold > Duration::zero() &&
      (!knownCold || until > lease.coldUntil + kColdSlack)) {
    lease.coldUntil = until;
    return true;
  }
  return false;
}

bool
RangeAssigner::IsActive(const wire::UpstreamInstance& aInstance,
                        const State& aState,
                        Instant aNow) const
{
  const auto lease = mLeases.find(aInstance.id());
  return lease != mLeases.end() &&
         IsActive(aInstance, lease->second, aState, aNow);
}

bool
RangeAssigner::IsActive(const wire::UpstreamInstance& aInstance,
                        const Lease& aLease,
                        const State& aState,
                        Instant aNow) const
{
  if (aInstance.draining() || aState.IsEvacuated(aInstance.data_centre()) ||
      aLease.expiring || !aLease.lastHeartbeat) {
    return false;
  }
  return aNow - *aLease.lastHeartbeat < Scaled(mOptions.heartbeatInterval, 2.5);
}

std::optional<Grants>
RangeAssigner::RenewLease(const Heartbeat& aHeartbeat,
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
  if (lease.expiring || !IsNewest(aHeartbeat) ||
      instance->life() != aHeartbeat.life ||
      !OwnsKeys(aState, instance->service())) {
    return std::nullopt;
  }
  Grants grants;
  grants.leaseDuration = mOptions.leaseDuration;
  const RangeTable* ranges = aState.Ranges(instance->service());
  if (ranges != nullptr && !instance->draining()) {
    for (const uint32_t key :
         IndexOf(instance->service(), *ranges).HeldBy(id)) {
      const wire::RangeSegment& segment = ranges->Find(key);
      if (!segment.held_back()) {
        grants.ranges.push_back(
          { SpanOf(segment), Fence{ segment.fence() }, segment.handover() });
      }
    }
  }
  // Counted from the arrival: the instance counts from the sending, so its hold
  // ends no later than this.
  lease.ends =
    std::max(lease.ends,
             aArrived + Scaled(mOptions.leaseDuration, kDrift) + kTimerSlack);
  if (!lease.watchedAt) {
    Watch(id, lease, lease.ends);
  }
  return grants;
}

std::vector<wire::GatewayCommand>
RangeAssigner::Tick(const State& aState, Instant aNow)
{
  std::vector<wire::GatewayCommand> commands;
  FreeExpired(aState, aNow, commands);
  Forget(aState, aNow, commands);
  for (auto& [service, group] : mGroups) {
    group.load.Decay(aNow, group.holders.size());
    group.holdersAt.reset();
    group.sumsAgain = 0;
    UpdatePool(service, aState, aNow);
    EndReservations(group, aNow);
  }
  return commands;
}

} // namespace rattandyke::gateway
