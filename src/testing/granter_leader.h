/// A leader's granter with its state, for tests.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gateway/granter.h"

namespace rattandyke::gateway::testing {

inline constexpr Duration kHold = std::chrono::milliseconds{ 4500 };
inline constexpr Duration kInterval = std::chrono::milliseconds{ 1000 };
inline constexpr Granter::Options kOptions{ kHold,
                                            kInterval,
                                            std::chrono::seconds{ 30 } };

/// A leader and its state; commands are committed at once.
class Leader
{
public:
  Leader()
  {
    granter.emplace(kOptions);
    wire::GatewayCommand command;
    wire::ServiceItem* service = command.mutable_change_items()->add_services();
    service->set_name("board");
    service->set_owns_keys(true);
    service->set_version(1);
    service->set_source("board");
    Commit({ command });
    granter->BecomeLeader(state, now);
  }

  void Commit(const std::vector<wire::GatewayCommand>& aCommands)
  {
    for (const wire::GatewayCommand& command : aCommands) {
      static_cast<void>(state.Apply(command, LogIndex{ ++index }));
    }
  }

  /// As a control host answers a heartbeat.
  std::optional<Grants> Answer(const Heartbeat& aHeartbeat)
  {
    if (!granter->Check(aHeartbeat, state)) {
      return std::nullopt;
    }
    Commit(granter->OnHeartbeat(aHeartbeat, state, now));
    if (const auto grant = granter->PlanGrant(aHeartbeat, state, now)) {
      Commit({ *grant });
    }
    return granter->Renew(aHeartbeat, state, now);
  }

  void Pass(Duration aTime)
  {
    for (const Instant end = now + aTime; now < end;) {
      now += std::min<Duration>(Granter::kTick, end - now);
      Commit(granter->Tick(state, now));
    }
  }

  /// Another host takes over: it knows the state and nothing else.
  void Replace()
  {
    granter.emplace(kOptions);
    granter->BecomeLeader(state, now);
  }

  std::string HolderOf(uint32_t aKey) const
  {
    const RangeTable* ranges = state.Ranges("board");
    return ranges == nullptr ? "" : ranges->Find(aKey).holder();
  }

  Instant now{ std::chrono::hours{ 1 } };
  uint64_t index = 0;
  State state;
  std::optional<Granter> granter;
};

inline Heartbeat
From(const std::string& aInstance, uint64_t aSequence)
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
KeysOf(const std::optional<Grants>& aGrants)
{
  uint32_t keys = 0;
  if (aGrants) {
    for (const GrantedRange& range : aGrants->ranges) {
      keys += range.keys.Size();
    }
  }
  return keys;
}

/// Announces two instances until they share all keys.
inline void
Settle(Leader& aLeader)
{
  for (uint64_t sequence = 1; sequence <= 4; ++sequence) {
    aLeader.Answer(From("a", sequence));
    aLeader.Pass(kInterval / 2);
    aLeader.Answer(From("b", sequence));
    aLeader.Pass(kInterval / 2);
  }
}

} // namespace rattandyke::gateway::testing
