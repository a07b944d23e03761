#include "http/back_pressure.h"

#include <cmath>

#include <gtest/gtest.h>

namespace rattandyke::http {
namespace {

using boost::beast::http::fields;

fields
WithLimit(const std::string& aText)
{
  fields response;
  response.insert("Limit", aText);
  return response;
}

TEST(ReadRateLimit, AcceptsDecimalNumbers)
{
  EXPECT_EQ(ReadRateLimit(WithLimit("1"), "Limit"), 1.0);
  EXPECT_EQ(ReadRateLimit(WithLimit("1.5"), "Limit"), 1.5);
  EXPECT_EQ(ReadRateLimit(WithLimit("0"), "limit"), 0.0);
  EXPECT_EQ(ReadRateLimit(WithLimit("1000000000"), "Limit"), 1e9);
  const auto none = ReadRateLimit(fields{}, "Limit");
  ASSERT_TRUE(none);
  EXPECT_FALSE(*none);
}

// A malformed limit must neither stop the traffic to an upstream nor lift a
// limit that it named before.
TEST(ReadRateLimit, RejectsMalformedValues)
{
  for (const char* text :
       { "", "-1", "-0.5", "nan", "inf", "1/s", "1 2", "1,2", "1e3", "0x10" }) {
    EXPECT_FALSE(ReadRateLimit(WithLimit(text), "Limit")) << text;
  }
  EXPECT_FALSE(ReadRateLimit(WithLimit(std::string(400, '9')), "Limit"));
  fields twice = WithLimit("1");
  twice.insert("Limit", "2");
  EXPECT_FALSE(ReadRateLimit(twice, "Limit"));
}

fields
WithRetryAfter(const std::string& aText)
{
  fields response;
  response.insert("Retry-After", aText);
  return response;
}

TEST(ReadRetryAfter, AcceptsSeconds)
{
  using std::chrono::milliseconds;
  EXPECT_EQ(ReadRetryAfter(WithRetryAfter("3")),
            Duration(milliseconds{ 3000 }));
  EXPECT_EQ(ReadRetryAfter(WithRetryAfter("0.25")),
            Duration(milliseconds{ 250 }));
  EXPECT_EQ(ReadRetryAfter(WithRetryAfter("0")), Duration::zero());
  const auto none = ReadRetryAfter(fields{});
  ASSERT_TRUE(none);
  EXPECT_FALSE(*none);
}

// An upstream that asks for a day, or in a way that can't be read, must get
// requests again after it has recovered.
TEST(ReadRetryAfter, BoundsAndRejectsValues)
{
  EXPECT_EQ(ReadRetryAfter(WithRetryAfter("86400")),
            Duration(std::chrono::seconds{ 60 }));
  for (const char* text :
       { "", "-3", "3s", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "nan" }) {
    EXPECT_FALSE(ReadRetryAfter(WithRetryAfter(text))) << text;
  }
}

} // namespace
} // namespace rattandyke::http
