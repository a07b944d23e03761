#include "bench/figure.h"

#include <limits>
#include <sstream>

#include <gtest/gtest.h>

namespace rattandyke::bench {
namespace {

TEST(Figure, LinesHaveTheFormThatProgramsRead)
{
  EXPECT_EQ(ToLine({ "owners_at_once_max", 1, "count", Bound::AtMost, 1 }),
            "figure owners_at_once_max 1 count bound <= 1 ok");
  EXPECT_EQ(ToLine({ "goodput", 0.875, "ratio", Bound::AtLeast, 0.9 }),
            "figure goodput 0.875 ratio bound >= 0.9 over");
  EXPECT_EQ(ToLine({ "lookup_time", 41.25, "ns", Bound::None, 0 }),
            "figure lookup_time 41.25 ns bound - -");
  EXPECT_EQ(ToLine({ "table_bytes", 7654321, "bytes", Bound::AtMost, 8e6 }),
            "figure table_bytes 7654321 bytes bound <= 8000000 ok");
}

// A bench divides by a count of zero, say because its load never started: the
// figure is not a number, and every comparison with it is false. It must be
// over in both directions, or a run that measured nothing would pass.
TEST(Figure, ValueThatIsNotANumberIsOver)
{
  const double nan = std::numeric_limits<double>::quiet_NaN();
  std::ostringstream out;
  Reporter reporter(out);
  reporter.AtMost("ratio", nan, "ratio", 1);
  reporter.AtLeast("ratio", nan, "ratio", 1);
  EXPECT_EQ(reporter.Over(), 2u);
  EXPECT_EQ(out.str(),
            "figure ratio nan ratio bound <= 1 over\n"
            "figure ratio nan ratio bound >= 1 over\n");
}

TEST(Reporter, CountsOnlyBrokenBounds)
{
  std::ostringstream out;
  Reporter reporter(out);
  reporter.Printed("plain", 5, "ms");
  reporter.AtMost("small", 1, "ms", 2);
  reporter.AtLeast("large", 1, "ms", 2);
  EXPECT_EQ(reporter.Over(), 1u);
}

} // namespace
} // namespace rattandyke::bench
