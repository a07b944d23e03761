#include "scheduling/link_admission.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rattandyke::scheduling {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Idle time of the link that bytes counted later may have used, unless they
/// need more. Bytes are counted when the host gets the processor, up to one
/// period of its processor limit (100 ms) after they have arrived.
constexpr milliseconds kMaxCountingDelay{ 100 };
/// Size of a refusal with its headers, without packet headers.
constexpr size_t kRefusalBytes = 250;
/// Shortest time after which a refused caller is asked to retry.
constexpr milliseconds kMinRetryAfter{ 60 };
/// Weight of the newest response in the moving average of its route.
constexpr double kSmoothing = 0.05;
/// Rise of RouteTimes::shortest towards a longer time, so that a single short
/// time is forgotten after some hundred responses.
constexpr double kShortestRise = 0.01;
/// Shortest delay limit relative to the objective. A response that misses its
/// objective without the link's delay, too, is not refused for a short queue.
constexpr double kMinSlackShare = 0.25;
/// Largest share of the objective that is assumed for the upstream.
constexpr double kMaxUpstreamShare = 0.5;
/// Time for which the objective of a more urgent kind of request limits less
/// urgent ones after its last request.
constexpr seconds kSlackLifetime{ 5 };
/// Longest time for which all requests of one route are refused for their
/// objective.
constexpr seconds kMaxShutOut{ 1 };
/// Bound of the memory for routes. A deployment has some dozen.
constexpr size_t kMaxRoutes = 1024;
/// Share of the bandwidth from which on the link is probed often.
constexpr double kBusyShare = 0.5;
/// Share of the bandwidth below which a measured delay is not taken for a queue
/// of this link. A control host that is slow to answer must not make hosts
/// refuse requests while their links are nearly idle. A link with a queue uses
/// less than this only if it has less than a quarter of the configured
/// bandwidth.
constexpr double kMinMeasuredShare = 0.25;

/// Share of the slack that requests of a priority may use: 1 for the highest,
/// falling towards 1/2.
double
SlackShare(uint32_t aPriority)
{
  return 0.5 + 0.5 / (1.0 + aPriority);
}

/// Uses whose bytes are never expected as part of an admitted request.
constexpr std::array kOtherUses{ LinkUse::SlotsAllocated,
                                 LinkUse::SlotsRequested,
                                 LinkUse::Feed };

uint64_t
OtherBytes(const LinkMeter& aMeter, LinkDirection aDirection)
{
  uint64_t bytes = 0;
  for (const LinkUse use : kOtherUses) {
    bytes += aMeter.Total(use, aDirection).bytes;
  }
  return bytes;
}

} // namespace

std::string_view
NameOf(LinkRefusalReason aReason)
{
  return aReason == LinkRefusalReason::Timeout ? "timeout" : "objective";
}

TransferQueue::TransferQueue(double aBytesPerSecond)
  : mBytesPerSecond(aBytesPerSecond)
{
}

Duration
TransferQueue::TransferTime(size_t aBytes) const
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    static_cast<double>(aBytes) / mBytesPerSecond));
}

Duration
TransferQueue::Delay(Instant aNow) const
{
  return std::max(mFreeAt - aNow, Duration::zero());
}

void
TransferQueue::Add(size_t aBytes, Instant aNow)
{
  if (mFreeAt <= aNow) {
    mFreeAt = aNow;
    mBusySince = aNow;
  }
  mFreeAt += TransferTime(aBytes);
}

void
TransferQueue::AddTransferred(size_t aBytes, Instant aNow)
{
  if (aBytes == 0) {
    return;
  }
  Duration transferTime = TransferTime(aBytes);
  if (aNow < mIdleTimeUntil) {
    const Duration inPause = std::min(transferTime, mIdleTime);
    mIdleTime -= inPause;
    transferTime -= inPause;
  }
  const Instant startedAt =
    aNow - std::max<Duration>(kMaxCountingDelay, transferTime);
  if (mFreeAt <= startedAt) {
    mFreeAt = startedAt;
    mBusySince = startedAt;
  }
  mFreeAt += transferTime;
}

