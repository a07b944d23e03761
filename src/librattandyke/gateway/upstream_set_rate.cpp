// Limits on the request rate of upstreams.
#include "gateway/upstream_set.h"

#include <algorithm>
#include <iterator>

#include "routing/service_table.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Requests to a cold upstream are counted over this time. It is longer than
/// the second in which their number is limited, since they arrive after
/// different delays.
constexpr milliseconds kColdWindow{ 1150 };
/// Fraction of its limit that a cold upstream is sent. The rest allows for
/// requests that are delayed in the network and arrive with those of the next
/// second.
constexpr double kColdLimitFraction = 0.85;
/// Interval of the requests of all hosts together that are sent to an upstream
/// with a named limit without its home entry.
constexpr std::chrono::seconds kUncoordinatedInterval{ 4 };

} // namespace

std::optional<size_t>
UpstreamSet::ColdLimit(const wire::ServiceItem& aService) const
{
  if (aService.cold_rate() <= 0) {
    return std::nullopt;
  }
  const double maxRate =
    aService.cold_rate() * mOptions.coldFactor + mOptions.coldSlack;
  return static_cast<size_t>(std::max(maxRate * kColdLimitFraction, 1.0));
}

void
UpstreamSet::UpdateCold(const wire::UpstreamInstance& aInstance,
                        Upstream& aUpstream,
                        Instant aNow)
{
  if (aInstance.cold_index() == aUpstream.coldIndex) {
    return; // The cold period is already known.
  }
  aUpstream.coldIndex = aInstance.cold_index();
  aUpstream.coldUntil = aNow + milliseconds{ aInstance.cold_ms() };
  if (aInstance.cold_ms() > 0) {
    mRateLimitCandidates.insert(aInstance.id());
  }
}

/// A cold upstream crashes at a request rate that a warm one bears, and the
/// requests that it runs are lost. So all requests that its home entry sends
/// count, in each sliding second, including those before it was known to be
/// cold.
bool
UpstreamSet::IsColdLimitReached(const Upstream& aUpstream, Instant aNow) const
{
  const auto service = mServices.find(aUpstream.service);
  if (aNow >= aUpstream.coldUntil || service == mServices.end() ||
      !service->second.coldLimit) {
    return false;
  }
  const auto& recentStarts = aUpstream.recentStarts;
  const size_t limit = *service->second.coldLimit;
  const bool full =
    recentStarts.size() >= limit &&
    aNow - recentStarts[recentStarts.size() - limit] < kColdWindow;
  return aNow < aUpstream.coldPausedUntil || full;
}

void
UpstreamSet::PauseRateLimited(const std::vector<std::string>& aInstances,
                              Instant aNow)
{
  for (const std::string& id : aInstances) {
    const auto found = mUpstreams.find(id);
    if (found == mUpstreams.end()) {
      continue;
    }
    found->second.coldPausedUntil = aNow + Duration(kColdWindow);
    if (found->second.rateLimit) {
      found->second.rateLimit->bucket.Empty(aNow);
    }
  }
}

std::vector<std::string>
UpstreamSet::RateLimitedInstances(Instant aNow) const
{
  std::vector<std::string> limited;
  std::copy_if(
    mRateLimitCandidates.begin(),
    mRateLimitCandidates.end(),
    std::back_inserter(limited),
    [&](const std::string& aId) { return IsRateLimited(aId, aNow); });
  return limited;
}

void
UpstreamSet::RemoveUnlimited(Instant aNow)
{
  std::erase_if(mRateLimitCandidates, [&](const std::string& aId) {
    return !IsRateLimited(aId, aNow);
  });
}

bool
UpstreamSet::IsCold(const std::string& aInstance, Instant aNow) const
{
  const auto found = mUpstreams.find(aInstance);
  return found != mUpstreams.end() && aNow < found->second.coldUntil;
}

double
UpstreamSet::RateLimitedFraction(const std::string& aService,
                                 Instant aNow) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end() || service->second.usable == 0) {
    return 0;
  }
  size_t limited = 0;
  for (const auto& [group, members] : service->second.members) {
    limited += static_cast<size_t>(
      std::count_if(members.begin(), members.end(), [&](const Item* aItem) {
        return IsRateLimited(aItem->second, aNow);
      }));
  }
  return static_cast<double>(limited) /
         static_cast<double>(service->second.usable);
}

bool
UpstreamSet::HasNamedLimit(const Upstream& aUpstream)
{
  return aUpstream.rateLimit && aUpstream.rateLimit->named.RequestsPerSecond();
}

