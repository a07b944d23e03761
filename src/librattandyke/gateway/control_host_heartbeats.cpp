// Heartbeats that followers read and the leader decides.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "base/endpoint.h"
#include "gateway/control_host_impl.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Time for which heartbeats, and answers to them, are gathered. Some thousand
/// upstreams send one in each millisecond or two.
constexpr milliseconds kGatherTime{ 5 };
constexpr unsigned kOk = 200;
/// Heartbeats of a host that wait for the leader. What more comes is refused
/// here: a leader that is behind would spend its time on refusals, and each
/// refused upstream calls again.
constexpr size_t kMostForwarded = 256;

Result<HeartbeatAnswer>
Behind()
{
  return Fail(Code::Overloaded, "The leader is behind with heartbeats.");
}

} // namespace

/// Each upstream keeps to the control host that it has found, so that no host
/// has the connections of all. Control hosts read heartbeats and word answers;
/// the leader gets in one message what came in a few milliseconds.
asio::awaitable<HttpResponse>
ControlHost::Impl::ForwardHeartbeat(HostName aLeader,
                                    const Heartbeat& aHeartbeat)
{
  if (forwardedHeartbeats.size() >= kMostForwarded) {
    metrics.Increment("heartbeats_refused", "");
    co_return Encoded(Behind());
  }
  const uint64_t id = ++lastCall;
  auto awaited = std::make_shared<Awaited<Result<HeartbeatAnswer>>>(executor);
  forwardedHeartbeats[id] = awaited;
  if (heartbeatsFor != aLeader) {
    FlushHeartbeats();
    heartbeatsFor = aLeader;
  }
  if (waitingHeartbeats.heartbeats_size() == 0) {
    heartbeatTimer.expires_after(kGatherTime);
    heartbeatTimer.async_wait([self = weak_from_this()](auto aError) {
      const auto host = self.lock();
      if (host && !aError) {
        host->FlushHeartbeats();
      }
    });
  }
  *waitingHeartbeats.add_heartbeats() = ToWire(aHeartbeat, id);
  co_await awaited->timer.async_wait(kAwait);
  forwardedHeartbeats.erase(id);
  co_return Encoded(awaited->value.value_or(
    Fail(Code::NoQuorum, "The leader does not answer.")));
}

void
ControlHost::Impl::FlushHeartbeats()
{
  if (waitingHeartbeats.heartbeats_size() == 0) {
    return;
  }
  wire::GatewayFrame frame;
  *frame.mutable_forwarded_heartbeats() = std::exchange(waitingHeartbeats, {});
  frame.mutable_forwarded_heartbeats()->set_reply_to(self.value);
  mesh->Send(heartbeatsFor, frame.SerializeAsString());
}

void
ControlHost::Impl::OnForwardedHeartbeats(
  const wire::ForwardedHeartbeats& aBatch)
{
  const bool idle = heartbeatQueue.IsEmpty();
  const HostName replyTo{ aBatch.reply_to() };
  for (const wire::ForwardedHeartbeat& heartbeat : aBatch.heartbeats()) {
    if (!heartbeatQueue.Add({ replyTo, heartbeat, clock.Now() })) {
      QueueAnswer(replyTo, heartbeat.id(), Behind());
    }
  }
  if (idle) {
    TakeHeartbeats();
  }
}

void
ControlHost::Impl::TakeHeartbeats()
{
  HeartbeatQueue::Batch slice = heartbeatQueue.TakeBatch(clock.Now());
  for (HeartbeatQueue::Pending& waiting : slice.toProcess) {
    asio::co_spawn(executor,
                   DecideForwarded(shared_from_this(),
                                   std::move(waiting.replyTo),
                                   std::move(waiting.heartbeat)),
                   asio::detached);
  }
  for (const HeartbeatQueue::Pending& waiting : slice.toReject) {
    QueueAnswer(waiting.replyTo, waiting.heartbeat.id(), Behind());
  }
  if (!heartbeatQueue.IsEmpty()) {
    asio::post(executor, [self = weak_from_this()] {
      if (const auto host = self.lock()) {
        host->TakeHeartbeats();
      }
    });
  }
}

asio::awaitable<void>
ControlHost::Impl::DecideForwarded(std::shared_ptr<Impl> aSelf,
                                   HostName aReplyTo,
                                   wire::ForwardedHeartbeat aHeartbeat)
{
  Result<HeartbeatAnswer> answer =
    Fail(Code::NoQuorum, "This host does not lead.");
  if (aSelf->driver->IsLeader()) {
    const Heartbeat heartbeat = FromWire(aHeartbeat);
    answer = co_await aSelf->Decide(heartbeat);
  }
  aSelf->QueueAnswer(aReplyTo, aHeartbeat.id(), answer);
}

void
ControlHost::Impl::QueueAnswer(const HostName& aReplyTo,
                               uint64_t aId,
                               const Result<HeartbeatAnswer>& aAnswer)
{
  if (waitingAnswers.empty()) {
    answerTimer.expires_after(kGatherTime);
    answerTimer.async_wait([self = weak_from_this()](auto aError) {
      const auto host = self.lock();
      if (host && !aError) {
        host->FlushAnswers();
      }
    });
  }
  *waitingAnswers[aReplyTo].add_answers() = ToWire(aAnswer, aId);
}

void
ControlHost::Impl::FlushAnswers()
{
  for (auto& [host, answers] : std::exchange(waitingAnswers, {})) {
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
    const auto found = forwardedHeartbeats.find(answer.id());
    if (found != forwardedHeartbeats.end()) {
      found->second->Set(FromWire(answer));
    }
  }
}

HttpResponse
ControlHost::Impl::Encoded(Result<HeartbeatAnswer> aAnswer) const
{
  if (!aAnswer) {
    return Refused(aAnswer.error());
  }
  aAnswer->heartbeatAddress = ToString(*settings.calls);
  return { kOk, dialect.Encode(*aAnswer), "application/json" };
}

} // namespace rattandyke::gateway
