// Part of RequestHandler that controls the use of the host's link.
#include "gateway/request_handler.h"

#include <algorithm>

#include "http/signal.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using http::kAwait;
using scheduling::LinkDirection;
using scheduling::LinkUse;

/// Interval at which a response that waits for the link checks whether it may
/// be written. Waits are shorter unless the link is slower than configured.
constexpr std::chrono::seconds kEgressCheckInterval{ 2 };

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
}

asio::awaitable<CallerResponse>
RequestHandler::RunIfLinkAdmits(RequestProgress& aProgress)
{
  const size_t expected = mResponseSizes.Expected(aProgress.route->name);
  const auto retryAfter =
    mLinkBudget.Admit(aProgress.route->priority,
                      ApproximateBytes(*aProgress.request),
                      expected,
                      Duration(aProgress.route->timeout),
                      mClock.Now());
  if (retryAfter) {
    mMetrics.Increment("link_refusals", "");
    co_return NotExecutedResponse(aProgress, *retryAfter, "the link is full");
  }
  CallerResponse response = co_await RunAttempts(aProgress);
  // Admit() has counted the expected bytes. An upstream's response has a
  // sendBy; otherwise no response has arrived.
  if (response.sendBy > Instant{}) {
    mResponseSizes.Record(aProgress.route->name,
                          response.fields.size() + response.body.size());
  } else {
    mLinkBudget.Release(expected);
  }
  co_return response;
}

} // namespace rattandyke::gateway
