#include "rattandyke/command.h"

#include <algorithm>
#include <iostream>

namespace rattandyke::cli {

namespace {

std::vector<Command>&
Table()
{
  static std::vector<Command> sTable;
  return sTable;
}

} // namespace

Exit
ExitFor(Code aCode)
{
  switch (aCode) {
    case Code::Ok:
      return Exit::Ok;
    case Code::UsageError:
      return Exit::Usage;
    case Code::InvalidSettings:
    case Code::InvalidRecord:
    case Code::MalformedRequest:
    case Code::RequestTooLarge:
      return Exit::Invalid;
    case Code::AddressInUse:
      return Exit::AddressInUse;
    case Code::StorageFailed:
    case Code::StorageCorrupt:
    case Code::StorageLocked:
    case Code::DiskFull:
      return Exit::Storage;
    case Code::HostUnreachable:
    case Code::NoQuorum:
    case Code::NotLeader:
    case Code::ProposalDropped:
    case Code::ShuttingDown:
    case Code::DeadlineExceeded:
      return Exit::Unreachable;
    case Code::RevisionConflict:
      return Exit::Conflict;
    case Code::Unauthorized:
      return Exit::Unauthorized;
    case Code::UnknownRecord:
    case Code::UnknownUpstream:
    case Code::UnknownService:
      return Exit::Unknown;
    default:
      return Exit::Failed;
  }
}

Exit
Report(const Error& aError)
{
  const CodeInfo& info = Describe(aError.code);
  std::cerr << "error " << static_cast<int>(aError.code) << ' ' << info.name
            << ": " << aError.message << '\n';
  return ExitFor(aError.code);
}

CommandLine::CommandLine(std::string_view aName, std::string_view aSummary)
  : mProgram("rattandyke " + std::string(aName))
  , mTclap(std::string(aSummary), ' ', RATTANDYKE_VERSION)
{
  // The exit code of a usage error is ours, not TCLAP's.
  mTclap.setExceptionHandling(false);
}

// Safeguard: TCLAP hands an unknown flag to a positional argument, so that
// `check-settings --jsn` would look for a file of that name. Every word that
// looks like a flag must be one.
void
CommandLine::RefuseUnknownFlags(const std::vector<std::string>& aArguments)
{
  for (const std::string& word : aArguments) {
    if (word == "--") {
      return;
    }
    const std::string flag = word.substr(0, word.find('='));
    const auto& known = mTclap.getArgList();
    const bool matches = std::ranges::any_of(known, [&](TCLAP::Arg* aArg) {
      return flag == "-" + aArg->getFlag() || flag == "--" + aArg->getName();
    });
    if (word.size() > 1 && word.front() == '-' && !matches) {
      throw TCLAP::CmdLineParseException("unknown flag", flag);
    }
  }
}

void
CommandLine::Parse(const std::vector<std::string>& aArguments)
{
  RefuseUnknownFlags(aArguments);
  std::vector<std::string> arguments{ mProgram };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  mTclap.parse(arguments);
}

std::vector<Command>
AllCommands()
{
  std::vector<Command> commands = Table();
  std::ranges::sort(commands, {}, &Command::name);
  return commands;
}

Registration::Registration(const Command& aCommand)
{
  Table().push_back(aCommand);
}

} // namespace rattandyke::cli
