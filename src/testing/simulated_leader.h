/// Leading control host with a simulated clock, for tests of RangeAssigner.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gateway/range_assigner.h"

namespace rattandyke::gateway::testing {

inline constexpr Duration kLeaseDuration = std::chrono::milliseconds{ 4500 };
inline constexpr Duration kHeartbeatInterval =
  std::chrono::milliseconds{ 1000 };
inline constexpr RangeAssigner::Options kOptions{ kLeaseDuration,
                                                  kHeartbeatInterval,
                                                  std::chrono::seconds{ 30 } };

/// A leader's RangeAssigner, state and clock. Commands are committed
/// immediately.
class SimulatedLeader
{
public:
  SimulatedLeader()
  {
    rangeAssigner.emplace(kOptions);
    wire::GatewayCommand command;
    wire::ServiceItem* service = command.mutable_change_items()->add_services();
    service->set_name("board");
    service->set_owns_keys(true);
    service->set_version(1);
    service->set_source("board");
    Commit({ command });
    rangeAssigner->OnElected(state, now);
  }

  void Commit(const std::vector<wire::GatewayCommand>& aCommands)
  {
    for (const wire::GatewayCommand& command : aCommands) {
      static_cast<void>(state.Apply(command, LogIndex{ ++index }));
    }
  }

  /// Processes a heartbeat as a control host does.
  /// @return the answer's grants; std::nullopt if it does not renew the lease.
  std::optional<Grants> HandleHeartbeat(const Heartbeat& aHeartbeat)
  {
    if (!rangeAssigner->Check(aHeartbeat, state)) {
      return std::nullopt;
    }
    Commit(rangeAssigner->OnHeartbeat(aHeartbeat, state, now));
    if (const auto grant = rangeAssigner->PlanGrant(aHeartbeat, state, now)) {
      Commit({ *grant });
    }
    return rangeAssigner->RenewLease(aHeartbeat, state, now);
  }

  /// Advances the clock, with a tick every RangeAssigner::kTick.
  void AdvanceTime(Duration aTime)
  {
    for (const Instant end = now + aTime; now < end;) {
      now += std::min<Duration>(RangeAssigner::kTick, end - now);
      Commit(rangeAssigner->Tick(state, now));
    }
  }

  /// Replaces the leader by a new one, which knows only the replicated state.
  void FailOver()
  {
    rangeAssigner.emplace(kOptions);
    rangeAssigner->OnElected(state, now);
  }

  /// @return the owner of a key; empty if it has none.
  std::string OwnerOf(uint32_t aKey) const
  {
    const RangeTable* ranges = state.Ranges("board");
    return ranges == nullptr ? "" : ranges->Find(aKey).holder();
  }

  Instant now{ std::chrono::hours{ 1 } };
  uint64_t index = 0;
  State state;
  std::optional<RangeAssigner> rangeAssigner;
};

/// @return a heartbeat of an instance of service "board" with two slots and
/// without an incarnation number. Its address depends on the first character of
/// its id.
inline Heartbeat
HeartbeatFrom(const std::string& aInstance, uint64_t aSequence)
{
  Heartbeat heartbeat;
  heartbeat.instance = aInstance;
  heartbeat.service = "board";
  heartbeat.address = "10.0.0.1:" + std::to_string(1000 + aInstance.front());
  heartbeat.slots = 2;
  heartbeat.sequence = aSequence;
  return heartbeat;
}

inline uint32_t
CountKeys(const std::optional<Grants>& aGrants)
{
  uint32_t keys = 0;
  if (aGrants) {
    for (const GrantedRange& range : aGrants->ranges) {
      keys += range.keys.Size();
    }
  }
  return keys;
}

/// Sends heartbeats of instances "a" and "b" until they own all keys.
inline void
AssignKeysToTwo(SimulatedLeader& aLeader)
{
  for (uint64_t sequence = 1; sequence <= 4; ++sequence) {
    aLeader.HandleHeartbeat(HeartbeatFrom("a", sequence));
    aLeader.AdvanceTime(kHeartbeatInterval / 2);
    aLeader.HandleHeartbeat(HeartbeatFrom("b", sequence));
    aLeader.AdvanceTime(kHeartbeatInterval / 2);
  }
}

} // namespace rattandyke::gateway::testing
