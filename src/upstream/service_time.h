/// How long a run takes.
#pragma once

#include <chrono>
#include <string_view>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "base/clock.h"

namespace rattandyke::upstream {

enum class Distribution
{
  Fixed,
  Exponential,
  /// Long-tailed: sigma 1 of the underlying normal distribution.
  LogNormal
};

Result<Distribution> ParseDistribution(std::string_view aName);

struct ServiceTimeOptions
{
  std::chrono::duration<double, std::milli> mean{ 2 };
  Distribution distribution = Distribution::Fixed;
  /// Time after the start for which runs take longer by the factor.
  std::chrono::milliseconds cold{ 0 };
  double coldFactor = 4;
};

/// @param aSinceStart time since the process began.
/// @return one drawn time of a run.
Duration DrawServiceTime(const ServiceTimeOptions& aOptions,
                         Duration aSinceStart,
                         Random& aRandom);

} // namespace rattandyke::upstream
