/// Queues in front of the upstreams' slots.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include <rattandyke/admission.h>

#include "base/clock.h"
#include "http/entry_host.h"
#include "routing/routing_table.h"

namespace rattandyke::http {

/// Admit or Refuse, for one offered request.
using SlotAnswer = admission::Effect;

/// One request's place in the queue of one upstream.
class SlotPlace
{
public:
  virtual ~SlotPlace() = default;

  /// Gives back the slot of an admitted request.
  virtual void Finish(admission::Ending aEnding,
                      Duration aServiceTime,
                      Duration aRetryAfter) = 0;

  /// Takes what the response to an admitted request says about the upstream's
  /// request rate limit.
  /// @param aRequestsPerSecond std::nullopt if it names none.
  virtual void RecordRateLimit(std::optional<double> aRequestsPerSecond) = 0;

  /// Leaves the queue, or gives back a slot unused. No answer comes after it.
  virtual void Leave() = 0;
};

/// Gets slots for requests from the homes of their upstreams, and by a small
/// limit of its own while a home is silent. An upstream without a home gets an
/// admission plug-in of this entry. Thread-safe; locks in docs/LOCKS.md.
class SlotQueues
{
public:
  struct Request
  {
    CustomerName customer;
    admission::Share share;
    Instant admitBy{};
    Instant deadline{};
    bool idempotent = false;
  };

  /// What became of an offer.
  struct Offered
  {
    std::shared_ptr<SlotPlace> place;
    /// Already known; if not, the callback gets it.
    std::optional<SlotAnswer> answer;
  };

  /// @param aHost carries messages to homes; outlives the queues.
  SlotQueues(boost::asio::any_io_executor aExecutor,
             const Clock& aClock,
             EntryHost& aHost);
  ~SlotQueues();

  /// @param aSlots    of the upstream's that may be used now.
  /// @param aOnAnswer called at most once, from any thread and without a lock
  /// held, if the answer was not known at once.
  Offered Offer(const routing::UpstreamView& aUpstream,
                uint32_t aSlots,
                const records::ServiceRecord& aRecord,
                Request aRequest,
                std::function<void(SlotAnswer)> aOnAnswer);

  /// Takes a home's message. Calls back as Offer.
  void Handle(const HostName& aFrom, const wire::CreditAnswer& aMessage);

  /// Forgets the queues of upstreams that nobody asked for lately.
  void Sweep(Instant aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::http
