// Open-loop load driver: sends the requests of several customers to the entry
// hosts and verifies each answer. Not a part of the product.
#include <algorithm>
#include <fstream>
#include <iostream>

#include <tclap/CmdLine.h>
#include <unistd.h>

#include "load/driver.h"
#include "upstream/options.h"

namespace rattandyke::load {
namespace {

using namespace std::chrono_literals;

constexpr int kUsageExitCode = 2;
constexpr auto kProgressEvery = 1s;

struct Options
{
  LoadConfig config;
  std::vector<Target> targets;
  Routing routing = Routing::Entries;
  std::string runName;
  std::string summaryFile;
  std::string requestsFile;
};

template<typename T>
T
Accept(Result<T> aResult, const std::string& aArgument)
{
  if (!aResult) {
    throw TCLAP::ArgException(aResult.error().message, aArgument);
  }
  return std::move(*aResult);
}

/// Each service needs a target, or its requests could go nowhere.
void
AcceptTargets(const Options& aOptions)
{
  for (const ServiceLoad& service : aOptions.config.services) {
    const bool any = std::any_of(aOptions.targets.begin(),
                                 aOptions.targets.end(),
                                 [&service](const Target& aTarget) {
                                   return aTarget.service.value.empty() ||
                                          aTarget.service == service.name;
                                 });
    if (!any) {
      throw TCLAP::ArgException("No target takes " + service.name.value + ".",
                                "entry");
    }
  }
}

Options
ParseOptions(int aCount, char** aArguments)
{
  TCLAP::CmdLine command(
    "Open-loop load driver of rattandyke.", ' ', RATTANDYKE_VERSION);
  TCLAP::ValueArg<std::string> config(
    "", "config", "what to send", true, "", "FILE", command);
  TCLAP::MultiArg<std::string> entries(
    "", "entry", "where to send", true, "[SERVICE=]IP:PORT", command);
  TCLAP::ValueArg<std::string> routing(
    "",
    "routing",
    "entries, or a baseline whose entries are upstreams: static-hash, "
    "round-robin",
    false,
    "entries",
    "NAME",
    command);
  TCLAP::ValueArg<std::string> name("",
                                    "name",
                                    "begins the requests' ids",
                                    false,
                                    "run" + std::to_string(::getpid()),
                                    "NAME",
                                    command);
  TCLAP::ValueArg<std::string> summary(
    "", "summary", "JSON file with the figures", false, "", "FILE", command);
  TCLAP::ValueArg<std::string> requests(
    "", "requests", "JSON lines, one a sending", false, "", "FILE", command);
  command.setExceptionHandling(false);
  try {
    command.parse(aCount, aArguments);
    Options options;
    options.config = Accept(ReadLoadConfig(config.getValue()), "config");
    for (const std::string& entry : entries) {
      options.targets.push_back(Accept(ParseTarget(entry), "entry"));
    }
    AcceptTargets(options);
    options.routing = Accept(ParseRouting(routing.getValue()), "routing");
    options.runName = name.getValue();
    options.summaryFile = summary.getValue();
    options.requestsFile = requests.getValue();
    return options;
  } catch (const TCLAP::ExitException& exit) {
    std::exit(exit.getExitStatus());
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "rattandyke-load: " << error.argId() << ": " << error.error()
              << '\n';
    std::exit(kUsageExitCode);
  }
}

/// Prints a line a second until all requests are done.
asio::awaitable<void>
ShowProgress(asio::io_context& aContext,
             const LoadConfig& aConfig,
             Instant aStart,
             const Driver& aDriver,
             const Results& aResults)
{
  asio::steady_timer timer(aContext);
  Instant now = aStart;
  while (now < aStart + aConfig.duration || aDriver.UnderWay() > 0) {
    now += kProgressEvery;
    timer.expires_at(now);
    co_await timer.async_wait(kNoThrow);
    std::cout << aResults.ProgressLine(now, aDriver.UnderWay()) << std::endl;
  }
}

void
Run(const Options& aOptions)
{
  asio::io_context context(1);
  const Instant start = std::chrono::steady_clock::now();
  Results results(start, aOptions.requestsFile);
  Driver driver(context,
                aOptions.config,
                aOptions.routing,
                aOptions.targets,
                aOptions.runName,
                start,
                results);
  driver.Start();
  asio::co_spawn(context,
                 ShowProgress(context, aOptions.config, start, driver, results),
                 asio::detached);
  context.run();
  std::cout << '\n' << results.Table();
  if (!aOptions.summaryFile.empty()) {
    std::ofstream(aOptions.summaryFile)
      << boost::json::serialize(results.Summary()) << '\n';
  }
}

} // namespace
} // namespace rattandyke::load

int
main(int aCount, char** aArguments)
{
  rattandyke::load::Run(rattandyke::load::ParseOptions(aCount, aArguments));
  return 0;
}
