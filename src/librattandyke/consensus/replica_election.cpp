#include "consensus/replica.h"

#include <algorithm>
#include <utility>

namespace rattandyke::consensus {

namespace {

/// A host that asks in vain whether it could win asks again after a fifth to
/// a half of the least election timeout.
constexpr int kLeastAskPart = 5;
constexpr int kMostAskPart = 2;
/// Longest time of a sync that elections wait for, in election timeouts.
constexpr int kMaxSyncTimeouts = 4;

} // namespace

void
Replica::ResetElectionTimer()
{
  const Duration longest =
    std::max(mOptions.electionTimeoutMin, mOptions.electionTimeoutMax);
  std::uniform_int_distribution<Duration::rep> wait(
    mOptions.electionTimeoutMin.count(), longest.count());
  mElectionDue = mNow + Duration{ wait(mRandom) };
}

/// Safeguard: the first to miss the leader asks the others while these still
/// count as having heard it, or before enough hosts are up again. With a whole
/// election timeout until the next attempt the group would be without a leader
/// for that much longer; the question changes no term, so it may come often.
void
Replica::AskAgainSoon()
{
  std::uniform_int_distribution<Duration::rep> wait(
    (mOptions.electionTimeoutMin / kLeastAskPart).count(),
    (mOptions.electionTimeoutMin / kMostAskPart).count());
  mElectionDue = mNow + Duration{ wait(mRandom) };
}

/// Safeguard: a host whose thread was busy finds the timer run out while the
/// leader's heartbeats lie unread in its sockets. Several such hosts would
/// depose a leader that never stood still.
bool
Replica::CatchesUp()
{
  const bool heldUp = mOptions.heldUpAfter > Duration::zero() &&
                      mNow - mElectionDue >= mOptions.heldUpAfter;
  if (!heldUp || std::exchange(mCaughtUp, true)) {
    return false;
  }
  mElectionDue = mNow + mOptions.catchUpTime;
  return true;
}

void
Replica::OnElectionTimeout()
{
  ResetElectionTimer();
  mLeaderName.reset();
  // Another candidacy would have to wait for the same disk, and would make the
  // votes void that are on their way.
  const bool votes = mVote != 0 && !IsHardStateDurable();
  if (mWritable && !votes && IsVoter(Members(), mSelf)) {
    StartPreVote();
  }
}

void
Replica::StartPreVote()
{
  // A host that was cut off would otherwise come back with a high term and
  // depose a working leader: it asks first whether it could win, which changes
  // no term.
  mRole = Role::PreCandidate;
  AskAgainSoon();
  mPreVotes = { mSelf };
  if (IsMajority(mPreVotes)) {
    StartElection(false);
    return;
  }
  RequestVotes(true, false);
}

void
Replica::StartElection(bool aTransfer)
{
  mRole = Role::Candidate;
  mLeaderName.reset();
  ++mTerm;
  mVote = mSelf;
  mVotedAt = mNow;
  mVotes.clear();
  PersistHardState();
  ResetElectionTimer();
  // Its own vote counts like any other only once it is on the disk.
  wire::ConsensusMessage own = NewMessage(mSelf);
  own.mutable_vote_reply()->set_granted(true);
  SendWhenDurable({ mName, std::move(own) });
  RequestVotes(false, aTransfer);
}

void
Replica::RequestVotes(bool aPreVote, bool aTransfer)
{
  for (const wire::GroupMember& member : Members().members()) {
    if (!member.voter() || member.identity() == mSelf) {
      continue;
    }
    wire::ConsensusMessage message = NewMessage(member.identity());
    message.set_term(aPreVote ? mTerm + 1 : mTerm);
    wire::VoteRequest* request = message.mutable_vote_request();
    request->set_pre_vote(aPreVote);
    request->set_transfer(aTransfer);
    request->set_last_index(mLog.LastIndex());
    request->set_last_term(mLog.LastTerm());
    SendWhenDurable({ HostName{ member.name() }, std::move(message) });
  }
}

void
Replica::OnVoteRequest(const wire::ConsensusMessage& aMessage)
{
  const wire::VoteRequest& request = aMessage.vote_request();
  wire::ConsensusMessage reply = NewMessage(aMessage.from());
  reply.mutable_vote_reply()->set_pre_vote(request.pre_vote());
  if (request.pre_vote()) {
    // Safeguard: the leader that this host has just voted for is about to say
    // so. Encouraged now, another host would depose it, and the group would be
    // without a leader for one more election.
    const bool leaderExpected = HeardLeaderRecently() || VotedRecently();
    const bool granted =
      aMessage.term() > mTerm && !leaderExpected && IsUpToDate(request);
    reply.mutable_vote_reply()->set_granted(granted);
    reply.set_term(granted ? aMessage.term() : mTerm);
    SendNow(ReplyTo(aMessage, std::move(reply)));
    return;
  }
  const bool free = mVote == 0 || mVote == aMessage.from();
  const bool granted = free && IsUpToDate(request);
  if (granted && mVote == 0) {
    mVote = aMessage.from();
    PersistHardState();
  }
  if (granted) {
    mVotedAt = mNow;
    ResetElectionTimer();
  }
  reply.mutable_vote_reply()->set_granted(granted);
  SendWhenDurable(ReplyTo(aMessage, std::move(reply)));
}

void
Replica::OnVoteReply(const wire::ConsensusMessage& aMessage)
{
  const wire::VoteReply& reply = aMessage.vote_reply();
  const uint64_t term = reply.pre_vote() ? mTerm + 1 : mTerm;
  if (!reply.granted() || aMessage.term() != term) {
    return;
  }
  if (reply.pre_vote()) {
    mPreVotes.insert(aMessage.from());
    if (mRole == Role::PreCandidate && IsMajority(mPreVotes)) {
      StartElection(false);
    }
    return;
  }
  // A vote may arrive after the candidate's timer has run out, as the voter's
  // disk is slow. Its own vote shows that it stood in this term and has not led
  // since: a leader that stood down must not lead again in the same term.
  const bool stands = mRole == Role::Candidate ||
                      (mRole == Role::PreCandidate && mVotes.contains(mSelf));
  if (!stands) {
    return;
  }
  mVotes.insert(aMessage.from());
  if (IsMajority(mVotes)) {
    BecomeLeader();
  }
}

bool
Replica::IsMajority(const std::set<uint64_t>& aVotes) const
{
  const auto votes =
    std::count_if(aVotes.begin(), aVotes.end(), [&](uint64_t aIdentity) {
      return IsVoter(Members(), aIdentity);
    });
  return static_cast<size_t>(votes) >= Majority(Members());
}

/// What was waited for is the disk so far. The votes of the others, or the
/// leader that was voted for, are to be expected from now on.
void
Replica::OnVoteDurable()
{
  if (mLeaderName) {
    return;
  }
  mVotedAt = mNow;
  ResetElectionTimer();
  mElectionDue += DiskTimeOfElection();
}

Duration
Replica::DiskTimeOfElection() const
{
  return 2 *
         std::min(mSyncTime, kMaxSyncTimeouts * mOptions.electionTimeoutMin);
}

void
Replica::BecomeFollower(uint64_t aTerm)
{
  if (aTerm > mTerm) {
    mTerm = aTerm;
    mVote = 0;
    PersistHardState();
  }
  if (mRole == Role::Follower) {
    return;
  }
  const bool led = mRole == Role::Leader;
  mRole = Role::Follower;
  mLeaderName.reset();
  mVotes.clear();
  ResetElectionTimer();
  if (led) {
    FailProposals();
    EndTransfer();
    mProgress.clear();
  }
  if (std::exchange(mReady, false)) {
    mEffects.push_back(LeadershipLost{});
  }
}

void
Replica::BecomeLeader()
{
  mRole = Role::Leader;
  mLeaderName = mName;
  mLeaderSince = mNow;
  mVotes.clear();
  SyncProgressWithMembers();
  // Entries of earlier terms are committed only together with one of its own;
  // counting their copies alone can lose them to a later leader.
  mTermStart = AppendOwn(wire::ENTRY_KIND_NO_OP, {});
  BroadcastHeartbeats();
}

void
Replica::FollowLeader(const wire::ConsensusMessage& aMessage)
{
  BecomeFollower(mTerm);
  mLeaderName = HostName{ aMessage.from_name() };
  mHeardLeaderAt = mNow;
  mCaughtUp = false;
  ResetElectionTimer();
}

bool
Replica::HeardLeaderRecently() const
{
  if (mRole == Role::Leader) {
    return true;
  }
  return mHeardLeaderAt && mNow - *mHeardLeaderAt < mOptions.electionTimeoutMin;
}

bool
Replica::VotedRecently() const
{
  return mVotedAt &&
         mNow - *mVotedAt < mOptions.electionTimeoutMin + DiskTimeOfElection();
}

bool
Replica::IsUpToDate(const wire::VoteRequest& aRequest) const
{
  if (aRequest.last_term() != mLog.LastTerm()) {
    return aRequest.last_term() > mLog.LastTerm();
  }
  return aRequest.last_index() >= mLog.LastIndex();
}

void
Replica::CheckQuorum()
{
  if (mRole != Role::Leader) {
    return;
  }
  // A leader cut off from the majority would go on refusing elections to those
  // who still hear it, and keep callers waiting for commits that can't come.
  const Instant contact =
    std::max(AnsweredByMajority(mNow).value_or(mLeaderSince), mLeaderSince);
  if (mNow - contact > mOptions.electionTimeoutMax) {
    BecomeFollower(mTerm);
  }
}

void
Replica::FailProposals()
{
  for (const auto& [index, id] : mProposals) {
    mEffects.push_back(ProposalFailed{
      id, { Code::ProposalDropped, "Leadership changed before the commit." } });
  }
  mProposals.clear();
}

void
Replica::EndTransfer()
{
  if (mTransfer) {
    mTransfer.reset();
    mEffects.push_back(TransferEnded{});
  }
}

} // namespace rattandyke::consensus
