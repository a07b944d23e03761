#include "gateway/slot_coordinator.h"

#include <algorithm>

#include "http/signal.h"
#include "log/log.h"
#include "routing/service_table.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using http::kAwait;
using std::chrono::milliseconds;

/// A home that says nothing for so long is busy, cut off or gone. Hosts are a
/// few milliseconds apart; one with a tenth of a core as a quota of 10 ms in
/// each 100 ms may pause for 90 ms.
constexpr milliseconds kHomeSilence{ 110 };
/// The same where asking takes long as a rule and the upstream is seldom
/// wanted: the home's word is more likely in a queue than lost, and the
/// upstream likely to have room.
constexpr milliseconds kSlowSilence{ 50 };
/// After which a caller comes back if the home of a busy upstream says nothing.
constexpr milliseconds kBusyRetryAfter{ 150 };
/// A timer that is so late tells of a pause of this host.
constexpr milliseconds kOwnPause{ 10 };
/// How long a home without state is left alone: it has some soon.
constexpr milliseconds kDeclinedFor{ 60 };
/// How long a silent home is left alone.
constexpr milliseconds kLeftAlone{ 400 };

milliseconds
Ms(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime);
}

SlotKey
KeyOf(const SlotAnswer& aAnswer)
{
  return std::visit([](const auto& aItem) { return aItem.key; }, aAnswer);
}

wire::SlotAnswer
ToWire(const SlotAnswer& aAnswer)
{
  wire::SlotAnswer answer;
  const SlotKey key = KeyOf(aAnswer);
  answer.set_session(key.session);
  answer.set_ticket(key.ticket);
  if (const auto* granted = std::get_if<SlotGranted>(&aAnswer)) {
    answer.set_state(wire::SLOT_STATE_GRANTED);
    answer.set_instance(granted->instance);
  } else if (const auto* refused = std::get_if<SlotRefused>(&aAnswer)) {
    answer.set_state(wire::SLOT_STATE_REFUSED);
    answer.set_retry_after_ms(Ms(refused->retryAfter).count());
  } else {
    answer.set_state(wire::SLOT_STATE_QUEUED);
  }
  return answer;
}

SlotRequest
FromWire(const wire::SlotAsk& aAsk)
{
  SlotRequest request;
  request.key = { aAsk.session(), aAsk.ticket() };
  request.service = aAsk.service();
  request.instance = aAsk.instance();
  request.excluded.insert(aAsk.excluded().begin(), aAsk.excluded().end());
  request.group = aAsk.group();
  request.priority = aAsk.priority();
  request.maxWait = milliseconds{ aAsk.patience_ms() };
  request.timeToObjective = milliseconds{ aAsk.aim_ms() };
  request.maxHold = milliseconds{ aAsk.held_ms() };
  request.dataCentre = DataCentre{ aAsk.data_centre() };
  return request;
}

} // namespace

SlotCoordinator::SlotCoordinator(asio::any_io_executor aExecutor,
                                 std::string aSelf,
                                 uint64_t aSession,
                                 Send aSend,
                                 const Clock& aClock,
                                 uint64_t aSeed,
                                 const UpstreamSet::Options& aOptions,
                                 StateAge aStateAge)
  : mExecutor(std::move(aExecutor))
  , mSelf(std::move(aSelf))
  , mSession(aSession)
  , mSend(std::move(aSend))
  , mClock(aClock)
  , mStateAge(std::move(aStateAge))
  , mRandom(aSeed)
  , mBroker(aSeed, aOptions)
{
}

void
SlotCoordinator::StateChanged(const State& aState)
{
  mEntries.clear();
  for (const auto& [address, member] : aState.Entries()) {
    AddEntry(address);
  }
  mLine.SetEntries(mEntries.size());
  ForgetAskers(aState);
  Deliver(mBroker.Update(aState, mClock.Now()));
  // This host may have just started, and has missed changes in any case.
  HoldOffNewCold({});
}

