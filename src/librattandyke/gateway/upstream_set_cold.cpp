// What cold upstreams are sent.
#include "gateway/upstream_set.h"

#include <algorithm>
#include <iterator>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Sends to a cold upstream are counted over this time, which is longer than
/// the second that it is protected for: they arrive after different delays.
constexpr milliseconds kColdWindow{ 1150 };
/// Part of what a cold upstream bears that it is sent. The rest is for sends
/// that were held up on their way and arrive with those of the next second.
constexpr double kColdPart = 0.85;

} // namespace

std::optional<size_t>
UpstreamSet::ColdBound(const wire::ServiceItem& aService) const
{
  if (aService.cold_rate() <= 0) {
    return std::nullopt;
  }
  const double borne =
    aService.cold_rate() * mOptions.coldFactor + mOptions.coldSlack;
  return static_cast<size_t>(std::max(borne * kColdPart, 1.0));
}

void
UpstreamSet::PutCold(const wire::UpstreamInstance& aInstance,
                     Upstream& aUpstream,
                     Instant aNow)
{
  if (aInstance.cold_index() == aUpstream.coldIndex) {
    return; // It is as old as what is known.
  }
  aUpstream.coldIndex = aInstance.cold_index();
  aUpstream.coldUntil = aNow + milliseconds{ aInstance.cold_ms() };
  if (aInstance.cold_ms() > 0) {
    mColdLately.insert(aInstance.id());
  }
}

/// Safeguard: a cold upstream crashes at a rate that a warm one bears, and what
/// it runs is lost. So all that its home sends it counts, for any second, also
/// before it was known to be cold.
bool
UpstreamSet::IsColdFull(const Upstream& aUpstream, Instant aNow) const
{
  const auto service = mServices.find(aUpstream.service);
  if (aNow >= aUpstream.coldUntil || service == mServices.end() ||
      !service->second.coldBound) {
    return false;
  }
  const auto& recent = aUpstream.recent;
  const size_t bound = *service->second.coldBound;
  const bool full = recent.size() >= bound &&
                    aNow - recent[recent.size() - bound] < kColdWindow;
  return aNow < aUpstream.coldFrom || full;
}

void
UpstreamSet::HoldOffCold(const std::vector<std::string>& aInstances,
                         Instant aNow)
{
  for (const std::string& id : aInstances) {
    const auto found = mUpstreams.find(id);
    if (found != mUpstreams.end()) {
      found->second.coldFrom = aNow + Duration(kColdWindow);
    }
  }
}

std::vector<std::string>
UpstreamSet::ColdInstances(Instant aNow) const
{
  std::vector<std::string> cold;
  std::copy_if(mColdLately.begin(),
               mColdLately.end(),
               std::back_inserter(cold),
               [&](const std::string& aId) { return IsCold(aId, aNow); });
  return cold;
}

void
UpstreamSet::ForgetWarm(Instant aNow)
{
  std::erase_if(mColdLately,
                [&](const std::string& aId) { return !IsCold(aId, aNow); });
}

bool
UpstreamSet::IsCold(const std::string& aInstance, Instant aNow) const
{
  const auto found = mUpstreams.find(aInstance);
  return found != mUpstreams.end() && aNow < found->second.coldUntil;
}

double
UpstreamSet::ColdPart(const std::string& aService, Instant aNow) const
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

} // namespace rattandyke::gateway
