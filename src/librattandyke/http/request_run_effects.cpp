#include <boost/asio/post.hpp>

#include "http/request_run.h"

namespace rattandyke::http {

namespace asio = boost::asio;
namespace flow_effect = entry::flow_effect;
namespace flow_event = entry::flow_event;

namespace {

constexpr std::chrono::seconds kRepeatTimeout{ 2 };
constexpr std::chrono::milliseconds kRepeatPause{ 100 };
constexpr std::chrono::seconds kTrialTimeout{ 1 };
constexpr std::chrono::milliseconds kTrialRetryAfter{ 100 };
/// A request tries far fewer than 256 times.
constexpr unsigned kAttemptBits = 8;

admission::Ending
AdmissionEnding(flow_effect::Use aUse)
{
  using flow_effect::Use;
  switch (aUse) {
    case Use::Succeeded:
      return admission::Ending::Succeeded;
    case Use::Shed:
      return admission::Ending::Shed;
    case Use::Cancelled:
    case Use::Unreachable:
      return admission::Ending::Cancelled;
    case Use::Failed:
    case Use::Broken:
    case Use::TimedOut:
      break;
  }
  return admission::Ending::Failed;
}

std::optional<agent::EvidenceKind>
EvidenceOf(flow_effect::Use aUse)
{
  using flow_effect::Use;
  switch (aUse) {
    case Use::Succeeded:
      return agent::EvidenceKind::Succeeded;
    case Use::Shed:
      return agent::EvidenceKind::Shed;
    case Use::Unreachable:
      return agent::EvidenceKind::Unreachable;
    case Use::Cancelled:
      return std::nullopt;
    case Use::Failed:
    case Use::Broken:
    case Use::TimedOut:
      break;
  }
  return agent::EvidenceKind::Failed;
}

std::optional<health::Observation>
ObservationOf(flow_effect::Use aUse)
{
  using flow_effect::Use;
  switch (aUse) {
    case Use::Succeeded:
      return health::Observation::Succeeded;
    case Use::Shed:
      return health::Observation::Shed;
    case Use::Failed:
      return health::Observation::Failed;
    case Use::Cancelled:
      return std::nullopt;
    case Use::Unreachable:
    case Use::Broken:
    case Use::TimedOut:
      break;
  }
  return health::Observation::Unreachable;
}

bool
MayComeTrueLater(Code aCode)
{
  return aCode == Code::NoQuorum || aCode == Code::NotLeader ||
         aCode == Code::ProposalDropped || aCode == Code::TransportFailed;
}

void CallUntilAnswered(const std::shared_ptr<EntryContext>& aContext,
                       wire::CallRequest aRequest);

/// Not at once: an answer that comes without delay would be asked for in a
/// tight loop.
void
CallAgainLater(const std::shared_ptr<EntryContext>& aContext,
               wire::CallRequest aRequest)
{
  auto timer =
    std::make_shared<asio::steady_timer>(aContext->executor, kRepeatPause);
  timer->async_wait([aContext,
                     timer,
                     request = std::move(aRequest),
                     work = OpenWork(aContext->openWork)](const error_code&) {
    CallUntilAnswered(aContext, request);
  });
}

/// Repeats a call until the leader has answered. A claim left open would hold
/// up every resend of its key until it expires, and a crash that is not
/// reported costs another upstream.
void
CallUntilAnswered(const std::shared_ptr<EntryContext>& aContext,
                  wire::CallRequest aRequest)
{
  if (aContext->stopped) {
    return;
  }
  const auto onReply =
    [aContext, aRequest, work = OpenWork(aContext->openWork)](
      const Result<wire::CallReply>& aReply) {
      if (!aReply && MayComeTrueLater(aReply.error().code)) {
        CallAgainLater(aContext, aRequest);
      }
    };
  aContext->host.Call(std::move(aRequest), kRepeatTimeout, onReply);
}

flow_event::TrialAnswered
TrialEventOf(uint32_t aAttempt, const Result<wire::CallReply>& aReply)
{
  if (!aReply) {
    return { aAttempt, false, kTrialRetryAfter };
  }
  const wire::TrialReply& trial = aReply->trial();
  return { aAttempt,
           trial.granted(),
           std::chrono::milliseconds{ trial.retry_after_ms() } };
}

wire::TrialStep
StepOf(flow_effect::TrialEnd aEnd)
{
  switch (aEnd) {
    case flow_effect::TrialEnd::Cleared:
      return wire::TRIAL_STEP_CLEARED;
    case flow_effect::TrialEnd::Crashed:
      return wire::TRIAL_STEP_CRASHED;
    case flow_effect::TrialEnd::Unused:
      break;
  }
  return wire::TRIAL_STEP_UNUSED;
}

Result<wire::ClaimReply>
ClaimReplyOf(const Result<wire::CallReply>& aReply)
{
  if (!aReply) {
    return tl::unexpected(aReply.error());
  }
  return aReply->claim();
}

std::chrono::milliseconds
InMilliseconds(Duration aTime)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aTime);
}

} // namespace

