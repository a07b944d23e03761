/// Back pressure that upstreams signal in the headers of their responses.
#pragma once

#include <optional>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke::http {

/// Reads the request rate limit in an upstream's response.
/// @param aName name of the header.
/// @return the requests per second that the upstream accepts from all entry
/// hosts together, std::nullopt if it names no limit, or Code::InvalidRecord if
/// the value is not one finite decimal number of 0 or more.
Result<std::optional<double>> ReadRateLimit(
  const boost::beast::http::fields& aFields,
  std::string_view aName);

/// Reads for how long an upstream that refused a request wants no further one
/// from this host.
/// @return the time in the Retry-After header, std::nullopt if there is none,
/// or Code::InvalidRecord if the value is not one finite decimal number of
/// seconds, 0 or more. Dates are not read, since clocks differ.
Result<std::optional<Duration>> ReadRetryAfter(
  const boost::beast::http::fields& aFields);

} // namespace rattandyke::http
