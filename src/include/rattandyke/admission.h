/// Plug-in kind "admission": who may use an upstream's slots next.
#pragma once

#include <optional>
#include <variant>
#include <vector>

#include <rattandyke/kernel.h>
#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke::admission {

/// Names one offered request; chosen by the owner of the Admission, never used
/// again.
using Ticket = Strong<struct TicketTag, uint64_t>;

/// A customer's share, from its limit record or the defaults.
struct Share
{
  /// Slots it gets in contention, in proportion to the others' weights.
  double weight = 1.0;
  /// Requests it may run at once here; 0: unlimited.
  uint32_t maxConcurrent = 0;
  /// Requests it may start each second here; 0: unlimited.
  double ratePerSecond = 0;
};

/// A request asks for a slot.
struct Offer
{
  Ticket ticket;
  CustomerName customer;
  Share share;
  /// Refused if it cannot be admitted until then.
  Instant admitBy{};
  /// Refused if it cannot be finished until then, by the estimate of the
  /// service time.
  Instant deadline{};
  bool idempotent = false;
};

/// A queued request no longer wants a slot, or an admitted one did not use it.
struct Left
{
  Ticket ticket;
};

/// How an admitted request went.
enum class Ending
{
  Succeeded,
  Failed,
  /// The upstream refused it for overload.
  Shed,
  /// Ended before the upstream answered; its time says nothing.
  Cancelled,
};

/// An admitted request gives back its slot.
struct Finished
{
  Ticket ticket;
  Ending ending = Ending::Succeeded;
  Duration serviceTime{};
  /// From the upstream's Retry-After, if it shed.
  Duration retryAfter{};
};

/// The number of slots to give out changed: a cold start ramps up, a credit
/// came or went, the upstream drains (0).
struct Slots
{
  uint32_t slots = 0;
};

/// The instant of NextTick came.
struct Tick
{};

using Event = std::variant<Offer, Left, Finished, Slots, Tick>;

/// The request may run. It holds a slot until Finished or Left.
struct Admit
{
  Ticket ticket;
};

/// The request did not and will not run: final, at once.
struct Refuse
{
  Ticket ticket;
  /// Overloaded, LimitExceeded or DeadlineExceeded.
  Code code = Code::Overloaded;
  /// When trying again can help.
  Duration retryAfter{};
};

using Effect = std::variant<Admit, Refuse>;

/// What an Admission starts with.
struct Settings
{
  uint32_t slots = 1;
  /// Longest wait in the queue.
  Duration maxQueueTime = std::chrono::seconds(1);
  /// Most requests that one customer may have in the queue.
  uint32_t maxQueuedEach = 256;
  /// Estimate of the service time until the first request finished.
  Duration serviceTime = std::chrono::milliseconds(10);
};

/// Queue in front of the slots of one upstream. A state machine: each Offer
/// gets one Admit or Refuse, unless Left comes first. Not thread-safe.
class Admission
{
public:
  virtual ~Admission() = default;

  /// @return what became of the offered requests, in order.
  virtual std::vector<Effect> Step(const Event& aEvent, Instant aNow) = 0;

  /// @return when Tick is due; none if nothing waits for time to pass.
  virtual std::optional<Instant> NextTick() const = 0;

  /// @return requests that wait.
  virtual size_t Queued() const = 0;

  /// @return requests that hold a slot.
  virtual size_t Running() const = 0;
};

using AdmissionRegistry = Registry<Admission, Settings>;

} // namespace rattandyke::admission
