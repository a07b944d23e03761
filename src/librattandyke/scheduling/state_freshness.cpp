#include "scheduling/state_freshness.h"

namespace rattandyke::scheduling {

StateFreshness::StateFreshness(Instant aNow)
  : mTickedAt(aNow)
  , mConfirmedAt(aNow - Duration(kUnconfirmed))
{
}

void
StateFreshness::OnTick(Instant aNow)
{
  if (aNow - mTickedAt >= Duration(kPauseThreshold)) {
    mIgnoredUntil = aNow + Duration(kSettlingTime);
  }
  mTickedAt = aNow;
}

void
StateFreshness::OnConfirmed(Instant aNow)
{
  const bool paused = aNow - mTickedAt >= Duration(kPauseThreshold);
  if (!paused && aNow >= mIgnoredUntil) {
    mConfirmedAt = aNow;
  }
}

Duration
StateFreshness::AgeAt(Instant aNow) const
{
  return aNow - mConfirmedAt;
}

} // namespace rattandyke::scheduling
