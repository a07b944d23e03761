/// Computes one placement plan for the policy "least_moves".
#pragma once

#include <optional>
#include <set>
#include <vector>

#include <rattandyke/placement.h>

namespace rattandyke::placement {

/// Builds a plan in steps: each step adds moves to the plan and updates the
/// load of the upstreams concerned.
///
/// An upstream's utilization is its load divided by its capacity; a cold
/// upstream counts with reduced capacity. Moves of owned slots and keys are
/// limited by Input::mostMoves; assignments of unowned ones are not. Sorting
/// and assignments cost O((slots + upstreams) * log(slots + upstreams)); each
/// balancing move adds a linear scan of the source's slots.
class PlanBuilder
{
public:
  explicit PlanBuilder(const Input& aInput);

  /// Assigns unowned hot keys and slots to the least utilized upstreams.
  void AssignUnowned();
  /// Moves hot keys and slots away from draining upstreams.
  void MoveOffDraining();
  /// Moves slots one by one from the most to the least utilized upstream, while
  /// the target's new utilization is more than MinGain below the source's
  /// current one.
  void BalanceUtilization();
  /// Moves slots only from upstreams with Upstream::drowning set, to the least
  /// utilized upstream, under the same condition.
  void RelieveOverloaded();
  /// Moves the plan out; no other method may be called afterwards.
  Plan TakePlan();

private:
  struct UpstreamLoad
  {
    double capacity = 0;
    double load = 0;
    /// Whether its condition is Active.
    bool acceptsSlots = false;
    /// Owned slots that may move, in ascending order of load.
    std::vector<uint32_t> slots;
  };

  double Utilization(uint32_t aUpstream) const;
  double UtilizationWith(uint32_t aUpstream, double aExtraLoad) const;
  void AddLoad(uint32_t aUpstream, double aLoad);
  std::optional<uint32_t> LeastUtilized() const;
  void AssignSlots(std::vector<uint32_t> aSlots);
  void AssignHotKeys();
  bool MoveOneSlot(uint32_t aFrom, double aMinGain);
  std::optional<size_t> PickSlot(uint32_t aFrom,
                                 uint32_t aTo,
                                 double aMinGain) const;
  bool ConsumeMove();
  Reason BalancingReason(uint32_t aSlot) const;
  double MeanUtilization() const;
  double MinGain() const;

  const Input& mInput;
  /// In the order of Input::upstreams.
  std::vector<UpstreamLoad> mUpstreams;
  /// Upstreams that accept slots, by utilization, then by position.
  std::set<std::pair<double, uint32_t>> mByUtilization;
  /// The entries of mByUtilization that BalanceUtilization may still move slots
  /// from.
  std::set<std::pair<double, uint32_t>> mSources;
  size_t mMovesLeft;
  Plan mPlan;
};

} // namespace rattandyke::placement
