#include "gateway/slot_broker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/clock.h"
#include "routing/service_table.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// A slot whose release message was lost is freed this long after the longest
/// hold time of its request.
constexpr milliseconds kLostReleaseGrace{ 400 };
/// A request is refused at once if its expected wait exceeds this multiple of
/// its longest wait: it would only be refused later.
constexpr double kMaxWaitFactor = 1.3;
/// Time for a response to reach its caller through an entry host with a tenth
/// of a core.
constexpr milliseconds kReturnTime{ 20 };
/// Fraction of its longest wait for which a request waits even for a slow
/// upstream: the expected response time is an average, and many responses are
/// faster.
constexpr double kMinWaitFraction = 0.25;
/// A late response is worth less than one within the latency objective, and
/// more than none. A request waits for a late response only if it is expected
/// to start within this fraction of the time left for that: a caller that is
/// refused at the end of that time cannot retry.
constexpr double kMaxLateWaitFraction = 0.35;
/// Minimum fraction of an upstream's capacity that is assumed to be left for
/// late requests.
constexpr double kMinSpareFraction = 0.05;
/// Time constant of the decayed demand for an upstream, in seconds: it covers
/// some tens of requests and is shorter than the time for which a key is hot.
constexpr double kDemandTimeConstant = 0.7;
constexpr std::chrono::seconds kDemandRetention{ 10 };
/// Fraction of an upstream's capacity that a second allocator can grant.
constexpr double kSecondCapacityFraction = 0.5;
/// Upper bound of an expected wait, in seconds.
constexpr double kMaxWaitSeconds = 3600;
constexpr milliseconds kMinRetryAfter{ 60 };
constexpr milliseconds kMaxRetryAfter{ 1000 };
constexpr milliseconds kNoUpstreamRetryAfter{ 400 };
/// Times to retry after are spread up to twice the shortest, so the shortest is
/// at most this fraction of kMaxRetryAfter.
constexpr double kMinSpreadFraction = 0.5;

/// @return the expected wait of a request behind aQueuedAhead others, of which
/// aRequestsPerSecond start per second.
Duration
QueueWait(size_t aQueuedAhead, double aRequestsPerSecond)
{
  const double seconds =
    static_cast<double>(aQueuedAhead + 1) / aRequestsPerSecond;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, kMaxWaitSeconds)));
}

} // namespace

void
DeductTime(SlotRequest& aRequest, Duration aTime)
{
  constexpr Duration kLeastTimeToObjective{ milliseconds{ 1 } };
  aRequest.maxWait -= std::min(aTime, aRequest.maxWait);
  aRequest.maxHold -= std::min(aTime, aRequest.maxHold);
  if (aRequest.timeToObjective > Duration::zero()) {
    aRequest.timeToObjective =
      std::max(aRequest.timeToObjective - aTime, kLeastTimeToObjective);
  }
}

SlotBroker::SlotBroker(uint64_t aSeed, const UpstreamSet::Options& aOptions)
  : mUpstreams(aSeed, aOptions)
{
}

std::vector<SlotAnswer>
SlotBroker::TakePendingAnswers()
{
  return std::exchange(mPendingAnswers, {});
}

std::vector<SlotAnswer>
SlotBroker::Update(const State& aState, Instant aNow)
{
  mUpstreams.Update(aState, aNow);
  for (const auto& [service, queue] : mQueues) {
    GrantQueued(service, aNow);
  }
  return TakePendingAnswers();
}

std::vector<SlotAnswer>
SlotBroker::Update(const State& aState,
                   const std::string& aInstance,
                   Instant aNow)
{
  const std::string before = mUpstreams.ServiceOf(aInstance);
  mUpstreams.Update(aState, aInstance, aNow);
  const std::string after = mUpstreams.ServiceOf(aInstance);
  GrantQueued(after, aNow);
  if (before != after) {
    GrantQueued(before, aNow);
  }
  return TakePendingAnswers();
}

