// Loads and speeds of the instances that hold a service's keys.
#include "gateway/range_assigner.h"

#include <algorithm>

#include "base/clock.h"
#include "gateway/key_spans.h"

namespace rattandyke::gateway {

namespace {

/// Bounds of a speed, relative to the mean speed of the service.
constexpr double kMinSpeed = 0.25;
constexpr double kMaxSpeed = 2.0;
/// Least weight of the newest report in an instance's mean response time. A
/// report is a mean of about seven responses, and comes up to five times a
/// second. Taken alone, it makes a speed look up to 30% higher or lower by
/// chance, and shares of keys would change with it.
constexpr double kMinReportWeight = 0.06;
/// The service's mean response time counts as this many reports beside an
/// instance's own. After a second, the instance's own reports outweigh it.
constexpr double kPriorReports = 4;
/// Response time that is assumed until an instance of the service has reported
/// one.
constexpr double kDefaultLatencySeconds = 0.1;
/// Factor by which the response times of a cold instance are assumed to be
/// longer, so that it gets fewer keys.
constexpr double kColdLatencyFactor = 2;
/// Time for which computed loads stay valid, per instance in the state.
constexpr std::chrono::microseconds kLoadsValidPerInstance{ 20 };
/// Time for which capacities are taken from computed loads, per instance in the
/// state. With 10,000 instances a computation takes 7 ms; it is not repeated
/// for a digest more than once a second.
constexpr std::chrono::microseconds kCapacitiesValidPerInstance{ 100 };
/// Smaller differences between sums of request counts are rounding errors.
constexpr double kLeastNewRequests = 0.5;

std::optional<KeySpan>
ValidSpanOf(const wire::KeyRange& aRange)
{
  const bool valid = aRange.from() <= aRange.to() && aRange.to() <= kMaxKey;
  return valid ? std::optional(KeySpan{ aRange.from(), aRange.to() })
               : std::nullopt;
}

} // namespace

/// Computing the loads takes a pass over all instances and segments. While a
/// fleet of thousands registers or moves its keys, each heartbeat finds a
/// different state. If the loads were computed for each heartbeat, the leader
/// would be so busy that it is deposed, its successors too, and no keys would
/// be granted. So the loads of a large service are reused for a few
/// milliseconds; those of a small service are computed for each state.
const RangeAssigner::OwnerLoads&
RangeAssigner::OwnerLoadsOf(const std::string& aService,
                            const State& aState,
                            Instant aNow)
{
  ServicePlan& plan = mPlans[aService];
  const bool changed =
    plan.loadsStale || plan.loadsIndex != aState.AppliedIndex();
  const bool due =
    !plan.loadsIndex ||
    aNow - plan.loadsComputedAt >=
      kLoadsValidPerInstance * static_cast<int64_t>(aState.Instances().size());
  if (changed && due) {
    plan.ownerLoads = ComputeOwnerLoads(aService, aState, aNow);
    plan.totalSpeed = 0;
    for (const auto& [id, owner] : plan.ownerLoads) {
      plan.totalSpeed += owner.speed;
    }
    plan.loadsIndex = aState.AppliedIndex();
    plan.loadsStale = false;
    plan.loadsComputedAt = aNow;
    ++mLoadComputations;
  }
  return plan.ownerLoads;
}

/// After a change of leader or of an upstream, few response times have been
/// reported, and a single one may be off by its own length. If the speed were
/// derived from it alone, an owner would look too slow or too fast for its
/// keys; keys would be moved, and their requests refused during the move. So
/// the weight of an instance's mean grows with its number of reports, and the
/// service's mean has the rest of the weight.
RangeAssigner::OwnerLoads
RangeAssigner::SpeedsOf(const std::string& aService,
                        const State& aState,
                        Instant aNow) const
{
  OwnerLoads ownerLoads;
  std::vector<std::pair<OwnerLoad*, const InstanceStatus*>> instances;
  std::vector<uint32_t> slots;
  double sum = 0;
  size_t reportingInstances = 0;
  for (const auto& [id, instance] : aState.Instances()) {
    if (instance.service() != aService) {
      continue;
    }
    const auto status = mStatuses.find(id);
    if (status == mStatuses.end() ||
        !IsActive(instance, status->second, aState, aNow)) {
      continue;
    }
    const auto added =
      ownerLoads.emplace_hint(ownerLoads.end(), id, OwnerLoad{});
    instances.emplace_back(&added->second, &status->second);
    slots.push_back(std::max(instance.slots(), 1U));
    if (status->second.latencyReports > 0) {
      sum += status->second.latencySeconds;
      ++reportingInstances;
    }
  }
  const double mean = reportingInstances == 0
                        ? kDefaultLatencySeconds
                        : sum / static_cast<double>(reportingInstances);
  double totalSpeed = 0;
  for (size_t at = 0; at < instances.size(); ++at) {
    const auto& [owner, status] = instances[at];
    const double seconds =
      (status->latencySeconds * status->latencyReports + mean * kPriorReports) /
      (status->latencyReports + kPriorReports);
    const bool cold = aNow < status->coldUntil;
    owner->utilizationPerRequest =
      (cold ? kColdLatencyFactor : 1) * seconds / slots[at];
    owner->speed = 1 / owner->utilizationPerRequest;
    totalSpeed += owner->speed;
  }
  // Relative to the mean, and bounded: a slow instance must keep some load, or
  // a change of its speed would not be noticed.
  const double average =
    totalSpeed / static_cast<double>(std::max<size_t>(ownerLoads.size(), 1));
  for (auto& [id, owner] : ownerLoads) {
    owner.speed = std::clamp(owner.speed / average, kMinSpeed, kMaxSpeed);
  }
  return ownerLoads;
}

RangeAssigner::OwnerLoads
RangeAssigner::ComputeOwnerLoads(const std::string& aService,
                                 const State& aState,
                                 Instant aNow)
{
  OwnerLoads ownerLoads = SpeedsOf(aService, aState, aNow);
  const RangeTable* ranges = aState.Ranges(aService);
  const auto plan = mPlans.find(aService);
  if (ranges == nullptr || plan == mPlans.end()) {
    return ownerLoads;
  }
  const auto add = [&](const std::string& aId, KeySpan aKeys) {
    const auto found = ownerLoads.find(aId);
    if (found == ownerLoads.end()) {
      return;
    }
    found->second.load += plan->second.load.LoadOf(aKeys);
    found->second.utilization +=
      plan->second.load.Rate(aKeys) * found->second.utilizationPerRequest;
  };
  for (const wire::RangeSegment& segment : ranges->Segments()) {
    if (!segment.held_back()) {
      add(segment.holder(), SpanOf(segment));
    }
  }
  return ownerLoads;
}

void
RangeAssigner::AddDemand(const State& aState,
                         scheduling::DemandTable& aDemand) const
{
  for (const auto& [service, plan] : mPlans) {
    const RangeTable* ranges = aState.Ranges(service);
    if (ranges == nullptr) {
      continue;
    }
    for (const wire::RangeSegment& segment : ranges->Segments()) {
      if (segment.holder().empty() || segment.held_back()) {
        continue;
      }
      const double requests = plan.load.NewRequests(SpanOf(segment));
      if (requests >= kLeastNewRequests) {
        aDemand.AddOwnerRequests(segment.holder(), requests);
      }
    }
  }
}

double
RangeAssigner::RateOfHeldKeys(const std::string& aHolder,
                              KeySpan aKeys,
                              const RangeTable& aRanges,
                              const KeyLoadMap& aLoad)
{
  double rate = 0;
  for (uint32_t key = aKeys.from; key <= aKeys.to;) {
    const wire::RangeSegment& segment = aRanges.Find(key);
    const uint32_t last = std::min(segment.to(), aKeys.to);
    if (segment.holder() == aHolder && !segment.held_back()) {
      rate += aLoad.Rate({ key, last });
    }
    key = last + 1;
  }
  return rate;
}

template<typename Command>
double
RangeAssigner::LostShare(const Command& aCommand, const State& aState)
{
  const RangeTable* ranges = aState.Ranges(aCommand.service());
  const auto plan = mPlans.find(aCommand.service());
  if (ranges == nullptr || plan == mPlans.end()) {
    return 0;
  }
  const std::string& holder = aCommand.holder();
  double lost = 0;
  for (const wire::KeyRange& range : aCommand.ranges()) {
    if (const auto keys = ValidSpanOf(range)) {
      lost += RateOfHeldKeys(holder, *keys, *ranges, plan->second.load);
    }
  }
  double all = 0;
  for (const uint32_t key :
       IndexOf(aCommand.service(), *ranges).OwnedBy(holder)) {
    all += RateOfHeldKeys(
      holder, SpanOf(ranges->Find(key)), *ranges, plan->second.load);
  }
  return all > 0 ? lost / all : 0;
}

RangeAssigner::DemandChange
RangeAssigner::DemandChangeOf(const wire::GatewayCommand& aCommand,
                              const State& aState)
{
  DemandChange change;
  if (aCommand.has_hold_back_ranges()) {
    change.lostShare = LostShare(aCommand.hold_back_ranges(), aState);
  } else if (aCommand.has_free_ranges()) {
    change.lostShare = LostShare(aCommand.free_ranges(), aState);
  } else if (aCommand.has_grant_ranges()) {
    const wire::GrantRanges& grant = aCommand.grant_ranges();
    const auto plan = mPlans.find(grant.service());
    for (const wire::KeyRange& range : grant.ranges()) {
      const auto keys = ValidSpanOf(range);
      if (keys && plan != mPlans.end()) {
        change.gained += plan->second.load.Rate(*keys);
      }
    }
  }
  return change;
}

/// Without the correction, an owner that has lost a hot key would look
/// overloaded for another second, and requests for its other keys would be
/// refused; the new owner would look idle.
Result<void>
RangeAssigner::ApplyAndMoveDemand(const wire::GatewayCommand& aCommand,
                                  LogIndex aIndex,
                                  State& aState,
                                  scheduling::DemandTable& aDemand)
{
  const DemandChange change = DemandChangeOf(aCommand, aState);
  Result<void> outcome = aState.Apply(aCommand, aIndex);
  if (!outcome) {
    return outcome;
  }
  if (change.lostShare > 0) {
    aDemand.RemoveMovedDemand(aCommand.has_free_ranges()
                                ? aCommand.free_ranges().holder()
                                : aCommand.hold_back_ranges().holder(),
                              change.lostShare);
  }
  if (change.gained > 0) {
    aDemand.AddMovedDemand(aCommand.grant_ranges().holder(), change.gained);
  }
  return outcome;
}

/// Capacities change slowly, so loads that a heartbeat has computed recently
/// are good enough, whatever the state's index.
std::vector<scheduling::DemandTable::OwnerCapacity>
RangeAssigner::OwnerCapacities(const State& aState, Instant aNow)
{
  const Duration valid = kCapacitiesValidPerInstance *
                         static_cast<int64_t>(aState.Instances().size());
  std::vector<scheduling::DemandTable::OwnerCapacity> capacities;
  for (auto& [service, plan] : mPlans) {
    if (!OwnsKeys(aState, service)) {
      continue;
    }
    const bool recent = aNow - plan.loadsComputedAt < valid;
    const OwnerLoads& owners =
      recent ? plan.ownerLoads : OwnerLoadsOf(service, aState, aNow);
    capacities.reserve(capacities.size() + owners.size());
    for (const auto& [id, owner] : owners) {
      capacities.push_back({ id, 1 / owner.utilizationPerRequest });
    }
  }
  return capacities;
}

double
RangeAssigner::BalancedLoad(const ServicePlan& aPlan)
{
  return aPlan.load.TotalLoad() / std::max(aPlan.totalSpeed, kMinSpeed);
}

void
RangeAssigner::RecordLatency(const std::string& aInstance, double aSeconds)
{
  if (aSeconds <= 0) {
    return;
  }
  const auto status = mStatuses.find(aInstance);
  if (status == mStatuses.end()) {
    return; // A late report of an instance that has ended.
  }
  double& reports = status->second.latencyReports;
  double& seconds = status->second.latencySeconds;
  reports = std::min(reports + 1, 1 / kMinReportWeight);
  seconds += (aSeconds - seconds) / reports;
}

} // namespace rattandyke::gateway
