/// Leases of the hosts, as the leader counts them.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "control/claim_table.h"
#include "control/lease_options.h"
#include "wire/peer.pb.h"

namespace rattandyke::control {

/// One process of a host that this leader has heard.
struct HostLease
{
  HostSession session;
  DataCentre dataCentre;
  std::string peerAddress;
  std::string adminAddress;
  /// Where upstreams announce themselves to it.
  std::string upstreamAddress;
  bool entry = false;
  bool leaving = false;
  uint64_t logIdentity = 0;
  uint64_t sequence = 0;
  /// When the newest heartbeat that was answered with a lease came in.
  Instant heard{};
  /// When its newest heartbeat of all came in; tells of its link.
  Instant lastSeen{};
  /// Newest table it ever reported, and the one that the next update has to
  /// follow on: 0 if it asks for a whole table.
  TableVersion table;
  TableVersion updateFrom;
  TableVersion quiesced;
  /// Of the HostList that its newest heartbeat says it holds.
  uint64_t hostsDigest = 0;
};

/// Safeguard: a host counts its lease from when it sent a heartbeat; here the
/// lease is counted from when that came in, and lengthened by the drift bound,
/// so it ends here later than there. The leader before this one may have given
/// leases up to the instant of the election; until those are over, hosts that
/// this leader has not heard are taken to have one. Not thread-safe.
class HostLeases
{
public:
  explicit HostLeases(LeaseOptions aOptions);

  /// Forgets all; leases of earlier leaders may run from aElected.
  void Begin(Instant aElected);

  /// @return false for a heartbeat that is older than one already seen.
  bool Note(const wire::Heartbeat& aHeartbeat, Instant aReceived);

  /// The host's newest heartbeat is answered with a lease.
  void Renew(const HostSession& aSession, Instant aReceived);

  /// @return the lease, or null if this leader never heard the process.
  const HostLease* Find(const HostSession& aSession) const;

  /// Whether the process may hold a lease.
  bool MayLive(const HostSession& aSession, Instant aNow) const;
  bool MayLive(const HostLease& aLease, Instant aNow) const;

  /// Whether leases given by earlier leaders may live.
  bool MayHaveUnknown(Instant aNow) const;

  /// @return version at and above which every entry that may hold a lease is
  /// quiesced; 0 if there may be an entry that this leader has not heard.
  TableVersion QuiescedEverywhere(Instant aNow) const;

  /// Processes heard by this leader, lease or not.
  const std::map<HostSession, HostLease>& All() const { return mLeases; }

  /// Drops processes that had no lease for aAge.
  void Forget(Instant aNow, Duration aAge);

private:
  LeaseOptions mOptions;
  Instant mElected{};
  std::map<HostSession, HostLease> mLeases;
};

} // namespace rattandyke::control
