#include "gateway/range_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::gateway {
namespace {

wire::GrantRanges
MakeGrant(const std::string& aOwner, uint32_t aFrom, uint32_t aTo)
{
  wire::GrantRanges grant;
  grant.set_holder(aOwner);
  wire::KeyRange* range = grant.add_ranges();
  range->set_from(aFrom);
  range->set_to(aTo);
  return grant;
}

wire::FreeRanges
MakeFree(const std::string& aOwner,
         uint32_t aFrom,
         uint32_t aTo,
         const std::string& aHandover = "")
{
  wire::FreeRanges free;
  free.set_holder(aOwner);
  wire::KeyRange* range = free.add_ranges();
  range->set_from(aFrom);
  range->set_to(aTo);
  range->set_handover(aHandover);
  return free;
}

wire::HoldBackRanges
MakeRevoke(const std::string& aOwner, uint32_t aFrom, uint32_t aTo)
{
  wire::HoldBackRanges revoke;
  revoke.set_holder(aOwner);
  wire::KeyRange* range = revoke.add_ranges();
  range->set_from(aFrom);
  range->set_to(aTo);
  return revoke;
}

TEST(RangeTable, GrantFailsIfAKeyHasAnOwner)
{
  RangeTable ranges;
  ASSERT_TRUE(ranges.Grant(MakeGrant("a", 0, 99), 5));
  EXPECT_FALSE(ranges.Grant(MakeGrant("b", 99, 200), 6));
  EXPECT_EQ(ranges.Find(100).holder(), "");
  EXPECT_TRUE(ranges.Grant(MakeGrant("b", 100, 200), 7));
  EXPECT_EQ(ranges.Find(99).fence(), 5U);
  EXPECT_EQ(ranges.Find(100).fence(), 7U);
}

TEST(RangeTable, FreeChangesOnlyKeysOfTheOwner)
{
  RangeTable ranges;
  ASSERT_TRUE(ranges.Grant(MakeGrant("a", 0, 99), 5));
  ASSERT_TRUE(ranges.Grant(MakeGrant("b", 100, 199), 6));
  ranges.Free(MakeFree("a", 50, 150, "h"));
  EXPECT_EQ(ranges.Find(49).holder(), "a");
  EXPECT_EQ(ranges.Find(50).holder(), "");
  EXPECT_EQ(ranges.Find(50).handover(), "h");
  EXPECT_EQ(ranges.Find(100).holder(), "b");
}

// An overloaded owner must release a part of its keys, and its answers leave
// out the marked keys. If segments that differ only in the mark were merged,
// the mark would be lost: the keys would stay, and entry hosts would delay
// their requests needlessly.
TEST(RangeTable, RevokedMarkSurvivesMerging)
{
  RangeTable ranges;
  ASSERT_TRUE(ranges.Grant(MakeGrant("a", 0, 99), 5));
  ranges.Revoke(MakeRevoke("a", 40, 59));
  EXPECT_FALSE(ranges.Find(39).held_back());
  EXPECT_TRUE(ranges.Find(40).held_back());
  EXPECT_TRUE(ranges.Find(59).held_back());
  EXPECT_FALSE(ranges.Find(60).held_back());
  ranges.Free(MakeFree("a", 40, 59, "h"));
  EXPECT_FALSE(ranges.Find(50).held_back());
  ASSERT_TRUE(ranges.Grant(MakeGrant("b", 40, 59), 8));
  EXPECT_FALSE(ranges.Find(50).held_back());
  EXPECT_EQ(ranges.Find(50).handover(), "h");
}

TEST(RangeTable, RevokeChangesOnlyKeysOfTheOwner)
{
  RangeTable ranges;
  ASSERT_TRUE(ranges.Grant(MakeGrant("a", 0, 99), 5));
  ranges.Revoke(MakeRevoke("b", 0, 99));
  EXPECT_FALSE(ranges.Find(0).held_back());
}

// After any sequence of grants, revocations and releases the segments cover
// each key exactly once, and the fence of a key never falls.
RC_GTEST_PROP(RangeTable, SegmentsPartitionTheKeys, ())
{
  RangeTable ranges;
  uint64_t fence = 0;
  std::map<uint32_t, uint64_t> fences;
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const uint32_t from = *rc::gen::inRange<uint32_t>(0, kKeyCount);
    const uint32_t to =
      std::min(kMaxKey, from + *rc::gen::inRange<uint32_t>(0, 9000));
    const std::string owner(1, *rc::gen::elementOf(std::string("abc")));
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        static_cast<void>(ranges.Grant(MakeGrant(owner, from, to), ++fence));
        break;
      case 1:
        ranges.Free(MakeFree(owner, from, to, "h"));
        break;
      default:
        ranges.Revoke(MakeRevoke(owner, from, to));
        break;
    }
    uint32_t next = 0;
    for (const wire::RangeSegment& segment : ranges.Segments()) {
      RC_ASSERT(segment.from() == next);
      RC_ASSERT(segment.to() >= segment.from());
      next = segment.to() + 1;
    }
    RC_ASSERT(next == kKeyCount);
    for (uint32_t key = 0; key < kKeyCount; key += 4096) {
      RC_ASSERT(ranges.Find(key).fence() >= fences[key]);
      fences[key] = ranges.Find(key).fence();
    }
  }
}

// Equal adjacent segments are merged by every change. Thousands of unmerged
// segments would make every change and every snapshot more expensive.
RC_GTEST_PROP(RangeTable, AdjacentSegmentsAreNeverEqual, ())
{
  RangeTable table;
  uint64_t fence = 0;
  const auto steps =
    *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 10000));
  for (const int step : steps) {
    const uint32_t from = static_cast<uint32_t>(step / 10 * 65);
    const uint32_t to = std::min(from + 400U, kMaxKey);
    const std::string owner = step % 2 == 0 ? "a" : "b";
    switch (step % 5) {
      case 0:
      case 1:
        static_cast<void>(table.Grant(MakeGrant(owner, from, to), ++fence));
        break;
      case 2:
        table.Revoke(MakeRevoke(owner, from, to));
        break;
      default:
        table.Free(MakeFree(owner, from, to));
        break;
    }
    const auto& segments = table.Segments();
    for (size_t at = 1; at < segments.size(); ++at) {
      const auto& left = segments[at - 1];
      const auto& right = segments[at];
      RC_ASSERT(left.to() + 1 == right.from());
      const bool bothFree = left.holder().empty() && right.holder().empty();
      const bool sameGrant = left.holder() == right.holder() &&
                             left.fence() == right.fence() &&
                             left.held_back() == right.held_back();
      RC_ASSERT(!bothFree && !sameGrant);
    }
  }
}

} // namespace
} // namespace rattandyke::gateway
