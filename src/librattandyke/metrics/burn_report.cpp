#include "metrics/burn_report.h"

#include <cstdio>
#include <ctime>

namespace rattandyke::metrics {
namespace {

namespace json = boost::json;

constexpr int kMinutesPerHour = 60;
constexpr int kMinutesPerDay = 24 * 60;

std::string
Formatted(const char* aFormat, double aValue)
{
  char text[48];
  std::snprintf(text, sizeof text, aFormat, aValue);
  return text;
}

std::string
TimeText(WallTime aTime)
{
  const std::time_t seconds =
    std::chrono::floor<std::chrono::seconds>(aTime).time_since_epoch().count();
  std::tm fields{};
  gmtime_r(&seconds, &fields);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%d %H:%M UTC", &fields);
  return text;
}

std::string
Joined(const std::vector<std::string>& aNames)
{
  std::string joined;
  for (const std::string& name : aNames) {
    joined += (joined.empty() ? "" : ", ") + name;
  }
  return joined.empty() ? "none" : joined;
}

records::Objective
Strictest(const records::Objective& aOne, const records::Objective& aOther)
{
  return { std::max(aOne.availability, aOther.availability),
           std::min(aOne.latency, aOther.latency),
           std::max(aOne.latencyShare, aOther.latencyShare) };
}

std::string
BudgetText(const char* aName, const BudgetReport& aReport)
{
  std::string line = "  " + std::string(aName) + "  target " +
                     Formatted("%.6g%%", aReport.target * 100) + "  burn";
  for (const WindowBurn& window : aReport.windows) {
    line +=
      "  " + WindowText(window.window) + ' ' + Formatted("%.2f", window.rate);
  }
  return line + "  left " + Formatted("%.1f%%", aReport.left * 100) +
         "  runs out " + RunsOutText(aReport) + '\n';
}

json::object
BudgetJson(const BudgetReport& aReport)
{
  json::array windows;
  for (const WindowBurn& window : aReport.windows) {
    windows.push_back(json::object{ { "minutes", window.window.count() },
                                    { "requests", window.total },
                                    { "bad", window.bad },
                                    { "burn", window.rate } });
  }
  json::object budget{ { "target", aReport.target },
                       { "windows", std::move(windows) },
                       { "left", aReport.left } };
  budget["runs_out_in_minutes"] =
    aReport.runsOutIn ? json::value(aReport.runsOutIn->count()) : nullptr;
  return budget;
}

json::array
NamesJson(const std::vector<std::string>& aNames)
{
  json::array names;
  for (const std::string& name : aNames) {
    names.emplace_back(name);
  }
  return names;
}

} // namespace

std::vector<ServiceReport>
MergeBurn(const std::vector<std::vector<ServiceBurn>>& aHosts, WallTime aNow)
{
  std::map<std::string, ServiceReport> merged;
  for (const auto& host : aHosts) {
    for (const ServiceBurn& burn : host) {
      const auto [at, isNew] = merged.try_emplace(burn.service);
      ServiceReport& report = at->second;
      report.service = burn.service;
      report.objective =
        isNew ? burn.objective : Strictest(report.objective, burn.objective);
      report.history.Merge(burn.history);
    }
  }
  std::vector<ServiceReport> reports;
  for (auto& [name, report] : merged) {
    report.availability = ReportBudget(
      report.history, Budget::Availability, report.objective, aNow);
    report.latency =
      ReportBudget(report.history, Budget::Latency, report.objective, aNow);
    reports.push_back(std::move(report));
  }
  return reports;
}

std::string
WindowText(std::chrono::minutes aWindow)
{
  const auto minutes = aWindow.count();
  if (minutes >= kMinutesPerDay) {
    return std::to_string(minutes / kMinutesPerDay) + " d";
  }
  return minutes >= kMinutesPerHour
           ? std::to_string(minutes / kMinutesPerHour) + " h"
           : std::to_string(minutes) + " min";
}

std::string
RunsOutText(const BudgetReport& aReport)
{
  if (!aReport.runsOutIn) {
    return "not at this pace";
  }
  const auto minutes = aReport.runsOutIn->count();
  if (minutes == 0) {
    return "used up";
  }
  if (minutes < kMinutesPerHour) {
    return "in " + std::to_string(minutes) + " min";
  }
  const auto hours = minutes / kMinutesPerHour;
  constexpr int kHoursPerDay = 24;
  const std::string rest = std::to_string(hours % kHoursPerDay) + " h";
  return hours < kHoursPerDay
           ? "in " + rest
           : "in " + std::to_string(hours / kHoursPerDay) + " d " + rest;
}

std::string
ToText(const BurnReport& aReport)
{
  std::string text =
    "Burn at " + TimeText(aReport.at) + " from " + Joined(aReport.hosts) + '\n';
  if (!aReport.missing.empty()) {
    text += "Not in it: " + Joined(aReport.missing) + '\n';
  }
  for (const ServiceReport& service : aReport.services) {
    text += service.service + " (answers within " +
            std::to_string(service.objective.latency.count()) + " ms)\n";
    text += BudgetText("availability", service.availability);
    text += BudgetText("latency     ", service.latency);
  }
  if (aReport.services.empty()) {
    text += "No requests were counted.\n";
  }
  return text;
}

json::object
ToJson(const BurnReport& aReport)
{
  json::array services;
  for (const ServiceReport& service : aReport.services) {
    services.push_back(
      json::object{ { "service", service.service },
                    { "latency_ms", service.objective.latency.count() },
                    { "availability", BudgetJson(service.availability) },
                    { "latency", BudgetJson(service.latency) } });
  }
  return { { "at_unix_ms", aReport.at.time_since_epoch().count() },
           { "hosts", NamesJson(aReport.hosts) },
           { "missing", NamesJson(aReport.missing) },
           { "services", std::move(services) } };
}

} // namespace rattandyke::metrics
