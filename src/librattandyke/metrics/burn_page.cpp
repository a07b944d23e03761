// The report as one HTML page with plots in SVG.
#include <algorithm>
#include <cstdio>

#include "metrics/burn_report.h"

namespace rattandyke::metrics {
namespace {

constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 140;
constexpr std::chrono::minutes kBin{ 30 };

/// Names come from records and hosts; in the page they are text, never markup.
std::string
Escaped(std::string_view aText)
{
  std::string escaped;
  for (const char letter : aText) {
    switch (letter) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

std::string
Number(const char* aFormat, double aValue)
{
  char text[48];
  std::snprintf(text, sizeof text, aFormat, aValue);
  return text;
}

/// Burn rate of each half hour of the period, oldest first.
std::vector<double>
RatesOf(const ServiceReport& aService, Budget aBudget, WallTime aNow)
{
  std::vector<double> rates;
  for (auto back = kBudgetPeriod - kBin; back >= kBin * 0; back -= kBin) {
    const WallTime end = aNow - back;
    const ObjectiveCounts counts = aService.history.Sum(end, kBin);
    const bool availability = aBudget == Budget::Availability;
    const double all = static_cast<double>(
      availability ? counts.total : counts.total - counts.failed);
    const double bad =
      static_cast<double>(availability ? counts.failed : counts.slow);
    const double target =
      (availability ? aService.availability : aService.latency).target;
    const double allowed = std::max(1 - target, 1e-9);
    rates.push_back(all > 0 ? bad / all / allowed : 0);
  }
  return rates;
}

std::string
Line(const std::vector<double>& aRates, double aMost, const char* aColour)
{
  std::string points;
  for (size_t bin = 0; bin < aRates.size(); ++bin) {
    const double x = kPlotWidth * static_cast<double>(bin) /
                     static_cast<double>(aRates.size() - 1);
    const double y = kPlotHeight * (1 - std::min(aRates[bin] / aMost, 1.0));
    points += Number("%.1f,", x) + Number("%.1f ", y);
  }
  return "<polyline fill=\"none\" stroke=\"" + std::string(aColour) +
         "\" stroke-width=\"1.5\" points=\"" + points + "\"/>";
}

std::string
Plot(const ServiceReport& aService, WallTime aNow)
{
  const auto failed = RatesOf(aService, Budget::Availability, aNow);
  const auto slow = RatesOf(aService, Budget::Latency, aNow);
  double most = 2;
  for (const auto* rates : { &failed, &slow }) {
    most = std::max(most, *std::max_element(rates->begin(), rates->end()));
  }
  const std::string one = Number("%.1f", kPlotHeight * (1 - 1 / most));
  const std::string width = Number("%.0f", kPlotWidth);
  return "<svg viewBox=\"-40 -10 780 175\" role=\"img\" aria-label=\"burn over "
         "three days\"><rect width=\"" +
         width + "\" height=\"" + Number("%.0f", kPlotHeight) +
         "\" class=\"area\"/><line x1=\"0\" x2=\"" + width + "\" y1=\"" + one +
         "\" y2=\"" + one + "\" class=\"one\"/><text x=\"-6\" y=\"" + one +
         "\" class=\"axis\">1</text><text x=\"-6\" y=\"6\" class=\"axis\">" +
         Number("%.3g", most) + "</text>" + Line(failed, most, "#b3261e") +
         Line(slow, most, "#1a5fb4") +
         "<text x=\"0\" y=\"158\">3 days ago</text><text x=\"690\" "
         "y=\"158\">now</text></svg>";
}

std::string
BudgetRow(const char* aName, const BudgetReport& aReport)
{
  std::string row = "<tr><th>" + std::string(aName) + "</th><td>" +
                    Number("%.6g%%", aReport.target * 100) + "</td>";
  for (const WindowBurn& window : aReport.windows) {
    row += window.rate > 1 ? "<td class=\"high\">" : "<td>";
    row += Number("%.2f", window.rate) + "</td>";
  }
  return row + "<td>" + Number("%.1f%%", aReport.left * 100) + "</td><td>" +
         RunsOutText(aReport) + "</td></tr>";
}

std::string
Section(const ServiceReport& aService, WallTime aNow)
{
  std::string section = "<section><h2>" + Escaped(aService.service) +
                        "</h2><table><tr><th></th><th>target</th>";
  for (const std::chrono::minutes window : kBurnWindows) {
    section += "<th>" + WindowText(window) + "</th>";
  }
  return section + "<th>left</th><th>runs out</th></tr>" +
         BudgetRow("availability", aService.availability) +
         BudgetRow(("within " +
                    std::to_string(aService.objective.latency.count()) + " ms")
                     .c_str(),
                   aService.latency) +
         "</table>" + Plot(aService, aNow) + "</section>";
}

std::string
NameList(const char* aTitle, const std::vector<std::string>& aNames)
{
  if (aNames.empty()) {
    return {};
  }
  std::string list = "<p>" + std::string(aTitle);
  for (const std::string& name : aNames) {
    list += ' ' + Escaped(name) + ';';
  }
  list.back() = '.';
  return list + "</p>";
}

constexpr const char* kHead =
  "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
  "<title>Burn</title><style>"
  "body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;"
  "padding:0 1rem}table{border-collapse:collapse}th,td{padding:.2rem .8rem;"
  "text-align:right;border-bottom:1px solid #ccc}svg{width:100%;margin-top:"
  "1rem;font-size:11px}.area{fill:#f4f4f4}.one{stroke:#555;stroke-dasharray:"
  "4}.axis{text-anchor:end}.high{color:#b3261e;font-weight:bold}"
  ".failed{color:#b3261e}.slow{color:#1a5fb4}</style></head><body>";

} // namespace

std::string
ToHtml(const BurnReport& aReport)
{
  std::string page = kHead;
  page += "<h1>Service-level burn</h1><p>Share of bad requests over the share "
          "that the objective allows: at 1 the budget lasts just for its three "
          "days. <span class=\"failed\">Failed</span> and <span "
          "class=\"slow\">slow</span> requests, by half hours.</p>";
  page += NameList("Hosts:", aReport.hosts);
  page += NameList("Not in it:", aReport.missing);
  for (const ServiceReport& service : aReport.services) {
    page += Section(service, aReport.at);
  }
  if (aReport.services.empty()) {
    page += "<p>No requests were counted.</p>";
  }
  return page + "</body></html>\n";
}

} // namespace rattandyke::metrics
