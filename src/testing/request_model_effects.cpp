#include <random>
#include <utility>

#include "testing/request_model_schedule.h"

namespace rattandyke::testing::request_model {

/// Copies of the call arrive at any time; the sender hears the first reply that
/// is not lost, or gives up.
void
Model::Do(const SendingPtr& aSending, const effect::Claim& aEffect)
{
  auto answered = std::make_shared<bool>(false);
  const auto copies = 1 + mRandom() % 3;
  for (uint64_t copy = 0; copy < copies; ++copy) {
    if (Chance(mSettings.faults)) {
      continue; // Lost on the way there.
    }
    mTime.After(NetworkDelay(), [=, this] {
      const auto reply = mRegister.Apply(aSending->session, aEffect.call);
      if (Chance(mSettings.faults)) {
        return; // Lost on the way back.
      }
      mTime.After(NetworkDelay(), [=, this] {
        if (!std::exchange(*answered, true)) {
          Deliver(aSending, event::ClaimAnswered{ aEffect.attempt, reply });
        }
      });
    });
  }
  mTime.After(aEffect.timeout, [=, this] {
    if (!std::exchange(*answered, true)) {
      Deliver(aSending,
              event::ClaimAnswered{ aEffect.attempt,
                                    Fail(Code::NoQuorum, "No answer.") });
    }
  });
}

/// A call that is repeated until it is answered: it arrives, at least once.
void
Model::Keep(const std::function<void()>& aCall)
{
  mTime.After(NetworkDelay(), aCall);
  if (Chance(mSettings.faults)) {
    mTime.After(NetworkDelay(), aCall);
  }
}

void
Model::Do(const SendingPtr& aSending, const effect::CompleteClaim& aEffect)
{
  Keep([=, this] { mRegister.Apply(aEffect.call); });
}

void
Model::Do(const SendingPtr& aSending, const effect::ReleaseClaim& aEffect)
{
  Keep([=, this] { mRegister.Apply(aSending->session, aEffect.call); });
}

void
Model::Do(const SendingPtr& aSending, const effect::AskTrial& aEffect)
{
  Later(
    NetworkDelay(), aSending, event::TrialAnswered{ aEffect.attempt, true });
}

void
Model::Do(const SendingPtr& aSending, const effect::Enqueue& aEffect)
{
  aSending->attempt = aEffect.attempt;
  const Duration wait = Between(0ms, 40ms);
  if (Chance(mSettings.faults)) {
    return Later(wait, aSending, event::Refused{ aEffect.attempt });
  }
  mTime.After(wait, [=, this] {
    if (aSending->attempt != aEffect.attempt || aSending->dead) {
      return;
    }
    aSending->holdsSlot = true;
    Deliver(aSending, event::Admitted{ aEffect.attempt, Look() });
  });
}

void
Model::Do(const SendingPtr& aSending, const effect::LeaveQueue&)
{
  aSending->attempt = 0;
  aSending->holdsSlot = false;
}

void
Model::Do(const SendingPtr& aSending, const effect::FreeSlot&)
{
  mResult.leaked += aSending->holdsSlot ? 0 : 1; // Given back twice.
  aSending->holdsSlot = false;
}

void
Model::Do(const SendingPtr& aSending, const effect::Send& aEffect)
{
  aSending->cancelled = false;
  mResult.retries += aSending->sends++ > 0 ? 1 : 0;
  const Duration connect = Between(0ms, 5ms);
  if (Chance(mSettings.faults)) {
    return Later(connect, aSending, event::ConnectFailed{ aEffect.attempt });
  }
  mTime.After(connect, [=, this] { Write(aSending, aEffect); });
}

void
Model::Write(const SendingPtr& aSending, const effect::Send& aSend)
{
  Entry& entry = mEntries[aSending->entry];
  if (aSending->dead || aSending->cancelled) {
    return;
  }
  if (entry.paused) {
    entry.held.push_back([=, this] { Write(aSending, aSend); });
    return;
  }
  Deliver(aSending, event::FirstByteSent{ aSend.attempt, Look() });
  if (aSending->cancelled) {
    return;
  }
  if (Chance(mSettings.faults / 2)) {
    // Broke before the upstream read the request whole.
    return Later(
      Between(0ms, 20ms), aSending, event::AnswerBroken{ aSend.attempt, true });
  }
  mTime.After(NetworkDelay(), [=, this] { Arrive(aSending, aSend); });
}

/// The whole request is at the upstream.
void
Model::Arrive(const SendingPtr& aSending, const effect::Send& aSend)
{
  const bool current = mOwner && mOwner->upstream == aSend.owner.upstream &&
                       mOwner->fence == aSend.owner.fence;
  if (!current) {
    return Later(
      NetworkDelay(), aSending, event::UpstreamRefusedFence{ aSend.attempt });
  }
  if (Chance(mSettings.faults / 2)) {
    const Duration head = NetworkDelay();
    Later(head, aSending, event::AnswerHead{ aSend.attempt, kShed, true });
    return Later(head, aSending, event::AnswerComplete{ aSend.attempt, {} });
  }
  RunWork(aSending);
  if (Chance(mSettings.faults)) {
    return Later(
      NetworkDelay(), aSending, event::AnswerBroken{ aSend.attempt, true });
  }
  if (Chance(mSettings.faults)) {
    return; // Frozen: never answers.
  }
  Answer(aSending, aSend.attempt, true);
}

void
Model::Answer(const SendingPtr& aSending, uint32_t aAttempt, bool aRan)
{
  const uint32_t status = Chance(mSettings.faults / 3) ? kFailed : kOk;
  wire::StoredAnswer stored;
  stored.set_status(status);
  stored.set_body_dropped(Chance(0.1));
  const Duration head = Between(1ms, 100ms);
  Later(head, aSending, event::AnswerHead{ aAttempt, status, false });
  const Duration end = head + Between(0ms, 50ms);
  if (Chance(mSettings.faults / 3)) {
    return Later(end, aSending, event::AnswerBroken{ aAttempt, true });
  }
  Later(end, aSending, event::AnswerComplete{ aAttempt, stored });
}

void
Model::RunWork(const SendingPtr& aSending)
{
  Work& work = *aSending->work;
  ++mResult.runs;
  ++work.runs;
  ++work.runsOf[aSending->number];
  mResult.falseNotRun += work.saidNotRun.contains(aSending->number) ? 1 : 0;
}

void
Model::Do(const SendingPtr& aSending, const effect::CancelSend&)
{
  aSending->cancelled = true;
}

void
Model::Do(const SendingPtr& aSending, const effect::ReplyError& aEffect)
{
  Said(aSending, aEffect.outcome);
}

void
Model::Do(const SendingPtr& aSending, const effect::PassAnswer& aEffect)
{
  Said(aSending, aEffect.outcome);
}

void
Model::Do(const SendingPtr& aSending, const effect::ReplyStored& aEffect)
{
  Said(aSending, aEffect.outcome);
}

void
Model::Do(const SendingPtr& aSending, const effect::WaitRetry& aEffect)
{
  mTime.At(aEffect.until, [=, this] {
    Deliver(aSending, event::RetryDelayOver{ aEffect.attempt, Look() });
  });
}

/// Checks what a caller was told. Of keyed work "not run" speaks for every
/// sending of the key so far.
void
Model::Said(const SendingPtr& aSending, Outcome aOutcome)
{
  Work& work = *aSending->work;
  const bool surplus = aSending->answers++ > 0 || aSending->toldGone;
  mResult.surplusAnswers += surplus ? 1 : 0;
  const uint32_t runs =
    work.key.empty() ? work.runsOf[aSending->number] : work.runs;
  switch (aOutcome) {
    case Outcome::NotRun:
      ++mResult.saidNotRun;
      mResult.falseNotRun += runs > 0 ? 1 : 0;
      work.saidNotRun.insert(aSending->number);
      return;
    case Outcome::Ran:
      ++mResult.saidRan;
      mResult.falseRan += runs == 0 ? 1 : 0;
      return;
    case Outcome::Unknown:
      ++mResult.saidUnknown;
      return;
  }
}

} // namespace rattandyke::testing::request_model
