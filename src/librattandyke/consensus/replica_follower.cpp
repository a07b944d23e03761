#include "consensus/replica.h"

#include <algorithm>

namespace rattandyke::consensus {

void
Replica::OnAppendRequest(const wire::ConsensusMessage& aMessage)
{
  if (mRole == Role::Leader) {
    return;
  }
  FollowLeader(aMessage);
  ++mAppendsHeard;
  const wire::AppendRequest& request = aMessage.append_request();
  const uint64_t previous = request.previous_index();
  const auto term = mLog.TermAt(previous);
  // Below the base everything is committed, so it meets the leader's log.
  const bool meets =
    previous < mLog.BaseIndex() || term == request.previous_term();
  if (!meets) {
    RecordLeaderCommit(request.commit_index());
    RejectAppend(aMessage, ConflictHint(request));
    return;
  }
  const uint64_t before = mLog.LastIndex();
  const uint64_t lastNew = previous + request.entries_size();
  AppendFromLeader(request);
  AdvanceCommit(
    std::min({ request.commit_index(), lastNew, mLog.LastIndex() }));
  RecordLeaderCommit(request.commit_index());
  const bool appended = mPending.truncateFrom || mLog.LastIndex() > before;
  ReplyToAppend(aMessage, lastNew, appended);
}

/// A follower whose replies are lost still hears the leader, which sends it
/// nothing new until it answers. Only the leader's commit index shows that it
/// is behind.
void
Replica::RecordLeaderCommit(uint64_t aCommit)
{
  if (mLeaderCommitTerm != mTerm) {
    mLeaderCommitTerm = mTerm;
    mLeaderCommit = 0;
  }
  mLeaderCommit = std::max(mLeaderCommit, aCommit);
  if (mLeaderCommit <= mCommit) {
    mBehindSince.reset();
  } else if (!mBehindSince) {
    mBehindSince = mNow;
  }
}

void
Replica::AppendFromLeader(const wire::AppendRequest& aRequest)
{
  for (const wire::LogEntry& entry : aRequest.entries()) {
    if (entry.index() <= mLog.BaseIndex()) {
      continue;
    }
    const auto term = mLog.TermAt(entry.index());
    if (term == entry.term()) {
      continue;
    }
    if (term) {
      TruncateLog(entry.index());
    }
    AppendToLog(entry);
  }
}

void
Replica::ReplyToAppend(const wire::ConsensusMessage& aMessage,
                       uint64_t aLastNew,
                       bool aAppended)
{
  wire::ConsensusMessage reply = NewMessage(aMessage.from());
  wire::AppendReply* body = reply.mutable_append_reply();
  body->set_sent_at(aMessage.append_request().sent_at());
  if (aAppended) {
    body->set_match_index(aLastNew);
    SendWhenDurable(ReplyTo(aMessage, std::move(reply)));
    return;
  }
  // Nothing new to write. It must not wait behind other writes: a slow disk
  // would look like a lost host, and the leader would stand down. Only what
  // is synced already is acknowledged.
  body->set_match_index(std::min(aLastNew, mSyncedIndex));
  if (!IsHardStateDurable()) {
    SendWhenDurable(ReplyTo(aMessage, std::move(reply)));
  } else {
    SendNow(ReplyTo(aMessage, std::move(reply)));
  }
}

void
Replica::RejectAppend(const wire::ConsensusMessage& aMessage, uint64_t aHint)
{
  wire::ConsensusMessage reply = NewMessage(aMessage.from());
  wire::AppendReply* body = reply.mutable_append_reply();
  body->set_rejected(true);
  body->set_match_index(aHint);
  body->set_sent_at(aMessage.append_request().sent_at());
  if (!IsHardStateDurable()) {
    SendWhenDurable(ReplyTo(aMessage, std::move(reply)));
  } else {
    SendNow(ReplyTo(aMessage, std::move(reply)));
  }
}

uint64_t
Replica::ConflictHint(const wire::AppendRequest& aRequest) const
{
  if (aRequest.previous_index() > mLog.LastIndex()) {
    return mLog.LastIndex();
  }
  // Skip the whole term that the leader does not have here.
  uint64_t index = aRequest.previous_index();
  const auto term = mLog.TermAt(index);
  while (index > mCommit && mLog.TermAt(index) == term) {
    --index;
  }
  return index;
}

void
Replica::OnSnapshotChunk(const wire::ConsensusMessage& aMessage)
{
  if (mRole == Role::Leader) {
    return;
  }
  FollowLeader(aMessage);
  const wire::SnapshotChunk& chunk = aMessage.snapshot_chunk();
  if (chunk.meta().index() <= mCommit) {
    wire::ConsensusMessage reply = NewMessage(aMessage.from());
    reply.mutable_append_reply()->set_match_index(
      std::min(mCommit, mSyncedIndex));
    reply.mutable_append_reply()->set_sent_at(chunk.sent_at());
    SendWhenDurable(ReplyTo(aMessage, std::move(reply)));
    return;
  }
  if (!mIncoming || mIncoming->meta.index() != chunk.meta().index() ||
      mIncoming->meta.term() != chunk.meta().term()) {
    mIncoming = Snapshot{ chunk.meta(), nullptr };
    mIncomingData.clear();
  }
  if (chunk.offset() == mIncomingData.size()) {
    mIncomingData += chunk.data();
  }
  wire::ConsensusMessage reply = NewMessage(aMessage.from());
  wire::SnapshotReply* body = reply.mutable_snapshot_reply();
  body->set_index(chunk.meta().index());
  body->set_received(mIncomingData.size());
  body->set_sent_at(chunk.sent_at());
  SendNow(ReplyTo(aMessage, std::move(reply)));
  if (mIncomingData.size() == chunk.total()) {
    InstallSnapshot(aMessage);
  }
}

void
Replica::InstallSnapshot(const wire::ConsensusMessage& aMessage)
{
  Snapshot snapshot = *std::exchange(mIncoming, std::nullopt);
  snapshot.data =
    std::make_shared<const std::string>(std::exchange(mIncomingData, {}));
  const uint64_t index = snapshot.meta.index();
  const bool meets = mLog.TermAt(index) == snapshot.meta.term();
  if (meets) {
    mLog.CompactTo(index);
    mHistory.CompactTo(index);
  } else {
    mLog.Reset(index, snapshot.meta.term());
    mHistory.Reset(index, snapshot.meta.configuration());
    mSyncedIndex = 0;
    mPendingSyncs.clear();
  }
  mPending.snapshot = SaveSnapshot{ snapshot, index + 1, !meets };
  mHasPending = true;
  mSnapshot = std::move(snapshot);
  mSnapshotAsked = false;
  mCommit = mApplied = index;
  mEffects.push_back(LoadSnapshot{ mSnapshot->data });
  wire::ConsensusMessage reply = NewMessage(aMessage.from());
  reply.mutable_append_reply()->set_match_index(index);
  reply.mutable_append_reply()->set_sent_at(
    aMessage.snapshot_chunk().sent_at());
  SendWhenDurable(ReplyTo(aMessage, std::move(reply)));
}

void
Replica::OnElectNow(const wire::ConsensusMessage& aMessage)
{
  if (mRole != Role::Leader && mWritable && IsVoter(Members(), mSelf)) {
    StartElection(true);
  }
}

} // namespace rattandyke::consensus
