#include "agent/lease_keeper.h"

#include <algorithm>

namespace rattandyke::agent {

namespace {

/// Longest time for which an answer is held, whatever the upstream asks.
constexpr std::chrono::milliseconds kLongestHold{ 250 };
/// Shortest pause between two announcements.
constexpr std::chrono::milliseconds kShortestPause{ 10 };

AnnounceAnswer
Refuse(Code aCode, std::string aMessage)
{
  AnnounceAnswer answer;
  answer.code = aCode;
  answer.message = std::move(aMessage);
  return answer;
}

bool
TakesWork(wire::UpstreamState aState)
{
  return aState == wire::UPSTREAM_STATE_ACTIVE ||
         aState == wire::UPSTREAM_STATE_DRAINING;
}

/// What held under one registration says nothing of the next one.
void
ForgetRegistration(Charge& aCharge)
{
  aCharge.homeSince.reset();
  aCharge.reportedFrom = 0;
  aCharge.grants.clear();
  aCharge.grantsVersion = {};
  aCharge.revocations.clear();
}

} // namespace

LeaseKeeper::LeaseKeeper(Options aOptions)
  : mOptions(std::move(aOptions))
  , mTable(std::make_shared<const routing::RoutingTable>())
{
}

LeaseKeeper::Effects
LeaseKeeper::Step(const LeaseKeeperEvent& aEvent, Instant aNow)
{
  Effects effects;
  std::visit([&](const auto& aKind) { On(aKind, aNow, effects); }, aEvent);
  return effects;
}

std::vector<wire::UpstreamReport>
LeaseKeeper::Reports(uint64_t aSequence, Instant aNow)
{
  std::vector<wire::UpstreamReport> reports;
  for (auto& [key, charge] : mCharges) {
    if (!charge.reporting || charge.phase == ChargePhase::Lapsed) {
      continue;
    }
    uint64_t& first = charge.phase == ChargePhase::Lapsing
                        ? charge.lapsedFrom
                        : charge.reportedFrom;
    if (first == 0) {
      first = aSequence;
    }
    reports.push_back(ReportOf(charge, mOptions.self, mTable->Version(), aNow));
  }
  return reports;
}

void
LeaseKeeper::On(const AnnouncementReceived& aEvent,
                Instant aNow,
                Effects& aEffects)
{
  const Announcement& announcement = aEvent.announcement;
  const Key key{ { announcement.service, announcement.name },
                 announcement.incarnation };
  if (auto refusal = Refusal(key, announcement, aNow)) {
    aEffects.push_back({ aEvent.id, std::move(*refusal) });
    return;
  }
  Charge& charge = Admit(key, announcement, aNow);
  AnswerHeld(key, charge, aNow, aEffects);
  AnswerOrHold(key, charge, aEvent.id, aNow, aEffects);
}

void
LeaseKeeper::On(const TableArrived& aEvent, Instant aNow, Effects& aEffects)
{
  mTable = aEvent.table;
  if (!mFirstTable) {
    mFirstTable = mTable->Version();
  }
  for (auto& [key, charge] : mCharges) {
    FollowTable(key, charge, aNow);
  }
  RefreshGrants(aEvent.touched, aNow);
  AnswerDue(aNow, aEffects);
}

void
LeaseKeeper::On(const HeartbeatAnswered& aEvent,
                Instant aNow,
                Effects& aEffects)
{
  mControlHeard = aNow;
  mAnswered = std::max(mAnswered, aEvent.sequence);
  mLeaseUntil = std::max(mLeaseUntil, aEvent.leaseUntil);
  for (auto& [key, charge] : mCharges) {
    const bool leaderKnows = charge.phase == ChargePhase::Lapsing &&
                             charge.lapsedFrom != 0 &&
                             charge.lapsedFrom <= mAnswered;
    if (leaderKnows) {
      charge.phase = ChargePhase::Lapsed;
    }
  }
  AnswerDue(aNow, aEffects);
}

void
LeaseKeeper::On(const ControlAnswered& /*aEvent*/,
                Instant aNow,
                Effects& /*aEffects*/)
{
  mControlHeard = aNow;
}

void
LeaseKeeper::On(const KeeperTimer& /*aEvent*/, Instant aNow, Effects& aEffects)
{
  CheckLapses(aNow, aEffects);
  AnswerDue(aNow, aEffects);
}

void
LeaseKeeper::On(const KeeperLeaves& /*aEvent*/, Instant aNow, Effects& aEffects)
{
  mLeaving = true;
  for (auto& [key, charge] : mCharges) {
    AnswerHeld(key, charge, aNow, aEffects);
  }
}

std::optional<AnnounceAnswer>
LeaseKeeper::Refusal(const Key& aKey,
                     const Announcement& aAnnouncement,
                     Instant aNow) const
{
  if (auto refusal = RefusalOfHost(aAnnouncement, aNow)) {
    return refusal;
  }
  return RefusalOfProcess(aKey, aAnnouncement);
}

std::optional<AnnounceAnswer>
LeaseKeeper::RefusalOfHost(const Announcement& aAnnouncement,
                           Instant aNow) const
{
  if (mLeaving) {
    return Refuse(Code::LeaseUnavailable, "This host is shutting down.");
  }
  if (IsCutOff(aNow)) {
    return Refuse(Code::LeaseUnavailable,
                  "This host does not reach the control group.");
  }
  if (mTable->FindServiceByName(aAnnouncement.service.value) == nullptr) {
    return Refuse(Code::UnknownService,
                  "No record describes the service '" +
                    aAnnouncement.service.value + "'.");
  }
  return std::nullopt;
}

std::optional<AnnounceAnswer>
LeaseKeeper::RefusalOfProcess(const Key& aKey,
                              const Announcement& aAnnouncement) const
{
  const auto found = mCharges.find(aKey);
  const Charge* known = found != mCharges.end() ? &found->second : nullptr;
  const routing::UpstreamView* view = ViewOf(aKey);
  TableVersion lastSign = aAnnouncement.grantsVersion;
  if (known != nullptr) {
    lastSign = std::max(lastSign, known->registered);
  }
  if ((known != nullptr && known->superseded) ||
      IsSupersededBy(view, aKey, lastSign)) {
    return Refuse(Code::UpstreamSuperseded,
                  "A newer process announced itself under this name.");
  }
  // A copy of a running process, as of a cloned machine, has its incarnation
  // too. Both would run requests under the same grants; only the address tells
  // them apart, so it is fixed for an incarnation.
  const bool differsFromView =
    view != nullptr && view->incarnation == aKey.incarnation &&
    (view->address != aAnnouncement.address ||
     view->checksFences != aAnnouncement.checksFences);
  if (differsFromView ||
      (known != nullptr && IsOtherProcess(known->last, aAnnouncement))) {
    return Refuse(Code::UpstreamSuperseded,
                  "This incarnation is announced with another address or "
                  "checks_fences: draw a new one at each start.");
  }
  if (known == nullptr && mCharges.size() >= mOptions.mostCharges) {
    return Refuse(Code::LeaseUnavailable,
                  "Too many upstreams announce themselves to this host.");
  }
  return std::nullopt;
}

Charge&
LeaseKeeper::Admit(const Key& aKey,
                   const Announcement& aAnnouncement,
                   Instant aNow)
{
  const auto [place, isNew] = mCharges.try_emplace(aKey);
  Charge& charge = place->second;
  if (charge.phase == ChargePhase::Lapsed) {
    Revive(charge);
  }
  charge.last = aAnnouncement;
  charge.announced = aNow;
  charge.reporting = true;
  Acknowledge(charge, aAnnouncement.grantsVersion);
  if (isNew) {
    SupersedeOthers(aKey);
  }
  FollowTable(aKey, charge, aNow);
  if (charge.grantsVersion.value == 0) {
    RefreshGrants({}, aNow);
  }
  return charge;
}

void
LeaseKeeper::SupersedeOthers(const Key& aKey)
{
  const Key first{ aKey.id, 0 };
  for (auto next = mCharges.lower_bound(first);
       next != mCharges.end() && next->first.id == aKey.id;
       ++next) {
    if (next->first.incarnation != aKey.incarnation) {
      next->second.superseded = true;
    }
  }
}

void
LeaseKeeper::Revive(Charge& aCharge)
{
  ForgetRegistration(aCharge);
  aCharge.phase = ChargePhase::Live;
  aCharge.leased.reset();
  aCharge.lapsedFrom = 0;
}

const routing::UpstreamView*
LeaseKeeper::ViewOf(const Key& aKey) const
{
  return mTable->FindUpstream(aKey.id.service.value, aKey.id.name.value);
}

bool
LeaseKeeper::IsSupersededBy(const routing::UpstreamView* aView,
                            const Key& aKey,
                            TableVersion aLastSign) const
{
  // A frozen process comes back while its name belongs to its successor. Every
  // process that ever held a lease names a table version at or above its
  // registration; one below the successor's registration is the older one. A
  // fresh process names 0 and is the newer one.
  return aView != nullptr && aView->incarnation != aKey.incarnation &&
         aLastSign.value != 0 && aView->registered > aLastSign;
}

bool
LeaseKeeper::IsOurs(const Key& aKey, const Charge& aCharge) const
{
  const routing::UpstreamView* view = ViewOf(aKey);
  // After a restart the table still names this host as home, but means the
  // process before, whom the leader believes gone: it waits for none of this
  // one's leases until it has registered the upstream with this one. That
  // cannot have happened before this process had its first table.
  const TableVersion floor =
    std::max(aCharge.registrationFloor, mFirstTable.value_or(TableVersion{}));
  return view != nullptr && view->incarnation == aKey.incarnation &&
         view->home == mOptions.self && TakesWork(view->state) &&
         view->registered > floor;
}

bool
LeaseKeeper::IsRenewable(const Key& aKey,
                         const Charge& aCharge,
                         Instant aNow) const
{
  const bool isReported =
    aCharge.reportedFrom != 0 && aCharge.reportedFrom <= mAnswered;
  return !mLeaving && aNow < mLeaseUntil && isReported &&
         aCharge.phase == ChargePhase::Live && !aCharge.superseded &&
         !IsOverdue(aCharge, aNow) && IsOurs(aKey, aCharge);
}

bool
LeaseKeeper::IsOverdue(const Charge& aCharge, Instant aNow) const
{
  return !aCharge.revocations.empty() &&
         aNow - aCharge.revocations.front().since >= mOptions.upstreamLease;
}

bool
LeaseKeeper::IsCutOff(Instant aNow) const
{
  if (!mControlHeard || aNow - *mControlHeard >= mOptions.cutOffAfter) {
    return true;
  }
  return aNow - mLeaseUntil >= mOptions.leaderlessAfter;
}

bool
LeaseKeeper::IsLeaseOver(const Charge& aCharge, Instant aNow) const
{
  const Duration lease = mOptions.upstreamLease;
  const Instant given = aCharge.leased.value_or(aCharge.announced);
  if (aNow < given + Lengthened(lease)) {
    return false;
  }
  // An earlier home that has not heard of the change renews the upstream until
  // its own lease ends. Saying "lapsed" before that would let the leader grant
  // the keys to a second owner.
  if (aCharge.homeSince &&
      aNow < *aCharge.homeSince + Lengthened(mOptions.hostLease + lease)) {
    return false;
  }
  // One that still announces itself is only waiting for this host to reach a
  // leader again; its keys need not move.
  return aNow >= aCharge.announced + Lengthened(lease) || aCharge.superseded ||
         IsOverdue(aCharge, aNow);
}

Duration
LeaseKeeper::Lengthened(Duration aWait) const
{
  return std::chrono::duration_cast<Duration>(aWait *
                                              (1 + mOptions.driftBound));
}

void
LeaseKeeper::AnswerOrHold(const Key& aKey,
                          Charge& aCharge,
                          uint64_t aId,
                          Instant aNow,
                          Effects& aEffects)
{
  const auto hold =
    std::clamp(aCharge.last.hold, std::chrono::milliseconds(0), kLongestHold);
  if (hold.count() > 0 && !HasNews(aKey, aCharge, aNow)) {
    aCharge.held = HeldAnnouncement{ aId, aNow, aNow + hold };
    return;
  }
  aEffects.push_back({ aId, AnswerTo(aKey, aCharge, aNow, aNow) });
}

void
LeaseKeeper::AnswerHeld(const Key& aKey,
                        Charge& aCharge,
                        Instant aNow,
                        Effects& aEffects)
{
  if (!aCharge.held) {
    return;
  }
  const HeldAnnouncement held = *aCharge.held;
  aCharge.held.reset();
  aEffects.push_back({ held.id, AnswerTo(aKey, aCharge, held.received, aNow) });
}

bool
LeaseKeeper::HasNews(const Key& aKey, const Charge& aCharge, Instant aNow) const
{
  return IsOurs(aKey, aCharge) && IsRenewable(aKey, aCharge, aNow) &&
         aCharge.grantsVersion > aCharge.last.grantsVersion;
}

AnnounceAnswer
LeaseKeeper::AnswerTo(const Key& aKey,
                      Charge& aCharge,
                      Instant aReceived,
                      Instant aNow)
{
  if (mLeaving) {
    return Refuse(Code::LeaseUnavailable, "This host is shutting down.");
  }
  if (aCharge.superseded) {
    return Refuse(Code::UpstreamSuperseded,
                  "A newer process announced itself under this name.");
  }
  AnnounceAnswer answer;
  answer.grantsVersion = aCharge.last.grantsVersion;
  answer.nextAnnounce = mOptions.registerInterval;
  if (IsRenewable(aKey, aCharge, aNow)) {
    aCharge.leased = aReceived;
    answer.lease = mOptions.upstreamLease;
    answer.nextAnnounce = mOptions.announceInterval;
  }
  const auto held =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aReceived);
  answer.nextAnnounce = std::max(kShortestPause, answer.nextAnnounce - held);
  const bool isBehind = aCharge.grantsVersion > aCharge.last.grantsVersion;
  if (isBehind && aCharge.phase == ChargePhase::Live && IsOurs(aKey, aCharge)) {
    answer.grantsVersion = aCharge.grantsVersion;
    answer.grantsIncluded = true;
    answer.grants = aCharge.grants;
  }
  return answer;
}

