#include "entry/request_flow.h"

#include <algorithm>
#include <optional>

#include <gtest/gtest.h>

namespace rattandyke::entry {
namespace {

using namespace std::chrono_literals;
namespace event = flow_event;
namespace effect = flow_effect;

constexpr Instant kStart{ 1h };

Lookup
LookupOf(std::string aUpstream, bool aLease = true, bool aChecksFences = true)
{
  return { OwnerView{ { std::move(aUpstream) }, 1, { 7 }, {}, aChecksFences },
           aLease,
           QuarantineVerdict::Free };
}

template<typename Effect>
std::optional<Effect>
Find(const std::vector<FlowEffect>& aEffects)
{
  for (const FlowEffect& each : aEffects) {
    if (const auto* found = std::get_if<Effect>(&each)) {
      return *found;
    }
  }
  return std::nullopt;
}

RequestFacts
FactsOf(bool aIdempotent, std::string aKey = "")
{
  RequestFacts facts;
  facts.number = 42;
  facts.idempotent = aIdempotent;
  facts.idempotencyKey = std::move(aKey);
  facts.deadline = kStart + 10s;
  facts.replayable = true;
  return facts;
}

/// A flow and the steps that most tests begin with.
class FlowTest : public ::testing::Test
{
protected:
  void Make(RequestFacts aFacts)
  {
    mFlow.emplace(std::move(aFacts), RequestFlow::Settings{}, mBudget, 1);
  }

  std::vector<FlowEffect> Step(const FlowEvent& aEvent, Duration aAfter = 0ms)
  {
    return mFlow->Step(aEvent, kStart + aAfter);
  }

  /// Up to Send; @return the attempt's number.
  uint32_t Admit(const Lookup& aLookup)
  {
    auto effects = Step(event::Start{ aLookup });
    if (const auto claim = Find<effect::Claim>(effects)) {
      wire::ClaimReply reply;
      reply.set_outcome(wire::CLAIM_OUTCOME_GRANTED);
      reply.set_claim(9);
      effects = Step(event::ClaimAnswered{ claim->attempt, reply });
    }
    const uint32_t attempt = Find<effect::Enqueue>(effects)->attempt;
    Step(event::Admitted{ attempt, aLookup });
    return attempt;
  }

