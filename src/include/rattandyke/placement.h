/// Plug-ins that decide which upstream should own which keys.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include <rattandyke/kernel.h>

namespace rattandyke::placement {

/// Position of an upstream in Input::upstreams.
inline constexpr uint32_t kNobody = UINT32_MAX;

enum class Condition : uint8_t
{
  /// May be given keys.
  Active,
  /// Keeps what it has until that is moved away.
  Draining,
  /// Has nothing and gets nothing.
  Gone
};

struct Upstream
{
  std::string_view name;
  std::string_view dataCentre;
  /// Requests it runs at once.
  double capacity = 1;
  Condition condition = Condition::Active;
  /// Time since it registered; for cold starts.
  std::chrono::milliseconds age{ 0 };
  /// Refuses much of what it is sent.
  bool drowning = false;
};

/// A hash range of keys.
struct Slot
{
  uint32_t owner = kNobody;
  /// Share of the load; 1 is the average slot's. Does not follow noise: it
  /// changes only when the measured load differs clearly and for long.
  double load = 1;
  /// Was moved a short while ago and stays, if it can.
  bool resting = false;
};

/// A key with an owner of its own, or one that is to get it.
struct HotKey
{
  uint32_t slot = 0;
  uint32_t owner = kNobody;
  /// In the unit of Slot::load; the slot's own load does not include it.
  double load = 1;
  bool resting = false;
};

/// Wishes of the service's record.
struct Wishes
{
  double imbalanceWeight = 1;
  double churnWeight = 1;
  double unavailableWeight = 1;
  std::chrono::milliseconds coldStart{ 0 };
  /// Nothing moves but what is lost, draining or drowning.
  bool deadlineWindow = false;
};

struct Input
{
  Wishes wishes;
  std::vector<Upstream> upstreams;
  std::vector<Slot> slots;
  std::vector<HotKey> hotKeys;
  /// Owned slots and keys that may be taken from their owners now.
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
  /// Position in Input::hotKeys.
  uint32_t key = 0;
  uint32_t target = kNobody;
  Reason reason = Reason::HotKey;
};

/// Targets for everything without an owner, and moves worth making.
struct Plan
{
  std::vector<SlotMove> slots;
  std::vector<KeyMove> keys;
};

/// Without state of its own: the same input gives the same plan, also on the
/// leader after this one.
class Policy
{
public:
  virtual ~Policy() = default;
  virtual Plan Decide(const Input& aInput) const = 0;
};

using PolicyRegistry = Registry<Policy>;

} // namespace rattandyke::placement
