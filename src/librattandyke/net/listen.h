/// Opening a listener.
#pragma once

#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke::net {

/// Binds an acceptor and begins to listen.
/// @param aFor who connects there, for the error: "callers".
/// @return the address with the port that was taken; Code::AddressInUse if
/// another has it, Code::InvalidSettings if it can't be had at all.
Result<Endpoint> Listen(boost::asio::ip::tcp::acceptor& aAcceptor,
                        const Endpoint& aAddress,
                        std::string_view aFor);

} // namespace rattandyke::net
