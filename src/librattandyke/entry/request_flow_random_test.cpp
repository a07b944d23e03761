#include "testing/request_model.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace rattandyke::testing {
namespace {

/// Callers resend bookings through other entries while entries die or stand
/// still, owners move, and calls and answers are lost, late or doubled. Every
/// caller that is still there must hear one final answer in time, "not run"
/// must be true, and nothing may run twice: the register grants a key to one
/// attempt, and an attempt is sent at most once.
TEST(RequestFlowRandom, RunsOnceAndAnswersOnceWhateverHappens)
{
  const auto property = [] {
    RequestModelSettings settings;
    settings.seed = *rc::gen::arbitrary<uint32_t>();
    settings.entries = *rc::gen::inRange(1, 5);
    settings.disturbances = *rc::gen::inRange(0, 8);
    settings.faults = *rc::gen::inRange(0, 40) / 100.0;
    const RequestModelResult result = RunRequestModel(settings);
    RC_ASSERT(result.doubleRuns == 0);
    RC_ASSERT(result.falseNotRun == 0);
    RC_ASSERT(result.falseRan == 0);
    RC_ASSERT(result.surplusAnswers == 0);
    RC_ASSERT(result.unanswered == 0);
    RC_ASSERT(result.leaked == 0);
  };
  EXPECT_TRUE(rc::check("runs once, answers once", property));
}

} // namespace
} // namespace rattandyke::testing
