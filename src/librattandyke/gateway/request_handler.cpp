#include "gateway/request_handler.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

#include "gateway/key_load_map.h"
#include "gateway/retry_share.h"
#include "http/headers.h"
#include "http/signal.h"
#include "log/log.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using http::kAwait;
using std::chrono::milliseconds;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

/// Part of a request's objective for which it waits for an upstream that has
/// room, or for its key's next owner. What waits longer seldom makes it in
/// time; refused, its caller can use the time to come back.
constexpr double kWaitPart = 0.6;
/// Part of its time for which a request waits for the first state. With the
/// caller's own pause of a third of the rest, and a second wait, a state that
/// comes within two thirds of its time is not too late.
constexpr double kStateWaitPart = 0.3;
constexpr milliseconds kRetryAfterFull{ 150 };
constexpr milliseconds kRetryAfterNoOwner{ 400 };
constexpr milliseconds kRetryAfterNoState{ 300 };
/// A try with less time than this is not begun.
constexpr milliseconds kLeastTry{ 15 };
/// Time kept for the way back to the caller.
constexpr milliseconds kWayBack{ 4 };
/// Of an answer from this host to its caller.
constexpr milliseconds kWayToCaller{ 15 };
/// Without a deadline of the caller's.
constexpr milliseconds kDefaultDeadline{ 10000 };
/// Tries of which nothing was sent.
constexpr int kMaxUnsent = 6;
/// Before the first configuration tells.
constexpr milliseconds kDefaultIdle{ 15000 };
constexpr uint32_t kDefaultHeaderBytes = 16384;
constexpr uint64_t kDefaultBodyBytes = uint64_t{ 64 } * 1024 * 1024;

log::Line
Line(const std::string& aId)
{
  return { log::Part::Entry, log::Severity::Info, aId };
}

std::optional<uint64_t>
ParseNumber(std::string_view aText)
{
  uint64_t number = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, number);
  if (aText.empty() || error != std::errc{} || end != last) {
    return std::nullopt;
  }
  return number;
}

std::string_view
WithoutPort(std::string_view aHost)
{
  const size_t colon = aHost.rfind(':');
  const bool bracketed = aHost.ends_with(']');
  return colon == std::string_view::npos || bracketed ? aHost
                                                      : aHost.substr(0, colon);
}

std::string
Seconds(Duration aTime)
{
  char text[32];
  const double seconds = std::chrono::duration<double>(aTime).count();
  std::snprintf(text, sizeof(text), "%.3f", seconds);
  return text;
}

int64_t
Ms(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

std::string_view
TryLabel(AttemptResult::Kind aKind)
{
  switch (aKind) {
    case AttemptResult::Kind::Answer:
      return "end=\"answer\"";
    case AttemptResult::Kind::NotRun:
      return "end=\"not_run\"";
    case AttemptResult::Kind::NotSent:
      return "end=\"not_sent\"";
    case AttemptResult::Kind::Unknown:
      return "end=\"unknown\"";
  }
  return {};
}

AttemptOutcome
EndOf(const AttemptResult& aResult, bool aAbandoned)
{
  if (aAbandoned) {
    return AttemptOutcome::Abandoned;
  }
  switch (aResult.kind) {
    case AttemptResult::Kind::Answer:
      return AttemptOutcome::Answered;
    case AttemptResult::Kind::NotRun:
      return AttemptOutcome::Refused;
    case AttemptResult::Kind::NotSent:
      return AttemptOutcome::Unreachable;
    case AttemptResult::Kind::Unknown:
      return aResult.silent ? AttemptOutcome::TimedOut : AttemptOutcome::Broken;
  }
  return AttemptOutcome::Abandoned;
}

} // namespace

RequestHandler::RequestHandler(asio::any_io_executor aExecutor,
                               Options aOptions,
                               const FeedClient& aFeed,
                               SlotCoordinator& aDesk,
                               const Dialect& aDialect,
                               const Clock& aClock)
  : mExecutor(aExecutor)
  , mOptions(std::move(aOptions))
  , mFeed(aFeed)
  , mDialect(aDialect)
  , mHeaders(aDialect.Headers())
  , mClock(aClock)
  , mDesk(aDesk)
  , mExchanger(aExecutor, mHeaders, aClock)
  , mLink(mOptions.linkBytesPerSecond)
  , mEgress(mOptions.linkBytesPerSecond)
  , mEgressTimer(std::move(aExecutor))
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
  }
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
RequestHandler::NoteKey(const std::string& aService, uint32_t aKey)
{
  ++mKeyLoads[aService][aKey / kKeysPerBucket];
}

