#include "control/registrar.h"

namespace rattandyke::control {

namespace {

// An upstream that announces itself to two hosts in turn would otherwise move
// its lease, through the log, with each announcement.
constexpr std::chrono::milliseconds kLeastTimeAtHome{ 1000 };
constexpr int kMostInOneCommand = 1000;

std::string
SubjectOf(const std::string& aService, const std::string& aUpstream)
{
  return "upstream/" + aService + "/" + aUpstream;
}

bool
HasSameAttributes(const wire::Upstream& aAnnounced, const wire::Upstream& aHeld)
{
  return aAnnounced.address() == aHeld.address() &&
         aAnnounced.slots() == aHeld.slots() &&
         aAnnounced.data_centre() == aHeld.data_centre();
}

wire::UpstreamRef
ToRef(const wire::Upstream& aUpstream)
{
  wire::UpstreamRef ref;
  ref.set_service(aUpstream.service());
  ref.set_upstream(aUpstream.name());
  ref.set_incarnation(aUpstream.incarnation());
  ref.set_registered_version(aUpstream.registered_version());
  return ref;
}

UpstreamLife
LifeOf(const wire::Upstream& aUpstream)
{
  return { aUpstream.service(), aUpstream.name(), aUpstream.incarnation() };
}

} // namespace

Registrar::Registrar(LeaseOptions aOptions,
                     const State& aState,
                     const HostLeases& aHosts,
                     const UpstreamLeases& aLeases,
                     Proposals& aProposals)
  : mOptions(aOptions)
  , mState(aState)
  , mHosts(aHosts)
  , mLeases(aLeases)
  , mProposals(aProposals)
{
}

void
Registrar::Begin(Instant aElected)
{
  mElected = aElected;
  mUnsettled.clear();
  mNewest.clear();
  mHomeChanges.clear();
  mRefusedUntil.clear();
  mCondemned.clear();
  mSuspects.clear();
  mEndedHomes.clear();
  mEarlierLeasesOver = false;
}

void
Registrar::Note(const wire::UpstreamReport& aReport,
                const HostSession& aHome,
                Instant aNow)
{
  const wire::Upstream& announced = aReport.announced();
  const Key key{ announced.service(), announced.name() };
  if (!aReport.lapsed()) {
    const std::chrono::milliseconds age{ aReport.announced_ms_ago() };
    const Report report{ aReport, aHome, aNow - age };
    if (!IsOutdated(key, report)) {
      mUnsettled[key] = report;
    }
    return;
  }
  mSuspects.insert(key);
  const auto held = mUnsettled.find(key);
  if (held != mUnsettled.end() && held->second.home == aHome) {
    mUnsettled.erase(held);
  }
}

void
Registrar::Suspect(const UpstreamLife& aLife)
{
  mSuspects.insert({ aLife.service, aLife.upstream });
}

bool
Registrar::IsOutdated(const Key& aKey, const Report& aReport)
{
  const auto [newest, isNew] = mNewest.try_emplace(aKey, aReport);
  if (isNew) {
    return false;
  }
  // An upstream that changed hosts is still reported by the one before, until
  // its lease there lapses: that must not call it back.
  const Report& known = newest->second;
  const bool sameLife = known.report.announced().incarnation() ==
                        aReport.report.announced().incarnation();
  if (sameLife && known.home != aReport.home &&
      aReport.announcedAt < known.announcedAt) {
    return true;
  }
  newest->second = aReport;
  return false;
}

void
Registrar::Condemn(const wire::Upstream& aUpstream, Instant aUntil)
{
  mCondemned.insert({ aUpstream.service(), aUpstream.name() });
  mRefusedUntil[LifeOf(aUpstream)] = aUntil;
}

void
Registrar::Step(Instant aNow)
{
  ProposeLost(aNow);
  wire::RegisterUpstreams registrations;
  for (auto at = mUnsettled.begin(); at != mUnsettled.end();) {
    const auto& [key, report] = *at;
    const UpstreamEntry* entry =
      mState.Owners().FindUpstream(key.first, key.second);
    if (IsSettled(report, entry) || !mHosts.MayLive(report.home, aNow)) {
      at = mUnsettled.erase(at);
      continue;
    }
    Answer(key, report, aNow, registrations);
    ++at;
  }
  if (registrations.registrations_size() == 0) {
    return;
  }
  std::vector<std::string> subjects;
  for (const auto& registration : registrations.registrations()) {
    const wire::Upstream& announced = registration.announced();
    subjects.push_back(SubjectOf(announced.service(), announced.name()));
  }
  wire::Command command;
  *command.mutable_register_upstreams() = std::move(registrations);
  mProposals.Add(std::move(command), std::move(subjects));
}

bool
Registrar::IsSettled(const Report& aReport, const UpstreamEntry* aEntry) const
{
  if (aEntry == nullptr) {
    return false;
  }
  const wire::Upstream& announced = aReport.report.announced();
  const wire::Upstream& held = aEntry->view;
  if (held.incarnation() != announced.incarnation()) {
    const auto& old = aEntry->superseded;
    return std::find(old.begin(), old.end(), announced.incarnation()) !=
           old.end();
  }
  const bool sameHome = held.home() == aReport.home.host.value &&
                        aEntry->homeSession == aReport.home.session;
  return sameHome && !aEntry->IsLost() && HasSameAttributes(announced, held) &&
         aEntry->drainingAnnounced == aReport.report.draining();
}

bool
Registrar::IsWaitedFor(const UpstreamEntry& aEntry) const
{
  const ServiceAssignments& service =
    *mState.Owners().Find(aEntry.view.service());
  const UpstreamId id = service.idByName.at(aEntry.view.name());
  const auto waitsFor = [&](const Holding& aHolding) {
    return aHolding.previous == id &&
           aHolding.previousIncarnation == aEntry.view.incarnation();
  };
  for (const uint32_t slot : service.freeSlots) {
    if (waitsFor(service.slots[slot])) {
      return true;
    }
  }
  for (const std::string& key : service.freeHotKeys) {
    if (waitsFor(service.hotKeys.at(key))) {
      return true;
    }
  }
  return false;
}

bool
Registrar::MayRegister(const Report& aReport,
                       const UpstreamEntry* aEntry,
                       Instant aNow) const
{
  if (aEntry == nullptr) {
    return true;
  }
  const wire::Upstream& announced = aReport.report.announced();
  const UpstreamLife life = LifeOf(announced);
  const auto refused = mRefusedUntil.find(life);
  if (refused != mRefusedUntil.end() && aNow < refused->second) {
    return false;
  }
  if (aEntry->view.incarnation() != announced.incarnation()) {
    return true;
  }
  if (aEntry->IsLost()) {
    // Its home renews it again once it is registered. One that was declared
    // lost because it did not let go of a slot must first be seen to have lost
    // its lease, or the next owner would wait for ever.
    return mLeases.IsOver(life, aNow) || !IsWaitedFor(*aEntry);
  }
  const HostSession home{ HostName{ aEntry->view.home() },
                          aEntry->homeSession };
  const bool sameHome = home == aReport.home;
  const auto change =
    mHomeChanges.find({ announced.service(), announced.name() });
  const bool settledDown =
    change == mHomeChanges.end() || aNow - change->second >= kLeastTimeAtHome;
  return sameHome || settledDown || mLeases.HasLapsed(life, home) ||
         !mHosts.MayLive(home, aNow);
}

void
Registrar::ProposeDrain(const Report& aReport)
{
  const wire::Upstream& announced = aReport.report.announced();
  wire::Command command;
  wire::DrainUpstream& drain = *command.mutable_drain_upstream();
  drain.set_service(announced.service());
  drain.set_upstream(announced.name());
  drain.set_drain(aReport.report.draining());
  mProposals.Add(std::move(command),
                 { SubjectOf(announced.service(), announced.name()) });
}

void
Registrar::Answer(const Key& aKey,
                  const Report& aReport,
                  Instant aNow,
                  wire::RegisterUpstreams& aRegistrations)
{
  if (mProposals.IsBusy(SubjectOf(aKey.first, aKey.second)) ||
      aRegistrations.registrations_size() >= kMostInOneCommand) {
    return;
  }
  const UpstreamEntry* entry =
    mState.Owners().FindUpstream(aKey.first, aKey.second);
  const wire::Upstream& announced = aReport.report.announced();
  const bool known = entry != nullptr && !entry->IsLost() &&
                     entry->view.incarnation() == announced.incarnation();
  const bool sameHome = known &&
                        entry->view.home() == aReport.home.host.value &&
                        entry->homeSession == aReport.home.session;
  if (sameHome && HasSameAttributes(announced, entry->view)) {
    return ProposeDrain(aReport);
  }
  if (!MayRegister(aReport, entry, aNow)) {
    return;
  }
  if (known && !sameHome) {
    mHomeChanges[aKey] = aNow;
  }
  wire::UpstreamRegistration& added = *aRegistrations.add_registrations();
  *added.mutable_announced() = announced;
  added.set_home(aReport.home.host.value);
  added.set_home_session(aReport.home.session);
}

bool
Registrar::IsTakenOver(const Key& aKey, const UpstreamEntry& aEntry) const
{
  const auto report = mUnsettled.find(aKey);
  return report != mUnsettled.end() &&
         report->second.report.announced().incarnation() ==
           aEntry.view.incarnation() &&
         mHosts.Find(report->second.home) != nullptr;
}

bool
Registrar::IsLost(const Key& aKey,
                  const UpstreamEntry& aEntry,
                  Instant aNow) const
{
  if (aEntry.IsForgotten() || aEntry.IsLost()) {
    return false;
  }
  if (mCondemned.contains(aKey)) {
    return true;
  }
  // Its home died or lost it, but another one has heard it: it only moves.
  if (IsTakenOver(aKey, aEntry)) {
    return false;
  }
  const wire::Upstream& view = aEntry.view;
  const HostSession home{ HostName{ view.home() }, aEntry.homeSession };
  return mLeases.HasLapsed(LifeOf(view), home) ||
         mLeases.IsOver(LifeOf(view), aNow);
}

std::set<HostSession>
Registrar::EndedHomes(Instant aNow) const
{
  const Duration both =
    Lengthened(mOptions.hostLease + mOptions.upstreamLease, mOptions);
  std::set<HostSession> ended;
  for (const auto& [session, lease] : mHosts.All()) {
    if (aNow >= std::max(lease.heard, mElected) + both) {
      ended.insert(session);
    }
  }
  return ended;
}

void
Registrar::SuspectOfEndedHomes(Instant aNow)
{
  const Duration both =
    Lengthened(mOptions.hostLease + mOptions.upstreamLease, mOptions);
  const bool earlierLeasesOver = aNow >= mElected + both;
  std::set<HostSession> ended = EndedHomes(aNow);
  if (ended == mEndedHomes && earlierLeasesOver == mEarlierLeasesOver) {
    return;
  }
  mEndedHomes = std::move(ended);
  mEarlierLeasesOver = earlierLeasesOver;
  for (const auto& [name, service] : mState.Owners().All()) {
    for (const UpstreamEntry& entry : service.upstreams) {
      const HostSession home{ HostName{ entry.view.home() },
                              entry.homeSession };
      const bool unheard = mHosts.Find(home) == nullptr && earlierLeasesOver;
      if (!entry.IsForgotten() && (unheard || mEndedHomes.contains(home))) {
        mSuspects.insert({ name, entry.view.name() });
      }
    }
  }
}

void
Registrar::ProposeLost(Instant aNow)
{
  SuspectOfEndedHomes(aNow);
  mSuspects.insert(mCondemned.begin(), mCondemned.end());
  wire::SetUpstreamState lost;
  lost.set_state(wire::UPSTREAM_STATE_LOST);
  std::vector<std::string> subjects;
  for (auto at = mSuspects.begin(); at != mSuspects.end();) {
    const Key& key = *at;
    const UpstreamEntry* entry =
      mState.Owners().FindUpstream(key.first, key.second);
    if (entry == nullptr || entry->IsLost() || IsWell(*entry, aNow)) {
      mCondemned.erase(key);
      at = mSuspects.erase(at);
      continue;
    }
    std::string subject = SubjectOf(key.first, key.second);
    if (IsLost(key, *entry, aNow) && !mProposals.IsBusy(subject)) {
      *lost.add_upstreams() = ToRef(entry->view);
      subjects.push_back(std::move(subject));
    }
    ++at;
  }
  if (!subjects.empty()) {
    wire::Command command;
    *command.mutable_set_upstream_state() = std::move(lost);
    mProposals.Add(std::move(command), std::move(subjects));
  }
}

bool
Registrar::IsWell(const UpstreamEntry& aEntry, Instant aNow) const
{
  const wire::Upstream& view = aEntry.view;
  const HostSession home{ HostName{ view.home() }, aEntry.homeSession };
  return !mCondemned.contains({ view.service(), view.name() }) &&
         mHosts.Find(home) != nullptr && !mEndedHomes.contains(home) &&
         !mLeases.HasLapsed(LifeOf(view), home);
}

} // namespace rattandyke::control
