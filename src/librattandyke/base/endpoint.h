/// Endpoints as text.
#pragma once

#include <string>
#include <string_view>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke {

/// @param aText "127.0.0.1:7001" or "[::1]:7001"; names are not looked up.
/// @return the endpoint, or Code::InvalidSettings if the address is not an IP
/// number or the port is not 0 to 65535.
Result<Endpoint> ParseEndpoint(std::string_view aText);

/// @return the form that ParseEndpoint reads.
std::string ToString(const Endpoint& aEndpoint);

} // namespace rattandyke
