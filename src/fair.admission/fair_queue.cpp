#include "fair_queue.h"

#include <algorithm>
#include <cmath>

namespace rattandyke::admission {

namespace {

/// Floor for configured weights; avoids a division by zero.
constexpr double kMinWeight = 0.01;
/// Units by which a customer's usage may exceed the mean while the customer
/// still takes turns with the others.
constexpr double kBurstUnits = 8;
/// Time constant in seconds of the exponential decay of usage; the half-life is
/// about 0.7 of it.
constexpr std::chrono::duration<double> kUsageTimeConstant{ 2.0 };
/// Usage below this fraction of a unit is treated as zero for idle customers.
constexpr double kNegligibleUnits = 0.01;
/// Usage is rescaled when mUsageScale reaches this value, far below the
/// overflow of a double.
constexpr double kMaxUsageScale = 1e100;
/// Weight of the newest sample in the moving average of the service time.
constexpr double kServiceTimeSmoothing = 0.1;
/// Capacity of the rate limit's token bucket, in seconds of its rate; the
/// bucket holds at least one token.
constexpr double kRateBurstSeconds = 0.1;
/// At this number of customers, an arriving request erases all idle customers
/// with their usage and tokens. Busy customers always stay, so the number can
/// be exceeded.
constexpr size_t kMaxTrackedCustomers = 4096;
/// Upper limit for the pause that an upstream's Retry-After sets.
constexpr Duration kMaxPause = std::chrono::seconds(5);
/// Lower limit for the retry delay in Code::Overloaded refusals.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
/// Retry delays are spread from this one up to twice as long.
constexpr Duration kMaxSpreadRetryAfter = std::chrono::seconds(2);
/// Spreads consecutive tickets (2^64 divided by the golden ratio).
constexpr uint64_t kSpreadMultiplier = 0x9e3779b97f4a7c15;

double
WeightOf(const Share& aShare)
{
  return std::max(aShare.weight, kMinWeight);
}

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

const AdmissionRegistry::Registration sRegistration(
  "fair",
  [](Settings aSettings) { return std::make_unique<FairQueue>(aSettings); });

} // namespace

FairQueue::FairQueue(Settings aSettings)
  : mSettings(aSettings)
  , mSlots(aSettings.slots)
  , mMeanServiceTime(std::max<Duration>(aSettings.serviceTime, Duration(1)))
{
}

std::vector<Effect>
FairQueue::Step(const Event& aEvent, Instant aNow)
{
  mNow = aNow;
  AdvanceUsageScale();
  std::visit([this](const auto& aAlternative) { On(aAlternative); }, aEvent);
  RefuseExpired();
  AdmitQueued();
  return std::exchange(mEffects, {});
}

void
FairQueue::On(const Offer& aEvent)
{
  const auto customer = FindOrAddCustomer(aEvent);
  if (const auto refusal = RefusalFor(aEvent, customer->second)) {
    mEffects.emplace_back(*refusal);
    EraseIfUnneeded(customer);
    return;
  }
  Enqueue(aEvent, customer);
}

/// Finds or adds the customer of a request and updates its share. A new
/// customer starts with a full token bucket.
FairQueue::Customers::iterator
FairQueue::FindOrAddCustomer(const Offer& aOffer)
{
  if (mCustomers.size() >= kMaxTrackedCustomers) {
    EraseIdleCustomers();
  }
  const auto [customer, isNew] = mCustomers.try_emplace(aOffer.customer);
  if (isNew) {
    customer->second.tokens =
      std::max(1.0, aOffer.share.ratePerSecond * kRateBurstSeconds);
    customer->second.refilledAt = mNow;
  } else {
    AddToTotals(customer->second, -1);
  }
  customer->second.share = aOffer.share;
  AddToTotals(customer->second, 1);
  return customer;
}

/// Erases every customer that has no queued and no running requests.
void
FairQueue::EraseIdleCustomers()
{
  for (auto next = mCustomers.begin(); next != mCustomers.end();) {
    const auto customer = next++;
    const bool idle =
      customer->second.queue.empty() && customer->second.running == 0;
    if (idle) {
      AddToTotals(customer->second, -1);
      mCustomers.erase(customer);
    }
  }
}

/// Adds the customer's weight and usage to the totals.
/// @param aSign 1 to add, -1 to subtract.
void
FairQueue::AddToTotals(const Customer& aCustomer, double aSign)
{
  const double weight = WeightOf(aCustomer.share);
  mTotalWeight += aSign * weight;
  mTotalWeightedUsage =
    std::max(mTotalWeightedUsage + aSign * weight * aCustomer.usage, 0.0);
}

/// Returns the usage up to which customers take turns: the weighted mean plus a
/// burst. Without the burst, customers with equal demand would keep overtaking
/// each other, which only makes their wait times vary more.
double
FairQueue::FairUsageLimit() const
{
  const double mean = mTotalWeight > 0 ? mTotalWeightedUsage / mTotalWeight : 0;
  return mean + kBurstUnits * mUsageScale;
}

/// Checks the deadline, the queue limits and the rate limit of a new request,
/// and takes a rate limit token if it passes.
/// @return the refusal, or none if the request may be queued.
std::optional<Refuse>
FairQueue::RefusalFor(const Offer& aOffer, Customer& aCustomer)
{
  if (mNow + mMeanServiceTime > aOffer.deadline && !mRunning.empty()) {
    return Refuse{ aOffer.ticket, Code::DeadlineExceeded, Duration{} };
  }
  const Duration estimatedWait = EstimateWait(aCustomer);
  const Instant admitBy =
    std::min(aOffer.admitBy, mNow + mSettings.maxQueueTime);
  const bool isTooLate =
    mNow + estimatedWait > admitBy ||
    mNow + estimatedWait + mMeanServiceTime > aOffer.deadline;
  const bool isQueueFull = aCustomer.queue.size() >= mSettings.maxQueuedEach;
  // Only successful requests update the service time estimate. While nothing
  // runs, a high estimate would never come down, and an upstream that has
  // recovered from a freeze would never get requests again.
  const bool mayUseEstimate =
    !mRunning.empty() || mNow < mPausedUntil || mRateLimit;
  if (isQueueFull || (isTooLate && mayUseEstimate)) {
    return Refuse{ aOffer.ticket,
                   Code::Overloaded,
                   RetryAfter(aOffer.ticket, estimatedWait) };
  }
  if (!TakeToken(aCustomer)) {
    const double missingTokens = 1 - aCustomer.tokens;
    const std::chrono::duration<double> refillTime(
      missingTokens / aCustomer.share.ratePerSecond);
    return Refuse{ aOffer.ticket,
                   Code::LimitExceeded,
                   std::chrono::duration_cast<Duration>(refillTime) };
  }
  return std::nullopt;
}

/// Estimates the queueing time of a request that joins the end of its
/// customer's queue. The requests ahead of it are those in its customer's
/// queue, and from each other customer the number that its lower usage lets go
/// first. The result includes the rest of the upstream's pause.
Duration
FairQueue::EstimateWait(const Customer& aCustomer) const
{
  const Duration pause = std::max<Duration>(mPausedUntil - mNow, Duration{});
  if (mRunning.size() < mSlots && mQueuedRequests.empty()) {
    return std::max(pause, RateLimitWait(1));
  }
  const auto ownQueued = static_cast<double>(aCustomer.queue.size());
  const double usageAtTurn = std::max(
    aCustomer.usage + ownQueued * UsagePerUnit(aCustomer), FairUsageLimit());
  double ahead = ownQueued + 1;
  for (const auto& [usage, customer] : mUsageOrder) {
    if (usage > usageAtTurn) {
      break;
    }
    if (&customer->second != &aCustomer) {
      const double requestsAhead =
        (usageAtTurn - usage) / UsagePerUnit(customer->second) + 1;
      ahead += std::min(requestsAhead,
                        static_cast<double>(customer->second.queue.size()));
    }
  }
  const double slots = std::max<double>(mSlots, 1);
  return std::max(
    pause + Scaled(std::max(mMeanServiceTime, StallTime()), ahead / slots),
    RateLimitWait(ahead));
}

/// Returns the time since the last admission or completion, or zero if a slot
/// is free. EstimateWait uses it as a lower bound for the service time, because
/// requests that have taken this long will likely take as long again.
/// Otherwise, when an upstream stops responding but keeps sending heartbeats,
/// each request would wait for the whole maxQueueTime before it is refused.
Duration
FairQueue::StallTime() const
{
  return mRunning.size() < mSlots ? Duration{} : mNow - mLastProgress;
}

/// Refills the customer's token bucket and takes one token.
/// @return false if the bucket has less than one token; true without a rate
/// limit.
bool
FairQueue::TakeToken(Customer& aCustomer)
{
  const double rate = aCustomer.share.ratePerSecond;
  if (rate <= 0) {
    return true;
  }
  const double capacity = std::max(1.0, rate * kRateBurstSeconds);
  const double earned = rate * Seconds(mNow - aCustomer.refilledAt);
  aCustomer.tokens = std::min(capacity, aCustomer.tokens + earned);
  aCustomer.refilledAt = mNow;
  if (aCustomer.tokens < 1) {
    return false;
  }
  aCustomer.tokens -= 1;
  return true;
}

void
FairQueue::Enqueue(const Offer& aOffer, Customers::iterator aCustomer)
{
  const Instant expiresAt = std::min(
    { aOffer.admitBy, aOffer.deadline, mNow + mSettings.maxQueueTime });
  const auto expiry = mExpiries.emplace(expiresAt, aOffer.ticket);
  mQueuedRequests.emplace(aOffer.ticket,
                          QueuedRequest{ aOffer, aCustomer, expiry });
  aCustomer->second.queue.push_back(aOffer.ticket);
  if (!aCustomer->second.position) {
    aCustomer->second.turnSequence = ++mLastSequence;
    aCustomer->second.position =
      mUsageOrder.emplace(aCustomer->second.usage, aCustomer);
  }
}

void
FairQueue::On(const Left& aEvent)
{
  if (const auto running = mRunning.find(aEvent.ticket);
      running != mRunning.end()) {
    const auto customer = running->second;
    mRunning.erase(running);
    --customer->second.running;
    Charge(customer, -1); // Refunds the charge for the unused slot.
    return EraseIfUnneeded(customer);
  }
  if (mQueuedRequests.contains(aEvent.ticket)) {
    RemoveQueued(aEvent.ticket);
  }
}

void
FairQueue::On(const Finished& aEvent)
{
  const auto running = mRunning.find(aEvent.ticket);
  if (running == mRunning.end()) {
    return;
  }
  const auto customer = running->second;
  mRunning.erase(running);
  --customer->second.running;
  mLastProgress = mNow;
  Charge(customer, Seconds(aEvent.serviceTime) / Seconds(mMeanServiceTime) - 1);
  if (aEvent.ending == Ending::Succeeded) {
    // Failures are excluded: they are often quick and would make a failing
    // upstream look fast.
    mMeanServiceTime = Scaled(mMeanServiceTime, 1 - kServiceTimeSmoothing) +
                       Scaled(aEvent.serviceTime, kServiceTimeSmoothing);
    mMeanServiceTime = std::max(mMeanServiceTime, Duration(1));
  }
  if (aEvent.ending == Ending::Shed) {
    const Duration pause = std::min(aEvent.retryAfter, kMaxPause);
    mPausedUntil = std::max(mPausedUntil, mNow + pause);
  }
  EraseIfUnneeded(customer);
}

/// Changes the customer's usage by aUnits mean service times; negative values
/// are refunds. The usage doesn't fall below zero.
void
FairQueue::Charge(Customers::iterator aCustomer, double aUnits)
{
  Customer& customer = aCustomer->second;
  AddToTotals(customer, -1);
  customer.usage =
    std::max(customer.usage + aUnits * UsagePerUnit(customer), 0.0);
  AddToTotals(customer, 1);
  if (customer.position) {
    mUsageOrder.erase(*customer.position);
    customer.position = mUsageOrder.emplace(customer.usage, aCustomer);
  }
}

/// Returns the usage that a charge of one unit adds to the customer now.
double
FairQueue::UsagePerUnit(const Customer& aCustomer) const
{
  return mUsageScale / WeightOf(aCustomer.share);
}

/// Advances mUsageScale to the current time. At kMaxUsageScale, divides all
/// usage by it and resets it to 1, so that it cannot overflow.
void
FairQueue::AdvanceUsageScale()
{
  mUsageScale *= std::exp((mNow - mUsageScaleAt) / kUsageTimeConstant);
  mUsageScaleAt = mNow;
  if (mUsageScale < kMaxUsageScale) {
    return;
  }
  mUsageOrder.clear();
  for (auto customer = mCustomers.begin(); customer != mCustomers.end();
       ++customer) {
    customer->second.usage /= mUsageScale;
    if (customer->second.position) {
      customer->second.position =
        mUsageOrder.emplace(customer->second.usage, customer);
    }
  }
  mTotalWeightedUsage /= mUsageScale;
  mUsageScale = 1;
}

void
FairQueue::On(const Slots& aEvent)
{
  mSlots = aEvent.slots;
}

void
FairQueue::On(const RateLimit& aEvent)
{
  if (!aEvent.requestsPerSecond) {
    mRateLimit.reset();
    return;
  }
  if (!mRateLimit) {
    mRateLimit.emplace(0, mNow);
  }
  NamedRate::Apply(*aEvent.requestsPerSecond, *mRateLimit, mNow);
}

bool
FairQueue::HasRateRoom() const
{
  return !mRateLimit || mRateLimit->Has(1, mNow);
}

/// Returns the time until the upstream's rate limit admits so many requests.
Duration
FairQueue::RateLimitWait(double aRequests) const
{
  return mRateLimit ? std::chrono::duration_cast<Duration>(
                        mRateLimit->TimeUntil(aRequests, mNow))
                    : Duration{};
}

/// Returns the delay to tell the caller of a refused request. A rate limit
/// admits one request at a time, so callers that it refuses in the meantime are
/// told different delays.
Duration
FairQueue::RetryAfter(Ticket aTicket, Duration aWait) const
{
  const Duration wait = std::max(aWait, kMinRetryAfter);
  if (!mRateLimit) {
    return wait;
  }
  const uint64_t hash = aTicket.value * kSpreadMultiplier;
  return Scaled(std::min(wait, kMaxSpreadRetryAfter),
                1 + static_cast<double>(hash >> 54U) / 1024);
}

void
FairQueue::On(const Tick&)
{
}

/// Removes a queued request from every index, and its customer if no longer
/// needed.
void
FairQueue::RemoveQueued(Ticket aTicket)
{
  const auto queued = mQueuedRequests.find(aTicket);
  const auto customer = queued->second.customer;
  mExpiries.erase(queued->second.expiry);
  mQueuedRequests.erase(queued);
  std::deque<Ticket>& queue = customer->second.queue;
  if (queue.front() == aTicket) {
    queue.pop_front();
  } else {
    std::erase(queue, aTicket);
  }
  if (queue.empty()) {
    RemoveFromUsageOrder(customer->second);
    EraseIfUnneeded(customer);
  }
}

void
FairQueue::RemoveFromUsageOrder(Customer& aCustomer)
{
  mUsageOrder.erase(*aCustomer.position);
  aCustomer.position.reset();
}

/// Erases the customer if it is idle, has no rate limit and its usage is
/// negligible.
void
FairQueue::EraseIfUnneeded(Customers::iterator aCustomer)
{
  const Customer& customer = aCustomer->second;
  const bool hasRateLimit = customer.share.ratePerSecond > 0;
  const bool idle = customer.queue.empty() && customer.running == 0;
  if (idle && !hasRateLimit &&
      customer.usage < kNegligibleUnits * UsagePerUnit(customer)) {
    AddToTotals(customer, -1);
    mCustomers.erase(aCustomer);
  }
}

/// Refuses the queued requests whose admission time limit or deadline has
/// passed.
void
FairQueue::RefuseExpired()
{
  while (!mExpiries.empty() && mExpiries.begin()->first <= mNow) {
    const Ticket ticket = mExpiries.begin()->second;
    const QueuedRequest& queued = mQueuedRequests.at(ticket);
    const Duration estimatedWait = EstimateWait(queued.customer->second);
    const bool isPastDeadline = mNow >= queued.offer.deadline;
    mEffects.emplace_back(Refuse{
      ticket,
      isPastDeadline ? Code::DeadlineExceeded : Code::Overloaded,
      isPastDeadline ? Duration{} : RetryAfter(ticket, estimatedWait) });
    RemoveQueued(ticket);
  }
}

/// Admits queued requests while slots are free and the upstream is not paused.
void
FairQueue::AdmitQueued()
{
  while (mRunning.size() < mSlots && mNow >= mPausedUntil && HasRateRoom()) {
    const auto customer = NextCustomer();
    if (!customer) {
      return;
    }
    AdmitHeadOf(*customer);
  }
}

bool
FairQueue::IsBelowConcurrencyLimit(const Customer& aCustomer) const
{
  const uint32_t limit = aCustomer.share.maxConcurrent;
  return limit == 0 || aCustomer.running < limit;
}

/// Selects the customer that gets the next free slot; see the class comment.
/// Customers at their concurrency limit are skipped.
/// @return none if no queued request may run.
std::optional<FairQueue::Customers::iterator>
FairQueue::NextCustomer() const
{
  const double fairUsageLimit = FairUsageLimit();
  std::optional<Customers::iterator> next;
  uint64_t oldestSequence = 0;
  for (const auto& [usage, customer] : mUsageOrder) {
    if (next && usage > fairUsageLimit) {
      break;
    }
    if (!IsBelowConcurrencyLimit(customer->second)) {
      continue;
    }
    const uint64_t sequence = customer->second.turnSequence;
    if (!next || sequence < oldestSequence) {
      next = customer;
      oldestSequence = sequence;
    }
  }
  return next;
}

/// Admits the customer's first queued request, or refuses it if it can no
/// longer finish by its deadline.
void
FairQueue::AdmitHeadOf(Customers::iterator aCustomer)
{
  Customer& customer = aCustomer->second;
  const Ticket ticket = customer.queue.front();
  const Instant deadline = mQueuedRequests.at(ticket).offer.deadline;
  if (mNow + mMeanServiceTime > deadline && !mRunning.empty()) {
    mEffects.emplace_back(Refuse{ ticket, Code::DeadlineExceeded, Duration{} });
    return RemoveQueued(ticket);
  }
  if (mRateLimit) {
    mRateLimit->Take(1, mNow);
  }
  ++customer.running;
  customer.turnSequence = ++mLastSequence;
  Charge(aCustomer, 1);
  mLastProgress = mNow;
  mRunning.emplace(ticket, aCustomer);
  mEffects.emplace_back(Admit{ ticket });
  RemoveQueued(ticket);
}

std::optional<Instant>
FairQueue::NextTick() const
{
  if (mExpiries.empty()) {
    return std::nullopt;
  }
  const Instant expiry = mExpiries.begin()->first;
  const Instant admitted = std::max<Instant>(
    mPausedUntil, mNow + RateLimitWait(1) + std::chrono::milliseconds(1));
  return mNow < mPausedUntil || !HasRateRoom() ? std::min(expiry, admitted)
                                               : expiry;
}

} // namespace rattandyke::admission
