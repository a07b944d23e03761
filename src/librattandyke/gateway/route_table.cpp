#include "gateway/route_table.h"

#include <algorithm>

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

} // namespace

void
RouteTable::Update(const ItemTable& aItems)
{
  std::map<std::string, std::shared_ptr<Route>> byName;
  mByHost.clear();
  for (const auto& [name, item] : aItems.Routes()) {
    const auto known = mByName.find(name);
    const bool same =
      known != mByName.end() && known->second->version == item.version();
    auto route = same ? known->second : MakeRoute(item);
    mByHost[route->host].push_back(route);
    byName[name] = std::move(route);
  }
  mByName = std::move(byName);
  for (auto& [host, routes] : mByHost) {
    std::sort(
      routes.begin(), routes.end(), [](const auto& aOne, const auto& aOther) {
        return aOne->pathPrefix.size() > aOther->pathPrefix.size();
      });
  }
}

std::shared_ptr<Route>
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto routes = mByHost.find(aHost);
  if (routes == mByHost.end()) {
    return nullptr;
  }
  for (const auto& route : routes->second) {
    if (aPath.starts_with(route->pathPrefix)) {
      return route;
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
    part.credit += part.weight;
    if (part.weight > 0 && (best == nullptr || part.credit > best->credit)) {
      best = &part;
    }
  }
  best->credit -= sum;
  return best->service;
}

} // namespace rattandyke::gateway
