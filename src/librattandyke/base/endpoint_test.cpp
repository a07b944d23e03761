#include <gtest/gtest.h>

#include "base/endpoint.h"

namespace rattandyke {
namespace {

TEST(Endpoint, ReadsWhatItWrites)
{
  for (const std::string text :
       { "127.0.0.1:7001", "[::1]:80", "10.0.0.9:0" }) {
    const auto endpoint = ParseEndpoint(text);
    ASSERT_TRUE(endpoint) << text;
    EXPECT_EQ(ToString(*endpoint), text);
  }
}

TEST(Endpoint, RefusesAnythingElse)
{
  for (const std::string text : { "",
                                  ":80",
                                  "localhost:80",
                                  "127.0.0.1",
                                  "127.0.0.1:",
                                  "127.0.0.1:65536",
                                  "127.0.0.1:8x",
                                  "::1:80",
                                  "[127.0.0.1]:80" }) {
    EXPECT_FALSE(ParseEndpoint(text)) << text;
  }
}

} // namespace
} // namespace rattandyke
