/// The stand-in upstream's HTTP server: runs requests in its slots.
#pragma once

#include <memory>

#include "upstream/asio_names.h"
#include "upstream/grant_book.h"
#include "upstream/modes.h"
#include "upstream/options.h"
#include "upstream/run_log.h"

namespace rattandyke::upstream {

/// Serves on the executor's one thread.
class Server
{
public:
  /// All references outlive the server.
  Server(const asio::any_io_executor& aExecutor,
         const Options& aOptions,
         Modes& aModes,
         GrantBook& aBook,
         RunLog& aLog);
  ~Server();

  /// Binds. @return the address that was bound, or Code::AddressInUse.
  Result<Endpoint> Listen();
  /// Accepts connections until the executor stops.
  asio::awaitable<void> Run();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::upstream
