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

/// A home entry that does not reply within this time is overloaded, partitioned
/// or gone. The network takes a few milliseconds between hosts; a host with a
/// tenth of a core as a quota of 10 ms in each 100 ms may pause for 90 ms.
constexpr milliseconds kHomeTimeout{ 110 };
/// The same while slot requests are slow in general and the upstream is not in
/// demand: the reply is then more likely delayed in a queue than lost, and the
/// upstream is likely to have room.
constexpr milliseconds kShortHomeTimeout{ 50 };
/// Retry-after of a request that may not bypass an unresponsive home entry.
constexpr milliseconds kBusyRetryAfter{ 150 };
/// A timer that fires this late indicates that this host was paused.
constexpr milliseconds kPauseThreshold{ 10 };
/// Time for which a home entry that declined gets no slot requests: it soon has
/// the state.
constexpr milliseconds kDeclinedBackoff{ 60 };
/// Time for which an unresponsive home entry gets no slot requests; also the
/// retry-after of a request whose slot was not granted in time.
constexpr milliseconds kUnresponsiveBackoff{ 400 };

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

wire::SlotRefusal
EncodeReason(UpstreamSet::UnavailableReason aReason)
{
  switch (aReason) {
    case UpstreamSet::UnavailableReason::NoInstance:
      return wire::SLOT_REFUSAL_NO_INSTANCE;
    case UpstreamSet::UnavailableReason::NoOwner:
      return wire::SLOT_REFUSAL_NO_OWNER;
    case UpstreamSet::UnavailableReason::Full:
      return wire::SLOT_REFUSAL_FULL;
    case UpstreamSet::UnavailableReason::Failing:
      return wire::SLOT_REFUSAL_FAILING;
  }
  return wire::SLOT_REFUSAL_UNSPECIFIED;
}

/// @return the reason; Full if an older build has not stated it.
UpstreamSet::UnavailableReason
DecodeReason(wire::SlotRefusal aReason)
{
  switch (aReason) {
    case wire::SLOT_REFUSAL_NO_INSTANCE:
      return UpstreamSet::UnavailableReason::NoInstance;
    case wire::SLOT_REFUSAL_NO_OWNER:
      return UpstreamSet::UnavailableReason::NoOwner;
    case wire::SLOT_REFUSAL_FAILING:
      return UpstreamSet::UnavailableReason::Failing;
    default:
      return UpstreamSet::UnavailableReason::Full;
  }
}

wire::SlotAnswer
EncodeAnswer(const SlotAnswer& aAnswer)
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
    answer.set_refusal(EncodeReason(refused->reason));
    answer.set_retry_after_ms(Ms(refused->retryAfter).count());
  } else {
    answer.set_state(wire::SLOT_STATE_QUEUED);
  }
  return answer;
}

SlotRequest
FromWire(const wire::SlotAsk& aRequest)
{
  SlotRequest request;
  request.key = { aRequest.session(), aRequest.ticket() };
  request.service = aRequest.service();
  request.instance = aRequest.instance();
  request.excluded.insert(aRequest.excluded().begin(),
                          aRequest.excluded().end());
  request.group = aRequest.group();
  request.priority = aRequest.priority();
  request.maxWait = milliseconds{ aRequest.patience_ms() };
  request.timeToObjective = milliseconds{ aRequest.aim_ms() };
  request.maxHold = milliseconds{ aRequest.held_ms() };
  request.dataCentre = DataCentre{ aRequest.data_centre() };
  request.second = aRequest.second();
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
                                 StateAge aStateAge,
                                 scheduling::DispatchPolicy aDispatch)
  : mExecutor(std::move(aExecutor))
  , mSelf(std::move(aSelf))
  , mSession(aSession)
  , mSend(std::move(aSend))
  , mClock(aClock)
  , mStateAge(std::move(aStateAge))
  , mRandom(aSeed)
  , mBroker(aSeed, aOptions)
  , mDispatch(std::move(aDispatch))
{
}

