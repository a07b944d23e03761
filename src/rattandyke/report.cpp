// rattandyke report burn: asks every live host and adds up.
#include <fstream>
#include <iostream>

#include "base/clock.h"
#include "base/endpoint.h"
#include "metrics/burn_report.h"
#include "rattandyke/admin_client.h"
#include "rattandyke/table_printer.h"

namespace rattandyke::cli {
namespace {

using metrics::BurnReport;
using metrics::ServiceBurn;

/// One host's part of the report.
struct Source
{
  std::string name;
  AdminClient client;
};

/// @return the live hosts as the leader knows them. Without a leader, or where
/// none is known yet, the asked host alone; aMissing then says so.
std::vector<Source>
SourcesOf(const AdminClient& aClient, std::vector<std::string>& aMissing)
{
  const Result<boost::json::array> hosts = aClient.AskList("/v1/hosts");
  if (!hosts) {
    aMissing.push_back("all other hosts: " + hosts.error().message);
    return { { "the asked host", aClient } };
  }
  std::vector<Source> sources;
  for (const boost::json::value& host : *hosts) {
    const std::string name = FieldText(host, "name");
    const auto address = ParseEndpoint(FieldText(host, "admin_address"));
    if (FieldText(host, "live") != "true") {
      aMissing.push_back(name + ": is not live");
    } else if (!address) {
      aMissing.push_back(name + ": " + address.error().message);
    } else {
      sources.push_back({ name, aClient.ToHost(*address) });
    }
  }
  return sources;
}

/// @return what the host counted, of one service if aService is not empty.
Result<std::vector<ServiceBurn>>
BurnOf(const Source& aSource, const std::string& aService)
{
  return aSource.client.Ask({ .target = "/v1/burn" })
    .and_then(
      [](const boost::json::value& aJson) { return metrics::ParseBurn(aJson); })
    .map([&](std::vector<ServiceBurn> aBurns) {
      std::erase_if(aBurns, [&](const ServiceBurn& aBurn) {
        return !aService.empty() && aBurn.service != aService;
      });
      return aBurns;
    });
}

BurnReport
MakeReport(const AdminClient& aClient, const std::string& aService)
{
  BurnReport report;
  std::vector<std::vector<ServiceBurn>> burns;
  for (const Source& source : SourcesOf(aClient, report.missing)) {
    auto burn = BurnOf(source, aService);
    if (burn) {
      report.hosts.push_back(source.name);
      burns.push_back(std::move(*burn));
    } else {
      report.missing.push_back(source.name + ": " + burn.error().message);
    }
  }
  report.at = SystemClock().Wall();
  report.services = metrics::MergeBurn(burns, report.at);
  return report;
}

bool
WriteFile(const std::string& aFile, const std::string& aText)
{
  std::ofstream stream(aFile, std::ios::binary | std::ios::trunc);
  stream << aText;
  return stream.flush().good();
}

Exit
Report(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  const HostArguments host(aLine);
  TCLAP::UnlabeledValueArg<std::string> what(
    "what", "what to report: burn", true, "", "burn", aLine.Tclap());
  TCLAP::ValueArg<std::string> service(
    "", "service", "only of this service", false, "", "NAME", aLine.Tclap());
  TCLAP::ValueArg<std::string> html("",
                                    "html",
                                    "also write a page with plots",
                                    false,
                                    "",
                                    "FILE",
                                    aLine.Tclap());
  aLine.Parse(aArguments);

  if (what.getValue() != "burn") {
    return cli::Report(Error{ Code::UsageError,
                              "there is no report '" + what.getValue() + "'" });
  }
  const Result<AdminClient> client = host.Client();
  if (!client) {
    return cli::Report(client.error());
  }
  const BurnReport report = MakeReport(*client, service.getValue());
  if (report.hosts.empty()) {
    return cli::Report(Error{ Code::HostUnreachable,
                              "no host answered; " + report.missing.front() });
  }
  if (!html.getValue().empty() &&
      !WriteFile(html.getValue(), metrics::ToHtml(report))) {
    return cli::Report(
      Error{ Code::StorageFailed, html.getValue() + ": cannot be written" });
  }
  std::cout << (host.Json()
                  ? boost::json::serialize(metrics::ToJson(report)) + '\n'
                  : metrics::ToText(report));
  return Exit::Ok;
}

const Registration sRegistration(
  { "report",
    "Reports how fast services use up their error budgets.",
    &Report });

} // namespace
} // namespace rattandyke::cli
