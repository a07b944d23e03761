/// When an upstream can run nothing more for a key, as the leader knows it.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "control/assignments.h"
#include "control/host_leases.h"
#include "wire/peer.pb.h"

namespace rattandyke::control {

/// One life of an upstream.
struct UpstreamLife
{
  std::string service;
  std::string upstream;
  uint64_t incarnation = 0;
  auto operator<=>(const UpstreamLife&) const = default; // NOLINT(*-nullptr)
};

/// Follows which host processes may renew the lease of each life, and what
/// they report of it. Not thread-safe.
class UpstreamLeases
{
public:
  UpstreamLeases(LeaseOptions aOptions, const HostLeases& aHosts);

  /// Forgets all; earlier leaders' leases may run from aElected.
  void Begin(Instant aElected);

  /// The replicated entry of an upstream changed, or is met for the first time.
  /// @param aIsNew a life not met before registered under this leader.
  void Follow(const UpstreamEntry& aEntry, bool aIsNew, Instant aNow);

  /// A report from aHome, whose table was at aTable when it was made.
  void NoteReport(const wire::UpstreamReport& aReport,
                  const HostSession& aHome,
                  TableVersion aTable);

  /// Takes what a heartbeat does not say. A home reports all that it keeps in
  /// each heartbeat, and drops an upstream only once its lease is over, so one
  /// that is missing has lapsed. Needed when the report of the end went to a
  /// leader that was lost before it could act.
  /// @return the lives that are missing.
  std::vector<UpstreamLife> NoteMissing(const wire::Heartbeat& aHeartbeat);

  /// A host process reported its table: it may have learnt that it must stop.
  void NoteTable(const HostSession& aHome, TableVersion aTable, Instant aNow);

  /// Whether the life holds no lease and is renewed by nobody: it lapsed at
  /// each of its homes, or those homes were told to stop, or are gone, for as
  /// long as a lease can last.
  bool IsOver(const UpstreamLife& aLife, Instant aNow) const;

  /// @return newest version of grants that the life acknowledged.
  TableVersion Acknowledged(const UpstreamLife& aLife) const;

  /// @return whether the life checks fences; false if not known.
  bool ChecksFences(const UpstreamLife& aLife) const;

  /// @return whether that process reported its end.
  bool HasLapsed(const UpstreamLife& aLife, const HostSession& aHome) const;

  /// Drops lives for which aIsNeeded is false.
  void Forget(const std::function<bool(const UpstreamLife&)>& aIsNeeded);

private:
  /// What one process of a keeper told.
  struct ProcessView
  {
    bool lapsed = false;
    /// When it was first seen to know that it must stop.
    std::optional<Instant> knownAt;
  };

  /// A host that may renew the lease. All its processes count: hosts know
  /// themselves in the table by name, so a restarted one renews at once.
  struct Keeper
  {
    /// Registration that made it the home.
    TableVersion since;
    /// It must stop once its table is at this version; unset while it is home.
    std::optional<TableVersion> stop;
    /// When the leader committed that.
    Instant stoppedAt{};
    std::map<uint64_t, ProcessView> processes;
  };

  struct Life
  {
    std::map<HostName, Keeper> keepers;
    TableVersion acknowledged;
    bool checksFences = false;
    /// Registered under this leader: no earlier leader's table names it.
    bool isNew = false;
    /// The process that keeps it now.
    std::optional<HostSession> keptBy;
    /// The only process that ever kept it, if there was only one.
    std::optional<HostSession> onlyHome;
  };

  void StopKeepers(Life& aLife,
                   const HostName* aExcept,
                   TableVersion aVersion,
                   Instant aNow);
  void KeepAt(const std::optional<HostSession>& aHome,
              const UpstreamLife& aLife);
  void StopOlderLives(const UpstreamLife& aLife,
                      TableVersion aVersion,
                      Instant aNow);
  bool IsOver(const HostName& aHome, const Keeper& aKeeper, Instant aNow) const;
  bool IsOver(const HostLease& aHome,
              const Keeper& aKeeper,
              Instant aNow) const;
  bool MayHaveUnknownHomes(const Life& aLife, Instant aNow) const;
  Duration BothLeases() const;

  LeaseOptions mOptions;
  const HostLeases& mHosts;
  Instant mElected{};
  std::map<UpstreamLife, Life> mLives;

  /// Lives by the process that keeps them now.
  std::map<HostSession, std::set<UpstreamLife>> mKept;
  /// Lives that hosts were told to stop renewing, until that is long ago.
  std::map<HostName, std::set<UpstreamLife>> mStopping;
};

} // namespace rattandyke::control