void
SlotCoordinator::StateChanged(const State& aState)
{
  const bool byCapacityBefore = mAllocators.IsAnyByCapacity();
  ReplaceMembers(aState);
  RemoveStaleRequesters(aState);
  Deliver(mBroker.Update(aState, mClock.Now()));
  // This host may have just started, and a snapshot does not show when it
  // became the home entry of an upstream, nor by which rule others allocated
  // shortly before.
  const bool byCapacity = byCapacityBefore || mAllocators.IsAnyByCapacity();
  OnAllocatorsChanged(byCapacity, {});
  if (byCapacity) {
    PauseNewLimits();
  }
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
    case wire::GatewayCommand::kPutEntry:
    case wire::GatewayCommand::kDropEntry:
    case wire::GatewayCommand::kPutControl:
    case wire::GatewayCommand::kDropControl:
      ApplyMembership(aState, aCommand);
      return;
    case wire::GatewayCommand::kEvacuateDataCentre:
      Deliver(mBroker.Update(aState, now));
      return;
    case wire::GatewayCommand::kChangeItems:
      // The instances of a service may have started or stopped owning keys.
      if (aCommand.change_items().services_size() > 0 ||
          aCommand.change_items().dropped_services_size() > 0) {
        Deliver(mBroker.Update(aState, now));
      }
      return;
    default:
      return;
  }
}

void
SlotCoordinator::OnEntryCountChanged()
{
  const size_t entries = mAllocators.EntryCount();
  mLimiter.SetEntryCount(entries);
  mBroker.SetEntryCount(std::max<size_t>(entries, 1));
}

/// Removes the sessions of entries that have left the state, unless they have
/// requests here.
void
SlotCoordinator::RemoveStaleRequesters(const State& aState)
{
  std::erase_if(mReplyAddresses, [&](const auto& aItem) {
    return !aState.Entries().contains(aItem.second) &&
           !mBroker.HasRequestsOf(aItem.first);
  });
}

asio::awaitable<void>
SlotCoordinator::WaitUntil(std::shared_ptr<Pending> aPending, Instant aUntil)
{
  const Duration left = aUntil - mClock.Now();
  if (left <= Duration::zero()) {
    co_return;
  }
  aPending->context->WakeTimer().expires_after(left);
  co_await aPending->context->WakeTimer().async_wait(kAwait);
}

/// Waits until the home entry's first reply, but no longer than aUntil.
asio::awaitable<void>
SlotCoordinator::AwaitFirstReply(std::shared_ptr<Pending> aPending,
                                 Instant aUntil)
{
  const auto hasReply = [&] {
    return aPending->outcome || aPending->queued || aPending->declined ||
           aPending->context->IsCancelled();
  };
  while (!hasReply() && mClock.Now() < aUntil) {
    co_await WaitUntil(aPending, aUntil);
  }
  // After a pause of this host, the timeout is over before replies that arrived
  // meanwhile are read. Without more time, the home entry would be taken for
  // unresponsive, and a slot that it granted would stay unused.
  if (!hasReply() && mClock.Now() - aUntil >= Duration(kPauseThreshold)) {
    const Instant graceEnd = mClock.Now() + Duration(kPauseThreshold);
    while (!hasReply() && mClock.Now() < graceEnd) {
      co_await WaitUntil(aPending, graceEnd);
    }
  }
}

