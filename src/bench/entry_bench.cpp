/// Figures of one request's decisions over random schedules, in virtual time.
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
const Registration sRegistration("entry_requests", RunRequests);

} // namespace
} // namespace rattandyke::bench
