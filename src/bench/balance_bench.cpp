/// How evenly the requests without keys are spread over equal upstreams, of
/// which a part responded slowly at first.
#include <algorithm>
#include <array>
#include <string>

#include "bench/bench.h"
#include "testing/entry_group.h"

namespace rattandyke::bench {
namespace {

using gateway::testing::EntryGroup;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<size_t, 2> kEntryHosts{ 30, 300 };
/// One group of a home entry.
constexpr size_t kUpstreams = 16;
constexpr milliseconds kServiceTime{ 40 };
constexpr milliseconds kSlowServiceTime{ 800 };
constexpr seconds kSlowAtFirst{ 2 };
constexpr seconds kRecovery{ 5 };
constexpr seconds kMeasured{ 20 };

struct Demand
{
  const char* name;
  double ofCapacity;
};
constexpr std::array kDemands{ Demand{ "low", 0.1 }, Demand{ "high", 0.8 } };

/// @return the requests to the busiest upstream over the mean.
double
BusiestOverMean(size_t aEntryHosts, double aOfCapacity)
{
  EntryGroup group(aEntryHosts, kUpstreams, false);
  double capacity = 0;
  for (size_t number = 0; number < kUpstreams; ++number) {
    group.Upstream(number).serviceTime =
      number % 2 == 0 ? kSlowServiceTime : kServiceTime;
    capacity += group.Upstream(number).slots /
                std::chrono::duration<double>(kServiceTime).count();
  }
  const double rate = aOfCapacity * capacity;
  group.RunFor(kSlowAtFirst, rate);
  for (size_t number = 0; number < kUpstreams; ++number) {
    group.Upstream(number).serviceTime = kServiceTime;
  }
  group.RunFor(kRecovery, rate);
  const Instant from = group.Now();
  group.RunFor(kMeasured, rate);
  size_t busiest = 0;
  size_t all = 0;
  for (size_t number = 0; number < kUpstreams; ++number) {
    const size_t arrivals = group.ArrivalsSince(number, from);
    busiest = std::max(busiest, arrivals);
    all += arrivals;
  }
  return static_cast<double>(busiest) * kUpstreams / static_cast<double>(all);
}

void
RunBalance(Reporter& aReporter)
{
  for (const Demand& demand : kDemands) {
    for (const size_t entryHosts : kEntryHosts) {
      aReporter.Printed(std::string("balance_") + demand.name + '_' +
                          std::to_string(entryHosts) + "_busiest_over_mean",
                        BusiestOverMean(entryHosts, demand.ofCapacity),
                        "ratio");
    }
  }
}

const Registration sBalance("balance", RunBalance);

} // namespace
} // namespace rattandyke::bench
