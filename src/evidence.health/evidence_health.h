/// Health plug-in "evidence": outlier ejection based on the outcomes of this
/// host's own requests.
#pragma once

#include <map>
#include <optional>

#include <rattandyke/health.h>

namespace rattandyke::health {

/// Passive health check for the upstreams of one service.
///
/// Ejects an upstream after five consecutive failures. The ejection time
/// doubles with each repeated ejection, from 250 ms up to 4 s. After it, single
/// requests pass as probes; the first success ends the ejection. At most half
/// of a service's upstreams are ejected at a time: when more fail at once, the
/// cause is likely elsewhere, and ejecting them all would turn a partial outage
/// into a complete one.
///
/// Load shedding does not count as a failure. Each shed request halves the
/// upstream's allowed slots, and each success restores a fraction of a slot.
class EvidenceHealth final : public Health
{
public:
  explicit EvidenceHealth(Settings aSettings);

  void Step(const Event& aEvent, Instant aNow) override;
  Verdict Judge(const UpstreamId& aUpstream, Instant aNow) override;
  std::vector<UpstreamId> Ejected(Instant aNow) const override;

private:
  struct Upstream
  {
    /// Slots that the upstream announced; at least 1.
    uint32_t slots = 1;
    /// Limit for the slots to use, from 1 to slots; halved by shedding, raised
    /// by fractions of a slot by successes.
    double allowedSlots = 1;
    Instant startedAt{};
    uint32_t consecutiveFailures = 0;
    /// Ejections since the last success.
    uint32_t ejections = 0;
    /// Set while ejected: time from which the next probe may pass.
    std::optional<Instant> nextProbeAt;
  };

  void On(const Evidence& aEvent, Instant aNow);
  void On(const Members& aEvent, Instant aNow);
  void OnSuccess(Upstream& aUpstream);
  void OnFailure(Upstream& aUpstream, Instant aNow);
  bool MayEject() const;
  uint32_t UsableSlots(const Upstream& aUpstream, Instant aNow) const;

  const Settings mSettings;
  std::map<UpstreamId, Upstream> mUpstreams;
};

} // namespace rattandyke::health
