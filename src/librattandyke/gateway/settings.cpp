#include "gateway/settings.h"

#include <charconv>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

#include "base/endpoint.h"
#include "config/ini.h"

namespace rattandyke::gateway {

namespace {

constexpr uint16_t kNoPort = 0;
constexpr uint64_t kMostTolerated = 4;

/// One key of the file: what it takes, and how it is stored.
struct Row
{
  std::string_view section;
  std::string_view key;
  std::string_view defaultValue;
  std::string_view allowed;
  std::string_view meaning;
  std::function<bool(Settings&, const std::string&)> assign;
};

bool
ParseTime(const std::string& aText, Millis& aTime)
{
  double number = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, number);
  const std::string_view unit(end, static_cast<size_t>(last - end));
  if (error != std::errc{} || number < 0 || number > 1e8 ||
      (unit != "ms" && unit != "s")) {
    return false;
  }
  const double factor = unit == "s" ? 1000 : 1;
  aTime = Millis{ static_cast<int64_t>(number * factor) };
  return true;
}

/// @return whether it is a number from 0.
bool
ParseNumber(const std::string& aText, double& aNumber)
{
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, aNumber);
  return error == std::errc{} && end == last && aNumber >= 0;
}

/// @return whether it is a whole number from 0.
bool
ParseCount(const std::string& aText, uint64_t& aCount)
{
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, aCount);
  return error == std::errc{} && end == last;
}

bool
ParseFlag(const std::string& aText, bool& aFlag)
{
  aFlag = aText == "true";
  return aText == "true" || aText == "false";
}

bool
ParseOptionalEndpoint(const std::string& aText,
                      std::optional<Endpoint>& aEndpoint)
{
  if (aText.empty()) {
    aEndpoint.reset();
    return true;
  }
  const Result<Endpoint> endpoint = ParseEndpoint(aText);
  if (endpoint) {
    aEndpoint = *endpoint;
  }
  return endpoint.has_value();
}

/// Seeds are known by the address for calls; peers reach them at the port that
/// this host's peers use, too, as all hosts of a deployment have the same.
bool
ParseSeeds(const std::string& aText, std::vector<Endpoint>& aSeeds)
{
  aSeeds.clear();
  std::istringstream words(aText);
  std::string word;
  while (std::getline(words, word, ',')) {
    const std::string trimmed(config::Trimmed(word));
    if (trimmed.empty()) {
      continue;
    }
    const Result<Endpoint> endpoint = ParseEndpoint(trimmed);
    if (!endpoint) {
      return false;
    }
    aSeeds.push_back({ endpoint->address, kNoPort });
  }
  return true;
}

/// Names with commas between them.
bool
ParseDataCentres(const std::string& aText, std::vector<DataCentre>& aNames)
{
  aNames.clear();
  std::istringstream words(aText);
  std::string word;
  while (std::getline(words, word, ',')) {
    const std::string trimmed(config::Trimmed(word));
    if (!trimmed.empty()) {
      aNames.push_back(DataCentre{ trimmed });
    }
  }
  return true;
}

/// Nothing stands for what a deployment does not tell.
template<typename Parse>
bool
OrDefault(const std::string& aText, Parse aParse)
{
  return aText.empty() || aParse();
}

bool
ParseRole(const std::string& aText, Settings& aSettings)
{
  aSettings.entry = aText == "entry";
  aSettings.control = aText == "control";
  return aSettings.entry || aSettings.control;
}

template<typename Field>
auto
Time(Field aField)
{
  return [aField](Settings& aSettings, const std::string& aText) {
    return ParseTime(aText, aSettings.*aField);
  };
}

template<typename Field>
auto
Optional(Field aField)
{
  return [aField](Settings& aSettings, const std::string& aText) {
    return ParseOptionalEndpoint(aText, aSettings.*aField);
  };
}

