#include "control/claim_table.h"

#include <gtest/gtest.h>

namespace rattandyke::control {
namespace {

class ClaimTableTest : public testing::Test
{
protected:
  wire::TakeClaim Call(uint64_t aSession,
                       uint64_t aAttempt,
                       const std::string& aDigest = "d")
  {
    wire::TakeClaim take;
    take.mutable_call()->set_service("board");
    take.mutable_call()->set_idempotency_key("k");
    take.mutable_call()->set_request_digest(aDigest);
    take.mutable_call()->set_retention_ms(1000);
    take.set_host("h");
    take.set_session(aSession);
    take.mutable_call()->set_attempt(aAttempt);
    return take;
  }

  wire::ClaimReply Take(const wire::TakeClaim& aTake)
  {
    return *table.Take(LogIndex{ ++index }, aTake, Now());
  }

  wire::CompleteClaimCall Completion(uint64_t aClaim, const std::string& aBody)
  {
    wire::CompleteClaimCall call;
    call.set_service("board");
    call.set_idempotency_key("k");
    call.set_claim(aClaim);
    call.mutable_answer()->set_status(201);
    call.mutable_answer()->set_body(aBody);
    return call;
  }

  wire::ReleaseClaim Freeing(uint64_t aSession, uint64_t aAttempt)
  {
    wire::ReleaseClaim release;
    release.mutable_call()->set_service("board");
    release.mutable_call()->set_idempotency_key("k");
    release.mutable_call()->set_attempt(aAttempt);
    release.set_host("h");
    release.set_session(aSession);
    return release;
  }

  WallTime Now() const { return WallTime{ std::chrono::milliseconds(now) }; }

  ClaimTable table;
  uint64_t index = 0;
  uint64_t now = 1'000'000;
};

// The caller sends a booking, gets no answer, and sends it again through
// another host while the first still runs, then once it is done.
TEST_F(ClaimTableTest, ARepeatRunsNothingAndGetsTheFirstAnswer)
{
  const auto first = Take(Call(1, 1));
  EXPECT_EQ(first.outcome(), wire::CLAIM_OUTCOME_GRANTED);
  EXPECT_EQ(Take(Call(2, 1)).outcome(), wire::CLAIM_OUTCOME_RUNNING);
  EXPECT_EQ(Take(Call(2, 2, "x")).outcome(), wire::CLAIM_OUTCOME_MISMATCH);
  table.Complete(Completion(first.claim(), "booked"), Now());
  const auto repeat = Take(Call(2, 3));
  EXPECT_EQ(repeat.outcome(), wire::CLAIM_OUTCOME_DONE);
  EXPECT_EQ(repeat.answer().body(), "booked");
  now += 1001;
  EXPECT_EQ(Take(Call(2, 4)).outcome(), wire::CLAIM_OUTCOME_GRANTED);
}

// The reply to a claim is lost and the same call comes again: it still holds
// the claim. A copy of that call that arrives after the claim was given back
// must not take it again, since nobody waits for it: the key would be blocked.
TEST_F(ClaimTableTest, CopiesOfOneAttemptAreOneAttempt)
{
  const auto first = Take(Call(1, 7));
  const auto copy = Take(Call(1, 7));
  EXPECT_EQ(copy.outcome(), wire::CLAIM_OUTCOME_GRANTED);
  EXPECT_EQ(copy.claim(), first.claim());
  table.Release(Freeing(1, 7), Now());
  const auto late = table.Take(LogIndex{ ++index }, Call(1, 7), Now());
  ASSERT_FALSE(late);
  EXPECT_EQ(late.error().code, Code::ProposalDropped);
  EXPECT_EQ(Take(Call(2, 1)).outcome(), wire::CLAIM_OUTCOME_GRANTED);
}

// The caller goes away before its claim was answered, and the release overtakes
// the claim on the way to the leader: the claim comes too late.
TEST_F(ClaimTableTest, AReleaseMayComeBeforeItsClaim)
{
  table.Release(Freeing(1, 1), Now());
  EXPECT_FALSE(table.Take(LogIndex{ ++index }, Call(1, 1), Now()));
  EXPECT_EQ(Take(Call(1, 2)).outcome(), wire::CLAIM_OUTCOME_GRANTED);
}

// The host that ran the request is lost: a repeat is told that the outcome is
// not known. If the host was only cut off and completes after all, its answer
// counts.
TEST_F(ClaimTableTest, ALostRunnerLeavesTheOutcomeUnknown)
{
  const auto first = Take(Call(1, 1));
  table.Orphan({ HostName{ "h" }, 1 }, Now());
  EXPECT_EQ(Take(Call(2, 1)).outcome(), wire::CLAIM_OUTCOME_UNKNOWN);
  EXPECT_TRUE(table.Runners().empty());
  table.Complete(Completion(first.claim(), "booked"), Now());
  EXPECT_EQ(Take(Call(2, 2)).outcome(), wire::CLAIM_OUTCOME_DONE);
}

// An old completion or release must not touch the claim that came after it.
TEST_F(ClaimTableTest, OnlyTheHolderEndsAClaim)
{
  const auto first = Take(Call(1, 1));
  table.Release(Freeing(1, 1), Now());
  const auto second = Take(Call(2, 1));
  table.Release(Freeing(1, 1), Now());
  table.Complete(Completion(first.claim(), "old"), Now());
  EXPECT_EQ(Take(Call(3, 1)).outcome(), wire::CLAIM_OUTCOME_RUNNING);
  table.Complete(Completion(second.claim(), "new"), Now());
  EXPECT_EQ(Take(Call(3, 2)).answer().body(), "new");
}

TEST_F(ClaimTableTest, LargeAnswersAreNotKept)
{
  const auto first = Take(Call(1, 1));
  table.Complete(Completion(first.claim(),
                            std::string(ClaimTable::kMostAnswerBytes + 1, 'x')),
                 Now());
  const auto repeat = Take(Call(2, 1));
  EXPECT_EQ(repeat.outcome(), wire::CLAIM_OUTCOME_DONE);
  EXPECT_TRUE(repeat.answer().body_dropped());
  EXPECT_EQ(repeat.answer().status(), 201U);
}

} // namespace
} // namespace rattandyke::control
