/// Operators' items: routes, services and limits, each with its own version.
#pragma once

#include <map>
#include <string>
#include <utility>

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

  /// Applies a change if Check allows it, at the cost of one look at it.
  /// @return as Check.
  Result<void> CheckAndApply(const wire::ChangeItems& aChange);

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
  /// What a change would make of the items that it names.
  class Outcome;

  Result<void> Check(const wire::ChangeItems& aChange,
                     const Outcome& aOutcome) const;
  void Apply(const wire::ChangeItems& aChange, const Outcome& aOutcome);
  Result<void> CheckPlaces(const Outcome& aOutcome) const;
  Result<void> CheckServices(const Outcome& aOutcome) const;
  void Index(const wire::RouteItem& aRoute);
  /// Before the route of that name goes or changes; there may be none.
  void Unindex(const std::string& aRoute);

  std::map<std::string, wire::RouteItem> mRoutes;
  std::map<std::string, wire::ServiceItem> mServices;
  wire::LimitsItem mLimits;
  /// Version at which a name was dropped. Without it an older change that
  /// arrives late would bring the item back.
  std::map<std::string, uint64_t> mDroppedRoutes;
  std::map<std::string, uint64_t> mDroppedServices;
  /// Name of the route at each host and prefix, and number of parts of routes
  /// that name a service.
  ///
  /// Safeguard: checked against all items, the change of one route among
  /// thousands keeps the thread of a small entry host for 50 ms, in which it
  /// answers nobody. With these a change costs what it changes.
  std::map<std::pair<std::string, std::string>, std::string> mPlaces;
  std::map<std::string, size_t> mUses;
};

} // namespace rattandyke::gateway