const std::vector<Row>&
Rows()
{
  static const std::vector<Row> sRows{
    { "host",
      "name",
      "host-1",
      "a name",
      "Name of this host in logs.",
      [](Settings& aSettings, const std::string& aText) {
        aSettings.name.value = aText;
        return !aText.empty();
      } },
    { "host",
      "data_centre",
      "local",
      "a name",
      "Data centre that the host stands in.",
      [](Settings& aSettings, const std::string& aText) {
        aSettings.dataCentre.value = aText;
        return !aText.empty();
      } },
    { "host",
      "data_centres",
      "",
      "names with commas between them, or nothing",
      "All data centres of the deployment; an order about another one is "
      "refused. Nothing: any name is taken.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseDataCentres(aText, aSettings.dataCentres);
      } },
    { "host",
      "role",
      "entry",
      "entry or control",
      "An entry takes callers' requests; a control host has a disk, votes in "
      "the replicated log and answers upstreams and operators.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseRole(aText, aSettings);
      } },
    { "host",
      "data_folder",
      "",
      "a path, empty for an entry",
      "Folder of the replicated log.",
      [](Settings& aSettings, const std::string& aText) {
        aSettings.dataFolder = aText;
        return true;
      } },
    { "host",
      "first_start",
      "false",
      "true or false",
      "Whether the whole deployment starts for the first time, with empty "
      "disks. Only then a group of control hosts is founded.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseFlag(aText, aSettings.firstStart);
      } },
    { "host",
      "dialect",
      "platform",
      "the name of a dialect",
      "How upstreams and operators word their calls.",
      [](Settings& aSettings, const std::string& aText) {
        aSettings.dialect = aText;
        return !aText.empty();
      } },
    { "host",
      "link_mbits",
      "0",
      "a number from 0, or nothing for the default",
      "Bandwidth of the host's link in Mbit/s. While it is busy, answers wait "
      "for it in the order in which they are due. 0: not told, nothing waits.",
      [](Settings& aSettings, const std::string& aText) {
        return OrDefault(
          aText, [&] { return ParseNumber(aText, aSettings.linkMbits); });
      } },
    { "host",
      "descriptors",
      "4096",
      "a whole number from 0, or nothing for the default",
      "Descriptors that the process may have. Four fifths of them are for "
      "connections of upstreams and operators.",
      [](Settings& aSettings, const std::string& aText) {
        return OrDefault(
          aText, [&] { return ParseCount(aText, aSettings.descriptors); });
      } },
    { "host",
      "log_level",
      "info",
      "debug, info, warning or error",
      "Least severity of lines on standard output.",
      [](Settings& aSettings, const std::string& aText) {
        aSettings.logLevel = aText;
        return std::set<std::string>{ "debug", "info", "warning", "error" }
          .contains(aText);
      } },
    { "listen",
      "callers",
      "",
      "an address IP:PORT or nothing",
      "Where callers' requests arrive; an entry needs it.",
      Optional(&Settings::callers) },
    { "listen",
      "readiness",
      "",
      "an address IP:PORT or nothing",
      "Where a balancer asks whether the host is ready.",
      Optional(&Settings::readiness) },
    { "listen",
      "calls",
      "",
      "an address IP:PORT or nothing",
      "Where upstreams and operators call; a control host needs it.",
      Optional(&Settings::calls) },
    { "listen",
      "metrics",
      "",
      "an address IP:PORT or nothing",
      "Where counters and histograms of times are served, at any path.",
      Optional(&Settings::metrics) },
    { "listen",
      "peers",
      "127.0.0.1:7003",
      "an address IP:PORT",
      "Where other hosts reach this one. All hosts use the same port. "
      "Connections between hosts are neither encrypted nor authenticated.",
      [](Settings& aSettings, const std::string& aText) {
        const Result<Endpoint> endpoint = ParseEndpoint(aText);
        aSettings.peers = endpoint.value_or(Endpoint{});
        return endpoint.has_value();
      } },
    { "listen",
      "advertised",
      "",
      "an address IP:PORT or nothing",
      "Where other hosts reach this one, if not at `peers`.",
      Optional(&Settings::advertised) },
    { "control",
      "seeds",
      "",
      "addresses with commas between them",
      "Control hosts that are asked for the others. On the first start they "
      "found the group, so all hosts must be given the same then.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseSeeds(aText, aSettings.seeds);
      } },
    { "control",
      "tolerated",
      "2",
      "a number from 0 to 4",
      "Control hosts that may be lost at the same time; twice as many and one "
      "vote.",
      [](Settings& aSettings, const std::string& aText) {
        const char* const last = aText.data() + aText.size();
        const auto [end, error] =
          std::from_chars(aText.data(), last, aSettings.tolerated);
        return error == std::errc{} && end == last &&
               aSettings.tolerated <= kMostTolerated;
      } },
    { "leases",
      "heartbeat_interval",
      "1s",
      "a time in ms or s",
      "How often upstreams send heartbeats.",
      Time(&Settings::heartbeatInterval) },
    { "leases",
      "longest_hold",
      "10s",
      "a time in ms or s",
      "Longest hold of keys that upstreams accept.",
      Time(&Settings::longestHold) },
    { "leases",
      "hold",
      "0s",
      "a time in ms or s",
      "For how long an answered heartbeat renews an upstream's keys. Longer "
      "outlasts longer outages of the control hosts; shorter gives the keys of "
      "a crashed upstream to another sooner. 0s: 4.5 s, or two and a half "
      "heartbeat intervals if that is longer, but no longer than longest_hold.",
      Time(&Settings::hold) },
    { "requests",
      "retry_ratio",
      "0.2",
      "a number from 0 to 1",
      "Second tries for each request that all hosts together may make.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseNumber(aText, aSettings.retryRatio) &&
               aSettings.retryRatio <= 1;
      } },
    { "requests",
      "retry_slack",
      "10",
      "a number from 0",
      "Second tries beyond these that all hosts together may make at a time.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseNumber(aText, aSettings.retrySlack);
      } },
    { "requests",
      "drain_timeout",
      "2s",
      "a time in ms or s",
      "Time within which a leaving upstream must get no more requests.",
      Time(&Settings::drainTimeout) },
    { "requests",
      "evacuation_timeout",
      "5s",
      "a time in ms or s, or nothing for the default",
      "Time within which nothing new may reach the upstreams of an evacuated "
      "data centre.",
      [](Settings& aSettings, const std::string& aText) {
        return OrDefault(
          aText, [&] { return ParseTime(aText, aSettings.evacuationTimeout); });
      } },
    { "requests",
      "cold_factor",
      "1",
      "a number from 0, or nothing for the default",
      "Times its service's rate that a cold upstream may get in one second.",
      [](Settings& aSettings, const std::string& aText) {
        return OrDefault(
          aText, [&] { return ParseNumber(aText, aSettings.coldFactor); });
      } },
    { "requests",
      "cold_slack",
      "0",
      "a number from 0, or nothing for the default",
      "Requests beyond these that a cold upstream may get in one second.",
      [](Settings& aSettings, const std::string& aText) {
        return OrDefault(
          aText, [&] { return ParseNumber(aText, aSettings.coldSlack); });
      } },
    { "requests",
      "shutdown_grace",
      "6s",
      "a time in ms or s",
      "Time after SIGTERM at which the host is killed.",
      Time(&Settings::shutdownGrace) },
  };
  return sRows;
}

