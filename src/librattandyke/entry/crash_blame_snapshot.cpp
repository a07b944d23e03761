#include "entry/crash_blame.h"
#include "wire/control.pb.h"

namespace rattandyke::entry {

namespace {

WallTime
ToTime(uint64_t aMilliseconds)
{
  return WallTime{ std::chrono::milliseconds(aMilliseconds) };
}

} // namespace

void
CrashBlame::Save(wire::StateSnapshot& aSnapshot) const
{
  for (const auto& [upstream, crash] : mCases) {
    wire::CrashCaseSnapshot& saved = *aSnapshot.add_crash_cases();
    saved.set_service(upstream.service.value);
    saved.set_upstream(upstream.name.value);
    saved.set_incarnation(upstream.incarnation);
    for (const std::string& fingerprint : crash.fingerprints) {
      saved.add_fingerprints(fingerprint);
    }
    saved.set_on_trial(crash.onTrial);
    saved.set_lost(crash.lost);
    saved.set_opened_unix_ms(crash.opened.time_since_epoch().count());
  }
  for (const auto& [key, judged] : mJudged) {
    wire::VerdictSnapshot& saved = *aSnapshot.add_verdicts();
    saved.set_service(key.first.value);
    saved.set_fingerprint(key.second);
    saved.set_banned(judged.verdict == QuarantineVerdict::Banned);
    saved.set_expires_unix_ms(judged.expires.time_since_epoch().count());
  }
}

void
CrashBlame::Load(const wire::StateSnapshot& aSnapshot)
{
  mCases.clear();
  mJudged.clear();
  for (const wire::CrashCaseSnapshot& saved : aSnapshot.crash_cases()) {
    Case& crash = mCases[{ ServiceName{ saved.service() },
                           UpstreamName{ saved.upstream() },
                           saved.incarnation() }];
    crash.fingerprints.insert(saved.fingerprints().begin(),
                              saved.fingerprints().end());
    crash.onTrial = saved.on_trial();
    crash.lost = saved.lost();
    crash.opened = ToTime(saved.opened_unix_ms());
  }
  for (const wire::VerdictSnapshot& saved : aSnapshot.verdicts()) {
    mJudged[{ ServiceName{ saved.service() }, saved.fingerprint() }] = {
      saved.banned() ? QuarantineVerdict::Banned : QuarantineVerdict::Suspect,
      ToTime(saved.expires_unix_ms())
    };
  }
}

} // namespace rattandyke::entry
