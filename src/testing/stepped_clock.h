/// A clock that a test moves.
#pragma once

#include "base/clock.h"

namespace rattandyke::testing {

class SteppedClock final : public Clock
{
public:
  Instant Now() const override { return mNow; }
  WallTime Wall() const override { return {}; }
  void Step(Duration aTime) { mNow += aTime; }

private:
  Instant mNow{ std::chrono::seconds{ 100 } };
};

} // namespace rattandyke::testing
