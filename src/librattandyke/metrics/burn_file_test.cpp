#include "metrics/burn_file.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "testing/memory_file_system.h"

namespace rattandyke::metrics {
namespace {

using namespace std::chrono_literals;
using testing::MemoryDisk;

const WallTime kStart{ std::chrono::hours(490'000) };

/// A keeper with its file, as in one life of a host.
struct Life
{
  explicit Life(const std::shared_ptr<MemoryDisk>& aDisk)
    : file(MemoryDisk::Mount(aDisk), "data")
  {
    loaded = file.Load(keeper);
  }

  void Count(WallTime aAt, uint64_t aRequests)
  {
    total += aRequests;
    Snapshot snapshot;
    snapshot.services.emplace_back();
    snapshot.services[0].service = "board";
    snapshot.services[0].objective.total = total;
    keeper.Observe(snapshot, aAt);
  }

  uint64_t Known() const
  {
    const auto found = keeper.Histories().find("board");
    return found == keeper.Histories().end()
             ? 0
             : found->second.Sum(kStart + 1h, kBudgetPeriod).total;
  }

  BurnKeeper keeper;
  BurnFile file;
  Result<void> loaded;
  uint64_t total = 0;
};

// A host is restarted again and again, sometimes by a crash that tears the last
// write. What was saved before is there each time, once: neither lost nor
// counted twice, and nothing appears that was never counted.
RC_GTEST_PROP(BurnFile, SavedCountsSurviveCrashesOnce, ())
{
  const auto disk = std::make_shared<MemoryDisk>();
  Random random(*rc::gen::arbitrary<uint32_t>());
  uint64_t saved = 0;
  uint64_t counted = 0;
  for (int life = 0; life < 6; ++life) {
    Life host(disk);
    RC_ASSERT(host.loaded.has_value());
    RC_ASSERT(host.Known() >= saved);
    RC_ASSERT(host.Known() <= counted);
    saved = counted = host.Known();
    const int minutes = *rc::gen::inRange(0, 5);
    for (int minute = 0; minute < minutes; ++minute) {
      host.Count(kStart + std::chrono::minutes(minute), 10);
      counted += 10;
      if (*rc::gen::arbitrary<bool>()) {
        RC_ASSERT(host.file.Save(host.keeper).has_value());
        saved = counted;
      }
    }
    disk->Crash(random);
  }
}

// The disk fails in the middle of an append and works again a minute later.
// A part of the line may be in the file, and what it tells must not count twice
// once the same counts are saved again.
TEST(BurnFile, AFailedSaveIsMadeUpForOnce)
{
  for (uint64_t operations = 0; operations < 8; ++operations) {
    const auto disk = std::make_shared<MemoryDisk>();
    Life host(disk);
    host.Count(kStart, 10);
    ASSERT_TRUE(host.file.Save(host.keeper));
    host.Count(kStart + 1min, 7);
    disk->FailAfter(operations);
    (void)host.file.Save(host.keeper);
    disk->FailAfter(std::nullopt);
    ASSERT_TRUE(host.file.Save(host.keeper));
    EXPECT_EQ(Life(disk).Known(), 17u) << operations;
  }
}

// A byte on the disk changed. The line that holds it is passed over, the rest
// of three days is still there, and the host starts.
RC_GTEST_PROP(BurnFile, ADamagedLineCostsThatLineOnly, ())
{
  const auto disk = std::make_shared<MemoryDisk>();
  {
    Life host(disk);
    for (int minute = 0; minute < 10; ++minute) {
      host.Count(kStart + std::chrono::minutes(minute), 10);
      RC_ASSERT(host.file.Save(host.keeper).has_value());
    }
  }
  std::string& bytes = disk->Contents(disk->Paths().at(0));
  const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  const Life again(disk);
  RC_ASSERT(again.loaded.has_value());
  RC_ASSERT(again.Known() >= 80u);
  RC_ASSERT(again.Known() <= 100u);
}

} // namespace
} // namespace rattandyke::metrics
