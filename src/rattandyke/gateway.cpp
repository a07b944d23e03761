#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "gateway/control_host.h"
#include "gateway/entry_host.h"
#include "gateway/settings.h"
#include "log/log.h"
#include "rattandyke/command.h"

namespace rattandyke::cli {
namespace {

/// Names the settings file where the command line does not.
constexpr const char* kSettingsVariable = "RATTANDYKE_CONFIG";

/// Memory blocks from this size on go back to the system when they are freed.
/// By default the C library keeps up to 64 MB after large bodies.
constexpr int kReturnedBlockBytes = 1024 * 1024;

log::Line
Info()
{
  return { log::Part::Server, log::Severity::Info };
}

uint64_t
RandomSeed()
{
  std::random_device source;
  return (uint64_t{ source() } << 32U) | source();
}

void
ConfigureLog(const gateway::Settings& aSettings)
{
  log::Options options;
  for (const auto severity : { log::Severity::Debug,
                               log::Severity::Info,
                               log::Severity::Warning,
                               log::Severity::Error }) {
    if (log::NameOf(severity) == aSettings.logLevel) {
      options.level = severity;
    }
  }
  options.format = log::Format::Json;
  options.stream = std::shared_ptr<std::ostream>(&std::cout, [](auto*) {});
  options.host = aSettings.name;
  options.dataCentre = aSettings.dataCentre;
  log::Configure(options);
}

/// Runs one host until SIGTERM, in one thread: the hosts that this is for have
/// a part of one core, so that threads would only take turns.
class Process
{
public:
  Process(const gateway::Settings& aSettings,
          std::string aFile,
          const gateway::Dialect& aDialect)
    : mSettings(aSettings)
    , mFile(std::move(aFile))
    , mDialect(aDialect)
    , mSignals(mContext, SIGTERM, SIGINT, SIGHUP)
  {
  }

  Result<void> Run()
  {
    if (Result<void> started = Start(); !started) {
      return started;
    }
    Info() << "starts as " << (mSettings.entry ? "entry" : "control")
           << " first_start=" << mSettings.firstStart;
    AwaitSignal();
    mContext.run();
    Info() << "stops";
    return {};
  }

private:
  Result<void> Start()
  {
    if (mSettings.entry) {
      mEntry = std::make_unique<gateway::EntryHost>(
        mContext, mSettings, mDialect, mClock, RandomSeed());
      return mEntry->Start();
    }
    mControl = std::make_unique<gateway::ControlHost>(
      mContext, mSettings, mDialect, mClock, RandomSeed());
    return mControl->Start();
  }

  void AwaitSignal()
  {
    mSignals.async_wait([this](auto aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        Reload();
      } else if (!mStopping) {
        Stop();
      }
      AwaitSignal();
    });
  }

  void Stop()
  {
    mStopping = true;
    Info() << "leaves";
    const auto done = [this] { mContext.stop(); };
    if (mEntry) {
      mEntry->Stop(done);
    } else {
      mControl->Stop(done);
    }
  }

  void Reload()
  {
    const Result<gateway::Settings> settings = gateway::LoadSettings(mFile);
    if (!settings) {
      Info() << "keeps its settings: " << settings.error().message;
      return;
    }
    Info() << "reloads its settings";
    if (mEntry) {
      mEntry->Reload(*settings);
    }
  }

  const gateway::Settings mSettings;
  const std::string mFile;
  const gateway::Dialect& mDialect;
  const BootClock mClock;
  boost::asio::io_context mContext{ 1 };
  boost::asio::signal_set mSignals;
  std::unique_ptr<gateway::EntryHost> mEntry;
  std::unique_ptr<gateway::ControlHost> mControl;
  bool mStopping = false;
};

Exit
Gateway(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  TCLAP::ValueArg<std::string> file(
    "",
    "settings",
    std::string("settings file; by default the one that ") + kSettingsVariable +
      " names",
    false,
    "",
    "FILE",
    aLine.Tclap());
  aLine.Parse(aArguments);

  const char* const named = std::getenv(kSettingsVariable);
  const std::string path = !file.getValue().empty() ? file.getValue()
                           : named != nullptr       ? named
                                                    : "";
  const Result<gateway::Settings> settings = gateway::LoadSettings(path);
  if (!settings) {
    return Report(settings.error());
  }
  const auto dialect = gateway::DialectRegistry::Make(settings->dialect);
  if (!dialect) {
    return Report(dialect.error());
  }
  ConfigureLog(*settings);
  mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, 2 * kReturnedBlockBytes);
  Process process(*settings, path, **dialect);
  const Result<void> ran = process.Run();
  log::Flush();
  return ran ? Exit::Ok : Report(ran.error());
}

const Registration sRegistration({ "gateway",
                                   "Runs one host of a gateway deployment in "
                                   "the foreground.",
                                   &Gateway });

} // namespace
} // namespace rattandyke::cli
