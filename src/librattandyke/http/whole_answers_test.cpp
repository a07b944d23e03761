#include <future>

#include <gtest/gtest.h>

#include "testing/entry_fixture.h"
#include "testing/fake_upstream.h"
#include "testing/test_caller.h"

namespace rattandyke::http {
namespace {

using rattandyke::testing::AnswerText;
using rattandyke::testing::EchoIdentity;
using rattandyke::testing::EntryFixture;
using rattandyke::testing::FakeUpstream;
using rattandyke::testing::TestCaller;
using rattandyke::testing::UpstreamSide;

TEST(WholeAnswers, GetAndPostReachTheOwnerAndComeBack)
{
  FakeUpstream upstream(EchoIdentity);
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  const auto got = caller.Ask("GET", "/board/k1?x=1");
  ASSERT_TRUE(got);
  EXPECT_EQ(got->body(), "GET /board/k1?x=1 ");
  EXPECT_EQ((*got)["Rattandyke-Outcome"], "ran");
  EXPECT_FALSE((*got)["Rattandyke-Request-Id"].empty());
  const auto posted = caller.Ask("POST", "/board/k1", "twelve trucks");
  ASSERT_TRUE(posted);
  EXPECT_EQ(posted->body(), "POST /board/k1 twelve trucks");
  EXPECT_EQ(upstream.Connections(), 1U) << "the connection is used again";
}

// The upstream's process dies in the middle of an answer. The caller has part
// of it already, so it must see its connection break before the announced
// length; the broken connection is not used for the next request.
TEST(WholeAnswers, AnAnswerThatBreaksOffIsNeverAWholeOne)
{
  const std::vector<std::string> cutAnswers = {
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
  };
  for (const std::string& cut : cutAnswers) {
    FakeUpstream upstream([&](UpstreamSide& aSide) {
      if (aSide.Number() > 0) {
        return EchoIdentity(aSide);
      }
      aSide.Read();
      aSide.Write(cut);
    });
    EntryFixture entry;
    entry.Host().SetOwner(upstream.Address());
    TestCaller caller(entry.Address());
    EXPECT_FALSE(caller.Ask("POST", "/board/k1", "x"));
    TestCaller next(entry.Address());
    const auto got = next.Ask("GET", "/board/k2");
    ASSERT_TRUE(got);
    EXPECT_EQ(got->body(), "GET /board/k2 ");
    EXPECT_EQ(upstream.Connections(), 2U);
  }
}

// The upstream sends more than it announced, or two answers to one request.
// What is whole cannot be known, so the caller is told of a failure, and the
// surplus never becomes the next request's answer.
TEST(WholeAnswers, AnAnswerLongerThanItSaysIsAFailure)
{
  const std::vector<std::string> longAnswers = {
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwhole and more",
    AnswerText("first") + AnswerText("second"),
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nab\r\n0\r\n\r\nsurplus",
  };
  for (const std::string& longAnswer : longAnswers) {
    FakeUpstream upstream([&](UpstreamSide& aSide) {
      if (aSide.Number() > 0) {
        return EchoIdentity(aSide);
      }
      aSide.Read();
      aSide.Write(longAnswer);
      aSide.AwaitClose();
    });
    EntryFixture entry;
    entry.Host().SetOwner(upstream.Address());
    TestCaller caller(entry.Address());
    const auto failed = caller.Ask("POST", "/board/k1", "x");
    ASSERT_TRUE(failed);
    EXPECT_EQ(failed->result_int(), 502U);
    EXPECT_EQ((*failed)["Rattandyke-Outcome"], "unknown");
    const auto got = caller.Ask("GET", "/board/k2");
    ASSERT_TRUE(got);
    EXPECT_EQ(got->body(), "GET /board/k2 ");
  }
}

// The end of such an answer looks just like a process that died.
TEST(WholeAnswers, AnAnswerEndedOnlyByCloseIsAFailure)
{
  FakeUpstream upstream([](UpstreamSide& aSide) {
    aSide.Read();
    aSide.Write("HTTP/1.1 200 OK\r\n\r\nperhaps all of it");
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  const auto failed = caller.Ask("POST", "/board/k1", "x");
  ASSERT_TRUE(failed);
  EXPECT_EQ(failed->result_int(), 502U);
}

// Guards against a part of a body that is taken for the whole answer.
TEST(WholeAnswers, AnAnswerOfUnknownCodingIsAFailure)
{
  for (const std::string coding : { "gzip", "identity", "gzip, chunked", "" }) {
    FakeUpstream upstream([&](UpstreamSide& aSide) {
      aSide.Read();
      aSide.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                  "\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    });
    EntryFixture entry;
    entry.Host().SetOwner(upstream.Address());
    TestCaller caller(entry.Address());
    const auto failed = caller.Ask("POST", "/board/k1", "x");
    ASSERT_TRUE(failed) << coding;
    EXPECT_EQ(failed->result_int(), 502U) << coding;
  }
}

// Guards against an answer that is none and reaches the caller, or is waited
// for until the deadline.
TEST(WholeAnswers, AnAnswerWithABrokenHeadIsAFailureAtOnce)
{
  for (const std::string head : { "000 \r\n",
                                  "099 OK\r\n",
                                  "600 OK\r\n",
                                  "200 OK\r\nX-A: 1\r\n X-B: 2\r\n",
                                  "200 OK\r\nX A: 1\r\n",
                                  "200 OK\r\nX\x01: 1\r\n",
                                  "200 OK\r\nX-A : 1\r\n" }) {
    FakeUpstream upstream([&](UpstreamSide& aSide) {
      aSide.Read();
      aSide.Write("HTTP/1.1 " + head + "Content-Length: 5\r\n\r\nhello");
      aSide.AwaitClose();
    });
    EntryFixture entry;
    entry.Host().SetOwner(upstream.Address());
    TestCaller caller(entry.Address());
    const auto failed =
      caller.Ask("POST", "/board/k1", "x", "Rattandyke-Deadline-Ms: 2000\r\n");
    ASSERT_TRUE(failed) << head;
    EXPECT_EQ(failed->result_int(), 502U) << head;
    EXPECT_EQ((*failed)["Rattandyke-Outcome"], "unknown") << head;
  }
}

// Guards against a part of an answer that its caller takes for the whole: the
// upstream's connection is reset after the first bytes went out.
TEST(WholeAnswers, AnAnswerThatIsResetIsNeverAWholeOne)
{
  for (const std::string head : { "Content-Length: 10\r\n\r\n",
                                  "Transfer-Encoding: chunked\r\n\r\n4\r\n" }) {
    std::promise<void> begun;
    FakeUpstream upstream([&](UpstreamSide& aSide) {
      aSide.Read();
      aSide.Write("HTTP/1.1 200 OK\r\n" + head + "half\r\n");
      begun.get_future().wait();
      aSide.Reset();
    });
    EntryFixture entry;
    entry.Host().SetOwner(upstream.Address());
    TestCaller caller(entry.Address());
    caller.Write(rattandyke::testing::RequestText("POST", "/board/k1", "x"));
    caller.AwaitReadable();
    begun.set_value();
    EXPECT_FALSE(caller.Read()) << head;
  }
}

// Guards against a body whose end can't be read and that is passed on as whole.
TEST(WholeAnswers, ABodyWithABrokenEndIsNeverAWholeOne)
{
  for (const std::string end : { "zz\r\n",
                                 "0\r\nX A: 1\r\n\r\n",
                                 "0\r\nX-A: 1\r\n X-B: 2\r\n\r\n",
                                 "0\r\nX\x01: 1\r\n\r\n" }) {
    FakeUpstream upstream([&](UpstreamSide& aSide) {
      aSide.Read();
      aSide.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "4\r\nhalf\r\n" +
                  end);
      aSide.AwaitClose();
    });
    EntryFixture entry;
    entry.Host().SetOwner(upstream.Address());
    TestCaller caller(entry.Address());
    const auto got = caller.Ask("POST", "/board/k1", "x");
    EXPECT_TRUE(!got || got->result_int() == 502U) << end;
  }
}

// Guards against a part of an answer that its caller takes for the whole: the
// upstream responds to a long upload before it has read it, and is gone.
TEST(WholeAnswers, AnEarlyAnswerEndedOnlyByResetIsAFailure)
{
  FakeUpstream upstream([](UpstreamSide& aSide) {
    aSide.Write("HTTP/1.1 200 OK\r\n\r\nperhaps all of it");
    aSide.Reset();
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  const auto failed =
    caller.Ask("POST", "/board/k1", std::string(6'000'000, 'u'));
  EXPECT_TRUE(!failed || failed->result_int() == 502U);
}

// A request's deadline passes; the upstream answers it later all the same, on
// the same connection. The next request must get its own answer and not the
// late one.
TEST(WholeAnswers, ALateAnswerReachesNobody)
{
  std::promise<void> nextIsAnswered;
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    if (aSide.Number() > 0) {
      return EchoIdentity(aSide);
    }
    aSide.Read();
    nextIsAnswered.get_future().wait();
    aSide.Write(AnswerText("late"));
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  const auto late =
    caller.Ask("POST", "/board/k1", "x", "Rattandyke-Deadline-Ms: 50\r\n");
  ASSERT_TRUE(late);
  EXPECT_EQ(late->result_int(), 504U);
  EXPECT_EQ((*late)["Rattandyke-Outcome"], "unknown");
  const auto got = caller.Ask("GET", "/board/k2");
  nextIsAnswered.set_value();
  ASSERT_TRUE(got);
  EXPECT_EQ(got->body(), "GET /board/k2 ");
}

// The caller closes while its request runs. The upstream sees its connection
// end and can stop working.
TEST(WholeAnswers, ACallerThatGoesCancelsItsRequest)
{
  std::promise<void> arrived;
  std::promise<void> cancelled;
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    aSide.Read();
    arrived.set_value();
    aSide.AwaitClose();
    cancelled.set_value();
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  caller.Write(rattandyke::testing::RequestText("GET", "/board/k1"));
  arrived.get_future().wait();
  caller.Close();
  cancelled.get_future().wait();
}

// The upstream closes an idle connection just as a non-idempotent request is
// on its way. Nobody knows whether it was read, so it is not sent again and
// the caller is told that the outcome is unknown; a GET is sent again.
TEST(WholeAnswers, OnlyIdempotentRequestsAreSentAgain)
{
  std::atomic<int> seen{ 0 };
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    aSide.Read();
    if (++seen % 2 == 1) {
      return aSide.Reset();
    }
    aSide.Write(AnswerText("second try"));
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  const auto got = caller.Ask("GET", "/board/k1");
  ASSERT_TRUE(got);
  EXPECT_EQ(got->body(), "second try");
  EXPECT_EQ(seen, 2);
  const auto posted = caller.Ask("POST", "/board/k1", "x");
  ASSERT_TRUE(posted);
  EXPECT_EQ(posted->result_int(), 502U);
  EXPECT_EQ((*posted)["Rattandyke-Outcome"], "unknown");
  EXPECT_EQ(seen, 3);
}

TEST(WholeAnswers, ADripFedAnswerArrivesWhole)
{
  const std::string answer =
    "HTTP/1.1 100 Continue\r\n\r\n" + AnswerText("slow but whole");
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    aSide.Read();
    for (const char byte : answer) {
      aSide.Write({ &byte, 1 });
    }
    aSide.AwaitClose();
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  const auto got = caller.Ask("GET", "/board/k1");
  ASSERT_TRUE(got);
  EXPECT_EQ(got->body(), "slow but whole");
}

TEST(WholeAnswers, AnswersWithoutBodyKeepTheConnectionInStep)
{
  FakeUpstream upstream([](UpstreamSide& aSide) {
    while (const auto request = aSide.Read()) {
      if (request->method_string() == "HEAD") {
        aSide.Write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
      } else if (request->method_string() == "DELETE") {
        aSide.Write("HTTP/1.1 204 No Content\r\n\r\n");
      } else {
        aSide.Write("HTTP/1.1 304 Not Modified\r\n\r\n");
      }
    }
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  for (int round = 0; round < 2; ++round) {
    const auto head = caller.Ask("HEAD", "/board/k1");
    ASSERT_TRUE(head);
    EXPECT_EQ((*head)["Content-Length"], "99");
    const auto deleted = caller.Ask("DELETE", "/board/k1");
    ASSERT_TRUE(deleted);
    EXPECT_EQ(deleted->result_int(), 204U);
    const auto got = caller.Ask("GET", "/board/k1");
    ASSERT_TRUE(got);
    EXPECT_EQ(got->result_int(), 304U);
  }
  EXPECT_EQ(upstream.Connections(), 1U);
}

std::string
LargeText(size_t aSize)
{
  std::string text;
  while (text.size() < aSize) {
    text += "line " + std::to_string(text.size()) + "\n";
  }
  return text;
}

std::string
AsChunks(const std::string& aText, size_t aChunkSize)
{
  std::string out;
  for (size_t at = 0; at < aText.size(); at += aChunkSize) {
    const std::string chunk = aText.substr(at, aChunkSize);
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
    out.append(size.data()).append(chunk).append("\r\n");
  }
  return out + "0\r\n\r\n";
}

TEST(WholeAnswers, LargeBodiesPassBothWaysInEitherFraming)
{
  const std::string large = LargeText(3'000'000);
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    while (const auto request = aSide.Read()) {
      const bool whole = request->body() == large;
      const bool chunked = request->chunked();
      aSide.Write(!whole ? AnswerText("the body is not what was sent")
                  : chunked
                    ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                        AsChunks(large, 50'000)
                    : AnswerText(large));
    }
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  const auto sized = caller.Ask("POST", "/board/k1", large);
  ASSERT_TRUE(sized);
  EXPECT_TRUE(sized->body() == large) << sized->body().substr(0, 100);
  caller.Write("POST /board/k1 HTTP/1.1\r\nHost: entry\r\n"
               "Transfer-Encoding: chunked\r\n\r\n" +
               AsChunks(large, 7'001));
  const auto chunked = caller.Read();
  ASSERT_TRUE(chunked);
  EXPECT_TRUE(chunked->chunked());
  EXPECT_TRUE(chunked->body() == large) << chunked->body().substr(0, 100);
}

// A caller's large upload breaks off in the middle. The upstream must not take
// what it got for the whole: its connection breaks as well.
TEST(WholeAnswers, AnUploadThatBreaksOffIsNeverAWholeOne)
{
  std::promise<bool> gotWhole;
  FakeUpstream upstream(
    [&](UpstreamSide& aSide) { gotWhole.set_value(aSide.Read().has_value()); });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address());
  TestCaller caller(entry.Address());
  caller.Write("POST /board/k1 HTTP/1.1\r\nHost: entry\r\n"
               "Content-Length: 1000000\r\n\r\n" +
               std::string(500'000, 'x'));
  caller.FinishWriting();
  EXPECT_FALSE(gotWhole.get_future().get());
  EXPECT_FALSE(caller.Read());
}

// Many callers at once, each answer naming its request; half of the upstream's
// connections break in the middle of an answer. No caller may get another's
// answer or part of its own as the whole.
TEST(WholeAnswers, NoAnswerIsCrossedOrCutUnderLoad)
{
  std::atomic<uint64_t> asked{ 0 };
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    while (const auto request = aSide.Read()) {
      const std::string answer = AnswerText(std::string(request->target()));
      const bool breaks = ++asked % 7 == 0;
      aSide.Write(breaks ? answer.substr(0, answer.size() - 1) : answer);
      if (breaks) {
        return;
      }
    }
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address(), 8);
  std::atomic<uint64_t> whole{ 0 };
  std::atomic<uint64_t> broken{ 0 };
  std::atomic<uint64_t> wrong{ 0 };
  constexpr int kThreads = 16;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      auto caller = std::make_unique<TestCaller>(entry.Address());
      for (int count = 0; count < 100; ++count) {
        const std::string target =
          "/board/" + std::to_string(thread) + "x" + std::to_string(count);
        const auto got = caller->Ask("GET", target);
        if (!got) {
          caller = std::make_unique<TestCaller>(entry.Address());
        }
        const bool failed = !got || got->result_int() == 502U;
        ++(failed ? broken : got->body() == target ? whole : wrong);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(wrong, 0U);
  EXPECT_GT(whole, 1000U);
  EXPECT_GT(broken, 0U);
}

} // namespace
} // namespace rattandyke::http