wire::FeedReport
RequestHandler::TakeLoadReport()
{
  wire::FeedReport report;
  for (const auto& [service, buckets] : mKeyLoads) {
    wire::RangeLoad* load = report.add_loads();
    load->set_service(service);
    for (const auto& [bucket, requests] : buckets) {
      load->add_buckets(bucket);
      load->add_requests(requests);
    }
  }
  mKeyLoads.clear();
  for (const auto& [instance, seconds] : mDesk.TakeChangedResponseSeconds()) {
    wire::InstanceTime* time = report.add_times();
    time->set_instance(instance);
    time->set_seconds(seconds);
  }
  return report;
}

void
RequestHandler::Sweep()
{
  const State& state = mFeed.CurrentState();
  mExchanger.Pool().Sweep(mClock.Now(), [&](const std::string& aInstance) {
    return state.FindInstance(aInstance) != nullptr;
  });
}

bool
RequestHandler::OwnsKeys(const std::string& aService) const
{
  const auto& services = mFeed.CurrentState().Items().Services();
  const auto found = services.find(aService);
  return found != services.end() && found->second.owns_keys();
}

entry::RetryBudget&
RequestHandler::BudgetOf(const std::string& aService)
{
  auto& budget = mBudgets[aService];
  const entry::RetryBudget::Settings share =
    RetryShareOf({ mOptions.retryRatio, mOptions.retrySlack },
                 mFeed.CurrentState().Entries().size());
  if (!budget) {
    budget = std::make_unique<entry::RetryBudget>(share);
  }
  budget->SetBurst(share.burst);
  return *budget;
}

std::shared_ptr<const UpstreamRequest>
RequestHandler::Outgoing(const CallerRequest& aRequest,
                         const std::string& aId) const
{
  auto outgoing = std::make_shared<UpstreamRequest>();
  outgoing->method = aRequest.method;
  outgoing->target = aRequest.target;
  outgoing->body = aRequest.body;
  outgoing->hasBody = aRequest.hasBody;
  outgoing->requestId = aId;
  http::ForEachEndToEnd(
    aRequest.fields, [&](std::string_view aName, std::string_view aValue) {
      const bool ownField =
        boost::beast::iequals(aName, mHeaders.deadline) ||
        boost::beast::iequals(aName, mHeaders.expectedInstance) ||
        boost::beast::iequals(aName, "Expect");
      if (!ownField) {
        http::AppendField(outgoing->fields, aName, aValue);
      }
    });
  return outgoing;
}

CallerLimits
RequestHandler::Limits() const
{
  const wire::LimitsItem& limits = mFeed.CurrentState().Items().Limits();
  const auto orElse = [](auto aValue, auto aDefault) {
    return aValue == 0 ? aDefault : aValue;
  };
  return { orElse(limits.max_header_bytes(), kDefaultHeaderBytes),
           orElse(limits.max_body_bytes(), kDefaultBodyBytes),
           limits.idle_timeout_ms() == 0
             ? Duration(kDefaultIdle)
             : Duration(milliseconds(limits.idle_timeout_ms())) };
}

std::string
RequestHandler::IdOf(const CallerRequest& aRequest) const
{
  return std::string(http::FieldOf(aRequest.fields, mHeaders.requestId));
}

void
RequestHandler::CountEnd(std::string_view aReason)
{
  mMetrics.Increment("connections_ended",
                     "reason=\"" + std::string(aReason) + "\"");
}

asio::awaitable<CallerResponse>
RequestHandler::Handle(std::shared_ptr<RequestContext> aContext,
                       CallerRequest aRequest)
{
  const Instant arrived = aRequest.arrived;
  mLink.NoteReceived(aRequest.body.size() + kRequestLine, arrived);
  CallerResponse answer = co_await Answer(aContext, std::move(aRequest));
  const size_t bytes = answer.fields.size() + answer.body.size();
  if (answer.due > Instant{}) {
    co_await AwaitEgress(std::move(aContext), bytes, answer.due);
  } else {
    RecordSent(bytes);
  }
  mMetrics.Increment("requests",
                     "status=\"" + std::to_string(answer.status) + "\"");
  mMetrics.Observe("request", mClock.Now() - arrived);
  co_return answer;
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
  mMetrics.Set("upstream_connects", static_cast<double>(mExchanger.Connects()));
  return mMetrics.PrometheusText();
}

