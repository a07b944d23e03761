#include "scheduling/return_schedule.h"

#include <algorithm>

namespace rattandyke::scheduling {

double
ReturnSchedule::Reserve(double aCapacity)
{
  mCapacity += aCapacity;
  const double excess = std::max(mCapacity - 1, 0.0);
  mCapacity -= excess;
  return excess;
}

ReturnSchedule::Return
ReturnSchedule::Unbooked(Duration aTimeLeft)
{
  return { std::max(aTimeLeft / kHonouredDivisor, Duration{}), false };
}

ReturnSchedule::Return
ReturnSchedule::Book(Duration aTimeLeft, Instant aNow)
{
  const Instant at = std::max(mNext, aNow + kInterval);
  const Duration latest = aTimeLeft / kHonouredDivisor - kBookingMargin;
  if (mCapacity < 1 || at - aNow > latest) {
    return Unbooked(aTimeLeft);
  }
  mCapacity -= 1;
  mNext = at + kInterval;
  return { at - aNow, true };
}

} // namespace rattandyke::scheduling
