/// HTTP/1.1 server of the operators' API.
#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "admin/api.h"

namespace rattandyke::admin {

/// Serves AdminApi on its own port, with bounds on sizes, times and the number
/// of connections. Runs on the executor given; each connection has a strand.
class AdminServer
{
public:
  struct Options
  {
    Endpoint listen;
    uint64_t headerBytes = 16384;
    uint64_t bodyBytes = 1048576;
    uint64_t connections = 256;
    uint64_t connectionsPerPeer = 64;
    /// For a whole request, so that a slow sender cannot hold a connection.
    std::chrono::milliseconds readTimeout{ 10000 };
    std::chrono::milliseconds writeTimeout{ 10000 };
    std::chrono::milliseconds idleTimeout{ 60000 };
  };

  AdminServer(boost::asio::any_io_executor aExecutor, Options aOptions);
  ~AdminServer();

  /// Takes the address; connections wait until Start.
  /// @return the address with the actual port, or Code::AddressInUse.
  Result<Endpoint> Bind();

  /// Begins to accept.
  /// @param aApi outlives the executor's last handler.
  void Start(AdminApi& aApi);

  /// Accepts no more and ends the connections.
  void Stop();

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::admin
