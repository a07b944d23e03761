#include "bench/bench.h"

#include <cmath>
#include <limits>

namespace rattandyke::bench {
namespace {

std::vector<Bench>&
Registered()
{
  static std::vector<Bench> sBenches;
  return sBenches;
}

} // namespace

Registration::Registration(std::string aName, Run aRun, std::string aScenario)
{
  Registered().push_back(
    { std::move(aName), std::move(aScenario), std::move(aRun) });
}

std::vector<Bench>
AllBenches()
{
  std::vector<Bench> benches = Registered();
  std::sort(benches.begin(), benches.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.name < aRight.name;
  });
  return benches;
}

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return std::numeric_limits<double>::quiet_NaN();
  }
  std::sort(aValues.begin(), aValues.end());
  const auto count = static_cast<double>(aValues.size());
  const double rank = std::ceil(aShare * count);
  return aValues[static_cast<size_t>(std::clamp(rank, 1.0, count)) - 1];
}

} // namespace rattandyke::bench
