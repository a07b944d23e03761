/// Random faults for a ControlWorld.
#pragma once

#include <string>
#include <vector>

#include "testing/control_world.h"

namespace rattandyke::testing {

enum class FaultKind : uint8_t
{
  CutOneWay,
  CutBothWays,
  PauseHost,
  PauseUpstream,
  CrashHost,
  CrashUpstream,
  RestartUpstreamAtOnce,
  PauseLeader,
  CrashLeader,
  Drain,
  IgnoreRevokes
};
inline constexpr int kFaultKinds = 11;

/// Something that goes wrong at a time, and is mended after a while.
struct Fault
{
  FaultKind kind = FaultKind::CutOneWay;
  uint32_t one = 0;
  uint32_t other = 0;
  std::chrono::milliseconds at{ 0 };
  std::chrono::milliseconds lasts{ 0 };
};

/// @return text for people.
std::string Describe(const Fault& aFault);

/// Plans the fault, counted from now.
void Inject(ControlWorld& aWorld, const Fault& aFault);

/// @return random faults within aWithin.
std::vector<Fault> DrawFaults(Random& aRandom,
                              size_t aCount,
                              std::chrono::milliseconds aWithin);

/// What a schedule showed.
struct ScheduleResult
{
  size_t mostOwnersAtOnce = 0;
  size_t olderFencesRan = 0;
  std::string firstFault;
};

/// Plays one schedule of random faults; the same number plays the same one.
ScheduleResult RunSchedule(uint64_t aNumber);

} // namespace rattandyke::testing