void
SlotCoordinator::StateChanged(const State& aState,
                              const wire::GatewayCommand& aCommand)
{
  const Instant now = mClock.Now();
  switch (aCommand.body_case()) {
    case wire::GatewayCommand::kPutInstance:
      Deliver(
        mBroker.Update(aState, aCommand.put_instance().instance().id(), now));
      return;
    case wire::GatewayCommand::kWithdrawInstance:
      Deliver(mBroker.Update(aState, aCommand.withdraw_instance().id(), now));
      return;
    case wire::GatewayCommand::kEndInstance:
      Deliver(mBroker.Update(aState, aCommand.end_instance().id(), now));
      return;
    case wire::GatewayCommand::kPutEntry: {
      const std::vector<std::string> before = ColdHere();
      AddEntry(aCommand.put_entry().entry().address());
      mLine.SetEntries(mEntries.size());
      HoldOffNewCold(before);
      return;
    }
    case wire::GatewayCommand::kDropEntry: {
      const std::vector<std::string> before = ColdHere();
      DropEntry(aCommand.drop_entry().address());
      mLine.SetEntries(mEntries.size());
      ForgetAskers(aState);
      HoldOffNewCold(before);
      return;
    }
    case wire::GatewayCommand::kEvacuateDataCentre:
      Deliver(mBroker.Update(aState, now));
      return;
    case wire::GatewayCommand::kChangeItems:
      // A service may own keys now, or no more.
      if (aCommand.change_items().services_size() > 0 ||
          aCommand.change_items().dropped_services_size() > 0) {
        Deliver(mBroker.Update(aState, now));
      }
      return;
    default:
      return;
  }
}

/// Sessions of entries that are gone ask nothing any more.
void
SlotCoordinator::ForgetAskers(const State& aState)
{
  std::erase_if(mAskers, [&](const auto& aAsker) {
    return !aState.Entries().contains(aAsker.second) &&
           !mBroker.HasRequestOf(aAsker.first);
  });
}

asio::awaitable<void>
SlotCoordinator::WaitFor(std::shared_ptr<Pending> aPending, Instant aUntil)
{
  const Duration left = aUntil - mClock.Now();
  if (left <= Duration::zero()) {
    co_return;
  }
  aPending->context->WakeTimer().expires_after(left);
  co_await aPending->context->WakeTimer().async_wait(kAwait);
}

/// Waits for any answer of the home.
asio::awaitable<void>
SlotCoordinator::AwaitSign(std::shared_ptr<Pending> aPending, Instant aUntil)
{
  const auto heard = [&] {
    return aPending->outcome || aPending->queued || aPending->declined ||
           aPending->context->IsCancelled();
  };
  while (!heard() && mClock.Now() < aUntil) {
    co_await WaitFor(aPending, aUntil);
  }
  // Safeguard: a host that was paused itself finds the time over before it has
  // read what came meanwhile. The home would be taken for silent, and a slot
  // that it gave be left unused.
  if (!heard() && mClock.Now() - aUntil >= Duration(kOwnPause)) {
    const Instant again = mClock.Now() + Duration(kOwnPause);
    while (!heard() && mClock.Now() < again) {
      co_await WaitFor(aPending, again);
    }
  }
}

asio::awaitable<void>
SlotCoordinator::AskHome(std::shared_ptr<Pending> aPending,
                         std::string aHome,
                         const SlotRequest& aRequest)
{
  wire::GatewayFrame frame;
  wire::SlotAsk* ask = frame.mutable_slot_ask();
  ask->set_reply_to(mSelf);
  ask->set_session(mSession);
  ask->set_ticket(aRequest.key.ticket);
  ask->set_service(aRequest.service);
  ask->set_instance(aRequest.instance);
  for (const std::string& instance : aRequest.excluded) {
    ask->add_excluded(instance);
  }
  ask->set_group(aRequest.group);
  ask->set_priority(aRequest.priority);
  ask->set_patience_ms(Ms(aRequest.maxWait).count());
  ask->set_aim_ms(
    std::max<int64_t>(Ms(aRequest.timeToObjective).count(), int64_t{ 1 }));
  ask->set_held_ms(Ms(aRequest.maxHold).count());
  ask->set_data_centre(aRequest.dataCentre.value);
  const Instant asked = mClock.Now();
  aPending->asked = true;
  mSend(HostName{ aHome }, frame);
  const bool soon = mAsksAreSlow && aPending->calm;
  co_await AwaitSign(aPending,
                     asked + Duration(soon ? kSlowSilence : kHomeSilence));
  NoteAskTime(mClock.Now() - asked);
  if (aPending->declined) {
    mSilentUntil[aHome] = mClock.Now() + Duration(kDeclinedFor);
    co_return;
  }
  if (!aPending->outcome && !aPending->queued &&
      !aPending->context->IsCancelled()) {
    mSilentUntil[aHome] = mClock.Now() + Duration(kLeftAlone);
    log::Line(log::Part::Entry, log::Severity::Info)
      << "slots' home " << aHome << " is silent; goes by itself for "
      << kLeftAlone.count() << " ms";
    co_return;
  }
  // The home ends its wait, at the latest when no answer can come in time.
  const Instant end = asked + aRequest.maxHold;
  while (!aPending->outcome && !aPending->context->IsCancelled() &&
         mClock.Now() < end) {
    co_await WaitFor(aPending, end);
  }
}