UpstreamSet::Outcome
SlotBroker::Choose(const SlotRequest& aRequest, Instant aNow)
{
  if (aRequest.direct) {
    // A request that can no longer meet its latency objective is sent as long
    // as it can be answered.
    const bool late = aRequest.timeToObjective <= Duration(kReturnTime) ||
                      mUpstreams.ChoosesUntilDeadline();
    const Duration maxTime = late ? aRequest.maxHold : aRequest.timeToObjective;
    return aRequest.byResponseTime
             ? mUpstreams.ChooseByResponseTime(
                 aRequest.service, aRequest.excluded, maxTime, aNow)
             : mUpstreams.ChooseDirect(
                 aRequest.service, aRequest.excluded, maxTime, aNow);
  }
  if (aRequest.second) {
    return aRequest.instance.empty()
             ? mUpstreams.ChooseAsSecond(aRequest.service,
                                         aRequest.group,
                                         aRequest.excluded,
                                         aRequest.dataCentre,
                                         aNow)
             : mUpstreams.ChooseOneAsSecond(aRequest.instance, aNow);
  }
  if (!aRequest.instance.empty()) {
    return aRequest.uncoordinated
             ? mUpstreams.ChooseOneUncoordinated(aRequest.instance, aNow)
             : mUpstreams.ChooseOne(
                 aRequest.instance, aRequest.rateShare, aNow);
  }
  return mUpstreams.Choose(aRequest.service,
                           aRequest.group,
                           aRequest.excluded,
                           aRequest.dataCentre,
                           aRequest.rateShare,
                           aNow);
}

void
SlotBroker::Grant(const SlotRequest& aRequest,
                  const UpstreamSet::Choice& aChoice,
                  Instant aNow)
{
  const UpstreamSet::AttemptStart start =
    mUpstreams.BeginAttempt(aChoice.instance, aRequest.rateShare, aNow);
  mGranted[aRequest.key] = { aChoice.instance,
                             aNow + aRequest.maxHold +
                               Duration(kLostReleaseGrace),
                             start };
  if (aRequest.second) {
    ++mGrants.second;
  } else if (!aRequest.uncoordinated && !aRequest.direct) {
    ++mGrants.first;
  }
  mPendingAnswers.emplace_back(
    SlotGranted{ aRequest.key, aChoice.instance, aChoice.address });
}

void
SlotBroker::Refuse(const SlotRequest& aRequest,
                   UpstreamSet::UnavailableReason aReason,
                   Duration aRetryAfter)
{
  ++mRefusals[aReason];
  mPendingAnswers.emplace_back(
    SlotRefused{ aRequest.key, aReason, aRetryAfter });
}

/// Refuses a request and tells its caller to retry after the expected wait.
void
SlotBroker::RefuseFull(const SlotRequest& aRequest, Duration aWait)
{
  Refuse(aRequest,
         UpstreamSet::UnavailableReason::Full,
         std::clamp<Duration>(aWait, kMinRetryAfter, kMaxRetryAfter));
}

SlotBroker::Target
SlotBroker::TargetOf(const SlotRequest& aRequest)
{
  return { aRequest.service, aRequest.instance, aRequest.group };
}

Duration
SlotBroker::ExpectedResponseTime(const SlotRequest& aRequest) const
{
  const double seconds =
    aRequest.instance.empty()
      ? mUpstreams.ResponseSecondsOf(aRequest.service, aRequest.group)
      : mUpstreams.ResponseSecondsOfInstance(aRequest.instance);
  return std::chrono::duration_cast<Duration>(
           std::chrono::duration<double>(seconds)) +
         Duration(kReturnTime);
}

/// @return the time for which a request waits ahead of late requests: as long
/// as its response can meet the latency objective. After that it waits behind
/// the requests that can. If it kept its place, a request whose response can
/// only be late would take a slot from one whose response would be on time, and
/// an overloaded slow upstream would answer no request on time.
Duration
SlotBroker::MaxOnTimeWait(const SlotRequest& aRequest) const
{
  if (aRequest.timeToObjective <= Duration::zero()) {
    return aRequest.maxWait;
  }
  return std::clamp(aRequest.timeToObjective - ExpectedResponseTime(aRequest),
                    Scaled(aRequest.maxWait, kMinWaitFraction),
                    aRequest.maxWait);
}

