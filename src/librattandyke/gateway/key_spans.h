/// Arithmetic with spans of keys.
#pragma once

#include <optional>
#include <vector>

#include "gateway/range_table.h"

namespace rattandyke::gateway {

/// @return the keys that both have.
std::optional<KeySpan> Intersect(KeySpan aOne, KeySpan aOther);

KeySpan SpanOf(const wire::RangeSegment& aSegment);

/// @return what is left of a span without others.
std::vector<KeySpan> Subtract(KeySpan aSpan,
                              const std::vector<KeySpan>& aTaken);

} // namespace rattandyke::gateway
