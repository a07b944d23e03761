/// Health plug-in "evidence": judges upstreams by what this host saw itself.
#pragma once

#include <map>
#include <optional>

#include <rattandyke/health.h>

namespace rattandyke::health {

/// Ejects an upstream after several failures in a row, for a time that doubles
/// with each ejection, and then lets single requests through until one
/// succeeds. At most half of a service is ejected at a time: when more fail at
/// once, the cause lies elsewhere and refusing everything would make a partial
/// fault a whole one. Shedding is no failure: it halves the slots in use, and
/// each success gives a part back.
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
    uint32_t slots = 1;
    /// Slots in use, a fraction included; grows with each success.
    double allowed = 1;
    Instant started{};
    uint32_t failuresInRow = 0;
    uint32_t ejections = 0;
    /// Ejected: when the next probe may pass.
    std::optional<Instant> probeAt;
  };

  void On(const Evidence& aEvent, Instant aNow);
  void On(const Members& aEvent, Instant aNow);
  void OnSuccess(Upstream& aUpstream);
  void OnFailure(Upstream& aUpstream, Instant aNow);
  bool MayEject() const;
  uint32_t SlotsNow(const Upstream& aUpstream, Instant aNow) const;

  const Settings mSettings;
  std::map<UpstreamId, Upstream> mUpstreams;
};

} // namespace rattandyke::health
