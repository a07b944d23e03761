#include "testing/control_group.h"

#include <algorithm>

namespace rattandyke::testing {

namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms kBeat{ 10 };
constexpr Ms kTick{ 10 };
constexpr Ms kLeastSync{ 1 };
constexpr Ms kMostSync{ 6 };
constexpr Ms kElectionTimeoutMax{ 450 };

} // namespace

ControlGroup::ControlGroup(ControlNetwork& aNetwork,
                           control::LeaseOptions aOptions,
                           std::vector<Node*> aNodes,
                           SendReply aSend)
  : mNetwork(aNetwork)
  , mOptions(aOptions)
  , mSend(std::move(aSend))
  , mMembers(aNodes.size())
{
  for (size_t at = 0; at < aNodes.size(); ++at) {
    mMembers[at].node = aNodes[at];
  }
}

WallTime
ControlGroup::Wall() const
{
  return WallTime{ std::chrono::duration_cast<Ms>(
    mNetwork.Now().time_since_epoch()) };
}

void
ControlGroup::Start()
{
  for (size_t at = 0; at < mMembers.size(); ++at) {
    Restart(at);
  }
  Beat();
}

void
ControlGroup::Restart(size_t aMember)
{
  Member& member = mMembers[aMember];
  member.state = std::make_unique<control::State>();
  member.coordinator = std::make_unique<control::Coordinator>(
    HostName{ member.node->name }, mOptions, *member.state);
  member.applied = 0;
  member.leads.reset();
  member.contact.reset();
  // A host that starts has to be taken to have heard a leader just before.
  member.heardLeader = mNetwork.Local(*member.node);
  member.patience =
    mNetwork.Between(mOptions.electionTimeoutMin, kElectionTimeoutMax);
  if (mLeader == aMember) {
    mLeader.reset();
  }
  ArmTick(aMember);
}

void
ControlGroup::ArmTick(size_t aMember)
{
  Member& member = mMembers[aMember];
  mNetwork.After(*member.node, kTick, [this, aMember] {
    Step(aMember, control::Tick{ Wall() });
    ArmTick(aMember);
  });
}

void
ControlGroup::Beat()
{
  for (size_t at = 0; at < mMembers.size(); ++at) {
    if (mMembers[at].leads && mNetwork.IsRunning(*mMembers[at].node)) {
      BeatLeader(mMembers[at], at);
    }
  }
  Commit();
  Elect();
  mNetwork.time.After(kBeat, [this] { Beat(); });
}

void
ControlGroup::BeatLeader(Member& aLeader, size_t aIndex)
{
  size_t reached = 1;
  for (size_t at = 0; at < mMembers.size(); ++at) {
    Member& other = mMembers[at];
    if (at == aIndex || !mNetwork.AreInTouch(*aLeader.node, *other.node)) {
      continue;
    }
    if (mLeader != aIndex) {
      // Somebody of a newer term, or who knows of one, answers.
      return StepDown(aLeader);
    }
    ++reached;
    other.heardLeader = mNetwork.Local(*other.node);
    CatchUp(at);
  }
  const Instant local = mNetwork.Local(*aLeader.node);
  if (reached >= Majority()) {
    aLeader.contact = local;
    aLeader.heardLeader = local;
  } else if (!aLeader.contact ||
             local - *aLeader.contact > kElectionTimeoutMax) {
    StepDown(aLeader);
  }
}

void
ControlGroup::StepDown(Member& aMember)
{
  const auto index = static_cast<size_t>(&aMember - mMembers.data());
  if (mLeader == index) {
    mLeader.reset();
  }
  aMember.leads.reset();
  aMember.contact.reset();
  Step(index, control::SteppedDown{});
}

void
ControlGroup::CatchUp(size_t aMember)
{
  Member& member = mMembers[aMember];
  member.stored = mLog.size();
  while (member.applied < mLog.size()) {
    const wire::Command& command = mLog[member.applied];
    ++member.applied;
    const auto result =
      member.state->Apply(LogIndex{ member.applied }, command);
    Step(aMember, control::Applied{ result.tableChanged });
  }
}

void
ControlGroup::Commit()
{
  while (!mPending.empty() && mPending.front().due <= mNetwork.Now()) {
    Pending& pending = mPending.front();
    Member& proposer = mMembers[pending.proposer];
    if (proposer.leads != pending.term || mLeader != pending.proposer) {
      mPending.pop_front();
      continue;
    }
    if (!mNetwork.IsRunning(*proposer.node)) {
      return;
    }
    size_t reached = 1;
    pending.sent[pending.proposer] = true;
    for (size_t at = 0; at < mMembers.size(); ++at) {
      if (at != pending.proposer &&
          mNetwork.AreInTouch(*proposer.node, *mMembers[at].node)) {
        pending.sent[at] = true;
        ++reached;
      }
    }
    if (reached < Majority()) {
      return;
    }
    Pending committed = std::move(pending);
    mPending.pop_front();
    Append(std::move(committed));
  }
}

