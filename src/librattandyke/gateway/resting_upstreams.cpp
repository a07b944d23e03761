#include "gateway/resting_upstreams.h"

#include <algorithm>
#include <utility>

namespace rattandyke::gateway {

void
RestingUpstreams::Record(const std::string& aInstance,
                         uint64_t aIncarnation,
                         Instant aUntil)
{
  const auto [found, isNew] =
    mRests.try_emplace(aInstance, Rest{ aInstance, aIncarnation, aUntil });
  Rest& rest = found->second;
  if (isNew || rest.incarnation != aIncarnation || rest.until < aUntil) {
    rest = { aInstance, aIncarnation, aUntil };
    mRecorded.insert(aInstance);
  }
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

std::vector<RestingUpstreams::Rest>
RestingUpstreams::Rests(Instant aNow) const
{
  std::vector<Rest> rests;
  for (const auto& [instance, rest] : mRests) {
    if (aNow < rest.until) {
      rests.push_back(rest);
    }
  }
  return rests;
}

std::vector<RestingUpstreams::Rest>
RestingUpstreams::TakeRecorded(Instant aNow)
{
  std::vector<Rest> rests;
  for (const std::string& instance : std::exchange(mRecorded, {})) {
    const auto found = mRests.find(instance);
    if (found != mRests.end() && aNow < found->second.until) {
      rests.push_back(found->second);
    }
  }
  return rests;
}

void
RestingUpstreams::RemoveEnded(Instant aNow)
{
  std::erase_if(mRests,
                [&](const auto& aRest) { return aNow >= aRest.second.until; });
  std::erase_if(mRecorded, [&](const std::string& aInstance) {
    return !mRests.contains(aInstance);
  });
}

} // namespace rattandyke::gateway
