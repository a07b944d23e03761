/// Customers of different size at one upstream through several entries, in
/// virtual time.
#pragma once

#include <cstdint>
#include <vector>

#include <rattandyke/types.h>

namespace rattandyke::testing {

/// How entries share the upstream's slots.
enum class Sharing
{
  /// No admission: everything is sent on, first come, first served.
  None,
  /// Each entry by itself, with as many slots as the upstream has.
  LocalFull,
  /// Each entry by itself with one slot, the least that an adaptive limit can
  /// come down to.
  LocalOne,
  /// Slot credits from the upstream's home.
  Credits,
  /// One home entry takes all requests for the upstream.
  HomeEntry,
};

struct OverloadSettings
{
  uint64_t seed = 0;
  Sharing sharing = Sharing::Credits;
  uint32_t entries = 10;
  uint32_t slots = 2;
  /// Between entries, and from an entry to the upstream.
  Duration oneWay = std::chrono::microseconds(500);
  uint32_t smallCustomers = 10;
  /// Load of all small customers together, over the upstream's capacity.
  double smallLoad = 0.45;
  /// Load of the dominant customer, over the capacity.
  double dominantLoad = 0;
  std::chrono::milliseconds deadline{ 2000 };
  std::chrono::milliseconds maxQueueTime{ 1000 };
  /// The home stands still for this part of the run, from its middle.
  Duration homePause{};
  /// Entries that get the small customers' requests; the others idle.
  uint32_t busyEntries = 10;
};

struct OverloadResult
{
  /// Of small customers' answered requests, in milliseconds.
  std::vector<double> smallLatencies;
  uint64_t smallSent = 0;
  uint64_t smallAnswered = 0;
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;
  /// Time that refused requests had waited, in milliseconds.
  std::vector<double> refusalDelays;
  /// Answered requests a second, over the upstream's capacity.
  double goodput = 0;
  /// Credits still out, and requests never answered, when all was over.
  size_t leaked = 0;
  /// Most requests at the upstream at once.
  size_t mostAtUpstream = 0;
};

/// Plays one minute; service times are uniform from 5 to 15 ms.
OverloadResult RunOverloadModel(const OverloadSettings& aSettings);

} // namespace rattandyke::testing
