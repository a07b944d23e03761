/// Notices about upstreams' request rates as messages between hosts.
#pragma once

#include <optional>

#include <rattandyke/types.h>

#include "wire/rate.pb.h"

namespace rattandyke::entry {

/// What an upstream said about the request rate that it accepts.
struct RateNotice
{
  /// Requests per second from all hosts together; none: unlimited.
  std::optional<double> requestsPerSecond;
  /// Time of the response that said so.
  Instant toldAt{};
};

/// @return the message, with the age of the notice: instants of two hosts are
/// not comparable.
wire::RateNotice ToWire(const RateNotice& aNotice, Instant aNow);

/// @param aNow time at which the message arrived.
RateNotice FromWire(const wire::RateNotice& aMessage, Instant aNow);

} // namespace rattandyke::entry
