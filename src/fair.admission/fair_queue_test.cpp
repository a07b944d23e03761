#include "fair.admission/fair_queue.h"

#include <map>
#include <set>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/clock.h"

namespace rattandyke::admission {
namespace {

using namespace std::chrono_literals;

constexpr Instant kStart{ 1h };

Offer
OfferOf(uint64_t aTicket, std::string aCustomer, Instant aNow = kStart)
{
  return { { aTicket }, { std::move(aCustomer) }, {}, aNow + 1s, aNow + 10s,
           false };
}

std::vector<uint64_t>
Admitted(const std::vector<Effect>& aEffects)
{
  std::vector<uint64_t> tickets;
  for (const Effect& effect : aEffects) {
    if (const auto* admit = std::get_if<Admit>(&effect)) {
      tickets.push_back(admit->ticket.value);
    }
  }
  return tickets;
}

/// The large customer fills the queue, then a small one asks once. Its caller
/// sees an answer after the request that runs and at most one more of the large
/// customer's, since each round serves every customer that waits.
TEST(FairQueue, SmallCustomerIsServedWithinARound)
{
  FairQueue queue({ .slots = 1 });
  for (uint64_t ticket = 1; ticket <= 50; ++ticket) {
    queue.Step(OfferOf(ticket, "large"), kStart);
  }
  queue.Step(OfferOf(1000, "small"), kStart);
  const auto first =
    Admitted(queue.Step(Finished{ { 1 }, Ending::Succeeded, 10ms }, kStart));
  ASSERT_EQ(first.size(), 1u);
  const auto second = Admitted(
    queue.Step(Finished{ { first[0] }, Ending::Succeeded, 10ms }, kStart));
  EXPECT_TRUE(first[0] == 1000 || second == std::vector<uint64_t>{ 1000 });
}

/// The large customer's requests take ten times as long. Counted by requests
/// both would get the same; counted by slot time, as here, the small customer
/// gets most of the requests, so long requests do not crowd short ones out.
TEST(FairQueue, LongRequestsPayForTheirLength)
{
  FairQueue queue({ .slots = 1, .maxQueueTime = 1h });
  Instant now = kStart;
  std::set<uint64_t> large;
  uint64_t ticket = 0;
  std::vector<uint64_t> running;
  const auto offer = [&](const std::string& aCustomer) {
    Offer next = OfferOf(++ticket, aCustomer, now);
    next.admitBy = next.deadline = now + 1h;
    for (uint64_t admitted : Admitted(queue.Step(next, now))) {
      running.push_back(admitted);
    }
    if (aCustomer == "large") {
      large.insert(ticket);
    }
  };
  for (int i = 0; i < 10; ++i) {
    offer("large");
    offer("small");
  }
  Duration largeTime{};
  Duration smallTime{};
  for (int i = 0; i < 400; ++i) {
    ASSERT_EQ(running.size(), 1u);
    const uint64_t done = std::exchange(running, {})[0];
    const bool isLarge = large.contains(done);
    const Duration took = isLarge ? 100ms : 10ms;
    (isLarge ? largeTime : smallTime) += took;
    now += took;
    running =
      Admitted(queue.Step(Finished{ { done }, Ending::Succeeded, took }, now));
    offer(isLarge ? "large" : "small");
  }
  EXPECT_LT(largeTime, 3 * smallTime);
}

/// Ten wait and each takes 100 ms; the caller's deadline is in 300 ms. It is
/// told at once and when to come back, not when its deadline is over.
TEST(FairQueue, RefusesAtOnceWhatCannotFinishInTime)
{
  FairQueue queue({ .slots = 1, .serviceTime = 100ms });
  for (uint64_t ticket = 1; ticket <= 10; ++ticket) {
    queue.Step(OfferOf(ticket, "one"), kStart);
  }
  Offer late = OfferOf(11, "one");
  late.deadline = kStart + 300ms;
  const auto effects = queue.Step(late, kStart);
  ASSERT_EQ(effects.size(), 1u);
  const auto& refuse = std::get<Refuse>(effects[0]);
  EXPECT_EQ(refuse.code, Code::Overloaded);
  EXPECT_GE(refuse.retryAfter, 900ms);
}

/// One request took a minute on a frozen upstream, which then went on. The next
/// caller, with 10 s to go, is still let through: with nothing running the
/// estimate could not improve, and the upstream would stay shut out for good.
TEST(FairQueue, LongEstimateDoesNotShutAnIdleUpstreamOut)
{
  FairQueue queue({ .slots = 1, .serviceTime = 60s });
  EXPECT_EQ(Admitted(queue.Step(OfferOf(1, "one"), kStart)).size(), 1u);
}

/// The upstream froze a second ago with both slots taken. A caller that comes
/// now is refused at once: with nothing coming back, its second in the queue
/// would only be lost before the same answer.
TEST(FairQueue, RefusesAtOnceWhileNothingComesBack)
{
  FairQueue queue({ .slots = 2 });
  queue.Step(OfferOf(1, "one"), kStart);
  queue.Step(OfferOf(2, "two"), kStart);
  EXPECT_TRUE(queue.Step(OfferOf(3, "one"), kStart + 10ms).empty());
  const Instant later = kStart + 2100ms;
  const auto effects = queue.Step(OfferOf(4, "two", later), later);
  ASSERT_FALSE(effects.empty());
  EXPECT_EQ(std::get<Refuse>(effects[0]).ticket.value, 4u);
}

/// The upstream sheds and asks for 200 ms. Callers that can wait are queued;
/// nothing reaches the upstream before, and the first goes out when it is over.
TEST(FairQueue, HonoursRetryAfterOfTheUpstream)
{
  FairQueue queue({ .slots = 2 });
  queue.Step(OfferOf(1, "one"), kStart);
  queue.Step(Finished{ { 1 }, Ending::Shed, 1ms, 200ms }, kStart);
  EXPECT_TRUE(Admitted(queue.Step(OfferOf(2, "one"), kStart)).empty());
  EXPECT_EQ(queue.NextTick(), kStart + 200ms);
  EXPECT_TRUE(Admitted(queue.Step(Tick{}, kStart + 199ms)).empty());
  EXPECT_EQ(Admitted(queue.Step(Tick{}, kStart + 200ms)).size(), 1u);
}

/// A customer limited to 10 starts a second sends 100 in one second. Those
/// beyond are refused at once with the time until the next may start.
TEST(FairQueue, KeepsTheRateLimit)
{
  FairQueue queue({ .slots = 1000 });
  size_t admitted = 0;
  for (uint64_t i = 0; i < 100; ++i) {
    const Instant now = kStart + i * 10ms;
    Offer offer = OfferOf(i, "limited", now);
    offer.share.ratePerSecond = 10;
    const auto effects = queue.Step(offer, now);
    admitted += Admitted(effects).size();
    if (const auto* refuse = std::get_if<Refuse>(&effects.at(0))) {
      EXPECT_EQ(refuse->code, Code::LimitExceeded);
      EXPECT_LE(refuse->retryAfter, 100ms);
    }
  }
  EXPECT_GE(admitted, 10u);
  EXPECT_LE(admitted, 11u);
}

/// Any order of events: each offer is admitted, refused or leaves, once; never
/// more run than there are slots, and no customer beyond its own limit; in the
/// end nothing is left behind.
TEST(FairQueue, AnswersEachOfferOnceAndKeepsWithinSlots)
{
  const auto property = [] {
    Random random(*rc::gen::arbitrary<uint32_t>());
    const auto draw = [&](uint64_t aBelow) { return random() % aBelow; };
    uint32_t slots = 1 + draw(4);
    FairQueue queue({ .slots = slots, .maxQueuedEach = 5 });
    Instant now = kStart;
    std::set<uint64_t> waiting;
    std::map<uint64_t, std::string> running;
    const auto step = [&](const Event& aEvent) {
      for (const Effect& effect : queue.Step(aEvent, now)) {
        const auto ticket = std::visit(
          [](const auto& aOne) { return aOne.ticket.value; }, effect);
        RC_ASSERT(waiting.erase(ticket) == 1u);
        if (std::holds_alternative<Admit>(effect)) {
          running[ticket] = "c" + std::to_string(ticket % 4);
          RC_ASSERT(running.size() <= slots);
        }
      }
      uint32_t ofThree = 0;
      for (const auto& [ticket, customer] : running) {
        ofThree += customer == "c3" ? 1 : 0;
      }
      RC_ASSERT(ofThree <= 1u);
      RC_ASSERT(queue.Queued() == waiting.size());
      RC_ASSERT(queue.Running() == running.size());
    };
    const auto any = [&](const auto& aFrom) {
      return std::next(aFrom.begin(), static_cast<long>(draw(aFrom.size())));
    };
    for (uint64_t ticket = 0; ticket < 300; ++ticket) {
      now += draw(20) * 1ms;
      const uint64_t kind = draw(10);
      if (kind < 5) {
        Offer offer = OfferOf(ticket, "c" + std::to_string(ticket % 4), now);
        offer.share.maxConcurrent = ticket % 4 == 3 ? 1 : 0;
        offer.deadline = now + draw(500) * 1ms;
        waiting.insert(ticket);
        step(offer);
      } else if (kind < 8 && !running.empty()) {
        const auto one = any(running);
        const Ticket done{ one->first };
        running.erase(one);
        step(Finished{ done, static_cast<Ending>(draw(4)), draw(99) * 1ms });
      } else if (kind == 8 && !waiting.empty()) {
        const auto one = any(waiting);
        const Ticket left{ *one };
        waiting.erase(one);
        step(Left{ left });
      } else {
        step(Tick{});
      }
    }
    while (!running.empty()) {
      const Ticket done{ running.begin()->first };
      running.erase(running.begin());
      now += 1s;
      step(Finished{ done, Ending::Succeeded, 10ms });
    }
    RC_ASSERT(waiting.empty());
  };
  EXPECT_TRUE(rc::check("answers once, within slots", property));
}

} // namespace
} // namespace rattandyke::admission
