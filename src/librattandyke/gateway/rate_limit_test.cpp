// An upstream in need names in its responses how many requests per second it
// accepts from all entry hosts together. These tests run groups of entries in
// simulated time and count what reaches it in each window of four seconds.
#include <gtest/gtest.h>

#include "testing/entry_group.h"

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EntryGroup;

constexpr seconds kWindow{ 4 };
/// Time after which a named limit must be kept.
constexpr seconds kSettlingTime{ 3 };
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5;
constexpr double kTraffic = 30;

size_t
MaxAllowed(double aLimit)
{
  const auto window = std::chrono::duration<double>(kWindow).count();
  return static_cast<size_t>(kAllowedFactor * aLimit * window + kAllowedExtra);
}

struct GroupCase
{
  size_t entries;
  bool keyed;
  double limit;
};

class RateLimitTest : public ::testing::TestWithParam<GroupCase>
{};

// Entries that each know of the limit, or each keep it by themselves, exceed it
// together.
TEST_P(RateLimitTest, EntriesTogetherStayWithinIt)
{
  const auto [entries, keyed, limit] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).rateLimit = limit;
  const Instant named = group.Now();
  group.RunFor(seconds{ 20 }, kTraffic);
  EXPECT_LE(group.MostInWindow(0, named + kSettlingTime, kWindow),
            MaxAllowed(limit));
}

INSTANTIATE_TEST_SUITE_P(Groups,
                         RateLimitTest,
                         ::testing::Values(GroupCase{ 10, true, 0 },
                                           GroupCase{ 10, true, 0.5 },
                                           GroupCase{ 10, true, 1.5 },
                                           GroupCase{ 10, true, 10 },
                                           GroupCase{ 10, false, 1 },
                                           GroupCase{ 1000, true, 1 },
                                           GroupCase{ 1000, false, 1 }));

} // namespace
} // namespace rattandyke::gateway