/// @return the time for which a request may wait if its response may miss the
/// latency objective, but not the deadline.
Duration
SlotBroker::MaxLateWait(const SlotRequest& aRequest) const
{
  return std::max(aRequest.maxHold - ExpectedResponseTime(aRequest),
                  Duration::zero());
}

double
SlotBroker::CapacityFor(const SlotRequest& aRequest) const
{
  const double capacity =
    aRequest.instance.empty()
      ? mUpstreams.CapacityOf(aRequest.service, aRequest.group)
      : mUpstreams.CapacityOfInstance(aRequest.instance);
  return aRequest.second ? capacity * kSecondCapacityFraction : capacity;
}

size_t
SlotBroker::QueuedAhead(const SlotRequest& aRequest, bool aLate) const
{
  const auto queue = mQueues.find(aRequest.service);
  if (queue == mQueues.end()) {
    return 0;
  }
  const Target target = TargetOf(aRequest);
  const auto end = queue->second.lower_bound(
    QueuePosition{ aRequest.priority, aLate, UINT64_MAX });
  return static_cast<size_t>(
    std::count_if(queue->second.begin(), end, [&](const auto& aQueued) {
      return TargetOf(aQueued.second.request) == target;
    }));
}

Duration
SlotBroker::ExpectedWait(const SlotRequest& aRequest, Instant aNow) const
{
  const size_t ahead = QueuedAhead(aRequest, false);
  return std::max(QueueWait(ahead, CapacityFor(aRequest)),
                  mUpstreams.RateLimitWait(aRequest.instance, ahead, aNow));
}

/// The rate of a limited upstream admits one caller at a time, so the callers
/// that it refuses in the meantime are told to come back at different times.
Duration
SlotBroker::RetryAfter(const SlotRequest& aRequest,
                       Duration aWait,
                       Instant aNow) const
{
  if (!mUpstreams.IsRateLimited(aRequest.instance, aNow)) {
    return aWait;
  }
  const uint64_t hash = routing::MixBits(aRequest.key.session ^
                                         routing::MixBits(aRequest.key.ticket));
  const Duration base =
    std::min<Duration>(aWait, Scaled(kMaxRetryAfter, kMinSpreadFraction));
  return Scaled(base, 1 + static_cast<double>(hash % 1024) / 1024);
}

/// @return the expected wait of a late request. Late requests get the capacity
/// that requests whose responses may be on time leave.
Duration
SlotBroker::ExpectedLateWait(const SlotRequest& aRequest, Instant aNow) const
{
  const double capacity = CapacityFor(aRequest);
  const double spareCapacity = std::max(capacity - DemandRate(aRequest, aNow),
                                        capacity * kMinSpareFraction);
  const size_t ahead = QueuedAhead(aRequest, true);
  return std::max(QueueWait(ahead, spareCapacity),
                  mUpstreams.RateLimitWait(aRequest.instance, ahead, aNow));
}

double
SlotBroker::Demand::RequestsAt(Instant aNow) const
{
  const std::chrono::duration<double> elapsed = aNow - updatedAt;
  return requests * std::exp(-elapsed.count() / kDemandTimeConstant);
}

void
SlotBroker::RecordDemand(const SlotRequest& aRequest, Instant aNow)
{
  Demand& demand = mDemand[TargetOf(aRequest)];
  demand.requests = demand.RequestsAt(aNow) + 1;
  demand.updatedAt = aNow;
}

double
SlotBroker::DemandRate(const SlotRequest& aRequest, Instant aNow) const
{
  const auto found = mDemand.find(TargetOf(aRequest));
  if (found == mDemand.end()) {
    return 0;
  }
  return found->second.RequestsAt(aNow) / kDemandTimeConstant;
}

