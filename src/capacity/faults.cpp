#include "capacity/model.h"

namespace rattandyke::capacity {
namespace {

constexpr double kSecondsPerDay = 86400;

struct Loss
{
  const char* name;
  double nodes;
  /// Hosts that have to hear of it in the proposal.
  double told;
};

void
PrintLoss(const Slopes& aSlopes,
          const Arithmetic& aSums,
          const Loss& aLoss,
          Printer& aPrinter)
{
  const std::string name = std::string("loss.") + aLoss.name;
  const ControlSlopes& control = aSlopes.control;
  const double update = control.lossUpdateBytes.At(aLoss.nodes);
  aPrinter.Value(name + ".nodes", aLoss.nodes, "count", "as upstreams");
  aPrinter.Value(name + ".log",
                 control.lossCommandBytes.At(aLoss.nodes),
                 "bytes",
                 "commands");
  aPrinter.Value(name + ".update", update, "bytes", "to each host");
  aPrinter.Against(name + ".today_sent",
                   update * aSums.size.nodes / aSums.assumed.linkBytesPerSecond,
                   "s",
                   aSums.limits.servedAgainSeconds,
                   "one leader to 18,000 hosts over 10 Gbit/s");
  const double compact = aSlopes.wire.compactPerSlot.At(
    aLoss.nodes * aSums.assumed.slotsPerUpstream);
  aPrinter.Value(name + ".compact_update", compact, "bytes", "coded compactly");
  aPrinter.Against(name + ".paper_sent",
                   compact * aLoss.told / aSums.assumed.linkBytesPerSecond,
                   "s",
                   aSums.limits.servedAgainSeconds,
                   "one regional leader to its hosts over 10 Gbit/s");
  aPrinter.Value(name + ".keys",
                 aSums.size.keys / aSums.size.nodes * aLoss.nodes,
                 "keys",
                 "that get another owner");
}

/// Both leases, the plan, and its update to the region's hosts.
void
PrintDataCentreTimes(const Slopes& aSlopes,
                     const Arithmetic& aSums,
                     Printer& aPrinter)
{
  const double hosts = aSums.size.nodes / aSums.size.regions;
  const double lost = aSums.size.nodes / aSums.size.dataCentres;
  const double compact =
    aSlopes.wire.compactPerSlot.At(lost * aSums.assumed.slotsPerUpstream);
  const double served = aSums.ServedAgainSeconds() +
                        aSlopes.control.planningCpu.At(hosts) +
                        compact * hosts / aSums.assumed.linkBytesPerSecond;
  const double limit = aSums.limits.servedAgainSeconds;
  aPrinter.Against("loss.data_centre.paper_served_again",
                   served,
                   "s",
                   limit,
                   "leases, plan, sending to the region");
  aPrinter.Against("loss.data_centre.paper_served_again_with_leader",
                   served + Arithmetic::ElectionSeconds(),
                   "s",
                   limit,
                   "the data centre held the region's leader");
}

void
PrintParted(const Slopes& aSlopes, const Arithmetic& aSums, Printer& aPrinter)
{
  const double share = 1 / aSums.size.regions;
  const double nodes = aSums.size.nodes * share;
  aPrinter.Value("parted.today.refused",
                 aSums.size.requestsPerSecond * share,
                 "1/s",
                 "all that the parted region's callers send");
  aPrinter.Value("parted.today.update",
                 2 * aSlopes.control.lossUpdateBytes.At(nodes),
                 "bytes",
                 "to each host: an eighth of the keys moves, and back again");
  const double changes = aSums.ChangesPerSecond() * aSums.assumed.peakOverMean;
  aPrinter.Value(
    "parted.paper.catch_up",
    changes * aSums.assumed.partedSeconds * aSlopes.wire.updatePerRecord.slope,
    "bytes",
    "to each host of the region: the records of 300 s at the peak");
}

} // namespace

void
PrintFaults(const Slopes& aSlopes, Printer& aPrinter)
{
  const Arithmetic sums(aSlopes);
  const double region = sums.size.nodes / sums.size.regions;
  aPrinter.Heading("losses");
  PrintLoss(aSlopes, sums, { "one", 1, region }, aPrinter);
  PrintLoss(
    aSlopes, sums, { "rack", sums.assumed.rackNodes, region }, aPrinter);
  PrintLoss(aSlopes,
            sums,
            { "data_centre", sums.size.nodes / sums.size.dataCentres, region },
            aPrinter);
  PrintDataCentreTimes(aSlopes, sums, aPrinter);
  const double inRegion = sums.size.dataCentres / sums.size.regions;
  aPrinter.Value("loss.data_centre.load",
                 inRegion / (inRegion - 1),
                 "ratio",
                 "on what is left of the region, if its keys stay in it");
  aPrinter.Value("restarts.today.network",
                 sums.WholeTableBytes() * sums.size.restartsPerDay /
                   kSecondsPerDay,
                 "bytes/s",
                 "whole tables to hosts that start, from one leader");
  aPrinter.Value("restarts.today.data_centre",
                 sums.WholeTableBytes() * sums.size.nodes /
                   sums.size.dataCentres / sums.assumed.linkBytesPerSecond,
                 "s",
                 "whole tables to a data centre that comes back, 10 Gbit/s");
  const double slots = sums.size.nodes * sums.assumed.slotsPerUpstream;
  aPrinter.Value("restarts.paper.whole_table",
                 (aSlopes.wire.updatePerUpstream.At(sums.size.nodes) +
                  aSlopes.wire.compactPerSlot.At(slots)) /
                   sums.size.regions,
                 "bytes",
                 "a region's table, coded compactly");
  PrintParted(aSlopes, sums, aPrinter);
}

} // namespace rattandyke::capacity
