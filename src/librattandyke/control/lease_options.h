/// Times of leases as the leader counts them.
#pragma once

#include <rattandyke/types.h>

namespace rattandyke::control {

/// The same on every host of a deployment.
struct LeaseOptions
{
  std::chrono::milliseconds hostLease{ 800 };
  std::chrono::milliseconds upstreamLease{ 800 };
  /// A follower that heard its leader elects no other for at least this long.
  std::chrono::milliseconds electionTimeoutMin{ 250 };
  /// Two hosts' clocks run at the same rate to within this share.
  double driftBound = 0.01;
};

/// @return a wait that is long enough although this host's clock may run fast.
inline Duration
Lengthened(Duration aWait, const LeaseOptions& aOptions)
{
  return std::chrono::duration_cast<Duration>(aWait *
                                              (1 + aOptions.driftBound));
}

/// @return a time that is over in time although this host's clock may run slow.
inline Duration
Shortened(Duration aWait, const LeaseOptions& aOptions)
{
  return std::chrono::duration_cast<Duration>(aWait *
                                              (1 - aOptions.driftBound));
}

} // namespace rattandyke::control