void
SlotBroker::Enqueue(const SlotRequest& aRequest, bool aLate, Instant aNow)
{
  const Instant lateWaitUntil = aNow + MaxLateWait(aRequest);
  const Instant waitUntil =
    aLate ? lateWaitUntil : aNow + MaxOnTimeWait(aRequest);
  mQueues[aRequest.service].emplace(
    QueuePosition{ aRequest.priority, aLate, ++mArrivals },
    QueuedRequest{ aRequest, waitUntil, lateWaitUntil });
}

std::vector<SlotAnswer>
SlotBroker::Acquire(const SlotRequest& aRequest, Instant aNow)
{
  RecordDemand(aRequest, aNow);
  if (mUpstreams.IsRateLimited(aRequest.instance, aNow)) {
    // What has accrued since the last tick is for those that wait.
    GrantQueued(aRequest.service, aNow);
  }
  const UpstreamSet::Outcome outcome = Choose(aRequest, aNow);
  if (const auto* choice = std::get_if<UpstreamSet::Choice>(&outcome)) {
    Grant(aRequest, *choice, aNow);
    return TakePendingAnswers();
  }
  const auto reason = std::get<UpstreamSet::UnavailableReason>(outcome);
  if (reason != UpstreamSet::UnavailableReason::Full) {
    Refuse(aRequest, reason, kNoUpstreamRetryAfter);
    return TakePendingAnswers();
  }
  if (aRequest.direct) {
    RefuseFull(aRequest, mUpstreams.ExpectedDirectWait(aRequest.service, aNow));
    return TakePendingAnswers();
  }
  const Duration wait = ExpectedWait(aRequest, aNow);
  if (aRequest.rateShare <= 0 &&
      mUpstreams.IsRateLimited(aRequest.instance, aNow)) {
    // Only the home entry knows when the limit has room.
    RefuseFull(aRequest, RetryAfter(aRequest, wait, aNow));
    return TakePendingAnswers();
  }
  const bool onTime = wait <= Scaled(MaxOnTimeWait(aRequest), kMaxWaitFactor);
  const bool late =
    !onTime && ExpectedLateWait(aRequest, aNow) <=
                 Scaled(MaxLateWait(aRequest), kMaxLateWaitFraction);
  if (!onTime && !late) {
    RefuseFull(aRequest, RetryAfter(aRequest, wait, aNow));
    return TakePendingAnswers();
  }
  Enqueue(aRequest, late, aNow);
  mPendingAnswers.emplace_back(SlotQueued{ aRequest.key });
  return TakePendingAnswers();
}

void
SlotBroker::GrantQueued(const std::string& aService, Instant aNow)
{
  const auto found = mQueues.find(aService);
  if (found == mQueues.end()) {
    return;
  }
  Queue& queue = found->second;
  for (auto at = queue.begin(); at != queue.end();) {
    const UpstreamSet::Outcome outcome = Choose(at->second.request, aNow);
    if (const auto* choice = std::get_if<UpstreamSet::Choice>(&outcome)) {
      Grant(at->second.request, *choice, aNow);
      at = queue.erase(at);
      continue;
    }
    const auto reason = std::get<UpstreamSet::UnavailableReason>(outcome);
    if (reason != UpstreamSet::UnavailableReason::Full) {
      Refuse(at->second.request, reason, kNoUpstreamRetryAfter);
      at = queue.erase(at);
      continue;
    }
    ++at;
  }
}

std::vector<SlotAnswer>
SlotBroker::Release(const SlotKey& aKey,
                    AttemptOutcome aOutcome,
                    Duration aElapsed,
                    Instant aNow)
{
  const auto found = mGranted.find(aKey);
  if (found != mGranted.end()) {
    const auto [instance, expiresAt, start] = found->second;
    mGranted.erase(found);
    mUpstreams.EndAttempt(instance, aOutcome, aElapsed, start, aNow);
    GrantQueued(mUpstreams.ServiceOf(instance), aNow);
    return TakePendingAnswers();
  }
  for (auto& [service, queue] : mQueues) {
    for (auto at = queue.begin(); at != queue.end(); ++at) {
      if (at->second.request.key == aKey) {
        queue.erase(at);
        return TakePendingAnswers();
      }
    }
  }
  return TakePendingAnswers();
}

