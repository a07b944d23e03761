/// What one entry host may spend of the second tries of all.
#pragma once

#include <cstddef>

#include "entry/retry_budget.h"

namespace rattandyke::gateway {

/// Second tries that all entry hosts together may make for a service.
struct FleetRetryLimits
{
  /// For each first one.
  double ratio = 0;
  /// Beyond these, at a time.
  double slack = 0;
};

/// Safeguard: the slack shared out among a thousand hosts is less than one try
/// each. A host that may keep no whole token would never try again, however
/// many its traffic earns. So each may keep one, earned by its own requests.
/// @return the share of one host.
entry::RetryBudget::Settings RetryShareOf(FleetRetryLimits aBound,
                                          size_t aEntries);

} // namespace rattandyke::gateway
