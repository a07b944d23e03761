#include "upstream/announcer.h"

#include <gtest/gtest.h>

namespace rattandyke::upstream {
namespace {

TEST(AnnounceAnswer, ReadsNumbersThatTravelAsText)
{
  std::vector<Endpoint> hosts;
  const auto answer = ParseAnnounceAnswer(
    R"({"lease_ms": 800, "next_announce_ms": 150,
        "grants_version": "18446744073709551615", "hosts": ["127.0.0.1:7"],
        "grants": [{"first_slot": 0, "last_slot": 3, "fence": "402"},
                   {"key": "hot", "fence": "0"}], "unknown": {}})",
    hosts);
  ASSERT_TRUE(answer) << answer.error().message;
  EXPECT_EQ(answer->grantsVersion, UINT64_MAX);
  EXPECT_EQ(hosts, std::vector<Endpoint>{ Endpoint({ "127.0.0.1", 7 }) });
  const std::vector<Grant> expected{
    SlotGrant{ Slot{ 0 }, Slot{ 3 }, Fence{ 402 } },
    KeyGrant{ "hot", Fence{ 0 } },
  };
  EXPECT_EQ(answer->grants, expected);
}

// A grant that cannot be read must not vanish from the list: the upstream would
// take the rest for all its grants, and acknowledge a version that it does not
// hold to.
TEST(AnnounceAnswer, OneUnreadableGrantRefusesTheAnswer)
{
  std::vector<Endpoint> hosts;
  EXPECT_FALSE(ParseAnnounceAnswer(
    R"({"lease_ms": 800, "next_announce_ms": 150, "grants_version": "5",
        "grants": [{"first_slot": 0, "last_slot": 3, "fence": "402"},
                   {"first_slot": 4, "last_slot": 9, "fence": 402}]})",
    hosts));
}

// Without grants in the answer those held go on; an empty list takes all away.
TEST(AnnounceAnswer, MissingGrantsAreNotNoGrants)
{
  std::vector<Endpoint> hosts;
  const std::string start =
    R"({"lease_ms": 0, "next_announce_ms": 1, "grants_version": "5")";
  EXPECT_FALSE(ParseAnnounceAnswer(start + "}", hosts)->grants.has_value());
  EXPECT_TRUE(
    ParseAnnounceAnswer(start + R"(, "grants": []})", hosts)->grants->empty());
}

} // namespace
} // namespace rattandyke::upstream
