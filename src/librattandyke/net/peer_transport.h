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

/// What a transport has done since it started.
struct TransportCounters
{
  /// Handed to a connection; says nothing about arrival.
  uint64_t sent = 0;
  uint64_t received = 0;
  /// Not sent: peer unknown, gone or slow, or the message too large.
  uint64_t dropped = 0;
  /// Received and thrown away: not a single-part envelope with a sender.
  uint64_t malformed = 0;
};

/// Sends and receives envelopes. Datagram-like: a send never blocks, and a
/// message to a host that is slow or gone is dropped; so are messages sent
/// before the connection to a new peer stands. Messages to the own name are
/// delivered without a socket. One background thread
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

  /// Binds and starts the thread. @return Code::AddressInUse if taken,
  /// Code::InvalidSettings for unusable keys, or none beyond loopback.
  Result<void> Start();
  /// Joins the thread; what is queued is dropped. Not from the receiver.
  void Stop();

  /// @return where it listens: the port chosen by the kernel if 0 was asked.
  /// Valid after Start.
  Endpoint Listening() const;

  TransportCounters Counters() const;

  /// Makes a host reachable by Send, or changes its address.
  void SetPeer(const HostName& aName, const Endpoint& aAddress);

  void Send(const HostName& aTo, wire::Envelope aEnvelope);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::net
