#include "control/mover.h"

#include <algorithm>

namespace rattandyke::control {

namespace {

// Upstreams of a new deployment come up within moments of each other. Granting
// everything to the first one would move most of it again at once.
constexpr std::chrono::milliseconds kSettleTime{ 300 };
// Announcements come at least so often; a release is told with the next one.
constexpr std::chrono::milliseconds kAnnounceSlack{ 200 };
// An upstream that did not let go in time is asked again after this.
constexpr std::chrono::seconds kRest{ 10 };
constexpr std::chrono::seconds kMassLossWindow{ 2 };
constexpr std::chrono::seconds kMassLossHold{ 5 };
constexpr size_t kChangesRemembered = 4096;

std::string
SubjectOf(const std::string& aService)
{
  return "service/" + aService;
}

bool
IsVoluntary(wire::MoveReason aReason)
{
  return aReason == wire::MOVE_REASON_BALANCE ||
         aReason == wire::MOVE_REASON_LOAD ||
         aReason == wire::MOVE_REASON_HOT_KEY;
}

} // namespace

Mover::Mover(LeaseOptions aOptions,
             const State& aState,
             const HostLeases& aHosts,
             const UpstreamLeases& aLeases,
             Registrar& aRegistrar,
             Proposals& aProposals)
  : mOptions(aOptions)
  , mState(aState)
  , mHosts(aHosts)
  , mLeases(aLeases)
  , mRegistrar(aRegistrar)
  , mProposals(aProposals)
{
}

void
Mover::Begin(Instant aElected)
{
  mElected = aElected;
  mServices.clear();
}

void
Mover::NoteLost(const std::string& aService, Instant aNow)
{
  const ServiceAssignments* owners = mState.Owners().Find(aService);
  Service& service = mServices[aService];
  std::erase_if(service.losses,
                [&](Instant aAt) { return aNow - aAt > kMassLossWindow; });
  service.losses.push_back(aNow);
  const auto live = static_cast<size_t>(
    std::count_if(owners->upstreams.begin(),
                  owners->upstreams.end(),
                  [](const UpstreamEntry& aEntry) {
                    return !aEntry.IsForgotten() && !aEntry.IsLost();
                  }));
  // When most of a service goes at one moment, the fault is more likely in the
  // network or in detection than in each upstream, and they will be back. What
  // is lost is granted anew; spreading the rest waits, or each return would
  // start another wave of moves.
  if (service.losses.size() > live) {
    service.holdUntil = aNow + kMassLossHold;
  }
}

void
Mover::Step(Instant aNow)
{
  mOver.clear();
  mQuiesced = mHosts.QuiescedEverywhere(aNow);
  for (const auto& [name, owners] : mState.Owners().All()) {
    if (!owners.slots.empty() && !mProposals.IsBusy(SubjectOf(name))) {
      StepService(owners, mServices[name], aNow);
    }
  }
}

void
Mover::Refresh(const ServiceAssignments& aOwners, Service& aService)
{
  if (aService.recordsChanged == mState.RecordsChanged()) {
    return;
  }
  aService.recordsChanged = mState.RecordsChanged();
  aService.plannedChange = 0;
  aService.record = mState.ServiceInForce(aOwners.name);
  if (!aService.record) {
    return;
  }
  auto policy =
    placement::PolicyRegistry::Make(aService.record->placementPolicy);
  aService.policy = policy ? std::move(*policy) : nullptr;
}

std::vector<Mover::Free>
Mover::FreeOf(const ServiceAssignments& aOwners) const
{
  std::vector<Free> free;
  free.reserve(aOwners.freeSlots.size() + aOwners.freeHotKeys.size());
  for (const uint32_t slot : aOwners.freeSlots) {
    Free& added = free.emplace_back();
    added.holding = &aOwners.slots[slot];
    added.fence.set_slot(slot);
    added.fence.set_fence(added.holding->fence);
  }
  for (const std::string& key : aOwners.freeHotKeys) {
    Free& added = free.emplace_back();
    added.holding = &aOwners.hotKeys.at(key);
    added.fence.set_key(key);
    added.fence.set_fence(added.holding->fence);
  }
  return free;
}

void
Mover::NoteReleases(const ServiceAssignments& aOwners,
                    const std::vector<Free>& aFree,
                    Service& aService,
                    Instant aNow)
{
  for (const Free& free : aFree) {
    aService.seenAt.emplace(free.holding->fence, aNow);
    if (const UpstreamEntry* previous = aOwners.At(free.holding->previous)) {
      aService.seenAt.emplace(previous->view.registered_version(), aNow);
    }
  }
  while (aService.seenAt.size() > kChangesRemembered) {
    aService.seenAt.erase(aService.seenAt.begin());
  }
}

Instant
Mover::SeenAt(const Service& aService, uint64_t aChange)
{
  const auto found = aService.seenAt.find(aChange);
  return found == aService.seenAt.end() ? Instant{} : found->second;
}

bool
Mover::IsSettling(const ServiceAssignments& aOwners,
                  Service& aService,
                  Instant aNow) const
{
  const bool untouched = aOwners.freeSlots.size() == aOwners.slots.size() &&
                         aOwners.slots.front().fence == 0;
  if (!untouched) {
    return false;
  }
  const bool hasUpstream =
    std::any_of(aOwners.upstreams.begin(),
                aOwners.upstreams.end(),
                [](const UpstreamEntry& aEntry) { return aEntry.IsActive(); });
  if (!hasUpstream) {
    return false;
  }
  if (!aService.firstUpstreamAt) {
    aService.firstUpstreamAt = aNow;
  }
  return aNow < *aService.firstUpstreamAt + kSettleTime;
}

bool
Mover::HasLetGo(const ServiceAssignments& aOwners,
                const Holding& aHolding,
                Instant aNow)
{
  const UpstreamEntry* previous = aOwners.At(aHolding.previous);
  if (previous == nullptr) {
    return true;
  }
  const UpstreamLife life{ aOwners.name,
                           previous->view.name(),
                           aHolding.previousIncarnation };
  const TableVersion released{ aHolding.fence };
  // Requests that entries sent by an older table may still run at an upstream
  // that does not refuse them; its own acknowledgement cannot know of those on
  // their way. So every entry has to be past the release as well.
  if (!mLeases.ChecksFences(life) && mQuiesced < released) {
    return false;
  }
  if (mLeases.Acknowledged(life) >= released) {
    return true;
  }
  const auto [over, isNew] = mOver.try_emplace(life, false);
  if (isNew) {
    over->second = mLeases.IsOver(life, aNow);
  }
  return over->second;
}

void
Mover::HandleOverdue(const ServiceAssignments& aOwners,
                     Service& aService,
                     const std::vector<Free>& aFree,
                     Instant aNow,
                     Decision& aDecision)
{
  const Duration patience =
    Lengthened(mOptions.upstreamLease + kAnnounceSlack, mOptions);
  for (const Free& free : aFree) {
    const Holding& holding = *free.holding;
    const UpstreamEntry* previous = aOwners.At(holding.previous);
    const bool keepsLease =
      previous != nullptr && !previous->IsLost() &&
      previous->view.incarnation() == holding.previousIncarnation;
    if (!keepsLease) {
      continue;
    }
    // One that was lost and is registered anew hears of the release only now:
    // counted from the release alone, its time would be up at once, each time
    // it comes back.
    const Instant asked =
      std::max(SeenAt(aService, holding.fence),
               SeenAt(aService, previous->view.registered_version()));
    if (aNow < asked + patience) {
      continue;
    }
    const UpstreamLife life{ aOwners.name,
                             previous->view.name(),
                             holding.previousIncarnation };
    if (mLeases.Acknowledged(life).value >= holding.fence) {
      continue;
    }
    // It still runs something long, or does not listen. A move that was only
    // for balance is not worth ending its lease: it gets the slot back, under
    // a new fence. Otherwise it is renewed no more.
    aService.restUntil[previous->view.name()] = aNow + kRest;
    if (IsVoluntary(holding.reason) && previous->IsActive()) {
      wire::SlotGrant& grant = *aDecision.grants.add_grants();
      *grant.mutable_released() = free.fence;
      grant.set_upstream(previous->view.name());
      grant.set_incarnation(holding.previousIncarnation);
      grant.set_reason(wire::MOVE_REASON_TAKEN_BACK);
    } else {
      mRegistrar.Condemn(previous->view, aNow);
    }
  }
}

void
Mover::StepService(const ServiceAssignments& aOwners,
                   Service& aService,
                   Instant aNow)
{
  Refresh(aOwners, aService);
  if (!aService.record || !aService.policy ||
      IsSettling(aOwners, aService, aNow)) {
    return;
  }
  const std::vector<Free> free = FreeOf(aOwners);
  NoteReleases(aOwners, free, aService, aNow);
  Decision decision;
  HandleOverdue(aOwners, aService, free, aNow, decision);
  // Those it gave back must not be granted to another in the same step.
  if (decision.grants.grants_size() == 0) {
    Decide(aOwners, aService, free, aNow, decision);
  }
  Propose(aOwners.name, std::move(decision));
}

void
Mover::Propose(const std::string& aService, Decision aDecision)
{
  const std::string subject = SubjectOf(aService);
  if (aDecision.grants.grants_size() > 0) {
    wire::Command command;
    *command.mutable_grant_slots() = std::move(aDecision.grants);
    command.mutable_grant_slots()->set_service(aService);
    mProposals.Add(std::move(command), { subject });
  }
  for (auto& [reason, release] : aDecision.releases) {
    wire::Command command;
    *command.mutable_release_slots() = std::move(release);
    command.mutable_release_slots()->set_service(aService);
    command.mutable_release_slots()->set_reason(reason);
    mProposals.Add(std::move(command), { subject });
  }
  if (aDecision.removals.keys_size() > 0) {
    wire::Command command;
    *command.mutable_remove_hot_keys() = std::move(aDecision.removals);
    command.mutable_remove_hot_keys()->set_service(aService);
    mProposals.Add(std::move(command), { subject });
  }
}

} // namespace rattandyke::control