void
LeaseKeeper::AnswerDue(Instant aNow, Effects& aEffects)
{
  for (auto& [key, charge] : mCharges) {
    if (charge.held && (aNow >= charge.held->until || charge.superseded ||
                        HasNews(key, charge, aNow))) {
      AnswerHeld(key, charge, aNow, aEffects);
    }
  }
}

void
LeaseKeeper::FollowTable(const Key& aKey, Charge& aCharge, Instant aNow)
{
  const routing::UpstreamView* view = ViewOf(aKey);
  if (view == nullptr) {
    return;
  }
  if (view->incarnation == aKey.incarnation) {
    aCharge.registered = view->registered;
  } else if (IsSupersededBy(view, aKey, aCharge.registered)) {
    aCharge.superseded = true;
  }
  const bool isOurs = IsOurs(aKey, aCharge);
  if (isOurs && !aCharge.homeSince) {
    aCharge.homeSince = aNow;
  }
  if (!isOurs && aCharge.homeSince && aCharge.phase == ChargePhase::Live) {
    // It announces itself elsewhere. Reporting it further would make the leader
    // move its home back and forth.
    ForgetRegistration(aCharge);
    aCharge.reporting = aCharge.superseded;
  }
}

void
LeaseKeeper::RefreshGrants(const routing::ChangedGrants& aTouched, Instant aNow)
{
  std::map<ServiceName, std::vector<std::pair<UpstreamName, Charge*>>> stale;
  for (auto& [key, charge] : mCharges) {
    const bool isTouched = aTouched.all || charge.grantsVersion.value == 0 ||
                           aTouched.upstreams.contains(key.id);
    if (isTouched && IsOurs(key, charge)) {
      stale[key.id.service].emplace_back(key.id.name, &charge);
    }
  }
  for (const auto& [service, charges] : stale) {
    std::vector<UpstreamName> names;
    for (const auto& [name, charge] : charges) {
      names.push_back(name);
    }
    const auto owners = mTable->GrantsOf(service.value, names);
    for (size_t i = 0; i < charges.size(); ++i) {
      SetGrants(
        *charges[i].second, JoinGrants(owners[i]), mTable->Version(), aNow);
    }
  }
}

