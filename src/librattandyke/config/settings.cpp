#include "config/settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

#include "base/endpoint.h"
#include "config/ini.h"
#include "config/table.h"

namespace rattandyke::config {

namespace {

constexpr uintmax_t kMaxFile = 1 << 20;
constexpr size_t kMaxProblems = 50;

/// The defaults of the table, before what depends on several settings.
Settings
TableDefaults()
{
  Settings settings;
  for (const Setting& setting : AllSettings()) {
    if (!setting.FreeKey()) {
      Assign(setting,
             std::string(setting.key),
             std::string(setting.defaultValue),
             settings);
    }
  }
  return settings;
}

const Setting*
FindRow(std::string_view aSection, std::string_view aKey)
{
  const auto rows = AllSettings();
  const auto row = std::ranges::find_if(rows, [&](const Setting& aRow) {
    return aRow.section == aSection && (aRow.FreeKey() || aRow.key == aKey);
  });
  return row == rows.end() ? nullptr : &*row;
}

/// Turns the entries of a file into settings and collects what is wrong.
class Builder
{
public:
  explicit Builder(IniFile aFile)
    : mFile(std::move(aFile))
    , mSettings(TableDefaults())
  {
  }

  void Build()
  {
    for (const IniEntry& entry : mFile.entries) {
      Apply(entry);
      mSettings.written.push_back({ entry.section, entry.key, entry.value });
    }
    std::sort(mSettings.written.begin(), mSettings.written.end());
    // What is missing is told only when all that is there was understood.
    if (mFile.problems.empty()) {
      CheckHosts();
      CheckLeases();
      CheckExposure();
    }
  }

  const std::vector<Problem>& Problems() const { return mFile.problems; }
  Settings Take() { return std::move(mSettings); }

private:
  void Apply(const IniEntry& aEntry)
  {
    const Setting* setting = FindRow(aEntry.section, aEntry.key);
    if (setting == nullptr) {
      Reject(aEntry, aEntry.value, KnownIn(aEntry.section));
    } else if (!Assign(*setting, aEntry.key, aEntry.value, mSettings)) {
      // A secret that was mistyped is still a secret.
      const bool secret =
        aEntry.section == "curve" || aEntry.section == "tokens";
      Reject(aEntry, secret ? "(not shown)" : aEntry.value, Allowed(*setting));
    }
  }

  static std::string KnownIn(const std::string& aSection)
  {
    std::string keys;
    std::string sections;
    std::string_view last;
    for (const Setting& setting : AllSettings()) {
      if (setting.section == aSection) {
        keys += (keys.empty() ? "" : ", ") + std::string(setting.key);
      }
      if (setting.section != last) {
        last = setting.section;
        sections += (sections.empty() ? "" : ", ") + std::string(last);
      }
    }
    return keys.empty() ? "the sections " + sections : "the keys " + keys;
  }

  void Reject(const IniEntry& aEntry, std::string aRead, std::string aAllowed)
  {
    mFile.problems.push_back({ aEntry.line,
                               aEntry.section,
                               aEntry.key,
                               std::move(aRead),
                               std::move(aAllowed) });
  }

  /// Reports a setting that clashes with others; its line if it has one.
  void RejectKey(const std::string& aSection,
                 const std::string& aKey,
                 std::string aRead,
                 std::string aAllowed)
  {
    IniEntry entry{ aSection, aKey, {}, 0 };
    for (const IniEntry& written : mFile.entries) {
      if (written.section == aSection && written.key == aKey) {
        entry.line = written.line;
      }
    }
    Reject(entry, std::move(aRead), std::move(aAllowed));
  }

  bool IsKnownHost(const HostName& aName) const
  {
    return aName == mSettings.host.name ||
           std::ranges::any_of(mSettings.peers, [&](const PeerHost& aPeer) {
             return aPeer.name == aName;
           });
  }

  void CheckHosts()
  {
    std::erase_if(mSettings.peers, [&](const PeerHost& aPeer) {
      const bool own = aPeer.name == mSettings.host.name;
      if (own) {
        mSettings.host.advertised = aPeer.address;
      }
      return own;
    });
    if (IsAnyAddress(mSettings.listen.peers) && !mSettings.host.advertised) {
      RejectKey("listen",
                "peers",
                ToString(mSettings.listen.peers),
                "one interface, or a line for this host in [hosts] that "
                "tells where it is reached");
    }
    std::vector<HostName>& control = mSettings.control.hosts;
    if (control.empty() && mSettings.peers.empty() && mSettings.host.control) {
      control.push_back(mSettings.host.name);
    }
    if (control.empty()) {
      RejectKey("control", "hosts", "nothing", "the names of control hosts");
    }
    for (const HostName& name : control) {
      if (!IsKnownHost(name)) {
        RejectKey("control", "hosts", name.value, "names from [hosts]");
      }
    }
    const bool listed = std::ranges::count(control, mSettings.host.name) > 0;
    if (listed != mSettings.host.control && !control.empty()) {
      RejectKey("host",
                "roles",
                mSettings.host.control ? "control" : "no control",
                listed ? "control, since [control] hosts names this host"
                       : "control only if [control] hosts names this host");
    }
    if (!mSettings.peers.empty() && mSettings.listen.peers.port == 0) {
      RejectKey("listen", "peers", "port 0", "a port that the others know");
    }
  }

