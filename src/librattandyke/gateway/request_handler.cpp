#include "gateway/request_handler.h"

#include <algorithm>

#include "gateway/key_load_map.h"
#include "gateway/retry_share.h"
#include "gateway/slot_metrics.h"
#include "http/headers.h"
#include "http/signal.h"
#include "log/log.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using http::kAwait;
using scheduling::LinkDirection;
using scheduling::LinkUse;
using std::chrono::milliseconds;

/// Share of a route's latency objective for which a request waits for a slot or
/// for an owner of its key. A request that waits longer is seldom in time; if
/// it is rejected, its caller can use the remaining time for a retry.
constexpr double kMaxWaitShare = 0.6;
/// Retry-After values, by the reason for which a request has not run.
constexpr milliseconds kRetryAfterNoOwner{ 400 };
/// The caller's next request is likely to reach another host.
constexpr milliseconds kRetryAfterNoPath{ 100 };
/// Remaining time below which a request is not retried and waits for no slot.
constexpr milliseconds kMinAttemptTime{ 15 };
/// Maximum number of attempts of a request in which nothing was sent, including
/// changes of its key's owner while it waited for a slot.
constexpr int kMaxUnsentAttempts = 6;

log::Line
LogLine(const std::string& aId)
{
  return { log::Part::Entry, log::Severity::Info, aId };
}

int64_t
Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

std::string_view
AttemptLabel(AttemptResult::Kind aKind)
{
  switch (aKind) {
    case AttemptResult::Kind::Response:
      return "end=\"answer\"";
    case AttemptResult::Kind::NotExecuted:
      return "end=\"not_run\"";
    case AttemptResult::Kind::NotSent:
      return "end=\"not_sent\"";
    case AttemptResult::Kind::OutcomeUnknown:
      return "end=\"unknown\"";
  }
  return {};
}

} // namespace

RequestHandler::RequestHandler(const asio::any_io_executor& aExecutor,
                               Options aOptions,
                               const FeedClient& aFeed,
                               SlotCoordinator& aSlots,
                               const Dialect& aDialect,
                               scheduling::LinkMeter& aLinkMeter,
                               MemoryBudget& aBodies,
                               RequestRelay::Send aSendToHost,
                               const Clock& aClock)
  : mExecutor(aExecutor)
  , mOptions(std::move(aOptions))
  , mFeed(aFeed)
  , mDialect(aDialect)
  , mHeaders(aDialect.Headers())
  , mLinkMeter(aLinkMeter)
  , mBodies(aBodies)
  , mClock(aClock)
  , mSlots(aSlots)
  , mUpstreamClient(aExecutor,
                    mHeaders,
                    aBodies,
                    aClock,
                    [this](size_t aBytes) {
                      RecordSent(aBytes);
                      RecordTraffic(
                        LinkUse::Upstreams, LinkDirection::Out, aBytes);
                    })
  , mReach(mOptions.seed)
  , mRelay(aExecutor,
           RelayPeers(mOptions.address, mOptions.dataCentre, mOptions.seed),
           std::move(aSendToHost),
           aClock)
  , mRelayServer(aExecutor, *this, aBodies)
  , mLinkPolicy(MakeLinkPolicy(mOptions, aLinkMeter))
  , mEgressQueue(mOptions.linkBytesPerSecond)
  , mEgressTimer(aExecutor)
{
}

void
RequestHandler::StateChanged(const wire::GatewayCommand* aCommand)
{
  const ItemTable& items = mFeed.CurrentState().Items();
  if (aCommand == nullptr) {
    mRoutes.Update(items);
  } else if (aCommand->has_change_items()) {
    mRoutes.Update(items, aCommand->change_items());
  } else if (aCommand->has_put_instance()) {
    const wire::UpstreamInstance& instance =
      aCommand->put_instance().instance();
    mReach.OnInstance(instance.id(), instance.life());
  }
  UpdateUnconfirmedCrashes(aCommand);
  WakeWaiters();
}

void
RequestHandler::WakeWaiters()
{
  for (const auto& waiter : mWaiters) {
    if (const auto context = waiter.lock()) {
      context->WakeTimer().cancel();
    }
  }
}

void
RequestHandler::CountKeyRequest(const std::string& aService, uint32_t aKey)
{
  ++mKeyRequests[aService][aKey / kKeysPerBucket];
}

wire::FeedReport
RequestHandler::TakeLoadReport()
{
  wire::FeedReport report;
  for (const auto& [service, buckets] : mKeyRequests) {
    wire::RangeLoad* load = report.add_loads();
    load->set_service(service);
    for (const auto& [bucket, requests] : buckets) {
      load->add_buckets(bucket);
      load->add_requests(requests);
    }
  }
  mKeyRequests.clear();
  for (const auto& [instance, seconds] : mSlots.TakeChangedResponseSeconds()) {
    wire::InstanceTime* time = report.add_times();
    time->set_instance(instance);
    time->set_seconds(seconds);
  }
  TakeServiceLoads(report);
  return report;
}

