/// Operators' items: routes, services and limits, each with its own version.
#pragma once

#include <map>
#include <string>

#include <rattandyke/result.h>

#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// The items in force and the versions of those that were dropped. Of each
/// name the highest version counts, whether it sets or drops the item; a lower
/// one changes nothing. So changes may arrive in any order and more than once,
/// and all hosts end with the same items. Not thread-safe.
class ItemTable
{
public:
  /// @return whether the change may be applied as a whole:
  /// Code::InvalidRecord if the items that would result contradict each other,
  /// Code::RevisionConflict if an item carries the version in force with other
  /// contents.
  Result<void> Check(const wire::ChangeItems& aChange) const;

  /// Applies a change that Check allows.
  void Apply(const wire::ChangeItems& aChange);

  const std::map<std::string, wire::RouteItem>& Routes() const
  {
    return mRoutes;
  }
  const std::map<std::string, wire::ServiceItem>& Services() const
  {
    return mServices;
  }
  const wire::LimitsItem& Limits() const { return mLimits; }

  /// @return whether no change has been applied yet.
  bool IsEmpty() const;

  void Save(wire::GatewayState& aState) const;
  void Load(const wire::GatewayState& aState);

private:
  std::map<std::string, wire::RouteItem> mRoutes;
  std::map<std::string, wire::ServiceItem> mServices;
  wire::LimitsItem mLimits;
  /// Version at which a name was dropped. Without it an older change that
  /// arrives late would bring the item back.
  std::map<std::string, uint64_t> mDroppedRoutes;
  std::map<std::string, uint64_t> mDroppedServices;
};

} // namespace rattandyke::gateway