  void CheckLeases()
  {
    const LeaseSettings& leases = mSettings.leases;
    CheckBelow("leases", "heartbeat", leases.heartbeat, leases.hostLease);
    CheckBelow("leases",
               "announce_interval",
               leases.announceInterval,
               leases.upstreamLease);
    CheckBelow("leases", "heartbeat", leases.heartbeat, leases.leaderTimeout);
  }

  // Safeguard: a lease that one lost message ends would lapse without a fault;
  // twice the interval leaves room for a message lost and one late.
  void CheckBelow(const std::string& aSection,
                  const std::string& aKey,
                  Millis aInterval,
                  Millis aLease)
  {
    if (aInterval * 2 > aLease) {
      RejectKey(aSection,
                aKey,
                std::to_string(aInterval.count()),
                "at most half of the " + std::to_string(aLease.count()) +
                  " ms that it keeps alive");
    }
  }

  void CheckExposure()
  {
    const CurveSettings& curve = mSettings.curve;
    const size_t keys = static_cast<size_t>(!curve.publicKey.empty()) +
                        static_cast<size_t>(!curve.secretKey.empty()) +
                        static_cast<size_t>(!curve.peersPublicKey.empty());
    if (keys != 0 && keys != 3) {
      RejectKey("curve", "public_key", "some keys", "all three keys or none");
    }
    if (keys == 0 && !IsLoopback(mSettings.listen.peers)) {
      RejectKey("listen",
                "peers",
                ToString(mSettings.listen.peers),
                "loopback, or any address with keys in [curve]");
    }
    if (mSettings.tokens.empty() && !IsLoopback(mSettings.listen.admin)) {
      RejectKey("listen",
                "admin",
                ToString(mSettings.listen.admin),
                "loopback, or any address with [tokens]");
    }
  }

  IniFile mFile;
  Settings mSettings;
};

std::string
ToText(const Problem& aProblem, const std::string& aFile)
{
  std::string text = aFile;
  if (aProblem.line != 0) {
    text += ":" + std::to_string(aProblem.line);
  }
  text += ": ";
  if (!aProblem.section.empty()) {
    text += "[" + aProblem.section + "] ";
  }
  if (!aProblem.key.empty()) {
    text += aProblem.key + ": ";
  }
  return text + "read '" + aProblem.read + "', allowed: " + aProblem.allowed;
}

} // namespace

namespace {

std::string
NameOf(const std::string& aSection, const std::string& aKey)
{
  std::string name = "[";
  name += aSection;
  name += "] ";
  name += aKey;
  return name;
}

} // namespace

SettingChanges
Compare(const Settings& aOld, const Settings& aNew)
{
  std::vector<WrittenSetting> differing;
  std::set_symmetric_difference(aOld.written.begin(),
                                aOld.written.end(),
                                aNew.written.begin(),
                                aNew.written.end(),
                                std::back_inserter(differing));
  std::set<std::pair<std::string, std::string>> keys;
  for (const WrittenSetting& setting : differing) {
    keys.emplace(setting.section, setting.key);
  }
  SettingChanges changes;
  for (const auto& [section, key] : keys) {
    const Setting* row = FindRow(section, key);
    const bool atOnce = row != nullptr && row->reload == Reload::AtOnce;
    (atOnce ? changes.atOnce : changes.restart).push_back(NameOf(section, key));
  }
  return changes;
}

log::Options
Settings::LogOptions() const
{
  log::Options options;
  options.level = log.level;
  options.format = log.format;
  options.file = log.file;
  options.fileBytes = log.fileBytes;
  options.linesPerSecond = static_cast<uint32_t>(log.linesPerSecond);
  options.host = host.name;
  options.dataCentre = host.dataCentre;
  return options;
}

Settings
DefaultSettings()
{
  return *ParseSettings({}, "defaults");
}

Result<Settings>
ParseSettings(std::string_view aText, const std::string& aFile)
{
  Builder builder(ReadIni(aText));
  builder.Build();
  if (builder.Problems().empty()) {
    return builder.Take();
  }
  std::string message;
  size_t told = 0;
  for (const Problem& problem : builder.Problems()) {
    if (++told > kMaxProblems) {
      message += "\nand more";
      break;
    }
    message += (message.empty() ? "" : "\n") + ToText(problem, aFile);
  }
  return Fail(Code::InvalidSettings, message);
}

Result<Settings>
LoadSettings(const std::filesystem::path& aFile)
{
  std::error_code error;
  const uintmax_t size = std::filesystem::file_size(aFile, error);
  if (error) {
    return Fail(Code::InvalidSettings, aFile.string() + ": " + error.message());
  }
  if (size > kMaxFile) {
    return Fail(Code::InvalidSettings,
                aFile.string() + ": larger than 1048576 bytes");
  }
  std::ifstream stream(aFile, std::ios::binary);
  std::string text(size, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(size));
  if (!stream) {
    return Fail(Code::InvalidSettings, aFile.string() + ": cannot be read");
  }
  return ParseSettings(text, aFile.string());
}

} // namespace rattandyke::config
