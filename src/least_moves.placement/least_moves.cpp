#include <rattandyke/placement.h>

#include "plan_builder.h"

namespace rattandyke::placement {

namespace {

/// Placement policy "least_moves": balances utilization with few moves.
///
/// It assigns unowned slots and keys to the least utilized upstreams, moves
/// owned ones away from draining upstreams, and then moves slots one by one
/// from the most to the least utilized upstream while each move lowers the
/// highest utilization. In a deadline window, this last step moves slots only
/// from overloaded upstreams. A joining or leaving upstream causes only the
/// moves that restore the balance, and a balanced service has none.
class LeastMoves final : public Policy
{
public:
  Plan Decide(const Input& aInput) const override
  {
    PlanBuilder builder(aInput);
    builder.AssignUnowned();
    builder.MoveOffDraining();
    if (aInput.wishes.deadlineWindow) {
      builder.RelieveOverloaded();
    } else {
      builder.BalanceUtilization();
    }
    return builder.TakePlan();
  }
};

const PolicyRegistry::Registration sRegistration("least_moves", [] {
  return std::make_unique<LeastMoves>();
});

} // namespace

} // namespace rattandyke::placement
