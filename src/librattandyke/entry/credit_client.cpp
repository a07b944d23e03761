#include "entry/credit_client.h"

#include <algorithm>
#include <utility>

namespace rattandyke::entry {

CreditClient::CreditClient(Settings aSettings,
                           std::unique_ptr<admission::Admission> aLocal)
  : mSettings(aSettings)
  , mLocal(std::move(aLocal))
  , mUsesHome(aSettings.hasHome)
{
}

std::vector<CreditClientEffect>
CreditClient::Step(const CreditClientEvent& aEvent, Instant aNow)
{
  mNow = aNow;
  std::visit([this](const auto& aEach) { On(aEach); }, aEvent);
  return std::exchange(mEffects, {});
}

void
CreditClient::On(const admission::Offer& aEvent)
{
  if (Rests()) {
    return RefuseForRest(aEvent.ticket);
  }
  const bool tries = mSettings.hasHome && !mUsesHome && mNow >= mTryAt;
  if (mUsesHome || tries) {
    // One request finds out whether a silent home is back.
    mTryAt = mNow + mSettings.tryAgain;
    Request& request = mRequests[aEvent.ticket];
    request = { Place::Asked, aEvent, mNow };
    return Ask(request);
  }
  mRequests[aEvent.ticket] = { Place::Local, aEvent, mNow };
  AdmitLocally(aEvent);
}

/// The home alone counts the requests to an upstream that limits their rate, so
/// without it none is admitted.
void
CreditClient::AdmitLocally(const admission::Offer& aOffer)
{
  if (Rests()) {
    return RefuseForRest(aOffer.ticket);
  }
  if (!mSettings.hasHome || !mRateLimited) {
    return FeedLocal(aOffer);
  }
  mRequests.erase(aOffer.ticket);
  mEffects.emplace_back(
    admission::Refuse{ aOffer.ticket, Code::Overloaded, mSettings.tryAgain });
}

/// The home may grant slots of an upstream that rests: it may not have met the
/// rest, and the upstream may serve other entries.
void
CreditClient::RefuseForRest(admission::Ticket aTicket)
{
  mRequests.erase(aTicket);
  mEffects.emplace_back(
    admission::Refuse{ aTicket, Code::Overloaded, mRestUntil - mNow });
}

void
CreditClient::Ask(Request& aRequest)
{
  aRequest.asked = mNow;
  mEffects.emplace_back(AskCredit{ aRequest.offer });
}

void
CreditClient::On(const admission::Left& aEvent)
{
  const auto request = mRequests.find(aEvent.ticket);
  if (request == mRequests.end()) {
    return;
  }
  const bool local = request->second.place == Place::Local;
  mRequests.erase(request);
  if (local) {
    return FeedLocal(aEvent);
  }
  mEffects.emplace_back(ReturnCredit{ aEvent.ticket, std::nullopt });
}

void
CreditClient::On(const admission::Finished& aEvent)
{
  const auto request = mRequests.find(aEvent.ticket);
  if (request == mRequests.end()) {
    return;
  }
  const bool local = request->second.place == Place::Local;
  mRequests.erase(request);
  if (aEvent.ending == admission::Ending::Shed) {
    mRestUntil = std::max<Instant>(mRestUntil, mNow + aEvent.retryAfter);
  }
  if (local) {
    return FeedLocal(aEvent);
  }
  mEffects.emplace_back(ReturnCredit{ aEvent.ticket, aEvent });
}

void
CreditClient::On(const CreditAnswered& aEvent)
{
  mHeard = mNow;
  mUsesHome = true;
  const auto found = mRequests.find(aEvent.ticket);
  const bool asked =
    found != mRequests.end() && found->second.place == Place::Asked;
  if (!asked) {
    // A credit for a request that is over or runs without it would stay out.
    const bool onCredit =
      found != mRequests.end() && found->second.place == Place::OnCredit;
    if (aEvent.state == CreditState::Granted && !onCredit) {
      mEffects.emplace_back(ReturnCredit{ aEvent.ticket, std::nullopt });
    }
    return;
  }
  found->second.asked = mNow;
  if (aEvent.state == CreditState::Granted && Rests()) {
    mEffects.emplace_back(ReturnCredit{ aEvent.ticket, std::nullopt });
    return RefuseForRest(aEvent.ticket);
  }
  if (aEvent.state == CreditState::Granted) {
    found->second.place = Place::OnCredit;
    mEffects.emplace_back(admission::Admit{ aEvent.ticket });
  }
  if (aEvent.state == CreditState::Refused) {
    mRequests.erase(found);
    mEffects.emplace_back(
      admission::Refuse{ aEvent.ticket, aEvent.code, aEvent.retryAfter });
  }
}

void
CreditClient::On(const admission::Slots& aEvent)
{
  FeedLocal(aEvent);
}

void
CreditClient::On(const admission::RateLimit& aEvent)
{
  mRateLimited = aEvent.requestsPerSecond.has_value();
  FeedLocal(aEvent);
}

void
CreditClient::On(const admission::Tick& aEvent)
{
  FeedLocal(aEvent);
  RefuseLate();
  if (HomeIsSilent()) {
    return GoLocal();
  }
  for (auto& [ticket, request] : mRequests) {
    const bool due = mNow >= request.asked + mSettings.homeTimeout / 2;
    if (request.place == Place::Asked && due && request.asked <= mHeard) {
      Ask(request); // It still waits; asking again shows that the home lives.
    }
  }
}

/// Whether something was asked a while ago and nothing was heard since.
bool
CreditClient::HomeIsSilent() const
{
  return std::any_of(mRequests.begin(), mRequests.end(), [&](const auto& aOne) {
    const Request& request = aOne.second;
    return request.place == Place::Asked && mHeard < request.asked &&
           mNow >= request.asked + mSettings.homeTimeout;
  });
}

/// Passes every request that waits for the home to the local admission.
void
CreditClient::GoLocal()
{
  mUsesHome = false;
  mTryAt = mNow + mSettings.tryAgain;
  std::vector<admission::Offer> offers;
  for (auto& [ticket, request] : mRequests) {
    if (request.place == Place::Asked) {
      request.place = Place::Local;
      offers.push_back(request.offer);
    }
  }
  for (const admission::Offer& offer : offers) {
    mEffects.emplace_back(ReturnCredit{ offer.ticket, std::nullopt });
    AdmitLocally(offer);
  }
}

/// The home refuses what waits too long, but it may not be heard.
void
CreditClient::RefuseLate()
{
  std::erase_if(mRequests, [&](const auto& aOne) {
    const auto& [ticket, request] = aOne;
    const bool late =
      request.place == Place::Asked && mNow >= request.offer.admitBy;
    if (late) {
      mEffects.emplace_back(ReturnCredit{ ticket, std::nullopt });
      mEffects.emplace_back(
        admission::Refuse{ ticket, Code::Overloaded, mSettings.tryAgain });
    }
    return late;
  });
}

void
CreditClient::FeedLocal(const admission::Event& aEvent)
{
  std::vector<admission::Ticket> resting;
  for (const admission::Effect& effect : mLocal->Step(aEvent, mNow)) {
    const auto* admit = std::get_if<admission::Admit>(&effect);
    if (admit != nullptr && Rests()) {
      resting.push_back(admit->ticket);
      continue;
    }
    if (const auto* refuse = std::get_if<admission::Refuse>(&effect)) {
      mRequests.erase(refuse->ticket);
    }
    std::visit([this](const auto& aOne) { mEffects.emplace_back(aOne); },
               effect);
  }
  for (const admission::Ticket ticket : resting) {
    RefuseForRest(ticket);
    FeedLocal(admission::Left{ ticket });
  }
}

std::optional<Instant>
CreditClient::NextTick() const
{
  std::optional<Instant> next = mLocal->NextTick();
  for (const auto& [ticket, request] : mRequests) {
    if (request.place != Place::Asked) {
      continue;
    }
    const bool heard = request.asked <= mHeard;
    const Duration wait =
      heard ? mSettings.homeTimeout / 2 : mSettings.homeTimeout;
    const Instant due =
      std::min<Instant>(request.offer.admitBy, request.asked + wait);
    next = std::min(next.value_or(due), due);
  }
  return next;
}

} // namespace rattandyke::entry
