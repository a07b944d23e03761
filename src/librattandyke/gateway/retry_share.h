/// Share of one entry host in the retry budget of all entry hosts.
#pragma once

#include <cstddef>

#include "entry/retry_budget.h"

namespace rattandyke::gateway {

/// Retry limits of a service, for all entry hosts together.
struct FleetRetryLimits
{
  /// Retries per first attempt.
  double ratio = 0;
  /// Additional retries at any time.
  double burst = 0;
};

/// Divides the retry limits among the entry hosts. With a thousand hosts the
/// share of the burst is less than one token, and a host that can't keep a
/// whole token would never retry, however many its requests earn. So each host
/// may keep at least one, which its own requests must earn.
/// @return the settings of the retry budget of one host.
entry::RetryBudget::Settings RetryShareOf(FleetRetryLimits aFleetLimits,
                                          size_t aEntryCount);

} // namespace rattandyke::gateway
