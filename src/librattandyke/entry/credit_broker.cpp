#include "entry/credit_broker.h"

#include <algorithm>
#include <utility>

namespace rattandyke::entry {

namespace {

/// A request can be cancelled this long after its deadline at the latest.
constexpr Duration kGrace = std::chrono::seconds(6);

} // namespace

CreditBroker::CreditBroker(std::unique_ptr<admission::Admission> aAdmission)
  : mAdmission(std::move(aAdmission))
{
}

std::vector<CreditAnswer>
CreditBroker::Step(const CreditEvent& aEvent, Instant aNow)
{
  mNow = aNow;
  std::visit([this](const auto& aEach) { On(aEach); }, aEvent);
  ReclaimOverdue();
  return std::exchange(mAnswers, {});
}

void
CreditBroker::On(const credit_event::Asked& aEvent)
{
  const auto known = mRequests.find(aEvent.key);
  if (known != mRequests.end()) {
    const auto state =
      known->second.granted ? CreditState::Granted : CreditState::Queued;
    mAnswers.push_back({ aEvent.key, state });
    return;
  }
  const Duration rest = RestLeft(aEvent.key.host);
  if (rest > Duration::zero()) {
    mAnswers.push_back(
      { aEvent.key, CreditState::Refused, Code::Overloaded, rest });
    return;
  }
  const admission::Ticket ticket{ ++mTickets };
  const Instant deadline = mNow + aEvent.finishWithin;
  mRequests.emplace(aEvent.key, Request{ ticket, false, deadline + kGrace });
  mKeys.emplace(ticket, aEvent.key);
  mEnds.emplace(deadline + kGrace, aEvent.key);
  Feed(admission::Offer{ ticket,
                         aEvent.customer,
                         aEvent.share,
                         mNow + aEvent.admitWithin,
                         deadline,
                         aEvent.idempotent });
  const auto request = mRequests.find(aEvent.key);
  if (request != mRequests.end() && !request->second.granted) {
    mAnswers.push_back({ aEvent.key, CreditState::Queued });
  }
}

void
CreditBroker::On(const credit_event::Returned& aEvent)
{
  const auto request = mRequests.find(aEvent.key);
  if (request == mRequests.end()) {
    return;
  }
  if (!aEvent.finished) {
    return Drop(aEvent.key);
  }
  admission::Finished finished = *aEvent.finished;
  if (finished.ending == admission::Ending::Shed) {
    RecordRest(aEvent.key.host, finished.retryAfter);
  }
  finished.ticket = request->second.ticket;
  Erase(aEvent.key);
  Feed(finished);
}

/// @return the time for which an entry must send the upstream nothing. The
/// entry knows it, unless it has been restarted since.
Duration
CreditBroker::RestLeft(const HostName& aHost) const
{
  const auto rest = mRests.find(aHost);
  return rest == mRests.end()
           ? Duration::zero()
           : std::max<Duration>(rest->second - mNow, Duration::zero());
}

void
CreditBroker::RecordRest(const HostName& aHost, Duration aRest)
{
  std::erase_if(mRests, [&](const auto& aOne) { return aOne.second <= mNow; });
  Instant& until = mRests[aHost];
  until = std::max<Instant>(until, mNow + aRest);
}

void
CreditBroker::Drop(const CreditKey& aKey)
{
  const admission::Ticket ticket = mRequests.at(aKey).ticket;
  Erase(aKey);
  Feed(admission::Left{ ticket });
}

void
CreditBroker::Erase(const CreditKey& aKey)
{
  const auto request = mRequests.find(aKey);
  mKeys.erase(request->second.ticket);
  mEnds.erase({ request->second.ends, aKey });
  mRequests.erase(request);
}

void
CreditBroker::On(const credit_event::SessionGone& aEvent)
{
  std::vector<CreditKey> gone;
  for (const auto& [key, request] : mRequests) {
    if (key.host == aEvent.host && key.session == aEvent.session) {
      gone.push_back(key);
    }
  }
  std::for_each(gone.begin(), gone.end(), [&](auto& aKey) { Drop(aKey); });
}

void
CreditBroker::On(const credit_event::SlotsChanged& aEvent)
{
  Feed(admission::Slots{ aEvent.slots });
}

void
CreditBroker::On(const credit_event::RateLimitChanged& aEvent)
{
  Feed(admission::RateLimit{ aEvent.requestsPerSecond });
}

void
CreditBroker::On(const credit_event::Tick&)
{
  Feed(admission::Tick{});
}

/// Frees slots whose return was lost, as when an entry was cut off from this
/// home for good but not from the leader. Without it such a slot would stay
/// taken until the upstream starts anew.
void
CreditBroker::ReclaimOverdue()
{
  while (!mEnds.empty() && mEnds.begin()->first <= mNow) {
    Drop(CreditKey(mEnds.begin()->second));
  }
}

void
CreditBroker::Feed(const admission::Event& aEvent)
{
  for (const admission::Effect& effect : mAdmission->Step(aEvent, mNow)) {
    std::visit([this](const auto& aOne) { Carry(aOne); }, effect);
  }
}

void
CreditBroker::Carry(const admission::Admit& aEffect)
{
  const CreditKey key = mKeys.at(aEffect.ticket);
  mRequests.at(key).granted = true;
  mAnswers.push_back({ key, CreditState::Granted });
}

void
CreditBroker::Carry(const admission::Refuse& aEffect)
{
  const CreditKey key = mKeys.at(aEffect.ticket);
  mAnswers.push_back(
    { key, CreditState::Refused, aEffect.code, aEffect.retryAfter });
  Erase(key);
}

std::optional<Instant>
CreditBroker::NextTick() const
{
  std::optional<Instant> next = mAdmission->NextTick();
  if (!mEnds.empty()) {
    const Instant end = mEnds.begin()->first;
    next = std::min(next.value_or(end), end);
  }
  return next;
}

} // namespace rattandyke::entry
