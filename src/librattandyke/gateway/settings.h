/// Settings of one host of a gateway deployment, read from an INI file.
#pragma once

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke::gateway {

using Millis = std::chrono::milliseconds;

struct Settings
{
  // [host]
  HostName name;
  DataCentre dataCentre;
  bool entry = false;
  bool control = false;
  std::filesystem::path dataFolder;
  /// The whole deployment starts for the first time, with empty disks.
  bool firstStart = false;
  /// All data centres of the deployment; empty: not told.
  std::vector<DataCentre> dataCentres;
  std::string dialect;
  std::string logLevel;
  /// Of the host's link; 0: not told.
  double linkMbits = 0;
  /// That the process may have.
  uint64_t descriptors = 4096;

  /// @return the calls' connections that a process may have; the rest of its
  /// descriptors is for files and for other hosts.
  size_t MaxCallConnections() const { return descriptors * 4 / 5; }

  // [listen]
  std::optional<Endpoint> callers;
  std::optional<Endpoint> readiness;
  std::optional<Endpoint> calls;
  std::optional<Endpoint> metrics;
  Endpoint peers;
  /// Where others reach this host, if not at the address it listens on.
  std::optional<Endpoint> advertised;

  /// @return this host's address as others know it, which is its name among
  /// them.
  const Endpoint& AdvertisedAddress() const
  {
    return advertised ? *advertised : peers;
  }

  // [control]
  /// Control hosts that may be asked for the others, as addresses for peers.
  std::vector<Endpoint> seeds;
  /// Control hosts that may be lost at the same time.
  uint64_t tolerated = 0;

  // [leases]
  Millis heartbeatInterval{};
  /// Longest hold of keys that upstreams accept.
  Millis longestHold{};
  Millis hold{};

  // [requests]
  /// Second tries for each first one that all hosts together may send.
  double retryRatio = 0;
  /// Second tries beyond these that all hosts together may send at a time.
  double retrySlack = 0;
  Millis drainTimeout{};
  /// Time within which nothing new may reach an evacuated data centre.
  Millis evacuationTimeout{};
  /// Requests that a cold upstream may get in one second: what its service
  /// says times the factor, and the slack.
  double coldFactor = 1;
  double coldSlack = 0;
  Millis shutdownGrace{};
};

/// @return the settings, or Code::InvalidSettings with a line for each problem.
Result<Settings> ParseSettings(std::string_view aText,
                               const std::string& aFile);

Result<Settings> LoadSettings(const std::filesystem::path& aFile);

/// @return docs/GATEWAY-SETTINGS.md: every setting with default and meaning.
std::string SettingsPage();

} // namespace rattandyke::gateway