  RetryBudget mBudget{ {} };
  std::optional<RequestFlow> mFlow;
};

/// The entry stands still between the lookup and the write, and the key moves
/// meanwhile. Nothing is written to the former owner: the request queues for
/// the new one, and its caller sees one late answer and one run.
TEST_F(FlowTest, DoesNotSendToAFormerOwnerAfterAPause)
{
  Make(FactsOf(false));
  const uint32_t attempt = Admit(LookupOf("old"));
  const auto effects =
    Step(event::FirstByteSent{ attempt, LookupOf("new") }, 5s);
  EXPECT_TRUE(Find<effect::CancelSend>(effects));
  EXPECT_EQ(Find<effect::Enqueue>(effects)->owner.upstream.value, "new");
}

/// As before, but the upstream checks no fences and the table lease ran out in
/// the pause. The caller hears at once that it did not run.
TEST_F(FlowTest, DoesNotSendWithoutLeaseToAnUpstreamThatChecksNoFences)
{
  Make(FactsOf(false));
  const uint32_t attempt = Admit(LookupOf("u", true, false));
  const auto effects =
    Step(event::FirstByteSent{ attempt, LookupOf("u", false, false) }, 2s);
  EXPECT_TRUE(Find<effect::CancelSend>(effects));
  EXPECT_EQ(Find<effect::ReplyError>(effects)->code, Code::TableLeaseExpired);
  EXPECT_EQ(Find<effect::ReplyError>(effects)->outcome, Outcome::NotRun);
}

/// A resent booking meets a register without quorum. Whether its first sending
/// ran is not known, so the caller must not hear "not run"; and the claim,
/// which may have been committed, is released by its attempt.
TEST_F(FlowTest, SaysUnknownWhenTheRegisterCannotBeAsked)
{
  Make(FactsOf(false, "key"));
  const auto claim = Find<effect::Claim>(Step(event::Start{ LookupOf("u") }));
  const auto effects = Step(
    event::ClaimAnswered{ claim->attempt, Fail(Code::NoQuorum, "No answer.") });
  EXPECT_EQ(Find<effect::ReplyError>(effects)->code, Code::ClaimUnavailable);
  EXPECT_EQ(Find<effect::ReplyError>(effects)->outcome, Outcome::Unknown);
  const auto release = Find<effect::ReleaseClaim>(effects);
  EXPECT_EQ(release->call.claim(), 0u);
  EXPECT_EQ(release->call.attempt(), 42u);
}

/// The caller of a booking gives up while the upstream works. The work goes on
/// and its answer is kept, so that the resend gets it instead of "unknown".
TEST_F(FlowTest, KeepsTheAnswerOfACallerThatLeft)
{
  Make(FactsOf(false, "key"));
  const uint32_t attempt = Admit(LookupOf("u"));
  Step(event::FirstByteSent{ attempt, LookupOf("u") });
  EXPECT_TRUE(Step(event::CallerGone{ true }).empty());
  EXPECT_TRUE(Step(event::AnswerHead{ attempt, 201 }).empty());
  wire::StoredAnswer stored;
  stored.set_status(201);
  const auto effects = Step(event::AnswerComplete{ attempt, stored });
  EXPECT_FALSE(Find<effect::FinishAnswer>(effects));
  EXPECT_EQ(Find<effect::CompleteClaim>(effects)->call.answer().status(), 201u);
  EXPECT_TRUE(mFlow->Done());
}

/// An upstream dies in the middle of an answer. What the caller got must not
/// pass for a whole answer, and even a look-up is not sent again: a second
/// answer cannot be joined to half of the first.
TEST_F(FlowTest, BreaksOffAnAnswerThatBroke)
{
  Make(FactsOf(true));
  const uint32_t attempt = Admit(LookupOf("u"));
  Step(event::FirstByteSent{ attempt, LookupOf("u") });
  Step(event::AnswerHead{ attempt, 200 });
  const auto effects = Step(event::AnswerBroken{ attempt, true });
  EXPECT_TRUE(Find<effect::AbortAnswer>(effects));
  EXPECT_FALSE(Find<effect::WaitRetry>(effects));
  EXPECT_TRUE(mFlow->Done());
}

/// A look-up's connection breaks a moment before its deadline. A retry could
/// only come too late, so its caller hears so now and not at the deadline.
TEST_F(FlowTest, AnswersAtOnceWhenARetryWouldComeTooLate)
{
  Make(FactsOf(true));
  const uint32_t attempt = Admit(LookupOf("u"));
  Step(event::FirstByteSent{ attempt, LookupOf("u") });
  const auto effects = Step(event::AnswerBroken{ attempt, true }, 10s - 1ms);
  EXPECT_EQ(Find<effect::ReplyError>(effects)->code, Code::UpstreamBroken);
  EXPECT_GT(Find<effect::ReplyError>(effects)->retryAfter, 0ms);
}

/// A suspect waits for its turn while another one is on trial, then takes the
/// upstream with it: the trial ends as a crash, with its report marked so.
TEST_F(FlowTest, RunsASuspectOnATrialOnly)
{
  Make(FactsOf(false));
  Lookup suspect = LookupOf("u");
  suspect.quarantine = QuarantineVerdict::Suspect;
  auto effects = Step(event::Start{ suspect });
  const auto first = Find<effect::AskTrial>(effects);
  effects = Step(event::TrialAnswered{ first->attempt, false, 50ms });
  const auto wait = Find<effect::WaitRetry>(effects);
  ASSERT_TRUE(wait);
  effects = Step(event::RetryDelayOver{ wait->attempt, suspect }, 100ms);
  const auto second = Find<effect::AskTrial>(effects);
  effects = Step(event::TrialAnswered{ second->attempt, true, 0ms }, 100ms);
  const uint32_t attempt = Find<effect::Enqueue>(effects)->attempt;
  Step(event::Admitted{ attempt, suspect }, 100ms);
  Step(event::FirstByteSent{ attempt, suspect }, 100ms);
  effects = Step(event::AnswerBroken{ attempt, true }, 110ms);
  EXPECT_TRUE(Find<effect::ReportCrash>(effects)->onTrial);
  EXPECT_EQ(Find<effect::EndTrial>(effects)->end, effect::TrialEnd::Crashed);
  EXPECT_EQ(Find<effect::ReplyError>(effects)->outcome, Outcome::Unknown);
}

} // namespace
} // namespace rattandyke::entry
