/// Runs one request: checks its fence, waits for a slot, takes its time.
#pragma once

#include <memory>
#include <variant>

#include "upstream/modes.h"
#include "upstream/options.h"
#include "upstream/run_request.h"
#include "upstream/slot_pool.h"

namespace rattandyke::upstream {

/// It did not run.
struct Refused
{
  http::status status = http::status::service_unavailable;
  /// "fence", "shed", "queue" or "deadline".
  std::string_view why;
};

/// It ran; its answer is to be sent.
struct Finished
{
  RunRequest run;
};

/// Nobody is to get an answer: the sender is gone, or the lease ended in the
/// middle of the run.
struct Abandoned
{};

using RunResult = std::variant<Refused, Finished, Abandoned>;

/// Used on one thread.
class Runner
{
public:
  /// All references outlive the runner.
  Runner(const asio::any_io_executor& aExecutor,
         const Options& aOptions,
         const Modes& aModes,
         GrantBook& aBook,
         RunLog& aLog);
  ~Runner();

  /// @param aSocket where the request came from; its closing cancels the run.
  asio::awaitable<RunResult> Run(const Request& aRequest, tcp::socket& aSocket);

  /// Ends runs when the lease ends. Runs until the executor stops.
  asio::awaitable<void> WatchLease();

  /// @return requests that wait or run.
  size_t Load() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::upstream
