/// Why a key has the owner it has.
#pragma once

#include <string>
#include <string_view>

#include <boost/json.hpp>

#include <rattandyke/result.h>

#include "control/state.h"

namespace rattandyke::control {

/// @return "active", "draining" or "lost".
std::string_view NameOf(wire::UpstreamState aState);

/// @return a short name: "owner-lost".
std::string_view NameOf(wire::MoveReason aReason);

/// @return who owns the key, since when, why, and what would move it;
/// Code::UnknownService if the service has no record.
Result<boost::json::value> ExplainOwner(const State& aState,
                                        const std::string& aService,
                                        const std::string& aKey);

} // namespace rattandyke::control
