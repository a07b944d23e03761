#include "http/entry_host.h"

namespace rattandyke::http {

namespace {

class AgentEntryHost final : public EntryHost
{
public:
  AgentEntryHost(agent::AgentService& aAgent,
                 net::PeerTransport& aTransport,
                 metrics::Recorder& aMetrics)
    : mAgent(aAgent)
    , mTransport(aTransport)
    , mMetrics(aMetrics)
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

  void Send(const HostName& aTo, wire::Envelope aEnvelope) override
  {
    mTransport.Send(aTo, std::move(aEnvelope));
  }

  metrics::Recorder& Metrics() override { return mMetrics; }

private:
  agent::AgentService& mAgent;
  net::PeerTransport& mTransport;
  metrics::Recorder& mMetrics;
};

} // namespace

std::unique_ptr<EntryHost>
MakeEntryHost(agent::AgentService& aAgent,
              net::PeerTransport& aTransport,
              metrics::Recorder& aMetrics)
{
  return std::make_unique<AgentEntryHost>(aAgent, aTransport, aMetrics);
}

} // namespace rattandyke::http
