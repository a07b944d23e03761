/// What the slopes come to at the size of the letter.
#pragma once

#include "capacity/announce_slopes.h"
#include "capacity/control_slopes.h"
#include "capacity/log_slopes.h"
#include "capacity/printer.h"
#include "capacity/table_slopes.h"
#include "capacity/target_size.h"
#include "capacity/transport_slopes.h"
#include "capacity/wire_slopes.h"

namespace rattandyke::capacity {

struct Slopes
{
  WireSlopes wire;
  TransportSlopes transport;
  TableSlopes table;
  ControlSlopes control;
  LogSlopes log;
  AnnounceSlopes announce;
};

/// Sums over slopes that several models use.
class Arithmetic
{
public:
  explicit Arithmetic(const Slopes& aSlopes)
    : mSlopes(aSlopes)
  {
  }

  /// @return bytes on the network of one message between hosts, with headers
  /// and its bare acknowledgements.
  double MessageBytes(double aEnvelopeBytes) const;

  /// @return the same of a message and the reply to it on one connection: the
  /// reply acknowledges the message.
  double ExchangeBytes(double aEnvelopeBytes, double aReplyBytes) const;

  /// @return bytes on the network of a request and its answer over HTTP.
  double HttpExchangeBytes(double aBytes) const;

  /// @return bytes of a whole table as one envelope.
  double WholeTableBytes() const;

  /// @return changes of records a second.
  double ChangesPerSecond() const;

  /// @return lost or restarted nodes a second.
  double LossesPerSecond() const;

  /// @return hot keys that get an owner of their own, or lose it, a second.
  double HotKeyChangesPerSecond() const;

  /// @return seconds until keys are served again after a home and its upstream
  /// were lost at once, under the leases of the proposal.
  double ServedAgainSeconds() const;

  /// @return the longest that an election takes to begin.
  static double ElectionSeconds();

  const TargetSize size;
  const Limits limits;
  const Assumptions assumed;
  const Proposal proposal;

private:
  const Slopes& mSlopes;
};

/// One control group, as the code is: where it breaks and by how much.
void PrintToday(const Slopes& aSlopes, Printer& aPrinter);

/// Regional groups, short renewals, updates without repetition: on paper, from
/// the same slopes.
void PrintProposal(const Slopes& aSlopes, Printer& aPrinter);

/// What a loss costs: an upstream, a rack, a data centre, a parted region.
void PrintFaults(const Slopes& aSlopes, Printer& aPrinter);

} // namespace rattandyke::capacity
