/// Back pressure that upstreams signal in the headers of their responses.
#pragma once

#include <optional>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include <rattandyke/result.h>

namespace rattandyke::http {

/// Reads the request rate limit in an upstream's response.
/// @param aName name of the header.
/// @return the requests per second that the upstream accepts from all entry
/// hosts together, std::nullopt if it names no limit, or Code::InvalidRecord if
/// the value is not one finite decimal number of 0 or more.
Result<std::optional<double>> ReadRateLimit(
  const boost::beast::http::fields& aFields,
  std::string_view aName);

} // namespace rattandyke::http