void
RequestHandler::Sweep()
{
  const State& state = mFeed.CurrentState();
  mUpstreamClient.CheckPeers(mClock.Now());
  mUpstreamClient.Pool().Sweep(mClock.Now(), [&](const std::string& aInstance) {
    return state.FindInstance(aInstance) != nullptr;
  });
  mReach.RemoveUnregistered([&](const std::string& aInstance) {
    return state.FindInstance(aInstance) != nullptr;
  });
  mRelay.RemoveExpired();
}

bool
RequestHandler::OwnsKeys(const std::string& aService) const
{
  const auto& services = mFeed.CurrentState().Items().Services();
  const auto found = services.find(aService);
  return found != services.end() && found->second.owns_keys();
}

entry::RetryBudget&
RequestHandler::RetryBudgetOf(const std::string& aService)
{
  auto& budget = mRetryBudgets[aService];
  const entry::RetryBudget::Settings share =
    RetryShareOf({ mOptions.retryRatio, mOptions.retryBurst },
                 mFeed.CurrentState().Entries().size());
  if (!budget) {
    budget = std::make_unique<entry::RetryBudget>(share);
  }
  budget->SetBurst(share.burst);
  return *budget;
}

void
RequestHandler::CountClosedConnection(std::string_view aReason)
{
  mMetrics.Increment("connections_ended",
                     "reason=\"" + std::string(aReason) + "\"");
}

asio::awaitable<CallerResponse>
RequestHandler::Handle(std::shared_ptr<RequestContext> aContext,
                       CallerRequest aRequest)
{
  const Instant arrived = aRequest.arrived;
  RecordRequestBytes(aRequest.body.size() + kRequestLineBytes, arrived);
  RecordTraffic(LinkUse::Callers,
                LinkDirection::In,
                aRequest.body.size() + kRequestLineBytes);
  CallerResponse response =
    co_await RouteRequest(aContext, std::move(aRequest));
  const size_t bytes = ApproximateBytes(response);
  RecordTraffic(LinkUse::Callers, LinkDirection::Out, bytes);
  if (response.sendBy > Instant{}) {
    co_await AwaitSendTurn(
      std::move(aContext), bytes, response.sendBy, response.sendAtLatest);
  } else {
    RecordSent(bytes);
  }
  mMetrics.Increment("requests",
                     "status=\"" + std::to_string(response.status) + "\"");
  mMetrics.Observe("request", mClock.Now() - arrived);
  co_return response;
}

std::string
RequestHandler::MetricsPage()
{
  const State& state = mFeed.CurrentState();
  mMetrics.Set("state_index", static_cast<double>(state.AppliedIndex().value));
  mMetrics.Set("state_age_seconds",
               std::chrono::duration<double>(mFeed.StateAge()).count());
  mMetrics.Set("entries", static_cast<double>(state.Entries().size()));
  mMetrics.Set("upstreams", static_cast<double>(state.Instances().size()));
  mMetrics.Set("upstream_connects",
               static_cast<double>(mUpstreamClient.ConnectionsOpened()));
  mMetrics.SetTotal(
    "upstream_connects_failed", {}, mUpstreamClient.ConnectionsFailed());
  mMetrics.SetTotal(
    "upstream_connections_silent", {}, mUpstreamClient.SilentConnections());
  mMetrics.SetTotal(
    "upstream_responses_skipped", {}, mUpstreamClient.SkippedResponses());
  mMetrics.SetTotal("upstream_responses_without_id",
                    {},
                    mUpstreamClient.UnidentifiedResponses());
  mMetrics.Set("services_lost", static_cast<double>(mReach.LostServices()));
  mMetrics.Set("upstreams_unreachable",
               static_cast<double>(mReach.UnreachableInstances()));
  mMetrics.Set("relaying", static_cast<double>(mRelayServer.InProgress()));
  SetBodyMetrics();
  SetLinkMetrics();
  SetSlotMetrics(mMetrics, mSlots);
  SetDispatchMetrics();
  return mMetrics.PrometheusText();
}

bool
RequestHandler::HasState() const
{
  return mFeed.HasState() && !mFeed.CurrentState().Items().IsEmpty();
}

asio::awaitable<void>
RequestHandler::AwaitStateChange(std::shared_ptr<RequestContext> aContext,
                                 Instant aUntil)
{
  const auto waiter = mWaiters.insert(mWaiters.end(), aContext);
  aContext->WakeTimer().expires_after(aUntil - mClock.Now());
  co_await aContext->WakeTimer().async_wait(kAwait);
  mWaiters.erase(waiter);
}

