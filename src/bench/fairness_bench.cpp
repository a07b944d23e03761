/// Figures of fairness and overload at one upstream, in virtual time.
#include "bench/bench.h"
#include "testing/overload_model.h"

namespace rattandyke::bench {
namespace {

using testing::OverloadResult;
using testing::OverloadSettings;
using testing::Sharing;
using namespace std::chrono_literals;

/// Ten times the share of one of eleven customers.
constexpr double kTenShares = 10.0 / 11.0;
constexpr double kPercentile = 0.99;

struct Way
{
  Sharing sharing;
  std::string name;
};

struct Fairness
{
  double ratio = 0;
  double goodput = 0;
  double calmP99 = 0;
  double calmMedian = 0;
  size_t mostAtUpstream = 0;
};

Fairness
Measure(OverloadSettings aSettings)
{
  aSettings.seed = kSeed;
  aSettings.dominantLoad = 0;
  const OverloadResult calm = testing::RunOverloadModel(aSettings);
  aSettings.dominantLoad = kTenShares;
  const OverloadResult loaded = testing::RunOverloadModel(aSettings);
  const double calmP99 = Percentile(calm.smallLatencies, kPercentile);
  return { Percentile(loaded.smallLatencies, kPercentile) / calmP99,
           static_cast<double>(loaded.smallAnswered) /
             static_cast<double>(loaded.smallSent),
           calmP99,
           Percentile(calm.smallLatencies, 0.5),
           loaded.mostAtUpstream };
}

double
GoodputAtTwice(OverloadSettings aSettings)
{
  aSettings.seed = kSeed;
  aSettings.smallLoad = 1;
  const double peak = testing::RunOverloadModel(aSettings).goodput;
  aSettings.smallLoad = 2;
  return testing::RunOverloadModel(aSettings).goodput / peak;
}

void
Compare(Reporter& aReporter, const Way& aWay, Duration aOneWay)
{
  OverloadSettings settings;
  settings.sharing = aWay.sharing;
  settings.oneWay = aOneWay;
  settings.slots = aOneWay > 1ms ? 4 : 2;
  const std::string name =
    aWay.name + (aOneWay > 1ms ? "_agency" : "_association");
  const Fairness fairness = Measure(settings);
  aReporter.Printed("small_p99_ratio_" + name, fairness.ratio, "ratio");
  aReporter.Printed("small_goodput_" + name, fairness.goodput, "share");
  aReporter.Printed("calm_median_" + name, fairness.calmMedian, "ms");
  aReporter.Printed("calm_p99_" + name, fairness.calmP99, "ms");
  aReporter.Printed("most_at_upstream_" + name,
                    static_cast<double>(fairness.mostAtUpstream),
                    "count");
  aReporter.Printed("goodput_at_2x_" + name, GoodputAtTwice(settings), "ratio");
}

void
RunFairness(Reporter& aReporter)
{
  const std::vector<Way> ways{ { Sharing::None, "unlimited" },
                               { Sharing::LocalFull, "local_full" },
                               { Sharing::LocalOne, "local_one" },
                               { Sharing::Credits, "credits" },
                               { Sharing::HomeEntry, "home_entry" } };
  for (const Duration oneWay : { Duration(500us), Duration(1500us) }) {
    for (const Way& way : ways) {
      Compare(aReporter, way, oneWay);
    }
  }
}

/// The figures of the way that was chosen, and, without a bound, of the way in
/// which hosts run until it is carried between them.
void
RunBounds(Reporter& aReporter)
{
  for (const Duration oneWay : { Duration(500us), Duration(1500us) }) {
    const bool agency = oneWay > 1ms;
    const std::string name = agency ? "_agency" : "_association";
    OverloadSettings settings;
    settings.oneWay = oneWay;
    settings.slots = agency ? 4 : 2;
    const Fairness fairness = Measure(settings);
    aReporter.AtMost(
      "credits_small_customer_p99_ratio" + name, fairness.ratio, "ratio", 1.5);
    aReporter.AtLeast(
      "credits_small_customer_goodput" + name, fairness.goodput, "share", 0.99);
    aReporter.AtLeast("credits_goodput_at_2x_overload" + name,
                      GoodputAtTwice(settings),
                      "ratio",
                      0.9);
    OverloadSettings running = settings;
    running.sharing = Sharing::LocalFull;
    const Fairness today = Measure(running);
    aReporter.Printed(
      "running_small_customer_p99_ratio" + name, today.ratio, "ratio");
    aReporter.Printed(
      "running_small_customer_goodput" + name, today.goodput, "share");
    aReporter.Printed("running_goodput_at_2x_overload" + name,
                      GoodputAtTwice(running),
                      "ratio");
    settings.homePause = 5s;
    const Fairness paused = Measure(settings);
    aReporter.AtLeast("credits_small_customer_goodput_home_paused" + name,
                      paused.goodput,
                      "share",
                      0.99);
    settings.homePause = {};
    settings.busyEntries = 1;
    const Fairness idle = Measure(settings);
    aReporter.AtMost("credits_small_customer_p99_ratio_idle_entries" + name,
                     idle.ratio,
                     "ratio",
                     1.5);
  }
}

const Registration sBounds("entry_fairness", RunBounds);

/// Takes long and only compares; run when the choice is in question.
const Registration sRegistration("entry_sharing", RunFairness);

} // namespace
} // namespace rattandyke::bench
