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
/// @return the head of the response as an HTTP/1.1 message. The body is not
/// copied: it may be large.
std::string SerializeHead(const CallerResponse& aResponse,
                          const std::optional<KeepAlive>& aKeepAlive);

/// @param aIsHead whether the request's method is HEAD.
/// @return whether the response's body follows its head.
bool HasBody(const CallerResponse& aResponse, bool aIsHead);

} // namespace rattandyke::gateway
