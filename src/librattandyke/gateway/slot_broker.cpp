#include "gateway/slot_broker.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/clock.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// A slot whose return was lost is free again this long after its request must
/// have ended.
constexpr milliseconds kLostReturn{ 400 };
/// A request is refused at once if it would have to wait this many times its
/// patience: it would only come back later.
constexpr double kHopeless = 1.3;
/// Of an answer to its caller, through an entry host with a tenth of a core.
constexpr milliseconds kWayBack{ 20 };
/// Part of its patience for which a request waits even for a slow upstream: its
/// time there is an average, and many take less.
constexpr double kLeastPatience = 0.25;
/// A late answer is of less use than one in time, and of more than none. A
/// request is kept for one only if it is expected to start within this part of
/// the time in which it can: held to the end in vain, its caller could not come
/// back.
constexpr double kSureOfLate = 0.35;
/// Least part of an upstream's rate that is taken as left for late requests.
constexpr double kLeastLeft = 0.05;
/// Seconds over which the demand for an upstream is averaged: some tens of
/// requests, and less than a busy key lasts.
constexpr double kDemandMemory = 0.7;
constexpr std::chrono::seconds kDemandForgotten{ 10 };
/// Seconds; longer waits are all alike.
constexpr double kLongestWait = 3600;
constexpr milliseconds kLeastRetryAfter{ 60 };
constexpr milliseconds kMostRetryAfter{ 1000 };
constexpr milliseconds kNoUpstreamRetryAfter{ 400 };

/// @return the time until a request starts behind others, of which so many
/// start a second.
Duration
TurnAfter(size_t aAhead, double aRate)
{
  const double seconds = static_cast<double>(aAhead + 1) / aRate;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, kLongestWait)));
}

} // namespace

SlotBroker::SlotBroker(uint64_t aSeed, const UpstreamSet::Options& aOptions)
  : mUpstreams(aSeed, aOptions)
{
}

std::vector<SlotAnswer>
SlotBroker::TakeAnswers()
{
  return std::exchange(mAnswers, {});
}

std::vector<SlotAnswer>
SlotBroker::Update(const State& aState, Instant aNow)
{
  mUpstreams.Update(aState, aNow);
  for (const auto& [service, queue] : mQueues) {
    Serve(service, aNow);
  }
  return TakeAnswers();
}

std::vector<SlotAnswer>
SlotBroker::Update(const State& aState,
                   const std::string& aInstance,
                   Instant aNow)
{
  const std::string before = mUpstreams.ServiceOf(aInstance);
  mUpstreams.Update(aState, aInstance, aNow);
  const std::string after = mUpstreams.ServiceOf(aInstance);
  Serve(after, aNow);
  if (before != after) {
    Serve(before, aNow);
  }
  return TakeAnswers();
}

UpstreamSet::Outcome
SlotBroker::Choose(const SlotRequest& aRequest, Instant aNow)
{
  if (aRequest.direct) {
    // One that can't be in time any more is sent as long as it can be answered.
    const bool late = aRequest.timeToObjective <= Duration(kWayBack);
    return mUpstreams.ChooseDirect(aRequest.service,
                                   aRequest.excluded,
                                   late ? aRequest.maxHold
                                        : aRequest.timeToObjective,
                                   aNow);
  }
  if (!aRequest.cold && mUpstreams.IsCold(aRequest.instance, aNow)) {
    return UpstreamSet::UnavailableReason::Full;
  }
  if (!aRequest.instance.empty()) {
    return aRequest.alone ? mUpstreams.ChooseOneAlone(aRequest.instance, aNow)
                          : mUpstreams.ChooseOne(aRequest.instance, aNow);
  }
  return mUpstreams.Choose(aRequest.service,
                           aRequest.group,
                           aRequest.excluded,
                           aRequest.dataCentre,
                           aRequest.cold,
                           aNow);
}

void
SlotBroker::Grant(const SlotRequest& aRequest,
                  const UpstreamSet::Choice& aChoice,
                  Instant aNow)
{
  const UpstreamSet::Begun begun = mUpstreams.Begin(aChoice.instance, aNow);
  mRunning[aRequest.key] = { aChoice.instance,
                             aNow + aRequest.maxHold + Duration(kLostReturn),
                             begun };
  mAnswers.emplace_back(
    SlotGranted{ aRequest.key, aChoice.instance, aChoice.address });
}

void
SlotBroker::Refuse(const SlotRequest& aRequest,
                   UpstreamSet::UnavailableReason aHindrance,
                   Duration aRetryAfter)
{
  mAnswers.emplace_back(SlotRefused{ aRequest.key, aHindrance, aRetryAfter });
}

