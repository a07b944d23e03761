#include "base/named_rate.h"

#include <gtest/gtest.h>

namespace rattandyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{ std::chrono::hours{ 1 } };

TEST(NamedRate, TakesTheNewestNotice)
{
  NamedRate rate;
  EXPECT_FALSE(rate.Update({}, kStart));
  EXPECT_FALSE(rate.WasNamed());
  EXPECT_TRUE(rate.Update(2, kStart));
  EXPECT_FALSE(rate.Update(5, kStart - seconds{ 1 }));
  EXPECT_EQ(rate.RequestsPerSecond(), 2);
  EXPECT_TRUE(rate.Update({}, kStart + milliseconds{ 1 }));
  EXPECT_FALSE(rate.RequestsPerSecond());
  EXPECT_TRUE(rate.WasNamed());
}

// Two hosts tell each other the same notice, each time a little younger than it
// is. It must not outlive a newer one by that.
TEST(NamedRate, RepeatedNoticeStaysOld)
{
  NamedRate rate;
  rate.Update(2, kStart);
  for (int repeat = 1; repeat <= 1000; ++repeat) {
    rate.Update(2, rate.ToldAt() + milliseconds{ 5 });
  }
  EXPECT_EQ(rate.ToldAt(), kStart);
}

// An upstream that names a limit of zero must get a request now and then, or
// nobody would learn that it accepts more.
TEST(NamedRate, ZeroAdmitsARequestNowAndThen)
{
  TokenBucket bucket(0, kStart);
  NamedRate::Apply(0, bucket, kStart);
  EXPECT_FALSE(bucket.Has(1, kStart + seconds{ 3 }));
  EXPECT_TRUE(bucket.Has(1, kStart + seconds{ 5 }));
}

} // namespace
} // namespace rattandyke
