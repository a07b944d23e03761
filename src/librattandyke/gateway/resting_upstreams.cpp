#include "gateway/resting_upstreams.h"

#include <algorithm>

namespace rattandyke::gateway {

void
RestingUpstreams::Record(const std::string& aInstance,
                         uint64_t aIncarnation,
                         Instant aUntil)
{
  Rest& rest = mRests[aInstance];
  if (rest.incarnation != aIncarnation) {
    rest = { aIncarnation, aUntil };
  }
  rest.until = std::max(rest.until, aUntil);
}

Duration
RestingUpstreams::Left(const std::string& aInstance,
                       uint64_t aIncarnation,
                       Instant aNow) const
{
  const auto found = mRests.find(aInstance);
  const bool rests =
    found != mRests.end() && found->second.incarnation == aIncarnation;
  return rests ? std::max<Duration>(found->second.until - aNow, {})
               : Duration::zero();
}

std::vector<std::string>
RestingUpstreams::Instances(Instant aNow) const
{
  std::vector<std::string> instances;
  for (const auto& [instance, rest] : mRests) {
    if (aNow < rest.until) {
      instances.push_back(instance);
    }
  }
  return instances;
}

void
RestingUpstreams::RemoveEnded(Instant aNow)
{
  std::erase_if(mRests,
                [&](const auto& aRest) { return aNow >= aRest.second.until; });
}

} // namespace rattandyke::gateway