void
RequestRun::Execute(flow_effect::Claim aEffect)
{
  wire::CallRequest request;
  *request.mutable_claim() = std::move(aEffect.call);
  mContext.host.Call(
    std::move(request),
    aEffect.timeout,
    [self = shared_from_this(),
     attempt = aEffect.attempt](const Result<wire::CallReply>& aReply) {
      asio::post(self->mStrand, [self, attempt, reply = ClaimReplyOf(aReply)] {
        self->Deliver(flow_event::ClaimAnswered{ attempt, reply });
      });
    });
}

void
RequestRun::Execute(flow_effect::CompleteClaim aEffect)
{
  wire::CallRequest request;
  *request.mutable_complete_claim() = std::move(aEffect.call);
  CallUntilAnswered(mContextOwner, std::move(request));
}

void
RequestRun::Execute(flow_effect::ReleaseClaim aEffect)
{
  wire::CallRequest request;
  *request.mutable_release_claim() = std::move(aEffect.call);
  CallUntilAnswered(mContextOwner, std::move(request));
}

void
RequestRun::Execute(flow_effect::AskTrial aEffect)
{
  mTrial.set_service(mRequest.record->name.value);
  mTrial.set_fingerprint(mFlow.Facts().fingerprint);
  mTrial.set_upstream(aEffect.upstream.value);
  mTrial.set_incarnation(aEffect.incarnation);
  mTrial.set_attempt((mFlow.Facts().number << kAttemptBits) | aEffect.attempt);
  mTrial.set_step(wire::TRIAL_STEP_ASK);
  wire::CallRequest request;
  *request.mutable_trial() = mTrial;
  mContext.host.Call(
    std::move(request),
    kTrialTimeout,
    [self = shared_from_this(),
     attempt = aEffect.attempt](const Result<wire::CallReply>& aReply) {
      asio::post(self->mStrand, [self, event = TrialEventOf(attempt, aReply)] {
        self->Deliver(event);
      });
    });
}

void
RequestRun::Execute(flow_effect::EndTrial aEffect)
{
  mTrial.set_step(StepOf(aEffect.end));
  wire::CallRequest request;
  *request.mutable_trial() = mTrial;
  CallUntilAnswered(mContextOwner, std::move(request));
}

void
RequestRun::Execute(const flow_effect::Enqueue& aEffect)
{
  const std::string& service = mRequest.record->name.value;
  const auto* record = mTable->FindServiceByName(service);
  const auto* upstream =
    mTable->FindUpstream(service, aEffect.owner.upstream.value);
  if (record == nullptr || upstream == nullptr) {
    Deliver(flow_event::Refused{ aEffect.attempt, Code::NoOwner, {} });
    return;
  }
  const health::Verdict verdict = mContext.health.Judge(
    *mTable, *record, { aEffect.owner.upstream, aEffect.owner.incarnation });
  if (!verdict.accept) {
    Deliver(flow_event::Refused{
      aEffect.attempt, Code::Overloaded, InMilliseconds(verdict.retryAfter) });
    return;
  }
  admission::Share share;
  if (const auto* limit = mTable->FindLimit(service, mRequest.customer.value)) {
    share = { limit->weight, limit->maxConcurrent, limit->ratePerSecond };
  }
  auto onAnswer = [self = shared_from_this(),
                   attempt = aEffect.attempt](SlotAnswer aAnswer) {
    asio::post(self->mStrand, [self, attempt, answer = aAnswer] {
      self->OnSlotAnswer(attempt, answer);
    });
  };
  mPlaceAttempt = aEffect.attempt;
  mTrace.Queued(mContext.clock.Now());
  auto offered = mContext.slots.Offer(*upstream,
                                      verdict.slots,
                                      *record,
                                      { mRequest.customer,
                                        share,
                                        aEffect.admitBy,
                                        mFlow.Facts().deadline,
                                        mRequest.idempotent },
                                      std::move(onAnswer));
  mPlace = std::move(offered.place);
  if (offered.answer) {
    OnSlotAnswer(aEffect.attempt, *offered.answer);
  }
}

void
RequestRun::OnSlotAnswer(uint32_t aAttempt, const SlotAnswer& aAnswer)
{
  if (!mPlace || mPlaceAttempt != aAttempt) {
    return;
  }
  mTrace.LeftQueue(mContext.clock.Now());
  if (const auto* refuse = std::get_if<admission::Refuse>(&aAnswer)) {
    mPlace.reset();
    Deliver(flow_event::Refused{
      aAttempt, refuse->code, InMilliseconds(refuse->retryAfter) });
    return;
  }
  const entry::Lookup lookup = LookUpForSending();
  Deliver(flow_event::Admitted{ aAttempt, lookup });
}

