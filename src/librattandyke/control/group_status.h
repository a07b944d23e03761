/// A control host's view of the group, for operators.
#pragma once

#include <string>

#include "consensus/types.h"
#include "control/coordinator.h"
#include "control/state.h"

namespace rattandyke::control {

/// @return a JSON object.
std::string StatusOf(const consensus::GroupStatus& aGroup,
                     const State& aState,
                     const Coordinator& aCoordinator);

} // namespace rattandyke::control
