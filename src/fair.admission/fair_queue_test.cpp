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
MakeOffer(uint64_t aTicket, std::string aCustomer, Instant aNow = kStart)
{
  return { { aTicket }, { std::move(aCustomer) }, {}, aNow + 1s, aNow + 10s,
           false };
}

std::vector<uint64_t>
AdmittedTickets(const std::vector<Effect>& aEffects)
{
  std::vector<uint64_t> tickets;
  for (const Effect& effect : aEffects) {
    if (const auto* admit = std::get_if<Admit>(&effect)) {
      tickets.push_back(admit->ticket.value);
    }
  }
  return tickets;
}

/// Failure: a customer with 50 requests queued delays another customer's single
/// request. That request must be one of the next two admitted.
TEST(FairQueue, LargeBacklogDoesNotDelayAnotherCustomer)
{
  FairQueue queue({ .slots = 1 });
  for (uint64_t ticket = 1; ticket <= 50; ++ticket) {
    queue.Step(MakeOffer(ticket, "large"), kStart);
  }
  queue.Step(MakeOffer(1000, "small"), kStart);
  const auto first = AdmittedTickets(
    queue.Step(Finished{ { 1 }, Ending::Succeeded, 10ms }, kStart));
  ASSERT_EQ(first.size(), 1u);
  const auto second = AdmittedTickets(
    queue.Step(Finished{ { first[0] }, Ending::Succeeded, 10ms }, kStart));
  EXPECT_TRUE(first[0] == 1000 || second == std::vector<uint64_t>{ 1000 });
}

