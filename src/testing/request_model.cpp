#include "testing/request_model.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "base/clock.h"
#include "entry/request_flow.h"
#include "testing/claim_register_model.h"
#include "testing/virtual_time.h"

namespace rattandyke::testing {

namespace {

using namespace std::chrono_literals;
using entry::FlowEffect;
using entry::FlowEvent;
using entry::Lookup;
using entry::Outcome;
using entry::OwnerView;
using entry::RequestFlow;
using std::chrono::milliseconds;
namespace event = entry::flow_event;
namespace effect = entry::flow_effect;

constexpr Duration kLease = 800ms;
constexpr uint32_t kUpstreams = 3;
constexpr uint32_t kOk = 200;
constexpr uint32_t kFailed = 500;
constexpr uint32_t kShed = 503;

/// One piece of work as its caller means it; resends share it.
struct Work
{
  bool idempotent = false;
  std::string key;
  uint32_t runs = 0;
  /// Runs of each sending.
  std::map<uint64_t, uint32_t> runsOf;
  /// Sendings of which "not run" was said.
  std::set<uint64_t> saidNotRun;
};

struct Entry
{
  uint64_t session = 0;
  bool paused = false;
  /// Its register calls and events that wait for it to go on.
  std::vector<std::function<void()>> held;
};

/// One sending: a flow, its edge and its caller.
struct Sending
{
  uint64_t number = 0;
  std::shared_ptr<Work> work;
  size_t entry = 0;
  uint64_t session = 0;
  Instant deadline{};
  std::unique_ptr<RequestFlow> flow;
  uint32_t attempt = 0;
  bool cancelled = false;
  bool holdsSlot = false;
  uint32_t sends = 0;
  uint32_t answers = 0;
  bool callerGone = false;
  /// The flow knows.
  bool toldGone = false;
  bool dead = false;
};
using SendingPtr = std::shared_ptr<Sending>;

class Model
{
public:
  explicit Model(const RequestModelSettings& aSettings);
  RequestModelResult Run();

private:
  bool Chance(double aShare);
  Duration Between(milliseconds aLeast, milliseconds aMost);
  Duration NetworkDelay();

  void Submit(std::shared_ptr<Work> aWork, uint32_t aResends);
  void Deliver(const SendingPtr& aSending, FlowEvent aEvent);
  void PassDeadline(const SendingPtr& aSending);
  void Later(Duration aDelay, const SendingPtr& aSending, FlowEvent aEvent);
  Lookup Look();

  void Do(const SendingPtr& aSending, const effect::Claim& aEffect);
  void Do(const SendingPtr& aSending, const effect::CompleteClaim& aEffect);
  void Do(const SendingPtr& aSending, const effect::ReleaseClaim& aEffect);
  void Do(const SendingPtr& aSending, const effect::AskTrial& aEffect);
  void Do(const SendingPtr&, const effect::EndTrial&) {}
  void Do(const SendingPtr& aSending, const effect::Enqueue& aEffect);
  void Do(const SendingPtr& aSending, const effect::LeaveQueue& aEffect);
  void Do(const SendingPtr& aSending, const effect::Send& aEffect);
  void Do(const SendingPtr& aSending, const effect::CancelSend& aEffect);
  void Do(const SendingPtr& aSending, const effect::FreeSlot& aEffect);
  void Do(const SendingPtr& aSending, const effect::ReplyError& aEffect);
  void Do(const SendingPtr& aSending, const effect::PassAnswer& aEffect);
  void Do(const SendingPtr&, const effect::FinishAnswer&) {}
  void Do(const SendingPtr&, const effect::AbortAnswer&) {}
  void Do(const SendingPtr& aSending, const effect::ReplyStored& aEffect);
  void Do(const SendingPtr& aSending, const effect::WaitRetry& aEffect);
  void Do(const SendingPtr&, const effect::ReportCrash&) {}

  void Write(const SendingPtr& aSending, const effect::Send& aSend);
  void Arrive(const SendingPtr& aSending, const effect::Send& aSend);
  void Answer(const SendingPtr& aSending, uint32_t aAttempt, bool aRan);
  void Said(const SendingPtr& aSending, Outcome aOutcome);
  void RunWork(const SendingPtr& aSending);
  void Keep(std::function<void()> aCall);

  void Disturb();
  void KillEntry(size_t aEntry);
  void PauseEntry(size_t aEntry);
  void MoveOwner();
  void TellOwner();
  void Judge();

  const RequestModelSettings mSettings;
  Random mRandom;
  VirtualTime mTime;
  ClaimRegisterModel mRegister;
  entry::RetryBudget mBudget{ {} };
  std::vector<Entry> mEntries;
  std::vector<SendingPtr> mSendings;
  std::vector<std::shared_ptr<Work>> mWorks;
  std::optional<OwnerView> mOwner;
  uint64_t mFence = 1;
  uint64_t mSession = 0;
  RequestModelResult mResult;
};

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
Model::Submit(std::shared_ptr<Work> aWork, uint32_t aResends)
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
Model::Later(Duration aDelay, const SendingPtr& aSending, FlowEvent aEvent)
{
  mTime.After(aDelay, [=, this] { Deliver(aSending, aEvent); });
}

/// Hands an event to the flow, unless its entry is paused or was killed.
void
Model::Deliver(const SendingPtr& aSending, FlowEvent aEvent)
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
    std::visit([&](const auto& one) { Do(aSending, one); }, next);
  }
}

Lookup
Model::Look()
{
  return Lookup{ mOwner, true, entry::QuarantineVerdict::Free };
}

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
Model::Keep(std::function<void()> aCall)
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
  if (!current && aSend.owner.upstream.value != "lost") {
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

} // namespace

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
  return Model(aSettings).Run();
}

} // namespace rattandyke::testing
