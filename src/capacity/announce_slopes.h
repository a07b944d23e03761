/// What an upstream's announcements cost it and its home.
#pragma once

#include "capacity/fit.h"
#include "capacity/printer.h"

namespace rattandyke::capacity {

struct AnnounceSlopes
{
  /// Bytes of one announcement and its answer over HTTP, by grants and by other
  /// hosts listed in the answer. The list of hosts is in every answer.
  Fit bytesPerGrant;
  Fit bytesPerHost;
  /// Bytes of a renewal as on paper: no constant fields, no list of hosts.
  double shortExchangeBytes = 0;
  /// Seconds of processor of an exchange over HTTP, both ends together.
  Fit exchangeCpu;
  /// Seconds of the home's decision on one announcement, by upstreams that the
  /// home keeps.
  Fit keeperCpu;
  /// Heap of the home, by upstreams kept.
  Fit keeperBytes;
};

AnnounceSlopes MeasureAnnouncements(Printer& aPrinter);

} // namespace rattandyke::capacity
