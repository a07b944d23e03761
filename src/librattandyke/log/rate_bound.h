/// Bound on the lines that one part may log.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include <rattandyke/types.h>

namespace rattandyke::log {

/// A token bucket of one second's lines. Safeguard: a fault that logs at each
/// request would fill the disk and hide every other line; beyond the bound
/// lines are only counted, and the count is told with a line that passes, once
/// a second at most. Not thread-safe.
class RateBound
{
public:
  explicit RateBound(uint32_t aPerSecond)
    : mPerSecond(aPerSecond)
    , mTokens(aPerSecond)
  {
  }

  /// @return the number of lines left out that is to be told with this one, or
  /// nothing if this line is to be left out as well.
  std::optional<uint64_t> Pass(Instant aNow)
  {
    Refill(aNow);
    if (mTokens < 1) {
      ++mSuppressed;
      return std::nullopt;
    }
    mTokens -= 1;
    if (mSuppressed == 0 || (mToldAt && aNow - *mToldAt < kToldEvery)) {
      return 0;
    }
    mToldAt = aNow;
    return std::exchange(mSuppressed, 0);
  }

private:
  static constexpr Duration kToldEvery = std::chrono::seconds{ 1 };

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
  std::optional<Instant> mToldAt;
};

} // namespace rattandyke::log
