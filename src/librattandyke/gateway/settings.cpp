#include "gateway/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "config/ini.h"
#include "gateway/settings_table.h"

namespace rattandyke::gateway {

namespace {

const SettingSpec*
FindSpec(const config::IniEntry& aEntry)
{
  for (const SettingSpec& spec : SettingSpecs()) {
    if (spec.section == aEntry.section && spec.key == aEntry.key) {
      return &spec;
    }
  }
  return nullptr;
}

/// @return the prefix of a message about a line of a file.
std::string
LocationPrefix(const std::string& aFile, uint32_t aLine)
{
  return aFile + ":" + std::to_string(aLine) + ": ";
}

/// Sets the default lease duration. A lease little longer than the heartbeat
/// interval would expire while an unanswered heartbeat is repeated, and the
/// keys of a healthy upstream would move.
void
SetDefaultHold(Settings& aSettings)
{
  constexpr Millis kMinHold{ 4500 };
  if (aSettings.hold > Millis::zero()) {
    return;
  }
  const Millis hold = aSettings.heartbeatInterval * 5 / 2;
  aSettings.hold = std::min(std::max(kMinHold, hold), aSettings.longestHold);
}

/// Checks the settings that depend on one another, and appends a line to
/// aProblems for each violation.
void
CheckCombinations(const Settings& aSettings, std::string& aProblems)
{
  if (aSettings.entry && !aSettings.callers) {
    aProblems += "An entry host needs [listen] callers.\n";
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
  if (aSettings.dispatch == Dispatch::Demand && !aSettings.sharedDemand) {
    aProblems += "[admission] dispatch = demand needs shared_demand = true.\n";
  }
}

} // namespace

Result<Settings>
ParseSettings(std::string_view aText, const std::string& aFile)
{
  Settings settings;
  for (const SettingSpec& spec : SettingSpecs()) {
    spec.assign(settings, std::string(spec.defaultValue));
  }
  std::string problems;
  const config::IniFile file = config::ReadIni(aText);
  for (const config::Problem& problem : file.problems) {
    problems += LocationPrefix(aFile, problem.line) + "read '" + problem.read +
                "', allowed: " + problem.allowed + ".\n";
  }
  for (const config::IniEntry& entry : file.entries) {
    const SettingSpec* spec = FindSpec(entry);
    const std::string name = "[" + entry.section + "] " + entry.key;
    if (spec == nullptr) {
      problems +=
        LocationPrefix(aFile, entry.line) + name + " is not a setting.\n";
    } else if (!spec->assign(settings, entry.value)) {
      problems += LocationPrefix(aFile, entry.line) + name + ": read '" +
                  entry.value + "', allowed: " + std::string(spec->allowed) +
                  ".\n";
    }
  }
  for (Endpoint& seed : settings.seeds) {
    seed.port = settings.AdvertisedAddress().port;
  }
  SetDefaultHold(settings);
  CheckCombinations(settings, problems);
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
  page
    << "# Settings of a gateway deployment\n\n"
       "Settings of `rattandyke gateway --settings FILE`. Generated from the "
       "table with which the program parses its settings.\n";
  std::string_view section;
  for (const SettingSpec& spec : SettingSpecs()) {
    if (spec.section != section) {
      section = spec.section;
      page << "\n## [" << section << "]\n\n"
           << "| key | default | allowed | meaning |\n"
              "| --- | --- | --- | --- |\n";
    }
    page << "| `" << spec.key << "` | "
         << (spec.defaultValue.empty() ? "" : "`") << spec.defaultValue
         << (spec.defaultValue.empty() ? "" : "`") << " | " << spec.allowed
         << " | " << spec.meaning << " |\n";
  }
  return page.str();
}

} // namespace rattandyke::gateway
