// Choice from load reports, without a home entry.
#include "gateway/upstream_set.h"

#include <algorithm>
#include <utility>

#include "routing/service_table.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Sizes of the subset of instances that a host chooses from, in its own data
/// centre and in others. With fewer instances, too few alternatives remain
/// while one is slow; with more, each reports its load to this host too seldom.
constexpr size_t kLocalSubsetSize = 6;
constexpr size_t kRemoteSubsetSize = 2;
/// Time for which a load report is used.
constexpr milliseconds kReportLifetime{ 1000 };
/// Bounds to which a reported slowdown is clamped.
constexpr double kMinSlowdown = 0.5;
constexpr double kMaxSlowdown = 4;
/// Interval of the requests to an instance that was full in its last load
/// report and has sent no report since.
constexpr milliseconds kFullProbeInterval{ 700 };
/// Time for which a reported slowdown is used.
constexpr milliseconds kSlowdownLifetime{ 250 };
/// Fraction of its slots that an instance without a recent load report is
/// assumed to use.
constexpr double kAssumedLoadFraction = 0.7;
/// Estimated number of requests waiting at an instance from which on it is not
/// chosen. Its queue has room for a few more, since other hosts send requests
/// that are not known here; requests beyond the queue may never get a response.
constexpr double kMaxDirectQueue = 3;
/// The instances of a service count as reporting their load if one of them has
/// done so within this time.
constexpr std::chrono::seconds kReportingWindow{ 5 };
/// Seconds added to the expected response time of an instance in another data
/// centre.
constexpr double kRemoteCostSeconds = 0.02;

} // namespace

bool
UpstreamSet::HasFreshReport(const Upstream& aUpstream, Instant aNow)
{
  return aUpstream.report && aNow - aUpstream.reportedAt < kReportLifetime;
}

/// @return the subset of a service's instances that this host chooses from.
/// Each host ranks the instances by a hash that depends on its name, so hosts
/// have different subsets, and each instance is in about as many.
const std::vector<const UpstreamSet::Item*>&
UpstreamSet::SubsetOf(const std::string& aService)
{
  Service& service = mServices[aService];
  if (service.subset) {
    return *service.subset;
  }
  using Ranked = std::pair<uint64_t, const Item*>;
  std::vector<Ranked> local;
  std::vector<Ranked> remote;
  const uint64_t own = routing::HashKey(mOptions.host);
  for (const auto& [group, members] : service.members) {
    for (const Item* item : members) {
      const bool isLocal = item->second.dataCentre == mOptions.dataCentre.value;
      (isLocal ? local : remote)
        .emplace_back(routing::MixBits(own ^ routing::HashKey(item->first)),
                      item);
    }
  }
  std::sort(local.begin(), local.end());
  std::sort(remote.begin(), remote.end());
  std::vector<const Item*> subset;
  for (size_t at = 0; at < std::min(local.size(), kLocalSubsetSize); ++at) {
    subset.push_back(local[at].second);
  }
  const size_t wanted = kLocalSubsetSize + kRemoteSubsetSize - subset.size();
  for (size_t at = 0; at < std::min(remote.size(), wanted); ++at) {
    subset.push_back(remote[at].second);
  }
  return service.subset.emplace(std::move(subset));
}

/// Hosts that found an upstream full send it nothing, so they get no further
/// load reports from it. When the last reports expire, all hosts would send it
/// requests at the same time, more than its queue has room for. So each host
/// sends it only one request per kFullProbeInterval until it reports again.
bool
UpstreamSet::IsAwaitingProbe(const Upstream& aUpstream, Instant aNow)
{
  const bool full =
    aUpstream.report &&
    aUpstream.report->running + aUpstream.report->waiting >= aUpstream.slots;
  return full && !HasFreshReport(aUpstream, aNow) &&
         aNow - aUpstream.lastStartAt < kFullProbeInterval;
}

double
UpstreamSet::EstimatedLoad(const Upstream& aUpstream, Instant aNow)
{
  const double own = aUpstream.inFlight;
  if (!HasFreshReport(aUpstream, aNow)) {
    return std::max(own, kAssumedLoadFraction * aUpstream.slots);
  }
  const LoadReport& report = *aUpstream.report;
  return std::max(
    own, report.running + report.waiting + 0.0 + aUpstream.startsSinceReport);
}

double
UpstreamSet::EstimatedResponseSeconds(const Upstream& aUpstream,
                                      double aMeanSeconds,
                                      Instant aNow) const
{
  const bool isFresh =
    aUpstream.report && aNow - aUpstream.reportedAt < kSlowdownLifetime;
  const double slowdown =
    isFresh ? std::clamp(aUpstream.report->slowdown, kMinSlowdown, kMaxSlowdown)
            : 1.0;
  const double seconds = aMeanSeconds * slowdown;
  const double waits =
    std::max(EstimatedLoad(aUpstream, aNow) + 1 - aUpstream.slots, 0.0);
  const bool isRemote = aUpstream.dataCentre != mOptions.dataCentre.value;
  return seconds * (1 + waits / aUpstream.slots) +
         (isRemote ? kRemoteCostSeconds : 0);
}

double
UpstreamSet::MeanSecondsOf(const std::vector<const Item*>& aItems)
{
  double known = 0;
  double sum = 0;
  for (const Item* item : aItems) {
    known += item->second.meanSeconds > 0 ? 1 : 0;
    sum += item->second.meanSeconds;
  }
  return known > 0 ? sum / known : kDefaultResponseSeconds;
}

