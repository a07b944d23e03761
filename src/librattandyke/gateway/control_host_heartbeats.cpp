// Forwarding of heartbeats: followers decode them, the leader processes them.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "base/endpoint.h"
#include "gateway/call_names.h"
#include "gateway/control_host_impl.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Time for which heartbeats and their answers are batched. About a thousand
/// upstreams send a heartbeat every one or two milliseconds.
constexpr milliseconds kBatchDelay{ 5 };
constexpr unsigned kOk = 200;
/// Limit of heartbeats of one host that await the leader's answer. Further ones
/// are refused by this host. Otherwise an overloaded leader would spend its
/// time on refusals, and each refused upstream calls again.
constexpr size_t kMaxPendingHeartbeats = 256;

Result<HeartbeatAnswer>
LeaderOverloaded()
{
  return Fail(Code::Overloaded, "The leader is overloaded with heartbeats.");
}

} // namespace

/// Sends a heartbeat to the leader and waits for the answer. Each upstream
/// keeps its connection to one control host, so the connections are spread over
/// all of them. The control host decodes heartbeats and encodes answers; it
/// forwards the heartbeats of a few milliseconds to the leader in one message.
asio::awaitable<HttpResponse>
ControlHost::Impl::ForwardHeartbeat(HostName aLeader,
                                    const Heartbeat& aHeartbeat)
{
  if (pendingHeartbeats.size() >= kMaxPendingHeartbeats) {
    metrics.Increment("heartbeats_refused", "");
    co_return ToResponse(LeaderOverloaded());
  }
  const uint64_t id = requestIds.Next();
  auto pending =
    std::make_shared<PendingResult<Result<HeartbeatAnswer>>>(executor);
  pendingHeartbeats[id] = pending;
  if (heartbeatBatchLeader != aLeader) {
    FlushHeartbeats();
    heartbeatBatchLeader = aLeader;
  }
  if (heartbeatBatch.heartbeats_size() == 0) {
    heartbeatBatchTimer.expires_after(kBatchDelay);
    heartbeatBatchTimer.async_wait([self = weak_from_this()](auto aError) {
      const auto host = self.lock();
      if (host && !aError) {
        host->FlushHeartbeats();
      }
    });
  }
  *heartbeatBatch.add_heartbeats() = ToWire(aHeartbeat, id);
  co_await pending->timer.async_wait(kAwait);
  pendingHeartbeats.erase(id);
  co_return ToResponse(pending->value.value_or(
    Fail(Code::NoQuorum, "The leader did not answer in time.")));
}

void
ControlHost::Impl::FlushHeartbeats()
{
  if (heartbeatBatch.heartbeats_size() == 0) {
    return;
  }
  wire::GatewayFrame frame;
  *frame.mutable_forwarded_heartbeats() = std::exchange(heartbeatBatch, {});
  frame.mutable_forwarded_heartbeats()->set_reply_to(self.value);
  mesh->Send(heartbeatBatchLeader, frame.SerializeAsString());
}

/// Queues heartbeats that another control host received. Answers those that do
/// not fit into the queue with Code::Overloaded.
void
ControlHost::Impl::OnForwardedHeartbeats(
  const wire::ForwardedHeartbeats& aBatch)
{
  const bool wasEmpty = heartbeatQueue.IsEmpty();
  const HostName replyTo{ aBatch.reply_to() };
  for (const wire::ForwardedHeartbeat& heartbeat : aBatch.heartbeats()) {
    if (!heartbeatQueue.Add({ replyTo, heartbeat, clock.Now() })) {
      QueueAnswer(replyTo, heartbeat.id(), LeaderOverloaded());
    }
  }
  if (wasEmpty) {
    ProcessHeartbeatQueue();
  }
}

/// Processes one slice of the queue and posts itself for the rest, so that
/// other handlers run in between.
void
ControlHost::Impl::ProcessHeartbeatQueue()
{
  HeartbeatQueue::Batch slice = heartbeatQueue.TakeBatch(clock.Now());
  for (HeartbeatQueue::Pending& waiting : slice.toProcess) {
    asio::co_spawn(executor,
                   AnswerForwardedHeartbeat(shared_from_this(),
                                            std::move(waiting.replyTo),
                                            std::move(waiting.heartbeat)),
                   asio::detached);
  }
  for (const HeartbeatQueue::Pending& waiting : slice.toReject) {
    QueueAnswer(waiting.replyTo, waiting.heartbeat.id(), LeaderOverloaded());
  }
  if (!heartbeatQueue.IsEmpty()) {
    asio::post(executor, [self = weak_from_this()] {
      if (const auto host = self.lock()) {
        host->ProcessHeartbeatQueue();
      }
    });
  }
}

asio::awaitable<void>
ControlHost::Impl::AnswerForwardedHeartbeat(std::shared_ptr<Impl> aSelf,
                                            HostName aReplyTo,
                                            wire::ForwardedHeartbeat aHeartbeat)
{
  Result<HeartbeatAnswer> answer =
    Fail(Code::NoQuorum, "This host is not the leader.");
  if (aSelf->driver->IsLeader()) {
    const Heartbeat heartbeat = FromWire(aHeartbeat);
    const Result<void> checked = CheckNames(heartbeat);
    if (checked) {
      answer = co_await aSelf->ProcessHeartbeat(heartbeat);
    } else {
      // Hosts of earlier builds forward heartbeats with any names.
      answer = tl::unexpected(checked.error());
    }
  }
  aSelf->QueueAnswer(aReplyTo, aHeartbeat.id(), answer);
}

/// Adds an answer to the next batch for the control host that forwarded the
/// heartbeat.
void
ControlHost::Impl::QueueAnswer(const HostName& aReplyTo,
                               uint64_t aId,
                               const Result<HeartbeatAnswer>& aAnswer)
{
  if (answerBatches.empty()) {
    answerBatchTimer.expires_after(kBatchDelay);
    answerBatchTimer.async_wait([self = weak_from_this()](auto aError) {
      const auto host = self.lock();
      if (host && !aError) {
        host->FlushAnswers();
      }
    });
  }
  *answerBatches[aReplyTo].add_answers() = ToWire(aAnswer, aId);
}

void
ControlHost::Impl::FlushAnswers()
{
  for (auto& [host, answers] : std::exchange(answerBatches, {})) {
    wire::GatewayFrame frame;
    *frame.mutable_forwarded_heartbeat_answers() = answers;
    mesh->Send(host, frame.SerializeAsString());
  }
}

void
ControlHost::Impl::OnForwardedHeartbeatAnswers(
  const wire::ForwardedHeartbeatAnswers& aBatch)
{
  for (const wire::ForwardedHeartbeatAnswer& answer : aBatch.answers()) {
    const auto found = pendingHeartbeats.find(answer.id());
    if (found != pendingHeartbeats.end()) {
      found->second->Complete(FromWire(answer));
    }
  }
}

/// Encodes an answer, which names this host as the address of later heartbeats.
HttpResponse
ControlHost::Impl::ToResponse(Result<HeartbeatAnswer> aAnswer) const
{
  if (!aAnswer) {
    return ErrorResponse(aAnswer.error());
  }
  aAnswer->heartbeatAddress = ToString(*settings.calls);
  return { kOk, dialect.Encode(*aAnswer), "application/json" };
}

} // namespace rattandyke::gateway
