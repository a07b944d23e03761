/// What the leader's state and decisions cost.
#pragma once

#include "capacity/fit.h"
#include "capacity/printer.h"

namespace rattandyke::capacity {

struct ControlSlopes
{
  /// By hosts, three upstreams each: seconds of the leader's decisions for one
  /// heartbeat and for one tick, bytes of the reply; the same of a heartbeat
  /// and reply if the reply has to carry the list of hosts.
  Fit heartbeatCpu;
  Fit tickCpu;
  Fit replyBytes;
  Fit listedHeartbeatCpu;
  Fit listedReplyBytes;
  /// By upstreams, 16 slots each: bytes of heap of the replicated state, bytes
  /// of its snapshot, seconds to make and to load it.
  Fit stateBytes;
  Fit snapshotBytes;
  Fit snapshotCpu;
  Fit restoreCpu;
  /// By upstreams lost at once, 16 slots each: bytes of commands in the log,
  /// bytes of the update that each host gets.
  Fit lossCommandBytes;
  Fit lossUpdateBytes;
  /// Virtual time from the report of a lapse until every slot has an owner.
  double lossSeconds = 0;
  /// Seconds of placement's decision after one upstream joined, by upstreams.
  Fit planningCpu;
  /// Heap of the claim register, bytes of a claim's commands, by claims.
  Fit claimBytes;
  Fit claimCommandBytes;
  Fit claimCpu;
};

ControlSlopes MeasureControl(Printer& aPrinter);

} // namespace rattandyke::capacity
