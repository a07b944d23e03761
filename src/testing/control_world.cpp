#include "testing/control_world.h"

#include <algorithm>

namespace rattandyke::testing {

namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms kSample{ 10 };
constexpr double kMostDrift = 0.004;

Node
MakeNode(ControlNetwork& aNetwork, std::string aName)
{
  Node node;
  node.name = std::move(aName);
  std::uniform_real_distribution<double> drift(1 - kMostDrift, 1 + kMostDrift);
  node.rate = drift(aNetwork.random);
  node.offset = aNetwork.Between(Ms{ 0 }, Ms{ 100'000 });
  return node;
}

} // namespace

ControlWorld::ControlWorld(WorldOptions aOptions)
  : mOptions(std::move(aOptions))
  , mNetwork(mOptions.seed, mOptions.weather)
  , mNewestFence(mOptions.slots)
  , mServedAt(mOptions.slots, mNetwork.Now())
  , mUnserved(mOptions.slots)
{
  for (uint32_t key = 0; mKeys.size() < mOptions.slots; ++key) {
    std::string text = "key" + std::to_string(key);
    if (routing::SlotOf(text, mOptions.slots).value == mKeys.size()) {
      mKeys.push_back(std::move(text));
    }
  }
  std::vector<Node*> members;
  for (size_t at = 0; at < mOptions.hosts; ++at) {
    auto host = std::make_unique<ModelHost>();
    host->node = MakeNode(mNetwork, "h" + std::to_string(at));
    mHosts.push_back(std::move(host));
    if (at < mOptions.controlHosts) {
      members.push_back(&mHosts.back()->node);
    }
  }
  mGroup = std::make_unique<ControlGroup>(
    mNetwork,
    mOptions.leases,
    members,
    [this](ControlGroup::Member& aFrom, const wire::HeartbeatReply& aReply) {
      for (auto& host : mHosts) {
        if (host->node.name == aReply.host()) {
          mNetwork.Send(
            *aFrom.node,
            host->node,
            [this, &host, from = HostName{ aFrom.node->name }, aReply] {
              StepAgent(*host, agent::HeartbeatReplied{ from, aReply });
            });
        }
      }
    });
  for (size_t at = 0; at < mOptions.upstreams; ++at) {
    auto upstream = std::make_unique<ModelUpstream>();
    upstream->node = MakeNode(mNetwork, "u" + std::to_string(at));
    upstream->name = upstream->node.name;
    upstream->checksFences = at + mOptions.unchecking < mOptions.upstreams;
    mUpstreams.push_back(std::move(upstream));
  }
  mGroup->Start();
  for (size_t at = 0; at < mHosts.size(); ++at) {
    StartHost(at);
  }
  for (size_t at = 0; at < mUpstreams.size(); ++at) {
    StartUpstream(at);
  }
  Sample();
}

void
ControlWorld::RunFor(Duration aTime)
{
  // Time goes on to the end also if nothing is due there.
  const Instant end = mNetwork.Now() + aTime;
  mNetwork.time.At(end, [] {});
  mNetwork.time.RunUntil(end);
}

void
ControlWorld::CrashHost(size_t aAt)
{
  mHosts[aAt]->node.up = false;
  ++mHosts[aAt]->node.life;
}

void
ControlWorld::StartHost(size_t aAt)
{
  ModelHost& host = *mHosts[aAt];
  host.node.up = true;
  host.session = ++mLastIdentity;
  agent::HostAgent::Options agentOptions;
  agentOptions.name = HostName{ host.node.name };
  agentOptions.session = host.session;
  for (size_t at = 0; at < mOptions.controlHosts; ++at) {
    agentOptions.controlHosts.push_back({ mHosts[at]->node.name });
  }
  agent::LeaseKeeper::Options keeperOptions;
  keeperOptions.self = HostName{ host.node.name };
  host.agent.emplace(agentOptions, Random(mNetwork.random()));
  host.keeper.emplace(keeperOptions);
  host.running.clear();
  host.inFlight = std::make_unique<agent::InFlightVersions>();
  host.announcements.clear();
  host.leaseEnd = {};
  if (aAt < mOptions.controlHosts) {
    mGroup->Restart(aAt);
  }
  ArmHost(host);
  ArmRequests(host);
}

void
ControlWorld::CrashUpstream(size_t aAt)
{
  mUpstreams[aAt]->node.up = false;
  ++mUpstreams[aAt]->node.life;
}

void
ControlWorld::StartUpstream(size_t aAt)
{
  ModelUpstream& upstream = *mUpstreams[aAt];
  upstream.node.up = true;
  upstream.incarnation = ++mLastIdentity;
  upstream.home = mNetwork.random() % mHosts.size();
  upstream.answered = false;
  upstream.leaseEnd = {};
  upstream.received = 0;
  upstream.applied = 0;
  upstream.grants.clear();
  upstream.running.clear();
  upstream.closing.clear();
  Announce(aAt);
}

void
ControlWorld::Submit(const std::string& aBody, const std::string& aId)
{
  wire::Command command;
  wire::SubmitRecordCall& call = *command.mutable_submit_record();
  call.set_any_revision(true);
  call.mutable_record()->set_kind("service");
  call.mutable_record()->set_name(kWorldService);
  call.mutable_record()->set_schema_version(1);
  call.mutable_record()->set_body_json(aBody);
  call.mutable_record()->set_submission_id(aId);
  mGroup->Submit(command);
}

const control::State&
ControlWorld::NewestState()
{
  size_t newest = 0;
  for (size_t at = 0; at < mGroup->Size(); ++at) {
    if (mGroup->At(at).applied > mGroup->At(newest).applied) {
      newest = at;
    }
  }
  return *mGroup->At(newest).state;
}

std::string
ControlWorld::OwnerOf(uint32_t aSlot)
{
  const auto* service = NewestState().Owners().Find(kWorldService);
  if (service == nullptr || service->slots.empty()) {
    return "";
  }
  const auto* owner = service->At(service->slots[aSlot].owner);
  return owner == nullptr ? "" : owner->view.name();
}

ModelUpstream*
ControlWorld::FindUpstream(std::string_view aName)
{
  for (auto& upstream : mUpstreams) {
    if (upstream->name == aName) {
      return upstream.get();
    }
  }
  return nullptr;
}

bool
ControlWorld::TakesWork(const ModelUpstream& aUpstream, uint32_t aSlot) const
{
  return mNetwork.IsRunning(aUpstream.node) &&
         mNetwork.Local(aUpstream.node) < aUpstream.leaseEnd &&
         aUpstream.grants.contains(aSlot);
}

bool
ControlWorld::SendsTo(const ModelHost& aHost,
                      const ModelUpstream& aUpstream,
                      uint32_t aSlot) const
{
  const auto* service = aHost.Table().FindServiceByName(kWorldService);
  if (service == nullptr) {
    return false;
  }
  const auto owner = aHost.Table().FindOwner(*service, mKeys[aSlot]);
  return owner.upstream != nullptr &&
         owner.upstream->name.value == aUpstream.name;
}

bool
ControlWorld::IsServed(uint32_t aSlot) const
{
  for (const auto& host : mHosts) {
    if (!HasLease(*host) || !mNetwork.IsRunning(host->node)) {
      continue;
    }
    for (const auto& upstream : mUpstreams) {
      const bool takes = upstream->checksFences
                           ? TakesWork(*upstream, aSlot)
                           : mNetwork.IsRunning(upstream->node);
      if (takes && SendsTo(*host, *upstream, aSlot)) {
        return true;
      }
    }
  }
  return false;
}

void
ControlWorld::ResetUnserved()
{
  std::fill(mServedAt.begin(), mServedAt.end(), mNetwork.Now());
  std::fill(mUnserved.begin(), mUnserved.end(), Duration{});
}

Duration
ControlWorld::LongestUnserved() const
{
  return *std::max_element(mUnserved.begin(), mUnserved.end());
}

void
ControlWorld::Sample()
{
  for (uint32_t slot = 0; slot < mOptions.slots; ++slot) {
    CheckOwners(slot);
    if (IsServed(slot)) {
      mServedAt[slot] = mNetwork.Now();
    }
    mUnserved[slot] =
      std::max(mUnserved[slot], mNetwork.Now() - mServedAt[slot]);
  }
  mNetwork.time.After(kSample, [this] { Sample(); });
}

std::string
ControlWorld::Describe(uint32_t aSlot) const
{
  std::string text = "slot " + std::to_string(aSlot) + ":";
  for (const auto& upstream : mUpstreams) {
    const auto grant = upstream->grants.find(aSlot);
    if (grant != upstream->grants.end()) {
      text += " " + upstream->name + "#" +
              std::to_string(upstream->incarnation) + " fence " +
              std::to_string(grant->second) +
              (TakesWork(*upstream, aSlot) ? " takes work," : " does not,");
    }
  }
  return text;
}

void
ControlWorld::CheckOwners(uint32_t aSlot)
{
  size_t owners = 0;
  for (const auto& upstream : mUpstreams) {
    if (upstream->checksFences) {
      owners += TakesWork(*upstream, aSlot) ? 1 : 0;
      continue;
    }
    // One that checks nothing owns what is sent to it, or runs there.
    const auto sends = [&](const auto& aHost) {
      return mNetwork.IsRunning(aHost->node) && HasLease(*aHost) &&
             SendsTo(*aHost, *upstream, aSlot);
    };
    const bool isSentTo = std::any_of(mHosts.begin(), mHosts.end(), sends);
    owners += mNetwork.IsRunning(upstream->node) && isSentTo ? 1 : 0;
  }
  if (owners > mMostOwners) {
    mMostOwners = owners;
  }
  if (owners > 1 && mFirstFault.empty()) {
    mFirstFault = "two owners, " + Describe(aSlot);
  }
}

} // namespace rattandyke::testing
