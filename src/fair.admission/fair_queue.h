/// Admission plug-in "fair": per-customer queues in front of an upstream.
#pragma once

#include <deque>
#include <map>
#include <unordered_map>

#include <rattandyke/admission.h>

namespace rattandyke::admission {

/// Remembers the slot time that each customer used lately, over its weight,
/// and forgets it by and by. A free slot goes to the oldest request of those
/// customers that used little more than the mean, else to the customer that
/// used least. So one customer alone may use every slot; customers within their
/// part are served in turn, and before one that uses more, however
/// many requests that one has queued; customers that all want more than their
/// part get slot time in proportion to their weights. A request is charged a
/// unit (the mean service time) when it is admitted and its real slot time when
/// it ends, so long requests pay for their length.
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
  using Order = std::multimap<double, Customers::iterator>;

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
    /// Units used, over weight; grown by mScale instead of decaying.
    double usage = 0;
    uint32_t running = 0;
    /// Starts that the rate limit allows now.
    double tokens = 0;
    Instant refilled{};
    /// Since when its first request is first: it came or the one before went.
    uint64_t waitingSince = 0;
    /// Position in mOrder, if it has requests queued.
    std::optional<Order::iterator> turn;
  };

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
  void LeaveOrder(Customer& aCustomer);
  void Forget(Customers::iterator aCustomer);
  void ForgetIdle();
  void Fill();
  std::optional<Customers::iterator> NextCustomer() const;
  void AdmitFrom(Customers::iterator aCustomer);
  void RefuseLate();
  bool MayRun(const Customer& aCustomer) const;
  void Charge(Customers::iterator aCustomer, double aUnits);
  void Count(const Customer& aCustomer, double aSign);
  double UnitOf(const Customer& aCustomer) const;
  double FairUsage() const;
  void Rescale();

  const Settings mSettings;
  uint32_t mSlots;
  Instant mNow{};
  std::vector<Effect> mEffects;
  Customers mCustomers;
  std::unordered_map<Ticket, Waiting> mWaiting;
  std::unordered_map<Ticket, Customers::iterator> mRunning;
  Expiries mExpiries;
  /// Customers with requests queued, by usage.
  Order mOrder;
  /// Sums over mCustomers, of weight and of usage by weight.
  double mWeights = 0;
  double mUsed = 0;
  /// Numbers Customer::waitingSince.
  uint64_t mTurns = 0;
  /// Worth of a unit used now: rises as time passes, which makes older use
  /// count less without touching every customer.
  double mScale = 1;
  Instant mScaledAt{};
  /// Mean of what requests needed, weighted towards the newest.
  Duration mServiceTime;
  /// When a request was last admitted or finished.
  Instant mLastProgress{};
  /// The upstream asked for a pause until then.
  Instant mPausedUntil{};
};

} // namespace rattandyke::admission
