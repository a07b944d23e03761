#include "testing/request_model.h"

#include <random>
#include <utility>

#include "testing/request_model_schedule.h"

namespace rattandyke::testing {

namespace request_model {

Model::Model(const RequestModelSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.seed)
  , mEntries(aSettings.entries)
{
  for (Entry& entry : mEntries) {
    entry.session = ++mSession;
  }
  mOwner = OwnerView{ { "u0" }, 1, { mFence }, {}, true };
}

bool
Model::Chance(double aShare)
{
  return std::bernoulli_distribution(aShare)(mRandom);
}

Duration
Model::Between(milliseconds aLeast, milliseconds aMost)
{
  std::uniform_int_distribution<int64_t> delay(aLeast.count(), aMost.count());
  return milliseconds(delay(mRandom));
}

/// Mostly short; now and then long enough to overtake everything.
Duration
Model::NetworkDelay()
{
  return Chance(mSettings.faults / 3) ? Between(100ms, 4000ms)
                                      : Between(1ms, 5ms);
}

RequestModelResult
Model::Run()
{
  for (uint32_t i = 0; i < mSettings.requests; ++i) {
    auto work = std::make_shared<Work>();
    work->idempotent = Chance(0.3);
    if (!work->idempotent && Chance(0.7)) {
      work->key = "key-" + std::to_string(i);
    }
    mWorks.push_back(work);
    mTime.After(Between(0ms, 2000ms), [=, this] { Submit(work, 3); });
  }
  for (uint32_t i = 0; i < mSettings.disturbances; ++i) {
    mTime.After(Between(0ms, 3000ms), [this] { Disturb(); });
  }
  mTime.RunUntil(mTime.Now() + std::chrono::minutes(5));
  Judge();
  return mResult;
}

/// Sends the work once, and perhaps again: at once, or after a while.
void
Model::Submit(const std::shared_ptr<Work>& aWork, uint32_t aResends)
{
  auto sending = std::make_shared<Sending>();
  sending->number = mSendings.size() + 1;
  sending->work = aWork;
  sending->entry = mRandom() % mEntries.size();
  sending->session = mEntries[sending->entry].session;
  sending->deadline = mTime.Now() + Between(5ms, 1500ms);
  mSendings.push_back(sending);

  entry::RequestFacts facts;
  facts.number = sending->number;
  facts.idempotent = aWork->idempotent;
  facts.idempotencyKey = aWork->key;
  facts.digest = "same";
  facts.deadline = sending->deadline;
  facts.maxQueueTime = 300ms;
  facts.replayable = Chance(0.8);
  sending->flow = std::make_unique<RequestFlow>(
    facts, RequestFlow::Settings{}, mBudget, mRandom());
  Deliver(sending, event::Start{ Look() });
  mTime.At(sending->deadline, [=, this] { PassDeadline(sending); });
  if (Chance(mSettings.faults)) {
    mTime.After(Between(0ms, 200ms), [=, this] {
      sending->callerGone = true;
      Deliver(sending, event::CallerGone{ Chance(0.8) });
    });
  }
  if (!aWork->key.empty() && aResends > 0 && Chance(0.6)) {
    mTime.After(Between(0ms, 2000ms),
                [=, this] { Submit(aWork, aResends - 1); });
  }
}

/// Unless its entry stands still, the caller has its answer when this returns.
void
Model::PassDeadline(const SendingPtr& aSending)
{
  const bool paused = mEntries[aSending->entry].paused;
  Deliver(aSending, event::DeadlinePassed{});
  const bool waits = aSending->answers == 0 && !aSending->callerGone;
  mResult.unanswered += waits && !paused && !aSending->dead ? 1 : 0;
}

void
Model::Later(Duration aDelay,
             const SendingPtr& aSending,
             const FlowEvent& aEvent)
{
  mTime.After(aDelay, [=, this] { Deliver(aSending, aEvent); });
}

/// Hands an event to the flow, unless its entry is paused or was killed.
void
Model::Deliver(const SendingPtr& aSending, const FlowEvent& aEvent)
{
  Entry& entry = mEntries[aSending->entry];
  if (aSending->dead || aSending->session != entry.session) {
    return;
  }
  if (entry.paused) {
    entry.held.push_back([=, this] { Deliver(aSending, aEvent); });
    return;
  }
  const bool gone = std::holds_alternative<event::CallerGone>(aEvent);
  aSending->toldGone = aSending->toldGone || gone;
  for (const FlowEffect& next : aSending->flow->Step(aEvent, mTime.Now())) {
    std::visit([&](const auto& aOne) { Do(aSending, aOne); }, next);
  }
}

Lookup
Model::Look()
{
  return Lookup{ mOwner, true, entry::QuarantineVerdict::Free };
}

void
Model::Disturb()
{
  const size_t entry = mRandom() % mEntries.size();
  switch (mRandom() % 4) {
    case 0:
      return KillEntry(entry);
    case 1:
      return PauseEntry(entry);
    default:
      return MoveOwner();
  }
}

/// The process dies and starts again; what it sent may still arrive.
void
Model::KillEntry(size_t aEntry)
{
  const uint64_t ended = mEntries[aEntry].session;
  for (const SendingPtr& sending : mSendings) {
    sending->dead = sending->dead || sending->session == ended;
  }
  mEntries[aEntry] = Entry{ ++mSession, false, {} };
  mTime.After(kLease, [=, this] { mRegister.EndSession(ended); });
}

/// The process stands still, perhaps beyond its lease, and goes on as if
/// nothing had happened.
void
Model::PauseEntry(size_t aEntry)
{
  const uint64_t session = mEntries[aEntry].session;
  mEntries[aEntry].paused = true;
  const Duration pause = Between(50ms, 2500ms);
  if (pause > kLease) {
    mTime.After(kLease, [=, this] { mRegister.EndSession(session); });
  }
  mTime.After(pause, [=, this] {
    Entry& entry = mEntries[aEntry];
    if (entry.session != session) {
      return;
    }
    entry.paused = false;
    for (const auto& call : std::exchange(entry.held, {})) {
      call();
    }
  });
}

/// Released at once, granted to another after a while.
void
Model::MoveOwner()
{
  mOwner.reset();
  TellOwner();
  mTime.After(Between(10ms, 500ms), [this] {
    const auto next = std::to_string(mRandom() % kUpstreams);
    mOwner = OwnerView{ { "u" + next }, 1, { ++mFence }, {}, true };
    TellOwner();
  });
}

void
Model::TellOwner()
{
  for (const SendingPtr& sending : std::vector(mSendings)) {
    if (sending->flow->AwaitsOwner()) {
      Deliver(sending, event::OwnerChanged{ Look() });
    }
  }
}

void
Model::Judge()
{
  mResult.sendings = mSendings.size();
  for (const auto& work : mWorks) {
    if (!work->idempotent && !work->key.empty()) {
      mResult.doubleRuns += work->runs > 1 ? work->runs - 1 : 0;
    }
    for (const auto& [sending, runs] : work->runsOf) {
      const bool twice = !work->idempotent && work->key.empty() && runs > 1;
      mResult.doubleRuns += twice ? runs - 1 : 0;
    }
  }
  for (const SendingPtr& sending : mSendings) {
    const bool there = !sending->dead && !sending->callerGone;
    mResult.unanswered += there && sending->answers == 0 ? 1 : 0;
    mResult.leaked += !sending->dead && sending->holdsSlot ? 1 : 0;
    mResult.leaked += !sending->dead && !sending->flow->Done() ? 1 : 0;
  }
  mResult.leaked += mRegister.Running();
}

} // namespace request_model

RequestModelResult&
RequestModelResult::operator+=(const RequestModelResult& aOther)
{
  sendings += aOther.sendings;
  runs += aOther.runs;
  retries += aOther.retries;
  saidNotRun += aOther.saidNotRun;
  saidRan += aOther.saidRan;
  saidUnknown += aOther.saidUnknown;
  doubleRuns += aOther.doubleRuns;
  falseNotRun += aOther.falseNotRun;
  unanswered += aOther.unanswered;
  surplusAnswers += aOther.surplusAnswers;
  falseRan += aOther.falseRan;
  leaked += aOther.leaked;
  return *this;
}

RequestModelResult
RunRequestModel(const RequestModelSettings& aSettings)
{
  return request_model::Model(aSettings).Run();
}

} // namespace rattandyke::testing
