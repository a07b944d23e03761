#include <rattandyke/placement.h>

#include "plan_builder.h"

namespace rattandyke::placement {

namespace {

/// Gives what has no owner to the least used upstream, empties draining
/// upstreams, and then moves slots one by one from the most to the least used
/// upstream while each move lowers the highest use. So a join or leave moves
/// the minimum, and a balanced service moves nothing.
class LeastMoves final : public Policy
{
public:
  Plan Decide(const Input& aInput) const override
  {
    Balance balance(aInput);
    balance.PlaceFree();
    balance.EmptyDraining();
    if (aInput.wishes.deadlineWindow) {
      balance.RelieveDrowning();
    } else {
      balance.Even();
    }
    return balance.TakePlan();
  }
};

const PolicyRegistry::Registration sRegistration("least_moves", [] {
  return std::make_unique<LeastMoves>();
});

} // namespace

} // namespace rattandyke::placement
