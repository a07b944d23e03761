/// One host: joins transport, agent, control, entry and the operators' API.
#pragma once

#include <filesystem>
#include <memory>

#include "config/settings.h"
#include "server/service_options.h"

namespace rattandyke::server {

/// What `rattandyke serve` runs. Not thread-safe: one thread makes it, starts
/// it and runs it.
class Server
{
public:
  /// @param aSettingsFile read again at SIGHUP; empty: none.
  Server(config::Settings aSettings, std::filesystem::path aSettingsFile);
  ~Server();

  /// Takes the addresses and the data folder, and starts the roles.
  /// @return Code::AddressInUse, or an error of the data folder.
  Result<void> Start();

  /// Serves until a graceful shutdown has ended. SIGTERM or SIGINT begins one:
  /// requests in flight are finished, the leader is told, leadership is handed
  /// over. A second one ends the process at once. SIGHUP reads the settings
  /// again.
  void Run();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::server
