// A host's own choice among upstreams that tell their load.
#include "gateway/upstream_set.h"

#include <algorithm>
#include <utility>

#include "routing/service_table.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Instances that a host chooses from by itself, in its own data centre and
/// elsewhere. With fewer, one that is slow for a moment has
/// too little beside it; with more, each is heard too seldom.
constexpr size_t kSubsetNear = 6;
constexpr size_t kSubsetFar = 2;
/// For how long what an instance told counts.
constexpr milliseconds kToldFor{ 1000 };
/// Bounds of a pace that is believed.
constexpr double kLeastPace = 0.5;
constexpr double kMostPace = 4;
/// How often a host sends one request to an instance that was full and has been
/// silent since.
constexpr milliseconds kAskAgainEvery{ 700 };
/// For how long its pace counts.
constexpr milliseconds kPaceFor{ 250 };
/// Without a recent word, an instance is taken to have this part of its slots
/// busy.
constexpr double kAssumedBusy = 0.7;
/// Requests that hosts that choose by themselves let wait at an instance. It
/// has a few more places, beyond which it may never answer: others send it
/// some that are not known here.
constexpr double kDirectQueue = 3;
/// A service's instances tell their load as long as one has within this time.
constexpr std::chrono::seconds kTellsFor{ 5 };
/// What a request to another data centre costs a direct choice, in seconds.
constexpr double kFarSeconds = 0.02;

} // namespace

bool
UpstreamSet::HasToldLately(const Upstream& aUpstream, Instant aNow)
{
  return aUpstream.told && aNow - aUpstream.toldAt < kToldFor;
}

/// Each host ranks all instances by a hash of its own, so that hosts have
/// different ones and each instance about as many hosts.
const std::vector<const UpstreamSet::Item*>&
UpstreamSet::SubsetOf(const std::string& aService)
{
  Service& service = mServices[aService];
  if (service.subset) {
    return *service.subset;
  }
  using Ranked = std::pair<uint64_t, const Item*>;
  std::vector<Ranked> near;
  std::vector<Ranked> far;
  const uint64_t own = routing::HashKey(mOptions.host);
  for (const auto& [group, members] : service.members) {
    for (const Item* item : members) {
      const bool isNear = item->second.dataCentre == mOptions.dataCentre.value;
      (isNear ? near : far)
        .emplace_back(routing::MixBits(own ^ routing::HashKey(item->first)),
                      item);
    }
  }
  std::sort(near.begin(), near.end());
  std::sort(far.begin(), far.end());
  std::vector<const Item*> subset;
  for (size_t at = 0; at < std::min(near.size(), kSubsetNear); ++at) {
    subset.push_back(near[at].second);
  }
  const size_t wanted = kSubsetNear + kSubsetFar - subset.size();
  for (size_t at = 0; at < std::min(far.size(), wanted); ++at) {
    subset.push_back(far[at].second);
  }
  return service.subset.emplace(std::move(subset));
}

/// Safeguard: hosts that found an upstream full hear nothing more of it, and
/// after a while all think that it may have room again. What they then send in
/// one moment is more than it has places for.
bool
UpstreamSet::IsAwaited(const Upstream& aUpstream, Instant aNow)
{
  const bool full =
    aUpstream.told &&
    aUpstream.told->running + aUpstream.told->waiting >= aUpstream.slots;
  return full && !HasToldLately(aUpstream, aNow) &&
         aNow - aUpstream.begunAt < kAskAgainEvery;
}

double
UpstreamSet::LoadOf(const Upstream& aUpstream, Instant aNow)
{
  const double own = aUpstream.running;
  if (!HasToldLately(aUpstream, aNow)) {
    return std::max(own, kAssumedBusy * aUpstream.slots);
  }
  const LoadReport& told = *aUpstream.told;
  return std::max(own,
                  told.running + told.waiting + 0.0 + aUpstream.begunSince);
}

double
UpstreamSet::AnswerIn(const Upstream& aUpstream,
                      double aUsual,
                      Instant aNow) const
{
  const bool paced = aUpstream.told && aNow - aUpstream.toldAt < kPaceFor;
  const double slowdown =
    paced ? std::clamp(aUpstream.told->slowdown, kLeastPace, kMostPace) : 1.0;
  const double seconds =
    (aUpstream.seconds > 0 ? aUpstream.seconds : aUsual) * slowdown;
  const double waits =
    std::max(LoadOf(aUpstream, aNow) + 1 - aUpstream.slots, 0.0);
  const bool isFar = aUpstream.dataCentre != mOptions.dataCentre.value;
  return seconds * (1 + waits / aUpstream.slots) + (isFar ? kFarSeconds : 0);
}

UpstreamSet::Outcome
UpstreamSet::ChooseDirect(const std::string& aService,
                          const std::set<std::string>& aTried,
                          Duration aWithin,
                          Instant aNow)
{
  const double within = std::chrono::duration<double>(aWithin).count();
  const std::vector<const Item*>& subset = SubsetOf(aService);
  double known = 0;
  double sum = 0;
  for (const Item* item : subset) {
    known += item->second.seconds > 0 ? 1 : 0;
    sum += item->second.seconds;
  }
  const double usual = known > 0 ? sum / known : kDefaultSeconds;
  const Item* best = nullptr;
  std::pair<bool, double> bestIn;
  for (const Item* item : subset) {
    const Upstream& upstream = item->second;
    if (aTried.contains(item->first) || aNow < upstream.coldUntil ||
        IsAwaited(upstream, aNow) ||
        LoadOf(upstream, aNow) >= upstream.slots + kDirectQueue) {
      continue;
    }
    // Hosts that have been told the same must not all choose the same.
    const double spread =
      0.9 + 0.2 * static_cast<double>(mRandom() % 1024) / 1024;
    const double answer = AnswerIn(upstream, usual, aNow);
    if (answer > within) {
      continue;
    }
    const std::pair<bool, double> in{ aNow < upstream.avoidUntil,
                                      answer * spread };
    if (best == nullptr || in < bestIn) {
      best = item;
      bestIn = in;
    }
  }
  if (best == nullptr) {
    return subset.empty() ? UnavailableReason::NoInstance
                          : UnavailableReason::Full;
  }
  return Choice{ best->first, best->second.address };
}

Duration
UpstreamSet::DirectWait(const std::string& aService, Instant aNow)
{
  double least = kDefaultSeconds;
  bool found = false;
  for (const Item* item : SubsetOf(aService)) {
    const Upstream& upstream = item->second;
    const double excess =
      LoadOf(upstream, aNow) + 1 - upstream.slots - kDirectQueue;
    const double wait =
      std::max(excess, 1.0) * SecondsOf(upstream) / upstream.slots;
    least = found ? std::min(least, wait) : wait;
    found = true;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(least));
}

void
UpstreamSet::RecordLoadReport(const std::string& aInstance,
                              const LoadReport& aLoad,
                              Instant aNow)
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end()) {
    return;
  }
  Upstream& upstream = found->second;
  upstream.told = aLoad;
  upstream.toldAt = aNow;
  upstream.begunSince = 0;
  mServices[upstream.service].toldAt = aNow;
}

bool
UpstreamSet::TellsLoad(const std::string& aService, Instant aNow) const
{
  const auto service = mServices.find(aService);
  return service != mServices.end() && service->second.toldAt &&
         aNow - *service->second.toldAt < kTellsFor;
}

} // namespace rattandyke::gateway
