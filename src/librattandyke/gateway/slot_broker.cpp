#include "gateway/slot_broker.h"

#include <algorithm>
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
constexpr milliseconds kLeastRetryAfter{ 60 };
constexpr milliseconds kMostRetryAfter{ 1000 };
constexpr milliseconds kNoUpstreamRetryAfter{ 400 };

} // namespace

SlotBroker::SlotBroker(uint64_t aSeed, Duration aDrainTimeout)
  : mUpstreams(aSeed, aDrainTimeout)
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

UpstreamSet::Outcome
SlotBroker::Choose(const SlotRequest& aRequest, Instant aNow)
{
  if (!aRequest.instance.empty()) {
    return aRequest.alone ? mUpstreams.ChooseOneAlone(aRequest.instance, aNow)
                          : mUpstreams.ChooseOne(aRequest.instance);
  }
  return mUpstreams.Choose(aRequest.service,
                           aRequest.group,
                           aRequest.excluded,
                           aRequest.dataCentre,
                           aNow);
}

void
SlotBroker::Grant(const SlotRequest& aRequest,
                  const UpstreamSet::Choice& aChoice,
                  Instant aNow)
{
  const UpstreamSet::Begun begun = mUpstreams.Begin(aChoice.instance);
  mRunning[aRequest.key] = { aChoice.instance,
                             aNow + aRequest.held + Duration(kLostReturn),
                             begun };
  mAnswers.emplace_back(
    SlotGranted{ aRequest.key, aChoice.instance, aChoice.address });
}

void
SlotBroker::Refuse(const SlotRequest& aRequest,
                   UpstreamSet::Hindrance aHindrance,
                   Duration aRetryAfter)
{
  mAnswers.emplace_back(SlotRefused{ aRequest.key, aHindrance, aRetryAfter });
}

/// Safeguard: a request that waits until its answer can only be late takes a
/// slot, under load, from one whose answer would be in time; a busy upstream
/// that is slow then answers nobody in time. So it waits no longer than leaves
/// room for the answer.
Duration
SlotBroker::PatienceOf(const SlotRequest& aRequest) const
{
  if (aRequest.aim <= Duration::zero()) {
    return aRequest.patience;
  }
  const double seconds =
    aRequest.instance.empty()
      ? mUpstreams.SecondsOf(aRequest.service, aRequest.group)
      : mUpstreams.SecondsOfOne(aRequest.instance);
  const auto answer = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
  const Duration left = aRequest.aim - answer - Duration(kWayBack);
  return std::clamp(
    left, Scaled(aRequest.patience, kLeastPatience), aRequest.patience);
}

Duration
SlotBroker::ExpectedWait(const SlotRequest& aRequest) const
{
  size_t ahead = 0;
  const auto queue = mQueues.find(aRequest.service);
  if (queue != mQueues.end()) {
    for (const auto& [place, waiting] : queue->second) {
      ahead += waiting.request.instance == aRequest.instance &&
                   waiting.request.group == aRequest.group &&
                   place.first <= aRequest.priority
                 ? 1
                 : 0;
    }
  }
  const double rate = aRequest.instance.empty()
                        ? mUpstreams.RateOf(aRequest.service, aRequest.group)
                        : mUpstreams.RateOfOne(aRequest.instance);
  const double seconds = static_cast<double>(ahead + 1) / rate;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, 3600.0)));
}

std::vector<SlotAnswer>
SlotBroker::Ask(const SlotRequest& aRequest, Instant aNow)
{
  const UpstreamSet::Outcome outcome = Choose(aRequest, aNow);
  if (const auto* choice = std::get_if<UpstreamSet::Choice>(&outcome)) {
    Grant(aRequest, *choice, aNow);
    return TakeAnswers();
  }
  const auto hindrance = std::get<UpstreamSet::Hindrance>(outcome);
  if (hindrance != UpstreamSet::Hindrance::Full) {
    Refuse(aRequest, hindrance, kNoUpstreamRetryAfter);
    return TakeAnswers();
  }
  const Duration wait = ExpectedWait(aRequest);
  const Duration patience = PatienceOf(aRequest);
  const Duration bearable = Scaled(patience, kHopeless);
  if (wait > bearable) {
    Refuse(aRequest,
           hindrance,
           std::clamp<Duration>(wait, kLeastRetryAfter, kMostRetryAfter));
    return TakeAnswers();
  }
  mQueues[aRequest.service].emplace(Place{ aRequest.priority, ++mArrivals },
                                    Waiting{ aRequest, aNow + patience });
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
    const auto hindrance = std::get<UpstreamSet::Hindrance>(outcome);
    if (hindrance != UpstreamSet::Hindrance::Full) {
      Refuse(at->second.request, hindrance, kLeastRetryAfter);
      at = queue.erase(at);
      continue;
    }
    ++at;
  }
}

std::vector<SlotAnswer>
SlotBroker::Done(const SlotKey& aKey, TryEnd aEnd, Duration aTook, Instant aNow)
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

std::vector<SlotAnswer>
SlotBroker::Tick(Instant aNow)
{
  for (auto& [service, queue] : mQueues) {
    for (auto at = queue.begin(); at != queue.end();) {
      if (at->second.until > aNow) {
        ++at;
        continue;
      }
      Refuse(at->second.request,
             UpstreamSet::Hindrance::Full,
             std::clamp<Duration>(ExpectedWait(at->second.request),
                                  kLeastRetryAfter,
                                  kMostRetryAfter));
      at = queue.erase(at);
    }
  }
  std::set<std::string> freed;
  for (auto at = mRunning.begin(); at != mRunning.end();) {
    if (at->second.ends > aNow) {
      ++at;
      continue;
    }
    mUpstreams.End(
      at->second.instance, TryEnd::Abandoned, {}, at->second.begun, aNow);
    freed.insert(mUpstreams.ServiceOf(at->second.instance));
    at = mRunning.erase(at);
  }
  for (const std::string& service : freed) {
    Serve(service, aNow);
  }
  return TakeAnswers();
}

} // namespace rattandyke::gateway
