#include "load/load_config.h"

#include <gtest/gtest.h>

namespace rattandyke::load {
namespace {

// Whoever mistypes a key must not measure something else than intended: the
// file is refused, and the message names the section and the key.
TEST(LoadConfig, MistypedKeyIsRefusedByName)
{
  const auto config = ParseLoadConfig("[run]\nrate = 10\n"
                                      "[service board]\nkees = 4\n"
                                      "[customer desk]\nshare = 1\n");
  ASSERT_FALSE(config);
  EXPECT_NE(config.error().message.find("[service board] kees"),
            std::string::npos);
}

TEST(LoadConfig, ValueOfAnotherTypeIsRefused)
{
  const auto config = ParseLoadConfig("[run]\nrate = many\n");
  ASSERT_FALSE(config);
  EXPECT_NE(config.error().message.find("'many'"), std::string::npos);
}

TEST(LoadConfig, ReadsSectionsWithTheirNames)
{
  const auto config =
    ParseLoadConfig("[run]\nrate = 10\nseconds = 1.5\n"
                    "[service board]\nkeys = 4\n"
                    "[customer desk]\nshare = 3\nsurge_factor = 10\n");
  ASSERT_TRUE(config) << config.error().message;
  EXPECT_EQ(config->duration.count(), 1500);
  EXPECT_EQ(config->services.at(0).prefix, "/board");
  EXPECT_EQ(config->services.at(0).keys, 4);
  EXPECT_EQ(config->customers.at(0).name.value, "desk");
  EXPECT_EQ(config->customers.at(0).surgeFactor, 10);
}

} // namespace
} // namespace rattandyke::load
