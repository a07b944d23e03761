#include "config/settings.h"
#include "log/log.h"
#include "rattandyke/command.h"
#include "server/server.h"

namespace rattandyke::cli {
namespace {

Exit
Serve(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  TCLAP::ValueArg<std::string> file("",
                                    "settings",
                                    "settings file; without one a host runs "
                                    "alone on loopback, with both roles",
                                    false,
                                    "",
                                    "FILE",
                                    aLine.Tclap());
  aLine.Parse(aArguments);

  const std::string path = file.getValue();
  const Result<config::Settings> settings =
    path.empty() ? config::DefaultSettings() : config::LoadSettings(path);
  if (!settings) {
    return Report(settings.error());
  }
  log::Configure(settings->LogOptions());
  Result<void> started;
  {
    server::Server server(*settings, path);
    started = server.Start();
    if (started) {
      server.Run();
    }
  }
  log::Flush();
  return started ? Exit::Ok : Report(started.error());
}

const Registration sRegistration({ "serve",
                                   "Runs one host in the foreground.",
                                   &Serve });

} // namespace
} // namespace rattandyke::cli
