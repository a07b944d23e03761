/// Heartbeats of upstream instances to control hosts, and the answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "gateway/range_table.h"

namespace rattandyke::gateway {

/// Range that an instance owns, with the fencing token of its grant.
struct HeldRange
{
  KeySpan keys;
  Fence fence;
};

/// Range that an instance has released.
struct ReleasedRange
{
  KeySpan keys;
  /// Opaque token that the next owner receives, so that it can start warm.
  std::string handover;
};

/// Periodic message of an upstream instance: its registration, its state, and
/// the key ranges that it owns or has released.
struct Heartbeat
{
  std::string instance;
  std::string service;
  std::string address;
  std::string dataCentre;
  std::string version;
  uint32_t slots = 0;
  bool draining = false;
  /// Remaining time of the cold phase after a start, in which the instance is
  /// slow and can process only a few requests per second.
  Duration cold{};
  /// Incarnation number of the process: it rises with each start under the same
  /// instance id. 0 if the instance does not report it.
  uint64_t life = 0;
  /// Sequence number within the incarnation; rises with each heartbeat.
  uint64_t sequence = 0;
  /// Ranges that the instance has not released, including those with requests
  /// still in progress.
  std::vector<HeldRange> holds;
  /// Ranges that the instance has released since its last answered heartbeat.
  std::vector<ReleasedRange> released;
};

/// Range that an instance owns until its lease ends.
struct GrantedRange
{
  KeySpan keys;
  Fence fence;
  /// Handover of the previous owner; empty if there is none.
  std::string handover;
};

/// All ranges that an instance owns. It must release all others.
struct Grants
{
  std::vector<GrantedRange> ranges;
  /// Counted by the instance from the time at which it sent the heartbeat.
  Duration leaseDuration{};
};

/// Answer to a heartbeat.
struct HeartbeatAnswer
{
  /// Not set if the answer does not renew the lease.
  std::optional<Grants> grants;
  /// Address to which the instance should send later heartbeats; empty for no
  /// preference.
  std::string heartbeatAddress;
};

} // namespace rattandyke::gateway
