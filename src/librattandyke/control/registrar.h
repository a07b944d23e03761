/// Decides which announced upstreams are taken up, moved to another home, or
/// declared lost.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include <rattandyke/types.h>

#include "control/host_leases.h"
#include "control/proposals.h"
#include "control/state.h"
#include "control/upstream_leases.h"

namespace rattandyke::control {

/// Not thread-safe.
class Registrar
{
public:
  /// @param aState, aHosts, aLeases, aProposals outlive it.
  Registrar(LeaseOptions aOptions,
            const State& aState,
            const HostLeases& aHosts,
            const UpstreamLeases& aLeases,
            Proposals& aProposals);

  void Begin(Instant aElected);

  /// Takes one line of a heartbeat.
  void Note(const wire::UpstreamReport& aReport,
            const HostSession& aHome,
            Instant aNow);

  /// Its home no longer reports it.
  void Suspect(const UpstreamLife& aLife);

  /// Declares an upstream lost although its lease may live: it does not let go,
  /// or nobody can reach it. It is not taken up again before aUntil.
  void Condemn(const wire::Upstream& aUpstream, Instant aUntil);

  /// Proposes what the reports and leases call for.
  void Step(Instant aNow);

private:
  /// Service and name.
  using Key = std::pair<std::string, std::string>;

  struct Report
  {
    wire::UpstreamReport report;
    HostSession home;
    /// When the upstream announced itself there.
    Instant announcedAt{};
  };

  /// Whether another host heard the same life announce itself later.
  bool IsOutdated(const Key& aKey, const Report& aReport);
  void Answer(const Key& aKey,
              const Report& aReport,
              Instant aNow,
              wire::RegisterUpstreams& aRegistrations);
  bool IsSettled(const Report& aReport, const UpstreamEntry* aEntry) const;
  bool MayRegister(const Report& aReport,
                   const UpstreamEntry* aEntry,
                   Instant aNow) const;
  void ProposeDrain(const Report& aReport);
  void ProposeLost(Instant aNow);
  /// Adds upstreams of homes that ended without a word to mSuspects.
  void SuspectOfEndedHomes(Instant aNow);
  std::set<HostSession> EndedHomes(Instant aNow) const;
  bool IsLost(const Key& aKey, const UpstreamEntry& aEntry, Instant aNow) const;
  bool IsWell(const UpstreamEntry& aEntry, Instant aNow) const;
  bool IsTakenOver(const Key& aKey, const UpstreamEntry& aEntry) const;
  bool IsWaitedFor(const UpstreamEntry& aEntry) const;

  LeaseOptions mOptions;
  const State& mState;
  const HostLeases& mHosts;
  const UpstreamLeases& mLeases;
  Proposals& mProposals;
  Instant mElected{};
  /// Newest report of each upstream that is not settled yet.
  std::map<Key, Report> mUnsettled;
  /// Newest announcement of each upstream.
  std::map<Key, Report> mNewest;
  std::map<Key, Instant> mHomeChanges;
  std::map<UpstreamLife, Instant> mRefusedUntil;
  std::set<Key> mCondemned;
  /// Upstreams that may be lost; kept until they are, or are found alive.
  std::set<Key> mSuspects;
  std::set<HostSession> mEndedHomes;
  bool mEarlierLeasesOver = false;
};

} // namespace rattandyke::control
