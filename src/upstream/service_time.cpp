#include "upstream/service_time.h"

namespace rattandyke::upstream {

namespace {

/// @return a factor whose mean is 1.
double
DrawFactor(Distribution aDistribution, Random& aRandom)
{
  switch (aDistribution) {
    case Distribution::Fixed:
      return 1;
    case Distribution::Exponential:
      return std::exponential_distribution<double>(1)(aRandom);
    case Distribution::LogNormal:
      constexpr double kSigma = 1;
      constexpr double kMeanOneMu = -kSigma * kSigma / 2;
      return std::lognormal_distribution<double>(kMeanOneMu, kSigma)(aRandom);
  }
  return 1;
}

} // namespace

Result<Distribution>
ParseDistribution(std::string_view aName)
{
  if (aName == "fixed") {
    return Distribution::Fixed;
  }
  if (aName == "exponential") {
    return Distribution::Exponential;
  }
  if (aName == "lognormal") {
    return Distribution::LogNormal;
  }
  return Fail(Code::InvalidSettings,
              "'" + std::string(aName) +
                "' is not fixed, exponential or lognormal.");
}

Duration
DrawServiceTime(const ServiceTimeOptions& aOptions,
                Duration aSinceStart,
                Random& aRandom)
{
  const double cold = aSinceStart < aOptions.cold ? aOptions.coldFactor : 1;
  const auto drawn =
    aOptions.mean * (cold * DrawFactor(aOptions.distribution, aRandom));
  return std::chrono::duration_cast<Duration>(drawn);
}

} // namespace rattandyke::upstream
