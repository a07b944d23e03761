/// Which route a request takes.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <rattandyke/types.h>

#include "gateway/item_table.h"

namespace rattandyke::gateway {

struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  /// May run more than once.
  bool idempotent = false;
  std::chrono::milliseconds timeout{};
  /// An answer within it is of full use.
  std::chrono::milliseconds objective{};
  /// 0 goes first.
  uint32_t priority = 0;
  uint32_t maxAttempts = 1;
  struct Part
  {
    std::string service;
    double weight = 0;
    /// How far its share lags behind its weight.
    double currentWeight = 0;
  };
  std::vector<Part> parts;
  uint64_t version = 0;
};

/// Routes by host and longest prefix. Not thread-safe.
class RouteTable
{
public:
  /// Takes all routes in force. Routes that did not change keep their place in
  /// the order of their parts.
  void Update(const ItemTable& aItems);

  /// Takes the routes in force of those that a change names; it has been
  /// applied to the items, or refused by them.
  void Update(const ItemTable& aItems, const wire::ChangeItems& aChange);

  /// @param aHost of the request, without a port.
  /// @return the route, or nullptr. It stays valid while it is held.
  std::shared_ptr<Route> Find(std::string_view aHost,
                              std::string_view aPath) const;

private:
  void Remove(const std::string& aName);
  void Add(std::shared_ptr<Route> aRoute);

  std::map<std::string, std::shared_ptr<Route>> mByName;
  /// By host and prefix, as PlaceOf joins them.
  std::map<std::string, std::shared_ptr<Route>, std::less<>> mByPlace;
  /// Of those that were ever added; no longer one is looked for, so that a path
  /// of thousands of slashes costs no more than others.
  size_t mLongestPrefix = 0;
};

/// @return the service that a request goes to. Each gets its weight's share of
/// any run of requests, not only on average: a part that was chosen pays the
/// sum of all weights, and all earn their own at each choice.
const std::string& NextService(Route& aRoute);

} // namespace rattandyke::gateway
