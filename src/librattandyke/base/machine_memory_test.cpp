#include "base/machine_memory.h"

#include <gtest/gtest.h>

#include "base/memory_budget.h"

namespace rattandyke {
namespace {

constexpr size_t kMiB = size_t{ 1024 } * 1024;
constexpr size_t kMb = 1'000'000;
constexpr size_t kLargestBody = 64 * kMiB;

/// @return the part of the budget that requests may use.
size_t
MemoryForRequests(size_t aConfigured, std::optional<size_t> aMachine)
{
  const MemoryBudget budget(MemoryForBodies(aConfigured, aMachine));
  size_t largest = 0;
  while (budget.CanEverFit(MemoryBudget::Use::Request, largest + kMb)) {
    largest += kMb;
  }
  return largest;
}

TEST(MachineMemoryTest, ReadsTheTotal)
{
  EXPECT_EQ(ParseMachineMemory("MemTotal:         266240 kB\nMemFree: 1 kB\n"),
            260 * kMiB);
  EXPECT_FALSE(ParseMachineMemory("MemFree: 1 kB\n"));
  EXPECT_FALSE(ParseMachineMemory("MemTotal: many kB\n"));
  EXPECT_FALSE(ParseMachineMemory("MemTotal:"));
  EXPECT_TRUE(MachineMemory());
}

// Guards against uploads within the limit that no host can take: bodies get
// enough memory for one on the smallest hosts, and for three on usual ones.
TEST(MachineMemoryTest, HostsHaveRoomForLargeBodies)
{
  EXPECT_GE(MemoryForRequests(120 * kMb, {}) + kMb, kLargestBody);
  EXPECT_GE(MemoryForRequests(260 * kMb, {}), 3 * 60 * kMb);
  EXPECT_GE(MemoryForRequests(0, size_t{ 24 } * 1024 * kMiB), 3 * 60 * kMb);
}

// Guards against a process that uses more memory than its machine has, whatever
// its settings say.
TEST(MachineMemoryTest, NeverExceedsTheMachine)
{
  EXPECT_LT(MemoryForBodies(400 * kMiB, 260 * kMiB), 260 * kMiB);
  EXPECT_LT(MemoryForBodies(0, 120 * kMiB), 120 * kMiB);
  EXPECT_GT(MemoryForBodies(16 * kMiB, {}), 0U);
}

} // namespace
} // namespace rattandyke
