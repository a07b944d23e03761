#include "http/slot_queues.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

#include "http/make_admission.h"
#include "http/upstream_queue.h"

namespace rattandyke::http {

namespace asio = boost::asio;
using admission::Ticket;

namespace {

/// Of each entry while the home of an upstream is silent: with more, all
/// entries together would bring several times its slots.
constexpr uint32_t kSlotsWithoutHome = 1;

class Place final : public SlotPlace
{
public:
  Place(std::shared_ptr<UpstreamQueue> aQueue, Ticket aTicket)
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

  void RecordRateLimit(std::optional<double> aRequestsPerSecond) override
  {
    mQueue->RecordRateLimit(aRequestsPerSecond);
  }

  void Leave() override { mQueue->Post(admission::Left{ mTicket }); }

private:
  std::shared_ptr<UpstreamQueue> mQueue;
  Ticket mTicket;
};

} // namespace

struct SlotQueues::Impl
{
  Impl(asio::any_io_executor aExecutor, const Clock& aClock, EntryHost& aHost)
    : executor(std::move(aExecutor))
    , clock(aClock)
    , host(aHost)
  {
  }

  std::shared_ptr<UpstreamQueue> QueueOf(const routing::UpstreamView& aUpstream,
                                         const records::ServiceRecord& aRecord)
  {
    const std::lock_guard lock(mutex);
    UpstreamLife life{ aUpstream.service.value,
                       aUpstream.name.value,
                       aUpstream.incarnation };
    auto& queue = queues[life];
    if (!queue) {
      const bool hasHome = !aUpstream.home.value.empty();
      const uint32_t localSlots =
        hasHome ? std::min(kSlotsWithoutHome, aUpstream.slots)
                : aUpstream.slots;
      queue = std::make_shared<UpstreamQueue>(
        executor,
        clock,
        host,
        std::move(life),
        localSlots,
        entry::CreditClient::Settings{ .hasHome = hasHome },
        MakeAdmission(aRecord, localSlots));
    }
    return queue;
  }

  std::shared_ptr<UpstreamQueue> FindQueue(const UpstreamLife& aLife)
  {
    const std::lock_guard lock(mutex);
    const auto queue = queues.find(aLife);
    return queue == queues.end() ? nullptr : queue->second;
  }

  const asio::any_io_executor executor;
  const Clock& clock;
  EntryHost& host;
  std::atomic<uint64_t> lastTicket{ 0 };
  std::mutex mutex; // guards queues
  std::map<UpstreamLife, std::shared_ptr<UpstreamQueue>> queues;
};

SlotQueues::SlotQueues(asio::any_io_executor aExecutor,
                       const Clock& aClock,
                       EntryHost& aHost)
  : mImpl(std::make_unique<Impl>(std::move(aExecutor), aClock, aHost))
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
  const Ticket ticket{ ++mImpl->lastTicket };
  auto answer = queue->Offer(aUpstream.home,
                             std::min(aSlots, aUpstream.slots),
                             { ticket,
                               std::move(aRequest.customer),
                               aRequest.share,
                               aRequest.admitBy,
                               aRequest.deadline,
                               aRequest.idempotent },
                             std::move(aOnAnswer));
  return { std::make_shared<Place>(std::move(queue), ticket), answer };
}

void
SlotQueues::Handle(const HostName& aFrom, const wire::CreditAnswer& aMessage)
{
  if (const auto queue = mImpl->FindQueue(LifeOf(aMessage))) {
    queue->Handle(aFrom, aMessage);
  }
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
