#include "gateway/pending_rests.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Time after which a rest is sent again. Longer than an election takes.
constexpr milliseconds kResendAfter{ 600 };

} // namespace

void
PendingRests::Add(const wire::UpstreamRests& aRests, Instant aNow)
{
  for (const wire::UpstreamRest& rest : aRests.rests()) {
    if (mPending.size() >= kMaxPending || mRegister.Contains(rest, aNow)) {
      continue;
    }
    const Instant until = aNow + milliseconds{ rest.left_ms() };
    Pending& pending = mPending[{ rest.host(), rest.instance() }];
    const bool isNewer = pending.rest.incarnation != rest.life() ||
                         pending.rest.until + Duration(kResendAfter) < until;
    if (isNewer) {
      pending = { { rest.instance(), rest.life(), until }, {} };
    }
  }
}

wire::UpstreamRests
PendingRests::Take(Instant aNow)
{
  wire::UpstreamRests due;
  if (aNow - mTakenAt < Duration(kInterval)) {
    return due;
  }
  for (auto at = mPending.begin(); at != mPending.end();) {
    auto& [key, pending] = *at;
    const bool ended = aNow >= pending.rest.until;
    if (ended ||
        mRegister.Contains(ToMessage(key.host, pending.rest, aNow), aNow)) {
      at = mPending.erase(at);
      continue;
    }
    const bool isDue =
      !pending.sentAt || aNow - *pending.sentAt >= Duration(kResendAfter);
    if (isDue && due.rests_size() < kMaxBatch) {
      pending.sentAt = aNow;
      *due.add_rests() = ToMessage(key.host, pending.rest, aNow);
    }
    ++at;
  }
  if (due.rests_size() > 0) {
    mTakenAt = aNow;
  }
  return due;
}

} // namespace rattandyke::gateway