const Row*
FindRow(const config::IniEntry& aEntry)
{
  for (const Row& row : Rows()) {
    if (row.section == aEntry.section && row.key == aEntry.key) {
      return &row;
    }
  }
  return nullptr;
}

std::string
Where(const std::string& aFile, uint32_t aLine)
{
  return aFile + ":" + std::to_string(aLine) + ": ";
}

/// What one key alone can't show.
/// Safeguard: a hold that outlasts hardly more than one interval ends while a
/// heartbeat that got no answer is sent again, and keys move though their
/// holder is well.
void
FillHoldIn(Settings& aSettings)
{
  constexpr Millis kLeastHold{ 4500 };
  if (aSettings.hold > Millis::zero()) {
    return;
  }
  const Millis lasting = aSettings.heartbeatInterval * 5 / 2;
  aSettings.hold =
    std::min(std::max(kLeastHold, lasting), aSettings.longestHold);
}

void
CheckWhole(const Settings& aSettings, std::string& aProblems)
{
  if (aSettings.entry && !aSettings.callers) {
    aProblems += "An entry needs [listen] callers.\n";
  }
  if (aSettings.control && !aSettings.calls) {
    aProblems += "A control host needs [listen] calls.\n";
  }
  if (aSettings.control && aSettings.dataFolder.empty()) {
    aProblems += "A control host needs [host] data_folder.\n";
  }
  if (aSettings.seeds.empty()) {
    aProblems += "[control] seeds names no host.\n";
  }
  if (aSettings.hold > aSettings.longestHold) {
    aProblems += "[leases] hold is above longest_hold.\n";
  }
  if (aSettings.heartbeatInterval <= Millis::zero()) {
    aProblems += "[leases] heartbeat_interval must be above 0.\n";
  }
}

} // namespace

Result<Settings>
ParseSettings(std::string_view aText, const std::string& aFile)
{
  Settings settings;
  for (const Row& row : Rows()) {
    row.assign(settings, std::string(row.defaultValue));
  }
  std::string problems;
  const config::IniFile file = config::ReadIni(aText);
  for (const config::Problem& problem : file.problems) {
    problems += Where(aFile, problem.line) + "read '" + problem.read +
                "', allowed is " + problem.allowed + ".\n";
  }
  for (const config::IniEntry& entry : file.entries) {
    const Row* row = FindRow(entry);
    const std::string name = "[" + entry.section + "] " + entry.key;
    if (row == nullptr) {
      problems += Where(aFile, entry.line) + name + " is not a setting.\n";
    } else if (!row->assign(settings, entry.value)) {
      problems += Where(aFile, entry.line) + name + ": read '" + entry.value +
                  "', allowed is " + std::string(row->allowed) + ".\n";
    }
  }
  for (Endpoint& seed : settings.seeds) {
    seed.port = settings.AdvertisedAddress().port;
  }
  FillHoldIn(settings);
  CheckWhole(settings, problems);
  if (!problems.empty()) {
    problems.pop_back();
    return Fail(Code::InvalidSettings, problems);
  }
  return settings;
}

Result<Settings>
LoadSettings(const std::filesystem::path& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return Fail(Code::InvalidSettings,
                "The settings file " + aFile.string() + " can't be read.");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), aFile.string());
}

std::string
SettingsPage()
{
  std::ostringstream page;
  page << "# Settings of a gateway deployment\n\n"
          "For `rattandyke gateway --settings FILE`; made from the table that "
          "the program reads settings with.\n";
  std::string_view section;
  for (const Row& row : Rows()) {
    if (row.section != section) {
      section = row.section;
      page << "\n## [" << section << "]\n\n"
           << "| key | default | allowed | meaning |\n"
              "| --- | --- | --- | --- |\n";
    }
    page << "| `" << row.key << "` | " << (row.defaultValue.empty() ? "" : "`")
         << row.defaultValue << (row.defaultValue.empty() ? "" : "`") << " | "
         << row.allowed << " | " << row.meaning << " |\n";
  }
  return page.str();
}

} // namespace rattandyke::gateway
