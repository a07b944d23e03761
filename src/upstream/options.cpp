#include "upstream/options.h"

#include <charconv>

#include <tclap/CmdLine.h>

namespace rattandyke::upstream {

namespace {

constexpr int kUsageExitCode = 2;

/// Every argument of the command line.
struct Arguments
{
  TCLAP::CmdLine command{
    "Stand-in upstream of rattandyke: announces itself, "
    "runs requests and keeps an honest record of what it ran.",
    ' ',
    RATTANDYKE_VERSION
  };
  TCLAP::ValueArg<std::string> service{ "", "service", "its service", true,
                                        "", "NAME",    command };
  TCLAP::ValueArg<std::string> name{ "",     "name", "unique in the service",
                                     true,   "",     "NAME",
                                     command };
  TCLAP::ValueArg<std::string> dataCentre{
    "", "data-centre", "where it runs", false, "dc-1", "NAME", command
  };
  TCLAP::MultiArg<std::string> hosts{
    "", "host", "upstream port of a host", true, "IP:PORT", command
  };
  TCLAP::ValueArg<std::string> listen{
    "",        "listen", "where it takes requests", false, "127.0.0.1:0",
    "IP:PORT", command
  };
  TCLAP::ValueArg<uint32_t> slots{ "",     "slots", "requests it runs at once",
                                   false,  2,       "COUNT",
                                   command };
  TCLAP::ValueArg<uint32_t> queue{ "",     "queue", "requests that may wait",
                                   false,  64,      "COUNT",
                                   command };
  TCLAP::ValueArg<double> serviceMs{
    "", "service-ms", "mean time of a run", false, 2, "MS", command
  };
  TCLAP::ValueArg<std::string> distribution{
    "",     "distribution", "fixed, exponential or lognormal", false, "fixed",
    "NAME", command
  };
  TCLAP::ValueArg<int> coldMs{ "",     "cold-ms", "time for which it is cold",
                               false,  0,         "MS",
                               command };
  TCLAP::ValueArg<double> coldFactor{
    "", "cold-factor", "slower while cold", false, 4, "FACTOR", command
  };
  TCLAP::ValueArg<uint32_t> answerBytes{
    "", "answer-bytes", "payload of an answer", false, 64, "BYTES", command
  };
  TCLAP::ValueArg<std::string> record{
    "", "record", "file to append its record to", false, "", "FILE", command
  };
  TCLAP::ValueArg<uint64_t> seed{ "",     "seed", "seed of what it draws",
                                  false,  1,      "NUMBER",
                                  command };
  TCLAP::ValueArg<std::string> modes{
    "", "modes", "behaviours, as for POST /-/mode", false, "{}", "JSON", command
  };
};

/// @return the value, or throws as TCLAP does for a wrong argument.
template<typename T>
T
Accept(Result<T> aResult, const std::string& aArgument)
{
  if (!aResult) {
    throw TCLAP::ArgException(aResult.error().message, aArgument);
  }
  return std::move(*aResult);
}

Options
ToOptions(Arguments& aArguments)
{
  Options options;
  options.service.value = aArguments.service.getValue();
  options.name.value = aArguments.name.getValue();
  options.dataCentre.value = aArguments.dataCentre.getValue();
  for (const std::string& host : aArguments.hosts) {
    options.hosts.push_back(Accept(ParseEndpoint(host), "host"));
  }
  options.listen =
    Accept(ParseEndpoint(aArguments.listen.getValue()), "listen");
  options.slots = aArguments.slots.getValue();
  options.queue = aArguments.queue.getValue();
  options.serviceTime.mean =
    std::chrono::duration<double, std::milli>(aArguments.serviceMs.getValue());
  options.serviceTime.distribution = Accept(
    ParseDistribution(aArguments.distribution.getValue()), "distribution");
  options.serviceTime.cold =
    std::chrono::milliseconds(aArguments.coldMs.getValue());
  options.serviceTime.coldFactor = aArguments.coldFactor.getValue();
  options.answerBytes = aArguments.answerBytes.getValue();
  options.recordFile = aArguments.record.getValue();
  options.seed = aArguments.seed.getValue();
  options.modes =
    Accept(ChangeModes(Modes{}, aArguments.modes.getValue()), "modes");
  return options;
}

} // namespace

Options
ParseOptions(int aCount, const char* const* aArguments)
{
  Arguments arguments;
  arguments.command.setExceptionHandling(false);
  try {
    arguments.command.parse(aCount, aArguments);
    return ToOptions(arguments);
  } catch (const TCLAP::ExitException& exit) {
    std::exit(exit.getExitStatus());
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "rattandyke-upstream: " << error.argId() << ": "
              << error.error() << '\n';
    std::exit(kUsageExitCode);
  }
}

Result<Endpoint>
ParseEndpoint(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  uint16_t port = 0;
  const char* const end = aText.data() + aText.size();
  if (colon != std::string::npos) {
    const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
      return Endpoint{ aText.substr(0, colon), port };
    }
  }
  return Fail(Code::InvalidSettings, "'" + aText + "' is not IP:PORT.");
}

} // namespace rattandyke::upstream
