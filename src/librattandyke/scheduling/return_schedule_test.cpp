#include "scheduling/return_schedule.h"

#include <gtest/gtest.h>

namespace rattandyke::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart{ seconds{ 100 } };

// Guards against more callers returning than are admitted: 100 callers are
// refused at once, with capacity for one in ten of them.
TEST(ReturnSchedule, BooksWhatIsReservedInSeparateIntervals)
{
  ReturnSchedule schedule(0);
  std::vector<Duration> booked;
  for (int caller = 0; caller < 100; ++caller) {
    EXPECT_EQ(schedule.Reserve(0.125), 0);
    const auto entry = schedule.Book(seconds{ 6 }, kStart);
    if (entry.booked) {
      booked.push_back(entry.after);
    } else {
      EXPECT_EQ(entry.after, Duration(seconds{ 2 }));
    }
  }
  ASSERT_EQ(booked.size(), 12U);
  for (size_t at = 0; at < booked.size(); ++at) {
    EXPECT_EQ(booked[at],
              ReturnSchedule::kInterval * static_cast<int64_t>(at + 1));
  }
}

// Guards against capacity that is kept for returns while nobody is refused.
TEST(ReturnSchedule, KeepsCapacityForOneReturnOnly)
{
  ReturnSchedule schedule(0.5);
  EXPECT_EQ(schedule.Reserve(0.75), 0.25);
  EXPECT_EQ(schedule.Reserve(0.75), 0.75);
}

// Guards against a return time that the caller would not honour.
TEST(ReturnSchedule, BooksNothingBeyondAThirdOfTheRemainingTime)
{
  ReturnSchedule schedule(0);
  schedule.Reserve(1);
  const auto entry = schedule.Book(milliseconds{ 590 }, kStart);
  EXPECT_FALSE(entry.booked);
  EXPECT_LT(entry.after, milliseconds{ 200 });
  EXPECT_TRUE(schedule.Book(milliseconds{ 600 }, kStart).booked);
}

// Guards against a return time that a caller with little time would not honour.
TEST(ReturnSchedule, UnbookedReturnIsWithinAThirdOfTheRemainingTime)
{
  for (const int left : { -1, 0, 1, 90, 299, 300, 6000 }) {
    const Duration timeLeft = milliseconds{ left };
    const auto entry = ReturnSchedule::Unbooked(timeLeft);
    EXPECT_FALSE(entry.booked);
    EXPECT_EQ(entry.after, std::max(timeLeft / 3, Duration{})) << left;
    EXPECT_EQ(ReturnSchedule(1).Book(timeLeft, kStart).booked, left == 6000);
  }
}

} // namespace
} // namespace rattandyke::scheduling
