#include "gateway/owner_index.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "gateway/key_spans.h"

namespace rattandyke::gateway {
namespace {

/// Compares an index with a pass over all segments.
void
ExpectLike(const HolderIndex& aIndex, const RangeTable& aRanges)
{
  HolderIndex::FirstKeys free;
  HolderIndex::FirstKeys heldBack;
  std::map<std::string, HolderIndex::FirstKeys> held;
  for (const wire::RangeSegment& segment : aRanges.Segments()) {
    if (segment.holder().empty()) {
      free.insert(segment.from());
    } else {
      held[segment.holder()].insert(segment.from());
    }
    if (segment.held_back()) {
      heldBack.insert(segment.from());
    }
  }
  RC_ASSERT(aIndex.Free() == free);
  RC_ASSERT(aIndex.HeldBack() == heldBack);
  for (const std::string holder : { "a", "b", "c" }) {
    RC_ASSERT(aIndex.HeldBy(holder) == held[holder]);
  }
}

template<typename Command>
Command
OfKeys(const std::string& aHolder, KeySpan aKeys)
{
  Command command;
  command.set_holder(aHolder);
  wire::KeyRange* range = command.add_ranges();
  range->set_from(aKeys.from);
  range->set_to(aKeys.to);
  return command;
}

void
ChangeAtRandom(RangeTable& aRanges, uint64_t aFence)
{
  const auto holder = *rc::gen::element<std::string>("a", "b", "c");
  const auto from = *rc::gen::inRange<uint32_t>(0, 64);
  const auto to = *rc::gen::inRange<uint32_t>(from, 64);
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      static_cast<void>(
        aRanges.Grant(OfKeys<wire::GrantRanges>(holder, { from, to }), aFence));
      return;
    case 1:
      aRanges.Revoke(OfKeys<wire::HoldBackRanges>(holder, { from, to }));
      return;
    case 2:
      aRanges.Free(OfKeys<wire::FreeRanges>(holder, { from, to }));
      return;
    default:
      aRanges.FreeAllOf(holder);
  }
}

// Guards against an index that misses a change, so that an upstream's keys are
// not renewed or a free key is granted to nobody.
RC_GTEST_PROP(HolderIndex, FollowsAnyChanges, ())
{
  RangeTable ranges;
  HolderIndex index;
  const auto changes = *rc::gen::inRange(1, 40);
  for (int change = 1; change <= changes; ++change) {
    ChangeAtRandom(ranges, static_cast<uint64_t>(change));
    if (*rc::gen::inRange(0, 3) == 0) {
      index.Follow(ranges);
      ExpectLike(index, ranges);
    }
  }
  index.Follow(ranges);
  ExpectLike(index, ranges);
}

// Guards against a cost of each change that grows with the number of holders.
TEST(HolderIndex, ReadsOnlyWhatHasChanged)
{
  for (const uint32_t holders : { 100U, 1000U, 10000U }) {
    RangeTable ranges;
    HolderIndex index;
    uint64_t fence = 0;
    const uint32_t width = kKeyCount / holders;
    for (uint32_t at = 0; at < holders; ++at) {
      const KeySpan keys{ at * width, (at + 1) * width - 1 };
      ASSERT_TRUE(ranges.Grant(
        OfKeys<wire::GrantRanges>(std::to_string(at), keys), ++fence));
      index.Follow(ranges);
    }
    EXPECT_LE(index.SegmentsRead(), 4 * holders);
    EXPECT_EQ(index.HeldBy("7").size(), 1U);
  }
}

// Guards against a follower that is further behind than the table remembers.
TEST(HolderIndex, ReadsAllOnceChangesAreForgotten)
{
  RangeTable ranges;
  HolderIndex index;
  index.Follow(ranges);
  for (uint32_t at = 0; at < 1000; ++at) {
    ASSERT_TRUE(ranges.Grant(
      OfKeys<wire::GrantRanges>(std::to_string(at), { at, at }), at + 1));
  }
  index.Follow(ranges);
  EXPECT_EQ(index.HeldBy("0"), HolderIndex::FirstKeys{ 0 });
  EXPECT_EQ(index.HeldBy("999"), HolderIndex::FirstKeys{ 999 });
  EXPECT_EQ(index.Free(), HolderIndex::FirstKeys{ 1000 });
}

} // namespace
} // namespace rattandyke::gateway
