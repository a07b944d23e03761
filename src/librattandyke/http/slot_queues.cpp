#include "http/slot_queues.h"

#include <map>
#include <mutex>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "log/log.h"

namespace rattandyke::http {

namespace asio = boost::asio;
using admission::Ticket;

namespace {

constexpr std::chrono::seconds kForgetAfter{ 60 };
constexpr std::string_view kDefaultPolicy = "fair";

/// A life of an upstream: a new incarnation starts with empty slots.
struct UpstreamLife
{
  std::string service;
  std::string name;
  uint64_t incarnation = 0;
  auto operator<=>(const UpstreamLife&) const = default; // NOLINT(*-nullptr)
};

std::unique_ptr<admission::Admission>
MakeAdmission(const records::ServiceRecord& aRecord, uint32_t aSlots)
{
  admission::Settings settings;
  settings.slots = aSlots;
  settings.maxQueueTime = aRecord.maxQueueTime;
  auto made =
    admission::AdmissionRegistry::Make(aRecord.admissionPolicy, settings);
  if (!made) {
    // Records are checked when submitted; a host of another version may still
    // not know the policy, and refusing every request would be worse.
    log::Line(log::Part::Entry, log::Severity::Warning)
      << made.error().message << " Service " << aRecord.name.value << " uses '"
      << kDefaultPolicy << "'.";
    made = admission::AdmissionRegistry::Make(kDefaultPolicy, settings);
  }
  return std::move(made.value());
}

Ticket
TicketOf(const SlotAnswer& aAnswer)
{
  return std::visit([](const auto& aEach) { return aEach.ticket; }, aAnswer);
}

/// The queue of one upstream. Its mutex is never held while another is taken
/// or a callback runs.
class Queue : public std::enable_shared_from_this<Queue>
{
public:
  using Callback = std::function<void(SlotAnswer)>;

  Queue(const asio::any_io_executor& aExecutor,
        const Clock& aClock,
        std::unique_ptr<admission::Admission> aAdmission)
    : mClock(aClock)
    , mAdmission(std::move(aAdmission))
    , mTimer(aExecutor)
  {
  }

  /// @return the offer's own answer, if it came at once; the callback is kept
  /// only if not.
  std::optional<SlotAnswer> Offer(admission::Offer aOffer, Callback aOnAnswer)
  {
    const Ticket own = aOffer.ticket;
    std::optional<SlotAnswer> ownAnswer;
    Answers answers;
    {
      const std::lock_guard lock(mMutex);
      mLastUse = mClock.Now();
      ownAnswer = StepLocked(std::move(aOffer), own, answers);
      if (!ownAnswer) {
        mCallbacks.emplace(own, std::move(aOnAnswer));
      }
    }
    CallBack(answers);
    return ownAnswer;
  }

  void Post(const admission::Event& aEvent)
  {
    Answers answers;
    {
      const std::lock_guard lock(mMutex);
      if (const auto* left = std::get_if<admission::Left>(&aEvent)) {
        mCallbacks.erase(left->ticket);
      }
      StepLocked(aEvent, std::nullopt, answers);
    }
    CallBack(answers);
  }

  void SetSlots(uint32_t aSlots)
  {
    {
      const std::lock_guard lock(mMutex);
      if (aSlots == mSlots) {
        return;
      }
      mSlots = aSlots;
    }
    Post(admission::Slots{ aSlots });
  }

  bool IsUnused(Instant aNow) const
  {
    const std::lock_guard lock(mMutex);
    return mAdmission->Queued() == 0 && mAdmission->Running() == 0 &&
           aNow - mLastUse > kForgetAfter;
  }

private:
  using Answers = std::vector<std::pair<SlotAnswer, Callback>>;

  static void CallBack(const Answers& aAnswers)
  {
    for (const auto& [answer, callback] : aAnswers) {
      callback(answer);
    }
  }

