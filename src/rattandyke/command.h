/// Commands of the binary. Each has its own file and registers itself.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tclap/CmdLine.h>

#include <rattandyke/result.h>

namespace rattandyke::cli {

/// Exit codes; docs/CLI.md explains them.
enum class Exit : int
{
  Ok = 0,
  Failed = 1,
  Usage = 2,
  Invalid = 3,
  AddressInUse = 4,
  Storage = 5,
  Unreachable = 6,
  Conflict = 7,
  Unauthorized = 8,
  Unknown = 9,
};

/// @return the exit code that tells a program what kind of error it was.
Exit ExitFor(Code aCode);

/// Prints an error to standard error, with its number and name.
/// @return the exit code for it.
Exit Report(const Error& aError);

/// The command line of one command; adds nothing to TCLAP but what all
/// commands share.
class CommandLine
{
public:
  CommandLine(std::string_view aName, std::string_view aSummary);

  /// For the command's own arguments.
  TCLAP::CmdLine& Tclap() { return mTclap; }

  /// @throws TCLAP::ArgException on an unknown flag or a missing value.
  void Parse(const std::vector<std::string>& aArguments);

private:
  void RefuseUnknownFlags(const std::vector<std::string>& aArguments);

  std::string mProgram;
  TCLAP::CmdLine mTclap;
};

/// Runs a command. aLine is empty yet: the command adds its arguments to it and
/// parses.
using Run = Exit (*)(CommandLine& aLine,
                     const std::vector<std::string>& aArguments);

struct Command
{
  std::string_view name;
  /// One sentence for the overview and the command's help.
  std::string_view summary;
  Run run;
  /// Left out of the overview: for building the docs only.
  bool hidden = false;
};

/// Every command, sorted by name.
std::vector<Command> AllCommands();

/// Adds a command before main starts.
struct Registration
{
  explicit Registration(const Command& aCommand);
};

} // namespace rattandyke::cli
