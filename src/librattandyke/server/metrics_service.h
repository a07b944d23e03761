/// A host's metrics: the recorder that its parts fill, and the burn that is
/// kept of it.
#pragma once

#include <filesystem>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/json.hpp>

#include "agent/agent_service.h"
#include "base/clock.h"
#include "metrics/recorder.h"

namespace rattandyke::server {

/// Looks at the recorder every few seconds and keeps counts by minute for three
/// days. Thread-safe.
class MetricsService
{
public:
  /// @param aFolder data folder where the counts survive restarts; empty: they
  /// do not, as on a host without a disk.
  /// @param aRecorder, aAgent, aClock outlive the service and the work of the
  /// executor.
  MetricsService(const boost::asio::any_io_executor& aExecutor,
                 HostName aHost,
                 std::filesystem::path aFolder,
                 metrics::Recorder& aRecorder,
                 const agent::AgentService& aAgent,
                 const Clock& aClock);
  ~MetricsService();

  /// Takes up what an earlier life kept. A file that cannot be read costs the
  /// report its past, not the host its start: it is logged.
  void Start();

  /// Saves what is not saved yet.
  void Stop();

  /// @return the Prometheus page.
  std::string Page() const;

  /// @return the body of GET /v1/burn.
  boost::json::object Burn() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::server