/// Failure: long requests take slots away from short ones. Requests of customer
/// "large" take 100 ms, those of "small" 10 ms. Equal numbers of requests would
/// give "large" ten times the slot time; charged by slot time, it gets less
/// than three times as much.
TEST(FairQueue, ChargesSlotTimeNotRequestCount)
{
  FairQueue queue({ .slots = 1, .maxQueueTime = 1h });
  Instant now = kStart;
  std::set<uint64_t> large;
  uint64_t ticket = 0;
  std::vector<uint64_t> running;
  const auto offer = [&](const std::string& aCustomer) {
    Offer next = MakeOffer(++ticket, aCustomer, now);
    next.admitBy = next.deadline = now + 1h;
    for (uint64_t admitted : AdmittedTickets(queue.Step(next, now))) {
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
  Duration largeSlotTime{};
  Duration smallSlotTime{};
  for (int i = 0; i < 400; ++i) {
    ASSERT_EQ(running.size(), 1u);
    const uint64_t done = std::exchange(running, {})[0];
    const bool isLarge = large.contains(done);
    const Duration serviceTime = isLarge ? 100ms : 10ms;
    (isLarge ? largeSlotTime : smallSlotTime) += serviceTime;
    now += serviceTime;
    running = AdmittedTickets(
      queue.Step(Finished{ { done }, Ending::Succeeded, serviceTime }, now));
    offer(isLarge ? "large" : "small");
  }
  EXPECT_LT(largeSlotTime, 3 * smallSlotTime);
}

/// Failure: a request waits until its deadline before it is refused. Ten
/// requests of 100 ms each are ahead of a request whose deadline is in 300 ms;
/// it must be refused on arrival, with a retry delay.
TEST(FairQueue, RefusesOnArrivalIfDeadlineCannotBeMet)
{
  FairQueue queue({ .slots = 1, .serviceTime = 100ms });
  for (uint64_t ticket = 1; ticket <= 10; ++ticket) {
    queue.Step(MakeOffer(ticket, "one"), kStart);
  }
  Offer offer = MakeOffer(11, "one");
  offer.deadline = kStart + 300ms;
  const auto effects = queue.Step(offer, kStart);
  ASSERT_EQ(effects.size(), 1u);
  const auto& refuse = std::get<Refuse>(effects[0]);
  EXPECT_EQ(refuse.code, Code::Overloaded);
  EXPECT_GE(refuse.retryAfter, 900ms);
}

/// Failure: an upstream never gets requests again after a freeze. The estimated
/// service time is 60 s and nothing runs. A request with a deadline in 10 s
/// must be admitted, because only successful requests can lower the estimate.
TEST(FairQueue, AdmitsToIdleUpstreamDespiteLongEstimate)
{
  FairQueue queue({ .slots = 1, .serviceTime = 60s });
  EXPECT_EQ(AdmittedTickets(queue.Step(MakeOffer(1, "one"), kStart)).size(),
            1u);
}

/// Failure: requests for a frozen upstream wait for the whole maxQueueTime
/// before they are refused. Both slots have been busy for 2.1 s without a
/// completion, so a new request must be refused on arrival.
TEST(FairQueue, RefusesOnArrivalWhileUpstreamIsStalled)
{
  FairQueue queue({ .slots = 2 });
  queue.Step(MakeOffer(1, "one"), kStart);
  queue.Step(MakeOffer(2, "two"), kStart);
  EXPECT_TRUE(queue.Step(MakeOffer(3, "one"), kStart + 10ms).empty());
  const Instant later = kStart + 2100ms;
  const auto effects = queue.Step(MakeOffer(4, "two", later), later);
  ASSERT_FALSE(effects.empty());
  EXPECT_EQ(std::get<Refuse>(effects[0]).ticket.value, 4u);
}

/// The upstream sheds a request with a Retry-After of 200 ms. Later requests
/// are queued; none is admitted before the 200 ms are over, and the first one
/// is admitted then.
TEST(FairQueue, PausesForRetryAfterOfTheUpstream)
{
  FairQueue queue({ .slots = 2 });
  queue.Step(MakeOffer(1, "one"), kStart);
  queue.Step(Finished{ { 1 }, Ending::Shed, 1ms, 200ms }, kStart);
  EXPECT_TRUE(AdmittedTickets(queue.Step(MakeOffer(2, "one"), kStart)).empty());
  EXPECT_EQ(queue.NextTick(), kStart + 200ms);
  EXPECT_TRUE(AdmittedTickets(queue.Step(Tick{}, kStart + 199ms)).empty());
  EXPECT_EQ(AdmittedTickets(queue.Step(Tick{}, kStart + 200ms)).size(), 1u);
}

/// A customer with a limit of 10 requests per second sends 100 in one second.
/// Requests above the limit are refused on arrival, with the time until the
/// next one may start.
TEST(FairQueue, EnforcesRateLimit)
{
  FairQueue queue({ .slots = 1000 });
  size_t admitted = 0;
  for (uint64_t i = 0; i < 100; ++i) {
    const Instant now = kStart + i * 10ms;
    Offer offer = MakeOffer(i, "limited", now);
    offer.share.ratePerSecond = 10;
    const auto effects = queue.Step(offer, now);
    admitted += AdmittedTickets(effects).size();
    if (const auto* refuse = std::get_if<Refuse>(&effects.at(0))) {
      EXPECT_EQ(refuse->code, Code::LimitExceeded);
      EXPECT_LE(refuse->retryAfter, 100ms);
    }
  }
  EXPECT_GE(admitted, 10u);
  EXPECT_LE(admitted, 11u);
}

/// An upstream that limits its request rate must get its requests at that rate,
/// by the queue's own ticks, and callers beyond it must know at once.
TEST(FairQueue, KeepsTheRateLimitOfTheUpstream)
{
  FairQueue queue({ .slots = 4 });
  queue.Step(RateLimit{ 2 }, kStart);
  EXPECT_TRUE(AdmittedTickets(queue.Step(MakeOffer(1, "one"), kStart)).empty());
  EXPECT_TRUE(queue.Step(MakeOffer(2, "one"), kStart).empty());
  const auto refused = queue.Step(MakeOffer(3, "one"), kStart);
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<Refuse>(refused.front()));
  const auto next = queue.NextTick();
  ASSERT_TRUE(next);
  EXPECT_GE(*next, kStart + 500ms);
  EXPECT_LE(*next, kStart + 510ms);
  EXPECT_EQ(AdmittedTickets(queue.Step(Tick{}, *next)).size(), 1u);
  queue.Step(RateLimit{}, *next);
  EXPECT_EQ(
    AdmittedTickets(queue.Step(MakeOffer(4, "two", *next), *next)).size(), 1u);
}

/// Property, for random sequences of events: each offer is admitted, refused or
/// withdrawn exactly once; running requests never exceed the slots or a
/// customer's maxConcurrent; at the end no request is still queued.
TEST(FairQueue, AnswersEachOfferOnceWithinLimits)
{
  const auto property = [] {
    Random random(*rc::gen::arbitrary<uint32_t>());
    const auto randomBelow = [&](uint64_t aBelow) { return random() % aBelow; };
    uint32_t slots = 1 + randomBelow(4);
    FairQueue queue({ .slots = slots, .maxQueuedEach = 5 });
    Instant now = kStart;
    std::set<uint64_t> waiting;
    std::map<uint64_t, std::string> running;
    const auto step = [&](const Event& aEvent) {
      for (const Effect& effect : queue.Step(aEvent, now)) {
        const auto ticket = std::visit(
          [](const auto& aAlternative) { return aAlternative.ticket.value; },
          effect);
        RC_ASSERT(waiting.erase(ticket) == 1u);
        if (std::holds_alternative<Admit>(effect)) {
          running[ticket] = "c" + std::to_string(ticket % 4);
          RC_ASSERT(running.size() <= slots);
        }
      }
      uint32_t runningOfC3 = 0;
      for (const auto& [ticket, customer] : running) {
        runningOfC3 += customer == "c3" ? 1 : 0;
      }
      RC_ASSERT(runningOfC3 <= 1u);
      RC_ASSERT(queue.Queued() == waiting.size());
      RC_ASSERT(queue.Running() == running.size());
    };
    const auto pickRandom = [&](const auto& aContainer) {
      return std::next(aContainer.begin(),
                       static_cast<long>(randomBelow(aContainer.size())));
    };
    for (uint64_t ticket = 0; ticket < 300; ++ticket) {
      now += randomBelow(20) * 1ms;
      const uint64_t action = randomBelow(10);
      if (action < 5) {
        Offer offer = MakeOffer(ticket, "c" + std::to_string(ticket % 4), now);
        offer.share.maxConcurrent = ticket % 4 == 3 ? 1 : 0;
        offer.deadline = now + randomBelow(500) * 1ms;
        waiting.insert(ticket);
        step(offer);
      } else if (action < 8 && !running.empty()) {
        const auto picked = pickRandom(running);
        const Ticket done{ picked->first };
        running.erase(picked);
        step(Finished{
          done, static_cast<Ending>(randomBelow(4)), randomBelow(99) * 1ms });
      } else if (action == 8 && !waiting.empty()) {
        const auto picked = pickRandom(waiting);
        const Ticket cancelled{ *picked };
        waiting.erase(picked);
        step(Left{ cancelled });
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
