/// Decisions of one replica of the log.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "consensus/configuration.h"
#include "consensus/memory_log.h"
#include "consensus/replica_events.h"
#include "consensus/types.h"

namespace rattandyke::consensus {

/// A replicated log after Raft: one leader a term, elected by a majority whose
/// logs it is at least as new as. Does no I/O. Not thread-safe.
///
/// A message that promises something durable (a vote, an acknowledgement of
/// entries) is held back until the Synced event that covers it; the leader's
/// own disk counts for a majority only from then on, too.
class Replica
{
public:
  /// @param aSelf identity of the data folder.
  /// @param aSeed of the random election timeouts.
  Replica(HostIdentity aSelf,
          HostName aName,
          ReplicaOptions aOptions,
          Restored aRestored,
          uint64_t aSeed,
          Instant aNow);

  /// @return what to do, in this order.
  std::vector<Effect> Step(const Event& aEvent, Instant aNow);

  /// @return when the next Tick is due.
  Instant NextDeadline() const;

  Role CurrentRole() const { return mRole; }
  Term CurrentTerm() const { return Term{ mTerm }; }
  /// Whether LeadershipGained was the last word on leadership.
  bool IsReadyLeader() const { return mReady; }
  std::optional<HostName> Leader() const { return mLeaderName; }
  HostIdentity Identity() const { return HostIdentity{ mSelf }; }
  LogIndex CommitIndex() const { return LogIndex{ mCommit }; }
  LogIndex AppliedIndex() const { return LogIndex{ mApplied }; }
  const MemoryLog& Log() const { return mLog; }
  const wire::Configuration& Members() const { return mHistory.Current(); }
  /// Whether this replica has neither log nor group.
  bool IsEmpty() const;

  /// @return newest instant at which a message was sent that a majority has
  /// answered; aNow for a group of one; nothing unless IsReadyLeader.
  /// No other is elected within electionTimeoutMin of it while this is so.
  std::optional<Instant> QuorumContact(Instant aNow) const;

  /// Whether this replica follows a leader that has told it a commit of its own
  /// term: all that was committed before that term is applied here. A host that
  /// has just restarted follows a leader while its state is that of its last
  /// snapshot, maybe minutes old. False once the leader's commit index has been
  /// above this replica's for electionTimeoutMin.
  bool FollowsUpToDate() const;

  /// @return the number of append requests that this replica has taken from a
  /// leader that it followed then.
  uint64_t AppendsHeard() const { return mAppendsHeard; }

  GroupStatus Status(Instant aNow) const;

private:
  std::optional<Instant> AnsweredByMajority(Instant aNow) const;
  void RecordLeaderCommit(uint64_t aCommit);

  /// What the leader knows of another member.
  struct Progress
  {
    enum class Mode
    {
      Probe,     // one append at a time until the logs are known to meet
      Replicate, // appends are sent ahead of their answers
      Snapshot   // needs entries that are no longer held
    };
    Mode mode = Mode::Probe;
    uint64_t match = 0;
    uint64_t next = 1;
    /// Last index of each append sent and not answered.
    std::deque<uint64_t> inFlight;
    bool probeSent = false;
    Instant heardAt{};
    /// Newest sending time of ours that it has answered.
    std::optional<Instant> answered;
    std::optional<Snapshot> snapshot;
    uint64_t snapshotOffset = 0;
    Instant chunkSentAt{};
  };

  struct Transfer
  {
    uint64_t target = 0;
    Instant deadline{};
    bool asked = false;
  };

  struct Deferred
  {
    Ticket ticket;
    Send send;
  };

  struct PendingSync
  {
    Ticket ticket;
    uint64_t lastIndex = 0;
    Instant since{};
  };

  // Events (replica.cpp).
  void On(const Tick&);
  void On(const MessageReceived& aEvent);
  void On(const Propose& aEvent);
  void On(const ChangeMembership& aEvent);
  void On(const Synced& aEvent);
  void On(const SnapshotTaken& aEvent);
  void On(const TransferLeadership&);
  void On(const StorageChanged& aEvent);
  void On(const FoundGroup& aEvent);

  // Messages.
  void OnMessage(const wire::ConsensusMessage& aMessage);
  bool ObserveTerm(const wire::ConsensusMessage& aMessage);
  void RefuseOldTerm(const wire::ConsensusMessage& aMessage);
  void Dispatch(const wire::ConsensusMessage& aMessage);

  // Elections (replica_election.cpp).
  /// @return whether the timer ran out because this host was held up: it waits
  /// once more.
  bool CatchesUp();
  void OnElectionTimeout();
  void AskAgainSoon();
  void StartPreVote();
  void StartElection(bool aTransfer);
  void RequestVotes(bool aPreVote, bool aTransfer);
  void OnVoteRequest(const wire::ConsensusMessage& aMessage);
  void OnVoteReply(const wire::ConsensusMessage& aMessage);
  void BecomeFollower(uint64_t aTerm);
  void BecomeLeader();
  void FollowLeader(const wire::ConsensusMessage& aMessage);
  bool HeardLeaderRecently() const;
  /// @return whether the candidate that this host has voted for may still be
  /// elected.
  bool VotedRecently() const;
  void OnVoteDurable();
  /// @return the time that an election takes longer because of the disks:
  /// first the candidate's, then the voters'.
  Duration DiskTimeOfElection() const;
  bool IsUpToDate(const wire::VoteRequest& aRequest) const;
  void CheckQuorum();
  void ResetElectionTimer();
  void FailProposals();
  void EndTransfer();
  /// @return whether a majority of the voters is among them.
  bool IsMajority(const std::set<uint64_t>& aVotes) const;

