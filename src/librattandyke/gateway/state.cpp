#include "gateway/state.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

/// More than end within any time for which a heartbeat may be held up: at 940
/// restarts a day this covers several days, in about 100 KB.
constexpr size_t kEndedKept = 4096;

} // namespace

Result<void>
State::Apply(const wire::GatewayCommand& aCommand, LogIndex aIndex)
{
  mApplied = aIndex;
  switch (aCommand.body_case()) {
    case wire::GatewayCommand::kChangeItems:
      return On(aCommand.change_items());
    case wire::GatewayCommand::kPutInstance:
      return On(aCommand.put_instance());
    case wire::GatewayCommand::kEndInstance:
      return On(aCommand.end_instance());
    case wire::GatewayCommand::kWithdrawInstance:
      return On(aCommand.withdraw_instance());
    case wire::GatewayCommand::kGrantRanges:
      return On(aCommand.grant_ranges());
    case wire::GatewayCommand::kFreeRanges:
      return On(aCommand.free_ranges());
    case wire::GatewayCommand::kHoldBackRanges:
      return On(aCommand.hold_back_ranges());
    case wire::GatewayCommand::kPutEntry:
      return On(aCommand.put_entry());
    case wire::GatewayCommand::kDropEntry:
      return On(aCommand.drop_entry());
    case wire::GatewayCommand::kEvacuateDataCentre:
      return On(aCommand.evacuate_data_centre());
    case wire::GatewayCommand::kPutControl:
      return On(aCommand.put_control());
    case wire::GatewayCommand::kDropControl:
      return On(aCommand.drop_control());
    case wire::GatewayCommand::BODY_NOT_SET:
      break;
  }
  return Fail(Code::InvalidRecord, "A command has no body.");
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
State::On(const wire::ChangeItems& aCommand)
{
  // Checked again here: another change may have been committed since the leader
  // checked this one.
  return mItems.CheckAndApply(aCommand);
}

bool
State::HasEnded(const std::string& aId, uint64_t aLife) const
{
  const wire::UpstreamInstance* known = FindInstance(aId);
  if (known != nullptr) {
    return aLife < known->life();
  }
  const auto ended = mEnded.find(aId);
  return ended != mEnded.end() && aLife <= ended->second;
}

/// Safeguard: a process that starts again under its id holds nothing of what
/// its earlier life held. Were the keys still taken as its own, it would be
/// sent requests that it refuses, and be given keys under fences that it has
/// let go of. One process runs at a time under an id, so the later life proves
/// that the earlier one is over: its keys are free in the same command that
/// registers the later one, on every host.
Result<void>
State::On(const wire::PutInstance& aCommand)
{
  const wire::UpstreamInstance& instance = aCommand.instance();
  if (HasEnded(instance.id(), instance.life())) {
    return Fail(Code::UpstreamSuperseded, "The instance has ended.");
  }
  const wire::UpstreamInstance* known = FindInstance(instance.id());
  const bool sameLife = known != nullptr && known->life() == instance.life();
  // What leaves does not come back within one life: a heartbeat that says
  // otherwise was held up.
  const bool returns = sameLife && known->withdrawn() && aCommand.returns();
  const bool withdrawn = sameLife && known->withdrawn() && !returns;
  const bool draining =
    instance.draining() || (sameLife && known->draining() && !returns);
  if (!sameLife) {
    for (auto& [service, ranges] : mRanges) {
      ranges.FreeAllOf(instance.id());
    }
  }
  wire::UpstreamInstance& put = mInstances[instance.id()];
  put = instance;
  put.set_draining(draining);
  put.set_withdrawn(withdrawn);
  put.set_cold_index(mApplied.value);
  ++mInstancesVersion;
  return {};
}

Result<void>
State::On(const wire::EndInstance& aCommand)
{
  const wire::UpstreamInstance* known = FindInstance(aCommand.id());
  if (known != nullptr && known->life() > aCommand.life()) {
    return Fail(Code::UpstreamSuperseded, "A later life is registered.");
  }
  mInstances.erase(aCommand.id());
  ++mInstancesVersion;
  if (!aCommand.forgotten()) {
    NoteEnded(aCommand.id(), aCommand.life());
  }
  return {};
}

Result<void>
State::On(const wire::WithdrawInstance& aCommand)
{
  const auto known = mInstances.find(aCommand.id());
  if (known == mInstances.end() || known->second.draining()) {
    return {}; // It is gone, or leaves by its own word.
  }
  known->second.set_draining(true);
  known->second.set_withdrawn(true);
  ++mInstancesVersion;
  return {};
}

void
State::NoteEnded(const std::string& aId, uint64_t aLife)
{
  const auto [at, added] = mEnded.try_emplace(aId, aLife);
  at->second = std::max(at->second, aLife);
  if (!added) {
    return;
  }
  mEndedOrder.push_back(aId);
  if (mEndedOrder.size() > kEndedKept) {
    mEnded.erase(mEndedOrder.front());
    mEndedOrder.pop_front();
  }
}

Result<void>
State::On(const wire::GrantRanges& aCommand)
{
  const wire::UpstreamInstance* holder = FindInstance(aCommand.holder());
  if (holder == nullptr || holder->life() != aCommand.life()) {
    return Fail(Code::UnknownUpstream, "The holder is not registered.");
  }
  return mRanges[aCommand.service()].Grant(aCommand, mApplied.value);
}

Result<void>
State::On(const wire::FreeRanges& aCommand)
{
  mRanges[aCommand.service()].Free(aCommand);
  return {};
}

Result<void>
State::On(const wire::HoldBackRanges& aCommand)
{
  mRanges[aCommand.service()].Revoke(aCommand);
  return {};
}

Result<void>
State::On(const wire::PutEntry& aCommand)
{
  mEntries[aCommand.entry().address()] = aCommand.entry();
  return {};
}

Result<void>
State::On(const wire::DropEntry& aCommand)
{
  mEntries.erase(aCommand.address());
  return {};
}

Result<void>
State::On(const wire::PutControl& aCommand)
{
  mControls[aCommand.control().address()] = aCommand.control();
  return {};
}

Result<void>
State::On(const wire::DropControl& aCommand)
{
  mControls.erase(aCommand.address());
  return {};
}

Result<void>
State::On(const wire::EvacuateDataCentre& aCommand)
{
  if (!aCommand.ends()) {
    mEvacuatedDataCentres.insert(aCommand.data_centre());
  } else if (mEvacuatedDataCentres.erase(aCommand.data_centre()) > 0) {
    AssumeCold(aCommand.data_centre());
  }
  return {};
}

/// Safeguard: upstreams may have become cold while nothing was sent to them,
/// and tell so only with their next heartbeats. At the usual rate, until then,
/// they would crash. Taken as cold from the order on, they get no more than
/// they bear until their service's time is over.
void
State::AssumeCold(const std::string& aDataCentre)
{
  for (auto& [id, instance] : mInstances) {
    const auto service = mItems.Services().find(instance.service());
    if (instance.data_centre() == aDataCentre &&
        service != mItems.Services().end()) {
      instance.set_cold_ms(service->second.cold_ms());
      instance.set_cold_index(mApplied.value);
    }
  }
  ++mInstancesVersion;
}

wire::GatewayState
State::Save() const
{
  wire::GatewayState state;
  state.set_applied(mApplied.value);
  mItems.Save(state);
  for (const auto& [id, instance] : mInstances) {
    *state.add_instances() = instance;
  }
  for (const std::string& id : mEndedOrder) {
    wire::EndedInstance* ended = state.add_ended();
    ended->set_id(id);
    ended->set_life(mEnded.at(id));
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
  return state;
}

void
State::Load(const wire::GatewayState& aState)
{
  const uint64_t version = mInstancesVersion;
  *this = State();
  mInstancesVersion = version + 1;
  mApplied = LogIndex{ aState.applied() };
  mItems.Load(aState);
  for (const wire::UpstreamInstance& instance : aState.instances()) {
    mInstances[instance.id()] = instance;
  }
  for (const wire::EndedInstance& ended : aState.ended()) {
    NoteEnded(ended.id(), ended.life());
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
}

} // namespace rattandyke::gateway
