/// Heartbeats that wait for the leader's decision.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include <rattandyke/types.h>

#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Hands out heartbeats in the order of their arrival, a few at a time, and
/// sorts out those that have waited so long that their senders have gone
/// elsewhere.
///
/// Safeguard: after a loss all upstreams of a fleet send heartbeats in the same
/// moment. Decided at once, they would keep the leader's thread from the words
/// of the other control hosts until it is deposed, and its successor after it.
/// Does no I/O. Not thread-safe.
class HeartbeatQueue
{
public:
  struct Pending
  {
    HostName replyTo;
    wire::ForwardedHeartbeat heartbeat;
    Instant arrived{};
  };

  /// What is to be done before anything else gets a turn.
  struct Batch
  {
    std::vector<Pending> toProcess;
    /// Their senders wait no more.
    std::vector<Pending> toReject;
  };

  /// Heartbeats that are decided in one turn.
  static constexpr size_t kBatchSize = 32;
  /// Heartbeats that may wait: more than are decided within kMaxWait.
  static constexpr size_t kCapacity = 32768;
  /// Senders go elsewhere after a second. What is decided so late that its
  /// answer comes too late is decided in vain, and its sender calls again.
  static constexpr Duration kMaxWait = std::chrono::milliseconds{ 300 };

  /// @return whether it is kept; if not, it is to be refused.
  bool Add(Pending aWaiting);

  Batch TakeBatch(Instant aNow);

  bool IsEmpty() const { return mWaiting.empty(); }

private:
  std::deque<Pending> mWaiting;
};

} // namespace rattandyke::gateway