  // Leader (replica_leader.cpp).
  void BroadcastHeartbeats();
  void SendHeartbeat(const wire::GroupMember& aMember, Progress& aProgress);
  void Replicate();
  void ReplicateTo(const wire::GroupMember& aMember, Progress& aProgress);
  bool MaySend(const Progress& aProgress) const;
  void SendEntries(const wire::GroupMember& aMember, Progress& aProgress);
  void SendChunk(const wire::GroupMember& aMember, Progress& aProgress);
  void OnAppendReply(const wire::ConsensusMessage& aMessage);
  void OnSnapshotReply(const wire::ConsensusMessage& aMessage);
  void NoteAnswer(Progress& aProgress, uint64_t aSentAt);
  void OnRejected(Progress& aProgress, uint64_t aHint);
  void OnAccepted(Progress& aProgress, uint64_t aMatch);
  void AdvanceLeaderCommit();
  void SyncProgressWithMembers();
  void StartSnapshot(const wire::GroupMember& aMember, Progress& aProgress);
  Progress* ProgressOf(uint64_t aIdentity);
  void ContinueTransfer();
  void SendElectNow();
  uint64_t AppendOwn(wire::EntryKind aKind, std::string aPayload);
  Result<wire::Configuration> Changed(const AddLearner& aChange) const;
  Result<wire::Configuration> Changed(const PromoteLearner& aChange) const;
  Result<wire::Configuration> Changed(const RemoveMember& aChange) const;

  // Follower (replica_follower.cpp).
  void OnAppendRequest(const wire::ConsensusMessage& aMessage);
  void AppendFromLeader(const wire::AppendRequest& aRequest);
  void ReplyToAppend(const wire::ConsensusMessage& aMessage,
                     uint64_t aLastNew,
                     bool aAppended);
  void RejectAppend(const wire::ConsensusMessage& aMessage, uint64_t aHint);
  uint64_t ConflictHint(const wire::AppendRequest& aRequest) const;
  void OnSnapshotChunk(const wire::ConsensusMessage& aMessage);
  void InstallSnapshot(const wire::ConsensusMessage& aMessage);
  void OnElectNow(const wire::ConsensusMessage& aMessage);

  // Log and disk (replica.cpp).
  void AppendToLog(wire::LogEntry aEntry);
  void TruncateLog(uint64_t aFrom);
  void AdvanceCommit(uint64_t aCommit);
  void ApplyCommitted();
  void ApplyEntry(const wire::LogEntry& aEntry);
  void PersistHardState();
  bool IsHardStateDurable() const { return mHardStateTicket <= mSyncedTicket; }
  void RecordSyncTime(Duration aTime);
  void FlushPersist();
  void EmitAfterSync();
  void SendNow(Send aSend);
  void SendWhenDurable(Send aSend);
  wire::ConsensusMessage NewMessage(uint64_t aTo) const;
  Send ReplyTo(const wire::ConsensusMessage& aMessage,
               wire::ConsensusMessage aReply) const;

  const uint64_t mSelf;
  const HostName mName;
  const ReplicaOptions mOptions;
  Random mRandom;

  // Durable.
  uint64_t mTerm = 0;
  uint64_t mVote = 0;
  MemoryLog mLog;
  ConfigurationHistory mHistory;
  std::optional<Snapshot> mSnapshot;

  // Disk.
  Persist mPending;
  bool mHasPending = false;
  Ticket mLastTicket;
  Ticket mSyncedTicket;
  Ticket mHardStateTicket;
  uint64_t mSyncedIndex = 0;
  std::deque<PendingSync> mPendingSyncs;
  /// Recent time from a write to its sync.
  Duration mSyncTime{};
  std::deque<Deferred> mDeferred;
  bool mWritable = true;

  // Volatile.
  Role mRole = Role::Follower;
  Instant mNow;
  uint64_t mCommit = 0;
  /// Highest commit index that the leader of mLeaderCommitTerm has told.
  uint64_t mLeaderCommit = 0;
  uint64_t mLeaderCommitTerm = 0;
  /// Time since which mLeaderCommit has been above mCommit.
  std::optional<Instant> mBehindSince;
  uint64_t mApplied = 0;
  std::optional<HostName> mLeaderName;
  std::optional<Instant> mHeardLeaderAt;
  uint64_t mAppendsHeard = 0;
  std::optional<Instant> mVotedAt;
  Instant mElectionDue{};
  /// Since it heard a leader it has waited once because it was held up.
  bool mCaughtUp = false;
  /// Votes for this host in mTerm.
  std::set<uint64_t> mVotes;
  std::set<uint64_t> mPreVotes;
  std::optional<Snapshot> mIncoming;
  std::string mIncomingData;
  bool mSnapshotAsked = false;

  // Leader.
  std::map<uint64_t, Progress> mProgress;
  std::map<uint64_t, ProposalId> mProposals;
  uint64_t mTermStart = 0;
  bool mReady = false;
  Instant mLeaderSince{};
  Instant mHeartbeatDue{};
  std::optional<Transfer> mTransfer;

  std::vector<Effect> mEffects;
};

} // namespace rattandyke::consensus
