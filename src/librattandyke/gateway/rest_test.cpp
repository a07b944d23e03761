// An upstream that refuses a request may want no further one from the same
// entry host for some time. These tests run groups of entries in simulated time
// and count what each entry sends it within that time.
#include <gtest/gtest.h>

#include "testing/entry_group.h"

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EntryGroup;

constexpr seconds kRest{ 3 };
/// Requests of one entry that may reach an upstream within its rest.
constexpr size_t kAllowed = 2;
constexpr double kTraffic = 60;

struct GroupCase
{
  size_t entries;
  bool keyed;
};

class RestTest : public ::testing::TestWithParam<GroupCase>
{};

// The home entry of an upstream lets probes pass, whichever entry asks, so an
// entry that must leave the upstream alone sends it requests all the same.
TEST_P(RestTest, EntriesSendNothingWithinARest)
{
  const auto [entries, keyed] = GetParam();
  EntryGroup group(entries, keyed ? 1 : 3, keyed);
  group.RunFor(seconds{ 2 }, kTraffic);
  group.Upstream(0).rest = kRest;
  group.RunFor(seconds{ 12 }, kTraffic);
  EXPECT_LE(group.MostWithinRest(0), kAllowed);
}

INSTANTIATE_TEST_SUITE_P(Groups,
                         RestTest,
                         ::testing::Values(GroupCase{ 1, true },
                                           GroupCase{ 10, true },
                                           GroupCase{ 10, false },
                                           GroupCase{ 1000, true },
                                           GroupCase{ 1000, false }));

} // namespace
} // namespace rattandyke::gateway
