#include <algorithm>

#include "testing/replica_group_impl.h"

namespace rattandyke::testing {

namespace {

using consensus::Participant;

constexpr int kLossPercent = 10;
constexpr int kRepeatPercent = 5;
constexpr int kSlowPercent = 10;
constexpr Duration kSlowMax = std::chrono::milliseconds{ 80 };
/// Makes snapshots need several chunks.
constexpr size_t kSnapshotPadding = 64;

} // namespace

ReplicaGroup::Impl::Impl(Options aOptions)
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

size_t
ReplicaGroup::Impl::IndexOf(const SimulatedHost& aHost) const
{
  return &aHost - mHosts.data();
}

Duration
ReplicaGroup::Impl::Between(Duration aMin, Duration aMax)
{
  return aMin + Duration{ static_cast<Duration::rep>(
                  mRandom() % ((aMax - aMin).count() + 1)) };
}

bool
ReplicaGroup::Impl::Percent(int aChance)
{
  return static_cast<int>(mRandom() % 100) < aChance;
}

void
ReplicaGroup::Impl::Start(SimulatedHost& aHost)
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

void
ReplicaGroup::Impl::Crash(SimulatedHost& aHost)
{
  aHost.participant.reset();
  aHost.paused = false;
  ++aHost.life;
  aHost.disk.Crash(mRandom);
}

void
ReplicaGroup::Impl::Schedule(size_t aHost,
                             Duration aDelay,
                             std::shared_ptr<consensus::Event> aEvent)
{
  mQueue.push({ mNow + aDelay,
                ++mSequence,
                aHost,
                mHosts[aHost].life,
                std::move(aEvent) });
}

void
ReplicaGroup::Impl::Deliver(SimulatedHost& aHost,
                            std::shared_ptr<consensus::Event> aEvent)
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

void
ReplicaGroup::Impl::Step(SimulatedHost& aHost, const consensus::Event& aEvent)
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

void
ReplicaGroup::Impl::StartSync(SimulatedHost& aHost)
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

std::shared_ptr<consensus::Event>
ReplicaGroup::Impl::NewStorageChanged(bool aWritable)
{
  return std::make_shared<consensus::Event>(
    consensus::StorageChanged{ aWritable });
}

void
ReplicaGroup::Impl::On(SimulatedHost& aHost, const consensus::Send& aEffect)
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

void
ReplicaGroup::Impl::On(SimulatedHost& aHost, const consensus::Persist& aEffect)
{
  aHost.disk.Write(aEffect);
}

void
ReplicaGroup::Impl::On(SimulatedHost& aHost, const consensus::Apply& aEffect)
{
  mInvariants.Applied(aHost.applied, aEffect.index, aEffect.payload);
  ++aHost.applied;
}

void
ReplicaGroup::Impl::On(SimulatedHost& aHost,
                       const consensus::LoadSnapshot& aEffect)
{
  Load(aHost, *aEffect.data);
}

void
ReplicaGroup::Impl::On(SimulatedHost& aHost,
                       const consensus::TakeSnapshot& aEffect)
{
  auto data = std::make_shared<const std::string>(
    std::to_string(aHost.applied) + std::string(kSnapshotPadding, ' '));
  // Stepped once all effects are done, so that batches keep their order.
  aHost.taken = consensus::SnapshotTaken{ aEffect.index, std::move(data) };
}

void
ReplicaGroup::Impl::On(SimulatedHost& aHost,
                       const consensus::ProposalDone& aEffect)
{
  if (aEffect.id.value != 0) {
    mInvariants.Acknowledged(aEffect.index);
    mAcknowledgedAt = mNow;
  }
}

void
ReplicaGroup::Impl::On(SimulatedHost& aHost, const consensus::LeadershipLost&)
{
  mInvariants.StoodDown(HostIdentity{ aHost.identity });
}

void
ReplicaGroup::Impl::Load(SimulatedHost& aHost, const std::string& aData)
{
  aHost.applied = std::stoull(aData);
}

void
ReplicaGroup::Impl::RunFor(Duration aTime)
{
  const Instant end = mNow + aTime;
  while (RunNext(end)) {
  }
  mNow = end;
}

bool
ReplicaGroup::Impl::RunNext(Instant aEnd)
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

void
ReplicaGroup::Impl::RunOccurrence()
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

} // namespace rattandyke::testing