void
TransferQueue::CreditIdleTime(Instant aSince, Instant aNow)
{
  mIdleTime = std::max(aNow - std::max(mFreeAt, aSince), Duration::zero());
  mIdleTimeUntil = aNow + Duration(kMaxCountingDelay);
}

void
TransferQueue::AddTransferredEarlier(size_t aBytes, Instant aNow)
{
  mFreeAt += std::min(TransferTime(aBytes), aNow - mBusySince);
}

void
TransferQueue::Remove(size_t aBytes, Instant aAddedAt)
{
  if (aAddedAt >= mBusySince) {
    mFreeAt -= TransferTime(aBytes);
  }
}

LinkAdmission::LinkAdmission(double aBytesPerSecond,
                             const LinkMeter& aMeter,
                             uint64_t aSeed)
  : mBytesPerSecond(aBytesPerSecond)
  , mMeter(aMeter)
  , mRandom(aSeed)
  , mIn(aBytesPerSecond)
  , mOut(aBytesPerSecond)
{
}

LinkAdmission::Level&
LinkAdmission::LevelOf(uint32_t aPriority)
{
  return mLevels[std::min<size_t>(aPriority, kLevels - 1)];
}

LinkAdmission::Route&
LinkAdmission::RouteOf(std::string_view aName)
{
  const auto found = mRoutes.find(aName);
  if (found != mRoutes.end()) {
    return found->second;
  }
  if (mRoutes.size() >= kMaxRoutes) {
    mRoutes.clear();
  }
  return mRoutes[std::string(aName)];
}

void
LinkAdmission::CountTraffic(Instant aNow)
{
  const Instant countedAt = std::exchange(mCountedAt, aNow);
  if (countedAt > Instant{} && aNow - countedAt > LinkProber::kMaxTickGap) {
    mIn.CreditIdleTime(countedAt, aNow);
  }
  const uint64_t in = OtherBytes(mMeter, LinkDirection::In) +
                      mMeter.Total(LinkUse::Callers, LinkDirection::In).bytes;
  mIn.AddTransferred(in - std::exchange(mCountedIn, in), aNow);

  const uint64_t out = OtherBytes(mMeter, LinkDirection::Out);
  const uint64_t callersOut =
    mMeter.Total(LinkUse::Callers, LinkDirection::Out).bytes;
  const uint64_t newCallersOut =
    callersOut - std::exchange(mCountedCallersOut, callersOut);
  const uint64_t settled = std::min(newCallersOut, mSettledCallersOut);
  mSettledCallersOut -= settled;
  const uint64_t sent =
    out - std::exchange(mCountedOut, out) + newCallersOut - settled;
  if (sent > 0) {
    mOut.Add(sent, aNow);
  }
}

void
LinkAdmission::CountBusyShare(Instant aNow)
{
  const auto slot = [&] {
    BusySlot current{ aNow, {} };
    for (size_t direction = 0; direction < current.bytes.size(); ++direction) {
      current.bytes[direction] =
        mMeter.TotalBytes(static_cast<LinkDirection>(direction));
    }
    return current;
  };
  if (mBusySlotAt == Instant{}) {
    mBusySlots.fill(slot());
    mBusySlotAt = aNow;
    return;
  }
  if (aNow - mBusySlotAt < Duration(seconds{ 1 }) / kBusySlots) {
    return;
  }
  mBusySlotAt = aNow;
  const BusySlot newest = slot();
  const BusySlot oldest = std::exchange(mBusySlots[mNextBusySlot], newest);
  mNextBusySlot = (mNextBusySlot + 1) % kBusySlots;
  uint64_t most = 0;
  for (size_t direction = 0; direction < newest.bytes.size(); ++direction) {
    most = std::max(most, newest.bytes[direction] - oldest.bytes[direction]);
  }
  const std::chrono::duration<double> span = aNow - oldest.at;
  mBusyShare = static_cast<double>(most) / (mBytesPerSecond * span.count());
}

std::optional<uint64_t>
LinkAdmission::Tick(std::optional<uint64_t> aConnection,
                    Duration aSendDelay,
                    Instant aNow)
{
  if (IsUnlimited()) {
    return std::nullopt;
  }
  CountTraffic(aNow);
  CountBusyShare(aNow);
  return mProber.Tick({ aConnection, mBusyShare > kBusyShare, aSendDelay },
                      aNow);
}

