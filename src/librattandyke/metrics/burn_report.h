/// The report on service-level burn, merged from hosts.
#pragma once

#include <string>
#include <vector>

#include <boost/json.hpp>

#include "metrics/burn_json.h"

namespace rattandyke::metrics {

/// One service over all hosts.
struct ServiceReport
{
  std::string service;
  records::Objective objective;
  BudgetReport availability;
  BudgetReport latency;
  /// For plots.
  BurnHistory history;
};

struct BurnReport
{
  WallTime at{};
  /// Hosts whose counts are in it.
  std::vector<std::string> hosts;
  /// Hosts that should be in it and did not answer, with the reason.
  std::vector<std::string> missing;
  /// Sorted by service.
  std::vector<ServiceReport> services;
};

/// Adds up what hosts counted. Where hosts know different objectives, since a
/// change of the record is on its way, the strictest counts.
/// @param aHosts one entry for each host that answered.
/// @param aNow   end of the windows.
std::vector<ServiceReport> MergeBurn(
  const std::vector<std::vector<ServiceBurn>>& aHosts,
  WallTime aNow);

/// For people.
std::string ToText(const BurnReport& aReport);

/// For programs; docs/design/burn.md lists the fields.
boost::json::object ToJson(const BurnReport& aReport);

/// One page with plots that loads nothing else.
std::string ToHtml(const BurnReport& aReport);

/// @return "used up", "in 1 d 4 h", "in 25 min" or "not at this pace".
std::string RunsOutText(const BudgetReport& aReport);

/// @return "5 min", "1 h", "6 h" or "3 d".
std::string WindowText(std::chrono::minutes aWindow);

} // namespace rattandyke::metrics
