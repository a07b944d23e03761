#include <algorithm>

#include "testing/control_world.h"

// Hosts: the product's agent, joined to the network of the model.

namespace rattandyke::testing {

namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms kRequestInterval{ 40 };
constexpr Ms kShortWork{ 1 };
constexpr Ms kLongWork{ 300 };
constexpr Ms kDeadline{ 600 };

} // namespace

bool
ControlWorld::HasLease(const ModelHost& aHost) const
{
  return mNetwork.Local(aHost.node) < aHost.leaseEnd;
}

void
ControlWorld::ArmHost(ModelHost& aHost)
{
  mNetwork.After(aHost.node, agent::LeaseKeeper::kTimerInterval, [&] {
    StepAgent(aHost, agent::HeartbeatTimer{});
    StepKeeper(aHost, agent::KeeperTimer{});
    ArmHost(aHost);
  });
}

void
ControlWorld::StepAgent(ModelHost& aHost, const agent::HostAgentEvent& aEvent)
{
  const Instant now = mNetwork.Local(aHost.node);
  for (const auto& effect : aHost.agent->Step(aEvent, now)) {
    std::visit([&](const auto& aOne) { On(aHost, aOne); }, effect);
  }
}

void
ControlWorld::StepKeeper(ModelHost& aHost,
                         const agent::LeaseKeeperEvent& aEvent)
{
  const Instant now = mNetwork.Local(aHost.node);
  for (const auto& effect : aHost.keeper->Step(aEvent, now)) {
    auto asked = aHost.announcements.extract(effect.id);
    const auto [upstream, number] = asked.mapped();
    mNetwork.Send(
      aHost.node,
      mUpstreams[upstream]->node,
      [this, upstream = upstream, number = number, answer = effect.answer] {
        OnAnswer(upstream, number, answer);
      });
  }
}

void
ControlWorld::On(ModelHost& aHost, const agent::SendHeartbeat& aEffect)
{
  wire::Heartbeat heartbeat;
  heartbeat.set_host(aHost.node.name);
  heartbeat.set_session(aHost.session);
  heartbeat.set_sequence(aEffect.sequence);
  heartbeat.set_table_version(aEffect.tableVersion.value);
  heartbeat.set_quiesced_version(aHost.inFlight->Quiesced().value);
  heartbeat.set_hosts_digest(aEffect.hostsDigest);
  heartbeat.set_entry(true);
  const Instant now = mNetwork.Local(aHost.node);
  for (auto& report : aHost.keeper->Reports(aEffect.sequence, now)) {
    *heartbeat.add_upstreams() = std::move(report);
  }
  for (auto& [upstream, evidence] : std::exchange(aHost.evidence, {})) {
    *heartbeat.add_evidence() = evidence;
  }
  for (size_t at = 0; at < mGroup->Size(); ++at) {
    Node& member = *mGroup->At(at).node;
    if (member.name == aEffect.to.value) {
      mNetwork.Send(aHost.node, member, [this, heartbeat, at] {
        mGroup->Receive(at, heartbeat);
      });
    }
  }
}

void
ControlWorld::On(ModelHost& aHost, const agent::TableReplaced& aEffect)
{
  aHost.inFlight->Publish(aEffect.table->Version());
  StepKeeper(aHost, agent::TableArrived{ aEffect.table, aEffect.touched });
}

void
ControlWorld::On(ModelHost& aHost, const agent::LeaseExtended& aEffect)
{
  aHost.leaseEnd = std::max(aHost.leaseEnd, aEffect.leaseUntil);
  StepKeeper(aHost,
             agent::HeartbeatAnswered{ aEffect.sequence, aEffect.leaseUntil });
}

void
ControlWorld::On(ModelHost&, const agent::HostsListed&)
{
}

void
ControlWorld::On(ModelHost& aHost, const agent::ControlHeard&)
{
  StepKeeper(aHost, agent::ControlAnswered{});
}

