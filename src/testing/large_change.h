/// A change of an operator's configuration by many routes at once.
#pragma once

#include <cstddef>

#include "wire/gateway.pb.h"

namespace rattandyke::testing {

/// @return that many routes of the service "desk" on a few hosts, with names
/// and paths as different from one another as random ones, always the same.
wire::ChangeItems LargeChange(size_t aRoutes);

} // namespace rattandyke::testing
