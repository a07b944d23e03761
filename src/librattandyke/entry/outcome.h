/// What a caller is told about whether its request ran.
#pragma once

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

} // namespace rattandyke::entry
