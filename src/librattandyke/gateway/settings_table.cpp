#include "gateway/settings_table.h"

#include <charconv>
#include <set>
#include <sstream>

#include "base/endpoint.h"
#include "base/identifier.h"
#include "config/ini.h"

namespace rattandyke::gateway {

namespace {

/// Port of a seed until ParseSettings fills it in.
constexpr uint16_t kNoPort = 0;
constexpr uint64_t kMaxTolerated = 4;

/// Parses a duration with its unit, ms or s.
bool
ParseDuration(const std::string& aText, Millis& aDuration)
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
  aDuration = Millis{ static_cast<int64_t>(number * factor) };
  return true;
}

/// @return whether the text is a number of at least 0.
bool
ParseNumber(const std::string& aText, double& aNumber)
{
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, aNumber);
  return error == std::errc{} && end == last && aNumber >= 0;
}

/// @return whether the text is a whole number of at least 0.
bool
ParseCount(const std::string& aText, uint64_t& aCount)
{
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, aCount);
  return error == std::errc{} && end == last;
}

bool
ParseBool(const std::string& aText, bool& aValue)
{
  aValue = aText == "true";
  return aText == "true" || aText == "false";
}

/// An empty text is valid and means no endpoint.
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

/// Parses comma-separated endpoints and drops their ports. Operators name a
/// seed by its endpoint for calls; this host connects to its peer port, which
/// is the same on all hosts and filled in by ParseSettings.
bool
ParseSeeds(const std::string& aText, std::vector<Endpoint>& aSeeds)
{
  aSeeds.clear();
  std::istringstream parts(aText);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const std::string trimmed(config::Trimmed(part));
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

/// Parses a name that other hosts store and log.
bool
ParseName(const std::string& aText, std::string& aName)
{
  aName = aText;
  return CheckIdentifier(aText, "name").has_value();
}

/// Parses comma-separated names.
bool
ParseDataCentres(const std::string& aText, std::vector<DataCentre>& aNames)
{
  aNames.clear();
  std::istringstream parts(aText);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const std::string trimmed(config::Trimmed(part));
    if (trimmed.empty()) {
      continue;
    }
    if (!CheckIdentifier(trimmed, "data centre")) {
      return false;
    }
    aNames.push_back(DataCentre{ trimmed });
  }
  return true;
}

/// @return whether the text is empty, which keeps the default, or aParse
/// accepts the value.
template<typename Parse>
bool
EmptyOr(const std::string& aText, Parse aParse)
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

/// Parses one of two names.
template<typename Choice>
bool
ParseChoice(const std::string& aText,
            const std::pair<std::string_view, Choice>& aFirst,
            const std::pair<std::string_view, Choice>& aSecond,
            Choice& aChoice)
{
  aChoice = aText == aSecond.first ? aSecond.second : aFirst.second;
  return aText == aFirst.first || aText == aSecond.first;
}

/// @return the SettingSpec::assign of a duration.
template<typename Field>
auto
AssignDuration(Field aField)
{
  return [aField](Settings& aSettings, const std::string& aText) {
    return ParseDuration(aText, aSettings.*aField);
  };
}

/// @return the SettingSpec::assign of an optional endpoint.
template<typename Field>
auto
AssignOptionalEndpoint(Field aField)
{
  return [aField](Settings& aSettings, const std::string& aText) {
    return ParseOptionalEndpoint(aText, aSettings.*aField);
  };
}

} // namespace

