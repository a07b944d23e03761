#include <algorithm>

#include <gtest/gtest.h>

#include "entry/credit_broker.h"
#include "entry/credit_client.h"
#include "testing/overload_model.h"

namespace rattandyke::entry {
namespace {

using namespace std::chrono_literals;
using admission::Admit;
using admission::Offer;
using admission::Refuse;
using admission::Ticket;

constexpr Instant kStart{ 1h };

std::unique_ptr<admission::Admission>
Fair(uint32_t aSlots)
{
  return std::move(
    *admission::AdmissionRegistry::Make("fair", { .slots = aSlots }));
}

credit_event::Asked
AskedBy(std::string aHost, uint64_t aRequest)
{
  return { { { std::move(aHost) }, 1, aRequest }, { "one" }, {}, 1s, 10s };
}

size_t
GrantedIn(const std::vector<CreditAnswer>& aAnswers)
{
  return static_cast<size_t>(
    std::count_if(aAnswers.begin(), aAnswers.end(), [](const auto& aOne) {
      return aOne.state == CreditState::Granted;
    }));
}

Offer
OfferOf(uint64_t aTicket, Instant aNow = kStart)
{
  return { { aTicket }, { "one" }, {}, aNow + 1s, aNow + 10s, false };
}

template<typename Effect>
size_t
CountOf(const std::vector<CreditClientEffect>& aEffects)
{
  return static_cast<size_t>(
    std::count_if(aEffects.begin(), aEffects.end(), [](const auto& aOne) {
      return std::holds_alternative<Effect>(aOne);
    }));
}

/// An entry dies with both slots of an upstream. Callers of the other entries
/// get them as soon as its session is known to be over, not when its requests
/// would have timed out.
TEST(CreditBroker, SlotsOfALostEntryAreFreeAgain)
{
  CreditBroker broker(Fair(2));
  broker.Step(AskedBy("lost", 1), kStart);
  broker.Step(AskedBy("lost", 2), kStart);
  EXPECT_EQ(GrantedIn(broker.Step(AskedBy("other", 1), kStart)), 0u);
  EXPECT_EQ(
    GrantedIn(broker.Step(credit_event::SessionGone{ { "lost" }, 1 }, kStart)),
    1u);
}

/// A message is repeated: the same request never takes two slots. Its return is
/// lost for good: the slot comes back when the request cannot be running.
TEST(CreditBroker, OneRequestOneSlotAndNoneIsLostForGood)
{
  CreditBroker broker(Fair(2));
  EXPECT_EQ(GrantedIn(broker.Step(AskedBy("a", 1), kStart)), 1u);
  EXPECT_EQ(GrantedIn(broker.Step(AskedBy("a", 1), kStart)), 1u);
  EXPECT_EQ(broker.Granted(), 1u);
  ASSERT_TRUE(broker.NextTick().has_value());
  broker.Step(credit_event::Tick{}, *broker.NextTick());
  EXPECT_EQ(broker.Granted(), 0u);
}

// An entry is killed within a rest that the upstream asked it for. The process
// that starts in its place must not send the upstream requests.
TEST(CreditBroker, RestartedEntryKeepsItsRest)
{
  CreditBroker broker(Fair(2));
  broker.Step(AskedBy("a", 1), kStart);
  admission::Finished shed;
  shed.ending = admission::Ending::Shed;
  shed.retryAfter = 20s;
  broker.Step(credit_event::Returned{ { { "a" }, 1, 1 }, shed }, kStart);
  broker.Step(credit_event::SessionGone{ { "a" }, 1 }, kStart + 1s);
  credit_event::Asked successor = AskedBy("a", 1);
  successor.key.session = 2;
  const auto refused = broker.Step(successor, kStart + 8s);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].state, CreditState::Refused);
  EXPECT_EQ(refused[0].retryAfter, Duration(12s));
  EXPECT_EQ(GrantedIn(broker.Step(AskedBy("b", 1), kStart + 8s)), 1U);
  EXPECT_EQ(GrantedIn(broker.Step(successor, kStart + 20s)), 1U);
}

/// The home of an upstream stands still. Callers of this entry wait for the
/// home's timeout once, then go by the entry's own small limit, and by the home
/// again once it answers; what it granted meanwhile is given back.
TEST(CreditClient, GoesByItselfWhileTheHomeIsSilent)
{
  CreditClient client({}, Fair(1));
  EXPECT_EQ(CountOf<AskCredit>(client.Step(OfferOf(1), kStart)), 1u);
  EXPECT_EQ(client.NextTick(), kStart + 100ms);
  const auto fallback = client.Step(admission::Tick{}, kStart + 100ms);
  EXPECT_EQ(CountOf<ReturnCredit>(fallback), 1u);
  EXPECT_EQ(CountOf<Admit>(fallback), 1u);
  EXPECT_FALSE(client.UsesHome());
  EXPECT_TRUE(client.Step(OfferOf(2), kStart + 101ms).empty()); // Queued here.

  const auto late =
    client.Step(CreditAnswered{ { 1 }, CreditState::Granted }, kStart + 200ms);
  EXPECT_EQ(CountOf<ReturnCredit>(late), 1u);
  EXPECT_TRUE(client.UsesHome());
  EXPECT_EQ(CountOf<AskCredit>(client.Step(OfferOf(3), kStart + 201ms)), 1u);
}

