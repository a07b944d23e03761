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
}

void
UpstreamLeases::StopKeepers(Life& aLife,
                            const HostSession* aExcept,
                            TableVersion aVersion,
                            Instant aNow)
{
  for (auto& [session, keeper] : aLife.keepers) {
    if (keeper.stop || (aExcept != nullptr && session == *aExcept)) {
      continue;
    }
    keeper.stop = aVersion;
    keeper.stoppedAt = aNow;
  }
}

void
UpstreamLeases::Follow(const UpstreamEntry& aEntry, Instant aNow)
{
  const UpstreamLife life = LifeOf(aEntry.view);
  const HostSession home{ HostName{ aEntry.view.home() }, aEntry.homeSession };
  const TableVersion registered{ aEntry.view.registered_version() };
  const bool met = mLives.contains(life);
  Life& followed = mLives[life];
  if (!met) {
    followed.checksFences = aEntry.view.checks_fences();
    // Of a life that registered before this leader's time, earlier homes may
    // be unknown.
    followed.complete = !aEntry.movedHome;
  }
  Keeper& keeper = followed.keepers[home];
  if (keeper.since != registered) {
    keeper = { registered, std::nullopt, {}, std::nullopt, false };
  }
  StopKeepers(followed, &home, registered, aNow);
  if (aEntry.IsLost()) {
    StopKeepers(followed, nullptr, { aEntry.changed }, aNow);
  }
  // Older lives of the same upstream are not renewed any more.
  UpstreamLife first = life;
  first.incarnation = 0;
  for (auto at = mLives.lower_bound(first); at != mLives.end(); ++at) {
    if (at->first.service != life.service ||
        at->first.upstream != life.upstream) {
      break;
    }
    if (at->first.incarnation != life.incarnation) {
      StopKeepers(at->second, nullptr, registered, aNow);
    }
    for (const auto& [session, known] : at->second.keepers) {
      if (known.stop && !known.knownAt) {
        mStopping[session].insert(at->first);
      }
    }
  }
}

void
UpstreamLeases::NoteTable(const HostSession& aHome,
                          TableVersion aTable,
                          Instant aNow)
{
  const auto stopping = mStopping.find(aHome);
  if (stopping == mStopping.end()) {
    return;
  }
  std::erase_if(stopping->second, [&](const UpstreamLife& aLife) {
    const auto life = mLives.find(aLife);
    if (life == mLives.end()) {
      return true;
    }
    Keeper& keeper = life->second.keepers.at(aHome);
    if (!keeper.stop) {
      return true;
    }
    if (*keeper.stop > aTable) {
      return false;
    }
    keeper.knownAt = aNow;
    return true;
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
  followed.acknowledged =
    std::max(followed.acknowledged, { aReport.grants_version() });
  const auto keeper = followed.keepers.find(aHome);
  // A report made before the home knew of the registration speaks of the lease
  // before it: taking it for the new one would end that at its start.
  if (keeper != followed.keepers.end() && aReport.lapsed() &&
      aTable >= keeper->second.since) {
    keeper->second.lapsed = true;
  }
}

bool
UpstreamLeases::IsOver(const HostSession& aHome,
                       const Keeper& aKeeper,
                       Instant aNow) const
{
  if (aKeeper.lapsed) {
    return true;
  }
  const Duration upstreamLease = Lengthened(mOptions.upstreamLease, mOptions);
  const Duration both =
    Lengthened(mOptions.hostLease + mOptions.upstreamLease, mOptions);
  // A home renews only under its own lease, and each renewal of that brings it
  // the table of the moment. So it stops when it has the table that says so, or
  // when the lease it held before that table was made is over.
  if (aKeeper.stop && aNow >= aKeeper.stoppedAt + both) {
    return true;
  }
  if (aKeeper.knownAt && aNow >= *aKeeper.knownAt + upstreamLease) {
    return true;
  }
  const HostLease* lease = mHosts.Find(aHome);
  const Instant heard =
    lease == nullptr ? mElected : std::max(lease->heard, mElected);
  return aNow >= heard + both;
}

bool
UpstreamLeases::IsOver(const UpstreamLife& aLife, Instant aNow) const
{
  const Duration both =
    Lengthened(mOptions.hostLease + mOptions.upstreamLease, mOptions);
  const bool beforeMyTime = aNow < mElected + both;
  const auto life = mLives.find(aLife);
  if (life == mLives.end()) {
    return !beforeMyTime;
  }
  if (!life->second.complete && beforeMyTime) {
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
  const auto keeper = life->second.keepers.find(aHome);
  return keeper != life->second.keepers.end() && keeper->second.lapsed;
}

void
UpstreamLeases::Forget(
  const std::function<bool(const UpstreamLife&)>& aIsNeeded)
{
  std::erase_if(mLives,
                [&](const auto& aItem) { return !aIsNeeded(aItem.first); });
}

} // namespace rattandyke::control
