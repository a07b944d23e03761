#include "control/ban_table.h"

#include <algorithm>

namespace rattandyke::control {

namespace {

// A ban that is over stays so long for hosts that have to hear of its end.
constexpr std::chrono::hours kMemory{ 1 };

wire::Ban
ToBan(const entry::SetVerdict& aVerdict)
{
  wire::Ban ban;
  ban.set_service(aVerdict.service.value);
  ban.set_fingerprint(aVerdict.fingerprint);
  ban.set_expires_unix_ms(aVerdict.expires.time_since_epoch().count());
  ban.set_reason(aVerdict.reason);
  ban.set_suspect(aVerdict.verdict == entry::QuarantineVerdict::Suspect);
  ban.set_lifted(aVerdict.verdict == entry::QuarantineVerdict::Free);
  return ban;
}

entry::UpstreamLife
LifeOf(const auto& aUpstream)
{
  return { ServiceName{ aUpstream.service() },
           UpstreamName{ aUpstream.upstream() },
           aUpstream.incarnation() };
}

} // namespace

BanTable::BanTable()
  : mBlame(entry::CrashBlame::Settings{})
{
}

std::vector<BanTable::Key>
BanTable::Step(LogIndex aIndex, const entry::BlameEvent& aEvent, WallTime aNow)
{
  std::vector<Key> changed;
  for (const entry::SetVerdict& verdict : mBlame.Step(aEvent, aNow)) {
    const wire::Ban ban = ToBan(verdict);
    const Key key{ ban.service(), ban.fingerprint() };
    mBans[key] = { ban, aIndex.value };
    changed.push_back(key);
  }
  return changed;
}

std::vector<BanTable::Key>
BanTable::Set(LogIndex aIndex, const wire::Ban& aBan, WallTime aNow)
{
  const Key key{ aBan.service(), aBan.fingerprint() };
  if (aBan.lifted()) {
    Step(aIndex,
         entry::blame_event::Lifted{ ServiceName{ aBan.service() },
                                     aBan.fingerprint() },
         aNow);
  }
  mBans[key] = { aBan, aIndex.value };
  return { key };
}

std::vector<BanTable::Key>
BanTable::Report(LogIndex aIndex,
                 const wire::CrashReportCall& aReport,
                 WallTime aNow)
{
  entry::blame_event::Reported reported;
  reported.upstream = LifeOf(aReport);
  reported.fingerprints.assign(aReport.fingerprints().begin(),
                               aReport.fingerprints().end());
  reported.onTrial = aReport.on_trial();
  return Step(aIndex, reported, aNow);
}

std::vector<BanTable::Key>
BanTable::Lose(LogIndex aIndex,
               const wire::UpstreamRef& aUpstream,
               WallTime aNow)
{
  return Step(aIndex, entry::blame_event::Lost{ LifeOf(aUpstream) }, aNow);
}

std::vector<BanTable::Key>
BanTable::EndTrial(LogIndex aIndex,
                   const wire::TrialCall& aTrial,
                   WallTime aNow)
{
  if (aTrial.step() != wire::TRIAL_STEP_CLEARED) {
    return {};
  }
  return Step(aIndex,
              entry::blame_event::Cleared{ ServiceName{ aTrial.service() },
                                           aTrial.fingerprint() },
              aNow);
}

uint64_t
BanTable::Expire(LogIndex aIndex, WallTime aNow)
{
  Step(aIndex, entry::blame_event::Tick{}, aNow);
  uint64_t newest = 0;
  std::erase_if(mBans, [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    const WallTime expires{ std::chrono::milliseconds(
      entry.ban.expires_unix_ms()) };
    const bool isOver = expires + kMemory < aNow;
    newest = std::max(newest, isOver ? entry.changed : 0);
    return isOver;
  });
  return newest;
}

const BanTable::Entry*
BanTable::Find(const Key& aKey) const
{
  const auto found = mBans.find(aKey);
  return found == mBans.end() ? nullptr : &found->second;
}

void
BanTable::Save(wire::StateSnapshot& aSnapshot) const
{
  for (const auto& [key, entry] : mBans) {
    wire::BanSnapshot& saved = *aSnapshot.add_bans();
    *saved.mutable_ban() = entry.ban;
    saved.set_changed(entry.changed);
  }
  mBlame.Save(aSnapshot);
}

void
BanTable::Load(const wire::StateSnapshot& aSnapshot)
{
  mBans.clear();
  for (const wire::BanSnapshot& saved : aSnapshot.bans()) {
    const wire::Ban& ban = saved.ban();
    mBans[{ ban.service(), ban.fingerprint() }] = { ban, saved.changed() };
  }
  mBlame.Load(aSnapshot);
}

} // namespace rattandyke::control
