/// When an upstream can run nothing more for a key, as the leader knows it.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

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
  auto operator<=>(const UpstreamLife&) const = default;
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
  void Follow(const UpstreamEntry& aEntry, Instant aNow);

  /// A report from aHome, whose table was at aTable when it was made.
  void NoteReport(const wire::UpstreamReport& aReport,
                  const HostSession& aHome,
                  TableVersion aTable);

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

  /// @return whether the home that keeps it now reported its end.
  bool HasLapsed(const UpstreamLife& aLife, const HostSession& aHome) const;

  /// Drops lives for which aIsNeeded is false.
  void Forget(const std::function<bool(const UpstreamLife&)>& aIsNeeded);

private:
  /// A host process that may renew the lease.
  struct Keeper
  {
    /// Registration that made it the home.
    TableVersion since;
    /// It must stop once its table is at this version; unset while it is home.
    std::optional<TableVersion> stop;
    /// When the leader committed that.
    Instant stoppedAt{};
    /// When it was first seen to have that version.
    std::optional<Instant> knownAt;
    bool lapsed = false;
  };

  struct Life
  {
    std::map<HostSession, Keeper> keepers;
    TableVersion acknowledged;
    bool checksFences = false;
    /// Every process that may renew it is among the keepers.
    bool complete = false;
  };

  void StopKeepers(Life& aLife,
                   const HostSession* aExcept,
                   TableVersion aVersion,
                   Instant aNow);
  bool IsOver(const HostSession& aHome,
              const Keeper& aKeeper,
              Instant aNow) const;

  LeaseOptions mOptions;
  const HostLeases& mHosts;
  Instant mElected{};
  std::map<UpstreamLife, Life> mLives;

  /// Keepers told to stop that were not seen to know it yet.
  std::map<HostSession, std::set<UpstreamLife>> mStopping;
};

} // namespace rattandyke::control
