/// Queue of heartbeats for the leader.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include <rattandyke/types.h>

#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// Bounded FIFO queue of forwarded heartbeats, which the leader processes in
/// batches. Heartbeats that waited so long that their senders have given up are
/// returned for rejection. Does no I/O. Not thread-safe.
///
/// After an outage all upstreams of a fleet send heartbeats at the same time.
/// If the leader processed them all at once, its thread would not handle the
/// messages of the other control hosts in the meantime; the leader would be
/// deposed, and its successor after it.
class HeartbeatQueue
{
public:
  struct Pending
  {
    HostName replyTo;
    wire::ForwardedHeartbeat heartbeat;
    Instant receivedAt{};
  };

  /// Heartbeats to handle before the thread does other work.
  struct Batch
  {
    std::vector<Pending> toProcess;
    /// Heartbeats that waited for kMaxWait or longer.
    std::vector<Pending> toReject;
  };

  /// Maximum number of heartbeats in a batch.
  static constexpr size_t kBatchSize = 32;
  /// Maximum length of the queue: more heartbeats than are processed within
  /// kMaxWait.
  static constexpr size_t kCapacity = 32768;
  /// Maximum time in the queue. Senders try another control host after a
  /// second; work on a heartbeat whose answer arrives later is wasted, and the
  /// sender repeats the heartbeat.
  static constexpr Duration kMaxWait = std::chrono::milliseconds{ 300 };

  /// @return whether the heartbeat was added. If the queue is full, it must be
  /// rejected.
  bool Add(Pending aPending);

  /// Removes the next batch from the queue.
  Batch TakeBatch(Instant aNow);

  bool IsEmpty() const { return mPending.empty(); }

private:
  std::deque<Pending> mPending;
};

} // namespace rattandyke::gateway
