// Choices among upstreams whose average response times may be outdated.
#include "gateway/upstream_set.h"

#include <map>

#include <gtest/gtest.h>

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "desk";
constexpr milliseconds kFast{ 15 };

/// How the host chooses.
enum class Chooser
{
  Home,
  ByLoadReports,
  ByResponseTime,
};

/// One host that chooses upstreams for requests at a steady rate.
class Traffic
{
public:
  Traffic(Chooser aChooser, size_t aUpstreams)
    : mChooser(aChooser)
  {
    wire::GatewayCommand command;
    wire::ServiceItem* service = command.mutable_change_items()->add_services();
    service->set_name(kService);
    service->set_version(1);
    service->set_source(kService);
    static_cast<void>(mState.Apply(command, LogIndex{ 1 }));
    for (size_t number = 0; number < aUpstreams; ++number) {
      AddUpstream(number, kFast);
    }
  }

  void AddUpstream(size_t aNumber, Duration aResponseTime)
  {
    wire::GatewayCommand command;
    wire::UpstreamInstance* instance =
      command.mutable_put_instance()->mutable_instance();
    instance->set_id(IdOf(aNumber));
    instance->set_service(kService);
    instance->set_address("10.0.0.1:80");
    instance->set_slots(2);
    static_cast<void>(mState.Apply(command, LogIndex{ ++mIndex }));
    mSet.Update(mState, mNow);
    mResponseTimes[IdOf(aNumber)] = aResponseTime;
  }

  static std::string IdOf(size_t aNumber)
  {
    return "i-" + std::to_string(aNumber);
  }

  void SetResponseTime(size_t aNumber, Duration aTime)
  {
    mResponseTimes[IdOf(aNumber)] = aTime;
  }

  /// @return the share of the requests that went to an upstream.
  double ShareOf(size_t aNumber, Duration aTime, double aRate)
  {
    std::map<std::string, size_t> counts;
    size_t all = 0;
    const Duration interval = Scaled(Duration(seconds{ 1 }), 1 / aRate);
    for (const Instant end = mNow + aTime; mNow < end; mNow += interval) {
      EndAttempts();
      const auto outcome = Choose();
      if (const auto* choice = std::get_if<UpstreamSet::Choice>(&outcome)) {
        ++counts[choice->instance];
        ++all;
        Send(choice->instance);
      }
    }
    return static_cast<double>(counts[IdOf(aNumber)]) /
           static_cast<double>(std::max<size_t>(all, 1));
  }

private:
  struct Attempt
  {
    std::string instance;
    Duration time{};
    UpstreamSet::AttemptStart start;
  };

  UpstreamSet::Outcome Choose()
  {
    constexpr seconds kMaxResponseTime{ 5 };
    switch (mChooser) {
      case Chooser::Home:
        return mSet.Choose(kService, 0, {}, {}, 1, mNow);
      case Chooser::ByLoadReports:
        return mSet.ChooseDirect(kService, {}, kMaxResponseTime, mNow);
      default:
        return mSet.ChooseByResponseTime(kService, {}, kMaxResponseTime, mNow);
    }
  }

  void Send(const std::string& aInstance)
  {
    const Duration time = mResponseTimes[aInstance];
    mAttempts.emplace(
      mNow + time,
      Attempt{ aInstance, time, mSet.BeginAttempt(aInstance, 1, mNow) });
  }

  void EndAttempts()
  {
    while (!mAttempts.empty() && mAttempts.begin()->first <= mNow) {
      const Attempt& attempt = mAttempts.begin()->second;
      mSet.EndAttempt(attempt.instance,
                      AttemptOutcome::Answered,
                      attempt.time,
                      attempt.start,
                      mNow);
      mAttempts.erase(mAttempts.begin());
    }
  }

  const Chooser mChooser;
  Instant mNow{ std::chrono::hours{ 1 } };
  State mState;
  uint64_t mIndex = 1;
  UpstreamSet mSet{ 1, {} };
  std::map<std::string, Duration> mResponseTimes;
  std::multimap<Instant, Attempt> mAttempts;
};

struct Load
{
  Chooser chooser;
  size_t upstreams;
  /// Requests per second.
  double rate;
};

class OutdatedTest : public ::testing::TestWithParam<Load>
{};

// An upstream responds slowly once, as at its start. The host must not keep all
// further requests from it.
TEST_P(OutdatedTest, UpstreamThatWasSlowOnceGetsItsShareAgain)
{
  const auto [chooser, upstreams, rate] = GetParam();
  Traffic traffic(chooser, upstreams);
  traffic.SetResponseTime(0, seconds{ 1 });
  traffic.ShareOf(0, milliseconds{ 500 }, rate);
  traffic.SetResponseTime(0, kFast);
  traffic.ShareOf(0, seconds{ 5 }, rate);
  EXPECT_GE(traffic.ShareOf(0, seconds{ 20 }, rate),
            0.7 / static_cast<double>(upstreams));
}

// An upstream that is added is faster than the host assumes of one that it
// doesn't know.
TEST_P(OutdatedTest, AddedUpstreamGetsItsShare)
{
  const auto [chooser, upstreams, rate] = GetParam();
  Traffic traffic(chooser, upstreams - 1);
  traffic.ShareOf(0, seconds{ 5 }, rate);
  traffic.AddUpstream(upstreams - 1, kFast);
  traffic.ShareOf(0, seconds{ 5 }, rate);
  EXPECT_GE(traffic.ShareOf(upstreams - 1, seconds{ 20 }, rate),
            0.7 / static_cast<double>(upstreams));
}

// An upstream that is slow all the time must get no more than is needed to
// notice that it is fast again.
TEST_P(OutdatedTest, SlowUpstreamGetsFewRequests)
{
  const auto [chooser, upstreams, rate] = GetParam();
  Traffic traffic(chooser, upstreams);
  traffic.SetResponseTime(0, milliseconds{ 300 });
  traffic.ShareOf(0, seconds{ 5 }, rate);
  EXPECT_LE(traffic.ShareOf(0, seconds{ 60 }, rate), 0.05);
}

// Many upstreams of a service are slow: together they must not get more than a
// few requests each.
TEST(Outdated, ManySlowUpstreamsGetFewRequestsEach)
{
  constexpr size_t kUpstreams = 16;
  Traffic traffic(Chooser::Home, kUpstreams);
  for (size_t number = 0; number < kUpstreams / 2; ++number) {
    traffic.SetResponseTime(number, milliseconds{ 300 });
  }
  traffic.ShareOf(0, seconds{ 5 }, 100);
  EXPECT_LE(traffic.ShareOf(0, seconds{ 60 }, 100), 0.05);
}

INSTANTIATE_TEST_SUITE_P(
  Loads,
  OutdatedTest,
  ::testing::Values(Load{ Chooser::Home, 2, 15 },
                    Load{ Chooser::Home, 2, 45 },
                    Load{ Chooser::Home, 16, 400 },
                    Load{ Chooser::ByLoadReports, 2, 15 },
                    Load{ Chooser::ByLoadReports, 8, 100 },
                    Load{ Chooser::ByResponseTime, 2, 15 },
                    Load{ Chooser::ByResponseTime, 8, 100 }));

} // namespace
} // namespace rattandyke::gateway
