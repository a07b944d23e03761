#include "gateway/link_budget.h"

#include <deque>
#include <random>

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;

/// Bandwidth of a small host's link in bytes per second.
constexpr double kRate = 287'500;
constexpr milliseconds kTimeout{ 600 };

TEST(LinkBudget, UnlimitedLinkAdmitsAll)
{
  LinkBudget budget(0);
  const Instant now{ std::chrono::hours{ 1 } };
  for (int request = 0; request < 1000; ++request) {
    EXPECT_FALSE(budget.Admit(9, 300, 1'000'000, kTimeout, now));
  }
}

TEST(LinkBudget, LowerPrioritiesAreRejectedFirst)
{
  LinkBudget budget(kRate);
  const Instant now{ std::chrono::hours{ 1 } };
  while (!budget.Admit(2, 300, 5000, kTimeout, now)) {
  }
  EXPECT_TRUE(budget.Admit(3, 300, 5000, kTimeout, now));
  EXPECT_FALSE(budget.Admit(0, 300, 5000, kTimeout, now));
}

// A rejected caller that retries after the returned time must be admitted.
TEST(LinkBudget, RetryAfterReturnedTimeIsAdmitted)
{
  LinkBudget budget(kRate);
  Instant now{ std::chrono::hours{ 1 } };
  std::optional<Duration> wait;
  while (!(wait = budget.Admit(1, 300, 5000, kTimeout, now))) {
  }
  EXPECT_FALSE(budget.Admit(1, 300, 5000, kTimeout, now + *wait));
}

TEST(LinkBudget, ReleasedBytesAreAvailableAgain)
{
  LinkBudget budget(kRate);
  const Instant now{ std::chrono::hours{ 1 } };
  while (!budget.Admit(1, 300, 5000, kTimeout, now)) {
  }
  budget.Release(5000);
  EXPECT_FALSE(budget.Admit(1, 300, 5000, kTimeout, now));
}

// A rejected caller sends its request again. If the request is about as long as
// its response, rejecting it saves no bandwidth.
TEST(LinkBudget, RequestsAsLongAsTheirResponsesAreAdmitted)
{
  LinkBudget budget(kRate);
  const Instant now{ std::chrono::hours{ 1 } };
  while (!budget.Admit(1, 300, 5000, kTimeout, now)) {
  }
  EXPECT_FALSE(budget.Admit(1, 4000, 5000, kTimeout, now));
}

TEST(ResponseSizes, FollowsResponseSizesOfRoute)
{
  ResponseSizes sizes;
  EXPECT_GT(sizes.Expected("r"), 0U);
  sizes.Record("r", 100);
  EXPECT_EQ(sizes.Expected("r"), 100U);
  for (int response = 0; response < 200; ++response) {
    sizes.Record("r", 9000);
  }
  EXPECT_GT(sizes.Expected("r"), 8500U);
}

/// Simulates callers' requests on a link. Responses arrive some time after
/// their requests and queue in front of the link.
struct Burst
{
  /// @param aOffered bytes of all requested responses, relative to the
  /// bandwidth of the link.
  /// @param aLimited whether the LinkBudget limits the requests.
  /// @return share of the requests whose response arrives within half a second.
  static double InTimeShare(double aOffered, bool aLimited)
  {
    constexpr double kResponseBytes = 5000;
    constexpr std::chrono::seconds kLength{ 20 };
    std::mt19937_64 random(5);
    std::exponential_distribution<double> gap(aOffered * kRate /
                                              kResponseBytes);
    std::lognormal_distribution<double> size(-0.18, 0.6);
    LinkBudget budget(aLimited ? kRate : 0);
    const Instant start{ std::chrono::hours{ 1 } };
    Instant linkFree = start;
    double requests = 0;
    double inTime = 0;
    for (Instant now = start; now < start + kLength;) {
      now += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
      requests += 1;
      if (budget.Admit(
            2, 300, static_cast<size_t>(kResponseBytes), kTimeout, now)) {
        continue;
      }
      const Instant sent = now + milliseconds{ 120 };
      linkFree =
        std::max(linkFree, sent) +
        std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(size(random) * kResponseBytes / kRate));
      inTime += linkFree - now <= milliseconds{ 500 } ? 1 : 0;
    }
    return inTime / requests;
  }
};

// Callers request 1.5 times the bandwidth of an entry's link for many seconds.
// Without the budget nearly all responses are late. With it, nearly as many are
// in time as the link can carry.
TEST(LinkBudget, ResponsesAreInTimeUnderOverload)
{
  EXPECT_LT(Burst::InTimeShare(1.5, false), 0.1);
  EXPECT_GT(Burst::InTimeShare(1.5, true),
            0.9 * LinkBudget::kUsableShare / 1.5);
}

// Guards against an entry that admits all requests with long bodies, because
// rejecting them saves little bandwidth, until their responses are later than
// the timeouts of their routes.
TEST(LinkBudget, LongRequestsAreRejectedIfResponsesWouldBeLate)
{
  constexpr size_t kRequestBytes = 4000;
  constexpr size_t kResponseBytes = 1500;
  constexpr double kOffered = 1.5;
  LinkBudget budget(kRate);
  Instant now{ std::chrono::hours{ 1 } };
  const Instant end = now + std::chrono::seconds{ 20 };
  Instant linkFree = now;
  Duration maxLatency{};
  double admitted = 0;
  while (now < end) {
    now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      (kRequestBytes + kResponseBytes) / (kOffered * kRate)));
    const auto wait =
      budget.Admit(0, kRequestBytes, kResponseBytes, kTimeout, now);
    budget.RecordReceived(kRequestBytes, now);
    linkFree =
      std::max(linkFree, now) +
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        (kRequestBytes + (wait ? 0 : kResponseBytes)) / kRate));
    admitted += wait ? 0 : 1;
    maxLatency = std::max(maxLatency, wait ? Duration{} : linkFree - now);
  }
  EXPECT_LE(maxLatency, Duration(kTimeout));
  EXPECT_GT(admitted, 0);
}

// At 80% of the usable bandwidth almost nothing is rejected.
TEST(LinkBudget, UsualLoadIsAdmitted)
{
  EXPECT_GT(Burst::InTimeShare(0.8 * LinkBudget::kUsableShare, true), 0.95);
}

} // namespace
} // namespace rattandyke::gateway
