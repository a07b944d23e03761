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

/// @return whether a version of an item comes into force over the one known.
bool
IsNewer(uint64_t aVersion, std::optional<uint64_t> aKnown)
{
  return !aKnown || aVersion > *aKnown;
}

/// What a change makes of the items of one kind that it names, before it is
/// applied.
template<typename Item>
class ItemsOutcome
{
public:
  ItemsOutcome(const std::map<std::string, Item>& aItems,
               const std::map<std::string, uint64_t>& aDropped)
    : mItems(aItems)
    , mDropped(aDropped)
  {
  }

  void Put(const Item& aItem) { Take(aItem.name(), aItem.version(), &aItem); }

  void Drop(const wire::DroppedItem& aDrop)
  {
    Take(aDrop.name(), aDrop.version(), nullptr);
  }

  /// @return what is changed, by name: the item to come, or nullptr.
  const std::map<std::string, const Item*>& Changed() const { return mChanged; }

  /// @return whether an item of that name stands afterwards.
  bool Stands(const std::string& aName) const
  {
    const auto changed = mChanged.find(aName);
    return changed == mChanged.end() ? mItems.contains(aName)
                                     : changed->second != nullptr;
  }

private:
  void Take(const std::string& aName, uint64_t aVersion, const Item* aItem)
  {
    const auto known = mVersions.find(aName);
    const auto version = known != mVersions.end()
                           ? std::optional(known->second)
                           : VersionOf(mItems, mDropped, aName);
    if (IsNewer(aVersion, version)) {
      mVersions[aName] = aVersion;
      mChanged[aName] = aItem;
    }
  }

  const std::map<std::string, Item>& mItems;
  const std::map<std::string, uint64_t>& mDropped;
  std::map<std::string, uint64_t> mVersions;
  std::map<std::string, const Item*> mChanged;
};

template<typename Item>
void
Put(std::map<std::string, Item>& aItems,
    std::map<std::string, uint64_t>& aDropped,
    const Item& aItem)
{
  if (IsNewer(aItem.version(), VersionOf(aItems, aDropped, aItem.name()))) {
    aDropped.erase(aItem.name());
    aItems[aItem.name()] = aItem;
  }
}

template<typename Item>
void
Drop(std::map<std::string, Item>& aItems,
     std::map<std::string, uint64_t>& aDropped,
     const wire::DroppedItem& aDrop)
{
  if (IsNewer(aDrop.version(), VersionOf(aItems, aDropped, aDrop.name()))) {
    aItems.erase(aDrop.name());
    aDropped[aDrop.name()] = aDrop.version();
  }
}

std::pair<std::string, std::string>
PlaceOf(const wire::RouteItem& aRoute)
{
  return { aRoute.host(), aRoute.prefix() };
}

tl::unexpected<Error>
UnknownService(const std::string& aRoute, const std::string& aService)
{
  return Invalid("Route '" + aRoute + "' names the unknown service '" +
                 aService + "'.");
}

} // namespace

class ItemTable::Outcome
{
public:
  Outcome(const ItemTable& aItems, const wire::ChangeItems& aChange)
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

  ItemsOutcome<wire::RouteItem> routes;
  ItemsOutcome<wire::ServiceItem> services;
};

/// No two routes have the same place.
Result<void>
ItemTable::CheckPlaces(const Outcome& aOutcome) const
{
  const auto& changed = aOutcome.routes.Changed();
  std::set<std::pair<std::string, std::string>> taken;
  for (const auto& [name, route] : changed) {
    if (route == nullptr) {
      continue;
    }
    const auto place = PlaceOf(*route);
    const auto holder = mPlaces.find(place);
    const bool stays =
      holder != mPlaces.end() && !changed.contains(holder->second);
    if (stays || !taken.insert(place).second) {
      return Invalid("Route '" + name + "' has the place of another.");
    }
  }
  return {};
}

/// Each route's parts name services that stand.
Result<void>
ItemTable::CheckServices(const Outcome& aOutcome) const
{
  const auto& changed = aOutcome.routes.Changed();
  std::map<std::string, size_t> released;
  for (const auto& [name, route] : changed) {
    if (const auto old = mRoutes.find(name); old != mRoutes.end()) {
      for (const wire::RoutePart& part : old->second.parts()) {
        ++released[part.service()];
      }
    }
    if (route == nullptr) {
      continue;
    }
    for (const wire::RoutePart& part : route->parts()) {
      if (!aOutcome.services.Stands(part.service())) {
        return UnknownService(name, part.service());
      }
    }
  }
  for (const auto& [service, item] : aOutcome.services.Changed()) {
    const auto uses = mUses.find(service);
    if (item == nullptr && uses != mUses.end() &&
        uses->second > released[service]) {
      return Invalid("The service '" + service +
                     "' can't be dropped: routes that stand name it.");
    }
  }
  return {};
}

void
ItemTable::Index(const wire::RouteItem& aRoute)
{
  mPlaces[PlaceOf(aRoute)] = aRoute.name();
  for (const wire::RoutePart& part : aRoute.parts()) {
    ++mUses[part.service()];
  }
}

void
ItemTable::Unindex(const std::string& aRoute)
{
  const auto route = mRoutes.find(aRoute);
  if (route == mRoutes.end()) {
    return;
  }
  mPlaces.erase(PlaceOf(route->second));
  for (const wire::RoutePart& part : route->second.parts()) {
    const auto uses = mUses.find(part.service());
    if (--uses->second == 0) {
      mUses.erase(uses);
    }
  }
}

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
  const Outcome outcome(*this, aChange);
  if (Result<void> places = CheckPlaces(outcome); !places) {
    return places;
  }
  return CheckServices(outcome);
}

void
ItemTable::Apply(const wire::ChangeItems& aChange)
{
  // All that change leave the indices before any comes into them: one may take
  // the place of another, and a name may be there more than once.
  const Outcome outcome(*this, aChange);
  for (const auto& [name, route] : outcome.routes.Changed()) {
    Unindex(name);
  }
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
  for (const auto& [name, route] : outcome.routes.Changed()) {
    if (route != nullptr) {
      Index(*route);
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
