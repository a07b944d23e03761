/// rattandyke-capacity: measures on small stand-ins how state, messages and
/// processor time grow, and works out what they come to at the size of the
/// users' first letter. docs/CAPACITY.md quotes what it prints.
#include <exception>
#include <iostream>

#include "capacity/model.h"

namespace rattandyke::capacity {
namespace {

void
PrintInputs(Printer& aPrinter)
{
  const TargetSize size;
  const Assumptions assumed;
  aPrinter.Heading("inputs");
  const auto letter = [&](const char* aName, double aValue, const char* aUnit) {
    aPrinter.Input(aName, aValue, aUnit, "letter");
  };
  const auto open = [&](const char* aName, double aValue, const char* aUnit) {
    aPrinter.Input(aName, aValue, aUnit, "assumed");
  };
  letter("nodes", size.nodes, "count");
  letter("keys", size.keys, "count");
  letter("requests", size.requestsPerSecond, "1/s");
  letter("regions", size.regions, "count");
  letter("data_centres", size.dataCentres, "count");
  letter("changes", size.changesPerDay, "1/day");
  letter("hot_keys", size.hotKeys, "count");
  letter("failures", size.failuresPerDay, "1/day");
  letter("restarts", size.restartsPerDay, "1/day");
  open("peak_over_mean", assumed.peakOverMean, "ratio");
  open("slots_per_upstream", assumed.slotsPerUpstream, "count");
  open("upstreams_per_entry", assumed.upstreamsPerEntry, "count");
  open("hot_key_minutes", assumed.hotKeyMinutes, "min");
  open("claim_share", assumed.claimShare, "ratio");
  open("claim_kept", assumed.claimSeconds, "s");
  open("rack_nodes", assumed.rackNodes, "count");
  open("link", assumed.linkBytesPerSecond, "bytes/s");
  open("parted", assumed.partedSeconds, "s");
  open("segment_header", assumed.segmentHeaderBytes, "bytes");
}

void
PrintProposalInputs(Printer& aPrinter)
{
  const Proposal proposal;
  const auto chosen = [&](const char* aName, double aValue, const char* aUnit) {
    aPrinter.Input(aName, aValue, aUnit, "proposal");
  };
  chosen("heartbeats", proposal.heartbeatsPerSecond, "1/s");
  chosen("host_lease", proposal.hostLeaseSeconds, "s");
  chosen("upstream_lease", proposal.upstreamLeaseSeconds, "s");
  chosen("announcements", proposal.announceSeconds, "s");
  chosen("pushes", proposal.pushSeconds, "s");
  chosen("loads", proposal.loadSeconds, "s");
  chosen("digest", proposal.digestBytes, "bytes");
  chosen("spare_hosts", proposal.spareHosts, "count");
  aPrinter.Input(
    "region_round_trip", proposal.regionRoundTripSeconds, "s", "assumed");
}

void
Run()
{
  Printer printer(std::cout);
  PrintInputs(printer);
  PrintProposalInputs(printer);
  const Slopes slopes{ MeasureWire(printer),  MeasureTransport(printer),
                       MeasureTable(printer), MeasureControl(printer),
                       MeasureLog(printer),   MeasureAnnouncements(printer) };
  PrintToday(slopes, printer);
  PrintProposal(slopes, printer);
  PrintFaults(slopes, printer);
}

} // namespace
} // namespace rattandyke::capacity

int
main()
{
  try {
    rattandyke::capacity::Run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "A measurement failed: " << error.what() << '\n';
    return 1;
  }
}
