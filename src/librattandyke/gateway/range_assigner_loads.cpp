// What the holders of a service's keys have, and how fast they are.
#include "gateway/range_assigner.h"

#include <algorithm>

#include "base/clock.h"
#include "gateway/key_spans.h"

namespace rattandyke::gateway {

namespace {

/// Speeds are taken as no further from the average than this.
constexpr double kLeastSpeed = 0.25;
constexpr double kMostSpeed = 2.0;
/// Weight of the newest report of an instance's time. A report is an average of
/// some seven answers, and comes up to five times a second: taken as it is, it
/// makes a speed look 30% higher or lower by chance, and shares move with it.
constexpr double kNewestTime = 0.06;
/// What is usual for a service counts as so many reports beside an instance's
/// own: after a second, its own count more.
constexpr double kUsualReports = 4;
/// Assumed while no instance of the service has answered yet.
constexpr double kDefaultSeconds = 0.1;
/// A cold instance takes so many times as long, and is given less for it.
constexpr double kColdSlower = 2;
/// For how long sums stand, for each instance that is looked at for them.
constexpr std::chrono::microseconds kSumsStand{ 20 };

} // namespace

/// Safeguard: summing up takes a pass over all instances and segments. While a
/// fleet of thousands registers or moves its keys, each heartbeat finds another
/// state than the one before. Summed up for each, they keep a leader busy until
/// it is deposed, and its successors after it, and no keys are granted. So the
/// sums of a large service stand for a few milliseconds; those of a small one
/// are of each state.
const RangeAssigner::Holders&
RangeAssigner::HoldersOf(const std::string& aService,
                         const State& aState,
                         Instant aNow)
{
  Group& group = mGroups[aService];
  const bool other =
    group.holdersStale || group.holdersAt != aState.AppliedIndex();
  const bool due =
    !group.holdersAt ||
    aNow - group.summedAt >=
      kSumsStand * static_cast<int64_t>(aState.Instances().size());
  if (other && due) {
    group.holders = SumUpHolders(aService, aState, aNow);
    group.speeds = 0;
    for (const auto& [id, holder] : group.holders) {
      group.speeds += holder.speed;
    }
    group.holdersAt = aState.AppliedIndex();
    group.holdersStale = false;
    group.summedAt = aNow;
    ++mSums;
  }
  return group.holders;
}

/// Safeguard: after a change of leader, or of an upstream, few answers have
/// been reported, and one alone is off by its own length again. Taken for the
/// speed, it makes a holder look too slow or too fast for its keys; they are
/// moved for that, and their requests are refused meanwhile. So a time counts
/// as much as there are reports of it, beside what is usual for the service.
RangeAssigner::Holders
RangeAssigner::SpeedsOf(const std::string& aService,
                        const State& aState,
                        Instant aNow) const
{
  Holders holders;
  std::vector<std::pair<Holder*, const Lease*>> timed;
  std::vector<uint32_t> slots;
  double sum = 0;
  size_t reporting = 0;
  for (const auto& [id, instance] : aState.Instances()) {
    if (instance.service() != aService) {
      continue;
    }
    const auto lease = mLeases.find(id);
    if (lease == mLeases.end() ||
        !IsActive(instance, lease->second, aState, aNow)) {
      continue;
    }
    const auto added = holders.emplace_hint(holders.end(), id, Holder{});
    timed.emplace_back(&added->second, &lease->second);
    slots.push_back(std::max(instance.slots(), 1U));
    if (lease->second.answerReports > 0) {
      sum += lease->second.answerSeconds;
      ++reporting;
    }
  }
  const double usual =
    reporting == 0 ? kDefaultSeconds : sum / static_cast<double>(reporting);
  double speeds = 0;
  for (size_t at = 0; at < timed.size(); ++at) {
    const auto& [holder, lease] = timed[at];
    const double seconds =
      (lease->answerSeconds * lease->answerReports + usual * kUsualReports) /
      (lease->answerReports + kUsualReports);
    const bool cold = aNow < lease->coldUntil;
    holder->perRequest = (cold ? kColdSlower : 1) * seconds / slots[at];
    holder->speed = 1 / holder->perRequest;
    speeds += holder->speed;
  }
  // Relative to the average, within bounds: a slow one still takes some load,
  // or its speed would never be seen to change.
  const double average =
    speeds / static_cast<double>(std::max<size_t>(holders.size(), 1));
  for (auto& [id, holder] : holders) {
    holder.speed = std::clamp(holder.speed / average, kLeastSpeed, kMostSpeed);
  }
  return holders;
}

RangeAssigner::Holders
RangeAssigner::SumUpHolders(const std::string& aService,
                            const State& aState,
                            Instant aNow)
{
  Holders holders = SpeedsOf(aService, aState, aNow);
  const RangeTable* ranges = aState.Ranges(aService);
  const auto group = mGroups.find(aService);
  if (ranges == nullptr || group == mGroups.end()) {
    return holders;
  }
  const auto add = [&](const std::string& aId, KeySpan aKeys) {
    const auto found = holders.find(aId);
    if (found == holders.end()) {
      return;
    }
    found->second.load += group->second.load.LoadOf(aKeys);
    found->second.busy +=
      group->second.load.Rate(aKeys) * found->second.perRequest;
  };
  for (const wire::RangeSegment& segment : ranges->Segments()) {
    if (!segment.held_back()) {
      add(segment.holder(), SpanOf(segment));
    }
  }
  return holders;
}

double
RangeAssigner::EvenLevel(const Group& aGroup)
{
  return aGroup.load.TotalLoad() / std::max(aGroup.speeds, kLeastSpeed);
}

void
RangeAssigner::RecordLatency(const std::string& aInstance, double aSeconds)
{
  if (aSeconds <= 0) {
    return;
  }
  const auto lease = mLeases.find(aInstance);
  if (lease == mLeases.end()) {
    return; // Late reports tell of instances that have ended, too.
  }
  double& reports = lease->second.answerReports;
  double& seconds = lease->second.answerSeconds;
  reports = std::min(reports + 1, 1 / kNewestTime);
  seconds += (aSeconds - seconds) / reports;
}

} // namespace rattandyke::gateway