  /// @param aOwn     ticket whose answer is returned in place of called back.
  /// @param aAnswers to be called back once the lock is given up.
  std::optional<SlotAnswer> StepLocked(const admission::Event& aEvent,
                                       std::optional<Ticket> aOwn,
                                       Answers& aAnswers)
  {
    std::optional<SlotAnswer> own;
    for (SlotAnswer& answer : mAdmission->Step(aEvent, mClock.Now())) {
      if (TicketOf(answer) == aOwn) {
        own = answer;
        continue;
      }
      const auto found = mCallbacks.find(TicketOf(answer));
      if (found != mCallbacks.end()) {
        aAnswers.emplace_back(answer, std::move(found->second));
        mCallbacks.erase(found);
      }
    }
    ArmLocked();
    return own;
  }

  void ArmLocked()
  {
    const auto next = mAdmission->NextTick();
    if (!next || (mArmed && *mArmed <= *next)) {
      return;
    }
    mArmed = *next;
    mTimer.expires_at(*next);
    mTimer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& aError) {
        if (const auto self = weak.lock(); self && !aError) {
          self->OnTimer();
        }
      });
  }

  void OnTimer()
  {
    {
      const std::lock_guard lock(mMutex);
      mArmed.reset();
    }
    Post(admission::Tick{});
  }

  const Clock& mClock;
  mutable std::mutex mMutex;
  std::unique_ptr<admission::Admission> mAdmission;
  std::unordered_map<Ticket, Callback> mCallbacks;
  asio::steady_timer mTimer;
  std::optional<Instant> mArmed;
  Instant mLastUse{};
  uint32_t mSlots = 0;
};

class Place final : public SlotPlace
{
public:
  Place(std::shared_ptr<Queue> aQueue, Ticket aTicket)
    : mQueue(std::move(aQueue))
    , mTicket(aTicket)
  {
  }

  void Finish(admission::Ending aEnding,
              Duration aServiceTime,
              Duration aRetryAfter) override
  {
    mQueue->Post(
      admission::Finished{ mTicket, aEnding, aServiceTime, aRetryAfter });
  }

  void Leave() override { mQueue->Post(admission::Left{ mTicket }); }

private:
  std::shared_ptr<Queue> mQueue;
  Ticket mTicket;
};

} // namespace

struct SlotQueues::Impl
{
  Impl(asio::any_io_executor aExecutor, const Clock& aClock)
    : executor(std::move(aExecutor))
    , clock(aClock)
  {
  }

  std::shared_ptr<Queue> QueueOf(const routing::UpstreamView& aUpstream,
                                 const records::ServiceRecord& aRecord)
  {
    const std::lock_guard lock(mutex);
    UpstreamLife life{ aUpstream.service.value,
                       aUpstream.name.value,
                       aUpstream.incarnation };
    auto& queue = queues[std::move(life)];
    if (!queue) {
      queue = std::make_shared<Queue>(
        executor, clock, MakeAdmission(aRecord, aUpstream.slots));
    }
    return queue;
  }

  const asio::any_io_executor executor;
  const Clock& clock;
  std::atomic<uint64_t> lastTicket{ 0 };
  std::mutex mutex; // guards queues
  std::map<UpstreamLife, std::shared_ptr<Queue>> queues;
};

SlotQueues::SlotQueues(asio::any_io_executor aExecutor, const Clock& aClock)
  : mImpl(std::make_unique<Impl>(std::move(aExecutor), aClock))
{
}

SlotQueues::~SlotQueues() = default;

SlotQueues::Offered
SlotQueues::Offer(const routing::UpstreamView& aUpstream,
                  uint32_t aSlots,
                  const records::ServiceRecord& aRecord,
                  Request aRequest,
                  std::function<void(SlotAnswer)> aOnAnswer)
{
  auto queue = mImpl->QueueOf(aUpstream, aRecord);
  queue->SetSlots(std::min(aSlots, aUpstream.slots));
  const Ticket ticket{ ++mImpl->lastTicket };
  auto answer = queue->Offer({ ticket,
                               std::move(aRequest.customer),
                               aRequest.share,
                               aRequest.admitBy,
                               aRequest.deadline,
                               aRequest.idempotent },
                             std::move(aOnAnswer));
  return { std::make_shared<Place>(std::move(queue), ticket), answer };
}

void
SlotQueues::Sweep(Instant aNow)
{
  const std::lock_guard lock(mImpl->mutex);
  std::erase_if(mImpl->queues, [&](const auto& aEach) {
    return aEach.second->IsUnused(aNow);
  });
}

} // namespace rattandyke::http