bool
UpstreamSet::IsRateLimited(const Upstream& aUpstream, Instant aNow)
{
  return aNow < aUpstream.coldUntil || HasNamedLimit(aUpstream);
}

bool
UpstreamSet::IsRateLimited(const std::string& aInstance, Instant aNow) const
{
  const auto found = mUpstreams.find(aInstance);
  return found != mUpstreams.end() && IsRateLimited(found->second, aNow);
}

/// While this host's list of entries may be outdated, another one may be the
/// home entry by a newer list. A cold upstream bears no requests of both; a
/// named limit leaves room for a fraction of the rate.
bool
UpstreamSet::HasRateRoom(const Upstream& aUpstream,
                         double aRateShare,
                         Instant aNow) const
{
  const bool cold = aNow < aUpstream.coldUntil;
  if (cold && (aRateShare < 1 || IsColdLimitReached(aUpstream, aNow))) {
    return false;
  }
  return !HasNamedLimit(aUpstream) ||
         (aRateShare > 0 && aUpstream.rateLimit->bucket.Has(1, aNow));
}

/// Hosts that each send a few requests send too many together, so a limited
/// upstream gets requests from its home entry only.
bool
UpstreamSet::HasUncoordinatedRateRoom(const Upstream& aUpstream, Instant aNow)
{
  return aNow >= aUpstream.coldUntil &&
         (!HasNamedLimit(aUpstream) ||
          aNow >= aUpstream.rateLimit->uncoordinatedFrom);
}

/// A host that never reaches the home entry would not learn that a limit was
/// lifted. So it sends a request from time to time, at intervals in which all
/// hosts together send one per kProbeInterval.
Instant
UpstreamSet::NextUncoordinated(const std::string& aInstance, Instant aNow) const
{
  const uint64_t hash = routing::MixBits(routing::HashKey(mOptions.host) ^
                                         routing::HashKey(aInstance));
  const double phase = 0.5 + static_cast<double>(hash % 1024) / 1024;
  return aNow + Scaled(Duration(kUncoordinatedInterval),
                       static_cast<double>(mEntryCount) * phase);
}

bool
UpstreamSet::RecordRateLimit(const RateLimitNotice& aNotice, Instant aNow)
{
  const auto found = mUpstreams.find(aNotice.instance);
  if (found == mUpstreams.end() ||
      found->second.incarnation != aNotice.incarnation) {
    return false;
  }
  std::unique_ptr<RateLimit>& limit = found->second.rateLimit;
  if (!limit && !aNotice.rate.requestsPerSecond) {
    return false;
  }
  if (!limit) {
    limit = std::make_unique<RateLimit>(RateLimit{ {}, { 0, aNow }, {} });
  }
  const Instant before = limit->named.ToldAt();
  const bool changed =
    limit->named.Update(aNotice.rate.requestsPerSecond, aNotice.rate.toldAt);
  if (limit->named.ToldAt() != before) {
    limit->uncoordinatedFrom = NextUncoordinated(aNotice.instance, aNow);
  }
  if (changed && aNotice.rate.requestsPerSecond) {
    NamedRate::Apply(*aNotice.rate.requestsPerSecond, limit->bucket, aNow);
    if (aNow < mNewLimitsPausedUntil) {
      limit->bucket.Empty(mNewLimitsPausedUntil);
    }
    mRateLimitCandidates.insert(aNotice.instance);
  }
  return changed;
}

std::optional<RateLimitNotice>
UpstreamSet::RateLimitOf(const std::string& aInstance) const
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end() || !found->second.rateLimit) {
    return std::nullopt;
  }
  const Upstream& upstream = found->second;
  const NamedRate& named = upstream.rateLimit->named;
  return RateLimitNotice{ aInstance,
                          upstream.incarnation,
                          { named.RequestsPerSecond(), named.ToldAt() } };
}

std::vector<RateLimitNotice>
UpstreamSet::RateLimitsOf(const std::string& aService, uint32_t aGroup) const
{
  std::vector<RateLimitNotice> limits;
  for (const Item* member : MembersOf(aService, aGroup)) {
    if (HasNamedLimit(member->second)) {
      limits.push_back(*RateLimitOf(member->first));
    }
  }
  return limits;
}

Duration
UpstreamSet::RateLimitWait(const std::string& aInstance,
                           size_t aQueuedAhead,
                           Instant aNow) const
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end() || !HasNamedLimit(found->second)) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(
    found->second.rateLimit->bucket.TimeUntil(
      static_cast<double>(aQueuedAhead + 1), aNow));
}

} // namespace rattandyke::gateway
