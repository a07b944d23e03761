// Choice of upstreams whose average response times are outdated.
#include "gateway/upstream_set.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// An upstream that had room in this many choices, and got no request for this
/// time, is tried again. Those that are slow get at most one in so many
/// requests each; one that was slow only once gets its share again soon.
constexpr uint32_t kMaxTimesPassedOver = 32;
constexpr milliseconds kOutdatedAfter{ 2000 };

} // namespace

bool
UpstreamSet::IsOutdated(const Upstream& aUpstream, Instant aNow)
{
  return aUpstream.timesPassedOver >= kMaxTimesPassedOver &&
         aNow - aUpstream.lastStartAt >= Duration(kOutdatedAfter);
}

/// The average response time of an instance changes only with its responses.
/// Without this, one that was slow once would get no further request, however
/// fast it has become, as long as the others have room.
const UpstreamSet::Item*
UpstreamSet::PreferOutdated(const std::vector<const Item*>& aItems,
                            const Item* aBest,
                            const CostAt& aCost,
                            Instant aNow)
{
  const Item* chosen = aBest;
  uint32_t most = 0;
  for (const Item* item : aItems) {
    const Upstream& upstream = item->second;
    if (item == aBest || !IsOutdated(upstream, aNow) ||
        upstream.timesPassedOver <= most) {
      continue;
    }
    if (aBest != nullptr) {
      const double seconds = ResponseSecondsOf(aBest->second);
      if (aCost(upstream, seconds) > aCost(aBest->second, seconds)) {
        continue;
      }
    }
    chosen = item;
    most = upstream.timesPassedOver;
  }
  for (const Item* item : aItems) {
    item->second.timesPassedOver += item == chosen ? 0 : 1;
  }
  return chosen;
}

std::vector<std::string>
UpstreamSet::UnusedInstances(Instant aNow) const
{
  std::vector<std::string> unused;
  for (const auto& [id, upstream] : mUpstreams) {
    if (IsMember(upstream) && IsOutdated(upstream, aNow)) {
      unused.push_back(id);
    }
  }
  return unused;
}

} // namespace rattandyke::gateway