/// Its caller is to come back when it would have its turn.
void
SlotBroker::RefuseAsFull(const SlotRequest& aRequest, Duration aWait)
{
  Refuse(aRequest,
         UpstreamSet::UnavailableReason::Full,
         std::clamp<Duration>(aWait, kLeastRetryAfter, kMostRetryAfter));
}

SlotBroker::Target
SlotBroker::TargetOf(const SlotRequest& aRequest)
{
  return { aRequest.service, aRequest.instance, aRequest.group };
}

Duration
SlotBroker::AnswerTime(const SlotRequest& aRequest) const
{
  const double seconds =
    aRequest.instance.empty()
      ? mUpstreams.SecondsOf(aRequest.service, aRequest.group)
      : mUpstreams.SecondsOfOne(aRequest.instance);
  return std::chrono::duration_cast<Duration>(
           std::chrono::duration<double>(seconds)) +
         Duration(kWayBack);
}

/// Safeguard: a request that waits until its answer can only be late takes a
/// slot, under load, from one whose answer would be in time; a busy upstream
/// that is slow then answers nobody in time. So it waits in front no longer
/// than leaves room for the answer, and behind those that can be in time after
/// that.
Duration
SlotBroker::PatienceOf(const SlotRequest& aRequest) const
{
  if (aRequest.timeToObjective <= Duration::zero()) {
    return aRequest.maxWait;
  }
  return std::clamp(aRequest.timeToObjective - AnswerTime(aRequest),
                    Scaled(aRequest.maxWait, kLeastPatience),
                    aRequest.maxWait);
}

/// @return the time for which it may wait if its answer may be late.
Duration
SlotBroker::LatestStart(const SlotRequest& aRequest) const
{
  return std::max(aRequest.maxHold - AnswerTime(aRequest), Duration::zero());
}

double
SlotBroker::RateFor(const SlotRequest& aRequest) const
{
  return aRequest.instance.empty()
           ? mUpstreams.RateOf(aRequest.service, aRequest.group)
           : mUpstreams.RateOfOne(aRequest.instance);
}

size_t
SlotBroker::Ahead(const SlotRequest& aRequest, bool aLate) const
{
  const auto queue = mQueues.find(aRequest.service);
  if (queue == mQueues.end()) {
    return 0;
  }
  const Target target = TargetOf(aRequest);
  const auto end =
    queue->second.lower_bound(Place{ aRequest.priority, aLate, UINT64_MAX });
  return static_cast<size_t>(
    std::count_if(queue->second.begin(), end, [&](const auto& aWaiting) {
      return TargetOf(aWaiting.second.request) == target;
    }));
}

Duration
SlotBroker::ExpectedWait(const SlotRequest& aRequest) const
{
  return TurnAfter(Ahead(aRequest, false), RateFor(aRequest));
}

/// Those whose answers may be in time go first, so that one that is late gets
/// what they leave.
Duration
SlotBroker::ExpectedLateWait(const SlotRequest& aRequest, Instant aNow) const
{
  const double rate = RateFor(aRequest);
  const double left =
    std::max(rate - DemandFor(aRequest, aNow), rate * kLeastLeft);
  return TurnAfter(Ahead(aRequest, true), left);
}

double
SlotBroker::Demand::RequestsAt(Instant aNow) const
{
  const std::chrono::duration<double> passed = aNow - at;
  return requests * std::exp(-passed.count() / kDemandMemory);
}

void
SlotBroker::NoteDemand(const SlotRequest& aRequest, Instant aNow)
{
  Demand& demand = mDemand[TargetOf(aRequest)];
  demand.requests = demand.RequestsAt(aNow) + 1;
  demand.at = aNow;
}

double
SlotBroker::DemandFor(const SlotRequest& aRequest, Instant aNow) const
{
  const auto found = mDemand.find(TargetOf(aRequest));
  if (found == mDemand.end()) {
    return 0;
  }
  return found->second.RequestsAt(aNow) / kDemandMemory;
}

void
SlotBroker::Enqueue(const SlotRequest& aRequest, bool aLate, Instant aNow)
{
  const Instant lateUntil = aNow + LatestStart(aRequest);
  const Instant until = aLate ? lateUntil : aNow + PatienceOf(aRequest);
  mQueues[aRequest.service].emplace(
    Place{ aRequest.priority, aLate, ++mArrivals },
    QueuedRequest{ aRequest, until, lateUntil });
}

