/// Admission of requests by the time that their bytes need on a host's link.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "scheduling/link_meter.h"
#include "scheduling/link_prober.h"

namespace rattandyke::scheduling {

/// Model of the queue of bytes in one direction of a link: the time at which
/// the link has transferred all bytes that are known to use it.
class TransferQueue
{
public:
  /// @param aBytesPerSecond must be positive.
  explicit TransferQueue(double aBytesPerSecond);

  /// @return the time that the link needs for the bytes.
  Duration TransferTime(size_t aBytes) const;

  /// @return the time until the link is free.
  Duration Delay(Instant aNow) const;

  /// Adds bytes that are yet to be transferred.
  void Add(size_t aBytes, Instant aNow);

  /// Accounts for bytes that the link has transferred already; other bytes had
  /// to wait for them.
  void AddTransferred(size_t aBytes, Instant aNow);

  /// No bytes have been counted since aSince, as this host was paused. The link
  /// may have transferred bytes that are counted soon in the idle part of that
  /// time, also if others have been added before them.
  void CreditIdleTime(Instant aSince, Instant aNow);

  /// Accounts for bytes that the link has transferred at some time since their
  /// request was admitted. They have delayed only what was waiting meanwhile.
  void AddTransferredEarlier(size_t aBytes, Instant aNow);

  /// Removes bytes that were added at aAddedAt and will not be transferred. No
  /// effect if the model has transferred them already.
  void Remove(size_t aBytes, Instant aAddedAt);

private:
  const double mBytesPerSecond;
  Instant mFreeAt{};
  /// Start of the current period in which bytes were always waiting.
  Instant mBusySince{};
  /// Idle time during a pause of this host that no counted bytes have used, and
  /// when it expires.
  Duration mIdleTime{};
  Instant mIdleTimeUntil{};
};

/// Reason for which the link refuses a request.
enum class LinkRefusalReason : uint8_t
{
  /// The response would arrive after the request's timeout.
  Timeout,
  /// The response would miss its objective.
  Objective,
};

/// @return the label value in metrics and log lines.
std::string_view NameOf(LinkRefusalReason aReason);

/// A request that asks for admission. All sizes are without packet headers.
struct LinkRequest
{
  /// Name of its route.
  std::string_view route;
  /// 0 is the highest priority.
  uint32_t priority = 0;
  size_t requestBytes = 0;
  /// Expected size of the response.
  size_t responseBytes = 0;
  /// Latency objective of the route, counted from the arrival; 0 if it has
  /// none.
  Duration objective{};
  /// Time since the arrival.
  Duration age{};
  /// Time left until the timeout.
  Duration timeLeft{};
  /// Timeout of the route, which replaces an objective of 0.
  Duration timeout{};
};

/// An admitted request. Its expected bytes are in the model.
struct LinkReservation
{
  Instant admittedAt{};
  /// Bytes on the link.
  size_t bytesIn = 0;
  size_t bytesOut = 0;
  /// Expected delay of its response by the link.
  Duration linkDelay{};
};

/// A refused request, with the inputs of the decision.
struct LinkRefusal
{
  LinkRefusalReason reason = LinkRefusalReason::Objective;
  Duration retryAfter{};
  Duration queueIn{};
  Duration queueOut{};
  /// Expected bytes on the link if it were admitted.
  size_t bytesIn = 0;
  size_t bytesOut = 0;
  /// Expected delay of its response by the link, and the longest delay that
  /// lets it meet its objective.
  Duration linkDelay{};
  Duration delayLimit{};
};

/// What an admitted request has used of the link.
struct LinkOutcome
{
  /// Attempts in which the request was sent.
  uint32_t attempts = 0;
  /// Size of the upstream's response; nullopt if none has arrived.
  std::optional<size_t> upstreamBytes;
  /// Size of the response to the caller.
  size_t callerBytes = 0;
};

/// Admission control by a model of both directions of a host's link, and by a
/// measured delay of the incoming one. Does no I/O. Not thread-safe.
///
/// The model contains the bytes of all messages that the host receives and
/// sends, and the expected bytes of admitted requests: the response (in), and
/// the request and the response (out). A request is refused if its response
/// can't arrive before its timeout, or if the link makes its response miss its
/// objective. The latter applies only if the refusal saves bytes in both
/// directions: the caller of a refused request sends it again.
class LinkAdmission
{
public:
  using Decision = std::variant<LinkReservation, LinkRefusal>;

  /// @param aBytesPerSecond bandwidth of the link; 0 if unknown, then all
  /// requests are admitted.
  /// @param aMeter counts all bytes of the link; outlives this object.
  /// @param aSeed for the spread of retry times.
  LinkAdmission(double aBytesPerSecond,
                const LinkMeter& aMeter,
                uint64_t aSeed);

