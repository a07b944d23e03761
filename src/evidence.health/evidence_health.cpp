#include "evidence_health.h"

#include <algorithm>
#include <cmath>

namespace rattandyke::health {

namespace {

constexpr uint32_t kFailuresToEject = 5;
constexpr Duration kFirstEjection = std::chrono::milliseconds(250);
constexpr Duration kLongestEjection = std::chrono::seconds(4);
/// Between the probes of an ejected upstream.
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
/// Share of a service that may be ejected at a time.
constexpr double kMostEjected = 0.5;
constexpr double kShedFactor = 0.5;
/// Successes that give one slot back, while one is in use.
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
  std::visit([&](const auto& aEach) { On(aEach, aNow); }, aEvent);
}

void
EvidenceHealth::On(const Members& aEvent, Instant aNow)
{
  std::map<UpstreamId, Upstream> next;
  for (const Members::Member& member : aEvent.members) {
    const auto known = mUpstreams.find(member.id);
    Upstream upstream;
    if (known != mUpstreams.end()) {
      upstream = known->second;
    } else {
      upstream.allowed = member.slots;
      upstream.started = aNow - member.age;
    }
    upstream.slots = std::max(member.slots, 1u);
    upstream.allowed = std::clamp<double>(upstream.allowed, 1, upstream.slots);
    next.emplace(member.id, upstream);
  }
  mUpstreams = std::move(next);
}

void
EvidenceHealth::On(const Evidence& aEvent, Instant aNow)
{
  const auto found = mUpstreams.find(aEvent.upstream);
  if (found == mUpstreams.end()) {
    return; // Evidence of a former life.
  }
  Upstream& upstream = found->second;
  switch (aEvent.observation) {
    case Observation::Succeeded:
      return OnSuccess(upstream);
    case Observation::Shed:
      upstream.failuresInRow = 0;
      upstream.allowed = std::max(upstream.allowed * kShedFactor, 1.0);
      return;
    case Observation::Failed:
    case Observation::Unreachable:
      return OnFailure(upstream, aNow);
  }
}

void
EvidenceHealth::OnSuccess(Upstream& aUpstream)
{
  aUpstream.failuresInRow = 0;
  aUpstream.ejections = 0;
  aUpstream.probeAt.reset();
  const double more = 1 / (kSuccessesPerSlot * aUpstream.allowed);
  aUpstream.allowed =
    std::min<double>(aUpstream.allowed + more, aUpstream.slots);
}

void
EvidenceHealth::OnFailure(Upstream& aUpstream, Instant aNow)
{
  ++aUpstream.failuresInRow;
  const bool ejected = aUpstream.probeAt.has_value();
  if (aUpstream.failuresInRow < kFailuresToEject || (!ejected && !MayEject())) {
    return;
  }
  if (ejected && aNow < *aUpstream.probeAt - kProbeInterval) {
    return; // Sent before the ejection: no news.
  }
  constexpr uint32_t kMostDoublings = 8;
  const auto doublings = std::min(aUpstream.ejections++, kMostDoublings);
  const Duration ejection =
    std::min(kFirstEjection * (1 << doublings), kLongestEjection);
  aUpstream.probeAt = aNow + ejection;
}

/// Whether one more ejection leaves enough of the service.
bool
EvidenceHealth::MayEject() const
{
  const auto ejected =
    std::count_if(mUpstreams.begin(), mUpstreams.end(), [](const auto& aOne) {
      return aOne.second.probeAt.has_value();
    });
  const double most =
    std::floor(static_cast<double>(mUpstreams.size()) * kMostEjected);
  return static_cast<double>(ejected) + 1 <= most;
}

Verdict
EvidenceHealth::Judge(const UpstreamId& aUpstream, Instant aNow)
{
  const auto found = mUpstreams.find(aUpstream);
  if (found == mUpstreams.end()) {
    return {};
  }
  Upstream& upstream = found->second;
  if (!upstream.probeAt) {
    return { true, {}, SlotsNow(upstream, aNow) };
  }
  if (aNow < *upstream.probeAt) {
    return { false, *upstream.probeAt - aNow, 1 };
  }
  upstream.probeAt = aNow + kProbeInterval;
  return { true, {}, 1 };
}

/// A cold upstream gets its slots one by one over its cold start.
uint32_t
EvidenceHealth::SlotsNow(const Upstream& aUpstream, Instant aNow) const
{
  double warm = 1;
  if (mSettings.coldStart > Duration{}) {
    const std::chrono::duration<double> age = aNow - aUpstream.started;
    warm = age / std::chrono::duration<double>(mSettings.coldStart);
  }
  const double ramped = aUpstream.slots * std::clamp(warm, 0.0, 1.0);
  const double slots = std::min(ramped, aUpstream.allowed);
  return std::max(1u, static_cast<uint32_t>(std::lround(std::floor(slots))));
}

std::vector<UpstreamId>
EvidenceHealth::Ejected(Instant) const
{
  std::vector<UpstreamId> ejected;
  for (const auto& [id, upstream] : mUpstreams) {
    if (upstream.probeAt) {
      ejected.push_back(id);
    }
  }
  return ejected;
}

} // namespace rattandyke::health
