/// Looks at what a read of a connection would give.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace rattandyke::net {

/// Does not wait, and leaves what has arrived in the socket.
/// @return success if there is input, eof if the peer has closed its sending
/// side, would_block if nothing has arrived, or the socket's error.
boost::system::error_code Peek(boost::asio::ip::tcp::socket& aSocket);

/// @return whether the peer has closed its sending side, or the connection is
/// broken.
bool HasPeerLeft(boost::asio::ip::tcp::socket& aSocket);

} // namespace rattandyke::net