  Decision Decide(const LinkRequest& aRequest, Instant aNow);

  /// Replaces the expected bytes of an admitted request by its actual ones. The
  /// meter must count its response to the caller afterwards.
  void Settle(const LinkRequest& aRequest,
              const LinkReservation& aReservation,
              const LinkOutcome& aOutcome,
              Instant aNow);

  /// Must be called at least every LinkProber::kMaxTickGap.
  /// @param aConnection see LinkProber::Conditions.
  /// @param aSendDelay see LinkProber::Conditions.
  /// @return the id of a probe that must be sent now, if any.
  std::optional<uint64_t> Tick(std::optional<uint64_t> aConnection,
                               Duration aSendDelay,
                               Instant aNow);

  void OnProbeReply(uint64_t aId, Instant aNow);

  /// @return the modelled delay of a direction.
  Duration ModelledDelay(LinkDirection aDirection, Instant aNow) const;

  const LinkProber& Prober() const { return mProber; }

private:
  /// Moving averages of a route's requests.
  struct RouteTimes
  {
    /// Time from admission to the upstream's response, less the link's delay.
    Duration mean{};
    /// Follows the shortest of these times.
    Duration shortest{};
  };

  struct Route
  {
    /// nullopt before the first response.
    std::optional<RouteTimes> times;
    Instant admittedAt{};
  };

  /// Requests of one priority.
  struct Level
  {
    /// Shortest delay of the link that makes a request miss its objective.
    Duration slack{};
    Instant slackSeenAt{};
  };

  /// The bytes of a request on the link, and the queues that it meets.
  struct Forecast
  {
    size_t requestOnLink = 0;
    size_t responseOnLink = 0;
    Duration queueIn{};
    Duration queueOut{};
  };

  /// Totals of the meter at a time.
  struct BusySlot
  {
    Instant at{};
    std::array<uint64_t, LinkMeter::kDirections> bytes{};
  };

  bool IsUnlimited() const { return mBytesPerSecond <= 0; }
  Level& LevelOf(uint32_t aPriority);
  /// @return the entry of a route, which is added if it is unknown.
  Route& RouteOf(std::string_view aName);
  /// Adds the traffic since the last call to the model.
  void CountTraffic(Instant aNow);
  void CountBusyShare(Instant aNow);
  /// @return the larger of the modelled and the measured delay of incoming
  /// bytes.
  Duration ReceiveDelay(Instant aNow) const;
  Forecast ForecastOf(const LinkRequest& aRequest, Instant aNow) const;
  /// @return the time until the response has reached its caller.
  /// @param aUpstreamTime time until the upstream's response, without the link.
  Duration CompletionTime(const Forecast& aForecast,
                          Duration aUpstreamTime) const;
  /// @return the objective of a request, or the timeout if it has none.
  static Duration ObjectiveOf(const LinkRequest& aRequest);
  /// @return the estimates for a route. Limited to half of the objective, so
  /// that slow upstreams don't make the link refuse all requests of a route.
  RouteTimes TimesOf(const LinkRequest& aRequest) const;
  void RecordTime(std::string_view aRoute, Duration aTime);
  /// @return the longest delay of the link at which a request is admitted.
  Duration DelayLimit(const LinkRequest& aRequest,
                      Duration aUpstreamTime,
                      Instant aNow);
  static bool SavesBytes(const Forecast& aForecast);
  Duration RetryAfter(Duration aExcess);
  LinkReservation Admit(const LinkRequest& aRequest,
                        const Forecast& aForecast,
                        Duration aLinkDelay,
                        Instant aNow);

  /// Number of distinct priorities; lower ones share the last level.
  static constexpr size_t kLevels = 8;
  static constexpr size_t kBusySlots = 10;

  const double mBytesPerSecond;
  const LinkMeter& mMeter;
  Random mRandom;
  TransferQueue mIn;
  TransferQueue mOut;
  LinkProber mProber;
  std::array<Level, kLevels> mLevels{};
  std::map<std::string, Route, std::less<>> mRoutes;
  /// When the traffic was counted last; zero before the first time.
  Instant mCountedAt{};
  /// Totals of the meter that the model contains.
  uint64_t mCountedIn = 0;
  uint64_t mCountedOut = 0;
  uint64_t mCountedCallersOut = 0;
  /// Bytes that Settle() has counted and the meter is yet to count.
  uint64_t mSettledCallersOut = 0;
  /// Totals of the meter at about every tenth of the last second, used as a
  /// ring.
  std::array<BusySlot, kBusySlots> mBusySlots{};
  size_t mNextBusySlot = 0;
  Instant mBusySlotAt{};
  /// Share of the bandwidth used since the oldest slot, in the busier
  /// direction.
  double mBusyShare = 0;
};

} // namespace rattandyke::scheduling
