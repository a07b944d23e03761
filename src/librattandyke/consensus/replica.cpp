#include "consensus/replica.h"

#include <algorithm>

namespace rattandyke::consensus {

Replica::Replica(HostIdentity aSelf,
                 HostName aName,
                 ReplicaOptions aOptions,
                 Restored aRestored,
                 uint64_t aSeed,
                 Instant aNow)
  : mSelf(aSelf.value)
  , mName(std::move(aName))
  , mOptions(aOptions)
  , mRandom(aSeed)
  , mTerm(aRestored.hardState.term())
  , mVote(aRestored.hardState.vote())
  , mLog(aRestored.previousIndex, aRestored.previousTerm)
  , mSnapshot(std::move(aRestored.snapshot))
  , mNow(aNow)
{
  if (mSnapshot) {
    mCommit = mApplied = mSnapshot->meta.index();
    mHistory.Reset(mCommit, mSnapshot->meta.configuration());
  }
  for (wire::LogEntry& entry : aRestored.entries) {
    AppendToLog(std::move(entry));
  }
  // What was restored is on the disk already.
  mPending = Persist{};
  mHasPending = false;
  mSyncedIndex = mLog.LastIndex();
  ResetElectionTimer();
  // Safeguard: its process may have answered a leader just before it ended.
  // Voting at once could elect another within the time in which that leader
  // relies on the answer (QuorumContact) and gives leases, and a key could get
  // two owners; so it counts as having heard one now.
  if (mTerm > 0 || !IsEmpty()) {
    mHeardLeaderAt = mNow;
  }
}

std::vector<Effect>
Replica::Step(const Event& aEvent, Instant aNow)
{
  mNow = std::max(mNow, aNow);
  // A leader that was paused finds its replies and proposals waiting; it must
  // learn that its time is over before it looks at them.
  CheckQuorum();
  std::visit([this](const auto& aEvent) { On(aEvent); }, aEvent);
  EmitAfterSync();
  if (mRole == Role::Leader) {
    Replicate();
  }
  FlushPersist();
  return std::exchange(mEffects, {});
}

Instant
Replica::NextDeadline() const
{
  return mRole == Role::Leader ? mHeartbeatDue : mElectionDue;
}

bool
Replica::IsEmpty() const
{
  return mLog.LastIndex() == 0 && !mSnapshot;
}

std::optional<Instant>
Replica::QuorumContact(Instant aNow) const
{
  if (!mReady) {
    return std::nullopt;
  }
  return AnsweredByMajority(aNow);
}

bool
Replica::FollowsUpToDate() const
{
  const bool isBehind =
    mBehindSince && mNow - *mBehindSince >= mOptions.electionTimeoutMin;
  return mRole == Role::Follower && mLeaderName &&
         mLog.TermAt(mCommit) == mTerm && !isBehind;
}

std::optional<Instant>
Replica::AnsweredByMajority(Instant aNow) const
{
  return MajorityValue(
    Members(), [&](const wire::GroupMember& aMember) -> std::optional<Instant> {
      if (aMember.identity() == mSelf) {
        return aNow;
      }
      const auto found = mProgress.find(aMember.identity());
      return found == mProgress.end() ? std::nullopt : found->second.answered;
    });
}

GroupStatus
Replica::Status(Instant aNow) const
{
  GroupStatus status;
  status.identity = Identity();
  status.role = mRole;
  status.term = CurrentTerm();
  status.leader = mLeaderName;
  status.lastIndex = LogIndex{ mLog.LastIndex() };
  status.commitIndex = CommitIndex();
  status.appliedIndex = AppliedIndex();
  status.snapshotIndex = LogIndex{ mSnapshot ? mSnapshot->meta.index() : 0 };
  for (const wire::GroupMember& member : Members().members()) {
    MemberStatus row;
    row.member = { HostName{ member.name() },
                   { member.address(), static_cast<uint16_t>(member.port()) } };
    row.identity = HostIdentity{ member.identity() };
    row.voter = member.voter();
    const auto found = mProgress.find(member.identity());
    if (member.identity() == mSelf) {
      row.match = LogIndex{ mSyncedIndex };
      row.active = true;
    } else if (found != mProgress.end()) {
      row.match = LogIndex{ found->second.match };
      row.heardAt = found->second.heardAt;
      row.active = aNow - found->second.heardAt <= mOptions.electionTimeoutMax;
    }
    status.members.push_back(std::move(row));
  }
  return status;
}

void
Replica::On(const Tick&)
{
  if (mRole != Role::Leader) {
    if (mNow >= mElectionDue && !CatchesUp()) {
      OnElectionTimeout();
    }
    return;
  }
  if (mTransfer && mNow >= mTransfer->deadline) {
    // The one that was asked may stand for election at any later time.
    if (mTransfer->asked) {
      return BecomeFollower(mTerm);
    }
    EndTransfer();
  }
  if (mNow >= mHeartbeatDue) {
    BroadcastHeartbeats();
  }
}

void
Replica::On(const MessageReceived& aEvent)
{
  OnMessage(aEvent.message);
}

void
Replica::On(const Propose& aEvent)
{
  for (const Proposal& proposal : aEvent.proposals) {
    if (mRole != Role::Leader || mTransfer) {
      mEffects.push_back(ProposalFailed{
        proposal.id, { Code::NotLeader, "This control host does not lead." } });
    } else if (mLog.LastIndex() - mCommit >= mOptions.maxUncommitted) {
      mEffects.push_back(ProposalFailed{
        proposal.id,
        { Code::Overloaded, "Too many changes wait for a majority." } });
    } else {
      mProposals[AppendOwn(wire::ENTRY_KIND_COMMAND, proposal.payload)] =
        proposal.id;
    }
  }
}

void
Replica::On(const Synced& aEvent)
{
  const bool wasDurable = IsHardStateDurable();
  mSyncedTicket = std::max(mSyncedTicket, aEvent.ticket);
  while (!mPendingSyncs.empty() &&
         mPendingSyncs.front().ticket <= mSyncedTicket) {
    mSyncedIndex = std::max(mSyncedIndex, mPendingSyncs.front().lastIndex);
    RecordSyncTime(mNow - mPendingSyncs.front().since);
    mPendingSyncs.pop_front();
  }
  if (!wasDurable && IsHardStateDurable() && mVote != 0) {
    OnVoteDurable();
  }
  if (mRole == Role::Leader) {
    AdvanceLeaderCommit();
  }
}

void
Replica::On(const SnapshotTaken& aEvent)
{
  mSnapshotAsked = false;
  const uint64_t index = aEvent.index.value;
  const uint64_t previous = mSnapshot ? mSnapshot->meta.index() : 0;
  if (index <= previous || index > mApplied) {
    return;
  }
  Snapshot snapshot;
  snapshot.meta.set_index(index);
  snapshot.meta.set_term(mLog.TermAt(index).value());
  *snapshot.meta.mutable_configuration() = mHistory.At(index);
  snapshot.data = aEvent.data;
  const uint64_t kept = std::min(index, mOptions.entriesKeptBehind);
  const uint64_t base = std::max(mLog.BaseIndex(), index - kept);
  mLog.CompactTo(base);
  mHistory.CompactTo(index);
  mSnapshot = snapshot;
  mPending.snapshot = SaveSnapshot{ std::move(snapshot), base + 1, false };
  mHasPending = true;
}

void
Replica::On(const StorageChanged& aEvent)
{
  mWritable = aEvent.writable;
  // A leader that can't write would go on committing through the others'
  // disks, but can't keep what it acknowledges; one with a working disk should
  // lead.
  if (!mWritable && mRole == Role::Leader) {
    BecomeFollower(mTerm);
  }
}

void
Replica::On(const FoundGroup& aEvent)
{
  if (!IsEmpty() || mTerm != 0) {
    return;
  }
  mTerm = 1;
  PersistHardState();
  AppendOwn(wire::ENTRY_KIND_CONFIGURATION,
            aEvent.configuration.SerializeAsString());
  mElectionDue = mNow;
}

void
Replica::OnMessage(const wire::ConsensusMessage& aMessage)
{
  // A host whose disk was replaced has a new identity: what was meant for the
  // old one, such as a request for its vote, is not for this replica.
  if (aMessage.to() != mSelf) {
    return;
  }
  const uint64_t group = Members().group();
  if (aMessage.group() != 0 && group != 0 && aMessage.group() != group) {
    return;
  }
  if (aMessage.term() < mTerm) {
    RefuseOldTerm(aMessage);
    return;
  }
  if (ObserveTerm(aMessage)) {
    Dispatch(aMessage);
  }
}

bool
Replica::ObserveTerm(const wire::ConsensusMessage& aMessage)
{
  if (aMessage.term() == mTerm) {
    return true;
  }
  if (aMessage.has_vote_request()) {
    if (aMessage.vote_request().pre_vote()) {
      return true;
    }
    // A host that was removed, or that hears nobody, stands for election again
    // and again; while a leader is heard, its rising terms must not depose it.
    if (!aMessage.vote_request().transfer() && HeardLeaderRecently()) {
      return false;
    }
  }
  const bool promised = aMessage.has_vote_reply() &&
                        aMessage.vote_reply().pre_vote() &&
                        aMessage.vote_reply().granted();
  if (!promised) {
    BecomeFollower(aMessage.term());
  }
  return true;
}

void
Replica::RefuseOldTerm(const wire::ConsensusMessage& aMessage)
{
  if (aMessage.has_append_request() || aMessage.has_snapshot_chunk()) {
    RejectAppend(aMessage, mLog.LastIndex());
  } else if (aMessage.has_vote_request()) {
    wire::ConsensusMessage reply = NewMessage(aMessage.from());
    reply.mutable_vote_reply()->set_pre_vote(
      aMessage.vote_request().pre_vote());
    SendNow(ReplyTo(aMessage, std::move(reply)));
  }
}

void
Replica::Dispatch(const wire::ConsensusMessage& aMessage)
{
  using Message = wire::ConsensusMessage;
  switch (aMessage.body_case()) {
    case Message::kVoteRequest:
      return OnVoteRequest(aMessage);
    case Message::kVoteReply:
      return OnVoteReply(aMessage);
    case Message::kAppendRequest:
      return OnAppendRequest(aMessage);
    case Message::kAppendReply:
      return OnAppendReply(aMessage);
    case Message::kSnapshotChunk:
      return OnSnapshotChunk(aMessage);
    case Message::kSnapshotReply:
      return OnSnapshotReply(aMessage);
    case Message::kElectNow:
      return OnElectNow(aMessage);
    case Message::kHello:
    case Message::BODY_NOT_SET:
      return;
  }
}

void
Replica::AppendToLog(wire::LogEntry aEntry)
{
  if (aEntry.kind() == wire::ENTRY_KIND_CONFIGURATION &&
      aEntry.index() > mHistory.CurrentIndex()) {
    wire::Configuration configuration;
    if (!configuration.ParseFromString(aEntry.payload())) {
      // With a part of the members it would count wrong majorities.
      mEffects.push_back(
        Halt{ Error{ Code::StorageCorrupt,
                     "The members of the group in the log entry " +
                       std::to_string(aEntry.index()) + " can't be read." } });
      return;
    }
    mHistory.Add(aEntry.index(), std::move(configuration));
  }
  mPending.entries.push_back(aEntry);
  mHasPending = true;
  mLog.Append(std::move(aEntry));
}

void
Replica::TruncateLog(uint64_t aFrom)
{
  mLog.TruncateFrom(aFrom);
  mHistory.TruncateFrom(aFrom);
  mPending.truncateFrom = LogIndex{ aFrom };
  mHasPending = true;
  mSyncedIndex = std::min(mSyncedIndex, aFrom - 1);
  for (PendingSync& pending : mPendingSyncs) {
    pending.lastIndex = std::min(pending.lastIndex, aFrom - 1);
  }
}

void
Replica::AdvanceCommit(uint64_t aCommit)
{
  if (aCommit > mCommit) {
    mCommit = aCommit;
    ApplyCommitted();
  }
}

void
Replica::ApplyCommitted()
{
  while (mApplied < mCommit) {
    ++mApplied;
    ApplyEntry(mLog.At(mApplied));
  }
  const uint64_t snapshotIndex = mSnapshot ? mSnapshot->meta.index() : 0;
  const uint64_t snapshotBytes = mSnapshot ? mSnapshot->data->size() : 0;
  const uint64_t wanted =
    std::max(mOptions.entriesPerSnapshot,
             snapshotBytes / mOptions.snapshotBytesPerEntry);
  if (!mSnapshotAsked && mApplied - snapshotIndex >= wanted) {
    mSnapshotAsked = true;
    mEffects.push_back(TakeSnapshot{ AppliedIndex() });
  }
  if (mRole == Role::Leader && !mReady && !mTransfer &&
      mApplied >= mTermStart) {
    mReady = true;
    mEffects.push_back(LeadershipGained{ CurrentTerm() });
  }
  const bool removed = FindMember(Members(), mSelf) == nullptr;
  if (mRole == Role::Leader && removed && mApplied >= mHistory.CurrentIndex()) {
    BecomeFollower(mTerm);
  }
}

void
Replica::ApplyEntry(const wire::LogEntry& aEntry)
{
  const LogIndex index{ aEntry.index() };
  if (aEntry.kind() == wire::ENTRY_KIND_COMMAND) {
    mEffects.push_back(Apply{ index, aEntry.payload() });
  }
  const auto proposal = mProposals.find(aEntry.index());
  if (proposal != mProposals.end()) {
    mEffects.push_back(ProposalDone{ proposal->second, index });
    mProposals.erase(proposal);
  }
}

void
Replica::PersistHardState()
{
  wire::HardState state;
  state.set_term(mTerm);
  state.set_vote(mVote);
  mPending.hardState = state;
  mHasPending = true;
  mHardStateTicket = Ticket{ mLastTicket.value + 1 };
}

/// Rises at once and falls slowly: a disk that was slow may be so again.
void
Replica::RecordSyncTime(Duration aTime)
{
  constexpr int kDecay = 8;
  mSyncTime = std::max(aTime, mSyncTime - (mSyncTime - aTime) / kDecay);
}

void
Replica::FlushPersist()
{
  if (!mHasPending) {
    return;
  }
  mPending.ticket = mLastTicket = Ticket{ mLastTicket.value + 1 };
  mPendingSyncs.push_back({ mLastTicket, mLog.LastIndex(), mNow });
  mEffects.push_back(std::exchange(mPending, {}));
  mHasPending = false;
}

void
Replica::EmitAfterSync()
{
  while (!mDeferred.empty() && mDeferred.front().ticket <= mSyncedTicket) {
    Send send = std::move(mDeferred.front().send);
    mDeferred.pop_front();
    if (send.message.to() == mSelf) {
      OnMessage(send.message);
    } else {
      SendNow(std::move(send));
    }
  }
}

void
Replica::SendNow(Send aSend)
{
  mEffects.push_back(std::move(aSend));
}

void
Replica::SendWhenDurable(Send aSend)
{
  const uint64_t pending = mHasPending ? 1 : 0;
  mDeferred.push_back(
    { Ticket{ mLastTicket.value + pending }, std::move(aSend) });
}

wire::ConsensusMessage
Replica::NewMessage(uint64_t aTo) const
{
  wire::ConsensusMessage message;
  message.set_from(mSelf);
  message.set_from_name(mName.value);
  message.set_to(aTo);
  message.set_group(Members().group());
  message.set_term(mTerm);
  return message;
}

Send
Replica::ReplyTo(const wire::ConsensusMessage& aMessage,
                 wire::ConsensusMessage aReply) const
{
  return { HostName{ aMessage.from_name() }, std::move(aReply) };
}

} // namespace rattandyke::consensus
