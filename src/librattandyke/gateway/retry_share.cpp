#include "gateway/retry_share.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

/// Share of the limits that the entries use. The rest is a margin: requests
/// that upstreams reject count towards the limits as well, and so do attempts
/// that are in progress when a measuring window begins.
constexpr double kBudgetShare = 0.75;

} // namespace

entry::RetryBudget::Settings
RetryShareOf(FleetRetryLimits aFleetLimits, size_t aEntryCount)
{
  const double entries = static_cast<double>(std::max<size_t>(aEntryCount, 1));
  const double burst = aFleetLimits.burst * kBudgetShare / entries;
  return { aFleetLimits.ratio * kBudgetShare,
           std::max(burst, 1.0),
           burst < 1 ? 0 : burst / 2 };
}

} // namespace rattandyke::gateway
