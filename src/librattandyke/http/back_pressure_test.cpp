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

} // namespace
} // namespace rattandyke::http
