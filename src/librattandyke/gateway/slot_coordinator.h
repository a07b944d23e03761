/// An entry host's dealings with other entries about upstreams' slots.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/request_context.h"
#include "gateway/slot_broker.h"
#include "gateway/slot_request_limiter.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// A slot that a request has.
struct Slot
{
  uint64_t ticket = 0;
  /// Entry host that keeps it; empty: this one.
  std::string home;
  std::string instance;
  std::string address;
  /// Of the instance's process.
  uint64_t incarnation = 0;
};

/// Why a request has none.
struct SlotUnavailable
{
  UpstreamSet::UnavailableReason reason = UpstreamSet::UnavailableReason::Full;
  Duration retryAfter{};
};

using SlotOutcome = std::variant<Slot, SlotUnavailable>;

/// Each upstream's slots are kept by one entry host, its home, which all hosts
/// find by the replicated list of entries. A request asks the home of the
/// upstream that owns its key, or the home of a group of its service's
/// upstreams. While a home is silent, the entry goes by what it knows itself:
/// the loss of a home costs some order, and no service. Runs on one executor
/// that runs one handler at a time.
class SlotCoordinator
{
public:
  using StateAge = std::function<Duration()>;
  using Send =
    std::function<void(const HostName& aTo, const wire::GatewayFrame&)>;

  /// @param aSelf   this host's address for peers.
  /// @param aSession random per process start.
  /// @param aStateAge time since this host was assured of the state.
  SlotCoordinator(boost::asio::any_io_executor aExecutor,
                  std::string aSelf,
                  uint64_t aSession,
                  Send aSend,
                  const Clock& aClock,
                  uint64_t aSeed,
                  const UpstreamSet::Options& aOptions,
                  StateAge aStateAge);

  /// The replicated state was replaced as a whole.
  void StateChanged(const State& aState);

  /// One command was applied to it: costs what the command changes, as a fleet
  /// that starts or is replaced brings a command for each host and upstream.
  void StateChanged(const State& aState, const wire::GatewayCommand& aCommand);

  void OnSlotRequest(const wire::SlotAsk& aAsk);
  void OnSlotAnswer(const wire::SlotAnswer& aAnswer);
  void OnSlotRelease(const wire::SlotDone& aDone);

  /// @param aRequest its key is set here.
  boost::asio::awaitable<SlotOutcome> Acquire(
    std::shared_ptr<RequestContext> aContext,
    SlotRequest aRequest);

  void Release(const Slot& aSlot, AttemptOutcome aEnd, Duration aTook);

  /// An upstream has told its load.
  void RecordLoadReport(const std::string& aInstance, const LoadReport& aLoad)
  {
    mBroker.RecordLoadReport(aInstance, aLoad, mClock.Now());
  }

  /// Call it every SlotBroker::kTick.
  void Tick();

  const SlotBroker& Broker() const { return mBroker; }

  /// UpstreamSet::TakeChangedResponseSeconds.
  std::map<std::string, double> TakeChangedResponseSeconds()
  {
    return mBroker.TakeChangedResponseSeconds();
  }

private:
  /// An upstream that a host has wanted within this time may be one that all
  /// hosts want, if there are more hosts than it has places.
  static constexpr std::chrono::milliseconds kCalmAfter{ 1000 };

  struct Entry
  {
    std::string address;
    uint64_t hash = 0;
  };

  struct Pending
  {
    std::shared_ptr<RequestContext> context;
    /// The one upstream that it wants; empty: any.
    std::string instance;
    bool queued = false;
    /// Its home does not know such upstreams.
    bool declined = false;
    /// Whether its home has been asked.
    bool asked = false;
    /// It may do without its home if that takes long.
    bool calm = false;
    /// What the line said to the request while it waited.
    std::optional<SlotRequestLimiter::Verdict> turn;
    std::optional<SlotOutcome> outcome;
  };

  /// @return the outcome; nothing if the home kept silent.
  boost::asio::awaitable<std::optional<SlotOutcome>> AcquireFrom(
    std::string aHome,
    std::shared_ptr<RequestContext> aContext,
    SlotRequest aRequest);
  void AddEntry(const std::string& aAddress);
  void DropEntry(const std::string& aAddress);
  void ForgetAskers(const State& aState);
  std::string HomeOf(const std::string& aService, uint32_t aGroup) const;
  /// @return whether this host chooses an upstream by itself.
  bool ChoosesDirect(const SlotRequest& aRequest);
  void NoteAskTime(Duration aTime);
  /// A request wants a slot of one upstream.
  /// @return whether this host may send it one request without its home.
  bool NoteWanted(const std::string& aInstance);
  bool IsHomeOf(const std::string& aInstance) const;
  std::vector<std::string> ColdHere() const;
  void HoldOffNewCold(const std::vector<std::string>& aBefore);
  bool MayKeepCold(const std::string& aService, uint32_t aGroup) const;
  bool IsSilent(const std::string& aHome) const;
  boost::asio::awaitable<void> AwaitSign(std::shared_ptr<Pending> aPending,
                                         Instant aUntil);
  boost::asio::awaitable<void> AskHome(std::shared_ptr<Pending> aPending,
                                       std::string aHome,
                                       const SlotRequest& aRequest);
  /// Waits for a turn to ask the home of the request's one upstream.
  /// @return whether it may ask now; if not, it has its outcome or is over.
  boost::asio::awaitable<bool> AwaitTurn(std::shared_ptr<Pending> aPending,
                                         const SlotRequest& aRequest);
  boost::asio::awaitable<void> AskInTurn(std::shared_ptr<Pending> aPending,
                                         std::string aHome,
                                         SlotRequest aRequest);
  void EndTurn(const Pending& aPending, const SlotRequest& aRequest);
  void Tell(const std::vector<SlotRequestLimiter::Turn>& aTurns);
  boost::asio::awaitable<void> AskHere(std::shared_ptr<Pending> aPending,
                                       const SlotRequest& aRequest);
  boost::asio::awaitable<void> WaitFor(std::shared_ptr<Pending> aPending,
                                       Instant aUntil);
  void Deliver(const std::vector<SlotAnswer>& aAnswers);
  void Deliver(const SlotAnswer& aAnswer);
  void Decline(const wire::SlotAsk& aAsk);
  void NoteDeclined(uint64_t aTicket);
  void TakeOwn(uint64_t aTicket, const SlotAnswer& aAnswer);
  void SendDone(const std::string& aHome,
                uint64_t aTicket,
                AttemptOutcome aEnd,
                Duration aTook);

  const boost::asio::any_io_executor mExecutor;
  const std::string mSelf;
  const uint64_t mSession;
  const Send mSend;
  const Clock& mClock;
  const StateAge mStateAge;
  Random mRandom;
  SlotBroker mBroker;
  /// By address.
  std::vector<Entry> mEntries;
  std::map<uint64_t, std::shared_ptr<Pending>> mPending;
  /// Where the sessions that ask here are reached.
  std::map<uint64_t, std::string> mAskers;
  std::map<std::string, Instant> mSilentUntil;
  SlotRequestLimiter mLine;
  /// Moving average of the time until a home says something.
  Duration mAskTime{};
  /// Asking takes so long that this host does without where it can.
  bool mAsksAreSlow = false;
  /// When a request last wanted a slot of an upstream.
  std::map<std::string, Instant> mWantedAt;
  uint64_t mLastTicket = 0;
};

} // namespace rattandyke::gateway
