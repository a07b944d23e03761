/// Table of the routes that assign requests to services.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <rattandyke/types.h>

#include "gateway/item_table.h"

namespace rattandyke::gateway {

/// A current route: which requests it matches, and how they are forwarded.
struct Route
{
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Longest time that a caller waits for the response.
  std::chrono::milliseconds timeout{};
  /// Latency objective: a response within it has full value for the caller.
  std::chrono::milliseconds objective{};
  /// 0 is the highest priority.
  uint32_t priority = 0;
  /// Attempts per request, including the first one.
  uint32_t maxAttempts = 1;
  /// A service's share of a route's requests.
  struct Part
  {
    std::string service;
    double weight = 0;
    /// Current weight in the smooth weighted round-robin, see NextService.
    double currentWeight = 0;
  };
  std::vector<Part> parts;
  uint64_t version = 0;
};

/// Finds routes by host and longest matching path prefix. Not thread-safe.
class RouteTable
{
public:
  /// Replaces all routes by the current ones. Routes of an unchanged version
  /// keep the state of their round-robin.
  void Update(const ItemTable& aItems);

  /// Updates only the routes that a change names.
  /// @param aItems after the change was applied or refused.
  void Update(const ItemTable& aItems, const wire::ChangeItems& aChange);

  /// Finds the route with the longest prefix that matches a request.
  /// @param aHost host of the request, without the port.
  /// @return the route, or nullptr if none matches.
  std::shared_ptr<Route> Find(std::string_view aHost,
                              std::string_view aPath) const;

private:
  void Remove(const std::string& aName);
  void Add(std::shared_ptr<Route> aRoute);

  std::map<std::string, std::shared_ptr<Route>> mByName;
  /// By match: host and path prefix, joined by MatchKey.
  std::map<std::string, std::shared_ptr<Route>, std::less<>> mByMatch;
  /// Length of the longest prefix added since the last full update. Find looks
  /// up no longer prefixes, so that a path of thousands of slashes costs no
  /// more than other paths.
  size_t mMaxPrefixLength = 0;
};

/// Selects the service of the next request by smooth weighted round-robin. Each
/// selection adds to the current weight of every part its weight, and subtracts
/// the sum of all weights from the selected part. So any run of consecutive
/// requests is divided by weight, and not only the long-term average.
/// @param aRoute with at least one part of a weight above 0.
const std::string& NextService(Route& aRoute);

} // namespace rattandyke::gateway
