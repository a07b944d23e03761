/// Operators' questions to the leader, answered as JSON.
#pragma once

#include <boost/json.hpp>

#include <rattandyke/result.h>

#include "control/coordinator.h"
#include "control/state.h"
#include "wire/peer.pb.h"

namespace rattandyke::control {

/// @return the answer to "records", "owners", "upstreams", "hosts", "claims",
/// "bans" or "in-force"; Code::UsageError for another question,
/// Code::UnknownService if the named service has no record. "owners" with a
/// key explains who owns that key and why.
Result<boost::json::value> AnswerQuery(const wire::QueryCall& aQuery,
                                       const State& aState,
                                       const HostLeases& aHosts,
                                       Instant aNow);

} // namespace rattandyke::control