void
LinkAdmission::OnProbeReply(uint64_t aId, Instant aNow)
{
  mProber.OnReply(aId, aNow);
}

Duration
LinkAdmission::ModelledDelay(LinkDirection aDirection, Instant aNow) const
{
  if (IsUnlimited()) {
    return Duration::zero();
  }
  return (aDirection == LinkDirection::In ? mIn : mOut).Delay(aNow);
}

Duration
LinkAdmission::ReceiveDelay(Instant aNow) const
{
  const Duration modelled = mIn.Delay(aNow);
  return mBusyShare < kMinMeasuredShare
           ? modelled
           : std::max(modelled, mProber.ReceiveDelay(aNow));
}

LinkAdmission::Forecast
LinkAdmission::ForecastOf(const LinkRequest& aRequest, Instant aNow) const
{
  return { LinkMeter::BytesOnLink(aRequest.requestBytes),
           LinkMeter::BytesOnLink(aRequest.responseBytes),
           ReceiveDelay(aNow),
           mOut.Delay(aNow) };
}

/// The request is sent before queued responses. Its response waits in the
/// incoming queue and then for whatever is left by then of the outgoing queue.
Duration
LinkAdmission::CompletionTime(const Forecast& aForecast,
                              Duration aUpstreamTime) const
{
  const Duration response = mIn.TransferTime(aForecast.responseOnLink);
  const Duration received = mOut.TransferTime(aForecast.requestOnLink) +
                            aUpstreamTime + aForecast.queueIn + response;
  return std::max(received, aForecast.queueOut) + response;
}

Duration
LinkAdmission::ObjectiveOf(const LinkRequest& aRequest)
{
  return aRequest.objective > Duration::zero() ? aRequest.objective
                                               : aRequest.timeout;
}

LinkAdmission::RouteTimes
LinkAdmission::TimesOf(const LinkRequest& aRequest) const
{
  const auto found = mRoutes.find(aRequest.route);
  if (found == mRoutes.end() || !found->second.times) {
    return {};
  }
  const RouteTimes& times = *found->second.times;
  const Duration longest = Scaled(ObjectiveOf(aRequest), kMaxUpstreamShare);
  return { std::min(times.mean, longest), std::min(times.shortest, longest) };
}

void
LinkAdmission::RecordTime(std::string_view aRoute, Duration aTime)
{
  std::optional<RouteTimes>& known = RouteOf(aRoute).times;
  if (!known) {
    known = RouteTimes{ aTime, aTime };
    return;
  }
  RouteTimes& times = *known;
  times.mean += Scaled(aTime - times.mean, kSmoothing);
  times.shortest =
    aTime < times.shortest
      ? aTime
      : times.shortest + Scaled(aTime - times.shortest, kShortestRise);
}

/// A more urgent request must not be refused at a delay at which a less urgent
/// one is admitted. So the slack of more urgent requests limits less urgent
/// ones, whatever their own objective.
Duration
LinkAdmission::DelayLimit(const LinkRequest& aRequest,
                          Duration aUpstreamTime,
                          Instant aNow)
{
  const Duration objective = ObjectiveOf(aRequest);
  const Duration least = Scaled(objective, kMinSlackShare);
  const Duration slack = std::max(objective - aUpstreamTime, least);
  Level& own = LevelOf(aRequest.priority);
  if (slack <= own.slack || aNow - own.slackSeenAt > Duration(kSlackLifetime)) {
    own.slack = slack;
    own.slackSeenAt = aNow;
  }
  Duration limit = std::max(slack - aRequest.age, least);
  for (Level* level = mLevels.data(); level != &own; ++level) {
    if (aNow - level->slackSeenAt <= Duration(kSlackLifetime)) {
      limit = std::min(limit, level->slack);
    }
  }
  return Scaled(limit, SlackShare(aRequest.priority));
}

