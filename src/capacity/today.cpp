#include <algorithm>

#include "agent/agent_service.h"
#include "capacity/model.h"
#include "control/claim_table.h"

namespace rattandyke::capacity {
namespace {

constexpr double kHeartbeatsPerSecond = 10;
constexpr double kMostSlotLoads = 512;
constexpr double kHotKeysTold = 16;
/// The pause that upstreams are told is 150 ms.
constexpr double kAnnouncementsPerSecond = 1 / 0.15;
constexpr double kControlHosts = 5;

/// Segments of ZeroMQ's own heartbeats: an answer carries the acknowledgement
/// of the question.
double
IdleConnectionBytes(const Slopes& aSlopes, const Arithmetic& aSums)
{
  constexpr double kSegmentsWithAcknowledgement = 1.5;
  return aSlopes.transport.idleBytesPerConnection.slope +
         aSlopes.transport.idleSegmentsPerConnection.slope *
           kSegmentsWithAcknowledgement * aSums.assumed.segmentHeaderBytes;
}

/// A lost or restarted host leaves the list, and it or its successor comes
/// back.
double
HostListChangesPerSecond(const Arithmetic& aSums)
{
  constexpr double kChangesEach = 2;
  return kChangesEach * aSums.LossesPerSecond();
}

/// Bytes on the network of a reply without the list of hosts. It is taken from
/// the wire: the leader's stand-ins count from low indices, whose bytes grow.
double
ReplyBytes(const Slopes& aSlopes, const Arithmetic& aSums)
{
  return aSums.MessageBytes(aSlopes.wire.replyPerLiveHost.base);
}

/// Bytes that the list of hosts adds to the one reply that carries it.
double
HostListBytes(const Slopes& aSlopes, const Arithmetic& aSums)
{
  const double list = aSlopes.control.listedReplyBytes.slope * aSums.size.nodes;
  return aSums.MessageBytes(aSlopes.wire.replyPerLiveHost.base + list) -
         ReplyBytes(aSlopes, aSums);
}

/// Bytes a second that a host sends to the leader.
struct Reported
{
  double heartbeats = 0;
  double evidence = 0;
  double slotLoads = 0;
  double hotKeys = 0;

