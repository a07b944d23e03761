/// Return times of callers that were refused because of an owner's load.
#pragma once

#include <rattandyke/types.h>

namespace rattandyke::scheduling {

/// Books return times for the refused callers of one owner of keys, so that no
/// more callers are asked to return than are admitted. Does no I/O. Not
/// thread-safe.
class ReturnSchedule
{
public:
  /// A host books at most one return per interval.
  static constexpr Duration kInterval = std::chrono::milliseconds{ 100 };
  /// Callers honour a time to return after up to this part of their remaining
  /// time.
  static constexpr int kHonouredDivisor = 3;
  /// Booked returns are at least this much earlier than the latest that the
  /// caller honours: its remaining time is less when the refusal arrives.
  static constexpr Duration kBookingMargin = std::chrono::milliseconds{ 100 };

  struct Return
  {
    Duration after{};
    bool booked = false;
  };

  /// @param aCapacity see Reserve. With different values in [0, 1), hosts that
  /// start to refuse at the same time book their first returns at different
  /// times.
  explicit ReturnSchedule(double aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /// Reserves capacity for returns; each needs 1. At most the capacity for one
  /// return is kept.
  /// @return the capacity that is not kept.
  double Reserve(double aCapacity);

  /// Books a return if there is capacity for one.
  /// @param aTimeLeft remaining time of the caller.
  Return Book(Duration aTimeLeft, Instant aNow);

  /// @return a return that is not booked.
  static Return Unbooked(Duration aTimeLeft);

private:
  double mCapacity;
  /// Earliest time of the next return.
  Instant mNext{};
};

} // namespace rattandyke::scheduling
