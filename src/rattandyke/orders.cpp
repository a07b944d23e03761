// The commands that tell the control hosts to do something.
#include <iostream>

#include "admin/message.h"
#include "rattandyke/table_printer.h"

namespace rattandyke::cli {
namespace {

using admin::PercentEncoded;

Exit
Order(const HostArguments& aHost, const AdminCall& aCall)
{
  const Result<AdminClient> client = aHost.Client();
  if (!client) {
    return Report(client.error());
  }
  // Orders name the state that is wanted, so sending one again is safe.
  const Result<boost::json::value> answer = client->AskAgain(aCall);
  if (!answer) {
    return Report(answer.error());
  }
  if (aHost.Json()) {
    std::cout << boost::json::serialize(*answer) << '\n';
  } else {
    std::cout << FieldText(*answer, "done") << '\n';
  }
  return Exit::Ok;
}

Exit
Drain(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  const HostArguments host(aLine);
  TCLAP::UnlabeledValueArg<std::string> service(
    "service", "the upstream's service", true, "", "SERVICE", aLine.Tclap());
  TCLAP::UnlabeledValueArg<std::string> upstream(
    "upstream", "its name", true, "", "UPSTREAM", aLine.Tclap());
  TCLAP::SwitchArg undo("", "undo", "give it work again", aLine.Tclap());
  aLine.Parse(aArguments);

  const boost::json::object body{ { "drain", !undo.getValue() } };
  return Order(host,
               { .method = "POST",
                 .target = "/v1/upstreams/" +
                           PercentEncoded(service.getValue()) + "/" +
                           PercentEncoded(upstream.getValue()) + "/drain",
                 .body = boost::json::serialize(body) });
}

Exit
Bans(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  const HostArguments host(aLine);
  TCLAP::ValueArg<std::string> service(
    "", "service", "only of this service", false, "", "NAME", aLine.Tclap());
  TCLAP::ValueArg<std::string> lift("",
                                    "lift",
                                    "end the ban of a fingerprint; needs "
                                    "--service",
                                    false,
                                    "",
                                    "FINGERPRINT",
                                    aLine.Tclap());
  aLine.Parse(aArguments);

  if (lift.getValue().empty()) {
    const std::string filter =
      service.getValue().empty()
        ? ""
        : "?service=" + PercentEncoded(service.getValue());
    return ShowList(host,
                    "/v1/bans" + filter,
                    { { "SERVICE", "service" },
                      { "FINGERPRINT", "fingerprint" },
                      { "EXPIRES (UNIX MS)", "expires_unix_ms" },
                      { "REASON", "reason" } });
  }
  if (service.getValue().empty()) {
    return Report({ Code::UsageError, "--lift needs --service" });
  }
  const boost::json::object body{ { "service", service.getValue() },
                                  { "fingerprint", lift.getValue() } };
  return Order(host,
               { .method = "POST",
                 .target = "/v1/bans/lift",
                 .body = boost::json::serialize(body) });
}

const Registration sDrain(
  { "drain",
    "Moves an upstream's keys away and gives it no new work.",
    &Drain });
const Registration sBans(
  { "bans", "Lists requests that crashed upstreams, or lifts a ban.", &Bans });

} // namespace
} // namespace rattandyke::cli
