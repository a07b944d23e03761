/// Replicated configuration items: routes, services and limits.
#pragma once

#include <map>
#include <string>
#include <utility>

#include <rattandyke/result.h>

#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Versioned table of the configuration items that operators submit. For each
/// name the highest version wins, whether it sets or drops the item; a lower
/// version has no effect. All hosts therefore converge on the same items, even
/// if changes arrive out of order or more than once. Not thread-safe.
class ItemTable
{
public:
  /// Checks whether a change can be applied as a whole.
  /// @return Code::InvalidRecord if a route is invalid or the resulting items
  /// are inconsistent, Code::RevisionConflict if the version of an item is
  /// already used for other contents.
  Result<void> Check(const wire::ChangeItems& aChange) const;

  /// Applies a change that has passed Check.
  void Apply(const wire::ChangeItems& aChange);

  /// Applies a change if it passes Check, and compares it with the current
  /// items only once.
  /// @return the result of Check.
  Result<void> CheckAndApply(const wire::ChangeItems& aChange);

  /// @return the current routes, by name.
  const std::map<std::string, wire::RouteItem>& Routes() const
  {
    return mRoutes;
  }
  /// @return the current services, by name.
  const std::map<std::string, wire::ServiceItem>& Services() const
  {
    return mServices;
  }
  const wire::LimitsItem& Limits() const { return mLimits; }

  /// @return whether there are no routes, services or limits, and no route has
  /// been dropped.
  bool IsEmpty() const;

  /// Adds the items and drops to a snapshot.
  void Save(wire::GatewayState& aState) const;
  /// Replaces all items and drops by those of a snapshot.
  void Load(const wire::GatewayState& aState);

private:
  /// Routes and services that a change sets or drops.
  class ChangeSet;

  Result<void> Check(const wire::ChangeItems& aChange,
                     const ChangeSet& aChanges) const;
  void Apply(const wire::ChangeItems& aChange, const ChangeSet& aChanges);
  Result<void> CheckRouteMatches(const ChangeSet& aChanges) const;
  Result<void> CheckServiceReferences(const ChangeSet& aChanges) const;
  /// Adds a route to the indexes below.
  void Index(const wire::RouteItem& aRoute);
  /// Removes the current route of that name, if there is one, from the indexes
  /// below. Must run before the route is replaced or dropped.
  void Unindex(const std::string& aRoute);

  std::map<std::string, wire::RouteItem> mRoutes;
  std::map<std::string, wire::ServiceItem> mServices;
  wire::LimitsItem mLimits;
  /// Version of the drop of each dropped item, by name. A late change with a
  /// lower version does not restore the item.
  std::map<std::string, uint64_t> mDroppedRoutes;
  std::map<std::string, uint64_t> mDroppedServices;
  /// Indexes that make the cost of a check proportional to the change.
  /// Checking one changed route against thousands of routes blocked the thread
  /// of a small entry host for 50 ms, during which it answered no request.
  ///
  /// Route name by match (host and path prefix).
  std::map<std::pair<std::string, std::string>, std::string> mRouteByMatch;
  /// Number of route parts that reference a service, by service name.
  std::map<std::string, size_t> mServiceReferences;
};

} // namespace rattandyke::gateway
