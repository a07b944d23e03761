#include "entry/rate_notice.h"

#include <algorithm>

namespace rattandyke::entry {

namespace {

using std::chrono::microseconds;

/// Older notices count as this old.
constexpr microseconds kMaxAge = std::chrono::hours(24);

} // namespace

wire::RateNotice
ToWire(const RateNotice& aNotice, Instant aNow)
{
  const auto age =
    std::chrono::duration_cast<microseconds>(aNow - aNotice.toldAt);
  wire::RateNotice message;
  message.set_limited(aNotice.requestsPerSecond.has_value());
  message.set_requests_per_second(aNotice.requestsPerSecond.value_or(0));
  message.set_age_us(std::clamp(age, microseconds{ 0 }, kMaxAge).count());
  return message;
}

RateNotice
FromWire(const wire::RateNotice& aMessage, Instant aNow)
{
  const auto age = microseconds(static_cast<int64_t>(std::min<uint64_t>(
    aMessage.age_us(), static_cast<uint64_t>(kMaxAge.count()))));
  return { aMessage.limited() ? std::optional(aMessage.requests_per_second())
                              : std::nullopt,
           aNow - age };
}

} // namespace rattandyke::entry
