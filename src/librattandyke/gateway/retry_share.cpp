#include "gateway/retry_share.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

/// Each entry may spend this part of what all may: arrivals that upstreams
/// refuse count, too, and so does what is under way when a window begins.
constexpr double kBudgetPart = 0.75;

} // namespace

entry::RetryBudget::Settings
RetryShareOf(FleetRetryLimits aBound, size_t aEntries)
{
  const double entries = static_cast<double>(std::max<size_t>(aEntries, 1));
  const double burst = aBound.slack * kBudgetPart / entries;
  return { aBound.ratio * kBudgetPart,
           std::max(burst, 1.0),
           burst < 1 ? 0 : burst / 2 };
}

} // namespace rattandyke::gateway
