#include "gateway/link_budget.h"

#include <deque>
#include <random>

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;

/// Of a small host's link.
constexpr double kRate = 287'500;
constexpr milliseconds kInTime{ 600 };

TEST(LinkBudget, LinkWithoutABoundTakesAll)
{
  LinkBudget budget(0);
  const Instant now{ std::chrono::hours{ 1 } };
  for (int request = 0; request < 1000; ++request) {
    EXPECT_FALSE(budget.Admit(9, 300, 1'000'000, kInTime, now));
  }
}

TEST(LinkBudget, LessUrgentRequestsAreRefusedSooner)
{
  LinkBudget budget(kRate);
  const Instant now{ std::chrono::hours{ 1 } };
  while (!budget.Admit(2, 300, 5000, kInTime, now)) {
  }
  EXPECT_TRUE(budget.Admit(3, 300, 5000, kInTime, now));
  EXPECT_FALSE(budget.Admit(0, 300, 5000, kInTime, now));
}

// A refused caller that comes back after the time it was told finds room.
TEST(LinkBudget, ToldTimeIsEnough)
{
  LinkBudget budget(kRate);
  Instant now{ std::chrono::hours{ 1 } };
  std::optional<Duration> wait;
  while (!(wait = budget.Admit(1, 300, 5000, kInTime, now))) {
  }
  EXPECT_FALSE(budget.Admit(1, 300, 5000, kInTime, now + *wait));
}

TEST(LinkBudget, RoomOfWhatDoesNotComeIsFreeAgain)
{
  LinkBudget budget(kRate);
  const Instant now{ std::chrono::hours{ 1 } };
  while (!budget.Admit(1, 300, 5000, kInTime, now)) {
  }
  budget.GiveBack(5000);
  EXPECT_FALSE(budget.Admit(1, 300, 5000, kInTime, now));
}

// A caller that is refused sends its request again. Where that is as long as
// the answer, the link is no emptier for it.
TEST(LinkBudget, RequestsAsLongAsTheirAnswersAreTaken)
{
  LinkBudget budget(kRate);
  const Instant now{ std::chrono::hours{ 1 } };
  while (!budget.Admit(1, 300, 5000, kInTime, now)) {
  }
  EXPECT_FALSE(budget.Admit(1, 4000, 5000, kInTime, now));
}

TEST(ResponseSizes, FollowsTheAnswersOfARoute)
{
  ResponseSizes sizes;
  EXPECT_GT(sizes.Of("r"), 0U);
  sizes.Note("r", 100);
  EXPECT_EQ(sizes.Of("r"), 100U);
  for (int answer = 0; answer < 200; ++answer) {
    sizes.Note("r", 9000);
  }
  EXPECT_GT(sizes.Of("r"), 8500U);
}

/// What becomes of callers' requests on a link, in simulated time. Answers come
/// some time after their requests and queue in front of the link.
struct Burst
{
  /// @param aOffered bytes of all answers that callers ask for, as a part of
  /// what the link carries.
  /// @return part of the requests that are answered within half a second.
  static double InTime(double aOffered, bool aBounded)
  {
    constexpr double kAnswer = 5000;
    constexpr std::chrono::seconds kLasts{ 20 };
    std::mt19937_64 random(5);
    std::exponential_distribution<double> gap(aOffered * kRate / kAnswer);
    std::lognormal_distribution<double> size(-0.18, 0.6);
    LinkBudget budget(aBounded ? kRate : 0);
    const Instant start{ std::chrono::hours{ 1 } };
    Instant linkFree = start;
    double asked = 0;
    double inTime = 0;
    for (Instant now = start; now < start + kLasts;) {
      now += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
      asked += 1;
      if (budget.Admit(2, 300, static_cast<size_t>(kAnswer), kInTime, now)) {
        continue;
      }
      const Instant sent = now + milliseconds{ 120 };
      linkFree =
        std::max(linkFree, sent) +
        std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(size(random) * kAnswer / kRate));
      inTime += linkFree - now <= milliseconds{ 500 } ? 1 : 0;
    }
    return inTime / asked;
  }
};

// Callers ask for half as much again as an entry's link carries, for many
// seconds. Without a bound nearly all answers are late; with one, nearly as
// many are in time as the link carries in time.
TEST(LinkBudget, MostOfWhatTheLinkCarriesIsInTimeInABurst)
{
  EXPECT_LT(Burst::InTime(1.5, false), 0.1);
  EXPECT_GT(Burst::InTime(1.5, true), 0.9 * LinkBudget::kUsable / 1.5);
}

// Guards against an entry that takes on all requests with long bodies, because
// a refusal saves little, until their answers leave after their routes' time.
TEST(LinkBudget, LongRequestsAreRefusedOnceTheirAnswersWouldBeLate)
{
  constexpr size_t kRequest = 4000;
  constexpr size_t kAnswer = 1500;
  constexpr double kOffered = 1.5;
  LinkBudget budget(kRate);
  Instant now{ std::chrono::hours{ 1 } };
  const Instant end = now + std::chrono::seconds{ 20 };
  Instant linkFree = now;
  Duration longest{};
  double taken = 0;
  while (now < end) {
    now += std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>((kRequest + kAnswer) / (kOffered * kRate)));
    const auto wait = budget.Admit(0, kRequest, kAnswer, kInTime, now);
    budget.NoteReceived(kRequest, now);
    linkFree =
      std::max(linkFree, now) +
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        (kRequest + (wait ? 0 : kAnswer)) / kRate));
    taken += wait ? 0 : 1;
    longest = std::max(longest, wait ? Duration{} : linkFree - now);
  }
  EXPECT_LE(longest, Duration(kInTime));
  EXPECT_GT(taken, 0);
}

// At four fifths of what requests may use hardly anything is refused.
TEST(LinkBudget, UsualLoadIsTaken)
{
  EXPECT_GT(Burst::InTime(0.8 * LinkBudget::kUsable, true), 0.95);
}

} // namespace
} // namespace rattandyke::gateway
