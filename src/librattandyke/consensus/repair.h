/// How a group gets back to its full number after a host lost its disk.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "consensus/replica_events.h"
#include "consensus/types.h"

namespace rattandyke::consensus {

/// Decides the leader's changes of the membership, one at a time. Does no I/O.
/// Not thread-safe.
///
/// A host whose disk was lost comes back with a new identity. It becomes a
/// learner; once it has caught up, its old identity is removed, and then it
/// becomes a voter. It counts for no majority before that. The old identity
/// goes first: with both as voters the majority would be larger, and if the
/// newcomer is lost in that moment, the group could stand still for good.
///
/// A control host of the settings that is no member joins as a learner in the
/// same way, and votes if voters are missing. Learners beyond the number of
/// voters are spares: one votes too when a voter is silent for long, and then
/// the silent one is removed. In this order, since the silent one may only be
/// cut off, and may be needed if more hosts are lost meanwhile.
class Repair
{
public:
  struct Options
  {
    std::vector<Member> controlHosts;
    /// An identity is replaced only after this long without a word from it:
    /// else two hosts given one name by mistake would oust each other in turn.
    Duration replaceAfter{};
    /// As in ReplicaOptions.
    size_t voters = 0;
    Duration spareAfter{};
    /// As in ReplicaOptions.
    bool openMembership = false;
  };

  explicit Repair(Options aOptions);

  /// Notes a host that hears no leader; it may be no member.
  void HeardNewcomer(const Member& aMember,
                     HostIdentity aIdentity,
                     Instant aNow);

  /// @param aStatus of the leader.
  /// @return the next change, if one is due. Calling it again before the change
  /// is committed gives the same change, which the replica refuses.
  std::optional<MembershipChange> Decide(const GroupStatus& aStatus,
                                         Instant aNow) const;

private:
  struct Newcomer
  {
    Member member;
    HostIdentity identity;
    Instant heardAt{};
  };

  bool IsSilent(const MemberStatus& aMember,
                Duration aTime,
                Instant aNow) const;
  size_t VotersWanted() const;
  bool IsSpare(const MemberStatus& aMember, const GroupStatus& aStatus) const;
  bool IsWanted(const HostName& aName) const;
  std::optional<MembershipChange> RemoveReplaced(const GroupStatus& aStatus,
                                                 Instant aNow) const;
  std::optional<MembershipChange> RemoveExcess(const GroupStatus& aStatus,
                                               Instant aNow) const;
  std::optional<MembershipChange> PromoteIfWanted(const GroupStatus& aStatus,
                                                  Instant aNow) const;
  std::optional<MembershipChange> AddNewcomer(const GroupStatus& aStatus,
                                              Instant aNow) const;

  const Options mOptions;
  std::map<HostName, Newcomer> mNewcomers;
};

} // namespace rattandyke::consensus
