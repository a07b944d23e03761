#include "gateway/range_table.h"

#include <algorithm>

namespace rattandyke::gateway {

namespace {

/// An OwnerIndex is updated more often than once in this many changes.
constexpr size_t kMaxRecordedChanges = 256;

bool
CanMerge(const wire::RangeSegment& aOne, const wire::RangeSegment& aOther)
{
  if (aOne.holder() != aOther.holder()) {
    return false;
  }
  if (aOne.holder().empty()) {
    return aOne.handover() == aOther.handover();
  }
  return aOne.fence() == aOther.fence() &&
         aOne.held_back() == aOther.held_back() &&
         aOne.handover() == aOther.handover();
}

bool
IsValid(const wire::KeyRange& aRange)
{
  return aRange.from() <= aRange.to() && aRange.to() <= kMaxKey;
}

} // namespace

RangeTable::RangeTable()
{
  wire::RangeSegment all;
  all.set_to(kMaxKey);
  mSegments.push_back(std::move(all));
}

size_t
RangeTable::IndexOf(uint32_t aKey) const
{
  const auto found = std::partition_point(
    mSegments.begin(), mSegments.end(), [&](const auto& aSegment) {
      return aSegment.to() < aKey;
    });
  return static_cast<size_t>(found - mSegments.begin());
}

const wire::RangeSegment&
RangeTable::Find(uint32_t aKey) const
{
  return mSegments[IndexOf(aKey)];
}

bool
RangeTable::WasNeverGranted() const
{
  return mSegments.size() == 1 && mSegments.front().fence() == 0;
}

void
RangeTable::SplitBefore(uint32_t aKey)
{
  if (aKey == 0 || aKey > kMaxKey) {
    return;
  }
  const size_t index = IndexOf(aKey);
  if (mSegments[index].from() == aKey) {
    return;
  }
  wire::RangeSegment upper = mSegments[index];
  upper.set_from(aKey);
  mSegments[index].set_to(aKey - 1);
  mSegments.insert(mSegments.begin() + static_cast<ptrdiff_t>(index) + 1,
                   std::move(upper));
}

void
RangeTable::MergeAround(const wire::KeyRange& aRange)
{
  const size_t first = IndexOf(aRange.from() == 0 ? 0 : aRange.from() - 1);
  const size_t last = IndexOf(std::min(aRange.to() + 1, kMaxKey));
  size_t kept = first;
  for (size_t at = first + 1; at <= last; ++at) {
    wire::RangeSegment& segment = mSegments[at];
    wire::RangeSegment& before = mSegments[kept];
    if (CanMerge(before, segment)) {
      before.set_to(segment.to());
      before.set_fence(std::max(before.fence(), segment.fence()));
      before.set_sequence(std::max(before.sequence(), segment.sequence()));
    } else if (++kept != at) {
      mSegments[kept] = std::move(segment);
    }
  }
  const auto begin = mSegments.begin();
  mSegments.erase(begin + static_cast<ptrdiff_t>(kept) + 1,
                  begin + static_cast<ptrdiff_t>(last) + 1);
  ++mVersion;
  mChanges.push_back({ aRange.from(), aRange.to() });
  if (mChanges.size() > kMaxRecordedChanges) {
    mChanges.pop_front();
  }
}

std::optional<std::vector<KeySpan>>
RangeTable::ChangesSince(uint64_t aVersion) const
{
  if (aVersion > mVersion || mVersion - aVersion > mChanges.size()) {
    return std::nullopt;
  }
  const auto first =
    mChanges.end() - static_cast<ptrdiff_t>(mVersion - aVersion);
  return std::vector<KeySpan>(first, mChanges.end());
}

Result<void>
RangeTable::Grant(const wire::GrantRanges& aGrant, uint64_t aFence)
{
  for (const wire::KeyRange& range : aGrant.ranges()) {
    if (!IsValid(range)) {
      return Fail(Code::InvalidRecord, "The grant has an invalid key range.");
    }
    for (size_t at = IndexOf(range.from());
         at < mSegments.size() && mSegments[at].from() <= range.to();
         ++at) {
      if (!mSegments[at].holder().empty()) {
        return Fail(Code::RevisionConflict, "A key of the grant has an owner.");
      }
    }
  }
  for (const wire::KeyRange& range : aGrant.ranges()) {
    SplitBefore(range.from());
    SplitBefore(range.to() + 1);
    for (size_t at = IndexOf(range.from());
         at < mSegments.size() && mSegments[at].from() <= range.to();
         ++at) {
      mSegments[at].set_holder(aGrant.holder());
      mSegments[at].set_fence(aFence);
      mSegments[at].set_sequence(aGrant.sequence());
    }
    MergeAround(range);
  }
  return {};
}

/// Applies a change to the segments of a range that one instance owns.
template<typename Change>
void
RangeTable::UpdateOwned(const wire::KeyRange& aRange,
                        const std::string& aOwner,
                        Change aChange)
{
  if (!IsValid(aRange)) {
    return;
  }
  SplitBefore(aRange.from());
  SplitBefore(aRange.to() + 1);
  for (size_t at = IndexOf(aRange.from());
       at < mSegments.size() && mSegments[at].from() <= aRange.to();
       ++at) {
    if (mSegments[at].holder() == aOwner) {
      aChange(mSegments[at]);
    }
  }
  MergeAround(aRange);
}

void
RangeTable::Revoke(const wire::HoldBackRanges& aCommand)
{
  for (const wire::KeyRange& range : aCommand.ranges()) {
    UpdateOwned(range, aCommand.holder(), [](wire::RangeSegment& aSegment) {
      aSegment.set_held_back(true);
    });
  }
}

void
RangeTable::Free(const wire::FreeRanges& aFree)
{
  for (const wire::KeyRange& range : aFree.ranges()) {
    UpdateOwned(range, aFree.holder(), [&](wire::RangeSegment& aSegment) {
      aSegment.clear_holder();
      aSegment.clear_held_back();
      aSegment.set_handover(range.handover());
    });
  }
}

void
RangeTable::FreeAllOf(const std::string& aOwner)
{
  wire::FreeRanges free;
  free.set_holder(aOwner);
  for (const wire::RangeSegment& segment : mSegments) {
    if (segment.holder() == aOwner) {
      wire::KeyRange* range = free.add_ranges();
      range->set_from(segment.from());
      range->set_to(segment.to());
    }
  }
  Free(free);
}

void
RangeTable::Save(wire::ServiceRanges& aRanges) const
{
  for (const wire::RangeSegment& segment : mSegments) {
    *aRanges.add_segments() = segment;
  }
}

void
RangeTable::Load(const wire::ServiceRanges& aRanges)
{
  mSegments.assign(aRanges.segments().begin(), aRanges.segments().end());
  if (mSegments.empty()) {
    *this = RangeTable();
  }
}

} // namespace rattandyke::gateway