void
RequestRun::Execute(flow_effect::LeaveQueue aEffect)
{
  mBracket.reset();
  if (mPlace && mPlaceAttempt == aEffect.attempt) {
    std::exchange(mPlace, nullptr)->Leave();
  }
}

void
RequestRun::Execute(flow_effect::Send aEffect)
{
  mContext.host.CountRequest(
    mRequest.record->name.value, aEffect.owner.slot, mRequest.key);
  mTrace.Sent();
  mPendingSend = std::move(aEffect);
}

void
RequestRun::Execute(flow_effect::CancelSend aEffect)
{
  mPendingSend.reset();
  if (mExchange) {
    mExchange->Abort();
  }
}

void
RequestRun::Execute(flow_effect::FreeSlot aEffect)
{
  mBracket.reset();
  if (mPlace && mPlaceAttempt == aEffect.attempt) {
    std::exchange(mPlace, nullptr)
      ->Finish(AdmissionEnding(aEffect.use), aEffect.serviceTime, mRetryAfter);
  }
  if (const auto observation = ObservationOf(aEffect.use)) {
    mContext.health.Tell(
      mRequest.record->name,
      { { aEffect.owner.upstream, aEffect.owner.incarnation },
        *observation,
        aEffect.serviceTime,
        mRetryAfter });
  }
  RecordAttempt(aEffect);
  if (const auto kind = EvidenceOf(aEffect.use)) {
    mContext.host.ReportEvidence({ mRequest.record->name.value,
                                   aEffect.owner.upstream.value,
                                   *kind,
                                   aEffect.serviceTime });
  }
}

void
RequestRun::RecordAttempt(const flow_effect::FreeSlot& aSlot)
{
  using flow_effect::Use;
  if (aSlot.use == Use::Cancelled) {
    return;
  }
  const bool failed = aSlot.use != Use::Succeeded && aSlot.use != Use::Shed;
  mContext.host.Metrics().RecordAttempt({ mRequest.record->name.value,
                                          aSlot.owner.upstream.value,
                                          failed,
                                          aSlot.serviceTime });
}

void
RequestRun::Execute(const flow_effect::ReplyError& aEffect)
{
  mOwnAnswer = ErrorAnswer(aEffect, ContextOfAnswer());
  mTrace.Answered(
    aEffect.outcome, aEffect.code, Describe(aEffect.code).httpStatus);
  End(Ending::Own);
}

void
RequestRun::Execute(const flow_effect::ReplyStored& aEffect)
{
  mOwnAnswer = StoredAnswerText(aEffect, ContextOfAnswer());
  mTrace.Answered(aEffect.outcome, Code::Ok, aEffect.answer.status());
  mTrace.AnsweredAgain();
  End(Ending::Own);
}

void
RequestRun::Execute(flow_effect::PassAnswer aEffect)
{
  mPassing = aEffect;
}

void
RequestRun::Execute(flow_effect::FinishAnswer)
{
}

void
RequestRun::Execute(flow_effect::AbortAnswer aEffect)
{
  if (!std::exchange(mPassing, std::nullopt)) {
    return;
  }
  if (!mAnswerBegun) {
    // Nothing was passed on yet: the caller can still be told what happened.
    return Execute(flow_effect::ReplyError{
      mRequest.idempotent ? aEffect.code : Code::OutcomeUnknown,
      entry::Outcome::Unknown,
      {},
      {} });
  }
  mCaller->Abort();
  mTrace.Answered(
    entry::Outcome::Unknown, aEffect.code, Describe(aEffect.code).httpStatus);
  End(Ending::Broken);
}

void
RequestRun::Execute(flow_effect::WaitRetry aEffect)
{
  mWait.expires_at(aEffect.until);
  mWait.async_wait([self = shared_from_this(),
                    attempt = aEffect.attempt](const error_code& aError) {
    if (!aError) {
      self->Deliver(flow_event::RetryDelayOver{ attempt, self->LookUp() });
    }
  });
}

void
RequestRun::Execute(flow_effect::ReportCrash aEffect)
{
  const std::string& fingerprint = mFlow.Facts().fingerprint;
  mContext.suspects.OnCrash(
    mRequest.record->name, fingerprint, mContext.clock.Now());
  wire::CallRequest request;
  auto& report = *request.mutable_crash_report();
  report.set_service(mRequest.record->name.value);
  report.set_upstream(aEffect.owner.upstream.value);
  report.set_incarnation(aEffect.owner.incarnation);
  report.add_fingerprints(fingerprint);
  if (aEffect.onTrial) {
    report.set_on_trial(fingerprint);
  }
  CallUntilAnswered(mContextOwner, std::move(request));
}

} // namespace rattandyke::http
