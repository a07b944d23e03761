// One binary; the first argument names the command.
#include <iostream>
#include <string>
#include <vector>

#include "rattandyke/command.h"

namespace rattandyke::cli {
namespace {

void
PrintOverview(std::ostream& aStream)
{
  aStream << "rattandyke " << RATTANDYKE_VERSION
          << ": router for servers that own their keys\n\n"
          << "usage: rattandyke COMMAND [ARGUMENTS]\n\ncommands:\n";
  for (const Command& command : AllCommands()) {
    if (!command.hidden) {
      std::string name(command.name);
      name.resize(16, ' ');
      aStream << "  " << name << command.summary << '\n';
    }
  }
  aStream << "\n'rattandyke COMMAND --help' tells a command's arguments.\n";
}

Exit
UsageError(const std::string& aMessage)
{
  return Report(Error{ Code::UsageError, aMessage });
}

Exit
RunCommand(const Command& aCommand, const std::vector<std::string>& aArguments)
{
  const std::string help =
    "\nrun 'rattandyke " + std::string(aCommand.name) + " --help'";
  try {
    CommandLine line(aCommand.name, aCommand.summary);
    return aCommand.run(line, aArguments);
  } catch (const TCLAP::ExitException& exit) {
    // --help and --version end here; TCLAP has printed them.
    return exit.getExitStatus() == 0 ? Exit::Ok : Exit::Usage;
  } catch (const TCLAP::ArgException& error) {
    const std::string argument = error.argId();
    const bool named = argument.find_first_not_of(' ') != std::string::npos;
    return UsageError((named ? argument + ": " : "") + error.error() + help);
  }
}

Exit
Main(const std::vector<std::string>& aArguments)
{
  if (aArguments.empty()) {
    PrintOverview(std::cerr);
    return Exit::Usage;
  }
  const std::string& name = aArguments.front();
  if (name == "--help" || name == "-h" || name == "help") {
    PrintOverview(std::cout);
    return Exit::Ok;
  }
  if (name == "--version") {
    std::cout << "rattandyke " << RATTANDYKE_VERSION << '\n';
    return Exit::Ok;
  }
  for (const Command& command : AllCommands()) {
    if (command.name == name) {
      return RunCommand(command, { aArguments.begin() + 1, aArguments.end() });
    }
  }
  return UsageError("'" + name + "' is not a command\nrun 'rattandyke --help'");
}

} // namespace
} // namespace rattandyke::cli

int
main(int aCount, char** aValues)
{
  return static_cast<int>(
    rattandyke::cli::Main({ aValues + 1, aValues + aCount }));
}