const std::vector<SettingSpec>&
SettingSpecs()
{
  static const std::vector<SettingSpec> sSpecs{
    { "host",
      "name",
      "host-1",
      "a name",
      "Name of this host in logs.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseName(aText, aSettings.name.value);
      } },
    { "host",
      "data_centre",
      "local",
      "a name",
      "Data centre of this host.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseName(aText, aSettings.dataCentre.value);
      } },
    { "host",
      "data_centres",
      "",
      "comma-separated names, or empty",
      "All data centres of the deployment. Evacuations of other data centres "
      "are "
      "refused. Empty: any name is accepted.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseDataCentres(aText, aSettings.dataCentres);
      } },
    { "host",
      "role",
      "entry",
      "entry or control",
      "An entry host serves callers. A control host stores the replicated log, "
      "votes in it and serves upstreams and operators.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseRole(aText, aSettings);
      } },
    { "host",
      "data_folder",
      "",
      "a path, or empty for an entry host",
      "Folder of the replicated log; required for a control host.",
      [](Settings& aSettings, const std::string& aText) {
        aSettings.dataFolder = aText;
        return true;
      } },
    { "host",
      "first_start",
      "false",
      "true or false",
      "Whether the whole deployment starts for the first time, with empty "
      "disks. Only then do the control hosts form a new group.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseBool(aText, aSettings.firstStart);
      } },
    { "host",
      "dialect",
      "platform",
      "name of a dialect",
      "Message format of the calls from upstreams and operators.",
      [](Settings& aSettings, const std::string& aText) {
        aSettings.dialect = aText;
        return !aText.empty();
      } },
    { "host",
      "link_mbits",
      "0",
      "a number of at least 0, or empty for the default",
      "Bandwidth of the host's network link in Mbit/s. While the link is busy, "
      "responses are queued and sent in the order in which they are due, and "
      "requests are refused if the link can't carry their responses in time. "
      "0: "
      "unknown; responses are not queued, and no request is refused for the "
      "link. Control hosts must state it if they are to allocate slots; see "
      "allocators in [slots].",
      [](Settings& aSettings, const std::string& aText) {
        return EmptyOr(aText,
                       [&] { return ParseNumber(aText, aSettings.linkMbits); });
      } },
    { "host",
      "memory_mb",
      "0",
      "a number of at least 0, or empty for the default",
      "Memory that the process may use, in MB. Bodies of requests and "
      "responses "
      "get what the process's state does not need. 0: the machine's memory, at "
      "most 256 MB.",
      [](Settings& aSettings, const std::string& aText) {
        return EmptyOr(aText,
                       [&] { return ParseNumber(aText, aSettings.memoryMb); });
      } },
    { "host",
      "descriptors",
      "4096",
      "a whole number of at least 0, or empty for the default",
      "Maximum number of file descriptors of the process. Four fifths of them "
      "are for connections of upstreams and operators.",
      [](Settings& aSettings, const std::string& aText) {
        return EmptyOr(
          aText, [&] { return ParseCount(aText, aSettings.descriptors); });
      } },
    { "host",
      "log_level",
      "info",
      "debug, info, warning or error",
      "Minimum severity of log lines on standard output.",
      [](Settings& aSettings, const std::string& aText) {
        aSettings.logLevel = aText;
        return std::set<std::string>{ "debug", "info", "warning", "error" }
          .contains(aText);
      } },
    { "listen",
      "callers",
      "",
      "an address IP:PORT, or empty",
      "Address for requests of callers; required for an entry host.",
      AssignOptionalEndpoint(&Settings::callers) },
    { "listen",
      "readiness",
      "",
      "an address IP:PORT, or empty",
      "Address for readiness checks of a load balancer.",
      AssignOptionalEndpoint(&Settings::readiness) },
    { "listen",
      "calls",
      "",
      "an address IP:PORT, or empty",
      "Address for calls of upstreams and operators; required for a control "
      "host.",
      AssignOptionalEndpoint(&Settings::calls) },
    { "listen",
      "metrics",
      "",
      "an address IP:PORT, or empty",
      "Address for scrapes of counters and latency histograms, at any path.",
      AssignOptionalEndpoint(&Settings::metrics) },
    { "listen",
      "peers",
      "127.0.0.1:7003",
      "an address IP:PORT",
      "Address for connections from other hosts. All hosts use the same port. "
      "Connections between hosts are neither encrypted nor authenticated.",
      [](Settings& aSettings, const std::string& aText) {
        const Result<Endpoint> endpoint = ParseEndpoint(aText);
        aSettings.peers = endpoint.value_or(Endpoint{});
        return endpoint.has_value();
      } },
    { "listen",
      "advertised",
      "",
      "an address IP:PORT, or empty",
      "Address at which other hosts reach this host, if it differs from "
      "`peers`.",
      AssignOptionalEndpoint(&Settings::advertised) },
    { "control",
      "seeds",
      "",
      "comma-separated addresses IP:PORT",
      "Control hosts from which this host learns about the others. On the "
      "first "
      "start they form the group, so all hosts must have the same list then.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseSeeds(aText, aSettings.seeds);
      } },
    { "control",
      "tolerated",
      "2",
      "a number from 0 to 4",
      "Number of control hosts that may fail at the same time. The group has "
      "twice as many voters, plus one.",
      [](Settings& aSettings, const std::string& aText) {
        const char* const last = aText.data() + aText.size();
        const auto [end, error] =
          std::from_chars(aText.data(), last, aSettings.tolerated);
        return error == std::errc{} && end == last &&
               aSettings.tolerated <= kMaxTolerated;
      } },
    { "leases",
      "heartbeat_interval",
      "1s",
      "a duration in ms or s",
      "Interval between heartbeats of an upstream.",
      AssignDuration(&Settings::heartbeatInterval) },
    { "leases",
      "longest_hold",
      "10s",
      "a duration in ms or s",
      "Longest lease on keys that upstreams accept.",
      AssignDuration(&Settings::longestHold) },
    { "leases",
      "hold",
      "0s",
      "a duration in ms or s",
      "Lease duration: the time for which an answered heartbeat renews an "
      "upstream's keys. A longer lease survives longer outages of the control "
      "hosts; a shorter one frees the keys of a crashed upstream sooner. 0s: "
      "4.5 "
      "s, or two and a half heartbeat intervals if that is longer, but at most "
      "longest_hold.",
      AssignDuration(&Settings::hold) },
    { "requests",
      "retry_ratio",
      "0.2",
      "a number from 0 to 1",
      "Retries per request that all hosts together may send.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseNumber(aText, aSettings.retryRatio) &&
               aSettings.retryRatio <= 1;
      } },
    { "requests",
      "retry_slack",
      "10",
      "a number of at least 0",
      "Burst of retries beyond retry_ratio that all hosts together may send.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseNumber(aText, aSettings.retrySlack);
      } },
    { "requests",
      "drain_timeout",
      "2s",
      "a duration in ms or s",
      "Time within which a draining upstream must stop receiving requests.",
      AssignDuration(&Settings::drainTimeout) },
    { "requests",
      "evacuation_timeout",
      "5s",
      "a duration in ms or s, or empty for the default",
      "Time within which the upstreams of an evacuated data centre must stop "
      "receiving new requests.",
      [](Settings& aSettings, const std::string& aText) {
        return EmptyOr(aText, [&] {
          return ParseDuration(aText, aSettings.evacuationTimeout);
        });
      } },
    { "requests",
      "cold_factor",
      "1",
      "a number of at least 0, or empty for the default",
      "Multiple of its service's warm-up rate that a cold upstream may receive "
      "in one second.",
      [](Settings& aSettings, const std::string& aText) {
        return EmptyOr(
          aText, [&] { return ParseNumber(aText, aSettings.coldFactor); });
      } },
    { "requests",
      "cold_slack",
      "0",
      "a number of at least 0, or empty for the default",
      "Requests beyond cold_factor that a cold upstream may receive in one "
      "second.",
      [](Settings& aSettings, const std::string& aText) {
        return EmptyOr(aText,
                       [&] { return ParseNumber(aText, aSettings.coldSlack); });
      } },
    { "requests",
      "shutdown_grace",
      "6s",
      "a duration in ms or s",
      "Time from SIGTERM until the host is killed.",
      AssignDuration(&Settings::shutdownGrace) },
    { "link",
      "admission",
      "queue",
      "queue or transfer",
      "How an entry host decides whether its link can carry a request. queue: "
      "by the queue of expected responses, with a fixed share of the bandwidth "
      "for everything else. transfer: by the time of transfer in both "
      "directions, including the bytes that a refusal costs.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseChoice<LinkAdmission>(
          aText,
          { "queue", LinkAdmission::Queue },
          { "transfer", LinkAdmission::Transfer },
          aSettings.linkAdmission);
      } },
    { "slots",
      "allocators",
      "entries",
      "entries or capacity",
      "Hosts that allocate the slots of upstreams. entries: all entry hosts "
      "alike. capacity: control hosts, if there are at most 400 entry hosts, "
      "the fastest of them has at least one and a half times the link_mbits of "
      "the slowest, and each control host states at least ten times their "
      "mean; otherwise entry hosts by their link_mbits. "
      "All hosts need the same value.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseChoice<SlotAllocators>(
          aText,
          { "entries", SlotAllocators::Entries },
          { "capacity", SlotAllocators::Capacity },
          aSettings.slotAllocators);
      } },
    { "admission",
      "shared_demand",
      "false",
      "true or false",
      "Whether control hosts tell entry hosts the demand that all of them have "
      "for upstreams.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseBool(aText, aSettings.sharedDemand);
      } },
    { "admission",
      "dispatch",
      "coordinated",
      "coordinated or demand",
      "How an entry host sends requests to upstreams. coordinated: with a slot "
      "from the upstream's allocator. demand: without one while the shared "
      "demand is below capacity; what exceeds the capacity of an owner of keys "
      "is refused at the entry host. Needs shared_demand. demand must "
      "not be used with upstreams that name limits of their request rate: a "
      "limit that an entry host learns from the response to a direct request "
      "does not reach the other entry hosts until they ask an allocator.",
      [](Settings& aSettings, const std::string& aText) {
        return ParseChoice<Dispatch>(aText,
                                     { "coordinated", Dispatch::Coordinated },
                                     { "demand", Dispatch::Demand },
                                     aSettings.dispatch);
      } },
  };
  return sSpecs;
}

} // namespace rattandyke::gateway
