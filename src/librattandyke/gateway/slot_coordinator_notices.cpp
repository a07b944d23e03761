// What upstreams say in their responses: rate limits, rests and leaving.
#include "gateway/slot_coordinator.h"

#include <algorithm>

#include "gateway/rest_register.h"
#include "log/log.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Fraction by which the retry-after is lengthened at most.
constexpr double kRestSpread = 0.25;

} // namespace

std::vector<RateLimitNotice>
SlotCoordinator::LimitsFor(const SlotRequest& aRequest) const
{
  const UpstreamSet& upstreams = mBroker.Upstreams();
  if (aRequest.instance.empty()) {
    return upstreams.RateLimitsOf(aRequest.service, aRequest.group);
  }
  const auto limit = upstreams.RateLimitOf(aRequest.instance);
  return limit && limit->rate.requestsPerSecond
           ? std::vector<RateLimitNotice>{ *limit }
           : std::vector<RateLimitNotice>{};
}

void
SlotCoordinator::RecordRateLimit(const Slot& aSlot,
                                 std::optional<double> aRequestsPerSecond)
{
  Record(
    { aSlot.instance, aSlot.incarnation, { aRequestsPerSecond, mClock.Now() } },
    "response");
}

void
SlotCoordinator::RecordRest(const Slot& aSlot, Duration aRest)
{
  mResting.Record(aSlot.instance, aSlot.incarnation, mClock.Now() + aRest);
  log::Line(log::Part::Entry, log::Severity::Info)
    << "upstream " << aSlot.instance
    << " wants no requests from this host rest_ms="
    << std::chrono::duration_cast<milliseconds>(aRest).count()
    << " home=" << (aSlot.home.empty() ? mSelf : aSlot.home);
}

wire::UpstreamRests
SlotCoordinator::TakeRests(bool aAll)
{
  const Instant now = mClock.Now();
  const auto recorded = mResting.TakeRecorded(now);
  wire::UpstreamRests rests;
  for (const auto& rest : aAll ? mResting.Rests(now) : recorded) {
    *rests.add_rests() = ToMessage(mSelf, rest, now);
  }
  return rests;
}

void
SlotCoordinator::RestoreRests(const wire::UpstreamRests& aRests)
{
  const Instant now = mClock.Now();
  for (const wire::UpstreamRest& rest : aRests.rests()) {
    if (rest.host() == mSelf) {
      mResting.Record(
        rest.instance(), rest.life(), now + milliseconds{ rest.left_ms() });
      ++mRestsRestored;
    }
  }
}

void
SlotCoordinator::ApplyNotice(const wire::UpstreamNotice& aNotice)
{
  if (aNotice.has_rate()) {
    Record({ aNotice.instance(),
             aNotice.life(),
             entry::FromWire(aNotice.rate(), mClock.Now()) },
           "entry");
  }
  if (aNotice.leaving()) {
    RecordLeaving(aNotice.instance(), aNotice.life(), "entry");
  }
}

wire::UpstreamNotice
SlotCoordinator::ToWire(const RateLimitNotice& aNotice) const
{
  wire::UpstreamNotice notice;
  notice.set_instance(aNotice.instance);
  notice.set_life(aNotice.incarnation);
  *notice.mutable_rate() = entry::ToWire(aNotice.rate, mClock.Now());
  return notice;
}

std::optional<wire::UpstreamNotice>
SlotCoordinator::NoticeOf(const std::string& aInstance) const
{
  const UpstreamSet& upstreams = mBroker.Upstreams();
  const auto limit = upstreams.RateLimitOf(aInstance);
  const bool leaving = upstreams.IsLeaving(aInstance);
  if (!limit && !leaving) {
    return std::nullopt;
  }
  wire::UpstreamNotice notice;
  if (limit) {
    notice = ToWire(*limit);
  }
  notice.set_instance(aInstance);
  notice.set_life(upstreams.IncarnationOf(aInstance));
  notice.set_leaving(leaving);
  return notice;
}

void
SlotCoordinator::RecordLeaving(const Slot& aSlot)
{
  RecordLeaving(aSlot.instance, aSlot.incarnation, "response");
}

void
SlotCoordinator::RecordLeaving(const std::string& aInstance,
                               uint64_t aIncarnation,
                               std::string_view aSource)
{
  if (mBroker.RecordLeaving(aInstance, aIncarnation, mClock.Now())) {
    log::Line(log::Part::Entry, log::Severity::Info)
      << "upstream " << aInstance << " leaves source=" << aSource;
  }
}

void
SlotCoordinator::Record(const RateLimitNotice& aNotice,
                        std::string_view aSource)
{
  if (!mBroker.RecordRateLimit(aNotice, mClock.Now())) {
    return;
  }
  const UpstreamSet& upstreams = mBroker.Upstreams();
  const std::string home = HomeOf(upstreams.ServiceOf(aNotice.instance),
                                  upstreams.GroupOf(aNotice.instance));
  log::Line line(log::Part::Entry, log::Severity::Info);
  line << "upstream " << aNotice.instance;
  if (aNotice.rate.requestsPerSecond) {
    line << " limits its requests per second limit="
         << *aNotice.rate.requestsPerSecond;
  } else {
    line << " lifts its limit of requests per second";
  }
  line << " source=" << aSource << " home=" << (home.empty() ? mSelf : home);
}

Duration
SlotCoordinator::RestLeft(const std::string& aInstance) const
{
  return mResting.Left(
    aInstance, mBroker.Upstreams().IncarnationOf(aInstance), mClock.Now());
}

void
SlotCoordinator::ExcludeResting(SlotRequest& aRequest) const
{
  const UpstreamSet& upstreams = mBroker.Upstreams();
  for (const std::string& instance : mResting.Instances(mClock.Now())) {
    const bool suitable =
      upstreams.ServiceOf(instance) == aRequest.service &&
      (aRequest.direct || upstreams.GroupOf(instance) == aRequest.group);
    if (suitable && RestLeft(instance) > Duration::zero()) {
      aRequest.excluded.insert(instance);
    }
  }
}

/// Callers come back spread over some time after the rest, so that they don't
/// meet the upstream all at once.
SlotUnavailable
SlotCoordinator::Resting(Duration aLeft)
{
  const double spread =
    1 + kRestSpread * static_cast<double>(mRandom() % 1024) / 1024;
  return { UpstreamSet::UnavailableReason::Full,
           Scaled(std::min<Duration>(aLeft, RestingUpstreams::kMaxRetryAfter),
                  spread) };
}

} // namespace rattandyke::gateway
