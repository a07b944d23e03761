#include "gateway/item_table.h"

#include <cmath>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace rattandyke::gateway {

namespace {

tl::unexpected<Error>
Invalid(const std::string& aText)
{
  return Fail(Code::InvalidRecord, aText);
}

/// Checks the fields of a route that do not depend on other items.
Result<void>
CheckRoute(const wire::RouteItem& aRoute)
{
  const std::string name = "Route '" + aRoute.name() + "'";
  if (aRoute.host().empty()) {
    return Invalid(name + " has no host.");
  }
  const std::string& prefix = aRoute.prefix();
  if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
    return Invalid(name +
                   " has a prefix that does not begin and end with a slash.");
  }
  if (aRoute.max_attempts() == 0) {
    return Invalid(name + " has max_attempts 0.");
  }
  if (aRoute.timeout_ms() == 0) {
    return Invalid(name + " has no timeout, or a timeout of 0.");
  }
  double sum = 0;
  for (const wire::RoutePart& part : aRoute.parts()) {
    if (!std::isfinite(part.weight()) || part.weight() < 0) {
      return Invalid(name + " has a weight that is negative or not finite.");
    }
    sum += part.weight();
  }
  if (sum <= 0) {
    return Invalid(name + " has no part with a weight above 0.");
  }
  return {};
}

/// @return the version at which the item of that name was last set or dropped,
/// or std::nullopt if the name is unknown.
template<typename Item>
std::optional<uint64_t>
VersionOf(const std::map<std::string, Item>& aItems,
          const std::map<std::string, uint64_t>& aDropped,
          const std::string& aName)
{
  if (const auto found = aItems.find(aName); found != aItems.end()) {
    return found->second.version();
  }
  if (const auto found = aDropped.find(aName); found != aDropped.end()) {
    return found->second;
  }
  return std::nullopt;
}

/// @return whether the current item of that name has the same version and
/// contents.
template<typename Item>
bool
IsCurrent(const std::map<std::string, Item>& aItems, const Item& aItem)
{
  const auto found = aItems.find(aItem.name());
  return found != aItems.end() && found->second.version() == aItem.version() &&
         found->second.source() == aItem.source();
}

/// Refuses an item whose version is already used for other contents or for a
/// drop.
template<typename Item>
Result<void>
CheckVersion(const std::map<std::string, Item>& aItems,
             const std::map<std::string, uint64_t>& aDropped,
             const Item& aItem)
{
  const auto version = VersionOf(aItems, aDropped, aItem.name());
  if (version == aItem.version() && !IsCurrent(aItems, aItem)) {
    return Fail(Code::RevisionConflict,
                "'" + aItem.name() +
                  "' already has this version with other contents.");
  }
  return {};
}

/// Refuses a drop whose version is already used for the current item.
template<typename Item>
Result<void>
CheckDrop(const std::map<std::string, Item>& aItems,
          const wire::DroppedItem& aDrop)
{
  const auto found = aItems.find(aDrop.name());
  if (found != aItems.end() && found->second.version() == aDrop.version()) {
    return Fail(Code::RevisionConflict,
                "'" + aDrop.name() +
                  "' already has this version and is not dropped.");
  }
  return {};
}

/// @return whether a version supersedes the known one; any version does if none
/// is known.
bool
IsNewer(uint64_t aVersion, std::optional<uint64_t> aKnown)
{
  return !aKnown || aVersion > *aKnown;
}

/// Items of one kind that a change sets or drops, without superseded versions.
/// Refers to the current items and to the change; both must outlive it.
template<typename Item>
class ItemChanges
{
public:
  struct Change
  {
    uint64_t version = 0;
    /// The new item, or nullptr for a drop.
    const Item* item = nullptr;
  };

  ItemChanges(const std::map<std::string, Item>& aItems,
              const std::map<std::string, uint64_t>& aDropped)
    : mItems(aItems)
    , mDropped(aDropped)
  {
  }

  void Put(const Item& aItem)
  {
    Record(aItem.name(), { aItem.version(), &aItem });
  }

  void Drop(const wire::DroppedItem& aDrop)
  {
    Record(aDrop.name(), { aDrop.version(), nullptr });
  }

  /// @return the changes that take effect, by name.
  const std::map<std::string_view, Change>& All() const { return mChanges; }

