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

/// How an entry host decides whether its link can carry a request.
enum class LinkAdmission : uint8_t
{
  /// By the queue of expected responses, with a fixed share of the bandwidth.
  Queue,
  /// By the time of transfer in both directions of the link.
  Transfer,
};

/// Hosts that allocate the slots of upstreams.
enum class SlotAllocators : uint8_t
{
  /// All entry hosts alike.
  Entries,
  /// Control hosts, or entry hosts by the bandwidth of their links.
  Capacity,
};

/// How an entry host sends requests to upstreams.
enum class Dispatch : uint8_t
{
  /// With a slot that the upstream's allocator grants.
  Coordinated,
  /// Without one while the demand of all entry hosts is below capacity.
  Demand,
};

/// Parsed settings of one host. A field has the name of its key unless noted
/// otherwise.
struct Settings
{
  // [host]
  HostName name;
  DataCentre dataCentre;
  /// Key `role`: whether this is an entry host.
  bool entry = false;
  /// Key `role`: whether this is a control host.
  bool control = false;
  /// Folder of the replicated log.
  std::filesystem::path dataFolder;
  /// Whether the whole deployment starts for the first time, with empty disks.
  bool firstStart = false;
  /// All data centres of the deployment; empty: unknown.
  std::vector<DataCentre> dataCentres;
  /// Name of the dialect in DialectRegistry.
  std::string dialect;
  std::string logLevel;
  /// Bandwidth of the host's network link in Mbit/s; 0: unknown.
  double linkMbits = 0;
  /// Memory that the process may use, in MB; 0: unknown.
  double memoryMb = 0;
  /// Maximum number of file descriptors of the process.
  uint64_t descriptors = 4096;

  /// @return the maximum number of connections of an HTTP server for calls. The
  /// remaining descriptors are for files and for connections to other hosts.
  size_t MaxCallConnections() const { return descriptors * 4 / 5; }

  // [listen]
  /// For requests of callers.
  std::optional<Endpoint> callers;
  /// For readiness checks of load balancers.
  std::optional<Endpoint> readiness;
  /// For calls of upstreams and operators to a control host.
  std::optional<Endpoint> calls;
  /// For scrapes of the metrics.
  std::optional<Endpoint> metrics;
  /// For other hosts.
  Endpoint peers;
  /// Address at which other hosts reach this host, if it differs from `peers`.
  std::optional<Endpoint> advertised;

  /// @return the address at which other hosts reach this host. It also
  /// identifies the host among them.
  const Endpoint& AdvertisedAddress() const
  {
    return advertised ? *advertised : peers;
  }

  // [control]
  /// Peer addresses of control hosts, from which this host learns about the
  /// others.
  std::vector<Endpoint> seeds;
  /// Number of control hosts that may fail at the same time.
  uint64_t tolerated = 0;

  // [leases]
  /// Interval between heartbeats of an upstream.
  Millis heartbeatInterval{};
  /// Longest lease on keys that upstreams accept.
  Millis longestHold{};
  /// Duration of the leases on keys. ParseSettings replaces 0 by the default.
  Millis hold{};

  // [requests]
  /// Retries per request that all hosts together may send.
  double retryRatio = 0;
  /// Burst of retries beyond the ratio that all hosts together may send.
  double retrySlack = 0;
  /// Time within which a draining upstream must stop receiving requests.
  Millis drainTimeout{};
  /// Time within which the upstreams of an evacuated data centre must stop
  /// receiving new requests.
  Millis evacuationTimeout{};
  /// A cold upstream may receive its service's cold_rate times coldFactor, plus
  /// coldSlack, requests per second.
  double coldFactor = 1;
  double coldSlack = 0;
  /// Time from SIGTERM until the process is killed.
  Millis shutdownGrace{};

  // [link]
  /// Key `admission`.
  LinkAdmission linkAdmission = LinkAdmission::Queue;

  // [slots]
  /// Key `allocators`.
  SlotAllocators slotAllocators = SlotAllocators::Entries;

  // [admission]
  /// Whether control hosts tell entry hosts the demand of all of them.
  bool sharedDemand = false;
  Dispatch dispatch = Dispatch::Coordinated;
};

/// Parses the text of a settings file.
/// @param aFile name of the file, for messages.
/// @return the settings, or Code::InvalidSettings with a line for each problem.
Result<Settings> ParseSettings(std::string_view aText,
                               const std::string& aFile);

/// Reads and parses a settings file.
/// @return the same as ParseSettings; Code::InvalidSettings also if the file
/// can't be read.
Result<Settings> LoadSettings(const std::filesystem::path& aFile);

/// @return the text of docs/GATEWAY-SETTINGS.md: every setting with its default
/// and meaning.
std::string SettingsPage();

} // namespace rattandyke::gateway
