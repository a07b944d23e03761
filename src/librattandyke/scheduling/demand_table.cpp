#include "scheduling/demand_table.h"

#include <algorithm>
#include <cmath>

namespace rattandyke::scheduling {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant of the averages. Two and a half intervals of reports: a report
/// that arrives an interval late changes an average by a fifth, and a burst of
/// some seconds is seen in its first second.
constexpr Seconds kTimeConstant{ 0.5 };
/// Averages below this, per second, are discarded.
constexpr double kNegligibleRate = 0.01;
/// An overloaded owner counts as such until its demand is below this share of
/// its capacity. An owner at its capacity would change several times per second
/// without it.
constexpr double kOverloadEndShare = 0.9;
/// Limit of the overloads that are logged. The first customer has 157 owners,
/// which may all become overloaded at once.
constexpr double kChangeBurst = 20;
constexpr double kChangesPerSecond = 4;

} // namespace

ServiceLoad&
ServiceLoad::operator+=(const ServiceLoad& aOther)
{
  requests += aOther.requests;
  busy += aOther.busy;
  refused += aOther.refused;
  return *this;
}

void
DemandTable::Start(uint64_t aTerm, Instant aNow)
{
  *this = {};
  mTerm = aTerm;
  mStartedAt = aNow;
  mTokensAt = aNow;
  mChangeTokens = kChangeBurst;
}

void
DemandTable::AddOwnerRequests(const std::string& aInstance, double aRequests)
{
  mOwners[aInstance].pending += aRequests;
}

void
DemandTable::AddMovedDemand(const std::string& aInstance, double aPerSecond)
{
  mOwners[aInstance].average += aPerSecond * mWeight;
}

void
DemandTable::RemoveMovedDemand(const std::string& aInstance, double aShare)
{
  const auto found = mOwners.find(aInstance);
  if (found != mOwners.end()) {
    found->second.average *= 1 - std::clamp(aShare, 0.0, 1.0);
  }
}

void
DemandTable::AddServiceLoad(const std::string& aService,
                            const ServiceLoad& aLoad)
{
  ServiceRates& rates = mServices[aService];
  rates.requests.pending += static_cast<double>(aLoad.requests);
  rates.busySeconds.pending += Seconds(aLoad.busy).count();
  rates.refused.pending += static_cast<double>(aLoad.refused);
}

/// Counts are averaged over whole intervals. If each were decayed from its own
/// arrival, the reports' phase would matter: they arrive every 200 ms, as
/// digests are made, and demand would look up to a fifth too high or too low
/// for as long as the phase lasts.
void
DemandTable::UpdateRates(Instant aNow)
{
  // The first interval after an election is incomplete: hosts that did not know
  // the leader yet have reported nothing. So its counts have no weight.
  const double seconds = mUpdatedAt ? Seconds(aNow - *mUpdatedAt).count() : 0.0;
  if (mUpdatedAt && seconds <= 0) {
    return;
  }
  const double kept = std::exp(-seconds / kTimeConstant.count());
  const auto update = [&](Rate& aRate) {
    const double perSecond = seconds > 0 ? aRate.pending / seconds : 0;
    aRate.average = aRate.average * kept + perSecond * (1 - kept);
    aRate.pending = 0;
    return aRate.average >= kNegligibleRate;
  };
  for (auto at = mOwners.begin(); at != mOwners.end();) {
    at = update(at->second) ? std::next(at) : mOwners.erase(at);
  }
  for (auto at = mServices.begin(); at != mServices.end();) {
    const bool requested = update(at->second.requests);
    const bool busy = update(at->second.busySeconds);
    const bool refused = update(at->second.refused);
    at = requested || busy || refused ? std::next(at) : mServices.erase(at);
  }
  mWeight = mWeight * kept + (1 - kept);
  mUpdatedAt = aNow;
}

double
DemandTable::PerSecond(const Rate& aRate) const
{
  return mWeight > 0 ? aRate.average / mWeight : 0;
}

