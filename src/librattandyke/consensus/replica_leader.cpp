#include "consensus/replica.h"

#include <algorithm>

namespace rattandyke::consensus {

namespace {

uint64_t
ToWire(Instant aInstant)
{
  return aInstant.time_since_epoch().count();
}

Instant
FromWire(uint64_t aInstant)
{
  return Instant{ Duration{ static_cast<Duration::rep>(aInstant) } };
}

/// Unacknowledged entries up to which a learner counts as caught up.
constexpr uint64_t kCaughtUpWithin = 64;

} // namespace

uint64_t
Replica::AppendOwn(wire::EntryKind aKind, std::string aPayload)
{
  wire::LogEntry entry;
  entry.set_index(mLog.LastIndex() + 1);
  entry.set_term(mTerm);
  entry.set_kind(aKind);
  entry.set_payload(std::move(aPayload));
  AppendToLog(std::move(entry));
  return mLog.LastIndex();
}

void
Replica::SyncProgressWithMembers()
{
  std::erase_if(mProgress, [&](const auto& aItem) {
    return FindMember(Members(), aItem.first) == nullptr;
  });
  for (const wire::GroupMember& member : Members().members()) {
    if (member.identity() == mSelf || mProgress.contains(member.identity())) {
      continue;
    }
    Progress progress;
    progress.next = mLog.LastIndex() + 1;
    progress.heardAt = mNow;
    mProgress.emplace(member.identity(), std::move(progress));
  }
}

Replica::Progress*
Replica::ProgressOf(uint64_t aIdentity)
{
  const auto found = mProgress.find(aIdentity);
  return found == mProgress.end() ? nullptr : &found->second;
}

void
Replica::BroadcastHeartbeats()
{
  mHeartbeatDue = mNow + mOptions.heartbeatInterval;
  for (const wire::GroupMember& member : Members().members()) {
    if (Progress* progress = ProgressOf(member.identity())) {
      SendHeartbeat(member, *progress);
    }
  }
  if (mTransfer && mTransfer->asked) {
    SendElectNow();
  }
}

void
Replica::SendHeartbeat(const wire::GroupMember& aMember, Progress& aProgress)
{
  // The answer to the last probe may be lost; the next one may go out.
  aProgress.probeSent = false;
  // A follower that answered none of the appends in flight learns from the
  // heartbeat that it lacks them. If the log in front of them is compacted by
  // then, no heartbeat can tell it so: it needs the snapshot.
  if (aProgress.mode != Progress::Mode::Snapshot &&
      !mLog.TermAt(aProgress.next - 1)) {
    StartSnapshot(aMember, aProgress);
  }
  const uint64_t previous =
    aProgress.mode == Progress::Mode::Snapshot ? 0 : aProgress.next - 1;
  const auto term = previous == 0 ? 0 : mLog.TermAt(previous);
  wire::ConsensusMessage message = NewMessage(aMember.identity());
  wire::AppendRequest* request = message.mutable_append_request();
  request->set_previous_index(term ? previous : 0);
  request->set_previous_term(term.value_or(0));
  request->set_commit_index(mCommit);
  request->set_sent_at(ToWire(mNow));
  SendNow({ HostName{ aMember.name() }, std::move(message) });
  const bool stalled =
    mNow - aProgress.chunkSentAt >= 4 * mOptions.heartbeatInterval;
  if (aProgress.mode == Progress::Mode::Snapshot && stalled) {
    SendChunk(aMember, aProgress);
  }
}

void
Replica::Replicate()
{
  for (const wire::GroupMember& member : Members().members()) {
    if (Progress* progress = ProgressOf(member.identity())) {
      ReplicateTo(member, *progress);
    }
  }
}

void
Replica::ReplicateTo(const wire::GroupMember& aMember, Progress& aProgress)
{
  while (MaySend(aProgress)) {
    SendEntries(aMember, aProgress);
  }
}

bool
Replica::MaySend(const Progress& aProgress) const
{
  if (aProgress.next > mLog.LastIndex()) {
    return false;
  }
  switch (aProgress.mode) {
    case Progress::Mode::Probe:
      return !aProgress.probeSent;
    case Progress::Mode::Replicate:
      return aProgress.inFlight.size() < mOptions.maxAppendsInFlight;
    case Progress::Mode::Snapshot:
      return false;
  }
  return false;
}

void
Replica::SendEntries(const wire::GroupMember& aMember, Progress& aProgress)
{
  const auto previousTerm = mLog.TermAt(aProgress.next - 1);
  if (!previousTerm) {
    StartSnapshot(aMember, aProgress);
    return;
  }
  wire::ConsensusMessage message = NewMessage(aMember.identity());
  wire::AppendRequest* request = message.mutable_append_request();
  request->set_previous_index(aProgress.next - 1);
  request->set_previous_term(*previousTerm);
  request->set_commit_index(mCommit);
  request->set_sent_at(ToWire(mNow));
  uint64_t index = aProgress.next;
  size_t bytes = 0;
  while (index <= mLog.LastIndex() && bytes < mOptions.maxBytesPerAppend) {
    const wire::LogEntry& entry = mLog.At(index);
    bytes += entry.payload().size();
    *request->add_entries() = entry;
    ++index;
  }
  if (aProgress.mode == Progress::Mode::Replicate) {
    aProgress.next = index;
    aProgress.inFlight.push_back(index - 1);
  } else {
    aProgress.probeSent = true;
  }
  SendNow({ HostName{ aMember.name() }, std::move(message) });
}

void
Replica::StartSnapshot(const wire::GroupMember& aMember, Progress& aProgress)
{
  aProgress.mode = Progress::Mode::Snapshot;
  aProgress.snapshot = mSnapshot;
  aProgress.snapshotOffset = 0;
  aProgress.inFlight.clear();
  SendChunk(aMember, aProgress);
}

void
Replica::SendChunk(const wire::GroupMember& aMember, Progress& aProgress)
{
  const std::string& data = *aProgress.snapshot->data;
  wire::ConsensusMessage message = NewMessage(aMember.identity());
  wire::SnapshotChunk* chunk = message.mutable_snapshot_chunk();
  *chunk->mutable_meta() = aProgress.snapshot->meta;
  chunk->set_offset(aProgress.snapshotOffset);
  chunk->set_total(data.size());
  chunk->set_data(
    data.substr(aProgress.snapshotOffset, mOptions.snapshotChunkBytes));
  chunk->set_sent_at(ToWire(mNow));
  aProgress.chunkSentAt = mNow;
  SendNow({ HostName{ aMember.name() }, std::move(message) });
}

void
Replica::OnAppendReply(const wire::ConsensusMessage& aMessage)
{
  Progress* progress = ProgressOf(aMessage.from());
  if (mRole != Role::Leader || progress == nullptr) {
    return;
  }
  const wire::AppendReply& reply = aMessage.append_reply();
  NoteAnswer(*progress, reply.sent_at());
  if (reply.rejected()) {
    OnRejected(*progress, reply.match_index());
    return;
  }
  OnAccepted(*progress, reply.match_index());
  AdvanceLeaderCommit();
  ContinueTransfer();
}

void
Replica::NoteAnswer(Progress& aProgress, uint64_t aSentAt)
{
  aProgress.heardAt = mNow;
  aProgress.answered =
    std::max(aProgress.answered, std::make_optional(FromWire(aSentAt)));
}

void
Replica::OnRejected(Progress& aProgress, uint64_t aHint)
{
  if (aProgress.mode == Progress::Mode::Snapshot) {
    return;
  }
  const uint64_t next = std::min(aProgress.next, aHint + 1);
  aProgress.next = std::max(next, aProgress.match + 1);
  aProgress.mode = Progress::Mode::Probe;
  aProgress.probeSent = false;
  aProgress.inFlight.clear();
}

void
Replica::OnAccepted(Progress& aProgress, uint64_t aMatch)
{
  aProgress.match = std::max(aProgress.match, aMatch);
  aProgress.next = std::max(aProgress.next, aProgress.match + 1);
  std::erase_if(aProgress.inFlight,
                [&](uint64_t aLast) { return aLast <= aProgress.match; });
  if (aProgress.mode == Progress::Mode::Snapshot) {
    if (aProgress.match < aProgress.snapshot->meta.index()) {
      return;
    }
    aProgress.snapshot.reset();
  }
  aProgress.mode = Progress::Mode::Replicate;
}

void
Replica::OnSnapshotReply(const wire::ConsensusMessage& aMessage)
{
  Progress* progress = ProgressOf(aMessage.from());
  if (mRole != Role::Leader || progress == nullptr) {
    return;
  }
  const wire::SnapshotReply& reply = aMessage.snapshot_reply();
  NoteAnswer(*progress, reply.sent_at());
  const bool current = progress->mode == Progress::Mode::Snapshot &&
                       progress->snapshot->meta.index() == reply.index() &&
                       reply.received() <= progress->snapshot->data->size();
  if (!current || reply.received() == progress->snapshotOffset) {
    return;
  }
  progress->snapshotOffset = reply.received();
  if (reply.received() < progress->snapshot->data->size()) {
    SendChunk(*FindMember(Members(), aMessage.from()), *progress);
  }
}

void
Replica::AdvanceLeaderCommit()
{
  const uint64_t reached =
    MajorityValue(Members(), [&](const wire::GroupMember& aMember) -> uint64_t {
      if (aMember.identity() == mSelf) {
        return mSyncedIndex;
      }
      const Progress* progress = ProgressOf(aMember.identity());
      return progress == nullptr ? 0 : progress->match;
    });
  if (reached > mCommit && mLog.TermAt(reached) == mTerm) {
    AdvanceCommit(reached);
  }
}

void
Replica::On(const ChangeMembership& aEvent)
{
  const auto refuse = [&](Code aCode, std::string aWhy) {
    mEffects.push_back(ProposalFailed{ aEvent.id, { aCode, std::move(aWhy) } });
  };
  // Before an entry of its own term is committed, an older change may still be
  // pending that this leader can't see; two changes at once could leave two
  // majorities that share no voter.
  if (mRole != Role::Leader || !mReady || mTransfer) {
    return refuse(Code::NotLeader, "This control host does not lead.");
  }
  if (mHistory.CurrentIndex() > mCommit) {
    return refuse(Code::RevisionConflict,
                  "Another change of the membership is not committed yet.");
  }
  const auto changed = std::visit(
    [this](const auto& aChange) { return Changed(aChange); }, aEvent.change);
  if (!changed) {
    return refuse(changed.error().code, changed.error().message);
  }
  const uint64_t index =
    AppendOwn(wire::ENTRY_KIND_CONFIGURATION, changed->SerializeAsString());
  mProposals[index] = aEvent.id;
  SyncProgressWithMembers();
  AdvanceLeaderCommit();
}

Result<wire::Configuration>
Replica::Changed(const AddLearner& aChange) const
{
  if (FindMember(Members(), aChange.identity.value) != nullptr) {
    return Fail(Code::RevisionConflict, "The host is a member already.");
  }
  wire::Configuration changed = Members();
  wire::GroupMember* member = changed.add_members();
  member->set_identity(aChange.identity.value);
  member->set_name(aChange.member.name.value);
  member->set_address(aChange.member.address.address);
  member->set_port(aChange.member.address.port);
  return changed;
}

Result<wire::Configuration>
Replica::Changed(const PromoteLearner& aChange) const
{
  const auto found = mProgress.find(aChange.identity.value);
  // A voter that still lacks the log would count towards the number of hosts
  // but not towards what survives; the next loss could lose the group.
  if (found == mProgress.end() || found->second.match < mTermStart ||
      found->second.match + kCaughtUpWithin < mLog.LastIndex()) {
    return Fail(Code::RevisionConflict, "The host has not caught up yet.");
  }
  wire::Configuration changed = Members();
  for (wire::GroupMember& member : *changed.mutable_members()) {
    if (member.identity() == aChange.identity.value) {
      member.set_voter(true);
    }
  }
  return changed;
}

Result<wire::Configuration>
Replica::Changed(const RemoveMember& aChange) const
{
  wire::Configuration changed = Members();
  auto* members = changed.mutable_members();
  const auto removed = std::remove_if(
    members->begin(), members->end(), [&](const wire::GroupMember& aMember) {
      return aMember.identity() == aChange.identity.value;
    });
  if (removed == members->end()) {
    return Fail(Code::RevisionConflict, "The host is not a member.");
  }
  members->erase(removed, members->end());
  if (VoterCount(changed) == 0) {
    return Fail(Code::RevisionConflict, "The last voter can't be removed.");
  }
  return changed;
}

void
Replica::On(const TransferLeadership&)
{
  if (!mReady || mTransfer) {
    mEffects.push_back(TransferEnded{});
    return;
  }
  const Progress* best = nullptr;
  for (const wire::GroupMember& member : Members().members()) {
    const Progress* progress = ProgressOf(member.identity());
    const bool reachable =
      member.voter() && progress != nullptr &&
      mNow - progress->heardAt <= mOptions.electionTimeoutMin;
    if (reachable && (best == nullptr || progress->match > best->match)) {
      best = progress;
      mTransfer =
        Transfer{ member.identity(), mNow + mOptions.electionTimeoutMax };
    }
  }
  if (best == nullptr) {
    mEffects.push_back(TransferEnded{});
    return;
  }
  ContinueTransfer();
}

void
Replica::ContinueTransfer()
{
  if (!mTransfer || mTransfer->asked) {
    return;
  }
  const Progress* progress = ProgressOf(mTransfer->target);
  const wire::GroupMember* member = FindMember(Members(), mTransfer->target);
  // Handing over earlier would drop proposals that are about to be committed.
  const bool complete = progress != nullptr && member != nullptr &&
                        progress->match == mLog.LastIndex() &&
                        mCommit == mLog.LastIndex();
  if (!complete) {
    return;
  }
  mTransfer->asked = true;
  // The election that follows does not wait for this leader's contact with a
  // majority to grow old; the owner must have stopped acting on it by then.
  if (std::exchange(mReady, false)) {
    mEffects.push_back(LeadershipLost{});
  }
  SendElectNow();
}

void
Replica::SendElectNow()
{
  const wire::GroupMember* member = FindMember(Members(), mTransfer->target);
  if (member == nullptr) {
    return;
  }
  wire::ConsensusMessage message = NewMessage(mTransfer->target);
  message.mutable_elect_now();
  SendNow({ HostName{ member->name() }, std::move(message) });
}

} // namespace rattandyke::consensus
