// What requests and answers take of the host's link.
#include "gateway/request_handler.h"

#include <algorithm>

#include "http/signal.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using http::kAwait;

/// Longest time for which an answer waits for the link; no answer does, unless
/// the link is slower than it is taken for.
constexpr std::chrono::seconds kLongestEgress{ 2 };

} // namespace

asio::awaitable<void>
RequestHandler::AwaitEgress(std::shared_ptr<RequestContext> aContext,
                            size_t aBytes,
                            Instant aDue)
{
  const Instant entered = mClock.Now();
  const EgressQueue::Ticket ticket = ++mLastEgress;
  if (mEgress.Enter(ticket, aBytes, aDue, entered)) {
    co_return;
  }
  mAwaitEgress[ticket] = aContext;
  WatchEgress();
  while (mAwaitEgress.contains(ticket) && !aContext->IsCancelled()) {
    aContext->WakeTimer().expires_after(kLongestEgress);
    co_await aContext->WakeTimer().async_wait(kAwait);
  }
  if (mAwaitEgress.erase(ticket) > 0) {
    mEgress.Leave(ticket);
    RecordSent(aBytes);
  }
  mMetrics.Observe("egress_wait", mClock.Now() - entered);
}

void
RequestHandler::WatchEgress()
{
  mEgressTimer.expires_after(
    std::max(mEgress.NextAt() - mClock.Now(), Duration::zero()));
  mEgressTimer.async_wait([this](auto aError) {
    if (aError) {
      return;
    }
    for (const EgressQueue::Ticket ticket : mEgress.TakeReady(mClock.Now())) {
      const auto found = mAwaitEgress.find(ticket);
      if (found != mAwaitEgress.end()) {
        found->second->WakeTimer().cancel();
        mAwaitEgress.erase(found);
      }
    }
    if (!mEgress.IsEmpty()) {
      WatchEgress();
    }
  });
}

size_t
RequestHandler::BytesOf(const UpstreamRequest& aRequest)
{
  return aRequest.fields.size() + aRequest.body.size() + kRequestLine;
}

asio::awaitable<CallerResponse>
RequestHandler::RunIfRoom(Flow& aFlow)
{
  const size_t expected = mSizes.Of(aFlow.route->name);
  const auto wait = mLink.Admit(aFlow.route->priority,
                                BytesOf(*aFlow.request),
                                expected,
                                Duration(aFlow.route->timeout),
                                mClock.Now());
  if (wait) {
    mMetrics.Increment("link_refusals", "");
    co_return NotRun(aFlow, *wait, "the link is full");
  }
  CallerResponse answer = co_await Run(aFlow);
  // What came has been counted as expected; a refusal has brought nothing.
  if (answer.due > Instant{}) {
    mSizes.Note(aFlow.route->name, answer.fields.size() + answer.body.size());
  } else {
    mLink.GiveBack(expected);
  }
  co_return answer;
}

} // namespace rattandyke::gateway
