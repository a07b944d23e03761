#include "base/pause_detector.h"

#include <gtest/gtest.h>

namespace rattandyke {
namespace {

using std::chrono::milliseconds;

class PauseDetectorTest : public ::testing::Test
{
protected:
  static Instant At(int64_t aMs) { return Instant{ milliseconds{ aMs } }; }

  PauseDetector detector{ milliseconds{ 500 }, milliseconds{ 200 } };
};

TEST_F(PauseDetectorTest, RegularTicksAreNoPause)
{
  EXPECT_FALSE(detector.MayBeOld(At(10000)));
  for (int64_t now = 10000; now < 12000; now += 500) {
    detector.Tick(At(now));
    EXPECT_FALSE(detector.MayBeOld(At(now + 500)));
  }
}

// Guards against an old order whose handler runs before that of the first tick
// after a pause.
TEST_F(PauseDetectorTest, InputIsOldBeforeTheFirstTick)
{
  detector.Tick(At(1000));
  EXPECT_TRUE(detector.MayBeOld(At(5000)));
}

TEST_F(PauseDetectorTest, InputIsOldForAWhileAfterAPause)
{
  detector.Tick(At(1000));
  detector.Tick(At(5000));
  EXPECT_TRUE(detector.MayBeOld(At(5199)));
  detector.Tick(At(5100));
  EXPECT_FALSE(detector.MayBeOld(At(5200)));
}

} // namespace
} // namespace rattandyke
