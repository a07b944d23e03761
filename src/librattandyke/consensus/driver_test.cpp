#include "consensus/driver.h"

#include <filesystem>
#include <map>
#include <random>
#include <sstream>

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "testing/memory_file_system.h"

namespace rattandyke::consensus {
namespace {

namespace fs = std::filesystem;

/// A folder that is removed at the end of the test.
class TemporaryFolder
{
public:
  TemporaryFolder()
    : mPath(fs::temp_directory_path() /
            ("rattandyke-test-" + std::to_string(std::random_device{}())))
  {
    fs::create_directories(mPath);
  }
  ~TemporaryFolder() { fs::remove_all(mPath); }
  const fs::path& Path() const { return mPath; }

private:
  const fs::path mPath;
};

/// Control hosts in one process on one executor, each with a folder of its own.
class Hosts
{
public:
  /// @param aDisk of the host, if it is only one; else files of the system.
  explicit Hosts(const std::vector<std::string>& aNames,
                 std::shared_ptr<testing::MemoryDisk> aDisk = nullptr)
    : mDisk(std::move(aDisk))
  {
    for (const std::string& name : aNames) {
      mMembers.push_back({ HostName{ name }, { "127.0.0.1", 1 } });
    }
    for (const std::string& name : aNames) {
      EXPECT_TRUE(Start(name).has_value());
    }
  }

  ~Hosts()
  {
    for (auto& [name, host] : mHosts) {
      host.driver.reset();
    }
  }

  Result<void> Start(const std::string& aName)
  {
    Host& host = mHosts[aName];
    host.applied.clear();
    Driver::Options options;
    options.name = HostName{ aName };
    options.dataFolder = Folder(aName);
    options.controlHosts = mMembers;
    options.replica = mOptions;
    if (mDisk) {
      options.openFiles = [this] { return testing::MemoryDisk::Mount(mDisk); };
    }
    host.driver = std::make_unique<Driver>(mContext.get_executor(),
                                           std::move(options),
                                           MakeCallbacks(aName),
                                           mClock,
                                           mMembers.size());
    return host.driver->Start();
  }

  /// Ends a host at once, as a crash would: nothing is handed over.
  void Kill(const std::string& aName) { mHosts[aName].driver.reset(); }

  fs::path Folder(const std::string& aName) const
  {
    return mFolder.Path() / aName;
  }

  Driver& At(const std::string& aName) { return *mHosts[aName].driver; }

  const std::vector<std::string>& Applied(const std::string& aName)
  {
    return mHosts[aName].applied;
  }

  /// Lets a host fail to read the snapshots that it loads.
  void RefuseSnapshots(const std::string& aName, bool aRefuse)
  {
    mHosts[aName].refusesSnapshots = aRefuse;
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    while (!aCondition()) {
      mContext.run_one();
    }
  }

  std::string WaitForLeader()
  {
    std::string leader;
    RunUntil([&] {
      for (auto& [name, host] : mHosts) {
        if (host.driver && host.driver->IsLeader()) {
          leader = name;
        }
      }
      return !leader.empty();
    });
    return leader;
  }

  /// Proposes to whoever leads until it is acknowledged.
  void Write(const std::string& aPayload)
  {
    bool done = false;
    while (!done) {
      const std::string leader = WaitForLeader();
      bool answered = false;
      At(leader).Propose(aPayload, [&](const Result<LogIndex>& aResult) {
        answered = true;
        done = aResult.has_value();
      });
      RunUntil([&] { return answered; });
    }
  }

  ReplicaOptions mOptions = [] {
    ReplicaOptions options;
    options.entriesPerSnapshot = 20;
    options.entriesKeptBehind = 5;
    options.replaceAfter = std::chrono::milliseconds{ 100 };
    return options;
  }();

private:
  struct Host
  {
    std::unique_ptr<Driver> driver;
    std::vector<std::string> applied;
    bool refusesSnapshots = false;
  };

