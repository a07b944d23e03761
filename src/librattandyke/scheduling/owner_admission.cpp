#include "scheduling/owner_admission.h"

#include <algorithm>

namespace rattandyke::scheduling {

namespace {

/// A kind takes part in the sharing of tokens for this time after a request.
constexpr Duration kKindLifetime = std::chrono::seconds{ 1 };
/// Tokens that are left for each more urgent kind, and for all of them.
constexpr double kReservePerKind = 0.5;
constexpr double kMaxReserve = 1;
/// Tokens that accrue at most.
constexpr double kMaxTokens = 1 + kMaxReserve;
/// Tokens for callers that return as booked accrue up to this number. Such
/// callers reach hosts at random, so at times a host gets more of them than it
/// booked itself. A caller that pretends to return gains no more than that.
constexpr double kMaxReturnTokens = 8;
/// They accrue faster than returns are booked: at the same rate, some hosts
/// would have none after some time.
constexpr double kReturnFactor = 1.25;
/// Part of the tokens for which returns are booked, at most: no more than are
/// refused. If all were, each caller would be served only after its return,
/// later than most objectives.
constexpr double kBookedPart = 0.5;
/// Time for which the longest stated time of a kind is used. A caller that
/// states an unusually long one changes the treatment of others for so long.
constexpr Duration kLongestLifetime = std::chrono::seconds{ 5 };
/// A request whose stated time is shorter by this than the longest of its kind
/// belongs to a caller that has returned.
constexpr Duration kReturnedBy = std::chrono::milliseconds{ 50 };

} // namespace

/// A caller that returns states less time than before. One without a booking
/// returns when a third of its time is over, one with a booking earlier.
CallerHistory
StatedTimes::Record(Duration aStated, Instant aNow)
{
  if (aStated >= mLongest || aNow - mLongestAt >= kLongestLifetime) {
    mLongest = aStated;
    mLongestAt = aNow;
  }
  if (aStated + kReturnedBy > mLongest) {
    return CallerHistory::New;
  }
  return aStated > mLongest - mLongest / ReturnSchedule::kHonouredDivisor
           ? CallerHistory::ReturnedAsBooked
           : CallerHistory::Returned;
}

OwnerAdmission::OwnerAdmission(double aPhase)
  : mTokens(aPhase)
  , mReturnTokens(kMaxReturnTokens)
  , mReturns(aPhase)
{
}

/// A booked return takes its token when it is booked. It is admitted by the
/// host that it reaches, which has no message of the booking.
void
OwnerAdmission::RecordArrival(uint32_t aPriority, double aShare, Instant aNow)
{
  mLastAt = aNow;
  mKinds.try_emplace(aPriority, Kind{ aNow, aNow }).first->second.lastAt = aNow;
  const double booked = std::min(aShare * kBookedPart, 1 - aShare);
  mReturnTokens =
    std::min(mReturnTokens + booked * kReturnFactor, kMaxReturnTokens);
  mTokens =
    std::min(mTokens + aShare - booked + mReturns.Reserve(booked), kMaxTokens);
}

bool
OwnerAdmission::TryTake(const Request& aRequest, Instant aNow)
{
  if (aRequest.history == CallerHistory::ReturnedAsBooked &&
      mReturnTokens >= 1) {
    mReturnTokens -= 1;
    return true;
  }
  if (mTokens < RequiredTokens(aRequest.priority, aNow)) {
    return false;
  }
  mTokens -= 1;
  return true;
}

bool
OwnerAdmission::IsStarved(const Kind& aKind, Instant aNow)
{
  return aNow - aKind.servedAt >= kStarvedAfter &&
         aNow - aKind.lastAt < kKindLifetime;
}

double
OwnerAdmission::RequiredTokens(uint32_t aPriority, Instant aNow) const
{
  if (IsStarved(mKinds.at(aPriority), aNow)) {
    return 1;
  }
  double reserve = 0;
  for (const auto& [priority, kind] : mKinds) {
    if (IsStarved(kind, aNow)) {
      return 1 + kMaxReserve;
    }
    const bool moreUrgent = priority < aPriority;
    reserve +=
      moreUrgent && aNow - kind.lastAt < kKindLifetime ? kReservePerKind : 0;
  }
  return 1 + std::min(reserve, kMaxReserve);
}

std::optional<ReturnSchedule::Return>
OwnerAdmission::Admit(const Request& aRequest, double aShare, Instant aNow)
{
  RecordArrival(aRequest.priority, aShare, aNow);
  if (TryTake(aRequest, aNow)) {
    mKinds[aRequest.priority].servedAt = aNow;
    return std::nullopt;
  }
  // A second booking could not be told from a return without one.
  return aRequest.history == CallerHistory::New
           ? mReturns.Book(aRequest.left, aNow)
           : ReturnSchedule::Unbooked(aRequest.left);
}

} // namespace rattandyke::scheduling
