/// Notices that this process did not run for a while.
#pragma once

#include <optional>

#include <rattandyke/types.h>

namespace rattandyke {

/// A process that was stopped, or whose host was suspended, finds input that
/// arrived meanwhile, and can't tell how old it is. Does no I/O. Not
/// thread-safe.
class PauseDetector
{
public:
  /// @param aMaxGap longest time between two calls of Tick that is no pause.
  /// @param aDoubt  time after a pause in which what arrived during it may be
  /// read.
  PauseDetector(Duration aMaxGap, Duration aDoubt)
    : mMaxGap(aMaxGap)
    , mDoubt(aDoubt)
  {
  }

  /// Call it regularly.
  void Tick(Instant aNow);

  /// @return whether input that is read now may be of any age. Also before the
  /// first Tick after a pause, whose handler may run behind those of the input.
  bool MayBeOld(Instant aNow) const;

private:
  bool IsPause(Instant aNow) const
  {
    return mTickedAt && aNow - *mTickedAt > mMaxGap;
  }

  const Duration mMaxGap;
  const Duration mDoubt;
  std::optional<Instant> mTickedAt;
  std::optional<Instant> mResumedAt;
};

} // namespace rattandyke