/// After a failure of all hosts, an entry receives requests some tenths of a
/// second before it has the state. A caller that is rejected at once retries
/// only once, within a third of its remaining time, and is rejected again. A
/// request that waits for a part of its time is served, though late.
asio::awaitable<void>
RequestHandler::AwaitFirstState(std::shared_ptr<RequestContext> aContext,
                                Instant aUntil)
{
  while (!HasState() && !aContext->IsCancelled() && mClock.Now() < aUntil) {
    co_await AwaitStateChange(aContext, aUntil);
  }
}

asio::awaitable<std::string>
RequestHandler::AwaitOwner(RequestProgress& aProgress)
{
  const Instant deadline = WaitDeadline(aProgress);
  for (;;) {
    const Instant now = mClock.Now();
    std::string owner = mSlots.Broker().Upstreams().OwnerOf(
      mFeed.CurrentState(), aProgress.service, *aProgress.key, now);
    // If no instance may be sent requests, no owner is to be expected.
    const bool noUpstream =
      !mSlots.Broker().Upstreams().CanServe(aProgress.service);
    if (!owner.empty() || noUpstream || now >= deadline ||
        aProgress.context->IsCancelled()) {
      co_return owner;
    }
    co_await AwaitStateChange(aProgress.context, deadline);
  }
}

Instant
RequestHandler::WaitDeadline(const RequestProgress& aProgress) const
{
  const auto maxWait = std::chrono::duration_cast<Duration>(
    aProgress.route->objective * kMaxWaitShare);
  return std::min(aProgress.arrived + maxWait,
                  aProgress.deadline - Duration(kMinAttemptTime));
}

bool
RequestHandler::HasOwnerChanged(const RequestProgress& aProgress) const
{
  if (aProgress.owner.empty() || mClock.Now() >= WaitDeadline(aProgress)) {
    return false;
  }
  return mSlots.Broker().Upstreams().OwnerOf(mFeed.CurrentState(),
                                             aProgress.service,
                                             *aProgress.key,
                                             mClock.Now()) != aProgress.owner;
}

asio::awaitable<SlotOutcome>
RequestHandler::AcquireSlot(RequestProgress& aProgress)
{
  SlotRequest request;
  request.service = aProgress.service;
  if (aProgress.key) {
    request.instance = co_await AwaitOwner(aProgress);
    aProgress.owner = request.instance;
    if (request.instance.empty()) {
      co_return SlotUnavailable{ UpstreamSet::UnavailableReason::NoOwner,
                                 Duration(kRetryAfterNoOwner) };
    }
  } else {
    request.excluded = aProgress.attempted;
  }
  const Instant now = mClock.Now();
  mMetrics.Observe("owner_wait", now - aProgress.arrived);
  request.priority = aProgress.route->priority;
  request.maxWait = std::max(WaitDeadline(aProgress) - now, Duration::zero());
  request.timeToObjective = std::max<Duration>(
    aProgress.arrived + Duration(aProgress.route->objective) - now,
    milliseconds{ 1 });
  request.maxHold = std::max(aProgress.deadline - now, Duration::zero());
  request.dataCentre = mOptions.dataCentre;
  request.idempotent = aProgress.route->idempotent;
  request.statedTime = aProgress.statedTime;
  request.statedTimeLeft =
    std::max(aProgress.arrived + aProgress.statedTime - now, Duration::zero());
  co_return co_await mSlots.Acquire(aProgress.context, std::move(request));
}

asio::awaitable<AttemptResult>
RequestHandler::RunAttempt(RequestProgress& aProgress, const Slot& aSlot)
{
  const Slot slot = aSlot;
  auto handle = std::make_shared<AttemptHandle>();
  aProgress.context->AttachAttempt(handle);
  // A named variable, as Debian 12's compiler destroys a braced temporary in a
  // co_await expression twice.
  const UpstreamProcess process{ slot.instance,
                                 slot.address,
                                 slot.incarnation };
  RelayResult sent = co_await SendByAnyPath(aProgress, process, handle);
  aProgress.context->DetachAttempt();
  AttemptResult& result = sent.attempt;
  aProgress.lastUpstream = slot.instance;
  aProgress.lastFailure = result.reason;
  if (result.response.status != 0) {
    RecordTraffic(LinkUse::Upstreams,
                  LinkDirection::In,
                  result.response.body.size() + kRequestLineBytes);
  }
  RecordLoad(slot, result);
  RecordForQuarantine(aProgress, process, sent);
  CountServiceAttempt(aProgress, result);
  mSlots.Release(slot, OutcomeOf(aProgress, sent), result.elapsed);
  mMetrics.Increment("tries", AttemptLabel(result.kind));
  mMetrics.Observe("try", result.elapsed);
  LogFailedAttempt(aProgress, sent);
  co_return std::move(result);
}

