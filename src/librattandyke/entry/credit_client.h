/// An entry's side of the slots that an upstream's home shares out.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include <rattandyke/admission.h>
#include <rattandyke/types.h>

#include "entry/credit_broker.h"

namespace rattandyke::entry {

/// Ask the home for a slot for this request: a credit_event::Asked.
struct AskCredit
{
  admission::Offer offer;
};

/// Tell the home that the slot is free, or no longer wanted.
struct ReturnCredit
{
  admission::Ticket ticket;
  std::optional<admission::Finished> finished;
};

/// The home's answer for a ticket arrived.
struct CreditAnswered
{
  admission::Ticket ticket;
  CreditState state = CreditState::Queued;
  Code code = Code::Ok;
  Duration retryAfter{};
};

using CreditClientEvent = std::variant<admission::Offer,
                                       admission::Left,
                                       admission::Finished,
                                       admission::Slots,
                                       admission::RateLimit,
                                       admission::Tick,
                                       CreditAnswered>;

using CreditClientEffect =
  std::variant<admission::Admit, admission::Refuse, AskCredit, ReturnCredit>;

/// Stands where an entry's own Admission of an upstream would. Asks the home
/// for each request; while the home does not answer, the entry admits by a
/// small limit of its own, so that the loss or pause of a home costs its
/// upstream some order but no service. Each Offer gets one Admit or Refuse,
/// unless Left comes first. Not thread-safe.
class CreditClient
{
public:
  struct Settings
  {
    /// False: there is no home to ask.
    bool hasHome = true;
    /// Without a word from the home for so long, the entry goes by itself.
    std::chrono::milliseconds homeTimeout{ 100 };
    /// How often a home that was silent is tried again.
    std::chrono::milliseconds tryAgain{ 250 };
  };

  /// @param aLocal admission for while the home is silent, made with few slots.
  CreditClient(Settings aSettings,
               std::unique_ptr<admission::Admission> aLocal);

  std::vector<CreditClientEffect> Step(const CreditClientEvent& aEvent,
                                       Instant aNow);

  /// @return when admission::Tick is due.
  std::optional<Instant> NextTick() const;

  /// @return whether requests go by the home.
  bool UsesHome() const { return mUsesHome; }

  /// @return requests that wait or run.
  size_t Requests() const { return mRequests.size(); }

private:
  enum class Place
  {
    /// Asked the home.
    Asked,
    /// Runs on the home's credit.
    OnCredit,
    /// In the local admission, waiting or running.
    Local,
  };
  struct Request
  {
    Place place = Place::Asked;
    admission::Offer offer;
    /// When it was last asked for.
    Instant asked{};
  };

  void On(const admission::Offer& aEvent);
  void On(const admission::Left& aEvent);
  void On(const admission::Finished& aEvent);
  /// Of the local admission.
  void On(const admission::Slots& aEvent);
  void On(const admission::RateLimit& aEvent);
  void On(const admission::Tick& aEvent);
  void On(const CreditAnswered& aEvent);

  void Ask(Request& aRequest);
  void FeedLocal(const admission::Event& aEvent);
  void GoLocal();
  void AdmitLocally(const admission::Offer& aOffer);
  bool Rests() const { return mNow < mRestUntil; }
  void RefuseForRest(admission::Ticket aTicket);
  void RefuseLate();
  bool HomeIsSilent() const;

  const Settings mSettings;
  const std::unique_ptr<admission::Admission> mLocal;
  Instant mNow{};
  std::vector<CreditClientEffect> mEffects;
  std::map<admission::Ticket, Request> mRequests;
  bool mUsesHome;
  /// The upstream wants no requests from this entry before this time.
  Instant mRestUntil{};
  /// The upstream limits its request rate.
  bool mRateLimited = false;
  /// Last word from the home.
  Instant mHeard{};
  Instant mTryAt{};
};

} // namespace rattandyke::entry
