#include "gateway/upstream_reach.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rattandyke::gateway {

UpstreamReach::UpstreamReach(uint64_t aSeed)
  : mRandom(aSeed)
{
}

const UpstreamReach::Failed*
UpstreamReach::FindFailed(const std::string& aService,
                          const std::string& aInstance) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return nullptr;
  }
  const auto failed = service->second.failed.find(aInstance);
  return failed == service->second.failed.end() ? nullptr : &failed->second;
}

void
UpstreamReach::RecordResponse(const std::string& aService,
                              const std::string& aInstance,
                              bool aNewConnection,
                              Instant aNow)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return;
  }
  Service& service = found->second;
  service.countedFrom = aNow;
  const auto failed = service.failed.find(aInstance);
  // Open connections may live on while new ones are refused.
  if (failed != service.failed.end() &&
      (aNewConnection || !failed->second.unreachable)) {
    service.failed.erase(failed);
  }
  if (service.lost) {
    EndLoss(aService, service, aNow);
  }
}

void
UpstreamReach::RecordFailure(const std::string& aService,
                             const UpstreamProcess& aProcess,
                             PathFailure aFailure,
                             Instant aNow)
{
  Service& service = mServices[aService];
  Failed& failed = service.failed[aProcess.instance];
  failed.incarnation = aProcess.incarnation;
  failed.at = aNow;
  if (aFailure == PathFailure::NoConnection && !failed.unreachable) {
    failed.unreachable = true;
    failed.probeInterval = kProbeInterval;
    failed.nextProbeAt = aNow + failed.probeInterval;
  }
  CheckLost(aService, service, aNow);
}

void
UpstreamReach::CheckLost(const std::string& aName,
                         Service& aService,
                         Instant aNow)
{
  if (aService.lost) {
    return;
  }
  const Instant from =
    std::max(aService.countedFrom, aNow - Duration(kFailureWindow));
  const auto failed = static_cast<size_t>(std::count_if(
    aService.failed.begin(), aService.failed.end(), [&](const auto& aItem) {
      return aItem.second.at > from;
    }));
  if (failed < kMinFailed) {
    return;
  }
  aService.lost = true;
  aService.lostSince = aNow;
  aService.nextProbeAt = aNow + Duration(kProbeInterval);
  mChanges.push_back({ aName, true, failed, {} });
}

void
UpstreamReach::EndLoss(const std::string& aName,
                       Service& aService,
                       Instant aNow)
{
  const Instant from = aService.lostSince - Duration(kFailureWindow);
  mChanges.push_back(
    { aName, false, aService.failed.size(), aNow - aService.lostSince });
  std::erase_if(aService.failed,
                [&](const auto& aItem) { return aItem.second.at >= from; });
  aService.lost = false;
  aService.countedFrom = aNow;
}

void
UpstreamReach::RecordUnreachableForOthers(const std::string& aService,
                                          const std::string& aInstance,
                                          Instant aNow)
{
  Service& service = mServices[aService];
  const auto found = service.failed.find(aInstance);
  if (found != service.failed.end()) {
    found->second.unreachableForOthersUntil = aNow + Duration(kProbeInterval);
  }
}

bool
UpstreamReach::CanReach(const std::string& aService,
                        const std::string& aInstance,
                        bool aHasConnection) const
{
  if (IsLost(aService)) {
    return false;
  }
  const Failed* failed = FindFailed(aService, aInstance);
  return failed == nullptr || !failed->unreachable || aHasConnection;
}

bool
UpstreamReach::IsUnreachableForOthers(const std::string& aService,
                                      const std::string& aInstance,
                                      Instant aNow) const
{
  const Failed* failed = FindFailed(aService, aInstance);
  return failed != nullptr && aNow < failed->unreachableForOthersUntil;
}

bool
UpstreamReach::IsLost(const std::string& aService) const
{
  const auto service = mServices.find(aService);
  return service != mServices.end() && service->second.lost;
}

bool
UpstreamReach::HasNoPath(const std::string& aService) const
{
  const auto service = mServices.find(aService);
  return service != mServices.end() && service->second.lost &&
         std::any_of(
           service->second.failed.begin(),
           service->second.failed.end(),
           [](const auto& aItem) { return aItem.second.unreachable; });
}

size_t
UpstreamReach::LostServices() const
{
  return static_cast<size_t>(
    std::count_if(mServices.begin(), mServices.end(), [](const auto& aItem) {
      return aItem.second.lost;
    }));
}

size_t
UpstreamReach::UnreachableInstances() const
{
  size_t count = 0;
  for (const auto& [name, service] : mServices) {
    count += static_cast<size_t>(std::count_if(
      service.failed.begin(), service.failed.end(), [](const auto& aItem) {
        return aItem.second.unreachable;
      }));
  }
  return count;
}

std::vector<UpstreamReach::Probe>
UpstreamReach::TakeProbes(Instant aNow)
{
  std::vector<Probe> probes;
  for (auto& [name, service] : mServices) {
    if (service.lost && service.failed.empty()) {
      // Those that had failed are gone; the others may be reachable.
      EndLoss(name, service, aNow);
    }
    if (service.lost) {
      // One probe at a time: connections to upstreams are few, and one that
      // succeeds is enough.
      if (!service.probing && aNow >= service.nextProbeAt &&
          !service.failed.empty()) {
        const auto chosen =
          std::next(service.failed.begin(),
                    static_cast<int64_t>(mRandom() % service.failed.size()));
        service.probing = true;
        probes.push_back({ name, chosen->first });
      }
      continue;
    }
    for (auto& [instance, failed] : service.failed) {
      if (failed.unreachable && !failed.probing && aNow >= failed.nextProbeAt) {
        failed.probing = true;
        probes.push_back({ name, instance });
      }
    }
  }
  return probes;
}

void
UpstreamReach::RecordProbe(const Probe& aProbe, bool aReached, Instant aNow)
{
  const auto found = mServices.find(aProbe.service);
  if (found == mServices.end()) {
    return;
  }
  Service& service = found->second;
  service.probing = false;
  service.nextProbeAt = aNow + Duration(kProbeInterval);
  const auto failed = service.failed.find(aProbe.instance);
  if (failed != service.failed.end()) {
    failed->second.probing = false;
    failed->second.probeInterval =
      std::min<Duration>(failed->second.probeInterval * 2, kMaxProbeInterval);
    failed->second.nextProbeAt = aNow + failed->second.probeInterval;
  }
  if (!aReached) {
    return;
  }
  if (failed != service.failed.end()) {
    service.failed.erase(failed);
  }
  if (service.lost) {
    EndLoss(aProbe.service, service, aNow);
  }
}

std::vector<UpstreamReach::Change>
UpstreamReach::TakeChanges()
{
  return std::exchange(mChanges, {});
}

void
UpstreamReach::OnInstance(const std::string& aInstance, uint64_t aIncarnation)
{
  for (auto& [name, service] : mServices) {
    const auto found = service.failed.find(aInstance);
    if (found != service.failed.end() &&
        found->second.incarnation != aIncarnation) {
      service.failed.erase(found);
    }
  }
}

} // namespace rattandyke::gateway
