#include "base/memory_budget.h"

#include <vector>

#include <gtest/gtest.h>

namespace rattandyke {
namespace {

using Use = MemoryBudget::Use;

constexpr size_t kMiB = size_t{ 1024 } * 1024;

// Guards against a host that is killed: three uploads of 60 MB on a host with
// 256 MB have room at the same time, a fourth has none.
TEST(MemoryBudgetTest, LargeBodiesNeverExceedTheBudget)
{
  constexpr size_t kUpload = 60'000'000;
  MemoryBudget budget(192 * kMiB);
  std::vector<MemoryBudget::Reservation> held;
  for (int upload = 0; upload < 3; ++upload) {
    auto reservation = budget.TryReserve(Use::Request, kUpload);
    ASSERT_TRUE(reservation);
    held.push_back(std::move(*reservation));
  }
  EXPECT_FALSE(budget.TryReserve(Use::Request, kUpload));
  EXPECT_EQ(budget.BytesInUse(), 3 * kUpload);
  held.pop_back();
  EXPECT_TRUE(budget.TryReserve(Use::Request, kUpload));
  held.clear();
  EXPECT_EQ(budget.BytesInUse(), 0U);
}

// Guards against small requests that wait behind large uploads.
TEST(MemoryBudgetTest, SmallBodiesDoNotWait)
{
  MemoryBudget budget(64 * kMiB);
  const auto upload = budget.TryReserve(Use::Request, 60 * kMiB);
  ASSERT_TRUE(upload);
  const auto waiting = budget.Wait(Use::Request, 60 * kMiB, [] {});
  EXPECT_TRUE(budget.TryReserve(Use::Request, 1200));
}

// Guards against large uploads that never get room while smaller ones come.
TEST(MemoryBudgetTest, WaitingBodiesAreGrantedInOrder)
{
  MemoryBudget budget(64 * kMiB);
  auto first = budget.TryReserve(Use::Request, 40 * kMiB);
  int granted = 0;
  const auto large = budget.Wait(Use::Request, 50 * kMiB, [&] { ++granted; });
  EXPECT_FALSE(budget.TryReserve(Use::Request, 10 * kMiB));
  EXPECT_EQ(budget.WaitingBodies(), 1U);
  first.reset();
  EXPECT_EQ(granted, 1);
  EXPECT_TRUE(large->Take());
}

// Guards against a wait without end: the body at the head of the queue gives
// up, and the next one fits.
TEST(MemoryBudgetTest, GivingUpLetsTheNextOneIn)
{
  MemoryBudget budget(64 * kMiB);
  const auto held = budget.TryReserve(Use::Request, 40 * kMiB);
  int granted = 0;
  auto large = budget.Wait(Use::Request, 50 * kMiB, [] {});
  const auto next = budget.Wait(Use::Request, 10 * kMiB, [&] { ++granted; });
  EXPECT_EQ(granted, 0);
  large.reset();
  EXPECT_EQ(granted, 1);
}

// Guards against a deadlock: requests hold all room while their responses wait
// for some.
TEST(MemoryBudgetTest, ResponsesHaveRoomBesideRequests)
{
  MemoryBudget budget(64 * kMiB);
  const auto request = budget.TryReserve(Use::Request, 60 * kMiB);
  ASSERT_TRUE(request);
  EXPECT_FALSE(budget.TryReserve(Use::Request, 3 * kMiB));
  EXPECT_TRUE(budget.TryReserve(Use::Response, 3 * kMiB));
}

// Guards against a body that waits although it can never fit.
TEST(MemoryBudgetTest, TellsWhatNeverFits)
{
  const MemoryBudget budget(64 * kMiB);
  EXPECT_TRUE(budget.CanEverFit(Use::Response, 64 * kMiB));
  EXPECT_FALSE(budget.CanEverFit(Use::Response, 65 * kMiB));
  EXPECT_FALSE(budget.CanEverFit(Use::Request, 64 * kMiB));
}

TEST(MemoryBudgetTest, ReservationsMergeAndShrink)
{
  MemoryBudget budget(64 * kMiB);
  auto body = budget.TryReserve(Use::Request, 1 * kMiB);
  body->Merge(std::move(*budget.TryReserve(Use::Request, 3 * kMiB)));
  EXPECT_EQ(body->Bytes(), 4 * kMiB);
  body->ShrinkTo(2 * kMiB);
  EXPECT_EQ(budget.BytesInUse(), 2 * kMiB);
  EXPECT_EQ(budget.PeakBytes(), 4 * kMiB);
  body.reset();
  EXPECT_EQ(budget.BytesInUse(), 0U);
}

} // namespace
} // namespace rattandyke
