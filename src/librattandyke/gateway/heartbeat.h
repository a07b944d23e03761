/// What upstream instances tell control hosts, and what they are answered.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "gateway/range_table.h"

namespace rattandyke::gateway {

/// Keys that an instance holds, with the fence of their grant.
struct HeldRange
{
  KeySpan keys;
  Fence fence;
};

/// Keys that an instance has let go of. The next holder that is given the
/// handover starts warm.
struct ReleasedRange
{
  KeySpan keys;
  std::string handover;
};

/// A sign of life of one instance.
struct Heartbeat
{
  std::string instance;
  std::string service;
  std::string address;
  std::string dataCentre;
  std::string version;
  uint32_t slots = 0;
  bool draining = false;
  /// Time left for which it is cold: slow, and able to bear only a few requests
  /// a second.
  Duration cold{};
  /// Tells apart the lives of a process that starts again under its id: it
  /// rises with each start. 0: the instance does not say.
  uint64_t life = 0;
  /// Rises with each call of one life.
  uint64_t sequence = 0;
  /// Includes keys that it still works on.
  std::vector<HeldRange> holds;
  /// Since the last heartbeat that was answered.
  std::vector<ReleasedRange> released;
};

/// A range that an instance is to hold.
struct GrantedRange
{
  KeySpan keys;
  Fence fence;
  /// Of the last holder; empty: there is none.
  std::string handover;
};

/// All that an instance is to hold; what is left out it must release.
struct Grants
{
  std::vector<GrantedRange> ranges;
  /// Counted by the instance from when it sent the heartbeat.
  Duration leaseDuration{};
};

struct HeartbeatAnswer
{
  /// None: the answer renews nothing.
  std::optional<Grants> grants;
  /// Where later heartbeats should go; empty: where they like.
  std::string heartbeatAddress;
};

} // namespace rattandyke::gateway