void
SlotBroker::UpdateQueued(const std::function<void(SlotRequest&)>& aUpdate)
{
  for (auto& [service, queue] : mQueues) {
    for (auto& [position, queued] : queue) {
      aUpdate(queued.request);
    }
  }
}

bool
SlotBroker::HasRequestsOf(uint64_t aSession) const
{
  const auto granted = mGranted.lower_bound({ aSession, 0 });
  if (granted != mGranted.end() && granted->first.session == aSession) {
    return true;
  }
  return std::any_of(mQueues.begin(), mQueues.end(), [&](const auto& aQueue) {
    return std::any_of(
      aQueue.second.begin(), aQueue.second.end(), [&](const auto& aQueued) {
        return aQueued.second.request.key.session == aSession;
      });
  });
}

/// Ends expired waits. Requests that may still be answered late are queued
/// again behind the others; the rest is refused.
void
SlotBroker::ExpireWaits(Queue& aQueue, Instant aNow)
{
  std::vector<SlotRequest> late;
  for (auto at = aQueue.begin(); at != aQueue.end();) {
    if (at->second.waitUntil > aNow) {
      ++at;
      continue;
    }
    SlotRequest request = at->second.request;
    const bool isLate = at->first.late;
    request.maxHold =
      at->second.lateWaitUntil + ExpectedResponseTime(request) - aNow;
    at = aQueue.erase(at);
    if (!isLate && ExpectedLateWait(request, aNow) <=
                     Scaled(MaxLateWait(request), kMaxLateWaitFraction)) {
      late.push_back(std::move(request));
      continue;
    }
    RefuseFull(request, RetryAfter(request, ExpectedWait(request, aNow), aNow));
  }
  for (const SlotRequest& request : late) {
    Enqueue(request, true, aNow);
  }
}

size_t
SlotBroker::QueuedCount() const
{
  size_t queued = 0;
  for (const auto& [service, queue] : mQueues) {
    queued += queue.size();
  }
  return queued;
}

std::vector<SlotAnswer>
SlotBroker::Tick(Instant aNow)
{
  for (auto& [service, queue] : mQueues) {
    ExpireWaits(queue, aNow);
  }
  std::erase_if(mDemand, [&](const auto& aItem) {
    return aNow - aItem.second.updatedAt >= Duration(kDemandRetention);
  });
  std::set<std::string> freed;
  for (auto at = mGranted.begin(); at != mGranted.end();) {
    if (at->second.expiresAt > aNow) {
      ++at;
      continue;
    }
    mUpstreams.EndAttempt(at->second.instance,
                          AttemptOutcome::Abandoned,
                          {},
                          at->second.start,
                          aNow);
    freed.insert(mUpstreams.ServiceOf(at->second.instance));
    at = mGranted.erase(at);
  }
  for (const std::string& service : freed) {
    GrantQueued(service, aNow);
  }
  mUpstreams.RemoveUnlimited(aNow);
  GrantQueuedForRateLimited(aNow);
  return TakePendingAnswers();
}

/// Grants slots of upstreams with a limited request rate: the limit allows more
/// as time passes, also if no request ends.
void
SlotBroker::GrantQueuedForRateLimited(Instant aNow)
{
  if (QueuedCount() == 0) {
    return;
  }
  std::set<std::string> services;
  for (const std::string& instance : mUpstreams.RateLimitedInstances(aNow)) {
    services.insert(mUpstreams.ServiceOf(instance));
  }
  for (const std::string& service : services) {
    GrantQueued(service, aNow);
  }
}

} // namespace rattandyke::gateway