  Driver::Callbacks MakeCallbacks(const std::string& aName)
  {
    Driver::Callbacks callbacks;
    callbacks.send = [this, aName](const HostName& aTo,
                                   const std::string& aBytes) {
      boost::asio::post(mContext, [this, aName, aTo, aBytes] {
        if (mHosts[aTo.value].driver) {
          mHosts[aTo.value].driver->Receive(HostName{ aName }, aBytes);
        }
      });
    };
    callbacks.apply = [this, aName](LogIndex, std::string_view aPayload) {
      mHosts[aName].applied.emplace_back(aPayload);
    };
    callbacks.makeSnapshot = [this, aName] {
      std::string state;
      for (const std::string& item : mHosts[aName].applied) {
        state += item + "\n";
      }
      return state;
    };
    callbacks.loadSnapshot = [this,
                              aName](std::string_view aState) -> Result<void> {
      if (mHosts[aName].refusesSnapshots) {
        return Fail(Code::StorageCorrupt, "The snapshot can't be read.");
      }
      std::istringstream lines{ std::string(aState) };
      mHosts[aName].applied.clear();
      for (std::string line; std::getline(lines, line);) {
        mHosts[aName].applied.push_back(line);
      }
      return {};
    };
    callbacks.leadership = [](std::optional<uint64_t>) {};
    return callbacks;
  }

