#include "metrics/burn_report.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::metrics {
namespace {

using namespace std::chrono_literals;

const WallTime kNow{ std::chrono::hours(490'000) };

ServiceBurn
BurnOf(const std::string& aService, const ObjectiveCounts& aCounts)
{
  ServiceBurn burn;
  burn.service = aService;
  burn.history.Add(kNow - 1min, aCounts);
  return burn;
}

BurnReport
ReportOf(const std::vector<std::vector<ServiceBurn>>& aHosts)
{
  return { kNow, { "h1" }, {}, MergeBurn(aHosts, kNow) };
}

TEST(BurnReport, AddsUpHosts)
{
  const auto report = ReportOf(
    { { BurnOf("board", { 900, 9, 0 }) },
      { BurnOf("board", { 100, 1, 3 }), BurnOf("ledger", { 1, 0, 0 }) } });
  ASSERT_EQ(report.services.size(), 2u);
  EXPECT_EQ(report.services[0].availability.windows[0].total, 1000u);
  EXPECT_EQ(report.services[0].availability.windows[0].bad, 10u);
  EXPECT_NEAR(report.services[0].availability.windows[0].rate, 10, 1e-9);
}

// A stricter objective was submitted and has reached one of two hosts. The
// report takes the stricter one, whichever host it asks first: an operator who
// just tightened it must not see the old budget come and go.
TEST(BurnReport, TheStrictestObjectiveCounts)
{
  ServiceBurn strict = BurnOf("board", { 100, 1, 0 });
  strict.objective.availability = 0.9999;
  const ServiceBurn old = BurnOf("board", { 100, 1, 0 });
  EXPECT_EQ(ReportOf({ { strict }, { old } }).services[0].availability.target,
            0.9999);
  EXPECT_EQ(ReportOf({ { old }, { strict } }).services[0].availability.target,
            0.9999);
}

TEST(BurnReport, JsonComesBackAsItWas)
{
  ServiceBurn burn = BurnOf("board", { 7, 2, 1 });
  burn.objective = { 0.99, 250ms, 0.95 };
  const auto parsed = ParseBurn(ToJson(HostName{ "h1" }, { burn }));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->at(0).service, "board");
  EXPECT_EQ(parsed->at(0).objective, burn.objective);
  EXPECT_EQ(parsed->at(0).history.Minutes(), burn.history.Minutes());
}

// A host of another version, or something else on that port, answers with JSON
// that is not a burn. The report must name that host and go on, not end.
RC_GTEST_PROP(BurnReport, DamagedJsonIsAnErrorNeverACrash, ())
{
  std::string text = boost::json::serialize(
    ToJson(HostName{ "h1" }, { BurnOf("board", { 7, 2, 1 }) }));
  const auto at = *rc::gen::inRange<size_t>(0, text.size());
  text[at] = *rc::gen::inRange<char>(32, 126);
  boost::system::error_code error;
  const auto json = boost::json::parse(text, error);
  if (!error) {
    const auto parsed = ParseBurn(json);
    RC_ASSERT(parsed || parsed.error().code == Code::TransportFailed);
  }
}

TEST(BurnReport, MoreBadThanAllIsRefused)
{
  const auto json = boost::json::parse(
    R"({"services": [{"service": "s", "objective": {"availability": 0.9,
        "latency_ms": 5, "latency_share": 0.9}, "minutes": [[9, 1, 1, 1]]}]})");
  EXPECT_FALSE(ParseBurn(json));
}

// Names of services and hosts come from records and settings. In the page they
// must stay text: a name with markup in it could otherwise run a script in the
// browser of whoever opens the report.
TEST(BurnReport, NamesAreTextInThePage)
{
  auto report = ReportOf({ { BurnOf("<script>x</script>", { 1, 0, 0 }) } });
  report.missing = { "<b>h2</b>: unreachable" };
  const std::string page = ToHtml(report);
  EXPECT_EQ(page.find("<script"), std::string::npos);
  EXPECT_EQ(page.find("<b>"), std::string::npos);
  EXPECT_NE(page.find("&lt;script&gt;"), std::string::npos);
}

TEST(BurnReport, ThePageLoadsNothing)
{
  const std::string page = ToHtml(ReportOf({ { BurnOf("s", { 9, 1, 1 }) } }));
  for (const char* word : { "http:", "https:", "src=", "@import", "url(" }) {
    EXPECT_EQ(page.find(word), std::string::npos) << word;
  }
  EXPECT_NE(page.find("<polyline"), std::string::npos);
}

TEST(BurnReport, TextTellsWhenTheBudgetRunsOut)
{
  BudgetReport budget;
  EXPECT_EQ(RunsOutText(budget), "not at this pace");
  budget.runsOutIn = 0min;
  EXPECT_EQ(RunsOutText(budget), "used up");
  budget.runsOutIn = 59min;
  EXPECT_EQ(RunsOutText(budget), "in 59 min");
  budget.runsOutIn = 28h;
  EXPECT_EQ(RunsOutText(budget), "in 1 d 4 h");
}

} // namespace
} // namespace rattandyke::metrics
