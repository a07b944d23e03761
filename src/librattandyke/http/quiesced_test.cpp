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

/// @return whether the host is quiesced at a newer table while a request runs.
bool
IsQuiescedDuringRequest(bool aChecksFences)
{
  std::promise<void> arrived;
  std::promise<void> mayAnswer;
  FakeUpstream upstream([&](UpstreamSide& aSide) {
    aSide.Read();
    arrived.set_value();
    mayAnswer.get_future().wait();
    aSide.Write(AnswerText("done"));
  });
  EntryFixture entry;
  entry.Host().SetOwner(upstream.Address(), 4, aChecksFences);
  TestCaller caller(entry.Address());
  caller.Write(RequestText("GET", "/board/k1", ""));
  arrived.get_future().wait();
  const TableVersion newer{ entry.Host().Table()->Version().value + 1 };
  entry.Host().InFlight().Publish(newer);
  const bool quiesced = entry.Host().InFlight().Quiesced() == newer;
  mayAnswer.set_value();
  EXPECT_TRUE(caller.Read());
  return quiesced;
}

// A key moves away from an upstream that does not check fences while a request
// runs there. Were the host to call itself quiesced, the next owner would begin
// beside it.
TEST(Quiesced, NotWhileAnUncheckingUpstreamRuns)
{
  EXPECT_FALSE(IsQuiescedDuringRequest(false));
}

// A long request runs at an upstream that checks fences. It must not hold up
// moves of other upstreams' keys for as long as it takes.
TEST(Quiesced, WhileACheckingUpstreamRuns)
{
  EXPECT_TRUE(IsQuiescedDuringRequest(true));
}

} // namespace
} // namespace rattandyke::http
