#include "evidence_health.h"

#include <algorithm>
#include <cmath>

namespace rattandyke::health {

namespace {

/// Consecutive failures that eject an upstream.
constexpr uint32_t kFailuresToEject = 5;
/// Ejection time after the last success; doubles with each further ejection, up
/// to kMaxEjection.
constexpr Duration kFirstEjection = std::chrono::milliseconds(250);
constexpr Duration kMaxEjection = std::chrono::seconds(4);
/// Minimum time between the probes of an ejected upstream.
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
/// Maximum share of a service's upstreams that may be ejected at a time.
constexpr double kMaxEjectedShare = 0.5;
/// Factor for the allowed slots when the upstream sheds a request.
constexpr double kShedFactor = 0.5;
/// Successes that restore one slot while one slot is allowed; with n slots
/// allowed, about n times as many.
constexpr double kSuccessesPerSlot = 20;

const HealthRegistry::Registration sRegistration(
  "evidence",
  [](Settings aSettings) {
    return std::make_unique<EvidenceHealth>(aSettings);
  });

} // namespace

EvidenceHealth::EvidenceHealth(Settings aSettings)
  : mSettings(aSettings)
{
}

void
EvidenceHealth::Step(const Event& aEvent, Instant aNow)
{
  std::visit([&](const auto& aAlternative) { On(aAlternative, aNow); }, aEvent);
}

/// Replaces the set of upstreams. Upstreams that stay keep their state.
void
EvidenceHealth::On(const Members& aEvent, Instant aNow)
{
  std::map<UpstreamId, Upstream> next;
  for (const Members::Member& member : aEvent.members) {
    const auto previous = mUpstreams.find(member.id);
    Upstream upstream;
    if (previous != mUpstreams.end()) {
      upstream = previous->second;
    } else {
      upstream.allowedSlots = member.slots;
      upstream.startedAt = aNow - member.age;
    }
    upstream.slots = std::max(member.slots, 1u);
    upstream.allowedSlots =
      std::clamp<double>(upstream.allowedSlots, 1, upstream.slots);
    next.emplace(member.id, upstream);
  }
  mUpstreams = std::move(next);
}

void
EvidenceHealth::On(const Evidence& aEvent, Instant aNow)
{
  const auto found = mUpstreams.find(aEvent.upstream);
  if (found == mUpstreams.end()) {
    return; // The upstream has restarted under a new incarnation or is gone.
  }
  Upstream& upstream = found->second;
  switch (aEvent.observation) {
    case Observation::Succeeded:
      return OnSuccess(upstream);
    case Observation::Shed:
      upstream.consecutiveFailures = 0;
      upstream.allowedSlots =
        std::max(upstream.allowedSlots * kShedFactor, 1.0);
      return;
    case Observation::Failed:
    case Observation::Unreachable:
      return OnFailure(upstream, aNow);
  }
}

/// Ends an ejection and raises the allowed slots.
void
EvidenceHealth::OnSuccess(Upstream& aUpstream)
{
  aUpstream.consecutiveFailures = 0;
  aUpstream.ejections = 0;
  aUpstream.nextProbeAt.reset();
  const double increment = 1 / (kSuccessesPerSlot * aUpstream.allowedSlots);
  aUpstream.allowedSlots =
    std::min<double>(aUpstream.allowedSlots + increment, aUpstream.slots);
}

/// Counts a failure and ejects the upstream at kFailuresToEject. While ejected,
/// failures earlier than kProbeInterval before nextProbeAt are ignored; later
/// ones count as failed probes and start the next, longer ejection time.
void
EvidenceHealth::OnFailure(Upstream& aUpstream, Instant aNow)
{
  ++aUpstream.consecutiveFailures;
  const bool ejected = aUpstream.nextProbeAt.has_value();
  if (aUpstream.consecutiveFailures < kFailuresToEject ||
      (!ejected && !MayEject())) {
    return;
  }
  if (ejected && aNow < *aUpstream.nextProbeAt - kProbeInterval) {
    // No probe has passed yet: the failed request is older than the ejection.
    return;
  }
  constexpr uint32_t kMaxDoublings = 8;
  const auto doublings = std::min(aUpstream.ejections++, kMaxDoublings);
  const Duration ejection =
    std::min(kFirstEjection * (1 << doublings), kMaxEjection);
  aUpstream.nextProbeAt = aNow + ejection;
}

/// Returns whether one more ejection keeps within kMaxEjectedShare.
bool
EvidenceHealth::MayEject() const
{
  const auto ejected =
    std::count_if(mUpstreams.begin(), mUpstreams.end(), [](const auto& aEntry) {
      return aEntry.second.nextProbeAt.has_value();
    });
  const double limit =
    std::floor(static_cast<double>(mUpstreams.size()) * kMaxEjectedShare);
  return static_cast<double>(ejected) + 1 <= limit;
}

Verdict
EvidenceHealth::Judge(const UpstreamId& aUpstream, Instant aNow)
{
  const auto found = mUpstreams.find(aUpstream);
  if (found == mUpstreams.end()) {
    return {};
  }
  Upstream& upstream = found->second;
  if (!upstream.nextProbeAt) {
    return { true, {}, UsableSlots(upstream, aNow) };
  }
  if (aNow < *upstream.nextProbeAt) {
    return { false, *upstream.nextProbeAt - aNow, 1 };
  }
  upstream.nextProbeAt = aNow + kProbeInterval;
  return { true, {}, 1 };
}

/// Returns the number of slots to use now, at least 1: the smaller of the
/// allowed slots and the slots that the linear ramp of the cold start permits.
uint32_t
EvidenceHealth::UsableSlots(const Upstream& aUpstream, Instant aNow) const
{
  double warmShare = 1;
  if (mSettings.coldStart > Duration{}) {
    const std::chrono::duration<double> age = aNow - aUpstream.startedAt;
    warmShare = age / std::chrono::duration<double>(mSettings.coldStart);
  }
  const double rampedSlots = aUpstream.slots * std::clamp(warmShare, 0.0, 1.0);
  const double slots = std::min(rampedSlots, aUpstream.allowedSlots);
  return std::max(1u, static_cast<uint32_t>(std::lround(std::floor(slots))));
}

std::vector<UpstreamId>
EvidenceHealth::Ejected(Instant) const
{
  std::vector<UpstreamId> ejected;
  for (const auto& [id, upstream] : mUpstreams) {
    if (upstream.nextProbeAt) {
      ejected.push_back(id);
    }
  }
  return ejected;
}

} // namespace rattandyke::health
