/// Opening a listener.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke::net {

/// Binds an acceptor and begins to listen.
/// @return Code::AddressInUse if it can't.
Result<void> Listen(boost::asio::ip::tcp::acceptor& aAcceptor,
                    const Endpoint& aAddress);

} // namespace rattandyke::net
