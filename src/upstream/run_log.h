/// The stand-in upstream's honest record of what it ran, in JSON lines; the
/// invariant checks read it. docs/TESTING.md describes the lines.
#pragma once

#include <memory>
#include <string>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "upstream/grant_book.h"

namespace rattandyke::upstream {

/// Everything that the record keeps of one request.
struct RunRequest
{
  std::string service;
  std::string key;
  std::string slot;
  uint64_t fence = 0;
  /// Name that the entry gave to the request.
  std::string requestId;
  /// Name that the load driver gave to it; the same for each resend.
  std::string loadId;
  /// 0 for the first sending, 1 for its first resend.
  uint64_t loadAttempt = 0;
  std::string customer;
  std::string idempotencyKey;
  std::string method;
  std::string sender;
};

/// Appends lines to a file, each in one write before the caller goes on, so
/// that a line outlives the process, though not the machine. Instants are
/// written as nanoseconds of CLOCK_MONOTONIC, which compare between processes
/// of one machine. Not thread-safe.
class RunLog
{
public:
  /// @param aPath empty: nothing is kept.
  /// @return Code::StorageFailed if the file cannot be opened.
  static Result<std::unique_ptr<RunLog>> Open(const std::string& aPath);
  ~RunLog();

  void Started(std::string_view aService,
               std::string_view aUpstream,
               uint64_t aIncarnation,
               Instant aNow);
  /// Written before the run begins.
  void RunStarted(uint64_t aRun, const RunRequest& aRequest, Instant aNow);
  /// @param aHow "answered", "cancelled", "lease-over" or "cut".
  void RunEnded(uint64_t aRun, std::string_view aHow, Instant aNow);
  /// A request was refused, and did not run.
  void Refused(const RunRequest& aRequest, std::string_view aWhy, Instant aNow);
  void LeaseExtended(Instant aUntil, Instant aNow);
  /// From now on these grants are the only ones.
  void GrantsTaken(uint64_t aVersion,
                   const std::vector<Grant>& aGrants,
                   Instant aNow);

private:
  explicit RunLog(int aFile);
  void Append(std::string aLine);
  int mFile;
};

} // namespace rattandyke::upstream
