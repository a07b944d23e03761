/// What hosts' own requests show of upstreams that still announce themselves.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <rattandyke/types.h>

#include "wire/peer.pb.h"

namespace rattandyke::control {

/// Weighs the evidence of several hosts. An upstream can hold its lease and yet
/// be out of reach of callers' requests. One host's bad network must not
/// condemn it: two hosts and the majority of those that tried it lately have to
/// agree, and a host that cannot reach most of what it tries speaks of its own
/// link. Not thread-safe.
class EvidenceBook
{
public:
  /// Service and name.
  using Key = std::pair<std::string, std::string>;

  void Begin() { mWitnesses.clear(); }

  void Note(const wire::Heartbeat& aHeartbeat, Instant aNow);

  /// The upstream registered anew: what was seen before is of another life.
  void Forget(const Key& aUpstream);

  /// @param aEntries how many entries are alive.
  /// @return upstreams that are out of reach.
  std::vector<Key> Unreachable(size_t aEntries, Instant aNow);

private:
  /// What one host saw of one upstream.
  struct Sight
  {
    Instant last{};
    /// Start of the failures since the last success, if any.
    std::optional<Instant> failingSince;
  };
  using Sights = std::map<Key, Sight>;

  static bool IsRecent(const Sight& aSight, Instant aNow);
  static bool IsFailing(const Sight& aSight, Instant aNow);
  static bool HasBadLink(const Sights& aSights, Instant aNow);

  /// By host.
  std::map<std::string, Sights> mWitnesses;
};

} // namespace rattandyke::control
