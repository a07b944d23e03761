// Part of RequestHandler that controls the use of the host's link.
#include "gateway/request_handler.h"

#include <algorithm>

#include "http/signal.h"
#include "log/log.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using http::kAwait;
using scheduling::LinkDirection;
using scheduling::LinkUse;

/// Interval at which a response that waits for the link checks whether it may
/// be written. Waits are shorter unless the link is slower than configured.
constexpr std::chrono::seconds kEgressCheckInterval{ 2 };

constexpr unsigned kUnavailable = 503;
constexpr const char* kLinkFull = "the link is full";

int64_t
Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

asio::awaitable<void>
RequestHandler::AwaitSendTurn(std::shared_ptr<RequestContext> aContext,
                              size_t aBytes,
                              Instant aSendBy,
                              Instant aSendAtLatest)
{
  const Instant entered = mClock.Now();
  const EgressQueue::Ticket ticket = ++mLastEgressTicket;
  if (mEgressQueue.Enqueue(ticket, aBytes, aSendBy, entered)) {
    co_return;
  }
  mEgressWaiters[ticket] = aContext;
  ArmEgressTimer();
  for (Instant now = entered; now < aSendAtLatest;) {
    aContext->WakeTimer().expires_after(
      std::min<Duration>(kEgressCheckInterval, aSendAtLatest - now));
    co_await aContext->WakeTimer().async_wait(kAwait);
    if (!mEgressWaiters.contains(ticket) || aContext->IsCancelled()) {
      break;
    }
    now = mClock.Now();
  }
  if (mEgressWaiters.erase(ticket) > 0) {
    mEgressQueue.Remove(ticket);
    RecordSent(aBytes);
  }
  mMetrics.Observe("egress_wait", mClock.Now() - entered);
}

void
RequestHandler::ArmEgressTimer()
{
  mEgressTimer.expires_after(
    std::max(mEgressQueue.NextReadyTime() - mClock.Now(), Duration::zero()));
  mEgressTimer.async_wait([this](auto aError) {
    if (aError) {
      return;
    }
    for (const EgressQueue::Ticket ticket :
         mEgressQueue.PopReady(mClock.Now())) {
      const auto found = mEgressWaiters.find(ticket);
      if (found != mEgressWaiters.end()) {
        found->second->WakeTimer().cancel();
        mEgressWaiters.erase(found);
      }
    }
    if (!mEgressQueue.IsEmpty()) {
      ArmEgressTimer();
    }
  });
}

size_t
RequestHandler::ApproximateBytes(const UpstreamRequest& aRequest)
{
  return aRequest.fields.size() + aRequest.body.size() + kRequestLineBytes;
}

size_t
RequestHandler::ApproximateBytes(const CallerResponse& aResponse)
{
  return aResponse.fields.size() + aResponse.body.size() + kRequestLineBytes;
}

void
RequestHandler::SetLinkMetrics()
{
  for (const LinkUse use : scheduling::kAllLinkUses) {
    for (const LinkDirection direction :
         { LinkDirection::In, LinkDirection::Out }) {
      const auto& total = mLinkMeter.Total(use, direction);
      const std::string label =
        "use=\"" + std::string(scheduling::NameOf(use)) + "\",direction=\"" +
        std::string(scheduling::NameOf(direction)) + "\"";
      mMetrics.SetTotal("link_bytes", label, total.bytes);
      mMetrics.SetTotal("link_messages", label, total.messages);
    }
  }
  if (const auto* admission =
        std::get_if<scheduling::LinkAdmission>(&mLinkPolicy)) {
    SetLinkAdmissionMetrics(*admission);
  }
}

void
RequestHandler::SetLinkAdmissionMetrics(
  const scheduling::LinkAdmission& aAdmission)
{
  const Instant now = mClock.Now();
  const auto set = [&](std::string_view aName, Duration aDelay) {
    mMetrics.Set(aName, std::chrono::duration<double>(aDelay).count());
  };
  set("link_queue_in_seconds",
      aAdmission.ModelledDelay(LinkDirection::In, now));
  set("link_queue_out_seconds",
      aAdmission.ModelledDelay(LinkDirection::Out, now));
  set("link_measured_queue_seconds", aAdmission.Prober().ReceiveDelay(now));
  const scheduling::LinkProber::Counts& ended = aAdmission.Prober().Ended();
  mMetrics.SetTotal("link_probes", "end=\"answered\"", ended.answered);
  mMetrics.SetTotal("link_probes", "end=\"invalidated\"", ended.invalidated);
  mMetrics.SetTotal("link_probes", "end=\"unanswered\"", ended.unanswered);
}

RequestHandler::LinkPolicy
RequestHandler::MakeLinkPolicy(const Options& aOptions,
                               const scheduling::LinkMeter& aLinkMeter)
{
  if (aOptions.linkAdmission == LinkAdmission::Transfer) {
    return scheduling::LinkAdmission(
      aOptions.linkBytesPerSecond, aLinkMeter, aOptions.seed);
  }
  return LinkBudget(aOptions.linkBytesPerSecond);
}

