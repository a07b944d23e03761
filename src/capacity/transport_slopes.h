/// What the transport between hosts costs, beside the messages themselves.
#pragma once

#include "capacity/fit.h"
#include "capacity/printer.h"

namespace rattandyke::capacity {

struct TransportSlopes
{
  /// Bytes on the connection for one message, by the envelope's size.
  Fit bytesPerEnvelopeByte;
  /// Bytes and segments a second of a connection that carries nothing.
  Fit idleBytesPerConnection;
  Fit idleSegmentsPerConnection;
  /// Seconds of processor for one message from host to host, both ends
  /// together: one at a time, and many on their way at once.
  Fit cpuPerMessage;
  Fit busyCpuPerMessage;
};

TransportSlopes MeasureTransport(Printer& aPrinter);

} // namespace rattandyke::capacity
