#include <gtest/gtest.h>

#include "agent/in_flight_versions.h"

namespace rattandyke::agent {
namespace {

// A release comes into force while an older request still runs at an upstream
// that does not check fences. The leader must not grant the key to anyone else
// until that request ended, so the host is quiesced no further than it.
TEST(InFlightVersions, RunningRequestHoldsBackQuiesced)
{
  InFlightVersions versions;
  versions.Publish(TableVersion{ 5 });
  auto bracket = versions.Enter(TableVersion{ 5 });
  ASSERT_TRUE(bracket);
  versions.Publish(TableVersion{ 9 });
  EXPECT_EQ(versions.Quiesced(), TableVersion{ 5 });
  bracket->End();
  EXPECT_EQ(versions.Quiesced(), TableVersion{ 9 });
}

// A worker looks up an owner, is held up, and goes on after a newer table was
// published and reported as quiesced. Sending then would reach an owner that
// may have been replaced, so it has to look up again.
TEST(InFlightVersions, LookupInOlderTableIsRefused)
{
  InFlightVersions versions;
  versions.Publish(TableVersion{ 7 });
  EXPECT_FALSE(versions.Enter(TableVersion{ 6 }));
  EXPECT_TRUE(versions.Enter(TableVersion{ 7 }));
}

TEST(InFlightVersions, MovedBracketEndsOnce)
{
  InFlightVersions versions;
  versions.Publish(TableVersion{ 1 });
  auto first = versions.Enter(TableVersion{ 1 });
  auto second = versions.Enter(TableVersion{ 1 });
  InFlightVersions::Bracket moved = std::move(*first);
  moved = std::move(*second);
  versions.Publish(TableVersion{ 2 });
  EXPECT_EQ(versions.Quiesced(), TableVersion{ 1 });
  moved.End();
  moved.End();
  EXPECT_EQ(versions.Quiesced(), TableVersion{ 2 });
}

} // namespace
} // namespace rattandyke::agent
