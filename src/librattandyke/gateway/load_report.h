/// Load reports of upstreams.
#pragma once

#include <cstdint>

namespace rattandyke::gateway {

/// Load that an upstream reports in a header of its response. Valid for the
/// moment at which the upstream sent the response.
struct LoadReport
{
  /// Requests that the upstream runs.
  uint32_t running = 0;
  /// Requests that wait at the upstream for a slot.
  uint32_t waiting = 0;
  /// Requests that the upstream can run at the same time.
  uint32_t slots = 1;
  /// Current service time on the upstream's machine relative to the usual one;
  /// 1: as usual, 2: twice as long.
  double slowdown = 1;
};

} // namespace rattandyke::gateway
