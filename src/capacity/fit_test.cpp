#include "capacity/fit.h"

#include <gtest/gtest.h>

namespace rattandyke::capacity {
namespace {

TEST(Fit, FindsAnExactLine)
{
  const Fit fit = FitLine({ { 10, 23 }, { 100, 203 }, { 1000, 2003 } });
  EXPECT_NEAR(fit.slope, 2, 1e-9);
  EXPECT_NEAR(fit.base, 3, 1e-9);
  EXPECT_NEAR(fit.error, 0, 1e-9);
}

// What grows with the square looks like a line if only the largest sizes are
// looked at. The error has to show it, or a page built on the slope would
// promise a size that the system cannot carry.
TEST(Fit, ShowsThatACurveIsNoLine)
{
  const Fit fit = FitLine({ { 10, 100 }, { 100, 10000 }, { 1000, 1000000 } });
  EXPECT_GT(fit.error, 0.5);
}

} // namespace
} // namespace rattandyke::capacity