void
ControlGroup::Append(Pending aPending)
{
  mLog.push_back(std::move(aPending.command));
  for (size_t at = 0; at < mMembers.size(); ++at) {
    if (aPending.sent[at]) {
      mMembers[at].stored = mLog.size();
    }
  }
  Member& proposer = mMembers[aPending.proposer];
  if (proposer.leads == aPending.term) {
    CatchUp(aPending.proposer);
    Step(aPending.proposer, control::ProposalDone{ aPending.id });
  }
}

bool
ControlGroup::CanWin(size_t aMember) const
{
  const Member& candidate = mMembers[aMember];
  if (!mNetwork.IsRunning(*candidate.node) || candidate.leads) {
    return false;
  }
  const Instant local = mNetwork.Local(*candidate.node);
  if (local - candidate.heardLeader < candidate.patience) {
    return false;
  }
  size_t votes = 1;
  for (size_t at = 0; at < mMembers.size(); ++at) {
    const Member& voter = mMembers[at];
    if (at == aMember || !mNetwork.AreInTouch(*candidate.node, *voter.node)) {
      continue;
    }
    const Duration silent = mNetwork.Local(*voter.node) - voter.heardLeader;
    const bool grants = silent >= mOptions.electionTimeoutMin &&
                        voter.stored <= candidate.stored && !voter.leads;
    votes += grants ? 1 : 0;
  }
  return votes >= Majority();
}

void
ControlGroup::Elect()
{
  for (size_t at = 0; at < mMembers.size(); ++at) {
    if (CanWin(at)) {
      return Win(at);
    }
  }
}

void
ControlGroup::Win(size_t aMember)
{
  Member& winner = mMembers[aMember];
  // What the leader before appended on this host's disk is committed with the
  // new term; the rest of it is gone.
  while (!mPending.empty()) {
    Pending pending = std::move(mPending.front());
    mPending.pop_front();
    if (!pending.sent[aMember]) {
      mPending.clear();
      break;
    }
    Append(std::move(pending));
  }
  winner.stored = mLog.size();
  mLeader = aMember;
  winner.leads = ++mTerm;
  winner.contact = mNetwork.Local(*winner.node);
  winner.heardLeader = *winner.contact;
  CatchUp(aMember);
  Step(aMember, control::BecameLeader{ mTerm, *winner.contact });
}

void
ControlGroup::Receive(size_t aMember, const wire::Heartbeat& aHeartbeat)
{
  Member& member = mMembers[aMember];
  if (member.leads) {
    return Step(aMember, control::HeartbeatReceived{ aHeartbeat });
  }
  wire::HeartbeatReply refusal;
  refusal.set_host(aHeartbeat.host());
  refusal.set_session(aHeartbeat.session());
  refusal.set_sequence(aHeartbeat.sequence());
  mSend(member, std::move(refusal));
}

void
ControlGroup::Step(size_t aMember, const control::Event& aEvent)
{
  Member& member = mMembers[aMember];
  const Instant local = mNetwork.Local(*member.node);
  std::vector<control::Effect> effects;
  if (member.leads && member.contact) {
    effects = member.coordinator->Step(
      control::QuorumConfirmed{ *member.contact }, local);
  }
  for (control::Effect& effect : member.coordinator->Step(aEvent, local)) {
    effects.push_back(std::move(effect));
  }
  for (control::Effect& effect : effects) {
    if (auto* reply = std::get_if<control::Reply>(&effect)) {
      mSend(member, std::move(reply->reply));
    } else if (auto* propose = std::get_if<control::Propose>(&effect)) {
      Pending pending;
      pending.term = member.leads.value_or(0);
      pending.proposer = aMember;
      pending.id = propose->id;
      pending.command = std::move(propose->command);
      pending.command.set_proposed_unix_ms(Wall().time_since_epoch().count());
      pending.sent.resize(mMembers.size());
      pending.due = mNetwork.Now() + mNetwork.Between(kLeastSync, kMostSync);
      if (!mPending.empty()) {
        pending.due = std::max(pending.due, mPending.back().due);
      }
      mPending.push_back(std::move(pending));
    }
  }
}

void
ControlGroup::Submit(const wire::Command& aCommand)
{
  if (!mLeader) {
    return;
  }
  Pending pending;
  pending.term = *mMembers[*mLeader].leads;
  pending.proposer = *mLeader;
  pending.command = aCommand;
  pending.command.set_proposed_unix_ms(Wall().time_since_epoch().count());
  pending.sent.resize(mMembers.size());
  pending.due = mNetwork.Now() + mNetwork.Between(kLeastSync, kMostSync);
  if (!mPending.empty()) {
    pending.due = std::max(pending.due, mPending.back().due);
  }
  mPending.push_back(std::move(pending));
}

} // namespace rattandyke::testing