bool
LeaseKeeper::CheckLapse(const Key& aKey, Charge& aCharge, Instant aNow)
{
  if (aCharge.phase == ChargePhase::Lapsing) {
    return true;
  }
  const routing::UpstreamView* view = ViewOf(aKey);
  const bool isListed = view != nullptr &&
                        view->incarnation == aKey.incarnation &&
                        view->home == mOptions.self && TakesWork(view->state);
  if (aCharge.phase == ChargePhase::Lapsed) {
    // Remembered until the table no longer shows the registration that lapsed,
    // since that one must not be renewed.
    return isListed && view->registered <= aCharge.registrationFloor;
  }
  if (!IsLeaseOver(aCharge, aNow)) {
    return true;
  }
  if (!isListed) {
    return false;
  }
  aCharge.phase = ChargePhase::Lapsing;
  aCharge.reporting = true;
  aCharge.lapsedFrom = 0;
  aCharge.registrationFloor = view->registered;
  return true;
}

void
LeaseKeeper::CheckLapses(Instant aNow, Effects& aEffects)
{
  for (auto next = mCharges.begin(); next != mCharges.end();) {
    auto& [key, charge] = *next;
    if (CheckLapse(key, charge, aNow)) {
      ++next;
      continue;
    }
    AnswerHeld(key, charge, aNow, aEffects);
    next = mCharges.erase(next);
  }
}

} // namespace rattandyke::agent