void
ControlWorld::On(ModelHost&, const agent::LeaveAcknowledged&)
{
}

void
ControlWorld::OnAnnouncement(ModelHost& aHost,
                             size_t aUpstream,
                             uint64_t aNumber,
                             const agent::Announcement& aAnnouncement)
{
  const uint64_t id = ++aHost.lastAnnouncement;
  aHost.announcements.emplace(id, std::pair{ aUpstream, aNumber });
  StepKeeper(aHost, agent::AnnouncementReceived{ id, aAnnouncement });
}

void
ControlWorld::ArmRequests(ModelHost& aHost)
{
  mNetwork.After(aHost.node, kRequestInterval, [this, &aHost] {
    SendRequest(aHost,
                static_cast<uint32_t>(mNetwork.random() % mOptions.slots));
    ArmRequests(aHost);
  });
}

bool
ControlWorld::BeginRequest(ModelHost& aHost, const ModelUpstream& aUpstream)
{
  if (aUpstream.checksFences) {
    return true;
  }
  auto bracket = aHost.inFlight->Enter(aHost.Table().Version());
  if (!bracket || !HasLease(aHost)) {
    return false;
  }
  const uint64_t request = ++aHost.lastRequest;
  aHost.running.emplace(request, std::move(*bracket));
  // Whatever becomes of it, the host gives it up after its deadline.
  mNetwork.After(
    aHost.node, kDeadline, [&aHost, request] { aHost.running.erase(request); });
  return true;
}

void
ControlWorld::NoteEvidence(ModelHost& aHost, const ModelUpstream& aUpstream)
{
  wire::UpstreamEvidence& evidence = aHost.evidence[aUpstream.name];
  evidence.set_service(kWorldService);
  evidence.set_upstream(aUpstream.name);
  if (mNetwork.IsCut(aHost.node, aUpstream.node) ||
      mNetwork.IsCut(aUpstream.node, aHost.node)) {
    evidence.set_unreachable(evidence.unreachable() + 1);
  } else {
    evidence.set_succeeded(evidence.succeeded() + 1);
  }
}

void
ControlWorld::SendRequest(ModelHost& aHost, uint32_t aSlot)
{
  for (auto& upstream : mUpstreams) {
    if (!SendsTo(aHost, *upstream, aSlot) || !BeginRequest(aHost, *upstream)) {
      continue;
    }
    NoteEvidence(aHost, *upstream);
    const auto* service = aHost.Table().FindServiceByName(kWorldService);
    const Fence fence = aHost.Table().FindOwner(*service, mKeys[aSlot]).fence;
    mNetwork.Send(aHost.node, upstream->node, [this, &upstream, aSlot, fence] {
      OnRequest(*upstream, aSlot, fence.value);
    });
  }
}

void
ControlWorld::OnRequest(ModelUpstream& aUpstream,
                        uint32_t aSlot,
                        uint64_t aFence)
{
  if (!aUpstream.checksFences) {
    return;
  }
  const auto grant = aUpstream.grants.find(aSlot);
  if (!TakesWork(aUpstream, aSlot) || grant->second != aFence) {
    return;
  }
  if (aFence < mNewestFence[aSlot]) {
    ++mFencesWentBack;
    if (mFirstFault.empty()) {
      mFirstFault = "an older fence ran, " + Describe(aSlot);
    }
  }
  mNewestFence[aSlot] = std::max(mNewestFence[aSlot], aFence);
  CheckOwners(aSlot);
  aUpstream.running.insert(aSlot);
  const Duration work = mNetwork.Between(kShortWork, kLongWork);
  mNetwork.After(
    aUpstream.node,
    work,
    [this, &aUpstream, aSlot, incarnation = aUpstream.incarnation] {
      if (aUpstream.incarnation == incarnation) {
        aUpstream.running.erase(aUpstream.running.find(aSlot));
        TryAcknowledge(aUpstream);
      }
    });
}

} // namespace rattandyke::testing
