/// Reports of an entry host about requests that may crash upstreams.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/upstream_client.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Collects the requests that were in progress when their connection ended, and
/// the watched ones that an upstream has answered, until they are reported.
/// Does no I/O. Not thread-safe.
class CrashReporter
{
public:
  /// Reports that wait for a connection to a control host. Further ones are
  /// dropped.
  static constexpr size_t kMaxReports = 512;

  /// The connection ended on which a request was in progress.
  void OnInterrupted(const std::string& aService,
                     const UpstreamProcess& aProcess,
                     const std::string& aFingerprint,
                     Instant aSentAt,
                     Instant aEndedAt);

  /// An upstream has answered a watched request.
  void OnAnswered(const std::string& aFingerprint, Instant aNow);

  /// @param aIsConnected whether a connection to the process is still open: it
  /// has not crashed then.
  /// @return the reports since the last call.
  wire::CrashReports Take(
    const std::function<bool(const UpstreamProcess&)>& aIsConnected,
    Instant aNow);

private:
  struct Interruption
  {
    std::string service;
    UpstreamProcess process;
    std::string fingerprint;
    Instant sentAt{};
    Instant endedAt{};
  };

  std::vector<Interruption> mInterrupted;
  std::vector<std::string> mAnswered;
  /// When an answer to a request was reported last.
  std::map<std::string, Instant> mAnswerReportedAt;
};

} // namespace rattandyke::gateway
