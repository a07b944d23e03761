/// Settings of one host, read from an INI file. docs/SETTINGS.md is made from
/// the same table (table.h).
#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "log/log.h"

namespace rattandyke::config {

using Millis = std::chrono::milliseconds;

struct HostSettings
{
  HostName name;
  DataCentre dataCentre;
  bool entry = false;
  bool control = false;
  std::filesystem::path dataFolder;
  /// This host's own line in [hosts], if it has one.
  std::optional<Endpoint> advertised;
};

struct ListenSettings
{
  Endpoint callers;
  Endpoint upstreams;
  Endpoint admin;
  Endpoint peers;
};

/// A host of the deployment and where its peers reach it.
struct PeerHost
{
  HostName name;
  Endpoint address;
};

struct LimitSettings
{
  uint64_t workers = 0;
  uint64_t headerBytes = 0;
  uint64_t bodyBytes = 0;
  uint64_t replayBytes = 0;
  uint64_t storedAnswerBytes = 0;
  uint64_t adminBodyBytes = 0;
  uint64_t connections = 0;
  uint64_t adminConnections = 0;
  uint64_t adminConnectionsPerPeer = 0;
  uint64_t idlePerUpstream = 0;
  Millis readTimeout{};
  Millis stallTimeout{};
  Millis answerStallTimeout{};
  Millis idleTimeout{};
  Millis connectTimeout{};
  Millis callTimeout{};
  Millis drainNotice{};
  Millis shutdownGrace{};
};

/// Times of leases; docs/DESIGN.md tells how they bound a move.
struct LeaseSettings
{
  Millis heartbeat{};
  Millis hostLease{};
  Millis upstreamLease{};
  Millis announceInterval{};
  Millis leaderTimeout{};
};

struct ControlSettings
{
  /// Names of the hosts that vote in the replicated log.
  std::vector<HostName> hosts;
  Millis electionTimeout{};
};

struct LogSettings
{
  log::Severity level = log::Severity::Info;
  log::Format format = log::Format::Text;
  std::string file;
  uint64_t fileBytes = 0;
  uint64_t linesPerSecond = 0;
};

/// What a bearer of an operator's token may do.
enum class TokenRole
{
  ReadOnly,
  ReadWrite
};

/// An operator's token, known by its SHA-256 only.
struct OperatorToken
{
  std::string name;
  TokenRole role = TokenRole::ReadOnly;
  /// Lower-case hex.
  std::string sha256;
};

struct CurveSettings
{
  std::string publicKey;
  std::string secretKey;
  std::string peersPublicKey;
};

/// One key as the file gives it.
struct WrittenSetting
{
  std::string section;
  std::string key;
  std::string value;
  bool operator<(const WrittenSetting& aOther) const
  {
    return std::tie(section, key, value) <
           std::tie(aOther.section, aOther.key, aOther.value);
  }
};

struct Settings
{
  HostSettings host;
  ListenSettings listen;
  /// All hosts of the deployment but this one.
  std::vector<PeerHost> peers;
  ControlSettings control;
  LimitSettings limits;
  LeaseSettings leases;
  LogSettings log;
  std::vector<OperatorToken> tokens;
  CurveSettings curve;
  /// What the file gives, sorted.
  std::vector<WrittenSetting> written;

  /// @return the options for log::Configure.
  log::Options LogOptions() const;
};

/// Keys that differ between two files, as "[section] key".
struct SettingChanges
{
  /// Can be taken over while the host runs.
  std::vector<std::string> atOnce;
  /// Need a restart.
  std::vector<std::string> restart;
};

/// @return what differs; for SIGHUP.
SettingChanges Compare(const Settings& aOld, const Settings& aNew);

/// @return the settings of a single host with both roles on loopback.
Settings DefaultSettings();

/// @param aText contents of an INI file.
/// @param aFile its name, for the messages.
/// @return the settings, or Code::InvalidSettings with one line for each
/// problem: file, line, section and key, what was read, what is allowed.
Result<Settings> ParseSettings(std::string_view aText,
                               const std::string& aFile);

/// Reads aFile; a relative data folder or log file in it is relative to the
/// working directory.
Result<Settings> LoadSettings(const std::filesystem::path& aFile);

/// @return whether the address stands for all interfaces.
bool IsAnyAddress(const Endpoint& aEndpoint);

/// @return whether the address is of the loopback network.
bool IsLoopback(const Endpoint& aEndpoint);

} // namespace rattandyke::config