asio::awaitable<CallerResponse>
RequestHandler::Answer(std::shared_ptr<RequestContext> aContext,
                       CallerRequest aRequest)
{
  const std::string id = IdOf(aRequest);
  const auto asked =
    ParseNumber(http::FieldOf(aRequest.fields, mHeaders.deadline));
  const Duration wait = milliseconds(
    asked ? static_cast<int64_t>(std::min<uint64_t>(*asked, 3'600'000))
          : kDefaultDeadline.count());
  co_await AwaitState(aContext,
                      aRequest.arrived + Scaled(wait, kStateWaitPart));
  if (!HasState()) {
    co_return Own(kUnavailable,
                  id,
                  "no configuration is known yet",
                  Duration(kRetryAfterNoState));
  }
  if (id.empty()) {
    co_return Own(kBadRequest, id, "the request has no id");
  }
  const std::string_view host =
    WithoutPort(http::FieldOf(aRequest.fields, "Host"));
  const std::string_view path =
    std::string_view(aRequest.target)
      .substr(0, aRequest.target.find_first_of("?#"));
  Flow flow;
  flow.route = mRoutes.Find(host, path);
  if (!flow.route) {
    Line(id) << "no route host=" << host << " path=" << path
             << " index=" << mFeed.CurrentState().AppliedIndex().value
             << " age_ms=" << Ms(mFeed.StateAge());
    co_return Own(kNotFound, id, "no route matches");
  }
  flow.context = std::move(aContext);
  flow.service = NextService(*flow.route);
  flow.arrived = aRequest.arrived;
  flow.deadline = flow.arrived + std::min(wait, Duration(flow.route->timeout));
  if (OwnsKeys(flow.service)) {
    const auto key = ParseNumber(http::FieldOf(aRequest.fields, mHeaders.key));
    if (!key || *key > kMaxKey) {
      co_return Own(kBadRequest, id, "the request has no key");
    }
    flow.key = static_cast<uint32_t>(*key);
    NoteKey(flow.service, *flow.key);
  }
  flow.request = Outgoing(aRequest, id);
  co_return co_await RunIfRoom(flow);
}

bool
RequestHandler::HasState() const
{
  return mFeed.HasState() && !mFeed.CurrentState().Items().IsEmpty();
}

asio::awaitable<void>
RequestHandler::AwaitChange(std::shared_ptr<RequestContext> aContext,
                            Instant aUntil)
{
  const auto place = mWaiters.insert(mWaiters.end(), aContext);
  aContext->WakeTimer().expires_after(aUntil - mClock.Now());
  co_await aContext->WakeTimer().async_wait(kAwait);
  mWaiters.erase(place);
}

/// Safeguard: after all hosts were down, an entry has callers some tenths of a
/// second before it has the state. Refused at once they come back once, within
/// a third of the time they have left, and are refused again; kept for a part
/// of it they are served, late.
asio::awaitable<void>
RequestHandler::AwaitState(std::shared_ptr<RequestContext> aContext,
                           Instant aUntil)
{
  while (!HasState() && !aContext->IsCancelled() && mClock.Now() < aUntil) {
    co_await AwaitChange(aContext, aUntil);
  }
}

asio::awaitable<std::string>
RequestHandler::AwaitOwner(Flow& aFlow)
{
  const Instant giveUp = PatienceEnd(aFlow);
  for (;;) {
    const Instant now = mClock.Now();
    std::string owner = mDesk.Broker().Upstreams().OwnerOf(
      mFeed.CurrentState(), aFlow.service, *aFlow.key, now);
    // Without an upstream that could take the key there is nothing to wait for.
    const bool vain = !mDesk.Broker().Upstreams().CanServe(aFlow.service);
    if (!owner.empty() || vain || now >= giveUp ||
        aFlow.context->IsCancelled()) {
      co_return owner;
    }
    co_await AwaitChange(aFlow.context, giveUp);
  }
}

Instant
RequestHandler::PatienceEnd(const Flow& aFlow) const
{
  const auto maxWait =
    std::chrono::duration_cast<Duration>(aFlow.route->objective * kWaitPart);
  return std::min(aFlow.arrived + maxWait,
                  aFlow.deadline - Duration(kLeastTry));
}

/// @return whether its key has another owner than the one that it waited for,
/// or will have one, and there is time to ask that one.
bool
RequestHandler::HasMoved(const Flow& aFlow) const
{
  if (aFlow.owner.empty() || mClock.Now() >= PatienceEnd(aFlow)) {
    return false;
  }
  return mDesk.Broker().Upstreams().OwnerOf(
           mFeed.CurrentState(), aFlow.service, *aFlow.key, mClock.Now()) !=
         aFlow.owner;
}

