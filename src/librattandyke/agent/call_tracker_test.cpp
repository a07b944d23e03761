#include <gtest/gtest.h>

#include "agent/call_tracker.h"

namespace rattandyke::agent {
namespace {

using namespace std::chrono_literals;

class CallTrackerTest : public testing::Test
{
protected:
  CallTracker::Effects Start(Duration aTimeout = 1s)
  {
    wire::CallRequest request;
    request.set_id(1);
    return Step(CallStarted{ request, aTimeout });
  }

  CallTracker::Effects Reply(Code aCode, const std::string& aLeader = "")
  {
    wire::CallReply reply;
    reply.set_id(1);
    reply.set_code(static_cast<uint32_t>(aCode));
    reply.set_leader(aLeader);
    return Step(CallReplied{ reply });
  }

  CallTracker::Effects Step(const CallEvent& aEvent)
  {
    return mTracker.Step(aEvent, mLeader, mNow);
  }

  Instant mNow{ 1h };
  std::optional<HostName> mLeader = HostName{ "c1" };
  CallTracker mTracker{ { { "c1" }, { "c2" }, { "c3" } }, 150ms };
};

const SendCall&
Sent(const CallTracker::Effects& aEffects)
{
  return std::get<SendCall>(aEffects.at(0));
}

const CallFinished&
Finished(const CallTracker::Effects& aEffects)
{
  return std::get<CallFinished>(aEffects.at(0));
}

TEST_F(CallTrackerTest, AnswerEndsTheCallOnce)
{
  EXPECT_EQ(Sent(Start()).to, HostName{ "c1" });
  EXPECT_TRUE(Finished(Reply(Code::Ok)).result);
  EXPECT_TRUE(Reply(Code::Ok).empty());
  EXPECT_FALSE(mTracker.NextTimer());
}

// The call, or its answer, is lost. The same call with the same id is sent
// again, so that the leader can tell a repeat from a new call.
TEST_F(CallTrackerTest, LostCallIsRepeatedWithItsId)
{
  Start();
  mNow += 150ms;
  EXPECT_EQ(Sent(Step(CallTimer{})).request.id(), 1U);
}

// The leader changed. The old one names the new one, which is asked at once; a
// second hint in the same round waits, since hosts in an election may name each
// other without end.
TEST_F(CallTrackerTest, FollowsOneHintAtOnce)
{
  Start();
  EXPECT_EQ(Sent(Reply(Code::NotLeader, "c3")).to, HostName{ "c3" });
  EXPECT_TRUE(Reply(Code::NotLeader, "c1").empty());
  mNow += 150ms;
  mLeader.reset();
  EXPECT_EQ(Step(CallTimer{}).size(), 1U);
}

TEST_F(CallTrackerTest, DroppedProposalIsRepeated)
{
  Start();
  EXPECT_TRUE(Reply(Code::ProposalDropped).empty());
  mNow += 150ms;
  EXPECT_EQ(Step(CallTimer{}).size(), 1U);
}

TEST_F(CallTrackerTest, RefusalIsAnError)
{
  Start();
  const auto effects = Reply(Code::RevisionConflict);
  EXPECT_EQ(Finished(effects).result.error().code, Code::RevisionConflict);
}

// No majority is left. The caller is told that the outcome is open, never that
// the call did not take effect.
TEST_F(CallTrackerTest, SilenceEndsInNoQuorum)
{
  Start(200ms);
  mNow += 200ms;
  const auto effects = Step(CallTimer{});
  EXPECT_EQ(Finished(effects).result.error().code, Code::NoQuorum);
}

} // namespace
} // namespace rattandyke::agent
