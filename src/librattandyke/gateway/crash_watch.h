/// Finds out whether upstreams whose connections have ended have crashed.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "gateway/state.h"
#include "gateway/upstream_process.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Collects the evidence for the CrashRegister on the leader: what entry hosts
/// report, and the signs of life of the upstreams that it concerns. One that
/// sends a heartbeat has not crashed; one that is silent for two intervals has.
/// Does no I/O. Not thread-safe.
class CrashWatch
{
public:
  /// @param aHeartbeatInterval of upstreams.
  explicit CrashWatch(Duration aHeartbeatInterval);

  /// Adds reports of entry hosts.
  void Add(const wire::CrashReports& aReports, Instant aNow);

  /// Adds an operator's order to lift a ban.
  void Lift(const std::string& aFingerprint);

  /// A process of an upstream has sent a heartbeat, or has said that it leaves.
  void OnSignOfLife(const UpstreamProcessId& aProcess, Instant aNow);

  /// Forgets what it has seen, as this host is the leader from now on.
  void OnElected();

  /// @param aTime time of day.
  /// @return the evidence to propose now, if there is any.
  std::optional<wire::RecordCrashes> Take(const State& aState,
                                          Instant aNow,
                                          WallTime aTime);

private:
  struct Observation
  {
    /// When the leader first knew that the process may have crashed.
    Instant since{};
    bool alive = false;
    /// When the result was proposed last.
    std::optional<Instant> proposedAt;
  };

  void Observe(const State& aState, Instant aNow);
  void TakeInterrupted(wire::RecordCrashes& aRecord, Instant aNow);

  struct Reported
  {
    wire::InterruptedRequest request;
    Instant arrivedAt{};
  };

  const Duration mSilence;
  wire::RecordCrashes mPending;
  std::vector<Reported> mInterrupted;
  std::map<UpstreamProcessId, Observation> mObserved;
};

} // namespace rattandyke::gateway