asio::awaitable<SlotOutcome>
RequestHandler::AwaitSlot(Flow& aFlow)
{
  SlotRequest request;
  request.service = aFlow.service;
  if (aFlow.key) {
    request.instance = co_await AwaitOwner(aFlow);
    aFlow.owner = request.instance;
    if (request.instance.empty()) {
      co_return SlotUnavailable{ UpstreamSet::UnavailableReason::NoOwner,
                                 Duration(kRetryAfterNoOwner) };
    }
  } else {
    request.excluded = aFlow.tried;
  }
  const Instant now = mClock.Now();
  mMetrics.Observe("owner_wait", now - aFlow.arrived);
  request.priority = aFlow.route->priority;
  request.maxWait = std::max(PatienceEnd(aFlow) - now, Duration::zero());
  request.timeToObjective = std::max<Duration>(
    aFlow.arrived + Duration(aFlow.route->objective) - now, milliseconds{ 1 });
  request.maxHold = std::max(aFlow.deadline - now, Duration::zero());
  request.dataCentre = mOptions.dataCentre;
  co_return co_await mDesk.Acquire(aFlow.context, std::move(request));
}

asio::awaitable<AttemptResult>
RequestHandler::Try(Flow& aFlow, const Slot& aSlot)
{
  const Slot slot = aSlot;
  auto handle = std::make_shared<AttemptHandle>();
  aFlow.context->Attach(handle);
  const Duration left = aFlow.deadline - mClock.Now() - Duration(kWayBack);
  // Named: a braced temporary in an awaited call is destroyed twice by the
  // compiler that Debian 12 has.
  RecordSent(BytesOf(*aFlow.request));
  const UpstreamProcess peer{ slot.instance, slot.address, slot.incarnation };
  AttemptResult result =
    co_await mExchanger.Run(peer, aFlow.request, left, handle);
  aFlow.context->Detach();
  RecordLoadReport(slot.instance, result.answer);
  mDesk.Release(slot,
                EndOf(result, aFlow.context->IsCancelledByCallerOrHost()),
                result.took);
  mMetrics.Increment("tries", TryLabel(result.kind));
  mMetrics.Observe("try", result.took);
  aFlow.lastUpstream = slot.instance;
  aFlow.lastReason = result.reason;
  co_return result;
}

/// What can't be read is counted and told nobody: the answer is good without.
void
RequestHandler::RecordLoadReport(const std::string& aInstance,
                                 const UpstreamResponse& aAnswer)
{
  const std::string_view text = http::FieldOf(aAnswer.fields, mHeaders.load);
  if (text.empty()) {
    return;
  }
  if (const auto load = mDialect.DecodeLoadReport(text)) {
    mDesk.RecordLoadReport(aInstance, *load);
  } else {
    mMetrics.Increment("loads_not_read", "");
  }
}

bool
RequestHandler::MayRetry(Flow& aFlow, const AttemptResult& aResult)
{
  if (aFlow.context->IsCancelled() ||
      mClock.Now() + Duration(kLeastTry) >= aFlow.deadline) {
    return false;
  }
  const bool safe =
    aResult.kind == AttemptResult::Kind::NotRun ||
    (aFlow.route->idempotent && aResult.kind == AttemptResult::Kind::Unknown);
  return safe && aFlow.sent < aFlow.route->maxAttempts &&
         BudgetOf(aFlow.service).TryTake();
}

