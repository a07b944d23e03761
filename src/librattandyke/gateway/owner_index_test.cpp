#include "gateway/owner_index.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "gateway/key_spans.h"

namespace rattandyke::gateway {
namespace {

/// Compares an index with a pass over all segments of the table.
void
ExpectMatchesTable(const OwnerIndex& aIndex, const RangeTable& aRanges)
{
  OwnerIndex::FirstKeys free;
  OwnerIndex::FirstKeys revoked;
  std::map<std::string, OwnerIndex::FirstKeys> owned;
  for (const wire::RangeSegment& segment : aRanges.Segments()) {
    if (segment.holder().empty()) {
      free.insert(segment.from());
    } else {
      owned[segment.holder()].insert(segment.from());
    }
    if (segment.held_back()) {
      revoked.insert(segment.from());
    }
  }
  RC_ASSERT(aIndex.Free() == free);
  RC_ASSERT(aIndex.Revoked() == revoked);
  for (const std::string owner : { "a", "b", "c" }) {
    RC_ASSERT(aIndex.OwnedBy(owner) == owned[owner]);
  }
}

template<typename Command>
Command
CommandFor(const std::string& aOwner, KeySpan aKeys)
{
  Command command;
  command.set_holder(aOwner);
  wire::KeyRange* range = command.add_ranges();
  range->set_from(aKeys.from);
  range->set_to(aKeys.to);
  return command;
}

void
ChangeAtRandom(RangeTable& aRanges, uint64_t aFence)
{
  const auto owner = *rc::gen::element<std::string>("a", "b", "c");
  const auto from = *rc::gen::inRange<uint32_t>(0, 64);
  const auto to = *rc::gen::inRange<uint32_t>(from, 64);
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      static_cast<void>(aRanges.Grant(
        CommandFor<wire::GrantRanges>(owner, { from, to }), aFence));
      return;
    case 1:
      aRanges.Revoke(CommandFor<wire::HoldBackRanges>(owner, { from, to }));
      return;
    case 2:
      aRanges.Free(CommandFor<wire::FreeRanges>(owner, { from, to }));
      return;
    default:
      aRanges.FreeAllOf(owner);
  }
}

// Guards against an index that misses a change: an upstream's keys would not be
// renewed, or a free key would never be granted.
RC_GTEST_PROP(OwnerIndex, MatchesTableAfterAnyChanges, ())
{
  RangeTable ranges;
  OwnerIndex index;
  const auto changes = *rc::gen::inRange(1, 40);
  for (int change = 1; change <= changes; ++change) {
    ChangeAtRandom(ranges, static_cast<uint64_t>(change));
    if (*rc::gen::inRange(0, 3) == 0) {
      index.Update(ranges);
      ExpectMatchesTable(index, ranges);
    }
  }
  index.Update(ranges);
  ExpectMatchesTable(index, ranges);
}

// Guards against an update cost that grows with the number of owners.
TEST(OwnerIndex, UpdateReadsOnlyChangedSegments)
{
  for (const uint32_t owners : { 100U, 1000U, 10000U }) {
    RangeTable ranges;
    OwnerIndex index;
    uint64_t fence = 0;
    const uint32_t width = kKeyCount / owners;
    for (uint32_t at = 0; at < owners; ++at) {
      const KeySpan keys{ at * width, (at + 1) * width - 1 };
      ASSERT_TRUE(ranges.Grant(
        CommandFor<wire::GrantRanges>(std::to_string(at), keys), ++fence));
      index.Update(ranges);
    }
    EXPECT_LE(index.SegmentsRead(), 4 * owners);
    EXPECT_EQ(index.OwnedBy("7").size(), 1U);
  }
}

// Guards against an incomplete update when the table has dropped some of the
// changes since the last one.
TEST(OwnerIndex, UpdateReadsWholeTableIfChangesAreDropped)
{
  RangeTable ranges;
  OwnerIndex index;
  index.Update(ranges);
  for (uint32_t at = 0; at < 1000; ++at) {
    ASSERT_TRUE(ranges.Grant(
      CommandFor<wire::GrantRanges>(std::to_string(at), { at, at }), at + 1));
  }
  index.Update(ranges);
  EXPECT_EQ(index.OwnedBy("0"), OwnerIndex::FirstKeys{ 0 });
  EXPECT_EQ(index.OwnedBy("999"), OwnerIndex::FirstKeys{ 999 });
  EXPECT_EQ(index.Free(), OwnerIndex::FirstKeys{ 1000 });
}

} // namespace
} // namespace rattandyke::gateway
