/// A host's side of the control protocol: heartbeats, the routing table under
/// its lease, announced upstreams, and calls to the leader.
#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "agent/announcement.h"
#include "agent/calls.h"
#include "agent/evidence.h"
#include "agent/in_flight_versions.h"
#include "base/clock.h"
#include "net/peer_transport.h"
#include "routing/routing_table.h"
#include "wire/peer.pb.h"

namespace rattandyke::agent {

/// Times of leases and heartbeats; the same on every host of a deployment.
struct LeaseOptions
{
  std::chrono::milliseconds heartbeatInterval{ 100 };
  std::chrono::milliseconds hostLease{ 800 };
  std::chrono::milliseconds upstreamLease{ 800 };
  /// Pause between an upstream's announcements that it is told.
  std::chrono::milliseconds announceInterval{ 150 };
  /// Without a granted reply for this long, the leader is taken for lost.
  std::chrono::milliseconds leaderTimeout{ 250 };
};

/// One control host, as settings name it.
struct ControlHost
{
  HostName name;
  Endpoint peer;
};

/// Joins HostAgent, LeaseKeeper and the calls to the transport and timers. All
/// state lives on one strand of the executor; methods say if they may be called
/// from elsewhere.
class AgentService final : public LeaderCalls
{
public:
  struct Options
  {
    HostName name;
    /// Random per process start; the transport's session.
    uint64_t session = 0;
    DataCentre dataCentre;
    Endpoint peer;
    Endpoint admin;
    Endpoint upstreamPort;
    /// Takes callers' requests.
    bool entry = true;
    /// Identity of the data folder; 0 without one.
    uint64_t logIdentity = 0;
    std::vector<ControlHost> controlHosts;
    LeaseOptions leases;
    /// Told, on the strand, what was left of the table lease whenever it is
    /// renewed; negative if it was over. Empty: nobody is told.
    std::function<void(Duration)> onRenewed;
  };

  /// @param aTransport outlives the service; its receiver passes heartbeat and
  /// call replies to Handle.
  /// @param aSeed of the random order in which control hosts are tried.
  AgentService(const boost::asio::any_io_executor& aExecutor,
               Options aOptions,
               net::PeerTransport& aTransport,
               const Clock& aClock,
               uint64_t aSeed);
  ~AgentService() override;

  /// Makes the control hosts known to the transport and begins heartbeats.
  void Start();

  /// Ends timers; calls that wait get Code::ShuttingDown, announcements a
  /// refusal, on the strand. Thread-safe. The transport and the clock must
  /// outlive the work that the executor still runs.
  void Stop();

  /// Takes a heartbeat_reply or call_reply; others are ignored. Thread-safe.
  void Handle(const wire::Envelope& aEnvelope);

  /// @return the newest table; never null, version 0 before the first.
  /// Thread-safe.
  std::shared_ptr<const routing::RoutingTable> Table() const;

  /// Whether this host may send to upstreams that do not check fences.
  /// To be asked after InFlight().Enter and just before sending. Thread-safe.
  bool TableLeaseValid(Instant aNow) const;

  /// Thread-safe.
  InFlightVersions& InFlight();

  /// Adds to what the next heartbeat tells of the upstream. Thread-safe.
  void ReportEvidence(const Evidence& aEvidence);

  /// Counts one request for hot keys and slot loads. Thread-safe; bounded
  /// memory however many keys there are.
  void CountRequest(std::string_view aService,
                    Slot aSlot,
                    std::string_view aKey);

  /// @param aDone called once, on the agent's strand, when the answer is due.
  /// Thread-safe.
  void Announce(Announcement aAnnouncement,
                std::function<void(AnnounceAnswer)> aDone);

  /// @return entries whose lease the leader believed live at the last
  /// heartbeat, this one included. Thread-safe.
  std::vector<HostName> LiveHosts() const;

  /// @return who is believed to lead; empty if unknown. Thread-safe.
  HostName Leader() const;

  /// Graceful shutdown: tells the leader that this host leaves, and refuses
  /// announcements, so that its upstreams find other hosts. Thread-safe.
  /// @param aDone called once on the strand, when the leader knows or after
  /// one host lease.
  void Leave(std::function<void()> aDone);

  /// See LeaderCalls. Thread-safe.
  void Call(wire::CallRequest aRequest,
            Duration aTimeout,
            Callback aDone) override;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::agent
