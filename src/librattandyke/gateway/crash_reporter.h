/// Reports of an entry host about requests that may crash upstreams.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/upstream_client.h"
#include "gateway/upstream_process.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Collects the requests that were in progress when their connection ended, the
/// watched ones that an upstream has answered, and the upstreams that have not
/// crashed as others suspect, until they are reported.
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

  /// Time that a process takes at least to start again under its id, beside the
  /// time until its crash is known here.
  static constexpr std::chrono::milliseconds kMinRestart{ 3000 };

  /// Processes of which it is not known whether they have crashed, or whether
  /// only a connection of another host has ended.
  void SetUnconfirmed(const std::vector<UpstreamProcessId>& aProcesses,
                      Instant aNow);

  /// A process has responded to a request. If the connection is older than the
  /// crash, there was none.
  void OnResponse(const UpstreamProcessId& aProcess,
                  Instant aConnectionOpenedAt,
                  Instant aSentAt,
                  Instant aNow);

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

  struct Unconfirmed
  {
    Instant knownSince{};
    std::optional<Instant> reportedAt;
  };

  std::vector<Interruption> mInterrupted;
  std::map<UpstreamProcessId, Unconfirmed> mUnconfirmed;
  std::vector<UpstreamProcessId> mAlive;
  std::vector<std::string> mAnswered;
  /// When an answer to a request was reported last.
  std::map<std::string, Instant> mAnswerReportedAt;
};

} // namespace rattandyke::gateway
