#include "gateway/owner_index.h"

#include <algorithm>

namespace rattandyke::gateway {

void
OwnerIndex::Update(const RangeTable& aRanges)
{
  if (mVersion == aRanges.Version()) {
    return;
  }
  const auto changes =
    mVersion ? aRanges.ChangesSince(*mVersion) : std::nullopt;
  mVersion = aRanges.Version();
  if (!changes) {
    Reread(aRanges, { 0, kMaxKey });
    return;
  }
  for (const KeySpan& keys : *changes) {
    Reread(aRanges, keys);
  }
}

const OwnerIndex::FirstKeys&
OwnerIndex::OwnedBy(const std::string& aOwner) const
{
  static const FirstKeys sNone;
  const auto found = mOwnedBy.find(aOwner);
  return found == mOwnedBy.end() ? sNone : found->second;
}

/// Reads all segments that overlap the keys or are adjacent to them: a change
/// may have merged the segments on both sides.
void
OwnerIndex::Reread(const RangeTable& aRanges, KeySpan aKeys)
{
  const uint32_t from = aKeys.from == 0 ? 0 : aKeys.from - 1;
  const uint32_t to = std::min(aKeys.to + 1, kMaxKey);
  auto at = mSegments.upper_bound(from);
  if (at != mSegments.begin()) {
    --at;
  }
  KeySpan reread{ from, to };
  while (at != mSegments.end() && at->first <= reread.to) {
    reread.from = std::min(reread.from, at->first);
    reread.to = std::max(reread.to, at->second.to);
    at = Remove(at);
  }
  for (uint32_t key = reread.from; key <= reread.to;) {
    const wire::RangeSegment& segment = aRanges.Find(key);
    // The segment may extend beyond the range that is read again. A later
    // change covers the rest.
    const auto existing = mSegments.find(segment.from());
    if (existing != mSegments.end()) {
      Remove(existing);
    }
    Add(segment);
    key = segment.to() + 1;
  }
}

void
OwnerIndex::Add(const wire::RangeSegment& aSegment)
{
  ++mSegmentsRead;
  mSegments[aSegment.from()] = { aSegment.to(),
                                 aSegment.holder(),
                                 aSegment.held_back() };
  if (aSegment.holder().empty()) {
    mFree.insert(aSegment.from());
  } else {
    mOwnedBy[aSegment.holder()].insert(aSegment.from());
  }
  if (aSegment.held_back()) {
    mRevoked.insert(aSegment.from());
  }
}

OwnerIndex::Segments::iterator
OwnerIndex::Remove(Segments::iterator aAt)
{
  const auto& [from, existing] = *aAt;
  mFree.erase(from);
  mRevoked.erase(from);
  const auto owned = mOwnedBy.find(existing.owner);
  if (owned != mOwnedBy.end()) {
    owned->second.erase(from);
    if (owned->second.empty()) {
      mOwnedBy.erase(owned);
    }
  }
  return mSegments.erase(aAt);
}

} // namespace rattandyke::gateway
