/// Sources of time and randomness. Passed to constructors; the edges use the
/// system's, tests use their own.
#pragma once

#include <ctime>
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

/// Counts the time for which the machine was suspended, too, so that a lease
/// that ran out meanwhile is seen to be over. Its instants are not those of
/// steady_clock.
class BootClock final : public Clock
{
public:
  Instant Now() const override
  {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant{ std::chrono::seconds{ now.tv_sec } +
                    std::chrono::nanoseconds{ now.tv_nsec } };
  }
  WallTime Wall() const override { return SystemClock().Wall(); }
};

/// @return a time lengthened or shortened by a factor.
inline Duration
Scaled(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

/// Random source of a decision: seeded by its owner, so that a run repeats.
/// Not thread-safe.
using Random = std::mt19937_64;

} // namespace rattandyke
