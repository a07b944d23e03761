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
/// report, and the heartbeats of the upstreams that it concerns. A heartbeat
/// may arrive seconds late: one that arrives soon after a crash may have been
/// sent before it, and shows neither that its sender lives nor that it has
/// crashed. An upstream whose heartbeats go on for longer lives; one that is
/// silent for two intervals has crashed. Does no I/O. Not thread-safe.
class CrashWatch
{
public:
  /// @param aHeartbeatInterval of upstreams.
  explicit CrashWatch(Duration aHeartbeatInterval);

  /// Adds reports of entry hosts.
  void Add(const wire::CrashReports& aReports, Instant aNow);

  /// Adds an operator's order to lift a ban.
  void Lift(const std::string& aFingerprint);

  /// Longest time for which a heartbeat may be on its way.
  static constexpr std::chrono::milliseconds kMaxTransit{ 5000 };

  /// A heartbeat of an upstream has arrived.
  /// @param aSequence rises with each heartbeat of the process.
  void OnHeartbeat(const UpstreamProcessId& aProcess,
                   uint64_t aSequence,
                   Instant aNow);

  /// A process of an upstream says that it leaves: it ends its connections by
  /// itself.
  void OnLeaving(const UpstreamProcessId& aProcess);

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
    /// When its newest heartbeat arrived; before the first one, since.
    Instant heardAt{};
    /// Of its newest heartbeat.
    uint64_t sequence = 0;
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

  void TakeAlive();

  const Duration mSilence;
  wire::RecordCrashes mPending;
  std::vector<Reported> mInterrupted;
  std::map<UpstreamProcessId, Observation> mObserved;
  /// Processes that entry hosts have told to be alive since the last Take().
  std::set<UpstreamProcessId> mAlive;
};

} // namespace rattandyke::gateway
