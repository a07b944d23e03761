#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "agent/announcement_json.h"

namespace rattandyke::agent {
namespace {

boost::json::object
Valid()
{
  return { { "service", "board" },
           { "name", "board-3" },
           { "incarnation", "18446744073709551615" },
           { "address", "127.0.0.1:8080" },
           { "data_centre", "kolkata-1" },
           { "slots", 2 },
           { "checks_fences", true },
           { "draining", false },
           { "grants_version", "417" },
           { "a_later_field", 1 } };
}

TEST(AnnouncementJson, ReadsEveryField)
{
  const auto read = ParseAnnouncement(boost::json::serialize(Valid()));
  ASSERT_TRUE(read) << read.error().message;
  EXPECT_EQ(read->name, UpstreamName{ "board-3" });
  EXPECT_EQ(read->incarnation, UINT64_MAX);
  EXPECT_EQ(read->address, (Endpoint{ "127.0.0.1", 8080 }));
  EXPECT_TRUE(read->checksFences);
  EXPECT_EQ(read->grantsVersion, TableVersion{ 417 });
  EXPECT_EQ(read->hold, std::chrono::milliseconds(0));
}

TEST(AnnouncementJson, NamesTheFieldThatIsWrong)
{
  const std::vector<std::pair<std::string, boost::json::value>> wrong = {
    { "service", "" },          { "name", "a/b" },
    { "incarnation", "0" },     { "incarnation", 7 },
    { "incarnation", "-1" },    { "address", "localhost:80" },
    { "address", "1.2.3.4:0" }, { "slots", 0 },
    { "slots", "2" },           { "draining", "no" },
    { "grants_version", "" },   { "hold_ms", 251 },
    { "data_centre", nullptr }
  };
  for (const auto& [field, value] : wrong) {
    auto object = Valid();
    object[field] = value;
    const auto read = ParseAnnouncement(boost::json::serialize(object));
    ASSERT_FALSE(read) << field << value;
    EXPECT_EQ(read.error().code, Code::MalformedRequest);
    EXPECT_NE(read.error().message.find("'" + field + "'"), std::string::npos);
  }
}

TEST(AnnouncementJson, RefusesWhatIsNoObject)
{
  for (const char* text : { "", "[]", "{", "7", "{\"service\":" }) {
    EXPECT_FALSE(ParseAnnouncement(text)) << text;
  }
}

TEST(AnnouncementJson, WritesGrantsOnlyIfIncluded)
{
  AnnounceAnswer answer;
  answer.lease = std::chrono::milliseconds(800);
  answer.grantsVersion = { 417 };
  answer.hosts = { { "10.0.0.2", 7003 } };
  EXPECT_EQ(ToJson(answer),
            R"({"lease_ms":800,"next_announce_ms":150,)"
            R"("grants_version":"417","hosts":["10.0.0.2:7003"]})");
  answer.grantsIncluded = true;
  answer.grants = { SlotRangeGrant{ { 0 }, { 15 }, { 402 } },
                    KeyGrant{ "hot", { 417 } } };
  const auto object = boost::json::parse(ToJson(answer)).as_object();
  EXPECT_EQ(boost::json::serialize(object.at("grants")),
            R"([{"first_slot":0,"last_slot":15,"fence":"402"},)"
            R"({"key":"hot","fence":"417"}])");
}

} // namespace
} // namespace rattandyke::agent
