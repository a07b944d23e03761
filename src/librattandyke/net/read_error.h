/// Tells why a message could not be read.
#pragma once

#include <boost/system/error_code.hpp>

namespace rattandyke::net {

/// @param aError of a read.
/// @return whether what the peer sent is not HTTP, or exceeds a limit of the
/// parser. False if the connection has ended.
bool IsMalformed(const boost::system::error_code& aError);

/// @param aError of reading a request.
/// @return the status of the refusal, 0 if none is due as the connection has
/// ended.
unsigned StatusForReadError(const boost::system::error_code& aError);

} // namespace rattandyke::net
