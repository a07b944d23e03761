#include <iostream>

#include "config/settings.h"
#include "rattandyke/command.h"

namespace rattandyke::cli {
namespace {

Exit
CheckSettings(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> file(
    "file", "settings file", true, "", "FILE", aLine.Tclap());
  aLine.Parse(aArguments);

  const Result<config::Settings> settings =
    config::LoadSettings(file.getValue());
  if (!settings) {
    return Report(settings.error());
  }
  std::cout << file.getValue() << ": valid\n";
  return Exit::Ok;
}

const Registration sRegistration({ "check-settings",
                                   "Checks every key of a settings file.",
                                   &CheckSettings });

} // namespace
} // namespace rattandyke::cli
