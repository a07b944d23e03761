#include "gateway/key_spans.h"

#include <algorithm>

namespace rattandyke::gateway {

std::optional<KeySpan>
Intersect(KeySpan aOne, KeySpan aOther)
{
  const KeySpan common{ std::max(aOne.from, aOther.from),
                        std::min(aOne.to, aOther.to) };
  if (common.from > common.to) {
    return std::nullopt;
  }
  return common;
}

KeySpan
SpanOf(const wire::RangeSegment& aSegment)
{
  return { aSegment.from(), aSegment.to() };
}

namespace {

/// @return the parts of a span that another span does not cover.
std::vector<KeySpan>
Subtract(KeySpan aSpan, KeySpan aSubtracted)
{
  std::vector<KeySpan> rest;
  const auto common = Intersect(aSpan, aSubtracted);
  if (!common) {
    return { aSpan };
  }
  if (aSpan.from < common->from) {
    rest.push_back({ aSpan.from, common->from - 1 });
  }
  if (common->to < aSpan.to) {
    rest.push_back({ common->to + 1, aSpan.to });
  }
  return rest;
}

} // namespace

std::vector<KeySpan>
Subtract(KeySpan aSpan, const std::vector<KeySpan>& aSubtracted)
{
  std::vector<KeySpan> rest{ aSpan };
  for (const KeySpan& subtracted : aSubtracted) {
    std::vector<KeySpan> next;
    for (const KeySpan& part : rest) {
      const auto parts = Subtract(part, subtracted);
      next.insert(next.end(), parts.begin(), parts.end());
    }
    rest = std::move(next);
  }
  return rest;
}

} // namespace rattandyke::gateway
