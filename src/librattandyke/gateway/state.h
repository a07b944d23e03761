/// Replicated state machine of a gateway deployment.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "gateway/crash_register.h"
#include "gateway/item_table.h"
#include "gateway/range_table.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Replicated state machine: configuration items, upstream instances, key
/// ranges with their owners, member hosts and evacuated data centres. Control
/// hosts apply the committed commands in the order of the log. Entry hosts
/// apply the same commands when control hosts send them, so all hosts pass
/// through the same states. Not thread-safe.
class State
{
public:
  /// Applies a command, or refuses it without effect. The result is the same on
  /// every host.
  /// @param aIndex of the command in the replicated log.
  /// @return the error of a refused command.
  Result<void> Apply(const wire::GatewayCommand& aCommand, LogIndex aIndex);

  /// @return the log index of the last applied command.
  LogIndex AppliedIndex() const { return mAppliedIndex; }

  /// @return the configuration items.
  const ItemTable& Items() const { return mItems; }

  /// @return the registered upstream instances, by id.
  const std::map<std::string, wire::UpstreamInstance>& Instances() const
  {
    return mInstances;
  }

  /// @return the registered instance, or nullptr.
  const wire::UpstreamInstance* FindInstance(const std::string& aId) const;

  /// @return a number that increases with each change to the instances.
  uint64_t InstancesVersion() const { return mInstancesVersion; }

  /// @return whether an incarnation of an instance has ended: an EndInstance
  /// command ended it or a later one, or a later one is registered.
  bool HasEnded(const std::string& aId, uint64_t aIncarnation) const;

  /// @return whether a data centre is evacuated: operators have ordered that
  /// its upstreams receive no requests.
  bool IsEvacuated(const std::string& aDataCentre) const
  {
    return mEvacuatedDataCentres.contains(aDataCentre);
  }

  /// @return the names of the evacuated data centres.
  const std::set<std::string>& EvacuatedDataCentres() const
  {
    return mEvacuatedDataCentres;
  }

  /// @return the key ranges of a service with their owners, or nullptr if no
  /// command has referred to them yet.
  const RangeTable* Ranges(const std::string& aService) const;

  /// @return the key ranges of all services with their owners, by service.
  const std::map<std::string, RangeTable>& AllRanges() const { return mRanges; }

  /// @return the entry hosts that serve callers, by peer address.
  const std::map<std::string, wire::EntryMember>& Entries() const
  {
    return mEntries;
  }

  /// @return the control hosts whose data centre is known, by peer address.
  const std::map<std::string, wire::ControlMember>& ControlHosts() const
  {
    return mControls;
  }

  /// @return requests that may crash upstreams.
  const CrashRegister& Crashes() const { return mCrashes; }

  /// @return a snapshot of the state.
  wire::GatewayState Save() const;
  /// Replaces the state by a snapshot.
  void Load(const wire::GatewayState& aState);

private:
  Result<void> Apply(const wire::ChangeItems& aCommand);
  Result<void> Apply(const wire::PutInstance& aCommand);
  Result<void> Apply(const wire::EndInstance& aCommand);
  Result<void> Apply(const wire::WithdrawInstance& aCommand);
  Result<void> Apply(const wire::GrantRanges& aCommand);
  Result<void> Apply(const wire::FreeRanges& aCommand);
  Result<void> Apply(const wire::HoldBackRanges& aCommand);
  Result<void> Apply(const wire::PutEntry& aCommand);
  Result<void> Apply(const wire::DropEntry& aCommand);
  Result<void> Apply(const wire::EvacuateDataCentre& aCommand);
  Result<void> Apply(const wire::PutControl& aCommand);
  Result<void> Apply(const wire::DropControl& aCommand);
  Result<void> Apply(const wire::RecordCrashes& aCommand);
  void MarkCold(const std::string& aDataCentre);
  void RecordEnded(const std::string& aId, uint64_t aIncarnation);

  LogIndex mAppliedIndex;
  ItemTable mItems;
  std::map<std::string, wire::UpstreamInstance> mInstances;
  uint64_t mInstancesVersion = 0;
  /// Ids of ended instances, oldest first, at most kMaxEndedInstances. They
  /// prevent a delayed heartbeat from registering an ended instance again.
  std::deque<std::string> mEndedOrder;
  /// Latest ended incarnation of each ended instance, by id.
  std::map<std::string, uint64_t> mEndedIncarnations;
  std::map<std::string, RangeTable> mRanges;
  std::map<std::string, wire::EntryMember> mEntries;
  std::map<std::string, wire::ControlMember> mControls;
  std::set<std::string> mEvacuatedDataCentres;
  CrashRegister mCrashes;
};

} // namespace rattandyke::gateway
