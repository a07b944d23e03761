#include "scheduling/demand_view.h"

#include <tuple>

namespace rattandyke::scheduling {

namespace {

template<typename Demand>
std::optional<Demand>
Find(const std::map<std::string, Demand, std::less<>>& aDemands,
     std::string_view aName)
{
  const auto found = aDemands.find(aName);
  return found == aDemands.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

bool
DemandView::IsFresh(Instant aNow) const
{
  const std::optional<Duration> age = Age(aNow);
  return age && *age < kValidity;
}

std::optional<OwnerDemand>
DemandView::OwnerOf(std::string_view aInstance) const
{
  return Find(mOwners, aInstance);
}

std::optional<ServiceDemand>
DemandView::ServiceOf(std::string_view aService) const
{
  return Find(mServices, aService);
}

void
DemandView::Apply(const DemandDigest& aDigest, Instant aNow)
{
  if (!IsNewer(aDigest)) {
    return;
  }
  mHasDigest = true;
  mTerm = aDigest.term;
  mSequence = aDigest.sequence;
  mCreatedAt = aNow - aDigest.age;
  mTruncated = aDigest.truncated;
  mOwners.clear();
  for (const OwnerDemand& owner : aDigest.owners) {
    mOwners.emplace(owner.instance, owner);
  }
  mServices.clear();
  for (const ServiceDemand& service : aDigest.services) {
    mServices.emplace(service.service, service);
  }
}

bool
DemandView::IsNewer(const DemandDigest& aDigest) const
{
  return !mHasDigest ||
         std::tie(aDigest.term, aDigest.sequence) > std::tie(mTerm, mSequence);
}

std::optional<Duration>
DemandView::Age(Instant aNow) const
{
  return mHasDigest ? std::optional(Duration(aNow - mCreatedAt)) : std::nullopt;
}

} // namespace rattandyke::scheduling