asio::awaitable<void>
SlotCoordinator::RequestFromHome(std::shared_ptr<Pending> aPending,
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
  ask->set_second(aRequest.second);
  for (const RateLimitNotice& limit : LimitsFor(aRequest)) {
    *ask->add_limits() = ToWire(limit);
  }
  const Instant sentAt = mClock.Now();
  aPending->sentToHome = true;
  SetHome(*aPending, aHome, aRequest);
  mSend(HostName{ aHome }, frame);
  const bool useShortTimeout = mHomesAreSlow && aPending->mayBypassHome;
  co_await AwaitFirstReply(
    aPending,
    sentAt + Duration(useShortTimeout ? kShortHomeTimeout : kHomeTimeout));
  RecordHomeLatency(mClock.Now() - sentAt);
  if (aPending->declined) {
    mUnresponsiveUntil[aHome] = mClock.Now() + Duration(kDeclinedBackoff);
    co_return;
  }
  if (!aPending->outcome && !aPending->queued &&
      !aPending->context->IsCancelled()) {
    mUnresponsiveUntil[aHome] = mClock.Now() + Duration(kUnresponsiveBackoff);
    log::Line(log::Part::Entry, log::Severity::Info)
      << "home entry of slots " << aHome
      << " is silent; choosing upstreams without it for "
      << kUnresponsiveBackoff.count() << " ms";
    co_return;
  }
  // The allocators may have changed before the home entry's answer arrived.
  aPending->replaced =
    aPending->replaced || (!aPending->outcome && IsReplaced(*aPending));
  // The home entry ends the wait, at the latest when no response can arrive
  // before the deadline.
  const Instant end = sentAt + aRequest.maxHold;
  while (!aPending->outcome && !aPending->replaced &&
         !aPending->context->IsCancelled() && mClock.Now() < end) {
    co_await WaitUntil(aPending, end);
  }
}

asio::awaitable<bool>
SlotCoordinator::AwaitAdmission(std::shared_ptr<Pending> aPending,
                                const SlotRequest& aRequest)
{
  const uint64_t ticket = aRequest.key.ticket;
  const Instant enteredAt = mClock.Now();
  const Instant end = enteredAt + aRequest.maxWait;
  SlotRequestLimiter::Decision decision =
    mLimiter.Admit(ticket, aRequest.instance, aRequest.priority, enteredAt);
  if (std::holds_alternative<SlotRequestLimiter::Queued>(decision)) {
    while (!aPending->decision && !aPending->context->IsCancelled() &&
           mClock.Now() < end) {
      co_await WaitUntil(aPending, end);
    }
    if (!aPending->decision) {
      mLimiter.Cancel(ticket, aRequest.instance);
      aPending->outcome = SlotUnavailable{ UpstreamSet::UnavailableReason::Full,
                                           Duration(kUnresponsiveBackoff) };
      co_return false;
    }
    decision = *aPending->decision;
  }
  if (const auto* rejected =
        std::get_if<SlotRequestLimiter::Rejected>(&decision)) {
    aPending->outcome = SlotUnavailable{ UpstreamSet::UnavailableReason::Full,
                                         rejected->retryAfter };
    co_return false;
  }
  co_return true;
}

asio::awaitable<void>
SlotCoordinator::RequestFromHomeLimited(std::shared_ptr<Pending> aPending,
                                        std::string aHome,
                                        SlotRequest aRequest)
{
  const Instant enteredAt = mClock.Now();
  if (!co_await AwaitAdmission(aPending, aRequest)) {
    co_return;
  }
  // The home entry may have become unresponsive during the wait.
  if (!aPending->context->IsCancelled() && !IsUnresponsive(aHome)) {
    DeductTime(aRequest, mClock.Now() - enteredAt);
    co_await RequestFromHome(aPending, aHome, aRequest);
  }
  ReportToLimiter(*aPending, aRequest);
}

void
SlotCoordinator::ReportToLimiter(const Pending& aPending,
                                 const SlotRequest& aRequest)
{
  if (aPending.queued) {
    return; // OnQueued has been called when the home entry queued the request.
  }
  if (!aPending.outcome) {
    ApplyDecisions(mLimiter.OnUnanswered(aRequest.instance));
  } else if (const auto* none =
               std::get_if<SlotUnavailable>(&*aPending.outcome)) {
    ApplyDecisions(mLimiter.OnRefused(
      aRequest.instance, aRequest.priority, none->retryAfter, mClock.Now()));
  } else {
    ApplyDecisions(mLimiter.OnGranted(aRequest.instance));
  }
}

