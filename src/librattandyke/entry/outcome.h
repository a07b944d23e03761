/// What a caller is told about whether its request ran.
#pragma once

#include <cstdint>
#include <string_view>

namespace rattandyke::entry {

/// Value of the Rattandyke-Outcome header. Speaks of the work, not of one
/// sending: for a request with an Idempotency-Key it covers every sending of
/// that key that the register remembers.
enum class Outcome
{
  /// Proven: no upstream ran it and none will on behalf of this sending.
  NotRun,
  /// An upstream ran it and this is its answer.
  Ran,
  /// It may have run, may still run, or may not have run.
  Unknown,
};

/// @return the header's value: "not-run", "ran" or "unknown".
constexpr std::string_view
NameOf(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Ran:
      return "ran";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

/// @return whether the status means that the upstream is too busy.
constexpr bool
IsShed(uint32_t aStatus)
{
  constexpr uint32_t kTooManyRequests = 429;
  constexpr uint32_t kServiceUnavailable = 503;
  return aStatus == kTooManyRequests || aStatus == kServiceUnavailable;
}

/// @return whether the upstream answered with a failure of its own.
constexpr bool
IsServerError(uint32_t aStatus)
{
  constexpr uint32_t kFirst = 500;
  return aStatus >= kFirst;
}

/// @return what a whole answer of this status says of the work, if the
/// upstream gives no proof that it did not run.
constexpr Outcome
OutcomeOf(uint32_t aStatus)
{
  const bool failed = IsServerError(aStatus) || IsShed(aStatus);
  return failed ? Outcome::Unknown : Outcome::Ran;
}

} // namespace rattandyke::entry
