/// Random schedules of requests through several entries, in virtual time.
#pragma once

#include <cstdint>
#include <string>

namespace rattandyke::testing {

/// What happened in one schedule. All but the first group must be 0.
struct RequestModelResult
{
  uint64_t sendings = 0;
  uint64_t runs = 0;
  uint64_t retries = 0;
  uint64_t saidNotRun = 0;
  uint64_t saidRan = 0;
  uint64_t saidUnknown = 0;

  /// Non-idempotent work that ran more than once.
  uint64_t doubleRuns = 0;
  /// Work that had run, or ran later, when "not run" was said of it.
  uint64_t falseNotRun = 0;
  /// Callers without a final answer by their deadline, though they and their
  /// entry were there.
  uint64_t unanswered = 0;
  /// Final answers beyond the first, or after the deadline.
  uint64_t surplusAnswers = 0;
  /// An answer said "ran" of work that no upstream ran.
  uint64_t falseRan = 0;
  /// Slots or claims still held when all was over.
  uint64_t leaked = 0;

  uint64_t Wrongs() const
  {
    return doubleRuns + falseNotRun + unanswered + surplusAnswers + falseRan +
           leaked;
  }
  RequestModelResult& operator+=(const RequestModelResult& aOther);
};

struct RequestModelSettings
{
  uint64_t seed = 0;
  uint32_t entries = 3;
  uint32_t requests = 12;
  /// Of each step that can fail.
  double faults = 0.15;
  /// Pauses, kills and moves in the schedule.
  uint32_t disturbances = 4;
};

/// Plays one schedule: callers send idempotent and other requests, with and
/// without an Idempotency-Key, and resend some at once or later through other
/// entries; calls to the register are lost, late or repeated; owners move;
/// connections fail or break; entries and upstreams are killed.
RequestModelResult RunRequestModel(const RequestModelSettings& aSettings);

} // namespace rattandyke::testing
