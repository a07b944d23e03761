#include "scheduling/link_meter.h"

#include <gtest/gtest.h>

namespace rattandyke::scheduling {
namespace {

using std::chrono::seconds;

const Instant kStart{ seconds{ 100 } };

TEST(LinkMeter, CountsPacketHeadersOfEachPacket)
{
  LinkMeter meter(kStart);
  meter.Record(LinkUse::SlotsRequested, LinkDirection::Out, 100);
  meter.Record(LinkUse::Callers, LinkDirection::In, 4000);
  EXPECT_EQ(meter.Total(LinkUse::SlotsRequested, LinkDirection::Out).bytes,
            166U);
  EXPECT_EQ(meter.Total(LinkUse::Callers, LinkDirection::In).bytes,
            4000U + 3 * 66);
}

TEST(LinkMeter, ReportCoversTheTimeSinceTheLastOne)
{
  LinkMeter meter(kStart);
  meter.Record(LinkUse::Feed, LinkDirection::In, 1000);
  EXPECT_EQ(meter.TakeReport(kStart + seconds{ 1 }).Text(),
            "callers=0/0 upstreams=0/0 slots_allocated=0/0 slots_requested=0/0 "
            "feed=1066/0");
  const LinkMeter::Report next = meter.TakeReport(kStart + seconds{ 3 });
  EXPECT_EQ(next.interval, Duration(seconds{ 2 }));
  EXPECT_EQ(next.Of(LinkUse::Feed, LinkDirection::In).bytes, 0U);
}

// Guards against a busy direction that an idle one hides.
TEST(LinkMeter, BusyShareIsThatOfTheBusierDirection)
{
  LinkMeter meter(kStart);
  meter.Record(LinkUse::Upstreams, LinkDirection::Out, 434);
  meter.Record(LinkUse::Callers, LinkDirection::In, 34);
  const LinkMeter::Report report = meter.TakeReport(kStart + seconds{ 1 });
  EXPECT_DOUBLE_EQ(report.BusyShare(1000), 0.5);
  EXPECT_EQ(report.BusyShare(0), 0);
}

} // namespace
} // namespace rattandyke::scheduling
