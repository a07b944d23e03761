#include <future>

#include <gtest/gtest.h>

#include "http/session.h"
#include "testing/entry_fixture.h"
#include "testing/fake_upstream.h"
#include "testing/test_caller.h"

namespace rattandyke::http {
namespace {

using rattandyke::testing::AnswerText;
using rattandyke::testing::EchoIdentity;
using rattandyke::testing::EntryFixture;
using rattandyke::testing::FakeUpstream;
using rattandyke::testing::RequestText;
using rattandyke::testing::TestCaller;
using rattandyke::testing::UpstreamSide;

TEST(Shutdown, TheHealthPageFollowsTheLease)
{
  EntryFixture entry;
  TestCaller balancer(entry.Address());
  EXPECT_EQ(balancer.Ask("GET", kHealthPath)->result_int(), 200U);
  entry.Host().SetLease(false);
  EXPECT_EQ(balancer.Ask("GET", kHealthPath)->result_int(), 503U);
  entry.Host().SetLease(true);
  EXPECT_EQ(balancer.Ask("GET", kHealthPath)->result_int(), 200U);
}

// The entry is told to shut down while one request runs, one connection is
// idle and one is new. The health page turns first; the running request gets
// its whole answer with the word that the connection ends; the idle connection
// is closed; and only then the shutdown is done.
TEST(Shutdown, NothingInFlightIsCutOff)
{
  std::promise<void> arrived;
  std::promise<void> mayAnswer;
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    aSide.Read();
    arrived.set_value();
    mayAnswer.get_future().wait();
    aSide.Write(AnswerText("whole"));
  });
  EntryFixture entry({}, std::chrono::milliseconds{ 300 });
  entry.Host().SetOwner(upstream.Address());
  TestCaller idle(entry.Address());
  EXPECT_EQ(idle.Ask("GET", "/nowhere/k")->result_int(), 404U);
  TestCaller running(entry.Address());
  running.Write(RequestText("POST", "/board/k1", "x"));
  arrived.get_future().wait();

  std::promise<void> drained;
  entry.Service().Drain([&] { drained.set_value(); });
  TestCaller balancer(entry.Address());
  EXPECT_EQ(balancer.Ask("GET", kHealthPath)->result_int(), 503U);
  EXPECT_TRUE(idle.SeesClose());
  mayAnswer.set_value();
  const auto answer = running.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body(), "whole");
  EXPECT_EQ((*answer)["Connection"], "close");
  EXPECT_TRUE(running.SeesClose());
  drained.get_future().wait();
  EXPECT_EQ(entry.Service().Connections(), 0U);
  EXPECT_THROW(TestCaller{ entry.Address() }, boost::system::system_error);
}

bool
Accepts(const Endpoint& aEntry)
{
  try {
    TestCaller caller(aEntry);
    return true;
  } catch (const boost::system::system_error&) {
    return false;
  }
}

// The shutdown begins while an answer is on its way whose head promised that
// the connection stays open. The caller sends its next request at once after
// the answer: it is answered too, with the word that the connection ends.
TEST(Shutdown, APromisedNextRequestIsServed)
{
  std::promise<void> mayFinish;
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    aSide.Read();
    const std::string answer = AnswerText("first answer");
    aSide.Write(answer.substr(0, answer.size() - 6));
    mayFinish.get_future().wait();
    aSide.Write(answer.substr(answer.size() - 6));
    EchoIdentity(aSide);
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  caller.Write(RequestText("GET", "/board/k1"));
  caller.AwaitReadable();
  std::promise<void> drained;
  entry.Service().Drain([&] { drained.set_value(); });
  while (Accepts(entry.Address())) {
    std::this_thread::yield();
  }
  mayFinish.set_value();
  const auto first = caller.Read();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->body(), "first answer");
  EXPECT_EQ(first->count("Connection"), 0U);
  const auto second = caller.Ask("GET", "/board/k2");
  ASSERT_TRUE(second);
  EXPECT_EQ(second->body(), "GET /board/k2 ");
  EXPECT_EQ((*second)["Connection"], "close");
  drained.get_future().wait();
}

// A request still runs when the time for a shutdown is over: it is broken off,
// so that the process can end.
TEST(Shutdown, ATimeIsSetToIt)
{
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    aSide.Read();
    aSide.AwaitClose();
  });
  EntryFixture entry(
    {}, std::chrono::milliseconds{ 0 }, std::chrono::milliseconds{ 50 });
  entry.Host().SetOwner(upstream.Address());
  TestCaller running(entry.Address());
  running.Write(RequestText("POST", "/board/k1", "x"));
  std::promise<void> drained;
  entry.Service().Drain([&] { drained.set_value(); });
  drained.get_future().wait();
  EXPECT_FALSE(running.Read());
}

TEST(Shutdown, ATakenPortIsANumberedError)
{
  EntryFixture entry;
  boost::asio::io_context context;
  SystemClock clock;
  EntryService second(context.get_executor(),
                      { entry.Address(), {}, {}, {} },
                      std::make_unique<rattandyke::testing::FakeEntryHost>(),
                      clock,
                      1);
  const auto started = second.Start();
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error().code, Code::AddressInUse);
}

} // namespace
} // namespace rattandyke::http
