/// State of RequestFlow; private to its source files.
#pragma once

#include <random>
#include <utility>

#include "entry/request_flow.h"

namespace rattandyke::entry {

using std::chrono::milliseconds;

struct RequestFlow::Impl
{
  enum class Phase
  {
    Fresh,
    /// Between two steps: nothing is asked, queued or sent.
    Idle,
    Claiming,
    ClaimBackoff,
    AwaitingOwner,
    Trial,
    Queued,
    Sending,
    Sent,
    Passing,
    Backoff,
    Done,
  };

  Impl(RequestFacts aFacts,
       Settings aSettings,
       RetryBudget& aBudget,
       uint64_t aSeed);

  void On(const flow_event::Start& aEvent);
  void On(const flow_event::ClaimAnswered& aEvent);
  void On(const flow_event::TrialAnswered& aEvent);
  void On(const flow_event::Admitted& aEvent);
  void On(const flow_event::Refused& aEvent);
  void On(const flow_event::ConnectFailed& aEvent);
  void On(const flow_event::FirstByteSent& aEvent);
  void On(const flow_event::UpstreamRefusedFence& aEvent);
  void On(const flow_event::AnswerHead& aEvent);
  void On(const flow_event::AnswerBroken& aEvent);
  void On(const flow_event::AnswerComplete& aEvent);
  void On(const flow_event::CallerGone& aEvent);
  void On(const flow_event::DeadlinePassed& aEvent);
  void On(const flow_event::OwnerChanged& aEvent);
  void On(const flow_event::RetryDelayOver& aEvent);
  void On(const flow_event::Banned& aEvent);

  bool NeedsClaim() const;
  bool IsCurrent(uint32_t aAttempt, Phase aPhase) const;
  bool InSending(uint32_t aAttempt) const;
  bool IsSent() const;
  bool OwnerMoved() const;
  bool MayUseOwner() const;
  bool MaySend() const;
  Outcome OutcomeNow() const;

  /// @return CompleteClaim or ReleaseClaim with what names the claim.
  template<typename Effect>
  Effect ClaimEffect() const
  {
    Effect effect;
    effect.call.set_service(mFacts.service.value);
    effect.call.set_customer(mFacts.customer.value);
    effect.call.set_idempotency_key(mFacts.idempotencyKey);
    effect.call.set_claim(mClaim);
    return effect;
  }

  void AskClaim();
  void AskClaimLater();
  void OnClaim(const wire::ClaimReply& aReply);
  void Proceed();
  void AwaitOwner();
  void Queue();
  void BeginSend();
  void MarkSent();
  void Retry(Code aCode);
  void Wait(Instant aUntil);
  milliseconds Jitter();

  void LeaveUnsent();
  void EndTrial(flow_effect::TrialEnd aEnd);
  void EndSlot(flow_effect::Use aUse);
  void SettleClaim();
  void Refuse(Code aCode, milliseconds aRetryAfter, std::string aMessage = "");
  void Reply(flow_effect::ReplyError aReply);
  void StopSend(flow_effect::Use aUse);
  void AbortPassing(Code aCode);
  void Linger();

  const RequestFacts mFacts;
  const Settings mSettings;
  RetryBudget& mBudget;
  std::minstd_rand mRandom;

  Phase mPhase = Phase::Fresh;
  Instant mNow{};
  std::vector<FlowEffect> mEffects;
  Lookup mLookup;
  /// Number of the newest Claim, AskTrial or Enqueue.
  uint32_t mAttempt = 0;
  /// Number of the newest WaitRetry.
  uint32_t mWait = 0;
  uint32_t mBackoffs = 0;
  uint32_t mSendings = 0;
  /// End of the wait for an owner and in the queue, for this sending.
  std::optional<Instant> mWaitEnd;
  /// Whom this attempt is for.
  OwnerView mOwner;
  /// An owner that cannot take the request: unreachable, or without its grant.
  std::optional<OwnerView> mAvoid;
  Instant mSentAt{};
  /// 0: none is held.
  uint64_t mClaim = 0;
  /// The register was asked for a claim that was not settled yet.
  bool mAsked = false;
  bool mTrial = false;
  /// A sending before this one may have run.
  bool mEarlierMayHaveRun = false;
  /// This sending may have run.
  bool mMayHaveRun = false;
  uint32_t mStatus = 0;
  /// The final answer was given, or nobody is left to have it.
  bool mReplied = false;
  /// The upstream's answer is being passed on to a caller that is there.
  bool mPassing = false;
};

} // namespace rattandyke::entry