void
SlotCoordinator::ApplyDecisions(
  const std::vector<SlotRequestLimiter::QueuedDecision>& aDecisions)
{
  for (const SlotRequestLimiter::QueuedDecision& decision : aDecisions) {
    const auto found = mPending.find(decision.ticket);
    if (found != mPending.end()) {
      found->second->decision = decision.decision;
      found->second->context->WakeTimer().cancel();
    }
  }
}

asio::awaitable<void>
SlotCoordinator::RequestLocally(std::shared_ptr<Pending> aPending,
                                const SlotRequest& aRequest)
{
  const Instant end = mClock.Now() + aRequest.maxHold;
  if (!aRequest.direct && !aRequest.uncoordinated) {
    SetHome(*aPending, mSelf, aRequest);
  }
  Deliver(mBroker.Acquire(aRequest, mClock.Now()));
  while (!aPending->outcome && !aPending->replaced &&
         !aPending->context->IsCancelled() && mClock.Now() < end) {
    co_await WaitUntil(aPending, end);
  }
}

/// An upstream that rests or has left gets nothing from this host, also not a
/// request that waited for its slot: the home entry, which allocates the slot,
/// does not know of a rest, since the upstream may serve other hosts, and may
/// learn later that an upstream leaves.
asio::awaitable<SlotOutcome>
SlotCoordinator::Acquire(std::shared_ptr<RequestContext> aContext,
                         SlotRequest aRequest)
{
  const Duration restBefore = RestLeft(aRequest.instance);
  if (restBefore > Duration::zero()) {
    co_return Resting(restBefore);
  }
  SlotOutcome outcome =
    co_await AcquireByPolicy(std::move(aContext), std::move(aRequest));
  if (const auto* slot = std::get_if<Slot>(&outcome)) {
    if (slot->address.empty()) {
      Release(*slot, AttemptOutcome::Abandoned, {});
      co_return SlotUnavailable{ UpstreamSet::UnavailableReason::NoInstance,
                                 Duration(kUnresponsiveBackoff) };
    }
    const Duration rest = RestLeft(slot->instance);
    if (rest > Duration::zero()) {
      Release(*slot, AttemptOutcome::Abandoned, {});
      co_return Resting(rest);
    }
  }
  co_return outcome;
}

