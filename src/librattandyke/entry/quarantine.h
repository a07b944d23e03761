/// What one host knows of requests that may crash upstreams.
#pragma once

#include <map>
#include <string>
#include <utility>

#include <rattandyke/types.h>

#include "entry/request_flow.h"
#include "wire/table.pb.h"

namespace rattandyke::entry {

/// Joins the verdicts of the routing table with what this host saw itself a
/// moment ago: until the leader has judged a crash, a request that was in
/// flight there is a suspect here. Not thread-safe.
class Quarantine
{
public:
  /// @param aBan of the fingerprint in the newest table, or null.
  QuarantineVerdict Judge(const ServiceName& aService,
                          const std::string& aFingerprint,
                          const wire::Ban* aBan,
                          Instant aNow) const;

  /// A connection to an upstream was lost with this request in flight.
  void OnCrash(const ServiceName& aService,
               const std::string& aFingerprint,
               Instant aNow);

  /// An upstream answered the request whole.
  void OnAnswered(const ServiceName& aService, const std::string& aFingerprint);

  /// @return requests suspected by this host alone.
  size_t Suspects() const { return mSuspects.size(); }

private:
  using Key = std::pair<ServiceName, std::string>;
  std::map<Key, Instant> mSuspects;
};

} // namespace rattandyke::entry
