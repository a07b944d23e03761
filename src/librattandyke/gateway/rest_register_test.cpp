#include "gateway/rest_register.h"

#include <gtest/gtest.h>

#include "gateway/pending_rests.h"

namespace rattandyke::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{ std::chrono::hours{ 1 } };
constexpr WallTime kWall{ std::chrono::hours{ 10000 } };

wire::UpstreamRests
Rests(const std::string& aHost,
      const std::string& aInstance,
      milliseconds aLeft,
      uint64_t aLife = 1)
{
  wire::UpstreamRests rests;
  wire::UpstreamRest* rest = rests.add_rests();
  rest->set_host(aHost);
  rest->set_instance(aInstance);
  rest->set_life(aLife);
  rest->set_left_ms(static_cast<uint32_t>(aLeft.count()));
  return rests;
}

wire::RecordRests
Command(const wire::UpstreamRests& aRests)
{
  wire::RecordRests command;
  *command.mutable_rests() = aRests.rests();
  return command;
}

Duration
LeftOf(const RestRegister& aRegister, const std::string& aHost, Instant aNow)
{
  const wire::UpstreamRests rests = aRegister.RestsOf(aHost, aNow);
  return rests.rests_size() == 0 ? Duration::zero()
                                 : milliseconds{ rests.rests(0).left_ms() };
}

// A rest is between the upstream and one entry host: another one that starts
// must not be kept from the upstream.
TEST(RestRegister, GivesAHostItsOwnRests)
{
  RestRegister rests;
  rests.Record(Command(Rests("a", "i", seconds{ 3 })), {}, kStart);
  EXPECT_EQ(LeftOf(rests, "a", kStart + seconds{ 1 }), Duration(seconds{ 2 }));
  EXPECT_EQ(LeftOf(rests, "b", kStart), Duration::zero());
  EXPECT_EQ(LeftOf(rests, "a", kStart + seconds{ 3 }), Duration::zero());
}

// A control host that starts reads commands of long ago: their rests must not
// begin anew.
TEST(RestRegister, TimeSinceTheCommandIsOver)
{
  RestRegister rests;
  rests.Record(Command(Rests("a", "i", seconds{ 3 })), seconds{ 1 }, kStart);
  rests.Record(Command(Rests("b", "i", seconds{ 3 })), seconds{ 9 }, kStart);
  EXPECT_EQ(LeftOf(rests, "a", kStart), Duration(seconds{ 2 }));
  EXPECT_EQ(LeftOf(rests, "b", kStart), Duration::zero());
  EXPECT_EQ(rests.Size(), 1U);
}

// A host that starts from a snapshot of the state must know the rests whose
// commands the snapshot replaces.
TEST(RestRegister, SnapshotsContainRests)
{
  RestRegister rests;
  rests.Record(Command(Rests("a", "i", seconds{ 5 }, 7)), {}, kStart);
  const wire::RecordRests saved = rests.Save(kStart + seconds{ 1 }, kWall);
  EXPECT_EQ(saved.told_at_ms(), kWall.time_since_epoch().count());
  RestRegister loaded;
  loaded.Record(saved, seconds{ 1 }, kStart);
  const wire::UpstreamRests left = loaded.RestsOf("a", kStart);
  ASSERT_EQ(left.rests_size(), 1);
  EXPECT_EQ(left.rests(0).life(), 7U);
  EXPECT_EQ(left.rests(0).left_ms(), 3000U);
}

// Rests without number must not take the memory of a control host.
TEST(RestRegister, KeepsABoundedNumber)
{
  RestRegister rests;
  for (size_t number = 0; number < RestRegister::kMaxRests + 10; ++number) {
    rests.Record(
      Command(Rests("a", std::to_string(number), seconds{ 3 })), {}, kStart);
  }
  EXPECT_EQ(rests.Size(), RestRegister::kMaxRests);
  rests.RemoveEnded(kStart + seconds{ 3 });
  EXPECT_EQ(rests.Size(), 0U);
  rests.Record(Command(Rests("a", "i", seconds{ 9 })), {}, kStart);
  EXPECT_EQ(rests.Size(), 1U);
}

struct PendingRestsTest : ::testing::Test
{
  RestRegister rests;
  PendingRests pending{ rests };
};

// A leader that is lost before it has committed a rest takes it along.
TEST_F(PendingRestsTest, RestIsSentUntilItIsRecorded)
{
  pending.Add(Rests("a", "i", seconds{ 5 }), kStart);
  EXPECT_EQ(pending.Take(kStart).rests_size(), 1);
  EXPECT_EQ(pending.Take(kStart + milliseconds{ 200 }).rests_size(), 0);
  const wire::UpstreamRests again = pending.Take(kStart + seconds{ 1 });
  ASSERT_EQ(again.rests_size(), 1);
  EXPECT_EQ(again.rests(0).left_ms(), 4000U);
  rests.Record(Command(again), {}, kStart + seconds{ 1 });
  EXPECT_EQ(pending.Take(kStart + seconds{ 3 }).rests_size(), 0);
}

// An entry host reports all its rests to each control host that it connects
// to; the log must not grow by those that it contains.
TEST_F(PendingRestsTest, RecordedRestIsNotSent)
{
  rests.Record(Command(Rests("a", "i", seconds{ 5 })), {}, kStart);
  pending.Add(Rests("a", "i", milliseconds{ 4100 }), kStart + seconds{ 1 });
  EXPECT_EQ(pending.Take(kStart + seconds{ 1 }).rests_size(), 0);
  pending.Add(Rests("a", "i", seconds{ 9 }), kStart + seconds{ 1 });
  EXPECT_EQ(pending.Take(kStart + seconds{ 1 }).rests_size(), 1);
}

// While many upstreams shed, each entry host is asked for rests all the time;
// they must not take the log's capacity.
TEST_F(PendingRestsTest, ProposalsAreLimited)
{
  size_t proposals = 0;
  int most = 0;
  for (Instant now = kStart; now < kStart + seconds{ 1 };
       now += milliseconds{ 1 }) {
    for (int host = 0; host < 10; ++host) {
      const auto instance = std::to_string(now.time_since_epoch().count());
      pending.Add(Rests(std::to_string(host), instance, seconds{ 9 }), now);
    }
    const int size = pending.Take(now).rests_size();
    proposals += size > 0 ? 1 : 0;
    most = std::max(most, size);
  }
  EXPECT_LE(proposals, 10U);
  EXPECT_LE(most, PendingRests::kMaxBatch);
}

} // namespace
} // namespace rattandyke::gateway
