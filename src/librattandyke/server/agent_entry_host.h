/// What the entry role needs of its host, from the agent.
#pragma once

#include "agent/agent_service.h"
#include "http/entry_host.h"

namespace rattandyke::server {

/// @see http::EntryHost. Thread-safe.
class AgentEntryHost final : public http::EntryHost
{
public:
  /// @param aAgent outlives this.
  explicit AgentEntryHost(agent::AgentService& aAgent)
    : mAgent(aAgent)
  {
  }

  std::shared_ptr<const routing::RoutingTable> Table() const override
  {
    return mAgent.Table();
  }
  bool TableLeaseValid(Instant aNow) const override
  {
    return mAgent.TableLeaseValid(aNow);
  }
  agent::InFlightVersions& InFlight() override { return mAgent.InFlight(); }
  void ReportEvidence(const agent::Evidence& aEvidence) override
  {
    mAgent.ReportEvidence(aEvidence);
  }
  void CountRequest(std::string_view aService,
                    Slot aSlot,
                    std::string_view aKey) override
  {
    mAgent.CountRequest(aService, aSlot, aKey);
  }
  void Call(wire::CallRequest aRequest,
            Duration aTimeout,
            agent::LeaderCalls::Callback aDone) override
  {
    mAgent.Call(std::move(aRequest), aTimeout, std::move(aDone));
  }

private:
  agent::AgentService& mAgent;
};

} // namespace rattandyke::server
