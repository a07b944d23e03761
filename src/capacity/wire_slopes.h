/// What messages between hosts weigh, and what coding them costs.
#pragma once

#include "capacity/fit.h"
#include "capacity/printer.h"

namespace rattandyke::capacity {

struct WireSlopes
{
  /// Bytes of a heartbeat; the base is an idle entry's heartbeat.
  Fit heartbeatPerUpstream;
  Fit heartbeatPerEvidence;
  Fit heartbeatPerSlotLoad;
  Fit heartbeatPerHotKey;
  /// Bytes that the digest of the list of hosts adds to a heartbeat.
  double hostsDigestBytes = 0;
  /// Bytes of a reply that changes nothing and names the live entries.
  Fit replyPerLiveHost;
  /// Bytes of a table update.
  Fit updatePerUpstream;
  Fit updatePerSlot;
  Fit updatePerHotKey;
  Fit updatePerRecord;
  /// The same slots, coded as on paper: numbers in place of names, one fence
  /// for the batch.
  Fit compactPerSlot;
  /// Seconds of processor to write and read a heartbeat.
  Fit codingPerUpstream;
};

WireSlopes MeasureWire(Printer& aPrinter);

} // namespace rattandyke::capacity