void
RequestHandler::RecordRequestBytes(size_t aBytes, Instant aArrived)
{
  // scheduling::LinkAdmission reads these bytes from the LinkMeter.
  if (auto* budget = std::get_if<LinkBudget>(&mLinkPolicy)) {
    budget->RecordReceived(aBytes, aArrived);
  }
}

std::optional<uint64_t>
RequestHandler::Tick(std::optional<uint64_t> aConnection)
{
  auto* admission = std::get_if<scheduling::LinkAdmission>(&mLinkPolicy);
  if (admission == nullptr) {
    return std::nullopt;
  }
  const Instant now = mClock.Now();
  return admission->Tick(aConnection, mEgressQueue.SendDelay(now), now);
}

void
RequestHandler::OnProbeReply(uint64_t aId)
{
  if (auto* admission = std::get_if<scheduling::LinkAdmission>(&mLinkPolicy)) {
    admission->OnProbeReply(aId, mClock.Now());
  }
}

asio::awaitable<CallerResponse>
RequestHandler::RunIfLinkAdmits(RequestProgress& aProgress)
{
  return std::visit(
    [&](auto& aPolicy) { return RunIfAdmitted(aPolicy, aProgress); },
    mLinkPolicy);
}

asio::awaitable<CallerResponse>
RequestHandler::RunIfAdmitted(LinkBudget& aBudget, RequestProgress& aProgress)
{
  const size_t expected = mResponseSizes.Expected(aProgress.route->name);
  const auto retryAfter = aBudget.Admit(aProgress.route->priority,
                                        ApproximateBytes(*aProgress.request),
                                        expected,
                                        Duration(aProgress.route->timeout),
                                        mClock.Now());
  if (retryAfter) {
    mMetrics.Increment("link_refusals", "");
    co_return NotExecutedResponse(aProgress, *retryAfter, kLinkFull);
  }
  CallerResponse response = co_await RunAttempts(aProgress);
  // Admit() has counted the expected bytes. An upstream's response has a
  // sendBy; otherwise no response has arrived.
  if (response.sendBy > Instant{}) {
    mResponseSizes.Record(aProgress.route->name,
                          response.fields.size() + response.body.size());
  } else {
    aBudget.Release(expected);
  }
  co_return response;
}

asio::awaitable<CallerResponse>
RequestHandler::RunIfAdmitted(scheduling::LinkAdmission& aAdmission,
                              RequestProgress& aProgress)
{
  const Instant now = mClock.Now();
  scheduling::LinkRequest request;
  request.route = aProgress.route->name;
  request.priority = aProgress.route->priority;
  request.requestBytes = ApproximateBytes(*aProgress.request);
  request.responseBytes = mResponseSizes.Expected(aProgress.route->name);
  request.objective = aProgress.route->objective;
  request.age = now - aProgress.arrived;
  request.timeLeft = aProgress.deadline - now;
  request.timeout = aProgress.route->timeout;
  const auto decision = aAdmission.Decide(request, now);
  if (const auto* refusal = std::get_if<scheduling::LinkRefusal>(&decision)) {
    co_return LinkRefusedResponse(aProgress, *refusal);
  }
  const auto reservation = std::get<scheduling::LinkReservation>(decision);
  CallerResponse response = co_await RunAttempts(aProgress);
  scheduling::LinkOutcome outcome;
  outcome.attempts = aProgress.sentAttempts;
  outcome.callerBytes = ApproximateBytes(response);
  // Only an upstream's response has a sendBy.
  if (response.sendBy > Instant{}) {
    const size_t bytes = response.fields.size() + response.body.size();
    mResponseSizes.Record(aProgress.route->name, bytes);
    outcome.upstreamBytes = bytes;
  }
  aAdmission.Settle(request, reservation, outcome, mClock.Now());
  co_return response;
}

/// Writes one log line with everything, instead of that of
/// NotExecutedResponse(): in an overload, a host with a fraction of a core
/// refuses hundreds of requests per second.
CallerResponse
RequestHandler::LinkRefusedResponse(const RequestProgress& aProgress,
                                    const scheduling::LinkRefusal& aRefusal)
{
  const std::string& id = aProgress.request->requestId;
  const std::string_view reason = scheduling::NameOf(aRefusal.reason);
  mMetrics.Increment("link_refusals", "reason=\"" + std::string(reason) + "\"");
  log::Line(log::Part::Entry, log::Severity::Info, id)
    << "request not run route=" << aProgress.route->name
    << " service=" << aProgress.service << " reason=" << kLinkFull
    << " refusal=" << reason
    << " queue_in_ms=" << Milliseconds(aRefusal.queueIn)
    << " queue_out_ms=" << Milliseconds(aRefusal.queueOut)
    << " bytes_in=" << aRefusal.bytesIn << " bytes_out=" << aRefusal.bytesOut
    << " delay_ms=" << Milliseconds(aRefusal.linkDelay)
    << " limit_ms=" << Milliseconds(aRefusal.delayLimit)
    << " left_ms=" << Milliseconds(aProgress.deadline - mClock.Now())
    << " retry_after_ms=" << Milliseconds(aRefusal.retryAfter);
  return MakeResponse(kUnavailable, id, kLinkFull, aRefusal.retryAfter);
}

} // namespace rattandyke::gateway
