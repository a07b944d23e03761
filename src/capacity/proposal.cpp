#include "capacity/model.h"

namespace rattandyke::capacity {
namespace {

/// Bytes a second of a host by purpose.
struct HostNetwork
{
  double heartbeats = 0;
  double loads = 0;
  double changes = 0;
  double changesAtPeak = 0;
  double announcements = 0;

  double Mean() const { return heartbeats + loads + changes + announcements; }
  double Peak() const
  {
    return heartbeats + loads + changesAtPeak + announcements;
  }
};

/// @param aChanges changes of records a second.
double
ChangeBytes(const Slopes& aSlopes, const Arithmetic& aSums, double aChanges)
{
  const WireSlopes& wire = aSlopes.wire;
  const double pushes = std::min(1 / aSums.proposal.pushSeconds,
                                 aChanges + aSums.HotKeyChangesPerSecond());
  const double content =
    aChanges * wire.updatePerRecord.slope +
    aSums.HotKeyChangesPerSecond() * wire.updatePerHotKey.slope +
    aSums.LossesPerSecond() * aSlopes.control.lossUpdateBytes.slope;
  return pushes *
         aSums.MessageBytes(wire.updatePerRecord.base + content / pushes);
}

HostNetwork
NetworkOf(const Slopes& aSlopes, const Arithmetic& aSums)
{
  const WireSlopes& wire = aSlopes.wire;
  const Proposal& proposal = aSums.proposal;
  const double upstreams = aSums.assumed.upstreamsPerEntry;
  HostNetwork network;
  network.heartbeats =
    proposal.heartbeatsPerSecond *
    aSums.ExchangeBytes(wire.heartbeatPerUpstream.base + proposal.digestBytes,
                        wire.replyPerLiveHost.base + proposal.digestBytes);
  const double slots = upstreams * aSums.assumed.slotsPerUpstream;
  constexpr double kHotKeysTold = 16;
  network.loads = upstreams * wire.heartbeatPerEvidence.slope +
                  (slots * wire.heartbeatPerSlotLoad.slope +
                   kHotKeysTold * wire.heartbeatPerHotKey.slope) /
                    proposal.loadSeconds;
  network.changes = ChangeBytes(aSlopes, aSums, aSums.ChangesPerSecond());
  network.changesAtPeak = ChangeBytes(
    aSlopes, aSums, aSums.ChangesPerSecond() * aSums.assumed.peakOverMean);
  network.announcements =
    upstreams * aSums.HttpExchangeBytes(aSlopes.announce.shortExchangeBytes) /
    proposal.announceSeconds;
  return network;
}

void
PrintHost(const Slopes& aSlopes, const Arithmetic& aSums, Printer& aPrinter)
{
  const HostNetwork network = NetworkOf(aSlopes, aSums);
  const auto value = [&](const char* aName, double aValue, const char* aHow) {
    aPrinter.Value(aName, aValue, "bytes/s", aHow);
  };
  value("paper.host.heartbeats",
        network.heartbeats,
        "3/s with digests of reports and hosts, reply on the same connection");
  value("paper.host.loads",
        network.loads,
        "own upstreams each second; their slots and 16 keys each 10 s");
  value("paper.host.changes",
        network.changes,
        "records, hot keys, losses, pushed at most once a second");
  value("paper.host.changes_at_peak",
        network.changesAtPeak,
        "ten times the records");
  value("paper.host.announcements",
        network.announcements,
        "3 upstreams, short renewals each 0.6 s");
  const double limit = aSums.limits.controlBytesPerSecond;
  aPrinter.Against(
    "paper.host.network", network.Mean(), "bytes/s", limit, "sum of these");
  aPrinter.Against("paper.host.network_at_peak",
                   network.Peak(),
                   "bytes/s",
                   limit,
                   "the same at the peak of changes");
  aPrinter.Value("paper.relay.children",
                 limit /
                   (network.heartbeats + network.loads + network.changesAtPeak),
                 "hosts",
                 "what a relay on an ordinary node could serve with all of its "
                 "5,000 bytes/s");
  constexpr double kOneEnd = 0.5;
  const double upstreams = aSums.assumed.upstreamsPerEntry;
  const double messages =
    2 * aSums.proposal.heartbeatsPerSecond + 1 / aSums.proposal.pushSeconds;
  aPrinter.Against(
    "paper.host.cpu",
    messages * kOneEnd * aSlopes.transport.cpuPerMessage.slope +
      upstreams * kOneEnd * aSlopes.announce.exchangeCpu.slope /
        aSums.proposal.announceSeconds +
      aSlopes.table.applyPerSlot.At(aSums.assumed.slotsPerUpstream) /
        aSums.proposal.pushSeconds,
    "cores",
    aSums.limits.controlCores,
    "messages, announcements, one change applied a second");
  aPrinter.Value("paper.upstream.announcements",
                 network.announcements / upstreams,
                 "bytes/s",
                 "what one upstream spends on us");
}

void
PrintRegionalLeader(const Slopes& aSlopes,
                    const Arithmetic& aSums,
                    Printer& aPrinter)
{
  const double hosts = aSums.size.nodes / aSums.size.regions;
  const double heartbeats = hosts * aSums.proposal.heartbeatsPerSecond;
  const HostNetwork network = NetworkOf(aSlopes, aSums);
  aPrinter.Value("paper.region.hosts", hosts, "count", "18,000 / 8");
  aPrinter.Against(
    "paper.region.leader_cpu",
    heartbeats * (aSlopes.control.heartbeatCpu.base +
                  aSlopes.wire.codingPerUpstream.base +
                  aSlopes.transport.busyCpuPerMessage.slope) +
      hosts / aSums.proposal.pushSeconds *
        aSlopes.transport.busyCpuPerMessage.slope / 2,
    "cores",
    1,
    "heartbeats at a cost that no longer grows with hosts, and one push a "
    "second; a host set aside");
  aPrinter.Value("paper.region.leader_network",
                 hosts *
                   (network.heartbeats + network.loads + network.changesAtPeak),
                 "bytes/s",
                 "2,250 hosts at the peak of changes");
  aPrinter.Against("paper.region.state",
                   aSlopes.control.stateBytes.At(hosts),
                   "bytes",
                   aSums.limits.controlBytes,
                   "2,250 upstreams");
  aPrinter.Value("paper.region.group_at_rest",
                 aSlopes.log.idleBytes.At(3) / 3,
                 "bytes/s",
                 "a member of a group of three");
  aPrinter.Value("paper.global.group_at_rest",
                 aSlopes.log.idleBytes.At(5) / 5,
                 "bytes/s",
                 "a member of the group of five that holds the records");
  aPrinter.Against("paper.control_hosts",
                   2 * aSums.size.regions + aSums.proposal.spareHosts,
                   "hosts",
                   aSums.limits.controlHosts,
                   "two a region, and four spares");
}

void
PrintTimes(const Slopes& aSlopes, const Arithmetic& aSums, Printer& aPrinter)
{
  const Proposal& proposal = aSums.proposal;
  const double lost = aSums.ServedAgainSeconds();
  aPrinter.Against("paper.served_again",
                   lost,
                   "s",
                   aSums.limits.servedAgainSeconds,
                   "home and upstream lost at once: both leases, then as "
                   "measured in virtual time");
  aPrinter.Against("paper.served_again_with_leader",
                   lost + Arithmetic::ElectionSeconds(),
                   "s",
                   aSums.limits.servedAgainSeconds,
                   "the region's leader lost too: one election more");
  const double hosts = aSums.size.nodes / aSums.size.regions;
  aPrinter.Against("paper.everywhere",
                   2 * proposal.regionRoundTripSeconds + proposal.pushSeconds +
                     hosts * aSlopes.transport.busyCpuPerMessage.slope / 2 +
                     1 / proposal.heartbeatsPerSecond,
                   "s",
                   aSums.limits.everywhereSeconds,
                   "commit between regions, wait for a push, push, and one "
                   "heartbeat if the push was lost");
}

void
PrintClaims(const Slopes& aSlopes, const Arithmetic& aSums, Printer& aPrinter)
{
  const double claims =
    aSums.size.requestsPerSecond * aSums.assumed.claimShare / aSums.size.nodes;
  aPrinter.Value(
    "paper.home.claims", claims, "1/s", "5.8 M/s over 18,000 homes");
  aPrinter.Value("paper.home.claims_cpu",
                 2 * claims * aSlopes.control.claimCpu.slope,
                 "cores",
                 "register at the home and at one replica");
  aPrinter.Against("paper.home.claims_memory",
                   claims * aSums.assumed.claimSeconds *
                     aSlopes.control.claimBytes.slope,
                   "bytes",
                   aSums.limits.controlBytes,
                   "kept 600 s at today's bytes a claim");
  aPrinter.Value("paper.home.claim_budget",
                 aSums.limits.controlBytes /
                   (claims * aSums.assumed.claimSeconds),
                 "bytes/claim",
                 "what would fit the limit at 600 s");
  aPrinter.Value("paper.home.claim_retention",
                 aSums.limits.controlBytes /
                   (claims * aSlopes.control.claimBytes.slope),
                 "s",
                 "what would fit the limit at today's bytes a claim");
}

} // namespace

void
PrintProposal(const Slopes& aSlopes, Printer& aPrinter)
{
  const Arithmetic sums(aSlopes);
  aPrinter.Heading("regional groups, on paper: a host and its upstreams");
  PrintHost(aSlopes, sums, aPrinter);
  aPrinter.Heading("regional groups, on paper: control hosts");
  PrintRegionalLeader(aSlopes, sums, aPrinter);
  PrintTimes(aSlopes, sums, aPrinter);
  aPrinter.Heading("claims at the homes, on paper");
  PrintClaims(aSlopes, sums, aPrinter);
}

} // namespace rattandyke::capacity
