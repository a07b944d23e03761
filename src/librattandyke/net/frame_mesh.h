/// Messages between hosts that know each other by address.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "net/frame_connection.h"

namespace rattandyke::net {

/// Accepts connections and makes its own to whomever a message is for. A host's
/// name is its address as text. Datagram-like: what can't be sent soon is
/// dropped. All methods are called on the executor, which runs one handler at a
/// time.
class FrameMesh
{
public:
  using Connection = std::shared_ptr<FrameConnection>;

  struct Handlers
  {
    /// A message arrived on a connection that a peer made; answers may go the
    /// same way.
    std::function<void(const Connection&, std::string_view)> received;
    std::function<void(const Connection&)> closed;
    /// A connection that this host made ended, or could not be established:
    /// what was sent to the peer may be lost. Not called if it is empty.
    /// @param aWasConnected whether a part of it may have been delivered.
    std::function<void(const HostName& aPeer, bool aWasConnected)> lost = {};
  };

  FrameMesh(boost::asio::any_io_executor aExecutor,
            Endpoint aListen,
            Handlers aHandlers);
  ~FrameMesh();

  /// @return Code::AddressInUse if it can't listen.
  Result<void> Start();
  void Stop();

  /// @param aTo a host's address, "IP:PORT".
  /// @return whether the message is on its way; if not, nothing of it is sent.
  bool Send(const HostName& aTo, std::string_view aMessage);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::net
