#include "log/log.h"
#include "log/rate_bound.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace rattandyke::log {
namespace {

std::vector<std::string>
LinesOf(const std::string& aText)
{
  std::vector<std::string> lines;
  std::istringstream stream(aText);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

Options
ToStream(const std::shared_ptr<std::ostringstream>& aStream)
{
  Options options;
  options.stream = aStream;
  options.host.value = "h1";
  options.dataCentre.value = "kolkata-1";
  return options;
}

// A caller puts a line break and a forged prefix into a header that is logged.
// The operator must see one line from the part that spoke, not two.
TEST(Log, TextFromOutsideCannotForgeALine)
{
  const auto stream = std::make_shared<std::ostringstream>();
  Configure(ToStream(stream));
  Line(Part::Entry, Severity::Warning, "r-1") << "path /a\nraft: forged";
  Flush();
  const std::vector<std::string> lines = LinesOf(stream->str());
  ASSERT_EQ(lines.size(), 1U) << stream->str();
  EXPECT_NE(
    lines[0].find("warning h1/kolkata-1 entry: path /a\\x0araft: forged [r-1]"),
    std::string::npos)
    << lines[0];
}

TEST(Log, JsonLinesParseAndCarryTheAttributes)
{
  const auto stream = std::make_shared<std::ostringstream>();
  Options options = ToStream(stream);
  options.format = Format::Json;
  Configure(options);
  Line(Part::Raft, Severity::Info, "r-2") << "leader of term " << 7;
  Line(Part::Raft, Severity::Debug) << "below the level";
  Flush();
  const std::vector<std::string> lines = LinesOf(stream->str());
  ASSERT_EQ(lines.size(), 1U);
  const boost::json::value line = boost::json::parse(lines[0]);
  EXPECT_EQ(line.at("part"), "raft");
  EXPECT_EQ(line.at("host"), "h1");
  EXPECT_EQ(line.at("message"), "leader of term 7");
  EXPECT_EQ(line.at("request_id"), "r-2");
}

// A fault logs without end. The disk must see the bound's lines only, and the
// first line after the pause must tell how many were left out.
TEST(Log, RateBoundCountsWhatItLeavesOut)
{
  RateBound bound(10);
  const Instant start{ std::chrono::seconds(100) };
  int passed = 0;
  for (int i = 0; i < 1000; ++i) {
    passed += bound.Pass(start) ? 1 : 0;
  }
  EXPECT_EQ(passed, 10);
  EXPECT_EQ(bound.Pass(start + std::chrono::seconds(1)), 990U);
  EXPECT_EQ(bound.Pass(start + std::chrono::seconds(1)), 0U);
}

// Guards against a warning beside each line that passes while the bound is
// reached, which doubles what a fault writes.
TEST(Log, LinesLeftOutAreToldOnceASecond)
{
  RateBound bound(100);
  Instant now{ std::chrono::seconds(100) };
  uint64_t told = 0;
  uint64_t leftOut = 0;
  int warnings = 0;
  for (int i = 0; i < 5000; ++i) {
    now += std::chrono::milliseconds(1);
    const auto passed = bound.Pass(now);
    leftOut += passed ? 0 : 1;
    told += passed.value_or(0);
    warnings += passed.value_or(0) > 0 ? 1 : 0;
  }
  EXPECT_LE(warnings, 6);
  told += bound.Pass(now + std::chrono::seconds(1)).value_or(0);
  EXPECT_EQ(told, leftOut);
}

} // namespace
} // namespace rattandyke::log
