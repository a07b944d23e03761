#include "gateway/state.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

/// Ended instances to remember. At 940 restarts a day they cover several days,
/// longer than any delay of a heartbeat, in about 100 KB.
constexpr size_t kMaxEndedInstances = 4096;

} // namespace

Result<void>
State::Apply(const wire::GatewayCommand& aCommand, LogIndex aIndex)
{
  mAppliedIndex = aIndex;
  switch (aCommand.body_case()) {
    case wire::GatewayCommand::kChangeItems:
      return Apply(aCommand.change_items());
    case wire::GatewayCommand::kPutInstance:
      return Apply(aCommand.put_instance());
    case wire::GatewayCommand::kEndInstance:
      return Apply(aCommand.end_instance());
    case wire::GatewayCommand::kWithdrawInstance:
      return Apply(aCommand.withdraw_instance());
    case wire::GatewayCommand::kGrantRanges:
      return Apply(aCommand.grant_ranges());
    case wire::GatewayCommand::kFreeRanges:
      return Apply(aCommand.free_ranges());
    case wire::GatewayCommand::kHoldBackRanges:
      return Apply(aCommand.hold_back_ranges());
    case wire::GatewayCommand::kPutEntry:
      return Apply(aCommand.put_entry());
    case wire::GatewayCommand::kDropEntry:
      return Apply(aCommand.drop_entry());
    case wire::GatewayCommand::kEvacuateDataCentre:
      return Apply(aCommand.evacuate_data_centre());
    case wire::GatewayCommand::kPutControl:
      return Apply(aCommand.put_control());
    case wire::GatewayCommand::kDropControl:
      return Apply(aCommand.drop_control());
    case wire::GatewayCommand::kRecordRests:
      return {}; // Control hosts keep them in a RestRegister.
    case wire::GatewayCommand::kRecordCrashes:
      return Apply(aCommand.record_crashes());
    case wire::GatewayCommand::BODY_NOT_SET:
      break;
  }
  return Fail(Code::InvalidRecord, "The command has no body.");
}

const wire::UpstreamInstance*
State::FindInstance(const std::string& aId) const
{
  const auto found = mInstances.find(aId);
  return found == mInstances.end() ? nullptr : &found->second;
}

const RangeTable*
State::Ranges(const std::string& aService) const
{
  const auto found = mRanges.find(aService);
  return found == mRanges.end() ? nullptr : &found->second;
}

Result<void>
State::Apply(const wire::ChangeItems& aCommand)
{
  // Check again: another change may have been committed since the leader
  // checked this one.
  return mItems.CheckAndApply(aCommand);
}

bool
State::HasEnded(const std::string& aId, uint64_t aIncarnation) const
{
  const wire::UpstreamInstance* known = FindInstance(aId);
  if (known != nullptr) {
    return aIncarnation < known->life();
  }
  const auto ended = mEndedIncarnations.find(aId);
  return ended != mEndedIncarnations.end() && aIncarnation <= ended->second;
}

/// Registers or updates an instance. A new incarnation frees all keys of the
/// earlier one in the same command on every host, because a restarted process
/// no longer holds them. It would otherwise get requests that it refuses, and
/// grants under fences that it has released. Only one process runs under an id
/// at a time, so a later incarnation proves that the earlier one has ended.
Result<void>
State::Apply(const wire::PutInstance& aCommand)
{
  const wire::UpstreamInstance& instance = aCommand.instance();
  if (HasEnded(instance.id(), instance.life())) {
    return Fail(Code::UpstreamSuperseded,
                "This incarnation of the instance has ended.");
  }
  const wire::UpstreamInstance* known = FindInstance(instance.id());
  const bool sameIncarnation =
    known != nullptr && known->life() == instance.life();
  // A draining instance stays draining for the rest of its incarnation: a
  // heartbeat that reports it as ready was delayed. The exception is a
  // withdrawn instance that returns.
  const bool returns =
    sameIncarnation && known->withdrawn() && aCommand.returns();
  const bool withdrawn = sameIncarnation && known->withdrawn() && !returns;
  const bool draining =
    instance.draining() || (sameIncarnation && known->draining() && !returns);
  if (known != nullptr && !sameIncarnation) {
    mCrashes.OnEnded({ known->id(), known->life() });
  }
  if (!sameIncarnation) {
    for (auto& [service, ranges] : mRanges) {
      ranges.FreeAllOf(instance.id());
    }
  }
  wire::UpstreamInstance& put = mInstances[instance.id()];
  put = instance;
  put.set_draining(draining);
  put.set_withdrawn(withdrawn);
  put.set_cold_index(mAppliedIndex.value);
  ++mInstancesVersion;
  return {};
}

Result<void>
State::Apply(const wire::EndInstance& aCommand)
{
  const wire::UpstreamInstance* known = FindInstance(aCommand.id());
  if (known != nullptr && known->life() > aCommand.life()) {
    return Fail(Code::UpstreamSuperseded,
                "A later incarnation of the instance is registered.");
  }
  mInstances.erase(aCommand.id());
  ++mInstancesVersion;
  mCrashes.OnEnded({ aCommand.id(), aCommand.life() });
  if (!aCommand.forgotten()) {
    RecordEnded(aCommand.id(), aCommand.life());
  }
  return {};
}

