// Part of SlotCoordinator that applies the dispatch policy.
#include "gateway/slot_coordinator.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using scheduling::AskAllocator;
using scheduling::DispatchReason;
using scheduling::DispatchResult;
using scheduling::RefuseAtOnce;
using scheduling::SendDirect;

DispatchResult
ResultOf(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Answered:
      return DispatchResult::Answered;
    case AttemptOutcome::Refused:
      return DispatchResult::Refused;
    case AttemptOutcome::Unreachable:
    case AttemptOutcome::Broken:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::Misdirected:
      return DispatchResult::Failed;
    case AttemptOutcome::Abandoned:
      return DispatchResult::Unknown;
  }
  return DispatchResult::Unknown;
}

} // namespace

scheduling::DispatchDecision
SlotCoordinator::Decide(const SlotRequest& aRequest)
{
  const Instant now = mClock.Now();
  const scheduling::DispatchRequest request{ aRequest.service,
                                             aRequest.instance,
                                             aRequest.idempotent,
                                             mBroker.Upstreams().AcceptsDirect(
                                               aRequest.instance, now),
                                             aRequest.priority,
                                             aRequest.statedTime,
                                             aRequest.statedTimeLeft,
                                             HasRecentState() };
  return std::visit([&](auto& aPolicy) { return aPolicy.Decide(request, now); },
                    mDispatch);
}

void
SlotCoordinator::CountDecision(std::string_view aDecision,
                               DispatchReason aReason)
{
  if (aReason != DispatchReason::Coordinated) {
    ++mDispatchCounts["decision=\"" + std::string(aDecision) + "\",reason=\"" +
                      std::string(NameOf(aReason)) + "\""];
  }
}

void
SlotCoordinator::RecordResult(const std::string& aInstance,
                              AttemptOutcome aOutcome)
{
  std::visit(
    [&](auto& aPolicy) {
      aPolicy.RecordResult(mBroker.Upstreams().ServiceOf(aInstance),
                           aInstance,
                           ResultOf(aOutcome),
                           mClock.Now());
    },
    mDispatch);
}

void
SlotCoordinator::ExcludeFromDirect(SlotRequest& aRequest) const
{
  const Instant now = mClock.Now();
  if (!aRequest.byResponseTime) {
    const auto limited = mBroker.Upstreams().RateLimitedInstances(now);
    aRequest.excluded.insert(limited.begin(), limited.end());
  }
  const auto failed =
    std::visit([&](const auto& aPolicy) { return aPolicy.RecentlyFailed(now); },
               mDispatch);
  aRequest.excluded.insert(failed.begin(), failed.end());
  ExcludeResting(aRequest);
}

asio::awaitable<std::optional<Slot>>
SlotCoordinator::AcquireDirect(std::shared_ptr<RequestContext> aContext,
                               SlotRequest aRequest)
{
  const UpstreamSet& upstreams = mBroker.Upstreams();
  const Instant now = mClock.Now();
  aRequest.rateShare = 0;
  if (aRequest.instance.empty()) {
    aRequest.direct = true;
    aRequest.byResponseTime = !upstreams.ReportsLoad(aRequest.service, now);
    ExcludeFromDirect(aRequest);
  } else {
    aRequest.group = upstreams.GroupOf(aRequest.instance);
    aRequest.uncoordinated = true;
    const auto choice =
      upstreams.ChooseOneUncoordinated(aRequest.instance, now);
    if (!std::holds_alternative<UpstreamSet::Choice>(choice)) {
      co_return std::nullopt; // The broker would queue the request.
    }
  }
  const auto outcome =
    co_await AcquireFrom({}, std::move(aContext), std::move(aRequest));
  const auto* slot = outcome ? std::get_if<Slot>(&*outcome) : nullptr;
  co_return slot == nullptr ? std::nullopt : std::optional(*slot);
}

asio::awaitable<SlotOutcome>
SlotCoordinator::AcquireByPolicy(std::shared_ptr<RequestContext> aContext,
                                 SlotRequest aRequest)
{
  const scheduling::DispatchDecision decision = Decide(aRequest);
  if (const auto* refusal = std::get_if<RefuseAtOnce>(&decision)) {
    CountDecision("refuse", DispatchReason::OverCapacity);
    co_return SlotUnavailable{ UpstreamSet::UnavailableReason::Full,
                               refusal->callerReturn.after,
                               *refusal };
  }
  if (std::holds_alternative<SendDirect>(decision)) {
    if (auto slot = co_await AcquireDirect(aContext, aRequest)) {
      CountDecision("direct", DispatchReason::LowDemand);
      co_return std::move(*slot);
    }
  }
  const auto* ask = std::get_if<AskAllocator>(&decision);
  CountDecision("ask", ask == nullptr ? DispatchReason::NoRoom : ask->reason);
  co_return co_await AcquireOfAny(std::move(aContext), std::move(aRequest));
}

} // namespace rattandyke::gateway
