/// The upstream port of a host: takes announcements over HTTP.
#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "agent/agent_service.h"

namespace rattandyke::agent {

/// Serves POST /v1/announce as docs/PROTOCOL.md specifies. Sizes, times and the
/// number of connections are bounded. Methods are thread-safe.
class AnnounceServer
{
public:
  /// @param aListen where upstreams reach this host; port 0 lets the kernel
  /// choose.
  /// @param aService outlives the server and the work of the executor.
  AnnounceServer(boost::asio::any_io_executor aExecutor,
                 Endpoint aListen,
                 AgentService& aService);
  ~AnnounceServer();

  /// Binds and begins to accept. @return Code::AddressInUse if the port is
  /// taken or the address is not this machine's.
  Result<void> Start();

  /// Closes the port and every connection.
  void Stop();

  /// @return where it listens. Valid after Start.
  Endpoint Listening() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::agent
