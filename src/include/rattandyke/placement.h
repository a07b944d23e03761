/// Plug-in kind "placement": decides which upstream owns which keys.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include <rattandyke/kernel.h>

namespace rattandyke::placement {

/// Index into Input::upstreams that means "no upstream".
inline constexpr uint32_t kNobody = UINT32_MAX;

enum class Condition : uint8_t
{
  /// May receive keys.
  Active,
  /// Receives no keys; keeps its keys until they are moved away.
  Draining,
  /// Owns no keys and receives none.
  Gone
};

struct Upstream
{
  std::string_view name;
  std::string_view dataCentre;
  /// Maximum number of concurrent requests.
  double capacity = 1;
  Condition condition = Condition::Active;
  /// Time since registration, for the ramp-up after a cold start.
  std::chrono::milliseconds age{ 0 };
  /// The upstream refuses a large part of its requests.
  bool drowning = false;
};

/// A hash range of keys.
struct Slot
{
  uint32_t owner = kNobody;
  /// Load relative to the average slot, which has 1. Filtered against noise:
  /// changes only when the measured load differs clearly and for long.
  double load = 1;
  /// The slot moved recently and should not move again yet, if possible.
  bool resting = false;
};

/// A key that is, or is to be, assigned separately from its slot.
struct HotKey
{
  uint32_t slot = 0;
  uint32_t owner = kNobody;
  /// In the unit of Slot::load; the slot's own load does not include it.
  double load = 1;
  bool resting = false;
};

/// Placement preferences from the service's record.
struct Wishes
{
  double imbalanceWeight = 1;
  double churnWeight = 1;
  double unavailableWeight = 1;
  std::chrono::milliseconds coldStart{ 0 };
  /// Only keys of lost, draining or overloaded upstreams may move.
  bool deadlineWindow = false;
};

struct Input
{
  Wishes wishes;
  std::vector<Upstream> upstreams;
  std::vector<Slot> slots;
  std::vector<HotKey> hotKeys;
  /// Maximum number of owned slots and keys that this plan may move.
  size_t mostMoves = 0;
};

enum class Reason : uint8_t
{
  NoOwner,
  OwnerDraining,
  Balance,
  Load,
  HotKey
};

struct SlotMove
{
  uint32_t slot = 0;
  uint32_t target = kNobody;
  Reason reason = Reason::Balance;
};

struct KeyMove
{
  /// Index into Input::hotKeys.
  uint32_t key = 0;
  uint32_t target = kNobody;
  Reason reason = Reason::HotKey;
};

/// Targets for slots and keys without an owner, and moves of owned ones.
struct Plan
{
  std::vector<SlotMove> slots;
  std::vector<KeyMove> keys;
};

/// Stateless placement policy: equal inputs give equal plans, so a new leader
/// plans as the previous one did.
class Policy
{
public:
  virtual ~Policy() = default;
  virtual Plan Decide(const Input& aInput) const = 0;
};

using PolicyRegistry = Registry<Policy>;

} // namespace rattandyke::placement
