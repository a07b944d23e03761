/// How answers to callers are written.
#pragma once

#include <optional>
#include <string>

#include <rattandyke/types.h>

#include "gateway/caller_request_handler.h"

namespace rattandyke::gateway {

/// A connection that goes on after an answer.
struct KeptFor
{
  /// For which callers may leave a connection idle.
  Duration idleLimit{};
};

/// @param aKept nothing if the connection ends with the answer.
/// @param aHead the request was one for the head only.
/// @return the answer as it goes over the connection.
std::string AnswerText(const CallerResponse& aAnswer,
                       const std::optional<KeptFor>& aKept,
                       bool aHead);

} // namespace rattandyke::gateway
