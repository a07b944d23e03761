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

/// What a change makes of the items of one kind that it names. Refers to the
/// change.
template<typename Item>
class ItemsOutcome
{
public:
  struct Changed
  {
    uint64_t version = 0;
    /// The item to come, or nullptr if it goes.
    const Item* item = nullptr;
  };

  ItemsOutcome(const std::map<std::string, Item>& aItems,
               const std::map<std::string, uint64_t>& aDropped)
    : mItems(aItems)
    , mDropped(aDropped)
  {
  }

  void Put(const Item& aItem)
  {
    Take(aItem.name(), { aItem.version(), &aItem });
  }

  void Drop(const wire::DroppedItem& aDrop)
  {
    Take(aDrop.name(), { aDrop.version(), nullptr });
  }

  /// @return what is changed, by name.
  const std::map<std::string_view, Changed>& All() const { return mChanged; }

  /// @return whether an item of that name stands afterwards.
  bool Stands(const std::string& aName) const
  {
    const auto changed = mChanged.find(aName);
    return changed == mChanged.end() ? mItems.contains(aName)
                                     : changed->second.item != nullptr;
  }

private:
  void Take(const std::string& aName, Changed aChanged)
  {
    const auto known = mChanged.find(aName);
    if (known != mChanged.end()) {
      if (aChanged.version > known->second.version) {
        known->second = aChanged;
      }
    } else if (IsNewer(aChanged.version, VersionOf(mItems, mDropped, aName))) {
      mChanged.emplace(aName, aChanged);
    }
  }

  const std::map<std::string, Item>& mItems;
  const std::map<std::string, uint64_t>& mDropped;
  std::map<std::string_view, Changed> mChanged;
};

/// Brings items into force and takes others out of it.
template<typename Item>
void
Follow(const ItemsOutcome<Item>& aOutcome,
       std::map<std::string, Item>& aItems,
       std::map<std::string, uint64_t>& aDropped)
{
  for (const auto& [view, changed] : aOutcome.All()) {
    const std::string name(view);
    if (changed.item != nullptr) {
      aDropped.erase(name);
      aItems[name] = *changed.item;
    } else {
      aItems.erase(name);
      aDropped[name] = changed.version;
    }
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
  const auto& changed = aOutcome.routes.All();
  std::set<std::pair<std::string, std::string>> taken;
  for (const auto& [name, route] : changed) {
    if (route.item == nullptr) {
      continue;
    }
    const auto place = PlaceOf(*route.item);
    const auto holder = mPlaces.find(place);
    const bool stays =
      holder != mPlaces.end() && !changed.contains(holder->second);
    if (stays || !taken.insert(place).second) {
      return Invalid("Route '" + std::string(name) +
                     "' has the place of another.");
    }
  }
  return {};
}

/// Each route's parts name services that stand.
Result<void>
ItemTable::CheckServices(const Outcome& aOutcome) const
{
  std::map<std::string, size_t> released;
  for (const auto& [name, route] : aOutcome.routes.All()) {
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
      if (!aOutcome.services.Stands(part.service())) {
        return UnknownService(route.item->name(), part.service());
      }
    }
  }
  for (const auto& [name, service] : aOutcome.services.All()) {
    const auto uses = mUses.find(std::string(name));
    if (service.item == nullptr && uses != mUses.end() &&
        uses->second > released[uses->first]) {
      return Invalid("The service '" + uses->first +
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
  return Check(aChange, Outcome(*this, aChange));
}

Result<void>
ItemTable::Check(const wire::ChangeItems& aChange,
                 const Outcome& aOutcome) const
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
  if (Result<void> places = CheckPlaces(aOutcome); !places) {
    return places;
  }
  return CheckServices(aOutcome);
}

void
ItemTable::Apply(const wire::ChangeItems& aChange)
{
  Apply(aChange, Outcome(*this, aChange));
}

Result<void>
ItemTable::CheckAndApply(const wire::ChangeItems& aChange)
{
  const Outcome outcome(*this, aChange);
  if (Result<void> allowed = Check(aChange, outcome); !allowed) {
    return allowed;
  }
  Apply(aChange, outcome);
  return {};
}

void
ItemTable::Apply(const wire::ChangeItems& aChange, const Outcome& aOutcome)
{
  // All that change leave the indices before any comes into them: one may take
  // the place of another.
  for (const auto& [name, route] : aOutcome.routes.All()) {
    Unindex(std::string(name));
  }
  Follow(aOutcome.services, mServices, mDroppedServices);
  Follow(aOutcome.routes, mRoutes, mDroppedRoutes);
  for (const auto& [name, route] : aOutcome.routes.All()) {
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