ServiceDemand
DemandTable::DemandOf(const ServiceSlots& aService) const
{
  ServiceDemand demand{ std::string(aService.service), 0, 0 };
  if (aService.slots == 0) {
    demand.utilization = 1; // No request can be run.
  }
  const auto found = mServices.find(aService.service);
  if (found == mServices.end()) {
    return demand;
  }
  const ServiceRates& rates = found->second;
  if (aService.slots > 0) {
    demand.utilization =
      PerSecond(rates.busySeconds) / static_cast<double>(aService.slots);
  }
  const double requests = PerSecond(rates.requests);
  if (requests > 0) {
    // A request may be refused by several upstreams.
    demand.refusedShare = std::min(PerSecond(rates.refused) / requests, 1.0);
  }
  return demand;
}

std::vector<DemandTable::BusyOwner>
DemandTable::BusyOwners(const std::vector<OwnerCapacity>& aOwners) const
{
  std::vector<BusyOwner> busy;
  for (const OwnerCapacity& owner : aOwners) {
    const auto found = mOwners.find(owner.instance);
    if (found == mOwners.end()) {
      continue;
    }
    const double demand = PerSecond(found->second);
    if (owner.perSecond > 0 && demand >= kListedShare * owner.perSecond) {
      busy.push_back({ owner.instance, demand, owner.perSecond });
    }
  }
  const size_t listed = std::min(busy.size(), kMaxListedOwners);
  std::partial_sort(busy.begin(),
                    busy.begin() + static_cast<ptrdiff_t>(listed),
                    busy.end(),
                    [](const BusyOwner& aLeft, const BusyOwner& aRight) {
                      return aLeft.Share() > aRight.Share();
                    });
  return busy;
}

bool
DemandTable::TakeChangeToken(Instant aNow)
{
  mChangeTokens = std::min(mChangeTokens + Seconds(aNow - mTokensAt).count() *
                                             kChangesPerSecond,
                           kChangeBurst);
  mTokensAt = aNow;
  if (mChangeTokens < 1) {
    return false;
  }
  mChangeTokens -= 1;
  return true;
}

void
DemandTable::UpdateOverloads(const std::vector<BusyOwner>& aBusyOwners,
                             Round& aRound,
                             Instant aNow)
{
  std::map<std::string, bool, std::less<>> before = std::move(mOverloaded);
  mOverloaded.clear();
  const auto report = [&](const OwnerDemand& aOwner, bool aOverloaded) {
    aRound.changes.push_back({ aOwner, aOverloaded });
  };
  for (const BusyOwner& owner : aBusyOwners) {
    const auto known = before.find(owner.instance);
    const bool overloaded = known == before.end()
                              ? owner.demand > owner.capacity
                              : owner.Share() >= kOverloadEndShare;
    if (overloaded && known != before.end()) {
      mOverloaded.insert(before.extract(known));
    } else if (overloaded) {
      const bool reported = TakeChangeToken(aNow);
      mOverloaded.emplace(owner.instance, reported);
      aRound.omittedChanges += reported ? 0 : 1;
      if (reported) {
        report(owner.ToOwnerDemand(), true);
      }
    } else if (known != before.end()) {
      if (known->second) {
        report(owner.ToOwnerDemand(), false);
      }
      before.erase(known);
    }
  }
  // Their demand is below kListedShare, or they get no more requests.
  for (const auto& [instance, reported] : before) {
    const auto found = mOwners.find(instance);
    if (reported) {
      report(
        { instance, found == mOwners.end() ? 0 : PerSecond(found->second), 0 },
        false);
    }
  }
  aRound.overloadedOwners = mOverloaded.size();
}

std::optional<DemandTable::Round>
DemandTable::MakeRound(const std::vector<OwnerCapacity>& aOwners,
                       const std::vector<ServiceSlots>& aServices,
                       Instant aNow)
{
  UpdateRates(aNow);
  if (aNow - mStartedAt < kSettleTime) {
    return std::nullopt;
  }
  Round round;
  round.digest.term = mTerm;
  round.digest.sequence = ++mSequence;
  const std::vector<BusyOwner> busy = BusyOwners(aOwners);
  UpdateOverloads(busy, round, aNow);
  const size_t listed = std::min(busy.size(), kMaxListedOwners);
  round.digest.truncated = busy.size() > listed;
  for (size_t at = 0; at < listed; ++at) {
    round.digest.owners.push_back(busy[at].ToOwnerDemand());
  }
  for (const ServiceSlots& service : aServices) {
    round.digest.services.push_back(DemandOf(service));
  }
  return round;
}

} // namespace rattandyke::scheduling
