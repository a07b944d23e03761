#include "testing/replica_group.h"

#include <algorithm>
#include <sstream>

#include "testing/replica_group_impl.h"

namespace rattandyke::testing {

namespace {

constexpr Duration kSettleLimit = std::chrono::seconds{ 30 };
constexpr Duration kSettleCheck = std::chrono::milliseconds{ 50 };

} // namespace

void
ReplicaGroup::Impl::CrashAll()
{
  for (SimulatedHost& host : mHosts) {
    if (host.participant) {
      Crash(host);
    }
  }
}

void
ReplicaGroup::Impl::LoseDisk(SimulatedHost& aHost)
{
  if (!MayLose(aHost)) {
    return;
  }
  Crash(aHost);
  aHost.disk = DiskModel{};
  aHost.identity = ++mLastIdentity;
  aHost.members.Clear();
  Start(aHost);
}

bool
ReplicaGroup::Impl::MayLose(const SimulatedHost& aHost) const
{
  if (mInvariants.CommittedMembers().members_size() == 0) {
    return false;
  }
  std::set<uint64_t> left;
  for (const SimulatedHost& host : mHosts) {
    left.insert(host.identity);
  }
  left.erase(aHost.identity);
  return std::all_of(mHosts.begin(),
                     mHosts.end(),
                     [&](const auto& aHost) {
                       return AffordableWithSpares(aHost.members, left);
                     }) &&
         AffordableWithSpares(mInvariants.CommittedMembers(), left);
}

bool
ReplicaGroup::Impl::Affordable(const wire::Configuration& aMembers,
                               const std::set<uint64_t>& aLeft)
{
  size_t there = 0;
  for (const wire::GroupMember& member : aMembers.members()) {
    there += member.voter() && aLeft.contains(member.identity()) ? 1 : 0;
  }
  return aMembers.members_size() == 0 || there >= consensus::Majority(aMembers);
}

bool
ReplicaGroup::Impl::AffordableWithSpares(const wire::Configuration& aMembers,
                                         const std::set<uint64_t>& aLeft)
{
  bool affordable = Affordable(aMembers, aLeft);
  for (int i = 0; i < aMembers.members_size(); ++i) {
    const std::string& name = aMembers.members(i).name();
    const bool hasVoter =
      std::any_of(aMembers.members().begin(),
                  aMembers.members().end(),
                  [&](const auto& aOther) {
                    return aOther.voter() && aOther.name() == name;
                  });
    if (!hasVoter) {
      wire::Configuration changed = aMembers;
      changed.mutable_members(i)->set_voter(true);
      affordable = affordable && Affordable(changed, aLeft);
    }
  }
  return affordable;
}

void
ReplicaGroup::Impl::FreeDisks()
{
  for (SimulatedHost& host : mHosts) {
    host.full = false;
    if (std::exchange(host.toldFull, false)) {
      Schedule(IndexOf(host), {}, NewStorageChanged(true));
    }
    StartSync(host);
  }
}

void
ReplicaGroup::Impl::Resume()
{
  for (SimulatedHost& host : mHosts) {
    if (!std::exchange(host.paused, false)) {
      continue;
    }
    // What waited may be read before or after the timers run.
    if (Percent(50)) {
      Step(host, consensus::Tick{});
    }
    for (auto& event : std::exchange(host.waiting, {})) {
      Deliver(host, std::move(event));
    }
  }
}

void
ReplicaGroup::Impl::Restart()
{
  for (SimulatedHost& host : mHosts) {
    if (!host.participant) {
      Start(host);
    }
  }
}

bool
ReplicaGroup::Impl::Propose(size_t aCount)
{
  bool proposed = false;
  for (SimulatedHost& host : mHosts) {
    if (host.participant && !host.paused &&
        host.participant->Log().IsReadyLeader()) {
      proposed = true;
      Step(host, NewProposals(aCount));
    }
  }
  return proposed;
}

consensus::Propose
ReplicaGroup::Impl::NewProposals(size_t aCount)
{
  consensus::Propose event;
  for (; aCount > 0; --aCount) {
    ++mLastProposal;
    std::string payload = std::to_string(mLastProposal);
    payload.resize(std::max(payload.size(), mOptions.payloadBytes));
    event.proposals.push_back(
      { consensus::ProposalId{ mLastProposal }, std::move(payload) });
  }
  return event;
}

void
ReplicaGroup::Impl::Transfer()
{
  for (SimulatedHost& host : mHosts) {
    if (!host.paused) {
      Step(host, consensus::TransferLeadership{});
    }
  }
}

void
ReplicaGroup::Impl::Execute(const FaultStep& aStep)
{
  SimulatedHost& host = mHosts[aStep.host % mHosts.size()];
  switch (aStep.kind) {
    case FaultStep::Kind::Run:
      break;
    case FaultStep::Kind::Propose:
      Propose(1);
      break;
    case FaultStep::Kind::Cut:
      mCuts.emplace(IndexOf(host), aStep.other % mHosts.size());
      break;
    case FaultStep::Kind::Heal:
      mCuts.clear();
      break;
    case FaultStep::Kind::Pause:
      host.paused = host.participant != nullptr;
      break;
    case FaultStep::Kind::Resume:
      Resume();
      break;
    case FaultStep::Kind::Crash:
      Crash(host);
      break;
    case FaultStep::Kind::Restart:
      Restart();
      break;
    case FaultStep::Kind::LoseDisk:
      LoseDisk(host);
      break;
    case FaultStep::Kind::Transfer:
      Transfer();
      break;
    case FaultStep::Kind::Lossy:
      mLossy = true;
      break;
    case FaultStep::Kind::Reliable:
      mLossy = false;
      break;
    case FaultStep::Kind::FillDisk:
      host.full = true;
      break;
    case FaultStep::Kind::FreeDisks:
      FreeDisks();
      break;
    case FaultStep::Kind::PowerLoss:
      CrashAll();
      Restart();
      break;
  }
  RunFor(aStep.time);
}

bool
ReplicaGroup::Impl::IsWhole() const
{
  const wire::Configuration& members = mInvariants.CommittedMembers();
  if (members.members_size() != static_cast<int>(mHosts.size())) {
    return false;
  }
  const size_t voters =
    mOptions.replica.voters == 0 ? mHosts.size() : mOptions.replica.voters;
  return consensus::VoterCount(members) == voters &&
         std::all_of(mHosts.begin(), mHosts.end(), [&](const auto& aHost) {
           return consensus::FindMember(members, aHost.identity) != nullptr &&
                  aHost.applied == mInvariants.AppliedCount();
         });
}

bool
ReplicaGroup::Impl::Settle()
{
  mCuts.clear();
  mLossy = false;
  FreeDisks();
  Resume();
  Restart();
  const Instant limit = mNow + kSettleLimit;
  bool proposed = false;
  uint64_t before = 0;
  while (mNow < limit) {
    RunFor(kSettleCheck);
    const uint64_t acknowledged = mInvariants.AcknowledgedCount();
    if (proposed && acknowledged > before && IsWhole()) {
      mReport.acknowledgedLost = LostAnywhere();
      return mReport.acknowledgedLost == 0;
    }
    if (!proposed || acknowledged == before) {
      before = acknowledged;
      proposed = Propose(1);
    }
  }
  mReport.acknowledgedLost = LostAnywhere();
  mInvariants.Violate("the group does not recover:" + Describe());
  return false;
}

std::string
ReplicaGroup::Impl::Describe() const
{
  std::ostringstream text;
  for (const SimulatedHost& host : mHosts) {
    const consensus::Replica& replica = host.participant->Log();
    const auto status = replica.Status(mNow + host.clock);
    text << " [" << host.name.value << " identity " << host.identity << " role "
         << static_cast<int>(status.role) << " term " << status.term.value
         << " base " << replica.Log().BaseIndex() << " last "
         << status.lastIndex.value << " commit " << status.commitIndex.value
         << " applied " << host.applied << " members";
    for (const auto& member : status.members) {
      text << " " << member.identity.value << (member.voter ? "v" : "l")
           << member.match.value;
    }
    text << "]";
  }
  return text.str();
}

uint64_t
ReplicaGroup::Impl::LostAnywhere() const
{
  uint64_t lost = 0;
  for (const SimulatedHost& host : mHosts) {
    lost = std::max(lost, mInvariants.LostIfOnly(host.applied));
  }
  return lost;
}

ReplicaGroup::ReplicaGroup(Options aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}

ReplicaGroup::~ReplicaGroup() = default;

void
ReplicaGroup::Execute(const FaultStep& aStep)
{
  mImpl->Execute(aStep);
}

void
ReplicaGroup::RunFor(Duration aTime)
{
  mImpl->RunFor(aTime);
}

bool
ReplicaGroup::Settle()
{
  return mImpl->Settle();
}

bool
ReplicaGroup::Propose(size_t aCount)
{
  return mImpl->Propose(aCount);
}

void
ReplicaGroup::ResetCounts()
{
  mImpl->mReport = GroupReport{};
}

std::optional<size_t>
ReplicaGroup::Leader() const
{
  std::optional<size_t> leader;
  uint64_t newest = 0;
  for (size_t i = 0; i < mImpl->mHosts.size(); ++i) {
    const auto& participant = mImpl->mHosts[i].participant;
    if (participant && participant->Log().IsReadyLeader() &&
        participant->Log().CurrentTerm().value > newest) {
      newest = participant->Log().CurrentTerm().value;
      leader = i;
    }
  }
  return leader;
}

const consensus::Participant&
ReplicaGroup::Host(size_t aHost) const
{
  return *mImpl->mHosts[aHost].participant;
}

Duration
ReplicaGroup::Elapsed() const
{
  return mImpl->mNow.time_since_epoch();
}

Duration
ReplicaGroup::LastAcknowledgement() const
{
  return mImpl->mAcknowledgedAt.time_since_epoch();
}

GroupReport
ReplicaGroup::Report() const
{
  GroupReport report = mImpl->mReport;
  report.violation = mImpl->mInvariants.Violation();
  report.acknowledged = mImpl->mInvariants.AcknowledgedCount();
  report.committed = mImpl->mInvariants.AppliedCount();
  report.leadersPerTermMax = mImpl->mInvariants.LeadersPerTermMax();
  report.elections = mImpl->mInvariants.Elections();
  return report;
}

} // namespace rattandyke::testing
