#include "gateway/resting_upstreams.h"

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::seconds;

constexpr Instant kStart{ std::chrono::hours{ 1 } };

TEST(RestingUpstreams, KeepsTheLongestRestOfAnIncarnation)
{
  RestingUpstreams resting;
  resting.Record("a", 1, kStart + seconds{ 3 });
  resting.Record("a", 1, kStart + seconds{ 1 });
  EXPECT_EQ(resting.Left("a", 1, kStart), Duration(seconds{ 3 }));
  EXPECT_EQ(resting.Left("b", 1, kStart), Duration::zero());
  EXPECT_EQ(resting.Instances(kStart).size(), 1U);
  EXPECT_TRUE(resting.Instances(kStart + seconds{ 3 }).empty());
}

// An upstream that has started again must not wait for the rest of its previous
// incarnation to end.
TEST(RestingUpstreams, NewIncarnationDoesNotRest)
{
  RestingUpstreams resting;
  resting.Record("a", 1, kStart + seconds{ 3 });
  EXPECT_EQ(resting.Left("a", 2, kStart), Duration::zero());
  resting.Record("a", 2, kStart + seconds{ 1 });
  EXPECT_EQ(resting.Left("a", 2, kStart), Duration(seconds{ 1 }));
  resting.RemoveEnded(kStart + seconds{ 1 });
  EXPECT_EQ(resting.Left("a", 2, kStart), Duration::zero());
}

} // namespace
} // namespace rattandyke::gateway
