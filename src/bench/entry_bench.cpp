/// Figures of one request's decisions over random schedules, in virtual time.
#include "bench/bench.h"
#include "testing/request_model.h"

namespace rattandyke::bench {
namespace {

constexpr uint64_t kSchedules = 20000;

void
RunRequests(Reporter& aReporter)
{
  testing::RequestModelResult total;
  for (uint64_t schedule = 0; schedule < kSchedules; ++schedule) {
    testing::RequestModelSettings settings;
    settings.seed = kSeed + schedule;
    settings.entries = 1 + schedule % 4;
    settings.disturbances = schedule % 9;
    settings.faults = static_cast<double>(schedule % 40) / 100;
    total += testing::RunRequestModel(settings);
  }
  const auto value = [](uint64_t aCount) {
    return static_cast<double>(aCount);
  };
  aReporter.Printed("request_schedules", value(kSchedules), "count");
  aReporter.Printed("request_sendings", value(total.sendings), "count");
  aReporter.Printed("request_runs", value(total.runs), "count");
  aReporter.Printed("request_said_not_run", value(total.saidNotRun), "count");
  aReporter.Printed("request_said_unknown", value(total.saidUnknown), "count");
  aReporter.AtMost("double_runs", value(total.doubleRuns), "count", 0);
  aReporter.AtMost("false_not_run", value(total.falseNotRun), "count", 0);
  aReporter.AtMost("false_ran", value(total.falseRan), "count", 0);
  aReporter.AtMost("answers_missing", value(total.unanswered), "count", 0);
  aReporter.AtMost("answers_surplus", value(total.surplusAnswers), "count", 0);
  aReporter.AtMost("claims_or_slots_leaked", value(total.leaked), "count", 0);
}

const Registration sRegistration("entry_requests", RunRequests);

} // namespace
} // namespace rattandyke::bench
