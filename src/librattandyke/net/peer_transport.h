/// Messages between hosts over ZeroMQ.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "wire/peer.pb.h"

namespace rattandyke::net {

/// Keys of a CURVE-protected transport, Z85 text as `rattandyke keys new`
/// prints it. Empty: no protection, allowed on loopback only.
struct CurveKeys
{
  std::string publicKey;
  std::string secretKey;
  /// Public key shared by all hosts of the deployment.
  std::string peersPublicKey;
};

/// Sends and receives envelopes. Datagram-like: a send never blocks, and a
/// message to a host that is slow or gone is dropped. One background thread
/// owns the sockets; Send is thread-safe; the receiver is called on that
/// thread and should only post to an executor.
class PeerTransport
{
public:
  using Receiver = std::function<void(wire::Envelope)>;

  /// @param aListen where other hosts reach this one.
  /// @param aName   this host's name, set as Envelope.from.
  /// @param aSession random per process start, set as Envelope.from_session.
  PeerTransport(Endpoint aListen,
                HostName aName,
                uint64_t aSession,
                CurveKeys aKeys,
                Receiver aReceiver);
  ~PeerTransport();

  /// Binds and starts the thread. @return Code::AddressInUse if taken.
  Result<void> Start();
  void Stop();

  /// Makes a host reachable by Send, or changes its address.
  void SetPeer(const HostName& aName, const Endpoint& aAddress);

  void Send(const HostName& aTo, wire::Envelope aEnvelope);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::net
