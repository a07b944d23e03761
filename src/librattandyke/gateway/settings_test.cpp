#include "gateway/settings.h"

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

constexpr std::string_view kEntryHost = R"([host]
name = entry-1
role = entry
data_folder =
[listen]
callers = 10.0.0.1:80
peers = 10.0.0.1:7000
[control]
seeds = 10.0.0.7:90,10.0.0.8:90
)";

TEST(GatewaySettings, ParsesEntryHostAndFillsInDefaults)
{
  const Result<Settings> settings = ParseSettings(kEntryHost, "file");
  ASSERT_TRUE(settings) << settings.error().message;
  EXPECT_TRUE(settings->entry);
  EXPECT_FALSE(settings->control);
  EXPECT_EQ(settings->callers->port, 80);
  EXPECT_FALSE(settings->readiness);
  ASSERT_EQ(settings->seeds.size(), 2U);
  // The file has the ports for calls; hosts connect to the port for peers.
  EXPECT_EQ(settings->seeds[1], (Endpoint{ "10.0.0.8", 7000 }));
  EXPECT_EQ(settings->tolerated, 2U);
  EXPECT_FALSE(settings->firstStart);
}

TEST(GatewaySettings, AdvertisedAddressReplacesPeerAddress)
{
  std::string text(kEntryHost);
  text.insert(text.find("peers ="), "advertised = 10.9.0.1:7100\n");
  const auto settings = ParseSettings(text, "file");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->AdvertisedAddress(), (Endpoint{ "10.9.0.1", 7100 }));
  EXPECT_EQ(settings->seeds[0].port, 7100);
}

// Failure: a file with several mistakes reports only the first one, and an
// operator needs one attempt per mistake. Each problem must have a message with
// its line.
TEST(GatewaySettings, ReportsAllProblemsAtOnce)
{
  const auto settings =
    ParseSettings("[host]\nrole = boss\nrank = 1\n[leases]\nhold = 20s\n"
                  "[listen]\npeers = here\n",
                  "file");
  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().code, Code::InvalidSettings);
  const std::string& text = settings.error().message;
  for (const char* expected : { "file:2: [host] role: read 'boss'",
                                "file:3: [host] rank is not a setting",
                                "file:7: [listen] peers: read 'here'",
                                "[control] seeds names no host",
                                "hold is above longest_hold" }) {
    EXPECT_NE(text.find(expected), std::string::npos)
      << expected << " in " << text;
  }
}

// Failure: with a long heartbeat interval, the default lease expires after a
// single unanswered heartbeat, and the keys of a healthy upstream move.
TEST(GatewaySettings, DefaultLeaseOutlastsALostHeartbeat)
{
  const auto holdWith = [](const std::string& aLeases) {
    const auto settings =
      ParseSettings(std::string(kEntryHost) + "[leases]\n" + aLeases, "file");
    EXPECT_TRUE(settings);
    return settings ? settings->hold : Millis{};
  };
  EXPECT_EQ(holdWith("heartbeat_interval = 870ms\n"), Millis{ 4500 });
  EXPECT_EQ(holdWith("heartbeat_interval = 3s\n"), Millis{ 7500 });
  EXPECT_EQ(holdWith("heartbeat_interval = 9s\n"), Millis{ 10000 });
  EXPECT_EQ(holdWith("heartbeat_interval = 3s\nhold = 5s\n"), Millis{ 5000 });
}

TEST(GatewaySettings, SchedulingIsAsBeforeByDefault)
{
  const auto settings = ParseSettings(kEntryHost, "file");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->linkAdmission, LinkAdmission::Queue);
  EXPECT_EQ(settings->slotAllocators, SlotAllocators::Entries);
  EXPECT_FALSE(settings->sharedDemand);
  EXPECT_EQ(settings->dispatch, Dispatch::Coordinated);
}

TEST(GatewaySettings, SchedulingCanBeChosen)
{
  const auto settings = ParseSettings(
    std::string(kEntryHost) +
      "[link]\nadmission = transfer\n[slots]\nallocators = capacity\n"
      "[admission]\nshared_demand = true\ndispatch = demand\n",
    "file");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->linkAdmission, LinkAdmission::Transfer);
  EXPECT_EQ(settings->slotAllocators, SlotAllocators::Capacity);
  EXPECT_TRUE(settings->sharedDemand);
  EXPECT_EQ(settings->dispatch, Dispatch::Demand);
}

// Guards against entry hosts that dispatch by a demand that nobody tells them.
TEST(GatewaySettings, DispatchByDemandNeedsSharedDemand)
{
  const auto settings = ParseSettings(
    std::string(kEntryHost) + "[admission]\ndispatch = demand\n", "file");
  ASSERT_FALSE(settings);
  EXPECT_NE(settings.error().message.find("needs shared_demand"),
            std::string::npos);
}

TEST(GatewaySettings, EachRoleRequiresItsAddresses)
{
  EXPECT_FALSE(ParseSettings("[control]\nseeds = 10.0.0.1:1\n", "file"));
  EXPECT_FALSE(ParseSettings(
    "[host]\nrole = control\n[control]\nseeds = 10.0.0.1:1\n", "file"));
}

} // namespace
} // namespace rattandyke::gateway
