/// Finds the request that crashes upstreams from what each crash had in flight.
#pragma once

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <rattandyke/types.h>

#include "entry/request_flow.h"

namespace rattandyke::wire {
class StateSnapshot;
}

namespace rattandyke::entry {

/// One life of an upstream.
struct UpstreamLife
{
  ServiceName service;
  UpstreamName name;
  uint64_t incarnation = 0;
  auto operator<=>(const UpstreamLife&) const = default; // NOLINT(*-nullptr)
};

/// The events of CrashBlame.
namespace blame_event {

/// A host lost its connections to the upstream with these requests in flight.
/// Several hosts report one crash; reports may come before or after Lost.
struct Reported
{
  UpstreamLife upstream;
  std::vector<std::string> fingerprints;
  /// Of these, the one that ran on a trial; or empty.
  std::string onTrial;
};
/// The upstream's lease is over, or it started anew.
struct Lost
{
  UpstreamLife upstream;
};
/// A suspect ran on a trial and the upstream answered.
struct Cleared
{
  ServiceName service;
  std::string fingerprint;
};
/// An operator lifted the verdict.
struct Lifted
{
  ServiceName service;
  std::string fingerprint;
};
/// Time passed; once a second is enough.
struct Tick
{};

} // namespace blame_event

using BlameEvent = std::variant<blame_event::Reported,
                                blame_event::Lost,
                                blame_event::Cleared,
                                blame_event::Lifted,
                                blame_event::Tick>;

/// The verdict on a request changed. The table must carry it before the keys
/// of the upstream that was lost are granted to another: then no host can send
/// the request to the next owner without knowing.
struct SetVerdict
{
  ServiceName service;
  std::string fingerprint;
  QuarantineVerdict verdict = QuarantineVerdict::Free;
  WallTime expires{};
  /// For operators.
  std::string reason;
};

/// Each crash is a case: the upstream that was lost and the requests in flight
/// there. After the first, all of these are suspects, which run one at a time
/// in a service (TrialDesk). The next crash therefore has exactly one suspect
/// in flight: that one is banned, and whoever was beside it is free again. A
/// request that is suspected twice without a trial, since a report came late,
/// is banned if it alone was in both.
///
/// So a request that crashes upstreams takes two with it and no more. Times are
/// wall-clock times handed in, so that it can be part of the replicated state:
/// the same events give the same verdicts everywhere. Not thread-safe.
class CrashBlame
{
public:
  struct Settings
  {
    std::chrono::milliseconds suspectFor{ 3'600'000 };
    std::chrono::milliseconds banFor{ 3'600'000 };
    /// A case whose upstream was not lost by then was no crash.
    std::chrono::milliseconds confirmWithin{ 5'000 };
  };

  explicit CrashBlame(Settings aSettings);

  std::vector<SetVerdict> Step(const BlameEvent& aEvent, WallTime aNow);

  QuarantineVerdict Verdict(const ServiceName& aService,
                            const std::string& aFingerprint) const;

  void Save(wire::StateSnapshot& aSnapshot) const;
  void Load(const wire::StateSnapshot& aSnapshot);

private:
  struct Case
  {
    std::set<std::string> fingerprints;
    std::string onTrial;
    bool lost = false;
    WallTime opened{};
  };
  struct Judged
  {
    QuarantineVerdict verdict = QuarantineVerdict::Free;
    WallTime expires{};
  };
  using Key = std::pair<ServiceName, std::string>;

  void On(const blame_event::Reported& aEvent);
  void On(const blame_event::Lost& aEvent);
  void On(const blame_event::Cleared& aEvent);
  void On(const blame_event::Lifted& aEvent);
  void On(const blame_event::Tick& aEvent);

  Case& CaseOf(const UpstreamLife& aUpstream);
  void Weigh(const UpstreamLife& aUpstream);
  std::string Culprit(const UpstreamLife& aUpstream) const;
  void Ban(const ServiceName& aService, const std::string& aFingerprint);
  void Forget(const Key& aKey);
  size_t CasesOf(const Key& aKey) const;
  void Set(const Key& aKey, QuarantineVerdict aVerdict, std::string aReason);

  const Settings mSettings;
  WallTime mNow{};
  std::vector<SetVerdict> mEffects;
  std::map<UpstreamLife, Case> mCases;
  std::map<Key, Judged> mJudged;
};

} // namespace rattandyke::entry
