/// One sending of one request, and what came of it.
#pragma once

#include <string>

#include <rattandyke/types.h>

#include "load/connections.h"
#include "load/plan.h"

namespace rattandyke::load {

enum class AttemptResult
{
  /// The whole answer to this very request.
  Answered,
  /// An answer to another request.
  Crossed,
  /// An answer that looked whole to HTTP and is not, or that only the end of
  /// its connection ends, so that nothing tells whether it is.
  TruncatedAsWhole,
  /// It did not run, says the answer.
  NotRun,
  /// It may have run, says the answer.
  Unknown,
  /// It ran, and the answer says that it failed or was not kept.
  RanWithoutBody,
  /// The connection broke or the time was over after it was sent.
  Lost,
  /// Nothing of it was sent: no connection.
  Unsent
};

/// @return its name in the files: "answered", "not-run", ...
std::string_view NameOf(AttemptResult aResult);

struct Attempt
{
  uint32_t number = 0;
  size_t entry = 0;
  Instant sent{};
  Instant done{};
  AttemptResult result = AttemptResult::Unsent;
  unsigned status = 0;
  /// Value of Rattandyke-Code, if any.
  std::string code;
  std::string upstream;
  uint64_t fence = 0;
};

/// Sends a request once.
/// @param aNumber 0 for its first sending.
/// @param aTimeout how long to wait for the whole answer.
/// @param aDirect the target is an upstream: the request names what an entry
/// would have told it, and an answer without an outcome is one of a run.
asio::awaitable<Attempt> SendOnce(Connections& aConnections,
                                  const Plan& aPlan,
                                  uint32_t aNumber,
                                  size_t aEntry,
                                  Duration aTimeout,
                                  bool aDirect);

/// Judges an answer that HTTP takes for whole.
void Judge(const http::response<http::string_body>& aResponse,
           const Plan& aPlan,
           bool aDirect,
           Attempt& aAttempt);

} // namespace rattandyke::load
