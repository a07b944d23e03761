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

/// Between host and prefix; no request's host has it.
constexpr char kSeparator = '\n';

std::string
PlaceOf(std::string_view aHost, std::string_view aPrefix)
{
  std::string place(aHost);
  place += kSeparator;
  place += aPrefix;
  return place;
}

} // namespace

void
RouteTable::Update(const ItemTable& aItems)
{
  const auto known = std::exchange(mByName, {});
  mByPlace.clear();
  mLongestPrefix = 0;
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
  const auto take = [&](const std::string& aName) {
    const auto item = aItems.Routes().find(aName);
    const auto known = mByName.find(aName);
    const bool stands = item != aItems.Routes().end();
    const bool same = stands && known != mByName.end() &&
                      known->second->version == item->second.version();
    if (!same) {
      Remove(aName);
    }
    if (stands && !same) {
      changed.push_back(&item->second);
    }
  };
  for (const wire::DroppedItem& drop : aChange.dropped_routes()) {
    take(drop.name());
  }
  for (const wire::RouteItem& route : aChange.routes()) {
    take(route.name());
  }
  // Only now: one may have taken the place of another.
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
  mByPlace.erase(PlaceOf(known->second->host, known->second->pathPrefix));
  mByName.erase(known);
}

void
RouteTable::Add(std::shared_ptr<Route> aRoute)
{
  mLongestPrefix = std::max(mLongestPrefix, aRoute->pathPrefix.size());
  mByName[aRoute->name] = aRoute;
  mByPlace[PlaceOf(aRoute->host, aRoute->pathPrefix)] = std::move(aRoute);
}

std::shared_ptr<Route>
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const std::string place = PlaceOf(aHost, aPath.substr(0, mLongestPrefix));
  for (size_t end = place.size(); end > aHost.size(); --end) {
    if (place[end - 1] != '/') {
      continue;
    }
    const auto route = mByPlace.find(std::string_view(place).substr(0, end));
    if (route != mByPlace.end()) {
      return route->second;
    }
  }
  return nullptr;
}

const std::string&
NextService(Route& aRoute)
{
  double sum = 0;
  Route::Part* best = nullptr;
  for (Route::Part& part : aRoute.parts) {
    sum += part.weight;
    part.currentWeight += part.weight;
    if (part.weight > 0 &&
        (best == nullptr || part.currentWeight > best->currentWeight)) {
      best = &part;
    }
  }
  best->currentWeight -= sum;
  return best->service;
}

} // namespace rattandyke::gateway
