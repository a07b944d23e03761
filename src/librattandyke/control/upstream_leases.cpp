#include "control/upstream_leases.h"

#include <algorithm>

namespace rattandyke::control {

namespace {

UpstreamLife
LifeOf(const wire::Upstream& aUpstream)
{
  return { aUpstream.service(), aUpstream.name(), aUpstream.incarnation() };
}

} // namespace

UpstreamLeases::UpstreamLeases(LeaseOptions aOptions, const HostLeases& aHosts)
  : mOptions(aOptions)
  , mHosts(aHosts)
{
}

void
UpstreamLeases::Begin(Instant aElected)
{
  mElected = aElected;
  mLives.clear();
  mStopping.clear();
  mKept.clear();
}

Duration
UpstreamLeases::BothLeases() const
{
  return Lengthened(mOptions.hostLease + mOptions.upstreamLease, mOptions);
}

void
UpstreamLeases::StopKeepers(Life& aLife,
                            const HostName* aExcept,
                            TableVersion aVersion,
                            Instant aNow)
{
  for (auto& [host, keeper] : aLife.keepers) {
    if (keeper.stop || (aExcept != nullptr && host == *aExcept)) {
      continue;
    }
    keeper.stop = aVersion;
    keeper.stoppedAt = aNow;
  }
}

void
UpstreamLeases::StopOlderLives(const UpstreamLife& aLife,
                               TableVersion aVersion,
                               Instant aNow)
{
  UpstreamLife first = aLife;
  first.incarnation = 0;
  for (auto at = mLives.lower_bound(first); at != mLives.end(); ++at) {
    if (at->first.service != aLife.service ||
        at->first.upstream != aLife.upstream) {
      return;
    }
    if (at->first.incarnation != aLife.incarnation) {
      StopKeepers(at->second, nullptr, aVersion, aNow);
      KeepAt(std::nullopt, at->first);
    }
    for (const auto& [host, keeper] : at->second.keepers) {
      if (keeper.stop) {
        mStopping[host].insert(at->first);
      }
    }
  }
}

void
UpstreamLeases::Follow(const UpstreamEntry& aEntry, bool aIsNew, Instant aNow)
{
  const UpstreamLife life = LifeOf(aEntry.view);
  const HostName home{ aEntry.view.home() };
  const TableVersion registered{ aEntry.view.registered_version() };
  const bool met = mLives.contains(life);
  Life& followed = mLives[life];
  if (!met) {
    followed.checksFences = aEntry.view.checks_fences();
    followed.isNew = aIsNew;
  }
  followed.onlyHome.reset();
  if (!aEntry.movedHome) {
    followed.onlyHome = HostSession{ home, aEntry.homeSession };
  }
  Keeper& keeper = followed.keepers[home];
  if (keeper.since != registered) {
    keeper = { registered, std::nullopt, {}, {} };
  }
  StopKeepers(followed, &home, registered, aNow);
  if (aEntry.IsLost()) {
    StopKeepers(followed, nullptr, { aEntry.changed }, aNow);
  }
  StopOlderLives(life, registered, aNow);
  KeepAt(aEntry.IsLost()
           ? std::nullopt
           : std::optional(HostSession{ home, aEntry.homeSession }),
         life);
}

void
UpstreamLeases::KeepAt(const std::optional<HostSession>& aHome,
                       const UpstreamLife& aLife)
{
  std::optional<HostSession>& keptBy = mLives.at(aLife).keptBy;
  if (keptBy) {
    mKept[*keptBy].erase(aLife);
  }
  keptBy = aHome;
  if (keptBy) {
    mKept[*keptBy].insert(aLife);
  }
}

std::vector<UpstreamLife>
UpstreamLeases::NoteMissing(const wire::Heartbeat& aHeartbeat)
{
  const HostSession home{ HostName{ aHeartbeat.host() }, aHeartbeat.session() };
  const auto kept = mKept.find(home);
  if (kept == mKept.end()) {
    return {};
  }
  std::set<UpstreamLife> reported;
  for (const wire::UpstreamReport& report : aHeartbeat.upstreams()) {
    reported.insert(LifeOf(report.announced()));
  }
  std::vector<UpstreamLife> missing;
  for (const UpstreamLife& life : kept->second) {
    Keeper& keeper = mLives.at(life).keepers.at(home.host);
    if (!reported.contains(life) &&
        keeper.since.value <= aHeartbeat.table_version()) {
      keeper.processes[home.session].lapsed = true;
      missing.push_back(life);
    }
  }
  return missing;
}

void
UpstreamLeases::NoteTable(const HostSession& aHome,
                          TableVersion aTable,
                          Instant aNow)
{
  const auto stopping = mStopping.find(aHome.host);
  if (stopping == mStopping.end()) {
    return;
  }
  std::erase_if(stopping->second, [&](const UpstreamLife& aLife) {
    const auto life = mLives.find(aLife);
    if (life == mLives.end()) {
      return true;
    }
    Keeper& keeper = life->second.keepers.at(aHome.host);
    if (!keeper.stop || aNow >= keeper.stoppedAt + BothLeases()) {
      return true;
    }
    ProcessView& process = keeper.processes[aHome.session];
    if (*keeper.stop <= aTable && !process.knownAt) {
      process.knownAt = aNow;
    }
    return false;
  });
  if (stopping->second.empty()) {
    mStopping.erase(stopping);
  }
}

void
UpstreamLeases::NoteReport(const wire::UpstreamReport& aReport,
                           const HostSession& aHome,
                           TableVersion aTable)
{
  const auto life = mLives.find(LifeOf(aReport.announced()));
  if (life == mLives.end()) {
    return;
  }
  Life& followed = life->second;
  // A home that was paused while its upstream moved away wakes with a lapsed
  // lease and old grants. What it says of them under a newer table is no
  // acknowledgement: the slot would get a second owner.
  if (!aReport.lapsed()) {
    followed.acknowledged =
      std::max(followed.acknowledged, { aReport.grants_version() });
  }
  const auto keeper = followed.keepers.find(aHome.host);
  // A report made before the home knew of the registration speaks of the lease
  // before it: taking it for the new one would end that at its start.
  if (keeper != followed.keepers.end() && aReport.lapsed() &&
      aTable >= keeper->second.since) {
    keeper->second.processes[aHome.session].lapsed = true;
  }
}

bool
UpstreamLeases::IsOver(const HostLease& aHome,
                       const Keeper& aKeeper,
                       Instant aNow) const
{
  const auto process = aKeeper.processes.find(aHome.session.session);
  if (process != aKeeper.processes.end()) {
    const ProcessView& view = process->second;
    const Duration lease = Lengthened(mOptions.upstreamLease, mOptions);
    if (view.lapsed || (view.knownAt && aNow >= *view.knownAt + lease)) {
      return true;
    }
  }
  return aNow >= std::max(aHome.heard, mElected) + BothLeases();
}

bool
UpstreamLeases::IsOver(const HostName& aHome,
                       const Keeper& aKeeper,
                       Instant aNow) const
{
  // A home renews only under its own lease, and each renewal of that brings it
  // the table of the moment. So it stops when it has the table that says so, or
  // when the lease it held before that table was made is over.
  if (aKeeper.stop && aNow >= aKeeper.stoppedAt + BothLeases()) {
    return true;
  }
  const auto& hosts = mHosts.All();
  for (auto at = hosts.lower_bound({ aHome, 0 });
       at != hosts.end() && at->first.host == aHome;
       ++at) {
    if (!IsOver(at->second, aKeeper, aNow)) {
      return false;
    }
  }
  return true;
}

bool
UpstreamLeases::MayHaveUnknownHomes(const Life& aLife, Instant aNow) const
{
  if (aLife.isNew || aNow >= mElected + BothLeases()) {
    return false;
  }
  // Earlier leaders may have let others renew it, unless only one process ever
  // did and that one says that it is over.
  if (!aLife.onlyHome) {
    return true;
  }
  const auto keeper = aLife.keepers.find(aLife.onlyHome->host);
  if (keeper == aLife.keepers.end()) {
    return true;
  }
  const auto& processes = keeper->second.processes;
  const auto process = processes.find(aLife.onlyHome->session);
  return process == processes.end() || !process->second.lapsed;
}

bool
UpstreamLeases::IsOver(const UpstreamLife& aLife, Instant aNow) const
{
  const auto life = mLives.find(aLife);
  if (life == mLives.end()) {
    return aNow >= mElected + BothLeases();
  }
  if (MayHaveUnknownHomes(life->second, aNow)) {
    return false;
  }
  const auto& keepers = life->second.keepers;
  return std::all_of(keepers.begin(), keepers.end(), [&](const auto& aItem) {
    return IsOver(aItem.first, aItem.second, aNow);
  });
}

TableVersion
UpstreamLeases::Acknowledged(const UpstreamLife& aLife) const
{
  const auto life = mLives.find(aLife);
  return life == mLives.end() ? TableVersion{} : life->second.acknowledged;
}

bool
UpstreamLeases::ChecksFences(const UpstreamLife& aLife) const
{
  const auto life = mLives.find(aLife);
  return life != mLives.end() && life->second.checksFences;
}

bool
UpstreamLeases::HasLapsed(const UpstreamLife& aLife,
                          const HostSession& aHome) const
{
  const auto life = mLives.find(aLife);
  if (life == mLives.end()) {
    return false;
  }
  const auto keeper = life->second.keepers.find(aHome.host);
  if (keeper == life->second.keepers.end()) {
    return false;
  }
  const auto& processes = keeper->second.processes;
  const auto process = processes.find(aHome.session);
  return process != processes.end() && process->second.lapsed;
}

void
UpstreamLeases::Forget(
  const std::function<bool(const UpstreamLife&)>& aIsNeeded)
{
  std::erase_if(mLives,
                [&](const auto& aItem) { return !aIsNeeded(aItem.first); });
}

} // namespace rattandyke::control
