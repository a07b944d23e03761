/// What a Replica is told and what it asks for.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <rattandyke/result.h>

#include "consensus/types.h"
#include "wire/consensus.pb.h"

namespace rattandyke::consensus {

/// Number of a Persist effect; they rise by one.
using Ticket = Strong<struct TicketTag, uint64_t>;

/// Number that the owner gives a proposal to know its outcome by.
using ProposalId = Strong<struct ProposalIdTag, uint64_t>;

struct Snapshot
{
  wire::SnapshotMeta meta;
  std::shared_ptr<const std::string> data;
};

/// What lies on the disk when a replica starts.
struct Restored
{
  wire::HardState hardState;
  std::optional<Snapshot> snapshot;
  /// Index and term of the entry before the first of entries.
  uint64_t previousIndex = 0;
  uint64_t previousTerm = 0;
  std::vector<wire::LogEntry> entries;
};

/// Time passed; due no later than Replica::NextDeadline.
struct Tick
{};

struct MessageReceived
{
  wire::ConsensusMessage message;
};

struct Proposal
{
  ProposalId id;
  std::string payload;
};

/// Proposals that arrived together and share a message and a sync.
struct Propose
{
  std::vector<Proposal> proposals;
};

struct AddLearner
{
  Member member;
  HostIdentity identity;
};

struct PromoteLearner
{
  HostIdentity identity;
};

struct RemoveMember
{
  HostIdentity identity;
};

using MembershipChange = std::variant<AddLearner, PromoteLearner, RemoveMember>;

struct ChangeMembership
{
  ProposalId id;
  MembershipChange change;
};

/// Everything up to this ticket survives a crash.
struct Synced
{
  Ticket ticket;
};

/// The state after the command at index, which was the newest applied.
struct SnapshotTaken
{
  LogIndex index;
  std::shared_ptr<const std::string> data;
};

struct TransferLeadership
{};

/// The disk takes no writes for now, or takes them again.
struct StorageChanged
{
  bool writable = true;
};

/// Makes an empty replica the first of a new group. Only one host may ever
/// decide this; see Founding.
struct FoundGroup
{
  wire::Configuration configuration;
};

using Event = std::variant<Tick,
                           MessageReceived,
                           Propose,
                           ChangeMembership,
                           Synced,
                           SnapshotTaken,
                           TransferLeadership,
                           StorageChanged,
                           FoundGroup>;

struct Send
{
  HostName to;
  wire::ConsensusMessage message;
};

/// A snapshot to write, replacing the one before.
struct SaveSnapshot
{
  Snapshot snapshot;
  /// Entries from here on stay in the log.
  uint64_t keepFrom = 0;
  /// The log does not lead up to the snapshot: drop all of it.
  bool discardLog = false;
};

/// Write in the order of the fields, then answer with Synced. Batches are
/// written in the order of their tickets, any number of them under one sync.
struct Persist
{
  Ticket ticket;
  std::optional<wire::HardState> hardState;
  std::optional<SaveSnapshot> snapshot;
  /// Drop the entries from this index on before appending.
  std::optional<LogIndex> truncateFrom;
  std::vector<wire::LogEntry> entries;
};

struct Apply
{
  LogIndex index;
  std::string payload;
};

struct LoadSnapshot
{
  std::shared_ptr<const std::string> data;
};

/// This host can't read the group's state and must take no further part.
struct Halt
{
  Error error;
};

/// Asks for SnapshotTaken of the state as the effects so far have made it.
struct TakeSnapshot
{
  LogIndex index;
};

/// Committed and, by an earlier effect, applied.
struct ProposalDone
{
  ProposalId id;
  LogIndex index;
};

struct ProposalFailed
{
  ProposalId id;
  Error error;
};

/// Leads, and all committed before has been applied by earlier effects.
struct LeadershipGained
{
  Term term;
};

struct LeadershipLost
{};

/// A TransferLeadership is over, with or without success.
struct TransferEnded
{};

using Effect = std::variant<Send,
                            Persist,
                            Apply,
                            LoadSnapshot,
                            Halt,
                            TakeSnapshot,
                            ProposalDone,
                            ProposalFailed,
                            LeadershipGained,
                            LeadershipLost,
                            TransferEnded>;

} // namespace rattandyke::consensus
