#include "http/upstream_queue.h"

#include <algorithm>

#include "log/log.h"

namespace rattandyke::http {

using admission::Ticket;

namespace {

constexpr std::chrono::seconds kForgetAfter{ 60 };
constexpr std::chrono::milliseconds kResendAfter{ 50 };
/// A home that has not heard by then is gone, and its slots with it, or it
/// frees the slot by itself when the request cannot be running any more.
constexpr std::chrono::seconds kResendFor{ 10 };

} // namespace

UpstreamQueue::UpstreamQueue(const boost::asio::any_io_executor& aExecutor,
                             const Clock& aClock,
                             EntryHost& aHost,
                             UpstreamLife aLife,
                             uint32_t aLocalSlots,
                             entry::CreditClient::Settings aSettings,
                             std::unique_ptr<admission::Admission> aLocal)
  : mClock(aClock)
  , mHost(aHost)
  , mLife(std::move(aLife))
  , mLocalSlots(aLocalSlots)
  , mClient(aSettings, std::move(aLocal))
  , mTimer(aExecutor)
{
}

void
UpstreamQueue::CallBack(const Answers& aAnswers)
{
  for (const auto& [answer, callback] : aAnswers) {
    callback(answer);
  }
}

std::optional<UpstreamQueue::Answer>
UpstreamQueue::Offer(const HostName& aHome,
                     uint32_t aSlots,
                     admission::Offer aOffer,
                     Callback aOnAnswer)
{
  const Ticket own = aOffer.ticket;
  std::optional<Answer> ownAnswer;
  Answers answers;
  {
    const std::lock_guard lock(mMutex);
    mLastUse = mClock.Now();
    mHome = aHome;
    if (aSlots != mSlots) {
      mSlots = aSlots;
      StepLocked(admission::Slots{ std::min(aSlots, mLocalSlots) },
                 std::nullopt,
                 answers);
    }
    ownAnswer = StepLocked(std::move(aOffer), own, answers);
    if (!ownAnswer) {
      mCallbacks.emplace(own, std::move(aOnAnswer));
    }
  }
  CallBack(answers);
  return ownAnswer;
}

void
UpstreamQueue::RecordRateLimit(std::optional<double> aRequestsPerSecond)
{
  Answers answers;
  {
    const std::lock_guard lock(mMutex);
    if (mRate.Update(aRequestsPerSecond, mClock.Now())) {
      log::Line(log::Part::Entry, log::Severity::Info)
        << "upstream " << mLife.name << " of service " << mLife.service
        << (aRequestsPerSecond ? " limits" : " no longer limits")
        << " its requests per second limit=" << aRequestsPerSecond.value_or(0);
      OnRateChangedLocked(answers);
    }
  }
  CallBack(answers);
}

void
UpstreamQueue::OnRateChangedLocked(Answers& aAnswers)
{
  StepLocked(
    admission::RateLimit{ mRate.RequestsPerSecond() }, std::nullopt, aAnswers);
}

void
UpstreamQueue::Post(const entry::CreditClientEvent& aEvent)
{
  Answers answers;
  {
    const std::lock_guard lock(mMutex);
    if (const auto* left = std::get_if<admission::Left>(&aEvent)) {
      mCallbacks.erase(left->ticket);
    }
    StepLocked(aEvent, std::nullopt, answers);
  }
  CallBack(answers);
}

void
UpstreamQueue::Handle(const HostName& aFrom, const wire::CreditAnswer& aMessage)
{
  const Ticket ticket{ aMessage.request() };
  const auto answered = AnsweredIn(aMessage);
  Answers answers;
  {
    const std::lock_guard lock(mMutex);
    if (aMessage.has_notice() &&
        ApplyNotice(aMessage.notice(), mRate, mClock.Now())) {
      OnRateChangedLocked(answers);
    }
    if (aMessage.state() == wire::CREDIT_STATE_RETURNED) {
      std::erase_if(mUnheard, [&](const Unheard& aOne) {
        return aOne.ticket == ticket && aOne.home == aFrom;
      });
      return;
    }
    if (!answered) {
      return;
    }
    const auto asked = mAsked.find(ticket);
    if (asked != mAsked.end() && asked->second == aFrom) {
      StepLocked(*answered, std::nullopt, answers);
    } else if (answered->state == entry::CreditState::Granted) {
      // The request is over, or asked a new home meanwhile: without the return
      // the slot would stay taken at the old one.
      ReturnLocked(aFrom, ticket, std::nullopt);
      ArmLocked();
    }
  }
  CallBack(answers);
}

bool
UpstreamQueue::IsUnused(Instant aNow) const
{
  const std::lock_guard lock(mMutex);
  return mClient.Requests() == 0 && mUnheard.empty() &&
         aNow - mLastUse > kForgetAfter;
}

/// @param aOwn     ticket whose answer is returned in place of called back.
/// @param aAnswers to be called back once the lock is given up.
std::optional<UpstreamQueue::Answer>
UpstreamQueue::StepLocked(const entry::CreditClientEvent& aEvent,
                          std::optional<Ticket> aOwn,
                          Answers& aAnswers)
{
  mOwn = aOwn;
  mOwnAnswer.reset();
  mAnswers = &aAnswers;
  for (const auto& effect : mClient.Step(aEvent, mClock.Now())) {
    std::visit([this](const auto& aOne) { CarryLocked(aOne); }, effect);
  }
  ArmLocked();
  return std::exchange(mOwnAnswer, std::nullopt);
}

void
UpstreamQueue::CarryLocked(const entry::AskCredit& aEffect)
{
  const Ticket ticket = aEffect.offer.ticket;
  const auto [asked, isFirst] = mAsked.try_emplace(ticket, mHome);
  if (asked->second != mHome) {
    // The upstream moved while the request waited: the old home may still
    // grant it a slot that nobody would use.
    ReturnLocked(asked->second, ticket, std::nullopt);
    asked->second = mHome;
  }
  SendLocked(mHome, AskMessage(mLife, aEffect.offer, mSlots, mClock.Now()));
}

void
UpstreamQueue::CarryLocked(const entry::ReturnCredit& aEffect)
{
  const auto asked = mAsked.find(aEffect.ticket);
  if (asked == mAsked.end()) {
    return;
  }
  const HostName home = asked->second;
  mAsked.erase(asked);
  ReturnLocked(home, aEffect.ticket, aEffect.finished);
}

void
UpstreamQueue::CarryLocked(const admission::Admit& aEffect)
{
  AnswerLocked(aEffect, aEffect.ticket);
}

void
UpstreamQueue::CarryLocked(const admission::Refuse& aEffect)
{
  mAsked.erase(aEffect.ticket);
  AnswerLocked(aEffect, aEffect.ticket);
}

void
UpstreamQueue::AnswerLocked(Answer aAnswer, Ticket aTicket)
{
  if (mOwn == aTicket) {
    mOwnAnswer = aAnswer;
    return;
  }
  const auto found = mCallbacks.find(aTicket);
  if (found != mCallbacks.end()) {
    mAnswers->emplace_back(aAnswer, std::move(found->second));
    mCallbacks.erase(found);
  }
}

void
UpstreamQueue::ReturnLocked(const HostName& aHome,
                            Ticket aTicket,
                            const std::optional<admission::Finished>& aFinished)
{
  const Instant now = mClock.Now();
  auto message = ReturnMessage(mLife, aTicket, aFinished);
  SendLocked(aHome, message);
  mUnheard.push_back(
    { aHome, aTicket, std::move(message), now, now + kResendFor });
}

void
UpstreamQueue::SendLocked(const HostName& aHome, wire::CreditRequest aMessage)
{
  if (mRate.WasNamed()) {
    *aMessage.mutable_notice() = NoticeMessage(mRate, mClock.Now());
  }
  wire::Envelope envelope;
  *envelope.mutable_credit_request() = std::move(aMessage);
  mHost.Send(aHome, std::move(envelope));
}

void
UpstreamQueue::ResendLocked()
{
  const Instant now = mClock.Now();
  std::erase_if(mUnheard,
                [&](const Unheard& aOne) { return now >= aOne.giveUp; });
  for (Unheard& unheard : mUnheard) {
    if (now >= unheard.sent + kResendAfter) {
      unheard.sent = now;
      SendLocked(unheard.home, unheard.message);
    }
  }
}

std::optional<Instant>
UpstreamQueue::NextLocked() const
{
  std::optional<Instant> next = mClient.NextTick();
  for (const Unheard& unheard : mUnheard) {
    const Instant due = unheard.sent + kResendAfter;
    next = std::min(next.value_or(due), due);
  }
  return next;
}

void
UpstreamQueue::ArmLocked()
{
  const auto next = NextLocked();
  if (!next || (mArmed && *mArmed <= *next)) {
    return;
  }
  mArmed = *next;
  mTimer.expires_at(*next);
  mTimer.async_wait(
    [weak = weak_from_this()](const boost::system::error_code& aError) {
      if (const auto self = weak.lock(); self && !aError) {
        self->OnTimer();
      }
    });
}

void
UpstreamQueue::OnTimer()
{
  Answers answers;
  {
    const std::lock_guard lock(mMutex);
    mArmed.reset();
    ResendLocked();
    StepLocked(admission::Tick{}, std::nullopt, answers);
  }
  CallBack(answers);
}

} // namespace rattandyke::http
