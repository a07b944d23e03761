/// Sources of time and randomness. Passed to constructors; the edges use the
/// system's, tests use their own.
#pragma once

#include <random>

#include <rattandyke/types.h>

namespace rattandyke {

/// Reads the time. Thread-safe.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
  virtual WallTime Wall() const = 0;
};

class SystemClock final : public Clock
{
public:
  Instant Now() const override { return std::chrono::steady_clock::now(); }
  WallTime Wall() const override
  {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  }
};

/// Random source of a decision: seeded by its owner, so that a run repeats.
/// Not thread-safe.
using Random = std::mt19937_64;

} // namespace rattandyke
