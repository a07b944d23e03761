#include "gateway/route_table.h"

#include <algorithm>
#include <utility>

namespace rattandyke::gateway {

namespace {

std::shared_ptr<Route>
MakeRoute(const wire::RouteItem& aItem)
{
  auto route = std::make_shared<Route>();
  route->name = aItem.name();
  route->host = aItem.host();
  route->pathPrefix = aItem.prefix();
  route->idempotent = aItem.idempotent();
  route->timeout = std::chrono::milliseconds{ aItem.timeout_ms() };
  route->objective = std::chrono::milliseconds{ aItem.objective_ms() };
  route->priority = aItem.priority();
  route->maxAttempts = aItem.max_attempts();
  route->version = aItem.version();
  for (const wire::RoutePart& part : aItem.parts()) {
    route->parts.push_back({ part.service(), part.weight(), 0 });
  }
  return route;
}

/// Separates host and prefix in a key; cannot occur in the host of a request.
constexpr char kSeparator = '\n';

/// @return the key of a host and prefix in RouteTable::mByMatch.
std::string
MatchKey(std::string_view aHost, std::string_view aPrefix)
{
  std::string key(aHost);
  key += kSeparator;
  key += aPrefix;
  return key;
}

} // namespace

void
RouteTable::Update(const ItemTable& aItems)
{
  const auto known = std::exchange(mByName, {});
  mByMatch.clear();
  mMaxPrefixLength = 0;
  for (const auto& [name, item] : aItems.Routes()) {
    const auto old = known.find(name);
    const bool same =
      old != known.end() && old->second->version == item.version();
    Add(same ? old->second : MakeRoute(item));
  }
}

void
RouteTable::Update(const ItemTable& aItems, const wire::ChangeItems& aChange)
{
  std::vector<const wire::RouteItem*> changed;
  const auto update = [&](const std::string& aName) {
    const auto item = aItems.Routes().find(aName);
    const auto known = mByName.find(aName);
    const bool exists = item != aItems.Routes().end();
    const bool same = exists && known != mByName.end() &&
                      known->second->version == item->second.version();
    if (!same) {
      Remove(aName);
    }
    if (exists && !same) {
      changed.push_back(&item->second);
    }
  };
  for (const wire::DroppedItem& drop : aChange.dropped_routes()) {
    update(drop.name());
  }
  for (const wire::RouteItem& route : aChange.routes()) {
    update(route.name());
  }
  // Add routes only after all changed ones are removed, because one route may
  // take over the match of another.
  for (const wire::RouteItem* item : changed) {
    Add(MakeRoute(*item));
  }
}

void
RouteTable::Remove(const std::string& aName)
{
  const auto known = mByName.find(aName);
  if (known == mByName.end()) {
    return;
  }
  mByMatch.erase(MatchKey(known->second->host, known->second->pathPrefix));
  mByName.erase(known);
}

void
RouteTable::Add(std::shared_ptr<Route> aRoute)
{
  mMaxPrefixLength = std::max(mMaxPrefixLength, aRoute->pathPrefix.size());
  mByName[aRoute->name] = aRoute;
  mByMatch[MatchKey(aRoute->host, aRoute->pathPrefix)] = std::move(aRoute);
}

std::shared_ptr<Route>
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const std::string key = MatchKey(aHost, aPath.substr(0, mMaxPrefixLength));
  for (size_t end = key.size(); end > aHost.size(); --end) {
    if (key[end - 1] != '/') {
      continue;
    }
    const auto route = mByMatch.find(std::string_view(key).substr(0, end));
    if (route != mByMatch.end()) {
      return route->second;
    }
  }
  return nullptr;
}

const std::string&
NextService(Route& aRoute)
{
  double sum = 0;
  Route::Part* selected = nullptr;
  for (Route::Part& part : aRoute.parts) {
    sum += part.weight;
    part.currentWeight += part.weight;
    if (part.weight > 0 &&
        (selected == nullptr || part.currentWeight > selected->currentWeight)) {
      selected = &part;
    }
  }
  selected->currentWeight -= sum;
  return selected->service;
}

} // namespace rattandyke::gateway
