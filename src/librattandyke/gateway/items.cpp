#include "gateway/items.h"

#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace rattandyke::gateway {

namespace {

tl::unexpected<Error>
Invalid(const std::string& aText)
{
  return Fail(Code::InvalidRecord, aText);
}

/// What a route must be, whatever the other items are.
Result<void>
CheckAlone(const wire::RouteItem& aRoute)
{
  const std::string name = "Route '" + aRoute.name() + "'";
  if (aRoute.host().empty()) {
    return Invalid(name + " names no host.");
  }
  const std::string& prefix = aRoute.prefix();
  if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
    return Invalid(name + " has a prefix without a slash at both ends.");
  }
  if (aRoute.max_attempts() == 0) {
    return Invalid(name + " allows no attempt.");
  }
  if (aRoute.timeout_ms() == 0) {
    return Invalid(name + " has no timeout.");
  }
  double sum = 0;
  for (const wire::RoutePart& part : aRoute.parts()) {
    if (!std::isfinite(part.weight()) || part.weight() < 0) {
      return Invalid(name + " has a weight below 0.");
    }
    sum += part.weight();
  }
  if (sum <= 0) {
    return Invalid(name + " sends requests to no service.");
  }
  return {};
}

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

/// @return whether the item in force is this one, under the same version.
template<typename Item>
bool
IsInForce(const std::map<std::string, Item>& aItems, const Item& aItem)
{
  const auto found = aItems.find(aItem.name());
  return found != aItems.end() && found->second.version() == aItem.version() &&
         found->second.source() == aItem.source();
}

template<typename Item>
Result<void>
CheckVersion(const std::map<std::string, Item>& aItems,
             const std::map<std::string, uint64_t>& aDropped,
             const Item& aItem)
{
  const auto version = VersionOf(aItems, aDropped, aItem.name());
  if (version == aItem.version() && !IsInForce(aItems, aItem)) {
    return Fail(Code::RevisionConflict,
                "'" + aItem.name() + "' has this version with other contents.");
  }
  return {};
}

template<typename Item>
Result<void>
CheckDrop(const std::map<std::string, Item>& aItems,
          const wire::DroppedItem& aDrop)
{
  const auto found = aItems.find(aDrop.name());
  if (found != aItems.end() && found->second.version() == aDrop.version()) {
    return Fail(Code::RevisionConflict,
                "'" + aDrop.name() + "' has this version and stands.");
  }
  return {};
}

template<typename Item>
void
Put(std::map<std::string, Item>& aItems,
    std::map<std::string, uint64_t>& aDropped,
    const Item& aItem)
{
  const auto version = VersionOf(aItems, aDropped, aItem.name());
  if (version && *version >= aItem.version()) {
    return;
  }
  aDropped.erase(aItem.name());
  aItems[aItem.name()] = aItem;
}

template<typename Item>
void
Drop(std::map<std::string, Item>& aItems,
     std::map<std::string, uint64_t>& aDropped,
     const wire::DroppedItem& aDrop)
{
  const auto version = VersionOf(aItems, aDropped, aDrop.name());
  if (version && *version >= aDrop.version()) {
    return;
  }
  aItems.erase(aDrop.name());
  aDropped[aDrop.name()] = aDrop.version();
}

/// What the items must be among themselves.
Result<void>
CheckTogether(const ItemTable& aItems)
{
  std::set<std::pair<std::string, std::string>> places;
  for (const auto& [name, route] : aItems.Routes()) {
    if (!places.emplace(route.host(), route.prefix()).second) {
      return Invalid("Route '" + name + "' has the place of another.");
    }
    for (const wire::RoutePart& part : route.parts()) {
      if (!aItems.Services().contains(part.service())) {
        return Invalid("Route '" + name + "' names the unknown service '" +
                       part.service() + "'.");
      }
    }
  }
  return {};
}

} // namespace

Result<void>
ItemTable::Check(const wire::ChangeItems& aChange) const
{
  for (const wire::RouteItem& route : aChange.routes()) {
    const bool repeated = IsInForce(mRoutes, route);
    if (Result<void> alone = CheckAlone(route); !alone && !repeated) {
      return alone;
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
                "The limits have this version with other contents.");
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
  ItemTable changed = *this;
  changed.Apply(aChange);
  return CheckTogether(changed);
}

void
ItemTable::Apply(const wire::ChangeItems& aChange)
{
  for (const wire::DroppedItem& drop : aChange.dropped_routes()) {
    Drop(mRoutes, mDroppedRoutes, drop);
  }
  for (const wire::DroppedItem& drop : aChange.dropped_services()) {
    Drop(mServices, mDroppedServices, drop);
  }
  for (const wire::ServiceItem& service : aChange.services()) {
    Put(mServices, mDroppedServices, service);
  }
  for (const wire::RouteItem& route : aChange.routes()) {
    Put(mRoutes, mDroppedRoutes, route);
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
