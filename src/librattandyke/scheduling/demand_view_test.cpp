#include "scheduling/demand_view.h"

#include <gtest/gtest.h>

namespace rattandyke::scheduling {
namespace {

using std::chrono::milliseconds;

const Instant kStart{ std::chrono::seconds{ 100 } };

DemandDigest
DigestOf(uint64_t aTerm, uint64_t aSequence, double aDemand)
{
  return { aTerm,
           aSequence,
           milliseconds{ 0 },
           { { "owner", aDemand, 24 } },
           { { "search", 0.4, 0.01 } } };
}

TEST(DemandView, ListsTheEntriesOfTheNewestDigest)
{
  DemandView view;
  EXPECT_FALSE(view.IsFresh(kStart));
  EXPECT_FALSE(view.OwnerOf("owner"));
  view.Apply(DigestOf(1, 1, 490), kStart);
  EXPECT_EQ(view.OwnerOf("owner"), (OwnerDemand{ "owner", 490, 24 }));
  EXPECT_EQ(view.ServiceOf("search"), (ServiceDemand{ "search", 0.4, 0.01 }));
  view.Apply({ 1, 2, {}, {}, {} }, kStart);
  EXPECT_TRUE(view.IsFresh(kStart));
  EXPECT_FALSE(view.OwnerOf("owner"));
  EXPECT_FALSE(view.ServiceOf("search"));
}

// Guards against a digest that a slow host forwards late, or that a deposed
// leader still sends, replacing a newer one.
TEST(DemandView, IgnoresDigestsThatAreNotNewer)
{
  DemandView view;
  view.Apply(DigestOf(5, 10, 30), kStart);
  view.Apply(DigestOf(4, 99, 1), kStart);
  view.Apply(DigestOf(5, 10, 2), kStart);
  view.Apply(DigestOf(5, 9, 3), kStart);
  EXPECT_EQ(view.OwnerOf("owner")->demand, 30);
  view.Apply(DigestOf(6, 1, 40), kStart);
  EXPECT_EQ(view.OwnerOf("owner")->demand, 40);
}

// Guards against decisions by old demand while the leader is down.
TEST(DemandView, DigestIsValidForOneSecondFromItsCreation)
{
  DemandView view;
  DemandDigest digest = DigestOf(1, 1, 30);
  digest.age = milliseconds{ 400 };
  view.Apply(digest, kStart);
  EXPECT_EQ(view.Age(kStart), Duration(milliseconds{ 400 }));
  EXPECT_TRUE(view.IsFresh(kStart + milliseconds{ 599 }));
  EXPECT_FALSE(view.IsFresh(kStart + milliseconds{ 600 }));
  // The same digest by another way does not become valid again.
  view.Apply(DigestOf(1, 1, 30), kStart + milliseconds{ 700 });
  EXPECT_FALSE(view.IsFresh(kStart + milliseconds{ 700 }));
}

} // namespace
} // namespace rattandyke::scheduling
