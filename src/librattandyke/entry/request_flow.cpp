#include "entry/request_flow_impl.h"

#include <algorithm>
#include <cassert>

namespace rattandyke::entry {

RequestFlow::Impl::Impl(RequestFacts aFacts,
                        Settings aSettings,
                        RetryBudget& aBudget,
                        uint64_t aSeed)
  : mFacts(std::move(aFacts))
  , mSettings(aSettings)
  , mBudget(aBudget)
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

bool
RequestFlow::Impl::IsCurrent(uint32_t aAttempt, Phase aPhase) const
{
  return mPhase == aPhase && mAttempt == aAttempt;
}

bool
RequestFlow::Impl::OwnerMoved() const
{
  return !mLookup.owner || mLookup.owner->upstream != mOwner.upstream ||
         mLookup.owner->incarnation != mOwner.incarnation;
}

bool
RequestFlow::Impl::MayUseOwner() const
{
  return mLookup.owner && mLookup.owner != mAvoid;
}

/// Whether the newest lookup still allows what was decided by an older one.
bool
RequestFlow::Impl::MaySend() const
{
  const bool leased = mLookup.tableLeaseValid || mOwner.checksFences;
  const bool free = mLookup.quarantine == QuarantineVerdict::Free;
  const bool onTrial =
    mTrial && mLookup.quarantine == QuarantineVerdict::Suspect;
  return !OwnerMoved() && leased && (free || onTrial);
}

void
RequestFlow::Impl::On(const flow_event::Start& aEvent)
{
  if (mPhase != Phase::Fresh) {
    return;
  }
  mLookup = aEvent.lookup;
  if (mNow >= mFacts.deadline) {
    return Refuse(Code::DeadlineExceeded, milliseconds(0));
  }
  return NeedsClaim() ? AskClaim() : Proceed();
}

/// Takes the next step towards the owner of the newest lookup.
void
RequestFlow::Impl::Proceed()
{
  // A timer set before has nothing to say any more: it must not end a later
  // sending.
  ++mWait;
  if (mLookup.quarantine == QuarantineVerdict::Banned) {
    return Refuse(Code::RequestBanned, milliseconds(0));
  }
  const bool checksFences = mLookup.owner && mLookup.owner->checksFences;
  if (!mLookup.tableLeaseValid && !checksFences) {
    // Without the lease the key may have a newer owner by now, and an upstream
    // that checks no fences would run the request beside it.
    return Refuse(Code::TableLeaseExpired, mSettings.retryAfter);
  }
  if (!mWaitEnd) {
    mWaitEnd = std::min(mNow + mFacts.maxQueueTime, mFacts.deadline);
  }
  if (!MayUseOwner()) {
    return AwaitOwner();
  }
  mOwner = *mLookup.owner;
  if (mLookup.quarantine == QuarantineVerdict::Suspect) {
    mPhase = Phase::Trial;
    mTrial = true;
    mEffects.emplace_back(
      flow_effect::AskTrial{ ++mAttempt, mOwner.upstream, mOwner.incarnation });
    return;
  }
  Queue();
}

/// A move leaves its keys without an owner for a moment; waiting through it
/// spares the caller an answer that it cannot use.
void
RequestFlow::Impl::AwaitOwner()
{
  if (mNow >= *mWaitEnd) {
    return Refuse(mAvoid && mLookup.owner ? Code::UpstreamUnreachable
                                          : Code::NoOwner,
                  mSettings.retryAfter);
  }
  mPhase = Phase::AwaitingOwner;
  Wait(*mWaitEnd);
}

void
RequestFlow::Impl::Queue()
{
  mPhase = Phase::Queued;
  mEffects.emplace_back(flow_effect::Enqueue{ ++mAttempt, mOwner, *mWaitEnd });
}

void
RequestFlow::Impl::On(const flow_event::TrialAnswered& aEvent)
{
  if (!IsCurrent(aEvent.attempt, Phase::Trial)) {
    return;
  }
  if (aEvent.granted) {
    return Queue();
  }
  mTrial = false;
  mPhase = Phase::Backoff;
  const Instant again = mNow + std::max(aEvent.retryAfter, Jitter());
  if (again >= *mWaitEnd) {
    return Refuse(Code::Overloaded, aEvent.retryAfter);
  }
  Wait(again);
}

void
RequestFlow::Impl::On(const flow_event::Admitted& aEvent)
{
  if (!IsCurrent(aEvent.attempt, Phase::Queued)) {
    return;
  }
  mLookup = aEvent.lookup;
  if (mNow >= mFacts.deadline) {
    return Refuse(Code::DeadlineExceeded, milliseconds(0));
  }
  if (!MaySend()) {
    LeaveUnsent();
    return Proceed();
  }
  BeginSend();
}

void
RequestFlow::Impl::On(const flow_event::Refused& aEvent)
{
  if (!IsCurrent(aEvent.attempt, Phase::Queued)) {
    return;
  }
  mPhase = Phase::Idle; // The queue let it go: there is nothing to leave.
  EndTrial(flow_effect::TrialEnd::Unused);
  Refuse(aEvent.code, aEvent.retryAfter);
}

void
RequestFlow::Impl::Wait(Instant aUntil)
{
  mEffects.emplace_back(flow_effect::WaitRetry{ ++mWait, aUntil });
}

/// Full jitter: requests that failed together do not come back together.
milliseconds
RequestFlow::Impl::Jitter()
{
  constexpr uint32_t kMostDoublings = 10;
  const auto doublings = std::min(mBackoffs++, kMostDoublings);
  const auto most =
    std::min(mSettings.backoff * (1 << doublings), mSettings.maxBackoff);
  std::uniform_int_distribution<int64_t> delay(1, most.count());
  return milliseconds(delay(mRandom));
}

void
RequestFlow::Impl::On(const flow_event::CallerGone& aEvent)
{
  if (mPhase == Phase::Done) {
    return;
  }
  mReplied = true;
  mPassing = false;
  if (!IsSent()) {
    return Refuse(Code::CallerGone, milliseconds(0));
  }
  if (mClaim == 0 || !aEvent.requestWhole) {
    return StopSend(flow_effect::Use::Cancelled);
  }
  if (mNow >= mFacts.deadline) {
    Linger();
  }
}

void
RequestFlow::Impl::On(const flow_event::DeadlinePassed& aEvent)
{
  if (mPhase == Phase::Done) {
    return;
  }
  if (mPassing) {
    return; // An answer that began in time may end after the deadline.
  }
  if (!IsSent()) {
    return Refuse(Code::DeadlineExceeded, milliseconds(0));
  }
  if (!mReplied) {
    Reply({ Code::DeadlineExceeded, OutcomeNow(), {}, "" });
  }
  return mClaim == 0 ? StopSend(flow_effect::Use::TimedOut) : Linger();
}

void
RequestFlow::Impl::On(const flow_event::OwnerChanged& aEvent)
{
  mLookup = aEvent.lookup;
  if (mPhase == Phase::AwaitingOwner && MayUseOwner()) {
    return Proceed();
  }
  const bool waiting = mPhase == Phase::Queued || mPhase == Phase::Trial;
  if (waiting && OwnerMoved()) {
    LeaveUnsent();
    Proceed();
  }
}

void
RequestFlow::Impl::On(const flow_event::RetryDelayOver& aEvent)
{
  if (aEvent.attempt != mWait) {
    return;
  }
  mLookup = aEvent.lookup;
  switch (mPhase) {
    case Phase::ClaimBackoff:
      return AskClaim();
    case Phase::AwaitingOwner:
    case Phase::Backoff:
      return Proceed();
    case Phase::Sent:
    case Phase::Passing:
      return StopSend(flow_effect::Use::TimedOut);
    default:
      return;
  }
}

void
RequestFlow::Impl::On(const flow_event::Banned& aEvent)
{
  mLookup.quarantine = QuarantineVerdict::Banned;
  const bool waiting = mPhase == Phase::AwaitingOwner ||
                       mPhase == Phase::Trial || mPhase == Phase::Queued ||
                       mPhase == Phase::Backoff;
  if (waiting) {
    Refuse(Code::RequestBanned, milliseconds(0));
  }
}

/// Leaves the queue or the trial; in Sending, where no byte was handed to a
/// socket yet, the connection.
void
RequestFlow::Impl::LeaveUnsent()
{
  if (mPhase == Phase::Queued) {
    mEffects.emplace_back(flow_effect::LeaveQueue{ mAttempt });
  }
  if (mPhase == Phase::Sending) {
    mEffects.emplace_back(flow_effect::CancelSend{ mAttempt });
    EndSlot(flow_effect::Use::Cancelled);
  }
  EndTrial(flow_effect::TrialEnd::Unused);
  mPhase = Phase::Idle;
}

void
RequestFlow::Impl::EndTrial(flow_effect::TrialEnd aEnd)
{
  if (std::exchange(mTrial, false)) {
    mEffects.emplace_back(flow_effect::EndTrial{ aEnd });
  }
}

/// Ends the request with an error made here.
void
RequestFlow::Impl::Refuse(Code aCode,
                          milliseconds aRetryAfter,
                          std::string aMessage)
{
  LeaveUnsent();
  if (!mReplied) {
    Reply({ aCode, OutcomeNow(), aRetryAfter, std::move(aMessage) });
  }
  SettleClaim();
  mPhase = Phase::Done;
}

void
RequestFlow::Impl::Reply(flow_effect::ReplyError aReply)
{
  assert(!mReplied);
  mReplied = true;
  mEffects.emplace_back(std::move(aReply));
}

RequestFlow::RequestFlow(RequestFacts aFacts,
                         Settings aSettings,
                         RetryBudget& aBudget,
                         uint64_t aSeed)
  : mImpl(std::make_unique<Impl>(std::move(aFacts), aSettings, aBudget, aSeed))
{
}

RequestFlow::~RequestFlow() = default;
RequestFlow::RequestFlow(RequestFlow&&) noexcept = default;
RequestFlow& RequestFlow::operator=(RequestFlow&&) noexcept = default;

std::vector<FlowEffect>
RequestFlow::Step(const FlowEvent& aEvent, Instant aNow)
{
  mImpl->mNow = aNow;
  std::visit([this](const auto& aEach) { mImpl->On(aEach); }, aEvent);
  return std::exchange(mImpl->mEffects, {});
}

bool
RequestFlow::Done() const
{
  return mImpl->mPhase == Impl::Phase::Done;
}

bool
RequestFlow::AwaitsOwner() const
{
  return mImpl->mPhase < Impl::Phase::Sending ||
         mImpl->mPhase == Impl::Phase::Backoff;
}

const RequestFacts&
RequestFlow::Facts() const
{
  return mImpl->mFacts;
}

} // namespace rattandyke::entry