asio::awaitable<bool>
SlotCoordinator::AwaitTurn(std::shared_ptr<Pending> aPending,
                           const SlotRequest& aRequest)
{
  const uint64_t ticket = aRequest.key.ticket;
  const Instant entered = mClock.Now();
  const Instant end = entered + aRequest.maxWait;
  SlotRequestLimiter::Verdict verdict =
    mLine.Enter(ticket, aRequest.instance, aRequest.priority, entered);
  if (std::holds_alternative<SlotRequestLimiter::MustWait>(verdict)) {
    while (!aPending->turn && !aPending->context->IsCancelled() &&
           mClock.Now() < end) {
      co_await WaitFor(aPending, end);
    }
    if (!aPending->turn) {
      mLine.Leave(ticket, aRequest.instance);
      aPending->outcome = SlotUnavailable{ UpstreamSet::UnavailableReason::Full,
                                           Duration(kLeftAlone) };
      co_return false;
    }
    verdict = *aPending->turn;
  }
  if (const auto* full = std::get_if<SlotRequestLimiter::IsFull>(&verdict)) {
    aPending->outcome =
      SlotUnavailable{ UpstreamSet::UnavailableReason::Full, full->retryAfter };
    co_return false;
  }
  co_return true;
}

asio::awaitable<void>
SlotCoordinator::AskInTurn(std::shared_ptr<Pending> aPending,
                           std::string aHome,
                           SlotRequest aRequest)
{
  const Instant end = mClock.Now() + aRequest.maxWait;
  if (!co_await AwaitTurn(aPending, aRequest)) {
    co_return;
  }
  // While it waited, the home may have been found to be silent.
  if (!aPending->context->IsCancelled() && !IsSilent(aHome)) {
    const Duration left = std::max(end - mClock.Now(), Duration::zero());
    aRequest.timeToObjective -=
      std::min(aRequest.maxWait - left, aRequest.timeToObjective);
    aRequest.maxHold -= std::min(aRequest.maxWait - left, aRequest.maxHold);
    aRequest.maxWait = left;
    co_await AskHome(aPending, aHome, aRequest);
  }
  EndTurn(*aPending, aRequest);
}

void
SlotCoordinator::EndTurn(const Pending& aPending, const SlotRequest& aRequest)
{
  if (aPending.queued) {
    return; // Its turn ended when the home took it into its queue.
  }
  if (!aPending.outcome) {
    Tell(mLine.OnGivenUp(aRequest.instance));
  } else if (const auto* none =
               std::get_if<SlotUnavailable>(&*aPending.outcome)) {
    Tell(mLine.OnRefused(
      aRequest.instance, aRequest.priority, none->retryAfter, mClock.Now()));
  } else {
    Tell(mLine.OnGranted(aRequest.instance));
  }
}

void
SlotCoordinator::Tell(const std::vector<SlotRequestLimiter::Turn>& aTurns)
{
  for (const SlotRequestLimiter::Turn& turn : aTurns) {
    const auto found = mPending.find(turn.ticket);
    if (found != mPending.end()) {
      found->second->turn = turn.verdict;
      found->second->context->WakeTimer().cancel();
    }
  }
}

asio::awaitable<void>
SlotCoordinator::AskHere(std::shared_ptr<Pending> aPending,
                         const SlotRequest& aRequest)
{
  const Instant end = mClock.Now() + aRequest.maxHold;
  Deliver(mBroker.Ask(aRequest, mClock.Now()));
  while (!aPending->outcome && !aPending->context->IsCancelled() &&
         mClock.Now() < end) {
    co_await WaitFor(aPending, end);
  }
}

