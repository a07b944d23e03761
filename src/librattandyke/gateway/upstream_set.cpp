#include "gateway/upstream_set.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Weight of the newest answer in the moving average of times: the last ten or
/// so count.
constexpr double kNewest = 0.15;
/// Assumed for an upstream that has not answered yet.
constexpr double kDefaultSeconds = 0.1;
/// Time for which an upstream is avoided after a failure; doubled with each
/// further one. A crashed one is back within seconds.
constexpr milliseconds kFirstAvoided{ 400 };
constexpr milliseconds kLongestAvoided{ 5000 };
/// A draining owner of keys gets requests for this long: it holds them until
/// they are released, but nothing new may reach it once `drain_timeout` has
/// passed.
constexpr milliseconds kDrainingOwner{ 900 };
/// What a request to another data centre costs, as a part of the time of an
/// answer: so that an equal one nearby is chosen.
constexpr double kFarFactor = 1.12;

} // namespace

UpstreamSet::UpstreamSet(DataCentre aOwnDataCentre, uint64_t aSeed)
  : mOwnDataCentre(std::move(aOwnDataCentre))
  , mRandom(aSeed)
{
}

void
UpstreamSet::Update(const State& aState, Instant aNow)
{
  for (auto at = mUpstreams.begin(); at != mUpstreams.end();) {
    at->second.gone = aState.FindInstance(at->first) == nullptr;
    const bool forget = at->second.gone && at->second.running == 0;
    at = forget ? mUpstreams.erase(at) : std::next(at);
  }
  for (const auto& [id, instance] : aState.Instances()) {
    Upstream& upstream = mUpstreams[id];
    upstream.service = instance.service();
    upstream.address = instance.address();
    upstream.dataCentre = instance.data_centre();
    upstream.slots = std::max(instance.slots(), 1U);
    if (instance.draining() && !upstream.drainingSince) {
      upstream.drainingSince = aNow;
    }
  }
}

double
UpstreamSet::Score(const Upstream& aUpstream) const
{
  const double seconds =
    aUpstream.seconds > 0 ? aUpstream.seconds : kDefaultSeconds;
  const double load =
    (aUpstream.running + 1.0) / static_cast<double>(aUpstream.slots);
  const double far =
    aUpstream.dataCentre == mOwnDataCentre.value ? 1.0 : kFarFactor;
  return seconds * (0.5 + load) * far;
}

UpstreamSet::Outcome
UpstreamSet::Choose(const std::string& aService,
                    const std::set<std::string>& aTried,
                    Instant aNow)
{
  bool known = false;
  std::vector<const std::pair<const std::string, Upstream>*> room;
  std::vector<const std::pair<const std::string, Upstream>*> avoided;
  for (const auto& item : mUpstreams) {
    const Upstream& upstream = item.second;
    if (upstream.service != aService || upstream.gone ||
        upstream.drainingSince || aTried.contains(item.first)) {
      continue;
    }
    known = true;
    if (upstream.running >= upstream.slots) {
      continue;
    }
    (aNow < upstream.avoidUntil ? avoided : room).push_back(&item);
  }
  if (room.empty()) {
    room = avoided;
  }
  if (room.empty()) {
    return known ? Hindrance::Full : Hindrance::NoInstance;
  }
  // Entries that all take the best one would overrun it together: each takes
  // the better of two drawn at random.
  const auto* best = room[mRandom() % room.size()];
  for (int i = 0; i < 2; ++i) {
    const auto* other = room[mRandom() % room.size()];
    if (Score(other->second) < Score(best->second)) {
      best = other;
    }
  }
  return Choice{ best->first, best->second.address };
}

UpstreamSet::Outcome
UpstreamSet::ChooseOwner(const State& aState,
                         const std::string& aService,
                         uint32_t aKey,
                         Instant aNow)
{
  const RangeTable* ranges = aState.Ranges(aService);
  if (ranges == nullptr) {
    return Hindrance::NoOwner;
  }
  const auto found = mUpstreams.find(ranges->Find(aKey).holder());
  if (found == mUpstreams.end() || found->second.gone) {
    return Hindrance::NoOwner;
  }
  const Upstream& owner = found->second;
  if (owner.drainingSince && aNow - *owner.drainingSince >= kDrainingOwner) {
    return Hindrance::NoOwner;
  }
  if (owner.running >= owner.slots) {
    return Hindrance::Full;
  }
  return Choice{ found->first, owner.address };
}

void
UpstreamSet::Begin(const std::string& aInstance)
{
  ++mUpstreams[aInstance].running;
}

void
UpstreamSet::End(const std::string& aInstance,
                 TryEnd aEnd,
                 Duration aTook,
                 Instant aNow)
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end()) {
    return;
  }
  Upstream& upstream = found->second;
  upstream.running -= upstream.running > 0 ? 1 : 0;
  const double took = std::chrono::duration<double>(aTook).count();
  const bool timed = aEnd == TryEnd::Answered || aEnd == TryEnd::Silent;
  if (timed) {
    upstream.seconds =
      upstream.seconds == 0
        ? took
        : upstream.seconds + kNewest * (took - upstream.seconds);
  }
  if (aEnd == TryEnd::Answered) {
    upstream.failures = 0;
    upstream.avoidUntil = {};
  } else if (aEnd != TryEnd::Abandoned) {
    ++upstream.failures;
    const auto time = std::min<Duration>(
      kFirstAvoided * (1U << std::min(upstream.failures - 1, 8U)),
      kLongestAvoided);
    upstream.avoidUntil = aNow + time;
  }
  if (upstream.gone && upstream.running == 0) {
    mUpstreams.erase(found);
  }
}

uint32_t
UpstreamSet::Running(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  return found == mUpstreams.end() ? 0 : found->second.running;
}

} // namespace rattandyke::gateway
