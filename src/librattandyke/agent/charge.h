/// What a home knows about one process of an upstream that announces itself.
#pragma once

#include <optional>
#include <vector>

#include <rattandyke/types.h>

#include "agent/announcement.h"
#include "routing/routing_table.h"
#include "wire/peer.pb.h"

namespace rattandyke::agent {

/// A table version that took grants away, and since when the upstream is told.
struct Revocation
{
  TableVersion version;
  Instant since;
  /// What the upstream held before.
  std::vector<Grant> before;
};

/// An announcement whose answer waits for news.
struct HeldAnnouncement
{
  uint64_t id = 0;
  Instant received;
  Instant until;
};

enum class ChargePhase
{
  /// Reported to the leader as alive.
  Live,
  /// Its lease is over; reported so until the leader has heard it.
  Lapsing,
  /// The leader knows. It must be registered anew before it is renewed.
  Lapsed
};

/// One incarnation of an upstream at this host. Plain data; LeaseKeeper
/// decides.
struct Charge
{
  Announcement last;
  /// When it last announced itself here.
  Instant announced;
  /// When the last announcement arrived that was answered with a lease.
  std::optional<Instant> leased;
  /// Since when the table names this host as its home.
  std::optional<Instant> homeSince;
  /// It belongs into heartbeats; not after it moved to another home.
  bool reporting = true;
  /// First heartbeat that reported it as alive; 0: none yet.
  uint64_t reportedFrom = 0;
  ChargePhase phase = ChargePhase::Live;
  /// First heartbeat that reported it as lapsed; 0: none yet.
  uint64_t lapsedFrom = 0;
  /// Registration it had when it lapsed; only a later one counts.
  TableVersion registrationFloor;
  /// Latest registration of this incarnation that the table showed.
  TableVersion registered;
  /// Another process of the same name has taken over.
  bool superseded = false;

  /// Grants as the table has them, and the table version that last changed
  /// them; version 0 before the first look.
  std::vector<Grant> grants;
  TableVersion grantsVersion;
  /// Revocations that are not acknowledged, oldest first.
  std::vector<Revocation> revocations;

  std::optional<HeldAnnouncement> held;
};

/// @return consecutive slots of one fence joined; single keys last.
std::vector<Grant> JoinGrants(const std::vector<wire::SlotOwner>& aOwners);

/// @return whether work that was allowed under aBefore is not under aAfter.
bool TakesAway(const std::vector<Grant>& aBefore,
               const std::vector<Grant>& aAfter);

/// Takes over newer grants. Grants that are taken away, or of which this host
/// does not know what the upstream held before, have to be acknowledged.
void SetGrants(Charge& aCharge,
               std::vector<Grant> aGrants,
               TableVersion aVersion,
               Instant aNow);

/// Takes the acknowledgement in an announcement.
void Acknowledge(Charge& aCharge, TableVersion aGrantsVersion);

/// @param aTable version of this host's table.
/// @return the table version up to which every revocation is acknowledged.
TableVersion AcknowledgedVersion(const Charge& aCharge, TableVersion aTable);

/// @return whether a fact that must not change in the life of a process did.
bool IsOtherProcess(const Announcement& aOne, const Announcement& aOther);

/// @return the line on it in a heartbeat.
wire::UpstreamReport ReportOf(const Charge& aCharge,
                              const HostName& aHome,
                              TableVersion aTable,
                              Instant aNow);

} // namespace rattandyke::agent