asio::awaitable<SlotOutcome>
SlotCoordinator::Acquire(std::shared_ptr<RequestContext> aContext,
                         SlotRequest aRequest)
{
  const UpstreamSet& upstreams = mBroker.Upstreams();
  aRequest.group = aRequest.instance.empty()
                     ? upstreams.DrawGroup(aRequest.service, mRandom())
                     : upstreams.GroupOf(aRequest.instance);
  aRequest.direct = ChoosesDirect(aRequest);
  aRequest.calm = aRequest.instance.empty() || NoteWanted(aRequest.instance);
  const std::string home =
    aRequest.direct ? std::string() : HomeOf(aRequest.service, aRequest.group);
  const bool askHome = !home.empty() && home != mSelf && !IsSilent(home);
  std::optional<SlotOutcome> outcome;
  if (askHome) {
    outcome = co_await AcquireFrom(home, aContext, aRequest);
  }
  const auto* slot = outcome ? std::get_if<Slot>(&*outcome) : nullptr;
  if (slot != nullptr && slot->address.empty()) {
    // Safeguard: a home that was cut off may not know yet that an upstream
    // leaves. What this host knows itself goes first: a leaving upstream that
    // gets new work may end while it runs.
    Release(*slot, AttemptOutcome::Abandoned, {});
    aRequest.excluded.insert(slot->instance);
    outcome.reset();
  }
  if (!outcome && !aContext->IsCancelled()) {
    aRequest.alone = !home.empty() && home != mSelf;
    if (aRequest.alone && !aRequest.calm) {
      co_return SlotUnavailable{ UpstreamSet::UnavailableReason::Full,
                                 Duration(kBusyRetryAfter) };
    }
    aRequest.cold =
      home.empty() || MayKeepCold(aRequest.service, aRequest.group);
    outcome = co_await AcquireFrom({}, aContext, aRequest);
  }
  co_return outcome.value_or(SlotUnavailable{
    UpstreamSet::UnavailableReason::Full, Duration(kLeftAlone) });
}

asio::awaitable<std::optional<SlotOutcome>>
SlotCoordinator::AcquireFrom(std::string aHome,
                             std::shared_ptr<RequestContext> aContext,
                             SlotRequest aRequest)
{
  const uint64_t ticket = ++mLastTicket;
  aRequest.key = { mSession, ticket };
  auto pending = std::make_shared<Pending>();
  pending->instance = aRequest.instance;
  pending->calm = aRequest.calm;
  pending->context = std::move(aContext);
  mPending[ticket] = pending;
  if (aHome.empty()) {
    co_await AskHere(pending, aRequest);
  } else if (!aRequest.instance.empty()) {
    co_await AskInTurn(pending, aHome, aRequest);
  } else {
    co_await AskHome(pending, aHome, aRequest);
  }
  mPending.erase(ticket);
  if (!pending->outcome) {
    // The caller left, or the answer is late: the slot may still be granted.
    if (aHome.empty() || pending->asked) {
      Release(Slot{ ticket, aHome, {}, {} }, AttemptOutcome::Abandoned, {});
    }
    const bool silent = !pending->queued;
    co_return silent
      ? std::nullopt
      : std::optional<SlotOutcome>(SlotUnavailable{
          UpstreamSet::UnavailableReason::Full, Duration(kLeftAlone) });
  }
  if (auto* slot = std::get_if<Slot>(&*pending->outcome)) {
    slot->home = aHome;
    const UpstreamSet& upstreams = mBroker.Upstreams();
    slot->address = upstreams.UsableAddress(slot->instance, mClock.Now());
    slot->incarnation = upstreams.IncarnationOf(slot->instance);
  }
  co_return pending->outcome;
}

void
SlotCoordinator::Release(const Slot& aSlot, AttemptOutcome aEnd, Duration aTook)
{
  if (aSlot.home.empty()) {
    Deliver(
      mBroker.Done({ mSession, aSlot.ticket }, aEnd, aTook, mClock.Now()));
  } else {
    SendDone(aSlot.home, aSlot.ticket, aEnd, aTook);
  }
}

void
SlotCoordinator::SendDone(const std::string& aHome,
                          uint64_t aTicket,
                          AttemptOutcome aEnd,
                          Duration aTook)
{
  wire::GatewayFrame frame;
  wire::SlotDone* done = frame.mutable_slot_done();
  done->set_session(mSession);
  done->set_ticket(aTicket);
  done->set_end(static_cast<uint32_t>(aEnd));
  done->set_took_us(
    std::chrono::duration_cast<std::chrono::microseconds>(aTook).count());
  mSend(HostName{ aHome }, frame);
}

void
SlotCoordinator::OnSlotRequest(const wire::SlotAsk& aAsk)
{
  mAskers[aAsk.session()] = aAsk.reply_to();
  const UpstreamSet& upstreams = mBroker.Upstreams();
  const bool known = aAsk.instance().empty()
                       ? upstreams.HasInstances(aAsk.service())
                       : !upstreams.ServiceOf(aAsk.instance()).empty();
  if (!known) {
    Decline(aAsk);
    return;
  }
  SlotRequest request = FromWire(aAsk);
  request.cold = MayKeepCold(request.service, request.group);
  Deliver(mBroker.Ask(request, mClock.Now()));
}

