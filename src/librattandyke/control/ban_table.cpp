#include "control/ban_table.h"

#include <algorithm>

namespace rattandyke::control {

namespace {

// A request that was alone in flight when an upstream crashed is suspected
// more than one of many. Two crashes with it alone, or more among others, ban
// it: a popular harmless request is seldom in flight at several crashes in a
// row, while the one that causes them always is.
constexpr size_t kLeastCrashes = 2;
constexpr double kSuspicionOfTwo = 1.0;
constexpr size_t kManyCrashes = 4;
constexpr uint64_t kSuspicionMemoryMs = 10 * 60'000;
constexpr uint64_t kBanMs = 10 * 60'000;
constexpr size_t kMostSuspicions = 10'000;

uint64_t
ToMilliseconds(WallTime aTime)
{
  return static_cast<uint64_t>(aTime.time_since_epoch().count());
}

bool
StandsOut(const wire::CrashSnapshot& aCrash)
{
  const auto crashes = static_cast<size_t>(aCrash.upstreams_size());
  return crashes >= kManyCrashes ||
         (crashes >= kLeastCrashes && aCrash.suspicion() >= kSuspicionOfTwo);
}

} // namespace

void
BanTable::Set(LogIndex aIndex, const wire::Ban& aBan)
{
  const Key key{ aBan.service(), aBan.fingerprint() };
  mBans[key] = { aBan, aIndex.value };
  if (aBan.lifted()) {
    mCrashes.erase(key);
  }
}

std::vector<std::string>
BanTable::Report(LogIndex aIndex,
                 const wire::CrashReportCall& aReport,
                 WallTime aNow)
{
  std::vector<std::string> banned;
  const std::string crashed =
    aReport.upstream() + "#" + std::to_string(aReport.incarnation());
  for (const std::string& fingerprint : aReport.fingerprints()) {
    const Key key{ aReport.service(), fingerprint };
    if (mCrashes.size() >= kMostSuspicions && !mCrashes.contains(key)) {
      continue;
    }
    wire::CrashSnapshot& crash = mCrashes[key];
    const auto& seen = crash.upstreams();
    // Several hosts report the same crash: it counts once.
    if (std::find(seen.begin(), seen.end(), crashed) != seen.end()) {
      continue;
    }
    crash.set_service(aReport.service());
    crash.set_fingerprint(fingerprint);
    crash.add_upstreams(crashed);
    crash.set_suspicion(crash.suspicion() + 1.0 / aReport.fingerprints_size());
    crash.set_expires_unix_ms(ToMilliseconds(aNow) + kSuspicionMemoryMs);
    if (StandsOut(crash)) {
      wire::Ban ban;
      ban.set_service(aReport.service());
      ban.set_fingerprint(fingerprint);
      ban.set_expires_unix_ms(ToMilliseconds(aNow) + kBanMs);
      ban.set_reason("crashed " + std::to_string(seen.size()) +
                     " upstreams, last " + aReport.upstream());
      mBans[key] = { ban, aIndex.value };
      banned.push_back(fingerprint);
    }
  }
  return banned;
}

void
BanTable::Expire(WallTime aNow)
{
  std::erase_if(mCrashes, [&](const auto& aItem) {
    return aItem.second.expires_unix_ms() <= ToMilliseconds(aNow);
  });
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
  for (const auto& [key, crash] : mCrashes) {
    *aSnapshot.add_crashes() = crash;
  }
}

void
BanTable::Load(const wire::StateSnapshot& aSnapshot)
{
  mBans.clear();
  mCrashes.clear();
  for (const wire::BanSnapshot& saved : aSnapshot.bans()) {
    const wire::Ban& ban = saved.ban();
    mBans[{ ban.service(), ban.fingerprint() }] = { ban, saved.changed() };
  }
  for (const wire::CrashSnapshot& crash : aSnapshot.crashes()) {
    mCrashes[{ crash.service(), crash.fingerprint() }] = crash;
  }
}

} // namespace rattandyke::control