/// The caller goes away while its request waits at the home. The home hears of
/// it, and a grant that crossed the message on its way is given back.
TEST(CreditClient, ReturnsWhatNobodyWantsAnyMore)
{
  CreditClient client({}, Fair(1));
  client.Step(OfferOf(1), kStart);
  EXPECT_EQ(
    CountOf<ReturnCredit>(client.Step(admission::Left{ { 1 } }, kStart)), 1u);
  const auto crossed =
    client.Step(CreditAnswered{ { 1 }, CreditState::Granted }, kStart + 1ms);
  EXPECT_EQ(CountOf<ReturnCredit>(crossed), 1u);
  EXPECT_EQ(CountOf<Admit>(crossed), 0u);
}

/// The dominant customer offers ten times its share while the home stands still
/// for five seconds and comes back. Small customers' requests are all answered,
/// and every credit comes back.
TEST(Credits, SurviveAPauseOfTheHome)
{
  testing::OverloadSettings settings;
  settings.seed = 1;
  settings.dominantLoad = 10.0 / 11;
  settings.homePause = 5s;
  const auto result = testing::RunOverloadModel(settings);
  EXPECT_GE(static_cast<double>(result.smallAnswered),
            0.99 * static_cast<double>(result.smallSent));
  EXPECT_EQ(result.leaked, 0u);
}

// The home of an upstream that limits its request rate is silent. Entries that
// each admitted some requests would exceed the limit together.
TEST(CreditClient, AdmitsNothingByItselfWhileTheRateIsLimited)
{
  CreditClient client({ .hasHome = true }, Fair(1));
  client.Step(admission::RateLimit{ 1 }, kStart);
  client.Step(OfferOf(1), kStart);
  const auto later = kStart + 200ms;
  const auto effects = client.Step(admission::Tick{}, later);
  EXPECT_EQ(CountOf<Admit>(effects), 0u);
  EXPECT_EQ(CountOf<Refuse>(effects), 1u);
  EXPECT_EQ(CountOf<Refuse>(client.Step(OfferOf(2, later), later)), 1u);
  client.Step(admission::RateLimit{}, later);
  EXPECT_EQ(CountOf<Admit>(client.Step(OfferOf(3, later), later)), 1u);
}

// The home of an upstream has not met the rest that the upstream asked this
// entry for, or the home is silent: the entry must send nothing in either case.
TEST(CreditClient, SendsNothingWithinARest)
{
  CreditClient client({ .hasHome = true }, Fair(1));
  client.Step(OfferOf(1), kStart);
  client.Step(OfferOf(2), kStart);
  client.Step(CreditAnswered{ { 1 }, CreditState::Granted }, kStart);
  client.Step(admission::Finished{ { 1 }, admission::Ending::Shed, 1ms, 3s },
              kStart);
  const auto granted =
    client.Step(CreditAnswered{ { 2 }, CreditState::Granted }, kStart + 1ms);
  EXPECT_EQ(CountOf<Admit>(granted), 0u);
  EXPECT_EQ(CountOf<Refuse>(granted), 1u);
  EXPECT_EQ(CountOf<ReturnCredit>(granted), 1u);
  const auto offered = client.Step(OfferOf(3), kStart + 1s);
  ASSERT_EQ(CountOf<Refuse>(offered), 1u);
  EXPECT_EQ(std::get<Refuse>(offered.front()).retryAfter, Duration(2s));
  const auto after = client.Step(OfferOf(4, kStart + 3s), kStart + 3s);
  EXPECT_EQ(CountOf<AskCredit>(after), 1u);
}

// Requests that wait at the entry itself when the rest begins must not be sent.
TEST(CreditClient, SendsNothingByItselfWithinARest)
{
  CreditClient client({ .hasHome = false }, Fair(1));
  EXPECT_EQ(CountOf<Admit>(client.Step(OfferOf(1), kStart)), 1u);
  EXPECT_EQ(CountOf<Admit>(client.Step(OfferOf(2), kStart)), 0u);
  const auto shed = client.Step(
    admission::Finished{ { 1 }, admission::Ending::Shed, 1ms, 20s }, kStart);
  EXPECT_EQ(CountOf<Admit>(shed), 0u);
  const auto later = kStart + 10s;
  EXPECT_EQ(CountOf<Refuse>(client.Step(OfferOf(3, later), later)), 1u);
}

} // namespace
} // namespace rattandyke::entry