asio::awaitable<CallerResponse>
RequestHandler::Run(Flow& aFlow)
{
  asio::steady_timer timer(mExecutor);
  timer.expires_after(aFlow.deadline - mClock.Now());
  timer.async_wait([context = aFlow.context](auto aError) {
    if (!aError) {
      context->Expire();
    }
  });
  for (int unsent = 0; unsent < kMaxUnsent;) {
    const SlotOutcome outcome = co_await AwaitSlot(aFlow);
    const auto* slot = std::get_if<Slot>(&outcome);
    if (slot == nullptr) {
      if (HasMoved(aFlow)) {
        ++unsent;
        continue;
      }
      const SlotUnavailable& none = std::get<SlotUnavailable>(outcome);
      const bool full = none.reason == UpstreamSet::UnavailableReason::Full;
      co_return NotRun(aFlow,
                       none.retryAfter,
                       full ? "all upstreams are full" : "no upstream");
    }
    const bool late = mClock.Now() + Duration(kWayBack) >= aFlow.deadline;
    if (late || aFlow.context->IsCancelled()) {
      mDesk.Release(*slot, AttemptOutcome::Abandoned, {});
      break;
    }
    if (aFlow.sent == 0) {
      BudgetOf(aFlow.service).OnFirstSend();
    }
    AttemptResult result = co_await Try(aFlow, *slot);
    if (result.kind == AttemptResult::Kind::NotSent) {
      ++unsent;
      aFlow.tried.insert(aFlow.lastUpstream);
      if (aFlow.key) {
        asio::steady_timer pause(mExecutor, milliseconds(30));
        co_await pause.async_wait(kAwait);
      }
      continue;
    }
    ++aFlow.sent;
    aFlow.tried.insert(aFlow.lastUpstream);
    aFlow.mayHaveRun |= result.kind == AttemptResult::Kind::Unknown;
    if (result.kind == AttemptResult::Kind::Answer ||
        !MayRetry(aFlow, result)) {
      co_return Final(aFlow, std::move(result));
    }
  }
  if (aFlow.mayHaveRun) {
    co_return Final(
      aFlow,
      AttemptResult{
        AttemptResult::Kind::Unknown, {}, aFlow.lastReason, false, {} });
  }
  co_return NotRun(aFlow, kRetryAfterFull, aFlow.lastReason);
}

CallerResponse
RequestHandler::Final(const Flow& aFlow, AttemptResult aResult) const
{
  const std::string& id = aFlow.request->requestId;
  if (aResult.kind == AttemptResult::Kind::Answer) {
    CallerResponse answer;
    answer.status = aResult.answer.status;
    http::ForEachEndToEnd(aResult.answer.fields,
                          [&](std::string_view aName, std::string_view aValue) {
                            // Said to this host, and old when it arrives.
                            if (!boost::beast::iequals(aName, mHeaders.load)) {
                              http::AppendField(answer.fields, aName, aValue);
                            }
                          });
    answer.body = std::move(aResult.answer.body);
    answer.due =
      aFlow.arrived + Duration(aFlow.route->objective) - Duration(kWayToCaller);
    return answer;
  }
  if (!aFlow.mayHaveRun) {
    return NotRun(aFlow, kRetryAfterFull, aResult.reason);
  }
  const bool timeout = aFlow.context->HasExpired();
  Line(id) << "outcome unknown route=" << aFlow.route->name
           << " service=" << aFlow.service << " upstream=" << aFlow.lastUpstream
           << " sent=" << aFlow.sent << " reason=" << aResult.reason
           << " after_ms=" << Ms(mClock.Now() - aFlow.arrived);
  return Own(timeout ? kGatewayTimeout : kBadGateway, id, aResult.reason);
}

CallerResponse
RequestHandler::NotRun(const Flow& aFlow,
                       Duration aRetryAfter,
                       const std::string& aReason) const
{
  const std::string& id = aFlow.request->requestId;
  if (aFlow.mayHaveRun) {
    return Own(kBadGateway, id, aReason);
  }
  Line(id) << "not run route=" << aFlow.route->name
           << " service=" << aFlow.service
           << " key=" << (aFlow.key ? std::to_string(*aFlow.key) : "-")
           << " reason=" << aReason << " last=" << aFlow.lastReason
           << " owner=" << (aFlow.owner.empty() ? "-" : aFlow.owner)
           << " upstream=" << aFlow.lastUpstream
           << " index=" << mFeed.CurrentState().AppliedIndex().value
           << " age_ms=" << Ms(mFeed.StateAge())
           << " after_ms=" << Ms(mClock.Now() - aFlow.arrived);
  return Own(kUnavailable, id, aReason, aRetryAfter);
}

CallerResponse
RequestHandler::Own(unsigned aStatus,
                    const std::string& aId,
                    const std::string& aText,
                    std::optional<Duration> aRetryAfter) const
{
  CallerResponse answer;
  answer.status = aStatus;
  if (!aId.empty()) {
    http::AppendField(answer.fields, mHeaders.requestId, aId);
  }
  if (aRetryAfter) {
    http::AppendField(answer.fields, "Retry-After", Seconds(*aRetryAfter));
  }
  http::AppendField(answer.fields, "Content-Type", "text/plain");
  answer.body = aText + "\n";
  return answer;
}

CallerResponse
RequestHandler::Refuse(unsigned aStatus, const std::string& aText) const
{
  return Own(aStatus, {}, aText);
}

} // namespace rattandyke::gateway
