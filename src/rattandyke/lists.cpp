// The commands that read one list or object from a host.
#include <iostream>

#include "admin/message.h"
#include "rattandyke/table_printer.h"

namespace rattandyke::cli {
namespace {

using admin::PercentEncoded;

std::string
WithService(const std::string& aPath, const std::string& aService)
{
  return aService.empty() ? aPath
                          : aPath + "?service=" + PercentEncoded(aService);
}

class ServiceArgument
{
public:
  explicit ServiceArgument(CommandLine& aLine)
    : mArgument("",
                "service",
                "only of this service",
                false,
                "",
                "NAME",
                aLine.Tclap())
  {
  }
  std::string Value() const { return mArgument.getValue(); }

private:
  TCLAP::ValueArg<std::string> mArgument;
};

Exit
Upstreams(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  const HostArguments host(aLine);
  const ServiceArgument service(aLine);
  aLine.Parse(aArguments);
  return ShowList(host,
                  WithService("/v1/upstreams", service.Value()),
                  { { "SERVICE", "service" },
                    { "UPSTREAM", "name" },
                    { "STATE", "state" },
                    { "ADDRESS", "address" },
                    { "DATA CENTRE", "data_centre" },
                    { "SLOTS", "slots" },
                    { "FENCES", "checks_fences" },
                    { "HOME", "home" },
                    { "OWNS", "owned_slots" } });
}

Exit
Hosts(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  const HostArguments host(aLine);
  aLine.Parse(aArguments);
  return ShowList(host,
                  "/v1/hosts",
                  { { "HOST", "name" },
                    { "DATA CENTRE", "data_centre" },
                    { "LIVE", "live" },
                    { "SILENT MS", "silent_ms" },
                    { "TABLE", "table_version" },
                    { "PEERS", "peer_address" },
                    { "ADMIN", "admin_address" } });
}

Exit
Status(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  const HostArguments host(aLine);
  aLine.Parse(aArguments);
  return ShowObject(host, "/v1/status");
}

Exit
Records(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  const HostArguments host(aLine);
  TCLAP::UnlabeledMultiArg<std::string> which(
    "which",
    "KIND: only records of this kind; KIND NAME: one record, whole",
    false,
    "KIND [NAME]",
    aLine.Tclap());
  aLine.Parse(aArguments);

  const std::vector<std::string>& words = which.getValue();
  if (words.size() > 2) {
    return Report({ Code::UsageError, "records: KIND and NAME at most" });
  }
  if (words.size() == 2) {
    return ShowObject(host,
                      "/v1/records/" + PercentEncoded(words[0]) + "/" +
                        PercentEncoded(words[1]));
  }
  const std::string filter =
    words.empty() ? "" : "?kind=" + PercentEncoded(words[0]);
  return ShowList(host,
                  "/v1/records" + filter,
                  { { "KIND", "kind" },
                    { "NAME", "name" },
                    { "SCHEMA", "schema_version" },
                    { "REVISION", "revision" },
                    { "BY", "submitted_by" },
                    { "BODY", "body" } });
}

/// Prints one key's owner as a table of one line.
Exit
ShowOwner(const HostArguments& aHost, const std::string& aTarget)
{
  const Result<AdminClient> client = aHost.Client();
  if (!client) {
    return Report(client.error());
  }
  const Result<boost::json::value> answer = client->Ask({ .target = aTarget });
  if (!answer) {
    return Report(answer.error());
  }
  if (aHost.Json()) {
    std::cout << boost::json::serialize(*answer) << '\n';
  } else {
    PrintTable({ { "SERVICE", "service" },
                 { "KEY", "key" },
                 { "SLOT", "slot" },
                 { "UPSTREAM", "upstream" },
                 { "FENCE", "fence" },
                 { "REASON", "reason" } },
               { *answer });
  }
  return Exit::Ok;
}

Exit
Owners(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  const HostArguments host(aLine);
  const ServiceArgument service(aLine);
  TCLAP::ValueArg<std::string> key("",
                                   "key",
                                   "the owner of one key; needs --service",
                                   false,
                                   "",
                                   "KEY",
                                   aLine.Tclap());
  const TCLAP::SwitchArg explain(
    "",
    "explain",
    "with --key: why this owner, and what would move the key",
    aLine.Tclap());
  aLine.Parse(aArguments);

  const std::string target = WithService("/v1/owners", service.Value());
  if (key.getValue().empty()) {
    return ShowList(host,
                    target,
                    { { "SERVICE", "service" },
                      { "SLOT", "slot" },
                      { "KEY", "key" },
                      { "UPSTREAM", "upstream" },
                      { "FENCE", "fence" },
                      { "REASON", "reason" } });
  }
  if (service.Value().empty()) {
    return Report({ Code::UsageError, "--key needs --service" });
  }
  const std::string one = target + "&key=" + PercentEncoded(key.getValue());
  return explain.getValue() ? ShowObject(host, one) : ShowOwner(host, one);
}

const Registration sUpstreams(
  { "upstreams",
    "Lists the upstreams that announced themselves.",
    &Upstreams });
const Registration sHosts({ "hosts",
                            "Lists the hosts that the leader hears.",
                            &Hosts });
const Registration sStatus({ "status",
                             "Tells how one host is and who leads.",
                             &Status });
const Registration sRecords({ "records",
                              "Lists records in force, or shows one.",
                              &Records });
const Registration sOwners(
  { "owners",
    "Lists who owns which slots, or the owner of one key.",
    &Owners });

} // namespace
} // namespace rattandyke::cli
