#include "capacity/log_slopes.h"

#include <filesystem>
#include <map>
#include <random>
#include <stdexcept>

#include <boost/asio.hpp>

#include "capacity/stopwatch.h"
#include "consensus/driver.h"

namespace rattandyke::capacity {
namespace {

namespace asio = boost::asio;
namespace fs = std::filesystem;

constexpr std::chrono::seconds kLongest{ 20 };

/// A folder that is removed at the end.
class TemporaryFolder
{
public:
  TemporaryFolder()
    : mPath(fs::temp_directory_path() /
            ("rattandyke-capacity-" + std::to_string(std::random_device{}())))
  {
    fs::create_directories(mPath);
  }
  ~TemporaryFolder() { fs::remove_all(mPath); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const fs::path& Path() const { return mPath; }

private:
  const fs::path mPath;
};

/// A control group in one process, each member with a folder of its own. Its
/// messages go from driver to driver and are counted.
class Group
{
public:
  explicit Group(size_t aMembers)
  {
    for (size_t member = 0; member < aMembers; ++member) {
      mMembers.push_back(
        { { "control-" + std::to_string(member) }, { "127.0.0.1", 1 } });
    }
    for (const consensus::Member& member : mMembers) {
      Start(member);
    }
    RunUntil([this] { return Leader() != nullptr; });
  }

  ~Group()
  {
    for (auto& [name, driver] : mDrivers) {
      driver->Stop();
    }
  }

  consensus::Driver* Leader()
  {
    for (auto& [name, driver] : mDrivers) {
      if (driver->IsLeader()) {
        return driver.get();
      }
    }
    return nullptr;
  }

  /// @param aWindow commands that are under way at once.
  void Commit(size_t aCommands, size_t aWindow)
  {
    size_t done = 0;
    size_t started = 0;
    const auto start = [&] {
      ++started;
      Leader()->Propose(std::string(kCommandBytes, 'c'),
                        [&](Result<LogIndex> aIndex) {
                          if (!aIndex) {
                            throw std::runtime_error(aIndex.error().message);
                          }
                          ++done;
                        });
    };
    RunUntil([&] {
      while (started < aCommands && started - done < aWindow) {
        start();
      }
      return done == aCommands;
    });
  }

  void RunFor(std::chrono::milliseconds aTime) { mContext.run_for(aTime); }

  uint64_t SentBytes() const { return mSentBytes; }
  uint64_t Syncs() { return Leader()->Status().syncs; }

private:
  static constexpr size_t kCommandBytes = 200;

  void Start(const consensus::Member& aMember)
  {
    consensus::Driver::Options options;
    options.name = aMember.name;
    options.dataFolder = mFolder.Path() / aMember.name.value;
    options.controlHosts = mMembers;
    consensus::Driver::Callbacks callbacks;
    callbacks.send = [this, from = aMember.name](const HostName& aTo,
                                                 std::string aBytes) {
      mSentBytes += aBytes.size();
      asio::post(mContext, [this, from, aTo, bytes = std::move(aBytes)] {
        if (const auto to = mDrivers.find(aTo.value); to != mDrivers.end()) {
          to->second->Receive(from, bytes);
        }
      });
    };
    callbacks.apply = [](LogIndex, std::string_view) {};
    callbacks.makeSnapshot = [] { return std::string("state"); };
    callbacks.loadSnapshot = [](std::string_view) { return Result<void>{}; };
    callbacks.leadership = [](std::optional<uint64_t>) {};
    auto driver = std::make_unique<consensus::Driver>(mContext.get_executor(),
                                                      std::move(options),
                                                      std::move(callbacks),
                                                      mClock,
                                                      mDrivers.size());
    if (const auto started = driver->Start(); !started) {
      throw std::runtime_error(started.error().message);
    }
    mDrivers.emplace(aMember.name.value, std::move(driver));
  }

  void RunUntil(const std::function<bool()>& aDone)
  {
    const Instant end = mClock.Now() + kLongest;
    while (!aDone()) {
      if (mClock.Now() > end) {
        throw std::runtime_error("The control group did not get on.");
      }
      mContext.run_one_for(std::chrono::milliseconds(10));
    }
  }

  TemporaryFolder mFolder;
  SystemClock mClock;
  asio::io_context mContext;
  std::vector<consensus::Member> mMembers;
  std::map<std::string, std::unique_ptr<consensus::Driver>> mDrivers;
  uint64_t mSentBytes = 0;
};

struct Commits
{
  Fit cpu;
  Fit bytes;
  Fit syncs;
};

Commits
MeasureCommits(std::initializer_list<size_t> aSizes, size_t aWindow)
{
  constexpr size_t kMembers = 3;
  std::vector<Point> cpu;
  std::vector<Point> bytes;
  std::vector<Point> syncs;
  Group group(kMembers);
  group.Commit(aWindow, aWindow);
  for (const size_t size : aSizes) {
    const uint64_t sent = group.SentBytes();
    const uint64_t synced = group.Syncs();
    const double start = CpuSeconds(CLOCK_PROCESS_CPUTIME_ID);
    group.Commit(size, aWindow);
    const auto commands = static_cast<double>(size);
    cpu.push_back({ commands, CpuSeconds(CLOCK_PROCESS_CPUTIME_ID) - start });
    bytes.push_back(
      { commands, static_cast<double>(group.SentBytes() - sent) });
    syncs.push_back({ commands, static_cast<double>(group.Syncs() - synced) });
  }
  return { FitLine(std::move(cpu)),
           FitLine(std::move(bytes)),
           FitLine(std::move(syncs)) };
}

Fit
MeasureIdle()
{
  constexpr std::chrono::milliseconds kWatched{ 1000 };
  std::vector<Point> points;
  for (const size_t members : { 3U, 5U, 7U }) {
    Group group(members);
    const uint64_t before = group.SentBytes();
    group.RunFor(kWatched);
    points.push_back({ static_cast<double>(members),
                       static_cast<double>(group.SentBytes() - before) });
  }
  return FitLine(std::move(points));
}

} // namespace

LogSlopes
MeasureLog(Printer& aPrinter)
{
  constexpr size_t kBatch = 256;
  aPrinter.Heading("replicated log, three members, commands of 200 bytes");
  const Commits single = MeasureCommits({ 100, 200, 400 }, 1);
  const Commits batched = MeasureCommits({ 1000, 4000, 16000 }, kBatch);
  LogSlopes slopes{ single.cpu,    single.bytes,  single.syncs, batched.cpu,
                    batched.bytes, batched.syncs, MeasureIdle() };
  aPrinter.Slope("commit_cpu", "s", "command", slopes.cpu);
  aPrinter.Slope("commit_bytes", "bytes", "command", slopes.sentBytes);
  aPrinter.Slope("commit_syncs", "syncs", "command", slopes.syncs);
  aPrinter.Slope("batched_commit_cpu", "s", "command", slopes.batchedCpu);
  aPrinter.Slope(
    "batched_commit_bytes", "bytes", "command", slopes.batchedSentBytes);
  aPrinter.Slope(
    "batched_commit_syncs", "syncs", "command", slopes.batchedSyncs);
  aPrinter.Slope("idle_group_bytes", "bytes/s", "member", slopes.idleBytes);
  return slopes;
}

} // namespace rattandyke::capacity
