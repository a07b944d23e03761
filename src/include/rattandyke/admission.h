/// Plug-in kind "admission": admission control for the slots of an upstream.
#pragma once

#include <optional>
#include <variant>
#include <vector>

#include <rattandyke/kernel.h>
#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke::admission {

/// Identifier of one offered request, chosen by the owner of the Admission and
/// never reused.
using Ticket = Strong<struct TicketTag, uint64_t>;

/// Weight and limits of a customer, from its limit record or the defaults.
struct Share
{
  /// Share of the slots under contention, relative to the other weights.
  double weight = 1.0;
  /// Maximum concurrent requests in this Admission; 0: unlimited.
  uint32_t maxConcurrent = 0;
  /// Maximum requests started per second in this Admission; 0: unlimited.
  double ratePerSecond = 0;
};

/// Event: a request asks for a slot.
struct Offer
{
  Ticket ticket;
  CustomerName customer;
  Share share;
  /// The request is refused if it cannot be admitted by this time.
  Instant admitBy{};
  /// The request is refused if, by the estimated service time, it cannot
  /// finish by this time.
  Instant deadline{};
  bool idempotent = false;
};

/// Event: a queued request is withdrawn, or an admitted one did not use a slot.
struct Left
{
  Ticket ticket;
};

/// Result of an admitted request.
enum class Ending
{
  Succeeded,
  Failed,
  /// The upstream refused it because of overload.
  Shed,
  /// Ended before the upstream answered; its service time is not meaningful.
  Cancelled,
};

/// Event: an admitted request has ended and releases its slot.
struct Finished
{
  Ticket ticket;
  Ending ending = Ending::Succeeded;
  Duration serviceTime{};
  /// From the upstream's Retry-After, if it shed.
  Duration retryAfter{};
};

/// Event: the number of usable slots changed, because a cold start ramps up, a
/// credit was added or removed, or the upstream drains (0 slots).
struct Slots
{
  uint32_t slots = 0;
};

/// Event: the upstream named a limit of the request rate from all hosts
/// together, of which this Admission is the only one to admit, or lifted it.
struct RateLimit
{
  /// None: no limit.
  std::optional<double> requestsPerSecond;
};

/// Event: the time that NextTick returned has come.
struct Tick
{};

using Event = std::variant<Offer, Left, Finished, Slots, RateLimit, Tick>;

/// The request may run. It holds a slot until Finished or Left.
struct Admit
{
  Ticket ticket;
};

/// The request is rejected at once. It has not run and will not run.
struct Refuse
{
  Ticket ticket;
  /// Overloaded, LimitExceeded or DeadlineExceeded.
  Code code = Code::Overloaded;
  /// Delay after which a retry may succeed.
  Duration retryAfter{};
};

using Effect = std::variant<Admit, Refuse>;

/// Initial parameters of an Admission.
struct Settings
{
  uint32_t slots = 1;
  /// Longest wait in the queue.
  Duration maxQueueTime = std::chrono::seconds(1);
  /// Maximum number of queued requests per customer.
  uint32_t maxQueuedEach = 256;
  /// Estimated service time, used until the first request has finished.
  Duration serviceTime = std::chrono::milliseconds(10);
};

/// Admission queue for the slots of one upstream. A state machine: each Offer
/// gets one Admit or Refuse, unless Left comes first. Not thread-safe.
class Admission
{
public:
  virtual ~Admission() = default;

  /// @return the decisions on offered requests, in order.
  virtual std::vector<Effect> Step(const Event& aEvent, Instant aNow) = 0;

  /// @return when the next Tick is due; none if no decision depends on time.
  virtual std::optional<Instant> NextTick() const = 0;

  /// @return the number of queued requests.
  virtual size_t Queued() const = 0;

  /// @return the number of requests that hold a slot.
  virtual size_t Running() const = 0;
};

using AdmissionRegistry = Registry<Admission, Settings>;

} // namespace rattandyke::admission
