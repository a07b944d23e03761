/// Health plug-ins of all services.
#pragma once

#include <memory>

#include <rattandyke/health.h>

#include "base/clock.h"
#include "routing/routing_table.h"

namespace rattandyke::http {

/// Runs one health plug-in for each service and keeps its list of upstreams up
/// to date. Thread-safe; locks in docs/LOCKS.md.
class HealthDesk
{
public:
  explicit HealthDesk(const Clock& aClock);
  ~HealthDesk();

  /// @param aTable  newest table; its upstreams become the plug-in's members.
  /// @param aRecord of the service.
  health::Verdict Judge(const routing::RoutingTable& aTable,
                        const records::ServiceRecord& aRecord,
                        const health::UpstreamId& aUpstream);

  /// For a service that was never judged it is dropped.
  void Tell(const ServiceName& aService, const health::Evidence& aEvidence);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::http
