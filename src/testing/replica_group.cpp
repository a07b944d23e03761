#include "testing/replica_group.h"

#include <algorithm>
#include <queue>
#include <set>
#include <sstream>

#include "testing/disk_model.h"
#include "testing/invariants.h"

namespace rattandyke::testing {

namespace {

using consensus::Participant;

constexpr Duration kSettleLimit = std::chrono::seconds{ 30 };
constexpr Duration kSettleCheck = std::chrono::milliseconds{ 50 };
constexpr int kLossPercent = 10;
constexpr int kRepeatPercent = 5;
constexpr int kSlowPercent = 10;
constexpr Duration kSlowMax = std::chrono::milliseconds{ 80 };
/// Makes snapshots need several chunks.
constexpr size_t kSnapshotPadding = 64;

struct Occurrence
{
  Instant time;
  uint64_t sequence = 0;
  size_t host = 0;
  uint64_t life = 0;
  std::shared_ptr<consensus::Event> event;
  bool operator<(const Occurrence& aOther) const
  {
    return std::tie(aOther.time, aOther.sequence) < std::tie(time, sequence);
  }
};

struct SimulatedHost
{
  HostName name;
  uint64_t identity = 0;
  std::unique_ptr<Participant> participant;
  DiskModel disk;
  Duration clock{};
  /// Rises with each start, so that events of an earlier life are dropped.
  uint64_t life = 0;
  bool paused = false;
  bool syncing = false;
  bool full = false;
  bool toldFull = false;
  std::vector<std::shared_ptr<consensus::Event>> waiting;
  std::optional<consensus::SnapshotTaken> taken;
  size_t applied = 0;
  wire::Configuration members;
};

} // namespace

struct ReplicaGroup::Impl
{
  explicit Impl(Options aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
    , mInvariants(aOptions.replica.electionTimeoutMin)
    , mHosts(aOptions.hosts)
  {
    for (size_t i = 0; i < mHosts.size(); ++i) {
      mHosts[i].name = HostName{ std::string(1, static_cast<char>('a' + i)) };
      mMembers.push_back({ mHosts[i].name, {} });
    }
    for (SimulatedHost& host : mHosts) {
      host.identity = ++mLastIdentity;
      host.clock = std::chrono::seconds{ 1 + mRandom() % 100000 };
      Start(host);
    }
  }

  size_t IndexOf(const SimulatedHost& aHost) const
  {
    return &aHost - mHosts.data();
  }

  Duration Between(Duration aMin, Duration aMax)
  {
    return aMin + Duration{ static_cast<Duration::rep>(
                    mRandom() % ((aMax - aMin).count() + 1)) };
  }

  bool Percent(int aChance)
  {
    return static_cast<int>(mRandom() % 100) < aChance;
  }

  void Start(SimulatedHost& aHost)
  {
    ++aHost.life;
    aHost.syncing = false;
    aHost.toldFull = false;
    aHost.waiting.clear();
    const consensus::Restored& restored = aHost.disk.Contents();
    aHost.applied = 0;
    if (restored.snapshot) {
      Load(aHost, *restored.snapshot->data);
    }
    aHost.participant = std::make_unique<Participant>(
      Participant::Options{ aHost.name,
                            HostIdentity{ aHost.identity },
                            Endpoint{},
                            mMembers,
                            mOptions.replica },
      restored,
      mRandom(),
      mNow + aHost.clock);
  }

  void Crash(SimulatedHost& aHost)
  {
    aHost.participant.reset();
    aHost.paused = false;
    ++aHost.life;
    aHost.disk.Crash(mRandom);
  }

  void CrashAll()
  {
    for (SimulatedHost& host : mHosts) {
      if (host.participant) {
        Crash(host);
      }
    }
  }

  void LoseDisk(SimulatedHost& aHost)
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

  /// Whether every group that some host believes in could afford this loss.
  bool MayLose(const SimulatedHost& aHost) const
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

  static bool Affordable(const wire::Configuration& aMembers,
                         const std::set<uint64_t>& aLeft)
  {
    size_t there = 0;
    for (const wire::GroupMember& member : aMembers.members()) {
      there += member.voter() && aLeft.contains(member.identity()) ? 1 : 0;
    }
    return aMembers.members_size() == 0 ||
           there >= consensus::Majority(aMembers);
  }

  /// The same of the group with any one spare made a voter: that change may be
  /// under way before the loss is known.
  static bool AffordableWithSpares(const wire::Configuration& aMembers,
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

  void Schedule(size_t aHost,
                Duration aDelay,
                std::shared_ptr<consensus::Event> aEvent)
  {
    mQueue.push({ mNow + aDelay,
                  ++mSequence,
                  aHost,
                  mHosts[aHost].life,
                  std::move(aEvent) });
  }

  void Deliver(SimulatedHost& aHost, std::shared_ptr<consensus::Event> aEvent)
  {
    if (aHost.paused) {
      aHost.waiting.push_back(std::move(aEvent));
      return;
    }
    if (const auto* synced = std::get_if<consensus::Synced>(aEvent.get())) {
      aHost.syncing = false;
      aHost.disk.Sync(synced->ticket);
    }
    Step(aHost, *aEvent);
  }

  void Step(SimulatedHost& aHost, const consensus::Event& aEvent)
  {
    if (!aHost.participant) {
      return;
    }
    const auto effects = aHost.participant->Step(aEvent, mNow + aHost.clock);
    mInvariants.Observe(aHost.participant->Log(), mNow, aHost.clock);
    for (const consensus::Effect& effect : effects) {
      std::visit([&](const auto& aItem) { On(aHost, aItem); }, effect);
    }
    if (auto taken = std::exchange(aHost.taken, {})) {
      Step(aHost, *taken);
    }
    StartSync(aHost);
    aHost.members = aHost.participant->Log().Members();
  }

  void StartSync(SimulatedHost& aHost)
  {
    if (aHost.syncing || !aHost.disk.HasUnsynced()) {
      return;
    }
    if (aHost.full) {
      if (!std::exchange(aHost.toldFull, true)) {
        Schedule(IndexOf(aHost), {}, NewStorageChanged(false));
      }
      return;
    }
    aHost.syncing = true;
    ++mReport.syncs;
    Schedule(IndexOf(aHost),
             Between(mOptions.syncMin, mOptions.syncMax),
             std::make_shared<consensus::Event>(
               consensus::Synced{ aHost.disk.LastWritten() }));
  }

  static std::shared_ptr<consensus::Event> NewStorageChanged(bool aWritable)
  {
    return std::make_shared<consensus::Event>(
      consensus::StorageChanged{ aWritable });
  }

  void FreeDisks()
  {
    for (SimulatedHost& host : mHosts) {
      host.full = false;
      if (std::exchange(host.toldFull, false)) {
        Schedule(IndexOf(host), {}, NewStorageChanged(true));
      }
      StartSync(host);
    }
  }

  void On(SimulatedHost& aHost, const consensus::Send& aEffect)
  {
    ++mReport.messages;
    if (mOptions.countBytes) {
      mReport.bytes += aEffect.message.ByteSizeLong();
    }
    const size_t to = aEffect.to.value[0] - 'a';
    if (mCuts.contains({ IndexOf(aHost), to })) {
      return;
    }
    auto event = std::make_shared<consensus::Event>(
      consensus::MessageReceived{ aEffect.message });
    int copies = 1;
    if (mLossy) {
      copies = Percent(kLossPercent) ? 0 : Percent(kRepeatPercent) ? 2 : 1;
    }
    for (; copies > 0; --copies) {
      Duration delay = Between(mOptions.delayMin, mOptions.delayMax);
      if (mLossy && Percent(kSlowPercent)) {
        delay += Between(Duration{}, kSlowMax);
      }
      Schedule(to, delay, event);
    }
  }

  void On(SimulatedHost& aHost, const consensus::Persist& aEffect)
  {
    aHost.disk.Write(aEffect);
  }

  void On(SimulatedHost& aHost, const consensus::Apply& aEffect)
  {
    mInvariants.Applied(aHost.applied, aEffect.index, aEffect.payload);
    ++aHost.applied;
  }

  void On(SimulatedHost& aHost, const consensus::LoadSnapshot& aEffect)
  {
    Load(aHost, *aEffect.data);
  }

  void On(SimulatedHost& aHost, const consensus::TakeSnapshot& aEffect)
  {
    auto data = std::make_shared<const std::string>(
      std::to_string(aHost.applied) + std::string(kSnapshotPadding, ' '));
    // Stepped once all effects are done, so that batches keep their order.
    aHost.taken = consensus::SnapshotTaken{ aEffect.index, std::move(data) };
  }

  void On(SimulatedHost& aHost, const consensus::ProposalDone& aEffect)
  {
    if (aEffect.id.value != 0) {
      mInvariants.Acknowledged(aEffect.index);
      mAcknowledgedAt = mNow;
    }
  }

  void On(SimulatedHost& aHost, const consensus::LeadershipLost&)
  {
    mInvariants.StoodDown(HostIdentity{ aHost.identity });
  }

  template<typename Other>
  void On(SimulatedHost&, const Other&)
  {
  }

  static void Load(SimulatedHost& aHost, const std::string& aData)
  {
    aHost.applied = std::stoull(aData);
  }

  void RunFor(Duration aTime)
  {
    const Instant end = mNow + aTime;
    while (RunNext(end)) {
    }
    mNow = end;
  }

  /// Runs what is next, if it is due by aEnd.
  bool RunNext(Instant aEnd)
  {
    SimulatedHost* ticking = nullptr;
    Instant due = aEnd;
    for (SimulatedHost& host : mHosts) {
      if (!host.participant || host.paused) {
        continue;
      }
      const Instant deadline = host.participant->NextDeadline() - host.clock;
      if (deadline <= due) {
        due = deadline;
        ticking = &host;
      }
    }
    if (!mQueue.empty() && mQueue.top().time <= due) {
      RunOccurrence();
      return true;
    }
    if (ticking != nullptr) {
      mNow = std::max(mNow, due);
      Step(*ticking, consensus::Tick{});
    }
    return ticking != nullptr;
  }

  void RunOccurrence()
  {
    const Occurrence next = mQueue.top();
    mQueue.pop();
    mNow = std::max(mNow, next.time);
    SimulatedHost& host = mHosts[next.host];
    // A message may reach a later life of its receiver, a sync may not.
    const bool message =
      std::holds_alternative<consensus::MessageReceived>(*next.event);
    if (message || next.life == host.life) {
      Deliver(host, next.event);
    }
  }

  void Resume()
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

  void Restart()
  {
    for (SimulatedHost& host : mHosts) {
      if (!host.participant) {
        Start(host);
      }
    }
  }

  bool Propose(size_t aCount)
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

  consensus::Propose NewProposals(size_t aCount)
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

  void Transfer()
  {
    for (SimulatedHost& host : mHosts) {
      if (!host.paused) {
        Step(host, consensus::TransferLeadership{});
      }
    }
  }

  void Execute(const FaultStep& aStep)
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

  bool IsWhole() const
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

  bool Settle()
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

  std::string Describe() const
  {
    std::ostringstream text;
    for (const SimulatedHost& host : mHosts) {
      const consensus::Replica& replica = host.participant->Log();
      const auto status = replica.Status(mNow + host.clock);
      text << " [" << host.name.value << " identity " << host.identity
           << " role " << static_cast<int>(status.role) << " term "
           << status.term.value << " base " << replica.Log().BaseIndex()
           << " last " << status.lastIndex.value << " commit "
           << status.commitIndex.value << " applied " << host.applied
           << " members";
      for (const auto& member : status.members) {
        text << " " << member.identity.value << (member.voter ? "v" : "l")
             << member.match.value;
      }
      text << "]";
    }
    return text.str();
  }

  uint64_t LostAnywhere() const
  {
    uint64_t lost = 0;
    for (const SimulatedHost& host : mHosts) {
      lost = std::max(lost, mInvariants.LostIfOnly(host.applied));
    }
    return lost;
  }

  const Options mOptions;
  Random mRandom;
  LogInvariants mInvariants;
  Instant mNow{ std::chrono::seconds{ 1 } };
  std::vector<SimulatedHost> mHosts;
  std::vector<consensus::Member> mMembers;
  std::priority_queue<Occurrence> mQueue;
  std::set<std::pair<size_t, size_t>> mCuts;
  bool mLossy = false;
  uint64_t mSequence = 0;
  uint64_t mLastIdentity = 0;
  uint64_t mLastProposal = 0;
  Instant mAcknowledgedAt{};
  GroupReport mReport;
};

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
