/// Working state of one decision of the least_moves policy.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include <rattandyke/placement.h>

namespace rattandyke::placement {

/// Use of an upstream is its load over its capacity. Costs
/// O((slots + upstreams) * log(upstreams)) whatever the number of moves.
class Balance
{
public:
  explicit Balance(const Input& aInput);

  void PlaceFree();
  void EmptyDraining();
  /// Moves from the most to the least used while that lowers the highest use.
  void Even();
  /// Moves from upstreams that drown only.
  void RelieveDrowning();
  Plan TakePlan();

private:
  struct Work
  {
    double capacity = 0;
    double load = 0;
    bool takes = false;
    /// Slots it owns that may move, lightest first.
    std::vector<uint32_t> slots;
  };

  double Use(uint32_t aUpstream) const;
  double UseWith(uint32_t aUpstream, double aMore) const;
  void Change(uint32_t aUpstream, double aLoad);
  std::optional<uint32_t> LeastUsed() const;
  void PlaceSlots(std::vector<uint32_t> aSlots);
  void PlaceKeys();
  bool MoveOne(uint32_t aFrom, double aGain);
  std::optional<size_t> PickSlot(uint32_t aFrom,
                                 uint32_t aTo,
                                 double aGain) const;
  bool MayMove();
  Reason ReasonFor(uint32_t aSlot) const;
  double MeanUse() const;
  double LeastGain() const;

  const Input& mInput;
  std::vector<Work> mWork;
  /// Upstreams that take slots, by use and position.
  std::set<std::pair<double, uint32_t>> mByUse;
  /// Those of them that may still be moved from.
  std::set<std::pair<double, uint32_t>> mSources;
  size_t mMovesLeft;
  Plan mPlan;
};

} // namespace rattandyke::placement
