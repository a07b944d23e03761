/// How a bench registers itself, and helpers that benches share.
///
/// A bench is one file, src/bench/NAME_bench.cpp:
///
///     const Registration sRegistration("lookup", [](Reporter& aReporter) {
///       aReporter.AtMost("lookup_allocations", allocations, "count", 0);
///     });
///
/// rattandyke-bench runs the benches one after the other, in order of name.
#pragma once

#include <algorithm>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "allocation/allocation_counter.h"
#include "base/clock.h"
#include "bench/figure.h"

namespace rattandyke::bench {

/// Seed of every random choice in a bench, so that a run repeats.
inline constexpr uint64_t kSeed = 20261202;

using Run = std::function<void(Reporter&)>;

struct Bench
{
  std::string name;
  /// Deployment that it plays, for --scenario; empty for a plain bench.
  std::string scenario;
  Run run;
};

/// Adds a bench when constructed; at namespace scope of the bench's own file.
struct Registration
{
  /// @param aScenario if set, the bench runs only under --scenario of the same
  /// name, since it takes long.
  Registration(std::string aName, Run aRun, std::string aScenario = "");
};

/// @return every registered bench, sorted by name.
std::vector<Bench> AllBenches();

/// Keeps the compiler from dropping a computation whose result is not used.
template<typename T>
void
KeepAlive(const T& aValue)
{
  asm volatile("" : : "g"(&aValue) : "memory");
}

/// @param aShare from 0 to 1: 0.99 is the 99th percentile.
/// @return the nearest-rank percentile; not a number if there are no values.
double Percentile(std::vector<double> aValues, double aShare);

/// Times aCall on this thread.
/// @param aCalls calls a round; one uncounted round warms up.
/// @return nanoseconds a call, the median of five rounds.
template<typename Call>
double
NanosecondsPerCall(uint64_t aCalls, Call&& aCall)
{
  constexpr int kRounds = 5;
  std::vector<double> rounds;
  for (int round = 0; round <= kRounds; ++round) {
    const Instant start = std::chrono::steady_clock::now();
    for (uint64_t call = 0; call < aCalls; ++call) {
      aCall();
    }
    const std::chrono::duration<double, std::nano> taken =
      std::chrono::steady_clock::now() - start;
    if (round > 0) {
      rounds.push_back(taken.count() / static_cast<double>(aCalls));
    }
  }
  return Percentile(std::move(rounds), 0.5);
}

} // namespace rattandyke::bench
