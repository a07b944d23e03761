#include "base/named_rate.h"

#include <algorithm>

namespace rattandyke {

namespace {

/// Requests per second that an upstream gets at least if it names a limit.
/// Without any, no response would tell that the limit was lifted.
constexpr double kMinRate = 0.25;
/// Requests that accrue while the upstream gets none, in seconds of its rate,
/// beyond one. Successive hosts that allocate them each start anew, so they
/// must be few.
constexpr double kBurstSeconds = 0.05;
/// A notice that repeats a known limit counts as newer from this age
/// difference on. Notices take time from host to host, and without a minimum
/// two hosts would renew an old one between them.
constexpr std::chrono::seconds kRenewal{ 1 };

} // namespace

bool
NamedRate::Update(std::optional<double> aRequestsPerSecond, Instant aToldAt)
{
  if (!WasNamed() && !aRequestsPerSecond) {
    return false;
  }
  const bool changed = mRequestsPerSecond != aRequestsPerSecond;
  const Duration newer = aToldAt - mToldAt;
  if (newer <= Duration::zero() || (!changed && newer < Duration(kRenewal))) {
    return false;
  }
  mRequestsPerSecond = aRequestsPerSecond;
  mToldAt = aToldAt;
  return changed;
}

void
NamedRate::Apply(double aRequestsPerSecond, TokenBucket& aBucket, Instant aNow)
{
  const double rate = std::max(aRequestsPerSecond, kMinRate);
  aBucket.SetRate(rate, 1 + rate * kBurstSeconds, aNow);
}

} // namespace rattandyke
