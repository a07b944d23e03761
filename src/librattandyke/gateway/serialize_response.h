/// Serialization of HTTP responses to callers.
#pragma once

#include <optional>
#include <string>

#include <rattandyke/types.h>

#include "gateway/caller_request_handler.h"

namespace rattandyke::gateway {

/// Parameters of a connection that stays open after a response.
struct KeepAlive
{
  /// Time for which the connection may be idle.
  Duration idleTimeout{};
};

/// @param aKeepAlive nullopt if the connection closes after the response.
/// @param aIsHead    whether the request's method is HEAD.
/// @return the response as an HTTP/1.1 message.
std::string SerializeResponse(const CallerResponse& aResponse,
                              const std::optional<KeepAlive>& aKeepAlive,
                              bool aIsHead);

} // namespace rattandyke::gateway
