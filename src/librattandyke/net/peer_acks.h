/// Tells peers that read slowly from peers that are gone.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

namespace rattandyke::net {

/// What the kernel knows of a peer's acknowledgements.
struct PeerAcks
{
  /// Time since the last acknowledgement of any kind.
  std::chrono::milliseconds sinceLast{};
  /// Retransmissions and window probes since then.
  unsigned unanswered = 0;
  /// Bytes that wait until the peer's window opens.
  size_t unsentBytes = 0;
};

/// A peer that does not read acknowledges every window probe; one that is gone
/// answers nothing. TCP_USER_TIMEOUT ends the connections of both.
/// @return std::nullopt if the socket is not connected, or the system does not
/// tell.
std::optional<PeerAcks> QueryPeerAcks(boost::asio::ip::tcp::socket& aSocket);

/// @param aLimit time without an acknowledgement.
/// @return whether the peer has left several transmissions unanswered for the
/// limit. False if nothing awaits an acknowledgement.
bool IsSilent(const PeerAcks& aAcks, std::chrono::milliseconds aLimit);

/// @param aLimit time without an acknowledgement.
/// @return whether data waits for a peer that does not read, and the peer is
/// there.
bool IsReadingSlowly(const PeerAcks& aAcks, std::chrono::milliseconds aLimit);

/// Sets the time after which the kernel ends a connection with unacknowledged
/// data or a closed window.
/// @param aTimeout zero: the kernel's own limit, some 15 minutes.
void SetUserTimeout(boost::asio::ip::tcp::socket& aSocket,
                    std::chrono::milliseconds aTimeout);

} // namespace rattandyke::net
