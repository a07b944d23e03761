/// The queue of one entry in front of one upstream's slots.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "entry/credit_client.h"
#include "http/credit_messages.h"
#include "http/entry_host.h"

namespace rattandyke::http {

/// Joins an entry::CreditClient to the transport and a timer. Thread-safe. Its
/// mutex is held over EntryHost::Send, so that the return of a slot never
/// overtakes its request, but over no callback.
class UpstreamQueue : public std::enable_shared_from_this<UpstreamQueue>
{
public:
  using Answer = admission::Effect;
  using Callback = std::function<void(Answer)>;

  /// @param aHost       outlives the queue.
  /// @param aLocalSlots most that this entry uses without the home.
  /// @param aLocal      made with so many slots.
  UpstreamQueue(const boost::asio::any_io_executor& aExecutor,
                const Clock& aClock,
                EntryHost& aHost,
                UpstreamLife aLife,
                uint32_t aLocalSlots,
                entry::CreditClient::Settings aSettings,
                std::unique_ptr<admission::Admission> aLocal);

  /// @param aHome     the upstream's home by the newest table.
  /// @param aSlots    of the upstream's that may be used now.
  /// @return the offer's own answer, if it came at once; the callback is kept
  /// only if not.
  std::optional<Answer> Offer(const HostName& aHome,
                              uint32_t aSlots,
                              admission::Offer aOffer,
                              Callback aOnAnswer);

  /// Takes what a response says about the upstream's request rate limit.
  void RecordRateLimit(std::optional<double> aRequestsPerSecond);

  /// A request left or finished.
  void Post(const entry::CreditClientEvent& aEvent);

  /// A message of a host about a request of this queue.
  void Handle(const HostName& aFrom, const wire::CreditAnswer& aMessage);

  /// @return whether nothing waits, runs or is to be told to a home.
  bool IsUnused(Instant aNow) const;

private:
  using Answers = std::vector<std::pair<Answer, Callback>>;

  /// A slot that was given back, until its home has heard of it.
  struct Unheard
  {
    HostName home;
    admission::Ticket ticket;
    wire::CreditRequest message;
    Instant sent{};
    Instant giveUp{};
  };

  static void CallBack(const Answers& aAnswers);

  std::optional<Answer> StepLocked(const entry::CreditClientEvent& aEvent,
                                   std::optional<admission::Ticket> aOwn,
                                   Answers& aAnswers);
  void CarryLocked(const entry::AskCredit& aEffect);
  void CarryLocked(const entry::ReturnCredit& aEffect);
  void CarryLocked(const admission::Admit& aEffect);
  void CarryLocked(const admission::Refuse& aEffect);
  void AnswerLocked(Answer aAnswer, admission::Ticket aTicket);
  void ReturnLocked(const HostName& aHome,
                    admission::Ticket aTicket,
                    const std::optional<admission::Finished>& aFinished);
  void SendLocked(const HostName& aHome, wire::CreditRequest aMessage);
  void OnRateChangedLocked(Answers& aAnswers);
  void ResendLocked();
  void ArmLocked();
  std::optional<Instant> NextLocked() const;
  void OnTimer();

  const Clock& mClock;
  EntryHost& mHost;
  const UpstreamLife mLife;
  const uint32_t mLocalSlots;
  mutable std::mutex mMutex;
  entry::CreditClient mClient;
  std::unordered_map<admission::Ticket, Callback> mCallbacks;
  /// Which home each request asked last; it alone may grant it a slot.
  std::unordered_map<admission::Ticket, HostName> mAsked;
  std::vector<Unheard> mUnheard;
  HostName mHome;
  uint32_t mSlots = 0;
  boost::asio::steady_timer mTimer;
  std::optional<Instant> mArmed;
  NamedRate mRate;
  Instant mLastUse{};
  // Of the step that runs.
  std::optional<admission::Ticket> mOwn;
  std::optional<Answer> mOwnAnswer;
  Answers* mAnswers = nullptr;
};

} // namespace rattandyke::http
