/// The replicated state of a gateway deployment.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "gateway/item_table.h"
#include "gateway/range_table.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Items, upstream instances and owners of keys. Control hosts apply committed
/// commands in the order of the log; entry hosts apply the same commands as
/// they are told of them, so all hosts go through the same states. Not
/// thread-safe.
class State
{
public:
  /// @return what became of the command: applied, or refused and without
  /// effect. The same on every host.
  Result<void> Apply(const wire::GatewayCommand& aCommand, LogIndex aIndex);

  /// @return the index of the newest command applied.
  LogIndex AppliedIndex() const { return mApplied; }

  const ItemTable& Items() const { return mItems; }

  const std::map<std::string, wire::UpstreamInstance>& Instances() const
  {
    return mInstances;
  }

  /// @return the instance, or nullptr.
  const wire::UpstreamInstance* FindInstance(const std::string& aId) const;

  /// @return a number that is another one after each change of the instances.
  uint64_t InstancesVersion() const { return mInstancesVersion; }

  /// @return whether a life of an instance has ended: it deregistered, or a
  /// later one was registered or has ended, too.
  bool HasEnded(const std::string& aId, uint64_t aLife) const;

  /// @return whether operators want nothing sent to the upstreams of a data
  /// centre.
  bool IsEvacuated(const std::string& aDataCentre) const
  {
    return mEvacuatedDataCentres.contains(aDataCentre);
  }

  const std::set<std::string>& EvacuatedDataCentres() const
  {
    return mEvacuatedDataCentres;
  }

  /// @return the owners of a service's keys, or nullptr before the first grant.
  const RangeTable* Ranges(const std::string& aService) const;

  const std::map<std::string, RangeTable>& AllRanges() const { return mRanges; }

  /// @return the entry hosts that serve callers, by address.
  const std::map<std::string, wire::EntryMember>& Entries() const
  {
    return mEntries;
  }

  /// @return the control hosts that have told where they are, by address.
  const std::map<std::string, wire::ControlMember>& ControlHosts() const
  {
    return mControls;
  }

  wire::GatewayState Save() const;
  void Load(const wire::GatewayState& aState);

private:
  Result<void> On(const wire::ChangeItems& aCommand);
  Result<void> On(const wire::PutInstance& aCommand);
  Result<void> On(const wire::EndInstance& aCommand);
  Result<void> On(const wire::WithdrawInstance& aCommand);
  Result<void> On(const wire::GrantRanges& aCommand);
  Result<void> On(const wire::FreeRanges& aCommand);
  Result<void> On(const wire::HoldBackRanges& aCommand);
  Result<void> On(const wire::PutEntry& aCommand);
  Result<void> On(const wire::DropEntry& aCommand);
  Result<void> On(const wire::EvacuateDataCentre& aCommand);
  Result<void> On(const wire::PutControl& aCommand);
  Result<void> On(const wire::DropControl& aCommand);
  void AssumeCold(const std::string& aDataCentre);
  void NoteEnded(const std::string& aId, uint64_t aLife);

  LogIndex mApplied;
  ItemTable mItems;
  std::map<std::string, wire::UpstreamInstance> mInstances;
  uint64_t mInstancesVersion = 0;
  /// Instances that ended, oldest first; bounded. A heartbeat that was held up
  /// in the network must not bring an ended instance back.
  std::deque<std::string> mEndedOrder;
  /// The newest life of each that has ended.
  std::map<std::string, uint64_t> mEnded;
  std::map<std::string, RangeTable> mRanges;
  std::map<std::string, wire::EntryMember> mEntries;
  std::map<std::string, wire::ControlMember> mControls;
  std::set<std::string> mEvacuatedDataCentres;
};

} // namespace rattandyke::gateway
