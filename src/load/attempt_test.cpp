#include "load/attempt.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "testing/fake_upstream.h"
#include "upstream/answer_body.h"

namespace rattandyke::load {
namespace {

struct JudgeTest : ::testing::Test
{
  ServiceLoad service{ ServiceName{ "board" }, "/board" };
  CustomerLoad customer{ CustomerName{ "desk" } };
  Plan plan;

  JudgeTest()
  {
    plan.id = "run-0-1";
    plan.service = &service;
    plan.customer = &customer;
    plan.key = "key-3";
  }

  AttemptResult JudgeAnswer(const std::string& aRequest,
                            size_t aBytesCut,
                            const char* aOutcome = "ran")
  {
    http::response<http::string_body> response;
    response.body() = upstream::MakeAnswerBody(
      { aRequest, "board", "key-3", "desk", 7, "board-1" }, 50);
    response.body().erase(response.body().size() - aBytesCut);
    response.set("Rattandyke-Outcome", aOutcome);
    Attempt attempt;
    Judge(response, plan, false, attempt);
    return attempt.result;
  }
};

TEST_F(JudgeTest, WholeAnswerToThisRequest)
{
  EXPECT_EQ(JudgeAnswer("run-0-1", 0), AttemptResult::Answered);
}

// A caller gets the answer of another caller: HTTP finds nothing wrong with
// it. Only the identity in the body gives it away.
TEST_F(JudgeTest, AnotherRequestsAnswerIsCrossed)
{
  EXPECT_EQ(JudgeAnswer("run-0-2", 0), AttemptResult::Crossed);
}

// The upstream died in the middle and a shortened answer was passed on with a
// length that fits it: HTTP takes it for whole.
TEST_F(JudgeTest, ShortenedAnswerIsTruncatedAsWhole)
{
  EXPECT_EQ(JudgeAnswer("run-0-1", 1), AttemptResult::TruncatedAsWhole);
}

// An answer that does not say what became of the request promises nothing.
TEST_F(JudgeTest, AnswerWithoutOutcomeIsUnknown)
{
  EXPECT_EQ(JudgeAnswer("run-0-1", 0, ""), AttemptResult::Unknown);
  EXPECT_EQ(JudgeAnswer("run-0-1", 0, "not-run"), AttemptResult::NotRun);
}

// Guards against a part of an answer that is judged as a whole one: nothing but
// the end of its connection tells where it ends.
TEST_F(JudgeTest, AnswerThatOnlyTheConnectionEndsIsTruncatedAsWhole)
{
  testing::FakeUpstream entry([this](testing::UpstreamSide& aSide) {
    aSide.Read();
    aSide.Write("HTTP/1.1 200 OK\r\nRattandyke-Outcome: ran\r\n\r\n" +
                upstream::MakeAnswerBody(
                  { plan.id, "board", "key-3", "desk", 7, "board-1" }, 50));
  });
  asio::io_context context;
  Connections connections(context.get_executor(), { entry.Address() });
  Attempt attempt;
  asio::co_spawn(
    context,
    SendOnce(connections, plan, 0, 0, std::chrono::seconds{ 5 }, false),
    [&](const std::exception_ptr&, Attempt aAttempt) {
      attempt = std::move(aAttempt);
    });
  context.run();
  EXPECT_EQ(attempt.result, AttemptResult::TruncatedAsWhole);
}

} // namespace
} // namespace rattandyke::load
