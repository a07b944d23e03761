/// Request fingerprints that crash upstreams.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "wire/control.pb.h"

namespace rattandyke::control {

/// Part of State: deterministic. Counts in how many crashes of upstreams a
/// request was in flight and bans it when it stands out. Not thread-safe.
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

  /// Puts a ban in force, or lifts it if aBan says so.
  void Set(LogIndex aIndex, const wire::Ban& aBan);

  /// @return fingerprints banned by this report.
  std::vector<std::string> Report(LogIndex aIndex,
                                  const wire::CrashReportCall& aReport,
                                  WallTime aNow);

  /// Forgets old suspicions. Bans end by their own time.
  void Expire(WallTime aNow);

  const std::map<Key, Entry>& All() const { return mBans; }
  const Entry* Find(const Key& aKey) const;

  void Save(wire::StateSnapshot& aSnapshot) const;
  void Load(const wire::StateSnapshot& aSnapshot);

private:
  std::map<Key, Entry> mBans;
  std::map<Key, wire::CrashSnapshot> mCrashes;
};

} // namespace rattandyke::control
