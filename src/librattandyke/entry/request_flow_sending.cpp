#include "entry/request_flow_impl.h"

namespace rattandyke::entry {

namespace {

flow_effect::Use
UseOf(uint32_t aStatus)
{
  if (IsShed(aStatus)) {
    return flow_effect::Use::Shed;
  }
  return IsServerError(aStatus) ? flow_effect::Use::Failed
                                : flow_effect::Use::Succeeded;
}

} // namespace

bool
RequestFlow::Impl::InSending(uint32_t aAttempt) const
{
  return IsCurrent(aAttempt, Phase::Sending) ||
         IsCurrent(aAttempt, Phase::Sent) ||
         IsCurrent(aAttempt, Phase::Passing);
}

bool
RequestFlow::Impl::IsSent() const
{
  return mPhase == Phase::Sent || mPhase == Phase::Passing;
}

void
RequestFlow::Impl::BeginSend()
{
  mPhase = Phase::Sending;
  mOwner = *mLookup.owner;
  mSentAt = mNow;
  if (mSendings++ == 0) {
    mBudget.OnFirstSend();
  }
  mEffects.emplace_back(
    flow_effect::Send{ mAttempt, mOwner, mFacts.deadline - mNow });
}

void
RequestFlow::Impl::On(const flow_event::ConnectFailed& aEvent)
{
  if (IsCurrent(aEvent.attempt, Phase::Sent)) {
    return On(flow_event::AnswerBroken{ aEvent.attempt, false });
  }
  if (!IsCurrent(aEvent.attempt, Phase::Sending)) {
    return;
  }
  EndSlot(flow_effect::Use::Unreachable);
  EndTrial(flow_effect::TrialEnd::Unused);
  mPhase = Phase::Idle;
  // Nothing was sent, so waiting for another owner is no retry. The same owner
  // is not tried again: it would only be hammered while it is down.
  mAvoid = mOwner;
  Proceed();
}

/// The last moment at which the request can be held back: a process that stood
/// still since the lookup would otherwise send to a former owner.
void
RequestFlow::Impl::On(const flow_event::FirstByteSent& aEvent)
{
  if (!IsCurrent(aEvent.attempt, Phase::Sending)) {
    return;
  }
  mLookup = aEvent.lookup;
  if (mNow >= mFacts.deadline) {
    return Refuse(Code::DeadlineExceeded, milliseconds(0));
  }
  if (!MaySend() || mLookup.owner->fence != mOwner.fence) {
    LeaveUnsent();
    return Proceed();
  }
  MarkSent();
}

void
RequestFlow::Impl::MarkSent()
{
  mPhase = Phase::Sent;
  mMayHaveRun = true;
}

void
RequestFlow::Impl::On(const flow_event::UpstreamRefusedFence& aEvent)
{
  if (!InSending(aEvent.attempt) || mPhase == Phase::Passing) {
    return;
  }
  mMayHaveRun = false;
  EndSlot(flow_effect::Use::Cancelled);
  EndTrial(flow_effect::TrialEnd::Unused);
  mAvoid = mOwner;
  Retry(Code::NoOwner);
}

void
RequestFlow::Impl::On(const flow_event::AnswerHead& aEvent)
{
  if (!InSending(aEvent.attempt) || mPhase == Phase::Passing) {
    return;
  }
  MarkSent();
  mPhase = Phase::Passing;
  mStatus = aEvent.status;
  if (aEvent.notRunProof) {
    mMayHaveRun = false;
  }
  if (mReplied) {
    return;
  }
  mReplied = true;
  mPassing = true;
  mEffects.emplace_back(flow_effect::PassAnswer{
    mAttempt, aEvent.notRunProof ? OutcomeNow() : OutcomeOf(mStatus) });
}

void
RequestFlow::Impl::On(const flow_event::AnswerComplete& aEvent)
{
  if (!IsCurrent(aEvent.attempt, Phase::Passing)) {
    return;
  }
  if (mPassing) {
    mEffects.emplace_back(flow_effect::FinishAnswer{});
  }
  EndSlot(UseOf(mStatus));
  EndTrial(flow_effect::TrialEnd::Cleared);
  if (mClaim != 0 && mMayHaveRun) {
    auto complete = ClaimEffect<flow_effect::CompleteClaim>();
    *complete.call.mutable_answer() = aEvent.stored;
    mEffects.emplace_back(std::move(complete));
    mClaim = 0;
    mAsked = false;
  }
  SettleClaim();
  mPhase = Phase::Done;
}

void
RequestFlow::Impl::On(const flow_event::AnswerBroken& aEvent)
{
  if (IsCurrent(aEvent.attempt, Phase::Sending)) {
    return On(flow_event::ConnectFailed{ aEvent.attempt });
  }
  if (!InSending(aEvent.attempt)) {
    return;
  }
  if (aEvent.connectionLost) {
    mEffects.emplace_back(flow_effect::ReportCrash{ mOwner, mTrial });
  }
  EndSlot(aEvent.connectionLost ? flow_effect::Use::Broken
                                : flow_effect::Use::Failed);
  EndTrial(aEvent.connectionLost ? flow_effect::TrialEnd::Crashed
                                 : flow_effect::TrialEnd::Unused);
  if (mReplied) {
    AbortPassing(Code::UpstreamBroken);
    SettleClaim();
    mPhase = Phase::Done;
    return;
  }
  Retry(mFacts.idempotent ? Code::UpstreamBroken : Code::OutcomeUnknown);
}

/// @param aCode told to the caller if the request may not be sent again.
void
RequestFlow::Impl::Retry(Code aCode)
{
  mPhase = Phase::Idle;
  const Instant until = mNow + Jitter();
  const bool allowed = mFacts.idempotent && mFacts.replayable &&
                       mSendings < mSettings.maxSendings &&
                       until < mFacts.deadline;
  if (!allowed || !mBudget.TryTake()) {
    return Refuse(aCode, mSettings.retryAfter);
  }
  mEarlierMayHaveRun = mEarlierMayHaveRun || mMayHaveRun;
  mMayHaveRun = false;
  mWaitEnd.reset();
  mPhase = Phase::Backoff;
  Wait(until);
}

/// The caller has its answer, but the work runs on, and its answer is worth
/// keeping for a resend.
void
RequestFlow::Impl::Linger()
{
  Wait(mNow + mSettings.linger);
}

void
RequestFlow::Impl::EndSlot(flow_effect::Use aUse)
{
  mEffects.emplace_back(
    flow_effect::FreeSlot{ mAttempt, mOwner, aUse, mNow - mSentAt });
}

void
RequestFlow::Impl::AbortPassing(Code aCode)
{
  if (std::exchange(mPassing, false)) {
    mEffects.emplace_back(flow_effect::AbortAnswer{ aCode });
  }
}

void
RequestFlow::Impl::StopSend(flow_effect::Use aUse)
{
  mEffects.emplace_back(flow_effect::CancelSend{ mAttempt });
  AbortPassing(Code::DeadlineExceeded);
  EndSlot(aUse);
  EndTrial(flow_effect::TrialEnd::Unused);
  SettleClaim();
  mPhase = Phase::Done;
}

} // namespace rattandyke::entry
