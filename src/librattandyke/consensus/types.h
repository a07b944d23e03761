/// Words shared by the parts of the replicated log.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <rattandyke/types.h>

namespace rattandyke::consensus {

/// Number of an election; at most one leader has each.
using Term = Strong<struct TermTag, uint64_t>;

/// A control host as settings name it.
struct Member
{
  HostName name;
  Endpoint address;
  bool operator==(const Member&) const = default;
};

enum class Role
{
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/// @return a role as logs and operators' pages call it.
constexpr std::string_view
NameOf(Role aRole)
{
  switch (aRole) {
    case Role::Follower:
      return "follower";
    case Role::PreCandidate:
      return "pre-candidate";
    case Role::Candidate:
      return "candidate";
    case Role::Leader:
      return "leader";
  }
  return {};
}

/// Times and sizes of a Replica.
struct ReplicaOptions
{
  Duration heartbeatInterval = std::chrono::milliseconds{ 50 };
  /// A follower that hears no leader waits a random time between these two.
  Duration electionTimeoutMin = std::chrono::milliseconds{ 250 };
  Duration electionTimeoutMax = std::chrono::milliseconds{ 450 };
  /// A follower whose election timer is noticed so late was held up itself, and
  /// reads for catchUpTime what has come meanwhile before it asks for votes.
  /// 0: it asks at once.
  Duration heldUpAfter{};
  Duration catchUpTime = std::chrono::milliseconds{ 60 };
  /// Bytes of entries in one message; one entry may exceed it.
  size_t maxBytesPerAppend = size_t{ 256 } * 1024;
  /// Appends sent to one follower and not answered yet.
  size_t maxAppendsInFlight = 16;
  size_t snapshotChunkBytes = size_t{ 256 } * 1024;
  /// Applied entries since the last snapshot at which the next one is taken.
  uint64_t entriesPerSnapshot = 8192;
  /// A snapshot is taken no sooner than after an entry for each so many bytes
  /// of the one before: what snapshots cost an entry does not grow with the
  /// state.
  uint64_t snapshotBytesPerEntry = 256;
  /// Entries kept in front of a snapshot for followers that are a bit behind.
  uint64_t entriesKeptBehind = 1024;
  /// Entries not yet committed above which proposals are refused.
  uint64_t maxUncommitted = 16384;
  /// A voter may be replaced by a new identity of its name only after the
  /// leader has not heard from it for this long.
  Duration replaceAfter = std::chrono::seconds{ 2 };
  /// Number of voters wanted; the other control hosts are spares, which hold
  /// the log and do not vote. 0: all control hosts vote.
  size_t voters = 0;
  /// A spare takes the place of a voter that the leader has not heard from for
  /// this long.
  Duration spareAfter = std::chrono::seconds{ 10 };
  /// Control hosts that are not in the settings may join. They are known by
  /// their hellos only, so `voters` must be set.
  bool openMembership = false;
  /// Whether this host may found the group, as the first of the settings'
  /// control hosts. False once the deployment has been started before: a host
  /// that finds its disk empty then has lost it, and must join.
  bool mayFound = true;
};

/// What a leader knows of one member of the group.
struct MemberStatus
{
  Member member;
  HostIdentity identity;
  bool voter = false;
  /// Newest entry known to be on its disk; 0 unless this host leads.
  LogIndex match;
  /// Answered within the longest election timeout; false unless this host
  /// leads.
  bool active = false;
  /// When it last answered the leader.
  Instant heardAt{};
};

/// One host's view of the group, for operators.
struct GroupStatus
{
  HostIdentity identity;
  Role role = Role::Follower;
  Term term;
  std::optional<HostName> leader;
  LogIndex lastIndex;
  LogIndex commitIndex;
  LogIndex appliedIndex;
  LogIndex snapshotIndex;
  std::vector<MemberStatus> members;
  /// Set while the disk takes no writes; the text says why.
  std::string storageError;
  /// Syncs of the log's files since the start.
  uint64_t syncs = 0;
};

} // namespace rattandyke::consensus
