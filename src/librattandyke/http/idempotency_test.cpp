#include <future>

#include <gtest/gtest.h>

#include "testing/entry_fixture.h"
#include "testing/fake_upstream.h"
#include "testing/test_caller.h"

namespace rattandyke::http {
namespace {

using rattandyke::testing::AnswerText;
using rattandyke::testing::EntryFixture;
using rattandyke::testing::FakeUpstream;
using rattandyke::testing::RequestText;
using rattandyke::testing::TestCaller;
using rattandyke::testing::UpstreamSide;

constexpr std::string_view kKey = "Idempotency-Key: order-17\r\n";

/// Answers with how often it was asked.
FakeUpstream::Handler
CountInto(std::atomic<int>& aCount)
{
  return [&aCount](UpstreamSide& aSide) {
    while (aSide.Read()) {
      aSide.Write(
        AnswerText("run " + std::to_string(++aCount), "X-Order: 17\r\n"));
    }
  };
}

// A caller resends its order, for want of the first answer. The order runs
// once, and the resend gets the first answer with its headers; the same key
// for another order is refused.
TEST(Idempotency, AResendGetsTheFirstAnswer)
{
  std::atomic<int> runs{ 0 };
  FakeUpstream upstream(CountInto(runs));
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  for (int send = 0; send < 2; ++send) {
    TestCaller caller(entry.Address());
    const auto answer = caller.Ask("POST", "/board/k1", "12 trucks", kKey);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body(), "run 1");
    EXPECT_EQ((*answer)["X-Order"], "17");
    EXPECT_EQ((*answer)["Rattandyke-Outcome"], "ran");
  }
  TestCaller caller(entry.Address());
  const auto other = caller.Ask("POST", "/board/k1", "13 trucks", kKey);
  ASSERT_TRUE(other);
  EXPECT_EQ(other->result_int(), 422U);
  EXPECT_EQ(runs, 1);
}

// The caller goes away while its order runs. The order is not cancelled, since
// a resend has a right to its answer, and gets it without a second run.
TEST(Idempotency, AnOrderOutlivesItsCaller)
{
  std::promise<void> arrived;
  std::promise<void> mayAnswer;
  std::atomic<int> runs{ 0 };
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    while (aSide.Read()) {
      ++runs;
      arrived.set_value();
      mayAnswer.get_future().wait();
      aSide.Write(AnswerText("the first run"));
    }
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller gone(entry.Address());
  gone.Write(RequestText("POST", "/board/k1", "12 trucks", kKey));
  arrived.get_future().wait();
  gone.Close();
  TestCaller resending(entry.Address());
  resending.Write(RequestText("POST", "/board/k1", "12 trucks", kKey));
  mayAnswer.set_value();
  const auto answer = resending.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body(), "the first run");
  EXPECT_EQ(runs, 1);
}

// An answer too large to be kept: the resend is told that the order ran.
TEST(Idempotency, ALargeAnswerIsNotKept)
{
  std::atomic<int> runs{ 0 };
  const std::string large(100'000, 'x');
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    while (aSide.Read()) {
      ++runs;
      aSide.Write(AnswerText(large));
    }
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  const auto first = caller.Ask("POST", "/board/k1", "12 trucks", kKey);
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->body() == large);
  const auto resent = caller.Ask("POST", "/board/k1", "12 trucks", kKey);
  ASSERT_TRUE(resent);
  EXPECT_EQ(resent->result_int(), 409U);
  EXPECT_EQ((*resent)["Rattandyke-Outcome"], "ran");
  EXPECT_EQ(runs, 1);
}

// No key has an owner while its slot moves. The request waits, goes to the new
// owner as soon as the table names one, and never to the old.
TEST(Idempotency, ARequestWaitsOutAMove)
{
  std::atomic<int> oldRuns{ 0 };
  std::atomic<int> newRuns{ 0 };
  FakeUpstream oldOwner(CountInto(oldRuns));
  FakeUpstream newOwner(CountInto(newRuns));
  EntryFixture entry;
  entry.Host().SetOwner(oldOwner.Address());
  entry.Host().Release();
  TestCaller caller(entry.Address());
  caller.Write(RequestText("POST", "/board/k1", "x"));
  entry.Host().SetOwner(newOwner.Address());
  const auto answer = caller.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body(), "run 1");
  EXPECT_EQ(oldRuns, 0);
  EXPECT_EQ(newRuns, 1);
}

} // namespace
} // namespace rattandyke::http