  const std::shared_ptr<testing::MemoryDisk> mDisk;
  TemporaryFolder mFolder;
  SystemClock mClock;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork{ mContext.get_executor() };
  std::vector<Member> mMembers;
  std::map<std::string, Host> mHosts;
};

std::vector<std::string>
Numbered(int aCount)
{
  std::vector<std::string> items;
  items.reserve(static_cast<size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    items.push_back("change " + std::to_string(i));
  }
  return items;
}

TEST(Driver, SingleHostKeepsItsChangesAcrossARestart)
{
  // An operator runs one host on its defaults, submits changes and restarts
  // it. Every acknowledged change must be there again, once and in order, both
  // those in the snapshot and those in the log after it.
  Hosts hosts({ "a" });
  const auto changes = Numbered(50);
  for (const std::string& change : changes) {
    hosts.Write(change);
  }
  const HostIdentity identity = hosts.At("a").Identity();
  hosts.Kill("a");
  ASSERT_TRUE(hosts.Start("a").has_value());
  hosts.WaitForLeader();
  EXPECT_EQ(hosts.Applied("a"), changes);
  EXPECT_EQ(hosts.At("a").Identity(), identity);
}

TEST(Driver, ThreeHostsKeepAcknowledgedChangesWhenTheLeaderIsLost)
{
  // Changes are acknowledged, then the leader's process is killed. The other
  // two elect a leader and go on; the killed host comes back after enough
  // changes that it needs a snapshot, and ends with the same state.
  Hosts hosts({ "a", "b", "c" });
  const auto changes = Numbered(100);
  for (int i = 0; i < 10; ++i) {
    hosts.Write(changes[i]);
  }
  const std::string lost = hosts.WaitForLeader();
  hosts.Kill(lost);
  for (int i = 10; i < 100; ++i) {
    hosts.Write(changes[i]);
  }
  ASSERT_TRUE(hosts.Start(lost).has_value());
  for (const char* name : { "a", "b", "c" }) {
    hosts.RunUntil([&] { return hosts.Applied(name).size() == 100; });
    EXPECT_EQ(hosts.Applied(name), changes) << name;
  }
}

// Guards against a host that goes on with a part of a snapshot that it can't
// read, or writes it to its disk.
TEST(Driver, HostThatCannotReadASnapshotTakesNoFurtherPart)
{
  Hosts hosts({ "a", "b", "c" });
  hosts.Write("before");
  const std::string behind = hosts.WaitForLeader();
  hosts.Kill(behind);
  for (int i = 0; i < 100; ++i) {
    hosts.Write("change " + std::to_string(i));
  }
  hosts.RefuseSnapshots(behind, true);
  ASSERT_TRUE(hosts.Start(behind).has_value());
  hosts.RunUntil(
    [&] { return !hosts.At(behind).Status().storageError.empty(); });
  EXPECT_FALSE(hosts.At(behind).FollowsUpToDate());
  hosts.Write("after");
  hosts.Kill(behind);
  hosts.RefuseSnapshots(behind, false);
  ASSERT_TRUE(hosts.Start(behind).has_value());
  hosts.RunUntil([&] { return hosts.Applied(behind).size() == 102; });
}

TEST(Driver, HostThatCannotReadItsOwnSnapshotDoesNotStart)
{
  Hosts hosts({ "a" });
  for (const std::string& change : Numbered(100)) {
    hosts.Write(change);
  }
  hosts.Kill("a");
  hosts.RefuseSnapshots("a", true);
  const auto started = hosts.Start("a");
  ASSERT_FALSE(started.has_value());
  EXPECT_EQ(started.error().code, Code::StorageCorrupt);
}

TEST(Driver, HostThatLostItsDiskReplacesItsOldIdentity)
{
  // A control host's disk is lost and it starts with an empty folder. It must
  // not vote as the voter it was; it joins under a new identity, catches up,
  // takes the place of its old identity, and is a full voter again.
  Hosts hosts({ "a", "b", "c" });
  hosts.Write("before");
  const HostIdentity old = hosts.At("b").Identity();
  hosts.Kill("b");
  fs::remove_all(hosts.Folder("b"));
  ASSERT_TRUE(hosts.Start("b").has_value());
  const HostIdentity renewed = hosts.At("b").Identity();
  EXPECT_NE(renewed, old);
  hosts.RunUntil([&] {
    const auto members = hosts.At(hosts.WaitForLeader()).Status().members;
    const bool votes =
      std::any_of(members.begin(), members.end(), [&](const auto& aMember) {
        return aMember.identity == renewed && aMember.voter;
      });
    return votes && members.size() == 3;
  });
  hosts.Write("after");
  hosts.RunUntil([&] { return hosts.Applied("b").size() == 2; });
}

TEST(Driver, SecondProcessOnTheSameFolderIsRefused)
{
  // An operator starts a host twice by mistake. Two processes on one log would
  // vote twice; the second must end at once with a clear error.
  Hosts hosts({ "a" });
  SystemClock clock;
  boost::asio::io_context context;
  Driver::Options options;
  options.name = HostName{ "a" };
  options.dataFolder = hosts.Folder("a");
  Driver second(context.get_executor(), options, {}, clock, 1);
  const auto started = second.Start();
  ASSERT_FALSE(started.has_value());
  EXPECT_EQ(started.error().code, Code::StorageLocked);
}

TEST(Driver, LeadershipIsHandedOver)
{
  // A leader shuts down on request. It hands over to a follower that has the
  // whole log, so that the group is without a leader for one round trip and
  // not for an election timeout.
  Hosts hosts({ "a", "b", "c" });
  hosts.Write("before");
  const std::string first = hosts.WaitForLeader();
  bool done = false;
  hosts.At(first).TransferLeadership([&] { done = true; });
  hosts.RunUntil([&] { return done; });
  hosts.Kill(first);
  EXPECT_NE(hosts.WaitForLeader(), first);
  hosts.Write("after");
}

TEST(Driver, FullDiskAcknowledgesNothing)
{
  // The disk fills up while changes come in. What is proposed then is refused
  // or dropped, never acknowledged, and the status says why. Once there is room
  // the host goes on by itself, and after a restart it has every change that it
  // acknowledged.
  auto disk = std::make_shared<testing::MemoryDisk>();
  Hosts hosts({ "a" }, disk);
  hosts.Write("before");
  disk->LimitTo(0);
  std::vector<Code> codes;
  hosts.At("a").Propose("lost", [&](const Result<LogIndex>& aResult) {
    codes.push_back(aResult ? Code::Ok : aResult.error().code);
  });
  hosts.RunUntil([&] { return !hosts.At("a").Status().storageError.empty(); });
  hosts.At("a").Propose("refused", [&](const Result<LogIndex>& aResult) {
    codes.push_back(aResult ? Code::Ok : aResult.error().code);
  });
  EXPECT_EQ(codes, (std::vector{ Code::ProposalDropped, Code::DiskFull }));
  EXPECT_FALSE(hosts.At("a").IsLeader());
  disk->LimitTo(UINT64_MAX);
  hosts.Write("after");
  hosts.Kill("a");
  ASSERT_TRUE(hosts.Start("a").has_value());
  hosts.WaitForLeader();
  const auto& applied = hosts.Applied("a");
  EXPECT_EQ(applied.front(), "before");
  EXPECT_EQ(applied.back(), "after");
  EXPECT_EQ(std::count(applied.begin(), applied.end(), "refused"), 0);
}

} // namespace
} // namespace rattandyke::consensus
