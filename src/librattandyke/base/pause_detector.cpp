#include "base/pause_detector.h"

namespace rattandyke {

void
PauseDetector::Tick(Instant aNow)
{
  if (IsPause(aNow)) {
    mResumedAt = aNow;
  }
  mTickedAt = aNow;
}

bool
PauseDetector::MayBeOld(Instant aNow) const
{
  return IsPause(aNow) || (mResumedAt && aNow - *mResumedAt < mDoubt);
}

} // namespace rattandyke
