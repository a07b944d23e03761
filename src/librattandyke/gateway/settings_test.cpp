#include "gateway/settings.h"

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

constexpr std::string_view kEntry = R"([host]
name = entry-1
role = entry
data_folder =
[listen]
callers = 10.0.0.1:80
peers = 10.0.0.1:7000
[control]
seeds = 10.0.0.7:90,10.0.0.8:90
)";

TEST(GatewaySettings, ReadsAnEntryAndFillsDefaultsIn)
{
  const Result<Settings> settings = ParseSettings(kEntry, "file");
  ASSERT_TRUE(settings) << settings.error().message;
  EXPECT_TRUE(settings->entry);
  EXPECT_FALSE(settings->control);
  EXPECT_EQ(settings->callers->port, 80);
  EXPECT_FALSE(settings->readiness);
  ASSERT_EQ(settings->seeds.size(), 2U);
  // Seeds are named by the port for calls; hosts talk at the port for peers.
  EXPECT_EQ(settings->seeds[1], (Endpoint{ "10.0.0.8", 7000 }));
  EXPECT_EQ(settings->tolerated, 2U);
  EXPECT_FALSE(settings->firstStart);
}

TEST(GatewaySettings, AdvertisedAddressIsTheHostsName)
{
  std::string text(kEntry);
  text.insert(text.find("peers ="), "advertised = 10.9.0.1:7100\n");
  const auto settings = ParseSettings(text, "file");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->AdvertisedAddress(), (Endpoint{ "10.9.0.1", 7100 }));
  EXPECT_EQ(settings->seeds[0].port, 7100);
}

// An operator mistypes several keys. Each must be named with its line and what
// is allowed, in one go.
TEST(GatewaySettings, NamesEveryProblem)
{
  const auto settings =
    ParseSettings("[host]\nrole = boss\nrank = 1\n[leases]\nhold = 20s\n"
                  "[listen]\npeers = here\n",
                  "file");
  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().code, Code::InvalidSettings);
  const std::string& text = settings.error().message;
  for (const char* part : { "file:2: [host] role: read 'boss'",
                            "file:3: [host] rank is not a setting",
                            "file:7: [listen] peers: read 'here'",
                            "[control] seeds names no host",
                            "hold is above longest_hold" }) {
    EXPECT_NE(text.find(part), std::string::npos) << part << " in " << text;
  }
}

// Guards against holds that one unanswered heartbeat outlasts where heartbeats
// are far apart.
TEST(GatewaySettings, HoldOutlastsALostHeartbeat)
{
  const auto holdWith = [](const std::string& aLeases) {
    const auto settings =
      ParseSettings(std::string(kEntry) + "[leases]\n" + aLeases, "file");
    EXPECT_TRUE(settings);
    return settings ? settings->hold : Millis{};
  };
  EXPECT_EQ(holdWith("heartbeat_interval = 870ms\n"), Millis{ 4500 });
  EXPECT_EQ(holdWith("heartbeat_interval = 3s\n"), Millis{ 7500 });
  EXPECT_EQ(holdWith("heartbeat_interval = 9s\n"), Millis{ 10000 });
  EXPECT_EQ(holdWith("heartbeat_interval = 3s\nhold = 5s\n"), Millis{ 5000 });
}

TEST(GatewaySettings, RolesNeedTheirAddresses)
{
  EXPECT_FALSE(ParseSettings("[control]\nseeds = 10.0.0.1:1\n", "file"));
  EXPECT_FALSE(ParseSettings(
    "[host]\nrole = control\n[control]\nseeds = 10.0.0.1:1\n", "file"));
}

} // namespace
} // namespace rattandyke::gateway