void
RequestHandler::LogFailedAttempt(const RequestProgress& aProgress,
                                 const RelayResult& aResult) const
{
  const AttemptResult& attempt = aResult.attempt;
  const bool failed = attempt.kind == AttemptResult::Kind::NotSent ||
                      attempt.kind == AttemptResult::Kind::OutcomeUnknown;
  if (!failed || aProgress.context->HasCallerDisconnected()) {
    return;
  }
  LogLine(aProgress.request->requestId)
    << "attempt failed service=" << aProgress.service
    << " upstream=" << aProgress.lastUpstream
    << " relay=" << (aResult.relay.empty() ? "-" : aResult.relay)
    << " connection=" << (attempt.newConnection ? "new" : "kept")
    << " sent=" << (attempt.kind != AttemptResult::Kind::NotSent)
    << " reason=" << attempt.reason
    << " after_ms=" << Milliseconds(mClock.Now() - aProgress.arrived);
}

bool
RequestHandler::TryTakeRetry(RequestProgress& aProgress,
                             const AttemptResult& aResult)
{
  if (aProgress.context->IsCancelled() ||
      mClock.Now() + Duration(kMinAttemptTime) >= aProgress.deadline) {
    return false;
  }
  if (aProgress.key && HasAskedForRest(aResult)) {
    return false; // Only the owner of the key could run it.
  }
  if (aResult.noRoom) {
    return false; // There would be none for the next response, either.
  }
  if (aResult.connectionLost && IsSuspected(aProgress)) {
    return false; // The next upstream might be lost, too.
  }
  const bool safe = aResult.kind == AttemptResult::Kind::NotExecuted ||
                    (aProgress.route->idempotent &&
                     aResult.kind == AttemptResult::Kind::OutcomeUnknown);
  return safe && aProgress.sentAttempts < aProgress.route->maxAttempts &&
         RetryBudgetOf(aProgress.service).TryTake();
}

asio::awaitable<CallerResponse>
RequestHandler::RunAttempts(RequestProgress& aProgress)
{
  asio::steady_timer timer(mExecutor);
  timer.expires_after(aProgress.deadline - mClock.Now());
  timer.async_wait([context = aProgress.context](auto aError) {
    if (!aError) {
      context->Expire();
    }
  });
  for (int unsent = 0; unsent < kMaxUnsentAttempts;) {
    if (auto refusal = RefuseIfQuarantined(aProgress)) {
      co_return std::move(*refusal);
    }
    const SlotOutcome outcome = co_await AcquireSlot(aProgress);
    const auto* slot = std::get_if<Slot>(&outcome);
    if (slot == nullptr) {
      if (HasOwnerChanged(aProgress)) {
        ++unsent;
        continue;
      }
      co_return UnavailableResponse(aProgress,
                                    std::get<SlotUnavailable>(outcome));
    }
    const bool late =
      mClock.Now() + Duration(kReturnMargin) >= aProgress.deadline;
    if (late || aProgress.context->IsCancelled()) {
      mSlots.Release(*slot, AttemptOutcome::Abandoned, {});
      break;
    }
    if (aProgress.sentAttempts == 0) {
      RetryBudgetOf(aProgress.service).OnFirstSend();
    }
    AttemptResult result = co_await RunAttempt(aProgress, *slot);
    if (aProgress.noPath) {
      co_return NotExecutedResponse(
        aProgress,
        kRetryAfterNoPath,
        "no host was found that reaches the upstreams");
    }
    if (result.kind == AttemptResult::Kind::NotSent) {
      ++unsent;
      aProgress.attempted.insert(aProgress.lastUpstream);
      if (aProgress.key) {
        asio::steady_timer pause(mExecutor, milliseconds(30));
        co_await pause.async_wait(kAwait);
      }
      continue;
    }
    ++aProgress.sentAttempts;
    aProgress.attempted.insert(aProgress.lastUpstream);
    aProgress.mayHaveRun |= result.kind == AttemptResult::Kind::OutcomeUnknown;
    if (result.kind == AttemptResult::Kind::Response ||
        !TryTakeRetry(aProgress, result)) {
      co_return FinalResponse(aProgress, std::move(result));
    }
  }
  if (aProgress.mayHaveRun) {
    co_return FinalResponse(aProgress,
                            AttemptResult{ AttemptResult::Kind::OutcomeUnknown,
                                           {},
                                           aProgress.lastFailure,
                                           false,
                                           {} });
  }
  co_return NotExecutedResponse(
    aProgress, kRetryAfterFull, aProgress.lastFailure);
}

} // namespace rattandyke::gateway
