// Limits on the request rate of upstreams.
#include "gateway/upstream_set.h"

#include <algorithm>
#include <iterator>

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
    mColdCandidates.insert(aInstance.id());
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
UpstreamSet::PauseCold(const std::vector<std::string>& aInstances, Instant aNow)
{
  for (const std::string& id : aInstances) {
    const auto found = mUpstreams.find(id);
    if (found != mUpstreams.end()) {
      found->second.coldPausedUntil = aNow + Duration(kColdWindow);
    }
  }
}

std::vector<std::string>
UpstreamSet::ColdInstances(Instant aNow) const
{
  std::vector<std::string> cold;
  std::copy_if(mColdCandidates.begin(),
               mColdCandidates.end(),
               std::back_inserter(cold),
               [&](const std::string& aId) { return IsCold(aId, aNow); });
  return cold;
}

void
UpstreamSet::RemoveWarm(Instant aNow)
{
  std::erase_if(mColdCandidates,
                [&](const std::string& aId) { return !IsCold(aId, aNow); });
}

bool
UpstreamSet::IsCold(const std::string& aInstance, Instant aNow) const
{
  const auto found = mUpstreams.find(aInstance);
  return found != mUpstreams.end() && aNow < found->second.coldUntil;
}

double
UpstreamSet::ColdFraction(const std::string& aService, Instant aNow) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end() || service->second.usable == 0) {
    return 0;
  }
  size_t cold = 0;
  for (const auto& [group, members] : service->second.members) {
    cold += static_cast<size_t>(
      std::count_if(members.begin(), members.end(), [&](const Item* aItem) {
        return aNow < aItem->second.coldUntil;
      }));
  }
  return static_cast<double>(cold) /
         static_cast<double>(service->second.usable);
}

bool
UpstreamSet::RecordRateLimit(const std::string& aInstance,
                             uint64_t aIncarnation,
                             std::optional<double> aRequestsPerSecond,
                             Instant aToldAt)
{
  const auto found = mUpstreams.find(aInstance);
  if (found == mUpstreams.end() || found->second.incarnation != aIncarnation) {
    return false;
  }
  Upstream& upstream = found->second;
  const bool changed = upstream.rateLimit != aRequestsPerSecond;
  upstream.rateLimit = aRequestsPerSecond;
  upstream.rateLimitToldAt = aToldAt;
  return changed;
}

} // namespace rattandyke::gateway
