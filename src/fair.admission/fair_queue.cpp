#include "fair_queue.h"

#include <algorithm>
#include <cmath>

namespace rattandyke::admission {

namespace {

constexpr double kLeastWeight = 0.01;
/// Units above the mean that still count as within it.
constexpr double kBurst = 8;
/// Use counts half as much after about 0.7 of this.
constexpr std::chrono::duration<double> kMemory{ 2.0 };
/// Usage worth less than this part of a unit is forgotten.
constexpr double kForgotten = 0.01;
/// Far from what a double can hold.
constexpr double kLargestScale = 1e100;
/// Share of the newest request in the mean service time.
constexpr double kNewestShare = 0.1;
/// Starts that a rate limit lets pass at once, in seconds of its rate.
constexpr double kRateBurst = 0.1;
/// Customers remembered for their debt or rate; more only if they are busy.
constexpr size_t kMostRemembered = 4096;
/// An upstream cannot ask for a longer pause.
constexpr Duration kLongestPause = std::chrono::seconds(5);
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(50);

double
WeightOf(const Share& aShare)
{
  return std::max(aShare.weight, kLeastWeight);
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
  , mServiceTime(std::max<Duration>(aSettings.serviceTime, Duration(1)))
{
}

std::vector<Effect>
FairQueue::Step(const Event& aEvent, Instant aNow)
{
  mNow = aNow;
  Rescale();
  std::visit([this](const auto& aEach) { On(aEach); }, aEvent);
  RefuseLate();
  Fill();
  return std::exchange(mEffects, {});
}

void
FairQueue::On(const Offer& aEvent)
{
  const auto customer = CustomerOf(aEvent);
  if (const auto objection = Objection(aEvent, customer->second)) {
    mEffects.emplace_back(*objection);
    Forget(customer);
    return;
  }
  Enqueue(aEvent, customer);
}

FairQueue::Customers::iterator
FairQueue::CustomerOf(const Offer& aOffer)
{
  if (mCustomers.size() >= kMostRemembered) {
    ForgetIdle();
  }
  const auto [customer, isNew] = mCustomers.try_emplace(aOffer.customer);
  if (isNew) {
    customer->second.tokens =
      std::max(1.0, aOffer.share.ratePerSecond * kRateBurst);
    customer->second.refilled = mNow;
  } else {
    Count(customer->second, -1);
  }
  customer->second.share = aOffer.share;
  Count(customer->second, 1);
  return customer;
}

void
FairQueue::ForgetIdle()
{
  for (auto next = mCustomers.begin(); next != mCustomers.end();) {
    const auto customer = next++;
    const bool idle =
      customer->second.queue.empty() && customer->second.running == 0;
    if (idle) {
      Count(customer->second, -1);
      mCustomers.erase(customer);
    }
  }
}

/// Adds the customer to the sums, or takes it out.
void
FairQueue::Count(const Customer& aCustomer, double aSign)
{
  const double weight = WeightOf(aCustomer.share);
  mWeights += aSign * weight;
  mUsed = std::max(mUsed + aSign * weight * aCustomer.usage, 0.0);
}

/// The usage up to which customers are served in turn: the mean and a short
/// burst, else customers of equal size would overtake each other, which helps
/// none of them and spreads their waits.
double
FairQueue::FairUsage() const
{
  const double mean = mWeights > 0 ? mUsed / mWeights : 0;
  return mean + kBurst * mScale;
}

std::optional<Refuse>
FairQueue::Objection(const Offer& aOffer, Customer& aCustomer)
{
  if (mNow + mServiceTime > aOffer.deadline && !mRunning.empty()) {
    return Refuse{ aOffer.ticket, Code::DeadlineExceeded, Duration{} };
  }
  const Duration wait = ExpectedWait(aCustomer);
  const Instant admitBy =
    std::min(aOffer.admitBy, mNow + mSettings.maxQueueTime);
  const bool late =
    mNow + wait > admitBy || mNow + wait + mServiceTime > aOffer.deadline;
  const bool full = aCustomer.queue.size() >= mSettings.maxQueuedEach;
  // While nothing runs the estimate cannot improve, so it must not refuse: one
  // frozen upstream that woke up would stay shut out for good.
  const bool trusted = !mRunning.empty() || mNow < mPausedUntil;
  if (full || (late && trusted)) {
    return Refuse{ aOffer.ticket,
                   Code::Overloaded,
                   std::max(wait, kLeastRetryAfter) };
  }
  if (!TakeToken(aCustomer)) {
    const double missing = 1 - aCustomer.tokens;
    const std::chrono::duration<double> refill(missing /
                                               aCustomer.share.ratePerSecond);
    return Refuse{ aOffer.ticket,
                   Code::LimitExceeded,
                   std::chrono::duration_cast<Duration>(refill) };
  }
  return std::nullopt;
}

/// The wait of a request that joins the end of its customer's queue: its own
/// before it, and of each other customer those that come before by usage.
Duration
FairQueue::ExpectedWait(const Customer& aCustomer) const
{
  const Duration pause = std::max<Duration>(mPausedUntil - mNow, Duration{});
  if (mRunning.size() < mSlots && mWaiting.empty()) {
    return pause;
  }
  const auto own = static_cast<double>(aCustomer.queue.size());
  const double reached =
    std::max(aCustomer.usage + own * UnitOf(aCustomer), FairUsage());
  double ahead = own + 1;
  for (const auto& [usage, customer] : mOrder) {
    if (usage > reached) {
      break;
    }
    if (&customer->second != &aCustomer) {
      const double before = (reached - usage) / UnitOf(customer->second) + 1;
      ahead +=
        std::min(before, static_cast<double>(customer->second.queue.size()));
    }
  }
  const double slots = std::max<double>(mSlots, 1);
  return pause + Scaled(std::max(mServiceTime, Stall()), ahead / slots);
}

/// How long every slot has been busy without one coming free. An upstream that
/// answers nothing any more, but still announces itself, would otherwise keep
/// each request waiting in vain for the whole queue time; what has taken so
/// long will likely take as long again.
Duration
FairQueue::Stall() const
{
  return mRunning.size() < mSlots ? Duration{} : mNow - mLastProgress;
}

bool
FairQueue::TakeToken(Customer& aCustomer)
{
  const double rate = aCustomer.share.ratePerSecond;
  if (rate <= 0) {
    return true;
  }
  const double most = std::max(1.0, rate * kRateBurst);
  const double earned = rate * Seconds(mNow - aCustomer.refilled);
  aCustomer.tokens = std::min(most, aCustomer.tokens + earned);
  aCustomer.refilled = mNow;
  if (aCustomer.tokens < 1) {
    return false;
  }
  aCustomer.tokens -= 1;
  return true;
}

void
FairQueue::Enqueue(const Offer& aOffer, Customers::iterator aCustomer)
{
  const Instant latest = std::min(
    { aOffer.admitBy, aOffer.deadline, mNow + mSettings.maxQueueTime });
  const auto expiry = mExpiries.emplace(latest, aOffer.ticket);
  mWaiting.emplace(aOffer.ticket, Waiting{ aOffer, aCustomer, expiry });
  aCustomer->second.queue.push_back(aOffer.ticket);
  if (!aCustomer->second.turn) {
    aCustomer->second.waitingSince = ++mTurns;
    aCustomer->second.turn = mOrder.emplace(aCustomer->second.usage, aCustomer);
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
    Charge(customer, -1); // The slot was not used.
    return Forget(customer);
  }
  if (mWaiting.contains(aEvent.ticket)) {
    Remove(aEvent.ticket);
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
  Charge(customer, Seconds(aEvent.serviceTime) / Seconds(mServiceTime) - 1);
  if (aEvent.ending == Ending::Succeeded) {
    // Failures are often quick and would make a failing upstream look fast.
    mServiceTime = Scaled(mServiceTime, 1 - kNewestShare) +
                   Scaled(aEvent.serviceTime, kNewestShare);
    mServiceTime = std::max(mServiceTime, Duration(1));
  }
  if (aEvent.ending == Ending::Shed) {
    const Duration pause = std::min(aEvent.retryAfter, kLongestPause);
    mPausedUntil = std::max(mPausedUntil, mNow + pause);
  }
  Forget(customer);
}

void
FairQueue::Charge(Customers::iterator aCustomer, double aUnits)
{
  Customer& customer = aCustomer->second;
  Count(customer, -1);
  customer.usage = std::max(customer.usage + aUnits * UnitOf(customer), 0.0);
  Count(customer, 1);
  if (customer.turn) {
    mOrder.erase(*customer.turn);
    customer.turn = mOrder.emplace(customer.usage, aCustomer);
  }
}

/// What one unit adds to a customer's usage now.
double
FairQueue::UnitOf(const Customer& aCustomer) const
{
  return mScale / WeightOf(aCustomer.share);
}

/// Keeps mScale in step with the time, and within what a double can hold.
void
FairQueue::Rescale()
{
  mScale *= std::exp((mNow - mScaledAt) / kMemory);
  mScaledAt = mNow;
  if (mScale < kLargestScale) {
    return;
  }
  mOrder.clear();
  for (auto customer = mCustomers.begin(); customer != mCustomers.end();
       ++customer) {
    customer->second.usage /= mScale;
    if (customer->second.turn) {
      customer->second.turn = mOrder.emplace(customer->second.usage, customer);
    }
  }
  mUsed /= mScale;
  mScale = 1;
}

void
FairQueue::On(const Slots& aEvent)
{
  mSlots = aEvent.slots;
}

void
FairQueue::On(const Tick&)
{
}

/// Takes a waiting request out.
void
FairQueue::Remove(Ticket aTicket)
{
  const auto waiting = mWaiting.find(aTicket);
  const auto customer = waiting->second.customer;
  mExpiries.erase(waiting->second.expiry);
  mWaiting.erase(waiting);
  std::deque<Ticket>& queue = customer->second.queue;
  if (queue.front() == aTicket) {
    queue.pop_front();
  } else {
    std::erase(queue, aTicket);
  }
  if (queue.empty()) {
    LeaveOrder(customer->second);
    Forget(customer);
  }
}

void
FairQueue::LeaveOrder(Customer& aCustomer)
{
  mOrder.erase(*aCustomer.turn);
  aCustomer.turn.reset();
}

/// Drops a customer that is idle and of whom nothing need be remembered.
void
FairQueue::Forget(Customers::iterator aCustomer)
{
  const Customer& customer = aCustomer->second;
  const bool limited = customer.share.ratePerSecond > 0;
  const bool idle = customer.queue.empty() && customer.running == 0;
  if (idle && !limited && customer.usage < kForgotten * UnitOf(customer)) {
    Count(customer, -1);
    mCustomers.erase(aCustomer);
  }
}

/// Refuses what waited too long or can no longer finish in time.
void
FairQueue::RefuseLate()
{
  while (!mExpiries.empty() && mExpiries.begin()->first <= mNow) {
    const Ticket ticket = mExpiries.begin()->second;
    const Waiting& waiting = mWaiting.at(ticket);
    const Duration wait = ExpectedWait(waiting.customer->second);
    const bool dead = mNow >= waiting.offer.deadline;
    mEffects.emplace_back(
      Refuse{ ticket,
              dead ? Code::DeadlineExceeded : Code::Overloaded,
              dead ? Duration{} : std::max(wait, kLeastRetryAfter) });
    Remove(ticket);
  }
}

/// Gives out the free slots.
void
FairQueue::Fill()
{
  while (mRunning.size() < mSlots && mNow >= mPausedUntil) {
    const auto customer = NextCustomer();
    if (!customer) {
      return;
    }
    AdmitFrom(*customer);
  }
}

bool
FairQueue::MayRun(const Customer& aCustomer) const
{
  const uint32_t most = aCustomer.share.maxConcurrent;
  return most == 0 || aCustomer.running < most;
}

/// @return whose request is next, or none.
std::optional<FairQueue::Customers::iterator>
FairQueue::NextCustomer() const
{
  const double fair = FairUsage();
  std::optional<Customers::iterator> next;
  uint64_t oldest = 0;
  for (const auto& [usage, customer] : mOrder) {
    if (next && usage > fair) {
      break;
    }
    if (!MayRun(customer->second)) {
      continue;
    }
    const uint64_t since = customer->second.waitingSince;
    if (!next || since < oldest) {
      next = customer;
      oldest = since;
    }
  }
  return next;
}

void
FairQueue::AdmitFrom(Customers::iterator aCustomer)
{
  Customer& customer = aCustomer->second;
  const Ticket ticket = customer.queue.front();
  const Instant deadline = mWaiting.at(ticket).offer.deadline;
  if (mNow + mServiceTime > deadline && !mRunning.empty()) {
    mEffects.emplace_back(Refuse{ ticket, Code::DeadlineExceeded, Duration{} });
    return Remove(ticket);
  }
  ++customer.running;
  customer.waitingSince = ++mTurns;
  Charge(aCustomer, 1);
  mLastProgress = mNow;
  mRunning.emplace(ticket, aCustomer);
  mEffects.emplace_back(Admit{ ticket });
  Remove(ticket);
}

std::optional<Instant>
FairQueue::NextTick() const
{
  if (mExpiries.empty()) {
    return std::nullopt;
  }
  const Instant expiry = mExpiries.begin()->first;
  return mNow < mPausedUntil ? std::min(expiry, mPausedUntil) : expiry;
}

} // namespace rattandyke::admission