std::vector<SlotAnswer>
SlotBroker::Ask(const SlotRequest& aRequest, Instant aNow)
{
  NoteDemand(aRequest, aNow);
  const UpstreamSet::Outcome outcome = Choose(aRequest, aNow);
  if (const auto* choice = std::get_if<UpstreamSet::Choice>(&outcome)) {
    Grant(aRequest, *choice, aNow);
    return TakeAnswers();
  }
  const auto reason = std::get<UpstreamSet::UnavailableReason>(outcome);
  if (reason != UpstreamSet::UnavailableReason::Full) {
    Refuse(aRequest, reason, kNoUpstreamRetryAfter);
    return TakeAnswers();
  }
  if (aRequest.direct) {
    RefuseAsFull(aRequest, mUpstreams.DirectWait(aRequest.service, aNow));
    return TakeAnswers();
  }
  const Duration wait = ExpectedWait(aRequest);
  const bool inTime = wait <= Scaled(PatienceOf(aRequest), kHopeless);
  const bool late = !inTime && ExpectedLateWait(aRequest, aNow) <=
                                 Scaled(LatestStart(aRequest), kSureOfLate);
  if (!inTime && !late) {
    RefuseAsFull(aRequest, wait);
    return TakeAnswers();
  }
  Enqueue(aRequest, late, aNow);
  mAnswers.emplace_back(SlotQueued{ aRequest.key });
  return TakeAnswers();
}

void
SlotBroker::Serve(const std::string& aService, Instant aNow)
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
SlotBroker::Done(const SlotKey& aKey,
                 AttemptOutcome aEnd,
                 Duration aTook,
                 Instant aNow)
{
  const auto found = mRunning.find(aKey);
  if (found != mRunning.end()) {
    const auto [instance, ends, begun] = found->second;
    mRunning.erase(found);
    mUpstreams.End(instance, aEnd, aTook, begun, aNow);
    Serve(mUpstreams.ServiceOf(instance), aNow);
    return TakeAnswers();
  }
  for (auto& [service, queue] : mQueues) {
    for (auto at = queue.begin(); at != queue.end(); ++at) {
      if (at->second.request.key == aKey) {
        queue.erase(at);
        return TakeAnswers();
      }
    }
  }
  return TakeAnswers();
}

bool
SlotBroker::HasRequestOf(uint64_t aSession) const
{
  const auto running = mRunning.lower_bound({ aSession, 0 });
  if (running != mRunning.end() && running->first.session == aSession) {
    return true;
  }
  return std::any_of(mQueues.begin(), mQueues.end(), [&](const auto& aQueue) {
    return std::any_of(
      aQueue.second.begin(), aQueue.second.end(), [&](const auto& aWaiting) {
        return aWaiting.second.request.key.session == aSession;
      });
  });
}

/// Ends the waits that are over; those that may still be answered late go on
/// behind the others.
void
SlotBroker::EndWaits(Queue& aQueue, Instant aNow)
{
  std::vector<SlotRequest> late;
  for (auto at = aQueue.begin(); at != aQueue.end();) {
    if (at->second.until > aNow) {
      ++at;
      continue;
    }
    SlotRequest request = at->second.request;
    const bool wasLate = at->first.late;
    request.maxHold = at->second.lateUntil + AnswerTime(request) - aNow;
    at = aQueue.erase(at);
    if (!wasLate && ExpectedLateWait(request, aNow) <=
                      Scaled(LatestStart(request), kSureOfLate)) {
      late.push_back(std::move(request));
      continue;
    }
    RefuseAsFull(request, ExpectedWait(request));
  }
  for (const SlotRequest& request : late) {
    Enqueue(request, true, aNow);
  }
}

size_t
SlotBroker::Waiting() const
{
  size_t waiting = 0;
  for (const auto& [service, queue] : mQueues) {
    waiting += queue.size();
  }
  return waiting;
}

std::vector<SlotAnswer>
SlotBroker::Tick(Instant aNow)
{
  for (auto& [service, queue] : mQueues) {
    EndWaits(queue, aNow);
  }
  std::erase_if(mDemand, [&](const auto& aItem) {
    return aNow - aItem.second.at >= Duration(kDemandForgotten);
  });
  std::set<std::string> freed;
  for (auto at = mRunning.begin(); at != mRunning.end();) {
    if (at->second.ends > aNow) {
      ++at;
      continue;
    }
    mUpstreams.End(at->second.instance,
                   AttemptOutcome::Abandoned,
                   {},
                   at->second.begun,
                   aNow);
    freed.insert(mUpstreams.ServiceOf(at->second.instance));
    at = mRunning.erase(at);
  }
  for (const std::string& service : freed) {
    Serve(service, aNow);
  }
  mUpstreams.ForgetWarm(aNow);
  ServeCold(aNow);
  return TakeAnswers();
}

/// A cold upstream may be sent more as time passes, without any end of a
/// request.
void
SlotBroker::ServeCold(Instant aNow)
{
  if (Waiting() == 0) {
    return;
  }
  std::set<std::string> services;
  for (const std::string& instance : mUpstreams.ColdInstances(aNow)) {
    services.insert(mUpstreams.ServiceOf(instance));
  }
  for (const std::string& service : services) {
    Serve(service, aNow);
  }
}

} // namespace rattandyke::gateway
