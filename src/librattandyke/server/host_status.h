/// What a host tells operators of itself.
#pragma once

#include <atomic>

#include "admin/api.h"
#include "agent/agent_service.h"
#include "base/clock.h"
#include "config/settings.h"
#include "control/control_service.h"
#include "http/entry_service.h"
#include "server/metrics_service.h"
#include "server/service_options.h"

namespace rattandyke::server {

/// The parts of a host whose status is told; null for a role it has not.
struct StatusSources
{
  const agent::AgentService* agent = nullptr;
  const control::ControlService* control = nullptr;
  const http::EntryService* entry = nullptr;
  const MetricsService* metrics = nullptr;
};

/// @see admin::HostView. Thread-safe.
class HostStatus final : public admin::HostView
{
public:
  /// @param aSources, aClock outlive this.
  HostStatus(const config::Settings& aSettings,
             Addresses aAddresses,
             StatusSources aSources,
             const Clock& aClock);

  /// Makes the status tell that a graceful shutdown began.
  void SetLeaving() { mLeaving = true; }

  boost::json::object Status() const override;
  std::string Metrics() const override;
  boost::json::object Burn() const override;

private:
  const config::Settings mSettings;
  const Addresses mAddresses;
  const StatusSources mSources;
  const Clock& mClock;
  const WallTime mStarted;
  std::atomic<bool> mLeaving{ false };
};

} // namespace rattandyke::server