double
UpstreamSet::Spread()
{
  return 0.9 + 0.2 * static_cast<double>(mRandom() % 1024) / 1024;
}

UpstreamSet::Outcome
UpstreamSet::ChooseDirect(const std::string& aService,
                          const std::set<std::string>& aExcluded,
                          Duration aMaxResponseTime,
                          Instant aNow)
{
  const double maxSeconds =
    std::chrono::duration<double>(aMaxResponseTime).count();
  const std::vector<const Item*>& subset = SubsetOf(aService);
  const double defaultSeconds = MeanSecondsOf(subset);
  std::vector<const Item*> room;
  const Item* best = nullptr;
  std::pair<bool, double> bestIn;
  for (const Item* item : subset) {
    const Upstream& upstream = item->second;
    if (aExcluded.contains(item->first) || IsReplaced(upstream, aNow) ||
        !HasUncoordinatedRateRoom(upstream, aNow) ||
        IsAwaitingProbe(upstream, aNow) ||
        EstimatedLoad(upstream, aNow) >= upstream.slots + kMaxDirectQueue) {
      continue;
    }
    const bool isAvoided = aNow < upstream.avoidUntil;
    if (!isAvoided) {
      room.push_back(item);
    }
    const double answer = EstimatedResponseSeconds(
      upstream,
      upstream.meanSeconds > 0 ? upstream.meanSeconds : defaultSeconds,
      aNow);
    if (answer > maxSeconds) {
      continue;
    }
    const std::pair<bool, double> in{ isAvoided, answer * Spread() };
    if (best == nullptr || in < bestIn) {
      best = item;
      bestIn = in;
    }
  }
  best = PreferOutdated(
    room,
    best,
    [&](const Upstream& aUpstream, double aSeconds) {
      return EstimatedResponseSeconds(aUpstream, aSeconds, aNow);
    },
    aNow);
  if (best == nullptr) {
    return subset.empty() ? UnavailableReason::NoInstance
                          : UnavailableReason::Full;
  }
  return Choice{ best->first, best->second.address };
}

bool
UpstreamSet::AcceptsDirect(const Upstream& aUpstream, Instant aNow)
{
  return IsMember(aUpstream) && !IsRateLimited(aUpstream, aNow) &&
         !IsReplaced(aUpstream, aNow) && aNow >= aUpstream.avoidUntil;
}

bool
UpstreamSet::AcceptsDirect(const std::string& aInstance, Instant aNow) const
{
  const auto found = mUpstreams.find(aInstance);
  return found != mUpstreams.end() && AcceptsDirect(found->second, aNow);
}

UpstreamSet::Outcome
UpstreamSet::ChooseByResponseTime(const std::string& aService,
                                  const std::set<std::string>& aExcluded,
                                  Duration aMaxResponseTime,
                                  Instant aNow)
{
  const double maxSeconds =
    std::chrono::duration<double>(aMaxResponseTime).count();
  const std::vector<const Item*>& subset = SubsetOf(aService);
  const double defaultSeconds = MeanSecondsOf(subset);
  const CostAt expectedAt = [](const Upstream& aUpstream, double aSeconds) {
    return aSeconds *
           (1 + static_cast<double>(aUpstream.inFlight) / aUpstream.slots);
  };
  std::vector<const Item*> room;
  const Item* best = nullptr;
  double bestIn = 0;
  for (const Item* item : subset) {
    const Upstream& upstream = item->second;
    if (aExcluded.contains(item->first) || !AcceptsDirect(upstream, aNow) ||
        upstream.inFlight >= upstream.slots) {
      continue;
    }
    room.push_back(item);
    const double expected = expectedAt(
      upstream,
      upstream.meanSeconds > 0 ? upstream.meanSeconds : defaultSeconds);
    if (expected > maxSeconds) {
      continue;
    }
    const double in = expected * Spread();
    if (best == nullptr || in < bestIn) {
      best = item;
      bestIn = in;
    }
  }
  best = PreferOutdated(room, best, expectedAt, aNow);
  if (best == nullptr) {
    return subset.empty() ? UnavailableReason::NoInstance
                          : UnavailableReason::Full;
  }
  return Choice{ best->first, best->second.address };
}

Duration
UpstreamSet::ExpectedDirectWait(const std::string& aService, Instant aNow)
{
  double least = kDefaultResponseSeconds;
  bool found = false;
  for (const Item* item : SubsetOf(aService)) {
    const Upstream& upstream = item->second;
    const double excess =
      EstimatedLoad(upstream, aNow) + 1 - upstream.slots - kMaxDirectQueue;
    const double wait =
      std::max(excess, 1.0) * ResponseSecondsOf(upstream) / upstream.slots;
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
  upstream.report = aLoad;
  upstream.reportedAt = aNow;
  upstream.startsSinceReport = 0;
  mServices[upstream.service].reportedAt = aNow;
}

bool
UpstreamSet::ReportsLoad(const std::string& aService, Instant aNow) const
{
  const auto service = mServices.find(aService);
  return service != mServices.end() && service->second.reportedAt &&
         aNow - *service->second.reportedAt < kReportingWindow;
}

} // namespace rattandyke::gateway
