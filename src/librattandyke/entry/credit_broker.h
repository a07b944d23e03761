/// Shares an upstream's slots between entries, at the upstream's home.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <rattandyke/admission.h>
#include <rattandyke/types.h>

namespace rattandyke::entry {

/// One request at one entry that wants a slot.
struct CreditKey
{
  HostName host;
  uint64_t session = 0;
  uint64_t request = 0;
  auto operator<=>(const CreditKey&) const = default; // NOLINT(*-nullptr)
};

/// The events of CreditBroker.
namespace credit_event {

/// A request wants a slot. Repeated while it waits, so that a lost message is
/// made good and the entry hears that the home lives.
struct Asked
{
  CreditKey key;
  CustomerName customer;
  admission::Share share;
  /// Times left when it was sent: instants of two hosts are not comparable.
  Duration admitWithin{};
  Duration finishWithin{};
  bool idempotent = false;
};
/// The request ended, or no longer wants the slot.
struct Returned
{
  CreditKey key;
  /// None: it never used the slot.
  std::optional<admission::Finished> finished;
};
/// The entry's process is gone.
struct SessionGone
{
  HostName host;
  uint64_t session = 0;
};
/// As admission::Slots.
struct SlotsChanged
{
  uint32_t slots = 0;
};
/// As admission::RateLimit.
struct RateLimitChanged
{
  std::optional<double> requestsPerSecond;
};
/// The instant of NextTick came.
struct Tick
{};

} // namespace credit_event

using CreditEvent = std::variant<credit_event::Asked,
                                 credit_event::Returned,
                                 credit_event::SessionGone,
                                 credit_event::SlotsChanged,
                                 credit_event::RateLimitChanged,
                                 credit_event::Tick>;

enum class CreditState
{
  /// Heard; it waits its turn.
  Queued,
  Granted,
  Refused,
};

/// Answer to an entry.
struct CreditAnswer
{
  CreditKey key;
  CreditState state = CreditState::Queued;
  /// If refused, as admission::Refuse.
  Code code = Code::Ok;
  Duration retryAfter{};
};

/// The admission queue of one upstream for all entries. It holds no credit for
/// an entry that has no request: a credit belongs to one request, so an idle
/// entry strands no slot, and it ends with the entry's session or, if both its
/// return and the loss of the entry went unheard, when the request can no
/// longer be running. Not thread-safe.
class CreditBroker
{
public:
  /// @param aAdmission the service's admission policy.
  explicit CreditBroker(std::unique_ptr<admission::Admission> aAdmission);

  std::vector<CreditAnswer> Step(const CreditEvent& aEvent, Instant aNow);

  /// @return when Tick is due; none if nothing waits for time to pass.
  std::optional<Instant> NextTick() const;

  /// @return credits that are out.
  size_t Granted() const { return mAdmission->Running(); }

private:
  struct Request
  {
    admission::Ticket ticket;
    bool granted = false;
    Instant ends{};
  };

  void On(const credit_event::Asked& aEvent);
  void On(const credit_event::Returned& aEvent);
  void On(const credit_event::SessionGone& aEvent);
  void On(const credit_event::SlotsChanged& aEvent);
  void On(const credit_event::RateLimitChanged& aEvent);
  void On(const credit_event::Tick& aEvent);

  void Feed(const admission::Event& aEvent);
  void Carry(const admission::Admit& aEffect);
  void Carry(const admission::Refuse& aEffect);
  void Drop(const CreditKey& aKey);
  void Erase(const CreditKey& aKey);
  void ReclaimOverdue();
  Duration RestLeft(const HostName& aHost) const;
  void RecordRest(const HostName& aHost, Duration aRest);

  const std::unique_ptr<admission::Admission> mAdmission;
  Instant mNow{};
  std::vector<CreditAnswer> mAnswers;
  std::map<CreditKey, Request> mRequests;
  std::map<admission::Ticket, CreditKey> mKeys;
  /// When requests can no longer be running.
  std::set<std::pair<Instant, CreditKey>> mEnds;
  /// Until when the upstream wants no requests from an entry, for the next
  /// process on the entry's host.
  std::map<HostName, Instant> mRests;
  uint64_t mTickets = 0;
};

} // namespace rattandyke::entry
