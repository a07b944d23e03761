/// Bound on the lines that one part may log.
#pragma once

#include <algorithm>
#include <optional>

#include <rattandyke/types.h>

namespace rattandyke::log {

/// A token bucket of one second's lines. Safeguard: a fault that logs at each
/// request would fill the disk and hide every other line; beyond the bound
/// lines are only counted, and the count is told with the next line that
/// passes. Not thread-safe.
class RateBound
{
public:
  explicit RateBound(uint32_t aPerSecond)
    : mPerSecond(aPerSecond)
    , mTokens(aPerSecond)
  {
  }

  /// @return the number of lines left out before this one, or nothing if this
  /// line is to be left out as well.
  std::optional<uint64_t> Pass(Instant aNow)
  {
    Refill(aNow);
    if (mTokens < 1) {
      ++mSuppressed;
      return std::nullopt;
    }
    mTokens -= 1;
    const uint64_t suppressed = mSuppressed;
    mSuppressed = 0;
    return suppressed;
  }

private:
  void Refill(Instant aNow)
  {
    const std::chrono::duration<double> passed = aNow - mLast;
    mLast = std::max(mLast, aNow);
    if (passed.count() > 0) {
      const double refilled = mTokens + passed.count() * mPerSecond;
      mTokens = std::min<double>(mPerSecond, refilled);
    }
  }

  uint32_t mPerSecond;
  double mTokens;
  Instant mLast{};
  uint64_t mSuppressed = 0;
};

} // namespace rattandyke::log
