/// Figures of the quarantine: a request that crashes whoever runs it.
#include "bench/bench.h"
#include "testing/poison_model.h"

namespace rattandyke::bench {
namespace {

constexpr uint64_t kSchedules = 100;

struct Worst
{
  uint64_t lost = 0;
  uint64_t banned = 0;
  double answered = 1;
};

Worst
WorstOf(testing::PoisonModelSettings aSettings)
{
  Worst worst;
  for (uint64_t schedule = 0; schedule < kSchedules; ++schedule) {
    aSettings.seed = kSeed + schedule;
    const auto result = testing::RunPoisonModel(aSettings);
    worst.lost = std::max(worst.lost, result.lostToPoison);
    worst.banned += result.innocentsBanned;
    worst.answered = std::min(worst.answered,
                              static_cast<double>(result.innocentsAnswered) /
                                static_cast<double>(result.innocentsSent));
  }
  return worst;
}

void
RunQuarantine(Reporter& aReporter)
{
  const Worst plain = WorstOf({});
  aReporter.AtMost(
    "poison_upstreams_lost_max", static_cast<double>(plain.lost), "count", 2);
  aReporter.AtMost(
    "innocents_banned", static_cast<double>(plain.banned), "count", 0);
  aReporter.Printed("poison_innocents_answered_min", plain.answered, "share");

  testing::PoisonModelSettings kills;
  kills.kills = 3;
  const Worst killed = WorstOf(kills);
  aReporter.AtMost("poison_upstreams_lost_max_beside_kills",
                   static_cast<double>(killed.lost),
                   "count",
                   2);
  aReporter.Printed("innocents_banned_beside_kills",
                    static_cast<double>(killed.banned),
                    "count");

  testing::PoisonModelSettings late;
  late.lateReports = 0.1;
  const Worst delayed = WorstOf(late);
  aReporter.Printed("poison_upstreams_lost_max_with_late_reports",
                    static_cast<double>(delayed.lost),
                    "count");
  aReporter.Printed("innocents_banned_with_late_reports",
                    static_cast<double>(delayed.banned),
                    "count");

  testing::PoisonModelSettings off;
  off.quarantine = false;
  aReporter.Printed("poison_upstreams_lost_max_without_quarantine",
                    static_cast<double>(WorstOf(off).lost),
                    "count");
}

const Registration sRegistration("entry_quarantine", RunQuarantine);

} // namespace
} // namespace rattandyke::bench
