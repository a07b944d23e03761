/// Figures of one request's decisions over random schedules, in virtual time.
#include <rattandyke/admission.h>

#include "bench/bench.h"
#include "entry/request_flow.h"
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

namespace event = entry::flow_event;
namespace effect = entry::flow_effect;

constexpr uint64_t kRetriedRequests = 30000;
constexpr uint64_t kUpstreams = 9;

/// An idempotent request whose upstream breaks every connection, or answers.
/// Everything else goes well at once.
class RetriedRequest
{
public:
  RetriedRequest(entry::RetryBudget& aBudget, uint64_t aNumber)
    : mFails(aNumber % kUpstreams % 3 == 0)
    , mNow(std::chrono::hours(1))
    , mFlow(Facts(mNow), {}, aBudget, aNumber)
  {
  }

  /// @return how often it was sent.
  uint64_t Run()
  {
    Deliver(event::Start{ mLookup });
    return mSendings;
  }

private:
  static entry::RequestFacts Facts(Instant aNow)
  {
    entry::RequestFacts facts;
    facts.idempotent = true;
    facts.replayable = true;
    facts.deadline = aNow + std::chrono::seconds(10);
    return facts;
  }

  void Deliver(const entry::FlowEvent& aEvent)
  {
    for (const entry::FlowEffect& next : mFlow.Step(aEvent, mNow)) {
      std::visit([this](const auto& aOne) { Do(aOne); }, next);
    }
  }

  void Do(const effect::Enqueue& aEffect)
  {
    Deliver(event::Admitted{ aEffect.attempt, mLookup });
  }

  void Do(const effect::Send& aEffect)
  {
    ++mSendings;
    Deliver(event::FirstByteSent{ aEffect.attempt, mLookup });
    if (mFails) {
      return Deliver(event::AnswerBroken{ aEffect.attempt, true });
    }
    Deliver(event::AnswerHead{ aEffect.attempt, 200, false });
    Deliver(event::AnswerComplete{ aEffect.attempt, {} });
  }

  void Do(const effect::WaitRetry& aEffect)
  {
    mNow = aEffect.until;
    Deliver(event::RetryDelayOver{ aEffect.attempt, mLookup });
  }

  template<typename Other>
  void Do(const Other&)
  {
  }

  const bool mFails;
  const entry::Lookup mLookup{ entry::OwnerView{}, true, {} };
  Instant mNow;
  entry::RequestFlow mFlow;
  uint64_t mSendings = 0;
};

void
RunRetries(Reporter& aReporter)
{
  entry::RetryBudget budget({});
  uint64_t sendings = 0;
  for (uint64_t number = 0; number < kRetriedRequests; ++number) {
    sendings += RetriedRequest(budget, number).Run();
  }
  aReporter.AtMost("retry_amplification",
                   static_cast<double>(sendings) /
                     static_cast<double>(kRetriedRequests),
                   "ratio",
                   1.10);
}

const Registration sRetries("entry_retries", RunRetries);
/// Cost of the decisions on one request that goes well.
void
RunCost(Reporter& aReporter)
{
  entry::RetryBudget budget({});
  constexpr uint64_t kCalls = 20000;
  constexpr uint64_t kGoesWell = 1;
  const double flow = NanosecondsPerCall(
    kCalls, [&] { KeepAlive(RetriedRequest(budget, kGoesWell).Run()); });
  aReporter.Printed("request_flow_time", flow, "ns");
}

const Registration sCost("entry_cost", RunCost);

/// Admitting one request and finishing another while aCustomers wait.
double
AdmissionTime(uint64_t aCustomers)
{
  using namespace admission;
  auto queue = std::move(*AdmissionRegistry::Make(
    "fair", { .slots = 2, .maxQueueTime = std::chrono::hours(1) }));
  const Instant now{ std::chrono::hours(1) };
  uint64_t ticket = 0;
  std::vector<Ticket> running;
  const auto step = [&](const Event& aEvent) {
    for (const Effect& effect : queue->Step(aEvent, now)) {
      if (const auto* admit = std::get_if<Admit>(&effect)) {
        running.push_back(admit->ticket);
      }
    }
  };
  const auto offer = [&] {
    const uint64_t number = ++ticket;
    step(Offer{ { number },
                { "customer-" + std::to_string(number % aCustomers) },
                {},
                now + std::chrono::hours(1),
                now + std::chrono::hours(1) });
  };
  for (uint64_t i = 0; i < aCustomers + 2; ++i) {
    offer();
  }
  constexpr uint64_t kCalls = 2000;
  return NanosecondsPerCall(kCalls, [&] {
    const Ticket done = running.front();
    running.erase(running.begin());
    step(
      Finished{ done, Ending::Succeeded, std::chrono::milliseconds(10), {} });
    offer();
  });
}

void
RunAdmissionCost(Reporter& aReporter)
{
  aReporter.Printed("admission_time_10_customers", AdmissionTime(10), "ns");
  aReporter.Printed("admission_time_100_customers", AdmissionTime(100), "ns");
  aReporter.Printed("admission_time_1000_customers", AdmissionTime(1000), "ns");
}

const Registration sAdmissionCost("entry_admission_cost", RunAdmissionCost);

const Registration sRegistration("entry_requests", RunRequests);

} // namespace
} // namespace rattandyke::bench
