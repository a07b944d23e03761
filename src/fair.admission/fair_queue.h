/// Admission plug-in "fair": weighted fair queueing per customer.
#pragma once

#include <deque>
#include <map>
#include <unordered_map>

#include <rattandyke/admission.h>

#include "base/named_rate.h"

namespace rattandyke::admission {

/// Weighted fair queue in front of the slots of one upstream, with one FIFO
/// queue per customer.
///
/// A customer's usage is its recent slot time divided by its weight; it decays
/// exponentially. Customers whose usage is at most the mean plus a burst take
/// turns: a free slot goes to the one whose last turn was longest ago. If there
/// is none, the slot goes to the customer with the lowest usage. Consequences:
/// - A single active customer may use every slot.
/// - Customers near or below the mean take turns, and go ahead of a customer
///   above it, however many requests that customer has queued.
/// - Customers that all demand more than their share get slot time in
///   proportion to their weights.
///
/// Usage is counted in units of the mean service time. A request is charged one
/// unit when it is admitted; when it finishes, the charge is corrected to its
/// actual service time, so long requests cost more than short ones.
///
/// A request is refused on arrival if the estimates show that it cannot be
/// admitted in time or finish by its deadline. An early refusal leaves the
/// caller time to react.
class FairQueue final : public Admission
{
public:
  explicit FairQueue(Settings aSettings);

  std::vector<Effect> Step(const Event& aEvent, Instant aNow) override;
  std::optional<Instant> NextTick() const override;
  size_t Queued() const override { return mQueuedRequests.size(); }
  size_t Running() const override { return mRunning.size(); }

private:
  struct Customer;
  /// Keyed by name. An idle customer stays while its usage is not negligible or
  /// it has a rate limit, see EraseIfUnneeded.
  using Customers = std::map<CustomerName, Customer>;
  using Expiries = std::multimap<Instant, Ticket>;
  using UsageOrder = std::multimap<double, Customers::iterator>;

  struct QueuedRequest
  {
    Offer offer;
    Customers::iterator customer;
    Expiries::iterator expiry;
  };

  struct Customer
  {
    Share share;
    std::deque<Ticket> queue;
    /// Units used divided by weight, scaled by mUsageScale at the time of each
    /// charge. It does not decay itself; the scale grows instead.
    double usage = 0;
    uint32_t running = 0;
    /// Token bucket of the rate limit: one token per request, as of refilledAt.
    double tokens = 0;
    Instant refilledAt{};
    /// Sequence number of its last admission, or of the arrival that started
    /// its queue, whichever is later. The lowest number has the next turn.
    uint64_t turnSequence = 0;
    /// Position in mUsageOrder; set while it has requests queued.
    std::optional<UsageOrder::iterator> position;
  };

  void On(const Offer& aEvent);
  void On(const Left& aEvent);
  void On(const Finished& aEvent);
  void On(const Slots& aEvent);
  void On(const RateLimit& aEvent);
  void On(const Tick& aEvent);

  Customers::iterator FindOrAddCustomer(const Offer& aOffer);
  std::optional<Refuse> RefusalFor(const Offer& aOffer, Customer& aCustomer);
  Duration EstimateWait(const Customer& aCustomer) const;
  Duration StallTime() const;
  bool HasRateRoom() const;
  Duration RateLimitWait(double aRequests) const;
  Duration RetryAfter(Ticket aTicket, Duration aWait) const;
  bool TakeToken(Customer& aCustomer);
  void Enqueue(const Offer& aOffer, Customers::iterator aCustomer);
  void RemoveQueued(Ticket aTicket);
  void RemoveFromUsageOrder(Customer& aCustomer);
  void EraseIfUnneeded(Customers::iterator aCustomer);
  void EraseIdleCustomers();
  void AdmitQueued();
  std::optional<Customers::iterator> NextCustomer() const;
  void AdmitHeadOf(Customers::iterator aCustomer);
  void RefuseExpired();
  bool IsBelowConcurrencyLimit(const Customer& aCustomer) const;
  void Charge(Customers::iterator aCustomer, double aUnits);
  void AddToTotals(const Customer& aCustomer, double aSign);
  double UsagePerUnit(const Customer& aCustomer) const;
  double FairUsageLimit() const;
  void AdvanceUsageScale();

  const Settings mSettings;
  uint32_t mSlots;
  Instant mNow{};
  std::vector<Effect> mEffects;
  Customers mCustomers;
  std::unordered_map<Ticket, QueuedRequest> mQueuedRequests;
  std::unordered_map<Ticket, Customers::iterator> mRunning;
  Expiries mExpiries;
  /// Customers with queued requests, ordered by usage.
  UsageOrder mUsageOrder;
  /// Sums over mCustomers: of weight, and of usage multiplied by weight.
  double mTotalWeight = 0;
  double mTotalWeightedUsage = 0;
  /// Last value given to a Customer::turnSequence.
  uint64_t mLastSequence = 0;
  /// Weight of a unit charged now. It grows exponentially with time, so that
  /// older usage counts less without an update of every customer.
  double mUsageScale = 1;
  Instant mUsageScaleAt{};
  /// Exponentially weighted moving average of the service time of successful
  /// requests; starts at Settings::serviceTime.
  Duration mMeanServiceTime;
  /// Time of the last admission or completion.
  Instant mLastProgress{};
  /// No admissions before this time, as the upstream's Retry-After asked.
  Instant mPausedUntil{};
  /// Requests that the upstream's rate limit admits; none: no limit.
  std::optional<TokenBucket> mRateLimit;
};

} // namespace rattandyke::admission
