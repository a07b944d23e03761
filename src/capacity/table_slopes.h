/// What the routing table costs a host, and what a request costs beside its
/// transport.
#pragma once

#include "capacity/fit.h"
#include "capacity/printer.h"

namespace rattandyke::capacity {

struct TableSlopes
{
  /// Heap of a table: by upstreams without slots, by slots, by hot keys.
  Fit bytesPerUpstream;
  Fit bytesPerSlot;
  Fit bytesPerHotKey;
  /// Seconds to build a whole table, by slots.
  Fit buildCpu;
  /// Seconds to apply a change of that many slots to a table of 16,000 slots.
  Fit applyPerSlot;
  /// Seconds to apply a change of one slot, by the table's slots.
  Fit applyOne;
  /// Seconds of a lookup, by the table's slots; allocations of all lookups.
  Fit lookupCpu;
  double lookupAllocations = 0;
  /// Seconds of admission of one request, by customers in the queue.
  Fit admissionCpu;
  /// Seconds to count one request for hot keys and loads, by distinct keys.
  Fit countingCpu;
  /// Seconds to record one request in the metrics, by customers.
  Fit recordingCpu;
};

TableSlopes MeasureTable(Printer& aPrinter);

} // namespace rattandyke::capacity