  double Sum() const { return heartbeats + evidence + slotLoads + hotKeys; }
};

Reported
ReportedBy(const Slopes& aSlopes, const Arithmetic& aSums)
{
  const WireSlopes& wire = aSlopes.wire;
  const double beat =
    aSums.size.requestsPerSecond / aSums.size.nodes / kHeartbeatsPerSecond;
  Reported reported;
  reported.heartbeats = kHeartbeatsPerSecond *
                        aSums.MessageBytes(wire.heartbeatPerUpstream.At(
                                             aSums.assumed.upstreamsPerEntry) +
                                           wire.hostsDigestBytes);
  reported.evidence = kHeartbeatsPerSecond * wire.heartbeatPerEvidence.slope *
                      std::min(beat, aSums.size.nodes);
  reported.slotLoads = kHeartbeatsPerSecond * wire.heartbeatPerSlotLoad.slope *
                       std::min(beat, kMostSlotLoads);
  reported.hotKeys = wire.heartbeatPerHotKey.slope * kHotKeysTold;
  return reported;
}

void
PrintHostNetwork(const Slopes& aSlopes,
                 const Arithmetic& aSums,
                 Printer& aPrinter)
{
  const auto against = [&](const char* aName, double aValue, const char* aHow) {
    aPrinter.Against(
      aName, aValue, "bytes/s", aSums.limits.controlBytesPerSecond, aHow);
  };
  const double upstreams = aSums.assumed.upstreamsPerEntry;
  const Reported reported = ReportedBy(aSlopes, aSums);
  against("today.host.heartbeats",
          reported.heartbeats,
          "10/s, 3 upstreams reported in each, digest of the list of hosts");
  against("today.host.evidence",
          reported.evidence,
          "a line for each upstream used since the last heartbeat");
  against("today.host.slot_loads",
          reported.slotLoads,
          "a line for each slot used, at most 512 a heartbeat");
  against("today.host.hot_keys", reported.hotKeys, "16 keys a second");
  against("today.host.replies",
          kHeartbeatsPerSecond * ReplyBytes(aSlopes, aSums),
          "10/s, without the list of hosts");
  against("today.host.host_list",
          HostListChangesPerSecond(aSums) * HostListBytes(aSlopes, aSums),
          "names and ports of all live hosts after each of 2,008 changes a "
          "day: 1,004 hosts leave and come back");
  aPrinter.Value("today.host.host_list_at_start",
                 HostListBytes(aSlopes, aSums),
                 "bytes",
                 "the list once, to a host that starts");
  against("today.host.idle_connections",
          (kControlHosts + 1) * IdleConnectionBytes(aSlopes, aSums),
          "5 control hosts and one back, ZeroMQ's heartbeats only");
  against("today.host.announcements",
          upstreams * kAnnouncementsPerSecond *
            aSums.HttpExchangeBytes(
              aSlopes.announce.bytesPerHost.At(aSums.size.nodes)),
          "3 upstreams, 6.7/s each, all live hosts' ports in every answer");
}

void
PrintHostRest(const Slopes& aSlopes, const Arithmetic& aSums, Printer& aPrinter)
{
  const TableSlopes& table = aSlopes.table;
  const double slots = aSums.size.nodes * aSums.assumed.slotsPerUpstream;
  aPrinter.Against("today.host.table",
                   table.bytesPerUpstream.At(aSums.size.nodes) +
                     table.bytesPerSlot.slope * slots +
                     table.bytesPerHotKey.slope * aSums.size.hotKeys,
                   "bytes",
                   aSums.limits.controlBytes,
                   "18,000 upstreams, 288,000 slots, 500 hot keys");
  aPrinter.Against("today.host.whole_table_message",
                   aSums.WholeTableBytes(),
                   "bytes",
                   16.0 * 1024 * 1024,
                   "sent to a host that starts; limit: the largest message");
  aPrinter.Value("today.host.table_build",
                 table.buildCpu.At(slots),
                 "s",
                 "processor, once a start");
  const double upstreams = aSums.assumed.upstreamsPerEntry;
  const double messages = 2 * kHeartbeatsPerSecond;
  constexpr double kOneEnd = 0.5;
  aPrinter.Against("today.host.cpu",
                   messages * kOneEnd * aSlopes.transport.cpuPerMessage.slope +
                     kHeartbeatsPerSecond *
                       aSlopes.wire.codingPerUpstream.At(upstreams) +
                     upstreams * kAnnouncementsPerSecond * kOneEnd *
                       aSlopes.announce.exchangeCpu.slope,
                   "cores",
                   aSums.limits.controlCores,
                   "heartbeats and announcements, without the lists of hosts");
  aPrinter.Value("today.host.table_change",
                 table.applyOne.At(slots),
                 "s",
                 "processor, one slot of 288,000 changes");
  const double decisions = table.lookupCpu.At(slots) +
                           table.admissionCpu.At(4) +
                           table.countingCpu.At(100) + table.recordingCpu.At(4);
  aPrinter.Value("today.request.decisions",
                 decisions,
                 "s",
                 "lookup, admission, load counting and metrics of a request");
  aPrinter.Value("today.request.cores",
                 decisions * aSums.size.requestsPerSecond / aSums.size.nodes,
                 "cores",
                 "the same for 3,222 requests/s");
}

void
PrintUpstream(const Slopes& aSlopes, const Arithmetic& aSums, Printer& aPrinter)
{
  const AnnounceSlopes& announce = aSlopes.announce;
  aPrinter.Value("today.upstream.announcements",
                 kAnnouncementsPerSecond *
                   aSums.HttpExchangeBytes(announce.bytesPerHost.At(0)),
                 "bytes/s",
                 "6.7/s, without the list of hosts");
  aPrinter.Value("today.upstream.host_list",
                 kAnnouncementsPerSecond * announce.bytesPerHost.slope *
                   aSums.size.nodes,
                 "bytes/s",
                 "the list of hosts in each answer");
  constexpr double kConnections = 110;
  aPrinter.Against("today.upstream.connections",
                   aSums.size.nodes,
                   "connections",
                   kConnections,
                   "one from each entry; limit: what a target accepts");
}

void
PrintLeader(const Slopes& aSlopes, const Arithmetic& aSums, Printer& aPrinter)
{
  const double heartbeats = kHeartbeatsPerSecond * aSums.size.nodes;
  const ControlSlopes& control = aSlopes.control;
  const double decision = control.heartbeatCpu.At(aSums.size.nodes);
  const auto cores = [&](const char* aName, double aValue, const char* aHow) {
    aPrinter.Against(aName, aValue, "cores", 1, aHow);
  };
  cores("today.leader.decisions",
        heartbeats * decision,
        "180,000 heartbeats/s whose hosts hold the list; one strand");
  cores("today.leader.decisions_base",
        heartbeats * control.heartbeatCpu.base,
        "the part that does not grow with the hosts");
  cores("today.leader.host_list",
        HostListChangesPerSecond(aSums) * aSums.size.nodes *
          (control.listedHeartbeatCpu.At(aSums.size.nodes) - decision),
        "copying the list into 18,000 replies after each change of it");
  cores("today.leader.transport",
        heartbeats * aSlopes.transport.busyCpuPerMessage.slope,
        "two messages, one end of each");
  cores("today.leader.coding",
        heartbeats *
          aSlopes.wire.codingPerUpstream.At(aSums.assumed.upstreamsPerEntry),
        "heartbeats of 3 upstreams");
  aPrinter.Value("today.leader.received",
                 aSums.size.nodes * ReportedBy(aSlopes, aSums).Sum(),
                 "bytes/s",
                 "heartbeats with evidence and loads of 18,000 hosts");
  aPrinter.Value("today.leader.replies",
                 heartbeats * ReplyBytes(aSlopes, aSums) +
                   HostListChangesPerSecond(aSums) * aSums.size.nodes *
                     HostListBytes(aSlopes, aSums),
                 "bytes/s",
                 "180,000/s, and the list of hosts after each change of it");
  const std::chrono::duration<double> lease = agent::LeaseOptions{}.hostLease;
  aPrinter.Against("today.leader.host_list_sent",
                   aSums.size.nodes * HostListBytes(aSlopes, aSums) /
                     aSums.assumed.linkBytesPerSecond,
                   "s",
                   lease.count(),
                   "one change of the list to 18,000 hosts over 10 Gbit/s; "
                   "limit: a host's lease, renewed by the same replies");
  aPrinter.Against("today.leader.push",
                   aSums.size.nodes * decision,
                   "s",
                   aSums.limits.everywhereSeconds,
                   "processor for one change to 18,000 hosts");
  aPrinter.Against("today.voter.state",
                   control.stateBytes.At(aSums.size.nodes),
                   "bytes",
                   aSums.limits.controlBytes,
                   "replicated state of 18,000 upstreams");
  aPrinter.Value("today.voter.snapshot",
                 control.snapshotBytes.At(aSums.size.nodes),
                 "bytes",
                 "18,000 upstreams");
  aPrinter.Value("today.voter.snapshot_cpu",
                 control.snapshotCpu.At(aSums.size.nodes),
                 "s",
                 "on the leader's strand, each 8,192 entries");
  aPrinter.Value("today.voter.restore",
                 control.restoreCpu.At(aSums.size.nodes),
                 "s",
                 "after a restart");
  aPrinter.Value("today.leader.tick",
                 control.tickCpu.At(aSums.size.nodes),
                 "s",
                 "each 10 ms");
  aPrinter.Value("today.leader.planning",
                 control.planningCpu.At(aSums.size.nodes),
                 "s",
                 "one plan, at most each 288 ms");
}

/// Leases of DESIGN.md, with the drift bound of 1%.
void
PrintTimes(const Slopes& aSlopes, const Arithmetic& aSums, Printer& aPrinter)
{
  const agent::LeaseOptions leases;
  constexpr double kDrift = 1.01;
  const std::chrono::duration<double> both =
    leases.hostLease + leases.upstreamLease;
  const double lost = both.count() * kDrift + aSlopes.control.lossSeconds;
  const double limit = aSums.limits.servedAgainSeconds;
  aPrinter.Against("today.served_again",
                   lost,
                   "s",
                   limit,
                   "home and upstream lost at once: both leases, then as "
                   "measured in virtual time");
  aPrinter.Against("today.served_again_with_leader",
                   lost + Arithmetic::ElectionSeconds(),
                   "s",
                   limit,
                   "the leader lost too: one election more");
}

void
PrintLog(const Slopes& aSlopes, const Arithmetic& aSums, Printer& aPrinter)
{
  const double changes = aSums.ChangesPerSecond() * aSums.assumed.peakOverMean +
                         aSums.HotKeyChangesPerSecond() +
                         aSums.LossesPerSecond();
  aPrinter.Value("today.log.changes",
                 changes,
                 "1/s",
                 "peak of records, hot keys both ways, losses");
  aPrinter.Against("today.log.cpu",
                   changes * aSlopes.log.cpu.slope,
                   "cores",
                   aSums.limits.controlCores,
                   "all three members together");
  const double claims = aSums.size.requestsPerSecond * aSums.assumed.claimShare;
  const double perClaim =
    2 * aSlopes.log.batchedCpu.slope / 3 + aSlopes.control.claimCpu.slope;
  aPrinter.Against("today.log.claims_cpu",
                   claims * perClaim,
                   "cores",
                   1,
                   "5.8 M claims/s, two commands each, the leader's part");
  aPrinter.Value("today.log.claims_network",
                 claims * 2 * aSlopes.log.batchedSentBytes.slope,
                 "bytes/s",
                 "between three members");
  aPrinter.Against("today.log.claims_kept",
                   claims * aSums.assumed.claimSeconds,
                   "claims",
                   static_cast<double>(control::ClaimTable::kMostClaims),
                   "kept 600 s; limit: the register's bound");
  aPrinter.Value("today.log.claims_memory",
                 claims * aSums.assumed.claimSeconds *
                   aSlopes.control.claimBytes.slope,
                 "bytes",
                 "on every voter, were there no bound");
}

} // namespace

void
PrintToday(const Slopes& aSlopes, Printer& aPrinter)
{
  const Arithmetic sums(aSlopes);
  aPrinter.Heading("today's design at the letter's size: a host");
  PrintHostNetwork(aSlopes, sums, aPrinter);
  PrintHostRest(aSlopes, sums, aPrinter);
  aPrinter.Heading("today: what an upstream spends on us");
  PrintUpstream(aSlopes, sums, aPrinter);
  aPrinter.Heading("today: the leader and the voters");
  PrintLeader(aSlopes, sums, aPrinter);
  PrintTimes(aSlopes, sums, aPrinter);
  PrintLog(aSlopes, sums, aPrinter);
}

} // namespace rattandyke::capacity
