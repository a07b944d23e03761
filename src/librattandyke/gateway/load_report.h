/// What upstreams tell of their load.
#pragma once

#include <cstdint>

namespace rattandyke::gateway {

/// What an upstream tells of itself with an answer; as old as the answer.
struct LoadReport
{
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 1;
  /// How long work takes on its machine at this moment; 1: as usual.
  double slowdown = 1;
};

} // namespace rattandyke::gateway