asio::awaitable<SlotOutcome>
SlotCoordinator::AcquireOfAny(std::shared_ptr<RequestContext> aContext,
                              SlotRequest aRequest)
{
  const UpstreamSet& upstreams = mBroker.Upstreams();
  aRequest.group = aRequest.instance.empty()
                     ? upstreams.PickGroup(aRequest.service, mRandom())
                     : upstreams.GroupOf(aRequest.instance);
  aRequest.direct = ShouldChooseDirect(aRequest);
  ExcludeResting(aRequest);
  aRequest.mayBypassHome =
    aRequest.instance.empty() || RecordRequest(aRequest.instance);
  const std::string home =
    aRequest.direct ? std::string() : HomeOf(aRequest.service, aRequest.group);
  std::optional<SlotOutcome> outcome;
  const Instant askedAt = mClock.Now();
  if (home == mSelf && !aContext->IsCancelled()) {
    aRequest.rateShare = RateShareOf(aRequest.service, aRequest.group);
    outcome = co_await AcquireFrom({}, aContext, aRequest);
  } else if (!home.empty() && home != mSelf && !IsUnresponsive(home)) {
    outcome = co_await AcquireFrom(home, aContext, aRequest);
  }
  if (!outcome && !home.empty()) {
    outcome = co_await AcquireFromNext(home, aContext, aRequest, askedAt);
  }
  const auto* slot = outcome ? std::get_if<Slot>(&*outcome) : nullptr;
  if (slot != nullptr && slot->address.empty() &&
      (home != mSelf || !slot->home.empty())) {
    // A home entry that was partitioned may not know yet that an upstream is
    // draining. This host knows it, and its knowledge takes precedence: a
    // draining upstream that gets new work may end while it runs it.
    Release(*slot, AttemptOutcome::Abandoned, {});
    aRequest.excluded.insert(slot->instance);
    outcome.reset();
  }
  if (!outcome && !aContext->IsCancelled()) {
    DeductTime(aRequest, mClock.Now() - askedAt);
    aRequest.uncoordinated = !home.empty();
    if (aRequest.uncoordinated && !aRequest.mayBypassHome) {
      co_return SlotUnavailable{ UpstreamSet::UnavailableReason::Full,
                                 Duration(kBusyRetryAfter) };
    }
    aRequest.rateShare =
      aRequest.direct ? 0 : RateShareOf(aRequest.service, aRequest.group);
    outcome = co_await AcquireFrom({}, aContext, aRequest);
  }
  co_return outcome.value_or(SlotUnavailable{
    UpstreamSet::UnavailableReason::Full, Duration(kUnresponsiveBackoff) });
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
  pending->mayBypassHome = aRequest.mayBypassHome;
  pending->context = std::move(aContext);
  mPending[ticket] = pending;
  if (aHome.empty()) {
    co_await RequestLocally(pending, aRequest);
  } else if (!aRequest.instance.empty()) {
    co_await RequestFromHomeLimited(pending, aHome, aRequest);
  } else {
    co_await RequestFromHome(pending, aHome, aRequest);
  }
  mPending.erase(ticket);
  if (!pending->outcome) {
    // The caller disconnected, or the answer is late: the slot may still be
    // granted.
    if (aHome.empty() || pending->sentToHome) {
      Release(Slot{ ticket, aHome, {}, {} }, AttemptOutcome::Abandoned, {});
    }
    const bool unanswered = !pending->queued || pending->replaced;
    co_return unanswered ? std::nullopt
                         : std::optional<SlotOutcome>(SlotUnavailable{
                             UpstreamSet::UnavailableReason::Full,
                             Duration(kUnresponsiveBackoff) });
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
SlotCoordinator::Release(const Slot& aSlot,
                         AttemptOutcome aOutcome,
                         Duration aElapsed)
{
  RecordResult(aSlot.instance, aOutcome);
  if (aSlot.home.empty()) {
    Deliver(mBroker.Release(
      { mSession, aSlot.ticket }, aOutcome, aElapsed, mClock.Now()));
  } else {
    SendRelease(aSlot, aOutcome, aElapsed);
  }
}

void
SlotCoordinator::SendRelease(const Slot& aSlot,
                             AttemptOutcome aOutcome,
                             Duration aElapsed)
{
  wire::GatewayFrame frame;
  wire::SlotDone* done = frame.mutable_slot_done();
  done->set_session(mSession);
  done->set_ticket(aSlot.ticket);
  done->set_end(static_cast<uint32_t>(aOutcome));
  done->set_took_us(
    std::chrono::duration_cast<std::chrono::microseconds>(aElapsed).count());
  if (const auto notice = NoticeOf(aSlot.instance)) {
    *done->mutable_notice() = *notice;
  }
  mSend(HostName{ aSlot.home }, frame);
}

void
SlotCoordinator::OnSlotRequest(const wire::SlotAsk& aRequest)
{
  mReplyAddresses[aRequest.session()] = aRequest.reply_to();
  const UpstreamSet& upstreams = mBroker.Upstreams();
  const bool known = aRequest.instance().empty()
                       ? upstreams.HasInstances(aRequest.service())
                       : !upstreams.ServiceOf(aRequest.instance()).empty();
  CheckStateAge();
  SlotRequest request = FromWire(aRequest);
  if (!known || !MayAllocate(request)) {
    Decline(aRequest);
    return;
  }
  for (const wire::UpstreamNotice& limit : aRequest.limits()) {
    ApplyNotice(limit);
  }
  SetAllocation(request);
  Deliver(mBroker.Acquire(request, mClock.Now()));
}

/// Replies that this host does not know the upstream. A home entry that has
/// just started has no state yet, or learns of a new upstream later than
/// others. If it refused the request, that would mean that no upstream can run
/// it; declined, the requesting entry sends it uncoordinated.
void
SlotCoordinator::Decline(const wire::SlotAsk& aRequest)
{
  wire::GatewayFrame frame;
  wire::SlotAnswer* answer = frame.mutable_slot_answer();
  answer->set_session(aRequest.session());
  answer->set_ticket(aRequest.ticket());
  answer->set_state(wire::SLOT_STATE_UNKNOWN);
  mSend(HostName{ aRequest.reply_to() }, frame);
}

void
SlotCoordinator::OnSlotRelease(const wire::SlotDone& aDone)
{
  const auto outcome =
    aDone.end() <= static_cast<uint32_t>(AttemptOutcome::Misdirected)
      ? static_cast<AttemptOutcome>(aDone.end())
      : AttemptOutcome::Abandoned;
  if (aDone.has_notice()) {
    ApplyNotice(aDone.notice());
  }
  Deliver(mBroker.Release({ aDone.session(), aDone.ticket() },
                          outcome,
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
  if (aAnswer.has_notice()) {
    ApplyNotice(aAnswer.notice());
  }
  switch (aAnswer.state()) {
    case wire::SLOT_STATE_GRANTED:
      ApplyAnswer(key.ticket, SlotGranted{ key, aAnswer.instance(), {} });
      return;
    case wire::SLOT_STATE_REFUSED:
      ApplyAnswer(key.ticket,
                  SlotRefused{ key,
                               DecodeReason(aAnswer.refusal()),
                               milliseconds{ aAnswer.retry_after_ms() } });
      return;
    case wire::SLOT_STATE_QUEUED:
      ApplyAnswer(key.ticket, SlotQueued{ key });
      return;
    case wire::SLOT_STATE_UNKNOWN:
      OnDeclined(key.ticket);
      return;
    default:
      return;
  }
}

void
SlotCoordinator::ApplyAnswer(uint64_t aTicket, const SlotAnswer& aAnswer)
{
  const auto found = mPending.find(aTicket);
  if (found == mPending.end()) {
    return; // The slot has been, or is being, released.
  }
  Pending& pending = *found->second;
  if (const auto* granted = std::get_if<SlotGranted>(&aAnswer)) {
    pending.outcome = Slot{ aTicket, {}, granted->instance, granted->address };
  } else if (const auto* refused = std::get_if<SlotRefused>(&aAnswer)) {
    pending.outcome = SlotUnavailable{ refused->reason, refused->retryAfter };
  } else if (!std::exchange(pending.queued, true) && pending.sentToHome &&
             !pending.instance.empty()) {
    ApplyDecisions(mLimiter.OnQueued(pending.instance));
  }
  pending.context->WakeTimer().cancel();
}

void
SlotCoordinator::OnDeclined(uint64_t aTicket)
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
    ApplyAnswer(key.ticket, aAnswer);
    return;
  }
  const auto replyTo = mReplyAddresses.find(key.session);
  if (replyTo != mReplyAddresses.end()) {
    wire::GatewayFrame frame;
    *frame.mutable_slot_answer() = EncodeAnswer(aAnswer);
    if (const auto* granted = std::get_if<SlotGranted>(&aAnswer)) {
      if (const auto notice = NoticeOf(granted->instance)) {
        *frame.mutable_slot_answer()->mutable_notice() = *notice;
      }
    }
    mSend(HostName{ replyTo->second }, frame);
  }
}

void
SlotCoordinator::Tick()
{
  CheckStateAge();
  LogAllocators();
  LogUnusedUpstreams();
  Deliver(mBroker.Tick(mClock.Now()));
  mLimiter.RemoveIdle(mClock.Now());
  mResting.RemoveEnded(mClock.Now());
  std::visit([&](auto& aPolicy) { aPolicy.RemoveExpired(mClock.Now()); },
             mDispatch);
  std::erase_if(mLastRequestAt, [&](const auto& aItem) {
    return mClock.Now() - aItem.second >= Duration(kBypassInterval);
  });
}

} // namespace rattandyke::gateway
