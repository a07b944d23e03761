#include "entry/crash_blame.h"

#include <algorithm>
#include <utility>

namespace rattandyke::entry {

CrashBlame::CrashBlame(Settings aSettings)
  : mSettings(aSettings)
{
}

std::vector<SetVerdict>
CrashBlame::Step(const BlameEvent& aEvent, WallTime aNow)
{
  mNow = aNow;
  std::visit([this](const auto& aEach) { On(aEach); }, aEvent);
  return std::exchange(mEffects, {});
}

QuarantineVerdict
CrashBlame::Verdict(const ServiceName& aService,
                    const std::string& aFingerprint) const
{
  const auto found = mJudged.find({ aService, aFingerprint });
  return found == mJudged.end() ? QuarantineVerdict::Free
                                : found->second.verdict;
}

CrashBlame::Case&
CrashBlame::CaseOf(const UpstreamLife& aUpstream)
{
  const auto [found, isNew] = mCases.try_emplace(aUpstream);
  if (isNew) {
    found->second.opened = mNow;
  }
  return found->second;
}

void
CrashBlame::On(const blame_event::Reported& aEvent)
{
  Case& crash = CaseOf(aEvent.upstream);
  for (const std::string& fingerprint : aEvent.fingerprints) {
    const Key key{ aEvent.upstream.service, fingerprint };
    if (Verdict(key.first, key.second) != QuarantineVerdict::Banned) {
      crash.fingerprints.insert(fingerprint);
    }
  }
  if (!aEvent.onTrial.empty()) {
    crash.onTrial = aEvent.onTrial;
  }
  if (crash.lost) {
    Weigh(aEvent.upstream);
  }
}

void
CrashBlame::On(const blame_event::Lost& aEvent)
{
  Case& crash = CaseOf(aEvent.upstream);
  crash.lost = true;
  Weigh(aEvent.upstream);
}

/// Judges a crash that is certain.
void
CrashBlame::Weigh(const UpstreamLife& aUpstream)
{
  const std::string culprit = Culprit(aUpstream);
  if (!culprit.empty()) {
    return Ban(aUpstream.service, culprit);
  }
  const Case& crash = mCases.at(aUpstream);
  for (const std::string& fingerprint : crash.fingerprints) {
    const Key key{ aUpstream.service, fingerprint };
    if (Verdict(key.first, key.second) == QuarantineVerdict::Free) {
      Set(key,
          QuarantineVerdict::Suspect,
          "In flight when " + aUpstream.name.value + " was lost.");
    }
  }
}

/// @return the only request that explains this crash and an earlier one, or
/// nothing if none or several do.
std::string
CrashBlame::Culprit(const UpstreamLife& aUpstream) const
{
  const Case& crash = mCases.at(aUpstream);
  const auto isSecond = [&](const std::string& aFingerprint) {
    return CasesOf({ aUpstream.service, aFingerprint }) > 1;
  };
  if (!crash.onTrial.empty() && isSecond(crash.onTrial)) {
    return crash.onTrial;
  }
  std::vector<std::string> seconds;
  std::copy_if(crash.fingerprints.begin(),
               crash.fingerprints.end(),
               std::back_inserter(seconds),
               isSecond);
  return seconds.size() == 1 ? seconds.front() : std::string();
}

size_t
CrashBlame::CasesOf(const Key& aKey) const
{
  return static_cast<size_t>(
    std::count_if(mCases.begin(), mCases.end(), [&](const auto& aOne) {
      return aOne.first.service == aKey.first && aOne.second.lost &&
             aOne.second.fingerprints.contains(aKey.second);
    }));
}

/// Bans the request. The crashes it was in are explained, so whoever was beside
/// it is free, unless another crash is still unexplained.
void
CrashBlame::Ban(const ServiceName& aService, const std::string& aFingerprint)
{
  std::set<std::string> beside;
  std::erase_if(mCases, [&](const auto& aOne) {
    const bool explained = aOne.first.service == aService &&
                           aOne.second.fingerprints.contains(aFingerprint);
    if (explained) {
      beside.insert(aOne.second.fingerprints.begin(),
                    aOne.second.fingerprints.end());
    }
    return explained;
  });
  Set({ aService, aFingerprint },
      QuarantineVerdict::Banned,
      "In flight at each of several crashes.");
  beside.erase(aFingerprint);
  for (const std::string& innocent : beside) {
    const Key key{ aService, innocent };
    if (CasesOf(key) == 0) {
      Set(key, QuarantineVerdict::Free, "Another request was to blame.");
    }
  }
}

void
CrashBlame::On(const blame_event::Cleared& aEvent)
{
  const Key key{ aEvent.service, aEvent.fingerprint };
  if (Verdict(key.first, key.second) != QuarantineVerdict::Suspect) {
    return;
  }
  Forget(key);
  Set(key, QuarantineVerdict::Free, "Ran on a trial.");
}

void
CrashBlame::On(const blame_event::Lifted& aEvent)
{
  const Key key{ aEvent.service, aEvent.fingerprint };
  Forget(key);
  Set(key, QuarantineVerdict::Free, "Lifted by an operator.");
}

/// Takes the request out of every case.
void
CrashBlame::Forget(const Key& aKey)
{
  for (auto& [upstream, crash] : mCases) {
    if (upstream.service == aKey.first) {
      crash.fingerprints.erase(aKey.second);
    }
  }
}

void
CrashBlame::On(const blame_event::Tick&)
{
  std::erase_if(mCases, [&](const auto& aOne) {
    const Case& crash = aOne.second;
    const auto kept =
      crash.lost ? mSettings.suspectFor : mSettings.confirmWithin;
    return crash.opened + kept <= mNow;
  });
  std::erase_if(mJudged,
                [&](const auto& aOne) { return aOne.second.expires <= mNow; });
}

void
CrashBlame::Set(const Key& aKey,
                QuarantineVerdict aVerdict,
                std::string aReason)
{
  if (Verdict(aKey.first, aKey.second) == aVerdict) {
    return;
  }
  const bool banned = aVerdict == QuarantineVerdict::Banned;
  const WallTime expires =
    mNow + (banned ? mSettings.banFor : mSettings.suspectFor);
  if (aVerdict == QuarantineVerdict::Free) {
    mJudged.erase(aKey);
  } else {
    mJudged[aKey] = { aVerdict, expires };
  }
  mEffects.push_back(
    { aKey.first, aKey.second, aVerdict, expires, std::move(aReason) });
}

} // namespace rattandyke::entry
