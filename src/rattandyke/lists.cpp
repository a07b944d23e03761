// The commands that read one list or object from a host.
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
                    { "LEASE", "lease" },
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
  TCLAP::UnlabeledValueArg<std::string> kind(
    "kind", "only of this kind", false, "", "KIND", aLine.Tclap());
  TCLAP::UnlabeledValueArg<std::string> name(
    "name", "one record, whole", false, "", "NAME", aLine.Tclap());
  aLine.Parse(aArguments);

  if (!name.getValue().empty()) {
    return ShowObject(host,
                      "/v1/records/" + PercentEncoded(kind.getValue()) + "/" +
                        PercentEncoded(name.getValue()));
  }
  const std::string filter =
    kind.getValue().empty() ? "" : "?kind=" + PercentEncoded(kind.getValue());
  return ShowList(host,
                  "/v1/records" + filter,
                  { { "KIND", "kind" },
                    { "NAME", "name" },
                    { "SCHEMA", "schema_version" },
                    { "REVISION", "revision" },
                    { "BY", "submitted_by" },
                    { "BODY", "body" } });
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
    "with --key: slot, fence, last owner and why it moved",
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
  return ShowObject(host, one + (explain.getValue() ? "&explain=true" : ""));
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
