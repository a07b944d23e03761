/// Requests that are quarantined.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <rattandyke/types.h>

#include "entry/crash_blame.h"
#include "wire/control.pb.h"

namespace rattandyke::control {

/// Part of State: deterministic. Keeps the verdicts of CrashBlame and of
/// operators as the routing table shows them. Not thread-safe.
class BanTable
{
public:
  /// Service and fingerprint.
  using Key = std::pair<std::string, std::string>;

  struct Entry
  {
    wire::Ban ban;
    uint64_t changed = 0;
  };

  BanTable();

  /// An operator's ban, or its end.
  /// @return what changed, as from the other methods.
  std::vector<Key> Set(LogIndex aIndex, const wire::Ban& aBan, WallTime aNow);

  std::vector<Key> Report(LogIndex aIndex,
                          const wire::CrashReportCall& aReport,
                          WallTime aNow);
  std::vector<Key> Lose(LogIndex aIndex,
                        const wire::UpstreamRef& aUpstream,
                        WallTime aNow);
  std::vector<Key> EndTrial(LogIndex aIndex,
                            const wire::TrialCall& aTrial,
                            WallTime aNow);

  /// Forgets what is over for long. Deterministic if called at the same
  /// commands.
  /// @return newest change that is forgotten; 0 if none.
  uint64_t Expire(LogIndex aIndex, WallTime aNow);

  const std::map<Key, Entry>& All() const { return mBans; }
  const Entry* Find(const Key& aKey) const;

  void Save(wire::StateSnapshot& aSnapshot) const;
  void Load(const wire::StateSnapshot& aSnapshot);

private:
  std::vector<Key> Step(LogIndex aIndex,
                        const entry::BlameEvent& aEvent,
                        WallTime aNow);

  std::map<Key, Entry> mBans;
  entry::CrashBlame mBlame;
};

} // namespace rattandyke::control
