/// rattandyke-bench: runs the registered benches and prints their figures.
/// Exit status: 0 all within their bounds, 1 a figure over its bound or a bench
/// that failed, 2 wrong usage.
#include <exception>
#include <iostream>

#include <tclap/CmdLine.h>

#include "bench/bench.h"

namespace rattandyke::bench {
namespace {

struct Choice
{
  std::vector<std::string> prefixes;
  std::string scenario;
  bool list = false;
};

Choice
ParseChoice(int aCount, char** aArguments)
{
  TCLAP::CmdLine line("Prints measured figures.", ' ', RATTANDYKE_VERSION);
  TCLAP::MultiArg<std::string> only(
    "", "only", "Runs the benches whose name begins so.", false, "PREFIX");
  TCLAP::ValueArg<std::string> scenario(
    "", "scenario", "Plays one deployment.", false, "", "NAME");
  TCLAP::SwitchArg list("", "list", "Prints the benches' names.");
  line.add(only);
  line.add(scenario);
  line.add(list);
  line.parse(aCount, aArguments);
  return { only.getValue(), scenario.getValue(), list.getValue() };
}

bool
IsChosen(const Bench& aBench, const Choice& aChoice)
{
  const auto matches = [&](const std::string& aPrefix) {
    return aBench.name.starts_with(aPrefix);
  };
  return aBench.scenario == aChoice.scenario &&
         (aChoice.prefixes.empty() || std::any_of(aChoice.prefixes.begin(),
                                                  aChoice.prefixes.end(),
                                                  matches));
}

/// @return false if the bench threw.
bool
RunOne(const Bench& aBench, Reporter& aReporter)
{
  try {
    aBench.run(aReporter);
    return true;
  } catch (const std::exception& error) {
    std::cerr << "bench " << aBench.name << " failed: " << error.what() << '\n';
    return false;
  }
}

void
PrintNames()
{
  for (const Bench& bench : AllBenches()) {
    std::cout << bench.name;
    if (!bench.scenario.empty()) {
      std::cout << " --scenario " << bench.scenario;
    }
    std::cout << '\n';
  }
}

int
RunChosen(const Choice& aChoice)
{
  Reporter reporter(std::cout);
  size_t ran = 0;
  size_t failed = 0;
  for (const Bench& bench : AllBenches()) {
    if (IsChosen(bench, aChoice)) {
      ++ran;
      failed += RunOne(bench, reporter) ? 0 : 1;
    }
  }
  if (ran == 0) {
    // A misspelt name would otherwise pass with no figure at all.
    std::cerr << "No bench fits; see --list.\n";
    return 2;
  }
  return failed == 0 && reporter.Over() == 0 ? 0 : 1;
}

} // namespace
} // namespace rattandyke::bench

int
main(int aCount, char** aArguments)
{
  const auto choice = rattandyke::bench::ParseChoice(aCount, aArguments);
  if (choice.list) {
    rattandyke::bench::PrintNames();
    return 0;
  }
  return rattandyke::bench::RunChosen(choice);
}
