/// Checks the names in calls of upstreams and operators.
#pragma once

#include <rattandyke/result.h>

#include "gateway/dialect.h"

namespace rattandyke::gateway {

/// Checks every name that a call brings into the replicated state: ids, names
/// of services, data centres, hosts and paths. All hosts store, log and show
/// them.
/// @return Code::InvalidRecord with the field and the offset of the first
/// invalid byte.
Result<void> CheckNames(const ControlCall& aCall);

} // namespace rattandyke::gateway
