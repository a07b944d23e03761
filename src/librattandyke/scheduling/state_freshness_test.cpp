#include "scheduling/state_freshness.h"

#include <gtest/gtest.h>

namespace rattandyke::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a frozen control host that takes the messages it reads first
// for new ones, and allocates by a state from before the pause.
TEST(StateFreshness, MessagesFromBeforeTheEndOfAPauseDoNotConfirm)
{
  Instant now{ seconds{ 100 } };
  StateFreshness freshness(now);
  EXPECT_GT(freshness.AgeAt(now), seconds{ 60 });
  freshness.OnTick(now);
  freshness.OnConfirmed(now);
  EXPECT_EQ(freshness.AgeAt(now), Duration::zero());
  now += seconds{ 3 };
  freshness.OnConfirmed(now);
  EXPECT_EQ(freshness.AgeAt(now), seconds{ 3 });
  freshness.OnTick(now);
  freshness.OnConfirmed(now + milliseconds{ 10 });
  EXPECT_GE(freshness.AgeAt(now), seconds{ 3 });
  now += Duration(StateFreshness::kSettlingTime);
  freshness.OnTick(now);
  freshness.OnConfirmed(now);
  EXPECT_EQ(freshness.AgeAt(now), Duration::zero());
}

} // namespace
} // namespace rattandyke::scheduling
