#include "gateway/owner_index.h"

#include <algorithm>

namespace rattandyke::gateway {

void
HolderIndex::Follow(const RangeTable& aRanges)
{
  if (mVersion == aRanges.Version()) {
    return;
  }
  const auto changes =
    mVersion ? aRanges.ChangesSince(*mVersion) : std::nullopt;
  mVersion = aRanges.Version();
  if (!changes) {
    Read(aRanges, { 0, kMaxKey });
    return;
  }
  for (const KeySpan& keys : *changes) {
    Read(aRanges, keys);
  }
}

const HolderIndex::FirstKeys&
HolderIndex::HeldBy(const std::string& aHolder) const
{
  static const FirstKeys sNone;
  const auto found = mHeldBy.find(aHolder);
  return found == mHeldBy.end() ? sNone : found->second;
}

/// Reads all segments that overlap the keys or lie next to them: a change may
/// have joined the segments on both sides.
void
HolderIndex::Read(const RangeTable& aRanges, KeySpan aKeys)
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
    // It may reach beyond what was known here: a later change tells the rest.
    const auto known = mSegments.find(segment.from());
    if (known != mSegments.end()) {
      Remove(known);
    }
    Add(segment);
    key = segment.to() + 1;
  }
}

void
HolderIndex::Add(const wire::RangeSegment& aSegment)
{
  ++mSegmentsRead;
  mSegments[aSegment.from()] = { aSegment.to(),
                                 aSegment.holder(),
                                 aSegment.held_back() };
  if (aSegment.holder().empty()) {
    mFree.insert(aSegment.from());
  } else {
    mHeldBy[aSegment.holder()].insert(aSegment.from());
  }
  if (aSegment.held_back()) {
    mHeldBack.insert(aSegment.from());
  }
}

HolderIndex::Segments::iterator
HolderIndex::Remove(Segments::iterator aAt)
{
  const auto& [from, known] = *aAt;
  mFree.erase(from);
  mHeldBack.erase(from);
  const auto held = mHeldBy.find(known.holder);
  if (held != mHeldBy.end()) {
    held->second.erase(from);
    if (held->second.empty()) {
      mHeldBy.erase(held);
    }
  }
  return mSegments.erase(aAt);
}

} // namespace rattandyke::gateway