/// An upstream that is leaving ends its connections by itself.
Result<void>
State::Apply(const wire::RecordCrashes& aCommand)
{
  mCrashes.Apply(aCommand, [this](const std::string& aInstance) {
    const wire::UpstreamInstance* instance = FindInstance(aInstance);
    return instance != nullptr && !instance->draining() &&
           !instance->withdrawn();
  });
  return {};
}

Result<void>
State::Apply(const wire::WithdrawInstance& aCommand)
{
  const auto known = mInstances.find(aCommand.id());
  if (known == mInstances.end() || known->second.draining()) {
    return {}; // The instance has ended, or is draining already.
  }
  known->second.set_draining(true);
  known->second.set_withdrawn(true);
  ++mInstancesVersion;
  return {};
}

void
State::RecordEnded(const std::string& aId, uint64_t aIncarnation)
{
  const auto [at, added] = mEndedIncarnations.try_emplace(aId, aIncarnation);
  at->second = std::max(at->second, aIncarnation);
  if (!added) {
    return;
  }
  mEndedOrder.push_back(aId);
  if (mEndedOrder.size() > kMaxEndedInstances) {
    mEndedIncarnations.erase(mEndedOrder.front());
    mEndedOrder.pop_front();
  }
}

Result<void>
State::Apply(const wire::GrantRanges& aCommand)
{
  const wire::UpstreamInstance* owner = FindInstance(aCommand.holder());
  if (owner == nullptr || owner->life() != aCommand.life()) {
    return Fail(Code::UnknownUpstream,
                "This incarnation of the owner is not registered.");
  }
  return mRanges[aCommand.service()].Grant(aCommand, mAppliedIndex.value);
}

Result<void>
State::Apply(const wire::FreeRanges& aCommand)
{
  mRanges[aCommand.service()].Free(aCommand);
  return {};
}

Result<void>
State::Apply(const wire::HoldBackRanges& aCommand)
{
  mRanges[aCommand.service()].Revoke(aCommand);
  return {};
}

Result<void>
State::Apply(const wire::PutEntry& aCommand)
{
  mEntries[aCommand.entry().address()] = aCommand.entry();
  return {};
}

Result<void>
State::Apply(const wire::DropEntry& aCommand)
{
  mEntries.erase(aCommand.address());
  return {};
}

Result<void>
State::Apply(const wire::PutControl& aCommand)
{
  mControls[aCommand.control().address()] = aCommand.control();
  return {};
}

Result<void>
State::Apply(const wire::DropControl& aCommand)
{
  mControls.erase(aCommand.address());
  return {};
}

Result<void>
State::Apply(const wire::EvacuateDataCentre& aCommand)
{
  if (!aCommand.ends()) {
    mEvacuatedDataCentres.insert(aCommand.data_centre());
  } else if (mEvacuatedDataCentres.erase(aCommand.data_centre()) > 0) {
    MarkCold(aCommand.data_centre());
  }
  return {};
}

/// Marks the upstreams of a data centre as cold when its evacuation ends, for
/// the cold time of their service. They may have become cold while they
/// received no requests, and report it only in their next heartbeat; until then
/// requests at the usual rate would crash them.
void
State::MarkCold(const std::string& aDataCentre)
{
  for (auto& [id, instance] : mInstances) {
    const auto service = mItems.Services().find(instance.service());
    if (instance.data_centre() == aDataCentre &&
        service != mItems.Services().end()) {
      instance.set_cold_ms(service->second.cold_ms());
      instance.set_cold_index(mAppliedIndex.value);
    }
  }
  ++mInstancesVersion;
}

wire::GatewayState
State::Save() const
{
  wire::GatewayState state;
  state.set_applied(mAppliedIndex.value);
  mItems.Save(state);
  for (const auto& [id, instance] : mInstances) {
    *state.add_instances() = instance;
  }
  for (const std::string& id : mEndedOrder) {
    wire::EndedInstance* ended = state.add_ended();
    ended->set_id(id);
    ended->set_life(mEndedIncarnations.at(id));
  }
  for (const auto& [service, ranges] : mRanges) {
    wire::ServiceRanges* saved = state.add_ranges();
    saved->set_service(service);
    ranges.Save(*saved);
  }
  for (const auto& [address, entry] : mEntries) {
    *state.add_entries() = entry;
  }
  for (const std::string& dataCentre : mEvacuatedDataCentres) {
    state.add_evacuated(dataCentre);
  }
  for (const auto& [address, control] : mControls) {
    *state.add_controls() = control;
  }
  mCrashes.Save(state);
  return state;
}

void
State::Load(const wire::GatewayState& aState)
{
  const uint64_t version = mInstancesVersion;
  *this = State();
  mInstancesVersion = version + 1;
  mAppliedIndex = LogIndex{ aState.applied() };
  mItems.Load(aState);
  for (const wire::UpstreamInstance& instance : aState.instances()) {
    mInstances[instance.id()] = instance;
  }
  for (const wire::EndedInstance& ended : aState.ended()) {
    RecordEnded(ended.id(), ended.life());
  }
  for (const wire::ServiceRanges& ranges : aState.ranges()) {
    mRanges[ranges.service()].Load(ranges);
  }
  for (const wire::EntryMember& entry : aState.entries()) {
    mEntries[entry.address()] = entry;
  }
  mEvacuatedDataCentres.insert(aState.evacuated().begin(),
                               aState.evacuated().end());
  for (const wire::ControlMember& control : aState.controls()) {
    mControls[control.address()] = control;
  }
  mCrashes.Load(aState);
}

} // namespace rattandyke::gateway
