/// Announces the stand-in upstream to one host at a time and keeps its lease.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "upstream/asio_names.h"
#include "upstream/grant_book.h"
#include "upstream/modes.h"
#include "upstream/options.h"
#include "upstream/run_log.h"

namespace rattandyke::upstream {

/// @param aBody JSON of a host's answer 200 to an announcement.
/// @param aHosts gets the hosts that the answer lists.
/// @return what the grant book takes, or Code::MalformedRequest.
Result<AnnounceAnswer> ParseAnnounceAnswer(std::string_view aBody,
                                           std::vector<Endpoint>& aHosts);

/// The announcing loop. Runs on the executor's one thread.
class Announcer
{
public:
  /// All references outlive the announcer.
  Announcer(const asio::any_io_executor& aExecutor,
            const Options& aOptions,
            const Modes& aModes,
            uint64_t aIncarnation,
            Endpoint aAddress,
            GrantBook& aBook,
            RunLog& aLog);
  ~Announcer();

  /// Announces until the executor stops or a newer incarnation took the name.
  asio::awaitable<void> Run();

  /// @return whether it may go: drained, and nobody relies on it.
  bool MayLeave() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::upstream