  /// @return whether an item of that name exists after the change.
  bool ExistsAfter(const std::string& aName) const
  {
    const auto change = mChanges.find(aName);
    return change == mChanges.end() ? mItems.contains(aName)
                                    : change->second.item != nullptr;
  }

private:
  /// Keeps the change of the highest version for each name.
  void Record(const std::string& aName, Change aChange)
  {
    const auto known = mChanges.find(aName);
    if (known != mChanges.end()) {
      if (aChange.version > known->second.version) {
        known->second = aChange;
      }
    } else if (IsNewer(aChange.version, VersionOf(mItems, mDropped, aName))) {
      mChanges.emplace(aName, aChange);
    }
  }

  const std::map<std::string, Item>& mItems;
  const std::map<std::string, uint64_t>& mDropped;
  std::map<std::string_view, Change> mChanges;
};

/// Sets and drops items of one kind.
template<typename Item>
void
ApplyChanges(const ItemChanges<Item>& aChanges,
             std::map<std::string, Item>& aItems,
             std::map<std::string, uint64_t>& aDropped)
{
  for (const auto& [view, change] : aChanges.All()) {
    const std::string name(view);
    if (change.item != nullptr) {
      aDropped.erase(name);
      aItems[name] = *change.item;
    } else {
      aItems.erase(name);
      aDropped[name] = change.version;
    }
  }
}

/// @return host and path prefix, which decide the requests that a route
/// matches.
std::pair<std::string, std::string>
MatchOf(const wire::RouteItem& aRoute)
{
  return { aRoute.host(), aRoute.prefix() };
}

tl::unexpected<Error>
UnknownService(const std::string& aRoute, const std::string& aService)
{
  return Invalid("Route '" + aRoute + "' references the unknown service '" +
                 aService + "'.");
}

} // namespace

class ItemTable::ChangeSet
{
public:
  ChangeSet(const ItemTable& aItems, const wire::ChangeItems& aChange)
    : routes(aItems.mRoutes, aItems.mDroppedRoutes)
    , services(aItems.mServices, aItems.mDroppedServices)
  {
    for (const wire::DroppedItem& drop : aChange.dropped_routes()) {
      routes.Drop(drop);
    }
    for (const wire::DroppedItem& drop : aChange.dropped_services()) {
      services.Drop(drop);
    }
    for (const wire::ServiceItem& service : aChange.services()) {
      services.Put(service);
    }
    for (const wire::RouteItem& route : aChange.routes()) {
      routes.Put(route);
    }
  }

  ItemChanges<wire::RouteItem> routes;
  ItemChanges<wire::ServiceItem> services;
};

/// Checks that no two routes have the same match.
Result<void>
ItemTable::CheckRouteMatches(const ChangeSet& aChanges) const
{
  const auto& changed = aChanges.routes.All();
  std::set<std::pair<std::string, std::string>> taken;
  for (const auto& [name, route] : changed) {
    if (route.item == nullptr) {
      continue;
    }
    const auto match = MatchOf(*route.item);
    const auto current = mRouteByMatch.find(match);
    const bool unchanged =
      current != mRouteByMatch.end() && !changed.contains(current->second);
    if (unchanged || !taken.insert(match).second) {
      return Invalid("Route '" + std::string(name) +
                     "' has the host and prefix of another route.");
    }
  }
  return {};
}

/// Checks that the parts of all routes reference existing services.
Result<void>
ItemTable::CheckServiceReferences(const ChangeSet& aChanges) const
{
  std::map<std::string, size_t> released;
  for (const auto& [name, route] : aChanges.routes.All()) {
    const auto old = mRoutes.find(std::string(name));
    if (old != mRoutes.end()) {
      for (const wire::RoutePart& part : old->second.parts()) {
        ++released[part.service()];
      }
    }
    if (route.item == nullptr) {
      continue;
    }
    for (const wire::RoutePart& part : route.item->parts()) {
      if (!aChanges.services.ExistsAfter(part.service())) {
        return UnknownService(route.item->name(), part.service());
      }
    }
  }
  for (const auto& [name, service] : aChanges.services.All()) {
    const auto references = mServiceReferences.find(std::string(name));
    if (service.item == nullptr && references != mServiceReferences.end() &&
        references->second > released[references->first]) {
      return Invalid("The service '" + references->first +
                     "' can't be dropped: routes still reference it.");
    }
  }
  return {};
}

void
ItemTable::Index(const wire::RouteItem& aRoute)
{
  mRouteByMatch[MatchOf(aRoute)] = aRoute.name();
  for (const wire::RoutePart& part : aRoute.parts()) {
    ++mServiceReferences[part.service()];
  }
}

void
ItemTable::Unindex(const std::string& aRoute)
{
  const auto route = mRoutes.find(aRoute);
  if (route == mRoutes.end()) {
    return;
  }
  mRouteByMatch.erase(MatchOf(route->second));
  for (const wire::RoutePart& part : route->second.parts()) {
    const auto references = mServiceReferences.find(part.service());
    if (--references->second == 0) {
      mServiceReferences.erase(references);
    }
  }
}

