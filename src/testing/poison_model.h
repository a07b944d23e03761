/// A request that crashes upstreams, among others, in virtual time.
#pragma once

#include <cstdint>

namespace rattandyke::testing {

struct PoisonModelSettings
{
  uint64_t seed = 0;
  uint32_t entries = 8;
  uint32_t upstreams = 10;
  /// Sendings of the request that crashes whoever runs it.
  uint32_t resends = 50;
  /// Upstreams killed at random besides.
  uint32_t kills = 0;
  /// Share of crash reports that take up to two seconds.
  double lateReports = 0;
  /// False: the quarantine is off, for comparison.
  bool quarantine = true;
};

struct PoisonModelResult
{
  uint64_t lostToPoison = 0;
  uint64_t innocentsBanned = 0;
  uint64_t innocentsSent = 0;
  uint64_t innocentsAnswered = 0;
};

/// Plays one schedule: the leader judges crashes and hands the lost keys on;
/// entries hear of both a while later, each at its own time; innocent requests,
/// some of them popular, run beside the poison and are resent when it takes
/// them with it.
PoisonModelResult RunPoisonModel(const PoisonModelSettings& aSettings);

} // namespace rattandyke::testing