/// A refusal saves the response (in), and the request and the response (out).
/// It costs itself (out) and, as its caller returns, the request once more
/// (in). Both directions carry about the same bytes, so a refusal that saves
/// bytes in one and costs more in the other makes the busier one busier.
bool
LinkAdmission::SavesBytes(const Forecast& aForecast)
{
  const size_t refusal = LinkMeter::BytesOnLink(kRefusalBytes);
  return aForecast.responseOnLink > aForecast.requestOnLink &&
         aForecast.requestOnLink + aForecast.responseOnLink > refusal;
}

Duration
LinkAdmission::RetryAfter(Duration aExcess)
{
  std::uniform_real_distribution<double> spread(1, 2);
  return Scaled(std::max<Duration>(aExcess, kMinRetryAfter), spread(mRandom));
}

LinkReservation
LinkAdmission::Admit(const LinkRequest& aRequest,
                     const Forecast& aForecast,
                     Duration aLinkDelay,
                     Instant aNow)
{
  const size_t in = aForecast.responseOnLink;
  const size_t out = aForecast.requestOnLink + aForecast.responseOnLink;
  mIn.Add(in, aNow);
  mOut.Add(out, aNow);
  RouteOf(aRequest.route).admittedAt = aNow;
  return { aNow, in, out, aLinkDelay };
}

LinkAdmission::Decision
LinkAdmission::Decide(const LinkRequest& aRequest, Instant aNow)
{
  if (IsUnlimited()) {
    return LinkReservation{};
  }
  CountTraffic(aNow);
  const Forecast forecast = ForecastOf(aRequest, aNow);
  const RouteTimes times = TimesOf(aRequest);
  const Duration linkDelay = CompletionTime(forecast, times.mean) - times.mean;
  const Duration limit = DelayLimit(aRequest, times.mean, aNow);
  const bool late =
    CompletionTime(forecast, times.shortest) > aRequest.timeLeft;
  const bool shutOut =
    aNow - RouteOf(aRequest.route).admittedAt >= Duration(kMaxShutOut);
  const bool missesObjective =
    linkDelay > limit && SavesBytes(forecast) && !shutOut;
  if (!late && !missesObjective) {
    return Admit(aRequest, forecast, linkDelay, aNow);
  }
  return LinkRefusal{ late ? LinkRefusalReason::Timeout
                           : LinkRefusalReason::Objective,
                      RetryAfter(linkDelay - limit),
                      forecast.queueIn,
                      forecast.queueOut,
                      forecast.responseOnLink,
                      forecast.requestOnLink + forecast.responseOnLink,
                      linkDelay,
                      limit };
}

void
LinkAdmission::Settle(const LinkRequest& aRequest,
                      const LinkReservation& aReservation,
                      const LinkOutcome& aOutcome,
                      Instant aNow)
{
  if (IsUnlimited()) {
    return;
  }
  // Attempts without a response were refused by the upstream, or failed.
  const uint32_t refusals =
    aOutcome.attempts -
    std::min<uint32_t>(aOutcome.attempts, aOutcome.upstreamBytes ? 1 : 0);
  const size_t in =
    refusals * LinkMeter::BytesOnLink(kRefusalBytes) +
    (aOutcome.upstreamBytes ? LinkMeter::BytesOnLink(*aOutcome.upstreamBytes)
                            : 0);
  const size_t toCaller = LinkMeter::BytesOnLink(aOutcome.callerBytes);
  const size_t out =
    aOutcome.attempts * LinkMeter::BytesOnLink(aRequest.requestBytes) +
    toCaller;
  if (in > aReservation.bytesIn) {
    mIn.AddTransferredEarlier(in - aReservation.bytesIn, aNow);
  } else {
    mIn.Remove(aReservation.bytesIn - in, aReservation.admittedAt);
  }
  // The response to the caller is yet to be sent.
  if (out > aReservation.bytesOut) {
    mOut.Add(out - aReservation.bytesOut, aNow);
  } else {
    mOut.Remove(aReservation.bytesOut - out, aReservation.admittedAt);
  }
  mSettledCallersOut += toCaller;
  if (aOutcome.upstreamBytes) {
    const Duration elapsed = aNow - aReservation.admittedAt;
    RecordTime(aRequest.route,
               std::max(elapsed - aReservation.linkDelay, Duration::zero()));
  }
}

} // namespace rattandyke::scheduling
