/// Set operations on key spans.
#pragma once

#include <optional>
#include <vector>

#include "gateway/range_table.h"

namespace rattandyke::gateway {

/// @return the intersection of two spans; nothing if they are disjoint.
std::optional<KeySpan> Intersect(KeySpan aOne, KeySpan aOther);

KeySpan SpanOf(const wire::RangeSegment& aSegment);

/// @return the parts of a span that no span in aSubtracted covers, in ascending
/// order.
std::vector<KeySpan> Subtract(KeySpan aSpan,
                              const std::vector<KeySpan>& aSubtracted);

} // namespace rattandyke::gateway