/// Safeguard: a home that has just started has no state yet, or hears later
/// than others of a new upstream. A refusal of it would say that no upstream
/// can run the request; the one who asks knows better, and goes by itself.
void
SlotCoordinator::Decline(const wire::SlotAsk& aAsk)
{
  wire::GatewayFrame frame;
  wire::SlotAnswer* answer = frame.mutable_slot_answer();
  answer->set_session(aAsk.session());
  answer->set_ticket(aAsk.ticket());
  answer->set_state(wire::SLOT_STATE_UNKNOWN);
  mSend(HostName{ aAsk.reply_to() }, frame);
}

void
SlotCoordinator::OnSlotRelease(const wire::SlotDone& aDone)
{
  const auto end =
    aDone.end() <= static_cast<uint32_t>(AttemptOutcome::Abandoned)
      ? static_cast<AttemptOutcome>(aDone.end())
      : AttemptOutcome::Abandoned;
  Deliver(mBroker.Done({ aDone.session(), aDone.ticket() },
                       end,
                       std::chrono::microseconds{ aDone.took_us() },
                       mClock.Now()));
}

void
SlotCoordinator::OnSlotAnswer(const wire::SlotAnswer& aAnswer)
{
  if (aAnswer.session() != mSession) {
    return;
  }
  const SlotKey key{ aAnswer.session(), aAnswer.ticket() };
  switch (aAnswer.state()) {
    case wire::SLOT_STATE_GRANTED:
      TakeOwn(key.ticket, SlotGranted{ key, aAnswer.instance(), {} });
      return;
    case wire::SLOT_STATE_REFUSED:
      TakeOwn(key.ticket,
              SlotRefused{ key,
                           UpstreamSet::UnavailableReason::Full,
                           milliseconds{ aAnswer.retry_after_ms() } });
      return;
    case wire::SLOT_STATE_QUEUED:
      TakeOwn(key.ticket, SlotQueued{ key });
      return;
    case wire::SLOT_STATE_UNKNOWN:
      NoteDeclined(key.ticket);
      return;
    default:
      return;
  }
}

void
SlotCoordinator::TakeOwn(uint64_t aTicket, const SlotAnswer& aAnswer)
{
  const auto found = mPending.find(aTicket);
  if (found == mPending.end()) {
    return; // Its end has been, or is being, told to the keeper.
  }
  Pending& pending = *found->second;
  if (const auto* granted = std::get_if<SlotGranted>(&aAnswer)) {
    pending.outcome = Slot{ aTicket, {}, granted->instance, granted->address };
  } else if (const auto* refused = std::get_if<SlotRefused>(&aAnswer)) {
    pending.outcome = SlotUnavailable{ refused->reason, refused->retryAfter };
  } else if (!std::exchange(pending.queued, true) && pending.asked &&
             !pending.instance.empty()) {
    Tell(mLine.OnQueued(pending.instance));
  }
  pending.context->WakeTimer().cancel();
}

void
SlotCoordinator::NoteDeclined(uint64_t aTicket)
{
  const auto found = mPending.find(aTicket);
  if (found != mPending.end()) {
    found->second->declined = true;
    found->second->context->WakeTimer().cancel();
  }
}

void
SlotCoordinator::Deliver(const std::vector<SlotAnswer>& aAnswers)
{
  for (const SlotAnswer& answer : aAnswers) {
    Deliver(answer);
  }
}

void
SlotCoordinator::Deliver(const SlotAnswer& aAnswer)
{
  const SlotKey key = KeyOf(aAnswer);
  if (key.session == mSession) {
    TakeOwn(key.ticket, aAnswer);
    return;
  }
  const auto asker = mAskers.find(key.session);
  if (asker != mAskers.end()) {
    wire::GatewayFrame frame;
    *frame.mutable_slot_answer() = ToWire(aAnswer);
    mSend(HostName{ asker->second }, frame);
  }
}

void
SlotCoordinator::Tick()
{
  Deliver(mBroker.Tick(mClock.Now()));
  mLine.Sweep(mClock.Now());
  std::erase_if(mWantedAt, [&](const auto& aWanted) {
    return mClock.Now() - aWanted.second >= Duration(kCalmAfter);
  });
}

} // namespace rattandyke::gateway
