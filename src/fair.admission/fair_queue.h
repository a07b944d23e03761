/// Admission plug-in "fair": per-customer queues in front of an upstream.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <unordered_map>

#include <rattandyke/admission.h>

namespace rattandyke::admission {

/// Deficit round robin over customers. Each round gives a customer `weight`
/// units; a request costs 1 unit when it is admitted and is settled by its real
/// slot time, in units of the mean service time, when it ends. So a customer
/// with long requests pays for their length, one customer alone may use every
/// slot, and a customer that comes back is served within a round however many
/// requests the others have queued.
///
/// A request is refused at once if by the estimate it cannot be admitted in
/// time or finished by its deadline: a refusal early and cheap lets the caller
/// act while it still can.
class FairQueue final : public Admission
{
public:
  explicit FairQueue(Settings aSettings);

  std::vector<Effect> Step(const Event& aEvent, Instant aNow) override;
  std::optional<Instant> NextTick() const override;
  size_t Queued() const override { return mWaiting.size(); }
  size_t Running() const override { return mRunning.size(); }

private:
  struct Customer;
  /// Customers of equal name share one entry; kept while it says anything.
  using Customers = std::map<CustomerName, Customer>;
  using Expiries = std::multimap<Instant, Ticket>;

  struct Waiting
  {
    Offer offer;
    Customers::iterator customer;
    Expiries::iterator expiry;
  };

  struct Customer
  {
    Share share;
    std::deque<Ticket> queue;
    double deficit = 0;
    uint32_t running = 0;
    /// Starts that the rate limit allows now.
    double tokens = 0;
    Instant refilled{};
    /// Position in the round, if it has requests queued.
    std::optional<std::list<Customers::iterator>::iterator> turn;
  };

  using Round = std::list<Customers::iterator>;

  void On(const Offer& aEvent);
  void On(const Left& aEvent);
  void On(const Finished& aEvent);
  void On(const Slots& aEvent);
  void On(const Tick& aEvent);

  Customers::iterator CustomerOf(const Offer& aOffer);
  std::optional<Refuse> Objection(const Offer& aOffer, Customer& aCustomer);
  Duration ExpectedWait(const Customer& aCustomer) const;
  Duration Stall() const;
  bool TakeToken(Customer& aCustomer);
  void Enqueue(const Offer& aOffer, Customers::iterator aCustomer);
  void Remove(Ticket aTicket);
  void LeaveRound(Customers::iterator aCustomer);
  void Forget(Customers::iterator aCustomer);
  void Fill();
  Customers::iterator NextCustomer();
  void AdmitFrom(Customers::iterator aCustomer);
  void RefuseLate();
  bool MayRun(const Customer& aCustomer) const;
  void Settle(Customers::iterator aCustomer, Duration aServiceTime);

  const Settings mSettings;
  uint32_t mSlots;
  Instant mNow{};
  std::vector<Effect> mEffects;
  Customers mCustomers;
  std::unordered_map<Ticket, Waiting> mWaiting;
  std::unordered_map<Ticket, Customers::iterator> mRunning;
  Expiries mExpiries;
  Round mRound;
  /// Whose turn it is already got this round's units.
  bool mTurnPaid = false;
  /// Mean of what requests needed, weighted towards the newest.
  Duration mServiceTime;
  /// When a request was last admitted or finished.
  Instant mLastProgress{};
  /// The upstream asked for a pause until then.
  Instant mPausedUntil{};
};

} // namespace rattandyke::admission
