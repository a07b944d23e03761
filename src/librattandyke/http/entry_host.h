/// What the entry role needs of the rest of its host.
#pragma once

#include <memory>

#include "agent/agent_service.h"
#include "metrics/recorder.h"

namespace rattandyke::http {

/// Implemented over agent::AgentService, and by a fake in tests. Thread-safe.
class EntryHost
{
public:
  virtual ~EntryHost() = default;

  virtual std::shared_ptr<const routing::RoutingTable> Table() const = 0;
  virtual bool TableLeaseValid(Instant aNow) const = 0;
  virtual agent::InFlightVersions& InFlight() = 0;
  virtual void ReportEvidence(const agent::Evidence& aEvidence) = 0;
  virtual void CountRequest(std::string_view aService,
                            Slot aSlot,
                            std::string_view aKey) = 0;
  virtual void Call(wire::CallRequest aRequest,
                    Duration aTimeout,
                    agent::LeaderCalls::Callback aDone) = 0;
  /// Sends to another host or to this one, as net::PeerTransport::Send. Called
  /// with a lock held: must not call back on the same thread.
  virtual void Send(const HostName& aTo, wire::Envelope aEnvelope) = 0;
  virtual metrics::Recorder& Metrics() = 0;
};

/// @param aAgent, aTransport, aMetrics outlive the result.
std::unique_ptr<EntryHost> MakeEntryHost(agent::AgentService& aAgent,
                                         net::PeerTransport& aTransport,
                                         metrics::Recorder& aMetrics);

} // namespace rattandyke::http
