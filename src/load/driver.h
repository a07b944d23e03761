/// Sends the planned requests at their time, whatever the answers do.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "load/load_config.h"
#include "load/results.h"

namespace rattandyke::load {

/// Who chooses the upstream of a request.
enum class Routing
{
  /// The entry hosts; requests go to them in turn.
  Entries,
  /// Baseline without rattandyke: the targets are the upstreams themselves,
  /// and a key's hash chooses one for good. No limits.
  StaticHash,
  /// Baseline without rattandyke: the upstreams in turn, and any request that
  /// fails is sent again to the next, writes as well.
  RoundRobin
};

/// @return the routing of that name, or Code::InvalidSettings.
Result<Routing> ParseRouting(std::string_view aName);

/// Where requests may be sent.
struct Target
{
  Endpoint address;
  /// Only requests of this service; empty: of any.
  ServiceName service;
};

/// @param aText "IP:PORT" or "SERVICE=IP:PORT", the IP a loopback address:
/// load is for a machine's own test bench, never for somebody's network.
Result<Target> ParseTarget(const std::string& aText);

/// Open loop: a request starts when its customer intended, also while earlier
/// ones are under way. Runs on one thread.
class Driver
{
public:
  /// All references outlive the driver.
  /// @param aTargets entry hosts, or upstreams, as the routing says.
  /// @param aRunName begins the requests' ids.
  Driver(asio::io_context& aContext,
         const LoadConfig& aConfig,
         Routing aRouting,
         const std::vector<Target>& aTargets,
         std::string aRunName,
         Instant aStart,
         Results& aResults);
  ~Driver();

  /// Starts all customers. The context's run() returns when all is done.
  void Start();

  /// @return requests that were started and are not done.
  size_t UnderWay() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::load