Result<void>
ItemTable::Check(const wire::ChangeItems& aChange) const
{
  return Check(aChange, ChangeSet(*this, aChange));
}

Result<void>
ItemTable::Check(const wire::ChangeItems& aChange,
                 const ChangeSet& aChanges) const
{
  for (const wire::RouteItem& route : aChange.routes()) {
    const bool isCurrent = IsCurrent(mRoutes, route);
    if (Result<void> valid = CheckRoute(route); !valid && !isCurrent) {
      return valid;
    }
    if (Result<void> version = CheckVersion(mRoutes, mDroppedRoutes, route);
        !version) {
      return version;
    }
  }
  for (const wire::ServiceItem& service : aChange.services()) {
    if (Result<void> version =
          CheckVersion(mServices, mDroppedServices, service);
        !version) {
      return version;
    }
  }
  if (aChange.has_limits() && !mLimits.source().empty() &&
      aChange.limits().version() == mLimits.version() &&
      aChange.limits().source() != mLimits.source()) {
    return Fail(Code::RevisionConflict,
                "The limits already have this version with other contents.");
  }
  for (const wire::DroppedItem& drop : aChange.dropped_routes()) {
    if (Result<void> dropped = CheckDrop(mRoutes, drop); !dropped) {
      return dropped;
    }
  }
  for (const wire::DroppedItem& drop : aChange.dropped_services()) {
    if (Result<void> dropped = CheckDrop(mServices, drop); !dropped) {
      return dropped;
    }
  }
  if (Result<void> matches = CheckRouteMatches(aChanges); !matches) {
    return matches;
  }
  return CheckServiceReferences(aChanges);
}

void
ItemTable::Apply(const wire::ChangeItems& aChange)
{
  Apply(aChange, ChangeSet(*this, aChange));
}

Result<void>
ItemTable::CheckAndApply(const wire::ChangeItems& aChange)
{
  const ChangeSet changes(*this, aChange);
  if (Result<void> allowed = Check(aChange, changes); !allowed) {
    return allowed;
  }
  Apply(aChange, changes);
  return {};
}

void
ItemTable::Apply(const wire::ChangeItems& aChange, const ChangeSet& aChanges)
{
  // Remove all changed routes from the indexes before adding any, because one
  // route may take over the match of another.
  for (const auto& [name, route] : aChanges.routes.All()) {
    Unindex(std::string(name));
  }
  ApplyChanges(aChanges.services, mServices, mDroppedServices);
  ApplyChanges(aChanges.routes, mRoutes, mDroppedRoutes);
  for (const auto& [name, route] : aChanges.routes.All()) {
    if (route.item != nullptr) {
      Index(*route.item);
    }
  }
  if (aChange.has_limits() &&
      (mLimits.source().empty() ||
       aChange.limits().version() > mLimits.version())) {
    mLimits = aChange.limits();
  }
}

bool
ItemTable::IsEmpty() const
{
  return mRoutes.empty() && mServices.empty() && mDroppedRoutes.empty() &&
         mLimits.source().empty();
}

void
ItemTable::Save(wire::GatewayState& aState) const
{
  for (const auto& [name, route] : mRoutes) {
    *aState.add_routes() = route;
  }
  for (const auto& [name, service] : mServices) {
    *aState.add_services() = service;
  }
  *aState.mutable_limits() = mLimits;
  const auto save = [](const auto& aFrom, auto* aTo) {
    for (const auto& [name, version] : aFrom) {
      wire::DroppedItem* item = aTo->Add();
      item->set_name(name);
      item->set_version(version);
    }
  };
  save(mDroppedRoutes, aState.mutable_dropped_routes());
  save(mDroppedServices, aState.mutable_dropped_services());
}

void
ItemTable::Load(const wire::GatewayState& aState)
{
  *this = ItemTable();
  for (const wire::RouteItem& route : aState.routes()) {
    mRoutes[route.name()] = route;
    Index(route);
  }
  for (const wire::ServiceItem& service : aState.services()) {
    mServices[service.name()] = service;
  }
  mLimits = aState.limits();
  for (const wire::DroppedItem& item : aState.dropped_routes()) {
    mDroppedRoutes[item.name()] = item.version();
  }
  for (const wire::DroppedItem& item : aState.dropped_services()) {
    mDroppedServices[item.name()] = item.version();
  }
}

} // namespace rattandyke::gateway
