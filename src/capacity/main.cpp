/// rattandyke-capacity: measures on small stand-ins how state, messages and
/// processor time grow, and works out what they come to at the size of the
/// users' first letter. docs/CAPACITY.md quotes what it prints.
#include <iostream>

#include "capacity/announce_slopes.h"
#include "capacity/control_slopes.h"
#include "capacity/log_slopes.h"
#include "capacity/printer.h"
#include "capacity/table_slopes.h"
#include "capacity/target_size.h"
#include "capacity/transport_slopes.h"
#include "capacity/wire_slopes.h"

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
  open("segment_header", assumed.segmentHeaderBytes, "bytes");
}

void
Run()
{
  Printer printer(std::cout);
  PrintInputs(printer);
  MeasureWire(printer);
  MeasureTransport(printer);
  MeasureTable(printer);
  MeasureControl(printer);
  MeasureLog(printer);
  MeasureAnnouncements(printer);
}

} // namespace
} // namespace rattandyke::capacity

int
main()
{
  rattandyke::capacity::Run();
  return 0;
}
