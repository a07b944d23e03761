/// What a committed change costs the control group.
#pragma once

#include "capacity/fit.h"
#include "capacity/printer.h"

namespace rattandyke::capacity {

struct LogSlopes
{
  /// Of a group of three on this machine's disk, by commands of 200 bytes, one
  /// after the other: processor seconds of all three, bytes sent between them,
  /// syncs of the leader's disk.
  Fit cpu;
  Fit sentBytes;
  Fit syncs;
  /// The same with 256 commands under way at once, as claims come.
  Fit batchedCpu;
  Fit batchedSentBytes;
  Fit batchedSyncs;
  /// Bytes sent a second by a group at rest, by members.
  Fit idleBytes;
};

LogSlopes MeasureLog(Printer& aPrinter);

} // namespace rattandyke::capacity
