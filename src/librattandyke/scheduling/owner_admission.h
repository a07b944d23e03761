/// Admission of requests for an owner of keys whose demand exceeds its
/// capacity.
#pragma once

#include <map>
#include <optional>

#include <rattandyke/types.h>

#include "scheduling/return_schedule.h"

namespace rattandyke::scheduling {

/// History of a caller, derived from the deadline that its request states.
enum class CallerHistory : uint8_t
{
  /// It has not been refused before.
  New,
  /// It has returned at a booked time.
  ReturnedAsBooked,
  /// It has returned at another time, or more than once.
  Returned,
};

/// Distinguishes returning callers from new ones, which state a longer time. A
/// returning caller usually reaches another host than before, and its request
/// has a new id. Not thread-safe.
class StatedTimes
{
public:
  /// Records the stated time of a request.
  CallerHistory Record(Duration aStated, Instant aNow);

private:
  Duration mLongest{};
  Instant mLongestAt{};
};

/// Admits a share of the requests that one host has for one owner. All hosts
/// apply the same share, so that together they send the owner what it can run
/// without exchanging a message. Does no I/O. Not thread-safe.
///
/// Kinds of requests are distinguished by priority. An available token goes to
/// the most urgent kind that has arrived recently, unless another one has got
/// none for kStarvedAfter.
class OwnerAdmission
{
public:
  struct Request
  {
    /// 0 is the most urgent.
    uint32_t priority = 0;
    /// Remaining time of the caller.
    Duration left{};
    CallerHistory history = CallerHistory::New;
  };

  /// A kind that has got nothing for this time is preferred: its next request
  /// is expected before a whole second is over.
  static constexpr Duration kStarvedAfter = std::chrono::milliseconds{ 600 };

  /// @param aPhase in [0, 1): fills the bucket at the start, and see
  /// ReturnSchedule. Without different phases, all hosts would admit their
  /// first requests at the same time.
  explicit OwnerAdmission(double aPhase);

  /// Admits or refuses a request.
  /// @param aShare share of the requests to admit, in [0, 1].
  /// @return the return time of a refused caller; nothing if the request is
  /// admitted.
  std::optional<ReturnSchedule::Return> Admit(const Request& aRequest,
                                              double aShare,
                                              Instant aNow);

  /// @return the time of the newest request.
  Instant LastRequestAt() const { return mLastAt; }

private:
  struct Kind
  {
    Instant lastAt{};
    /// Time of the last admission; before one, that of the first request.
    Instant servedAt{};
  };

  void RecordArrival(uint32_t aPriority, double aShare, Instant aNow);
  /// Takes a token for a request.
  /// @return whether there was one.
  bool TryTake(const Request& aRequest, Instant aNow);
  static bool IsStarved(const Kind& aKind, Instant aNow);
  double RequiredTokens(uint32_t aPriority, Instant aNow) const;

  double mTokens;
  /// For callers that return as booked.
  double mReturnTokens;
  ReturnSchedule mReturns;
  Instant mLastAt{};
  std::map<uint32_t, Kind> mKinds;
};

} // namespace rattandyke::scheduling
