#include "entry/request_flow_impl.h"

#include <algorithm>

namespace rattandyke::entry {

bool
RequestFlow::Impl::NeedsClaim() const
{
  return !mFacts.idempotent && !mFacts.idempotencyKey.empty();
}

/// A resend under the same key may have run before; only the register's grant
/// tells that it did not. Without this a caller whose first sending ran would
/// be told "not run" because its resend was refused, and would book again.
Outcome
RequestFlow::Impl::OutcomeNow() const
{
  const bool earlierUnknown = NeedsClaim() && mClaim == 0;
  const bool mayHaveRun = mMayHaveRun || mEarlierMayHaveRun;
  return earlierUnknown || mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

void
RequestFlow::Impl::AskClaim()
{
  mPhase = Phase::Claiming;
  mAsked = true;
  flow_effect::Claim claim;
  claim.attempt = ++mAttempt;
  claim.call.set_service(mFacts.service.value);
  claim.call.set_customer(mFacts.customer.value);
  claim.call.set_idempotency_key(mFacts.idempotencyKey);
  claim.call.set_request_digest(mFacts.digest);
  claim.call.set_retention_ms(
    static_cast<uint64_t>(milliseconds(mFacts.retention).count()));
  claim.call.set_attempt(mFacts.number);
  claim.timeout =
    std::min<Duration>(mSettings.claimTimeout, mFacts.deadline - mNow);
  mEffects.emplace_back(std::move(claim));
}

/// Another sending of the key runs: its answer will be this one's too.
void
RequestFlow::Impl::AskClaimLater()
{
  mPhase = Phase::ClaimBackoff;
  const Instant until = mNow + Jitter();
  if (until >= mFacts.deadline) {
    return Refuse(Code::DeadlineExceeded, mSettings.retryAfter);
  }
  Wait(until);
}

void
RequestFlow::Impl::On(const flow_event::ClaimAnswered& aEvent)
{
  if (!IsCurrent(aEvent.attempt, Phase::Claiming)) {
    return;
  }
  if (!aEvent.reply) {
    return Refuse(Code::ClaimUnavailable,
                  mSettings.retryAfter,
                  aEvent.reply.error().message);
  }
  OnClaim(*aEvent.reply);
}

void
RequestFlow::Impl::OnClaim(const wire::ClaimReply& aReply)
{
  switch (aReply.outcome()) {
    case wire::CLAIM_OUTCOME_GRANTED:
      mClaim = aReply.claim();
      return Proceed();
    case wire::CLAIM_OUTCOME_RUNNING:
      return AskClaimLater();
    case wire::CLAIM_OUTCOME_DONE:
      mPhase = Phase::Done;
      if (aReply.answer().body_dropped()) {
        return Reply({ Code::AnswerNotKept, Outcome::Ran, {}, "" });
      }
      mReplied = true;
      mEffects.emplace_back(flow_effect::ReplyStored{
        aReply.answer(), OutcomeOf(aReply.answer().status()) });
      return;
    case wire::CLAIM_OUTCOME_UNKNOWN:
      mPhase = Phase::Done;
      return Reply({ Code::OutcomeUnknown, Outcome::Unknown, {}, "" });
    case wire::CLAIM_OUTCOME_MISMATCH:
      mPhase = Phase::Done;
      return Reply({ Code::IdempotencyKeyReused, Outcome::NotRun, {}, "" });
    default:
      return Refuse(Code::ClaimUnavailable, mSettings.retryAfter);
  }
}

/// Completes the claim as unknown, or releases it if the request did not run.
/// A claim that is not known to be held is released by its attempt: a call
/// that was given up, or a late copy of one that was answered, may still be
/// granted, and a resend would wait for a run that never comes.
void
RequestFlow::Impl::SettleClaim()
{
  if (mClaim != 0 && mMayHaveRun) {
    auto complete = ClaimEffect<flow_effect::CompleteClaim>();
    complete.call.set_unknown(true);
    mEffects.emplace_back(std::move(complete));
  } else if (mAsked) {
    auto release = ClaimEffect<flow_effect::ReleaseClaim>();
    release.call.set_attempt(mFacts.number);
    mEffects.emplace_back(std::move(release));
  }
  mClaim = 0;
  mAsked = false;
}

} // namespace rattandyke::entry
