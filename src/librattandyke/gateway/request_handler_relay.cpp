// Part of RequestHandler that finds a path to an upstream: directly, or through
// another host. Also serves as a path for other hosts.
#include "gateway/request_handler.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "gateway/relay_wire.h"
#include "log/log.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using scheduling::LinkDirection;
using scheduling::LinkUse;
using std::chrono::milliseconds;

/// A connection that was not established within this time when the request's
/// deadline passed counts as a failure. Upstreams are a few milliseconds away.
constexpr milliseconds kSlowConnect{ 150 };
/// Time reserved for the way of a response from a relay to this host.
constexpr milliseconds kRelayMargin{ 4 };
/// Delay by this host's link from which on it relays no request that the delay
/// makes late. Below it, the request is late for other reasons, which the
/// asking host has judged.
constexpr milliseconds kBusyLinkDelay{ 50 };

std::string_view
LabelOf(const RelayResult& aResult)
{
  if (aResult.relayLost) {
    return "end=\"relay_lost\"";
  }
  switch (aResult.refusal) {
    case RelayResult::Refusal::None:
      return "end=\"relayed\"";
    case RelayResult::Refusal::NoRelay:
      return "end=\"no_relay\"";
    case RelayResult::Refusal::UnreachableForOthers:
      return "end=\"unreachable\"";
    case RelayResult::Refusal::NotUsable:
      return "end=\"not_usable\"";
  }
  return {};
}

int64_t
Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

} // namespace

Duration
RequestHandler::TimeLeft(const RequestProgress& aProgress) const
{
  return aProgress.deadline - mClock.Now() - Duration(kReturnMargin);
}

bool
RequestHandler::CanReach(const std::string& aService,
                         const UpstreamProcess& aProcess) const
{
  return mReach.CanReach(
    aService,
    aProcess.instance,
    mUpstreamClient.Pool().HasIdle(aProcess, mClock.Now()));
}

asio::awaitable<RelayResult>
RequestHandler::SendByAnyPath(RequestProgress& aProgress,
                              UpstreamProcess aProcess,
                              std::shared_ptr<AttemptHandle> aHandle)
{
  const std::string& service = aProgress.service;
  RelayResult result;
  const bool direct = CanReach(service, aProcess);
  if (direct) {
    result.attempt = co_await SendDirectly(aProgress, aProcess, aHandle);
    const bool useRelay = result.attempt.kind == AttemptResult::Kind::NotSent &&
                          !aHandle->IsCancelled() &&
                          !CanReach(service, aProcess);
    if (!useRelay) {
      co_return result;
    }
  }
  if (mReach.IsUnreachableForOthers(service, aProcess.instance, mClock.Now())) {
    result.attempt = AttemptResult::NotSent("no host reaches the upstream");
    result.refusal = RelayResult::Refusal::UnreachableForOthers;
    co_return result;
  }
  const RelayAttempt attempt = MakeRelayAttempt(aProgress, aProcess);
  // The body is copied to a message, and that to a frame.
  const auto room = mBodies.TryReserve(MemoryBudget::Use::Request,
                                       2 * aProgress.request->body.size());
  if (!room) {
    result.attempt =
      AttemptResult::NotSent("there is no room to relay the request");
    result.refusal = RelayResult::Refusal::NoRelay;
    co_return result;
  }
  result = co_await mRelay.RoundTrip(mFeed.CurrentState(), attempt, aHandle);
  UpstreamResponse& response = result.attempt.response;
  if (auto bodyRoom =
        mBodies.TryReserve(MemoryBudget::Use::Response, response.body.size())) {
    response.bodyRoom = std::move(*bodyRoom);
  }
  if (result.refusal == RelayResult::Refusal::UnreachableForOthers) {
    mReach.RecordUnreachableForOthers(service, aProcess.instance, mClock.Now());
  }
  mMetrics.Increment("relayed_attempts", LabelOf(result));
  const bool noRelay =
    result.refusal == RelayResult::Refusal::NoRelay && !aHandle->IsCancelled();
  if (!noRelay || direct) {
    co_return result;
  }
  // On a lost path, the outcome of a request would be unknown.
  const bool mayTry = aProgress.route->idempotent && !mReach.HasNoPath(service);
  aProgress.noPath = mReach.IsLost(service) && !mayTry;
  if (!aProgress.noPath) {
    result = {};
    result.attempt = co_await SendDirectly(aProgress, aProcess, aHandle);
  }
  co_return result;
}

RelayAttempt
RequestHandler::MakeRelayAttempt(const RequestProgress& aProgress,
                                 const UpstreamProcess& aProcess) const
{
  RelayAttempt attempt;
  attempt.service = aProgress.service;
  attempt.process = aProcess;
  const wire::UpstreamInstance* instance =
    mFeed.CurrentState().FindInstance(aProcess.instance);
  if (instance != nullptr) {
    attempt.upstreamDataCentre = instance->data_centre();
  }
  attempt.request = aProgress.request;
  attempt.route = aProgress.route->name;
  attempt.priority = aProgress.route->priority;
  attempt.objective = aProgress.route->objective;
  attempt.timeout = aProgress.route->timeout;
  attempt.age = mClock.Now() - aProgress.arrived;
  attempt.timeLeft = TimeLeft(aProgress) - Duration(kRelayMargin);
  return attempt;
}

asio::awaitable<AttemptResult>
RequestHandler::SendDirectly(RequestProgress& aProgress,
                             const UpstreamProcess& aProcess,
                             std::shared_ptr<AttemptHandle> aHandle)
{
  const Instant started = mClock.Now();
  const std::string service = aProgress.service;
  AttemptResult result = co_await mUpstreamClient.RoundTrip(
    aProcess, aProgress.request, TimeLeft(aProgress), aHandle);
  const RequestContext& context = *aProgress.context;
  const bool connecting = result.kind == AttemptResult::Kind::NotSent;
  const bool shortOfTime = connecting && context.IsCancelled() &&
                           mClock.Now() - started < Duration(kSlowConnect);
  RecordReach(service,
              aProcess,
              result,
              context.IsCancelledByCallerOrHost() || shortOfTime);
  co_return result;
}

void
RequestHandler::RecordReach(const std::string& aService,
                            const UpstreamProcess& aProcess,
                            const AttemptResult& aResult,
                            bool aGivenUp)
{
  const Instant now = mClock.Now();
  if (aResult.responded) {
    mReach.RecordResponse(
      aService, aProcess.instance, aResult.newConnection, now);
  } else if (aGivenUp) {
    return;
  } else if (aResult.kind == AttemptResult::Kind::OutcomeUnknown) {
    mReach.RecordFailure(aService, aProcess, PathFailure::NoResponse, now);
  } else if (aResult.newConnection) {
    mReach.RecordFailure(aService, aProcess, PathFailure::NoConnection, now);
  }
  LogReachChanges();
}

/// A request that is in progress is not given up: a service may seem lost while
/// its upstreams are only slow, and one may be running the request.
void
RequestHandler::LogReachChanges()
{
  for (const UpstreamReach::Change& change : mReach.TakeChanges()) {
    log::Line line(log::Part::Entry, log::Severity::Info);
    line << "path to upstreams " << (change.lost ? "lost" : "regained")
         << " service=" << change.service << " failed=" << change.failed;
    if (change.lost) {
      mMetrics.Increment("service_losses");
    } else {
      line << " lost_ms=" << Milliseconds(change.lostFor);
    }
  }
}

/// A failure on a path that this host has lost, or of a relay, shows nothing
/// about the upstream. If it counted, the allocator would take an upstream for
/// down that all other hosts can use.
AttemptOutcome
RequestHandler::OutcomeOf(const RequestProgress& aProgress,
                          const RelayResult& aResult) const
{
  if (aProgress.context->IsCancelledByCallerOrHost() || aResult.relayLost ||
      aResult.refusal == RelayResult::Refusal::NotUsable) {
    return AttemptOutcome::Abandoned;
  }
  if (aResult.refusal == RelayResult::Refusal::UnreachableForOthers) {
    return AttemptOutcome::Unreachable;
  }
  if (aResult.attempt.noRoom) {
    return AttemptOutcome::Answered;
  }
  const bool relayed =
    !aResult.relay.empty() && aResult.refusal == RelayResult::Refusal::None;
  const bool lost = !relayed && mReach.IsLost(aProgress.service);
  switch (aResult.attempt.kind) {
    case AttemptResult::Kind::Response:
      return AttemptOutcome::Answered;
    case AttemptResult::Kind::NotExecuted:
      return IsMisdirected(
               aProgress.service, aProgress.lastUpstream, aResult.attempt)
               ? AttemptOutcome::Misdirected
               : AttemptOutcome::Refused;
    case AttemptResult::Kind::NotSent:
      return lost ? AttemptOutcome::Abandoned : AttemptOutcome::Unreachable;
    case AttemptResult::Kind::OutcomeUnknown:
      break;
  }
  if (lost) {
    return AttemptOutcome::Abandoned;
  }
  return aResult.attempt.cancelled ? AttemptOutcome::TimedOut
                                   : AttemptOutcome::Broken;
}

void
RequestHandler::ProbeUpstreams()
{
  for (const UpstreamReach::Probe& probe : mReach.TakeProbes(mClock.Now())) {
    asio::co_spawn(mExecutor, ProbeUpstream(probe), asio::detached);
  }
  LogReachChanges();
}

asio::awaitable<void>
RequestHandler::ProbeUpstream(UpstreamReach::Probe aProbe)
{
  const State& state = mFeed.CurrentState();
  const UpstreamSet& upstreams = mSlots.Broker().Upstreams();
  const UpstreamProcess process{ aProbe.instance,
                                 upstreams.UsableAddress(aProbe.instance,
                                                         mClock.Now()),
                                 upstreams.IncarnationOf(aProbe.instance) };
  bool reached = false;
  const bool mayProbe = !process.address.empty() &&
                        mSlots.RestLeft(aProbe.instance) <= Duration::zero();
  if (mayProbe) {
    const auto& services = state.Items().Services();
    const auto service = services.find(aProbe.service);
    const std::string healthPath =
      service == services.end() ? std::string() : service->second.health_path();
    reached = co_await mUpstreamClient.Probe(process, healthPath);
    mMetrics.Increment("upstream_probes",
                       reached ? "end=\"reached\"" : "end=\"failed\"");
  }
  mReach.RecordProbe(aProbe, reached, mClock.Now());
  LogReachChanges();
}

wire::RelayState
RequestHandler::RelayStateFor(const std::string& aService,
                              const std::string& aInstance,
                              uint64_t aIncarnation) const
{
  const UpstreamSet& upstreams = mSlots.Broker().Upstreams();
  const Instant now = mClock.Now();
  if (mReach.IsLost(aService)) {
    return wire::RELAY_STATE_NO_PATH;
  }
  if (upstreams.ServiceOf(aInstance) != aService ||
      upstreams.IncarnationOf(aInstance) != aIncarnation) {
    return wire::RELAY_STATE_UNKNOWN_INSTANCE;
  }
  const UpstreamProcess process{ aInstance,
                                 upstreams.UsableAddress(aInstance, now),
                                 aIncarnation };
  if (process.address.empty() ||
      mSlots.RestLeft(aInstance) > Duration::zero()) {
    return wire::RELAY_STATE_NOT_USABLE;
  }
  return CanReach(aService, process) ? wire::RELAY_STATE_AGREED
                                     : wire::RELAY_STATE_UNREACHABLE;
}

asio::awaitable<RelayServer::Result>
RequestHandler::Relay(std::shared_ptr<const wire::RelayedRequest> aRequest,
                      std::shared_ptr<AttemptHandle> aHandle)
{
  RelayServer::Result result;
  result.state =
    RelayStateFor(aRequest->service(), aRequest->instance(), aRequest->life());
  if (result.state != wire::RELAY_STATE_AGREED) {
    result.attempt =
      AttemptResult::NotSent("the relay may not, or can't, send the request");
    co_return result;
  }
  result = co_await std::visit(
    [&](auto& aPolicy) { return RelayIfAdmitted(aPolicy, aRequest, aHandle); },
    mLinkPolicy);
  mMetrics.Increment("requests_relayed", "");
  co_return result;
}

asio::awaitable<RelayServer::Result>
RequestHandler::RelayIfAdmitted(
  LinkBudget& aBudget,
  std::shared_ptr<const wire::RelayedRequest> aRequest,
  std::shared_ptr<AttemptHandle> aHandle)
{
  const size_t expected = mResponseSizes.Expected(aRequest->route());
  const size_t bytes = aRequest->fields().size() + aRequest->body().size();
  if (aBudget.Admit(aRequest->priority(),
                    bytes + kRequestLineBytes,
                    expected,
                    milliseconds{ aRequest->timeout_ms() },
                    mClock.Now())) {
    co_return RelayServer::Result{
      AttemptResult::NotSent("the relay's link is full"), wire::RELAY_STATE_BUSY
    };
  }
  RelayServer::Result result = co_await RelayAdmitted(aRequest, aHandle);
  if (result.attempt.response.status == 0) {
    aBudget.Release(expected);
  }
  co_return result;
}

asio::awaitable<RelayServer::Result>
RequestHandler::RelayIfAdmitted(
  scheduling::LinkAdmission& aAdmission,
  std::shared_ptr<const wire::RelayedRequest> aRequest,
  std::shared_ptr<AttemptHandle> aHandle)
{
  const Instant now = mClock.Now();
  scheduling::LinkRequest request;
  request.route = aRequest->route();
  request.priority = aRequest->priority();
  request.requestBytes =
    aRequest->fields().size() + aRequest->body().size() + kRequestLineBytes;
  request.responseBytes = mResponseSizes.Expected(aRequest->route());
  request.objective = milliseconds{ aRequest->objective_ms() };
  request.age = milliseconds{ aRequest->age_ms() };
  request.timeLeft = milliseconds{ aRequest->left_ms() };
  request.timeout = milliseconds{ aRequest->timeout_ms() };
  const auto decision = aAdmission.Decide(request, now);
  if (const auto* refusal = std::get_if<scheduling::LinkRefusal>(&decision)) {
    if (refusal->linkDelay >= Duration(kBusyLinkDelay)) {
      co_return RelayServer::Result{ AttemptResult::NotSent(
                                       "the relay's link is full"),
                                     wire::RELAY_STATE_BUSY };
    }
    co_return co_await RelayAdmitted(aRequest, aHandle);
  }
  const auto reservation = std::get<scheduling::LinkReservation>(decision);
  RelayServer::Result result = co_await RelayAdmitted(aRequest, aHandle);
  const UpstreamResponse& response = result.attempt.response;
  scheduling::LinkOutcome outcome;
  outcome.attempts =
    result.attempt.kind == AttemptResult::Kind::NotSent ? 0 : 1;
  outcome.callerBytes = response.body.size() + kRequestLineBytes;
  if (response.status != 0) {
    outcome.upstreamBytes = response.body.size() + kRequestLineBytes;
  }
  aAdmission.Settle(request, reservation, outcome, mClock.Now());
  co_return result;
}

asio::awaitable<RelayServer::Result>
RequestHandler::RelayAdmitted(
  std::shared_ptr<const wire::RelayedRequest> aRequest,
  std::shared_ptr<AttemptHandle> aHandle)
{
  const Instant started = mClock.Now();
  const std::string& instance = aRequest->instance();
  const UpstreamSet& upstreams = mSlots.Broker().Upstreams();
  const UpstreamProcess process{ instance,
                                 upstreams.UsableAddress(instance, started),
                                 aRequest->life() };
  const auto request =
    std::make_shared<const UpstreamRequest>(FromMessage(*aRequest));
  const Duration left = milliseconds{ aRequest->left_ms() };
  RelayServer::Result result;
  result.attempt =
    co_await mUpstreamClient.RoundTrip(process, request, left, aHandle);
  const AttemptResult& attempt = result.attempt;
  if (attempt.response.status != 0) {
    RecordTraffic(LinkUse::Upstreams,
                  LinkDirection::In,
                  attempt.response.body.size() + kRequestLineBytes);
  }
  const Slot slot{ 0, {}, instance, process.address, process.incarnation };
  RecordLoad(slot, attempt);
  RecordReach(aRequest->service(), process, attempt, aHandle->IsCancelled());
  if (attempt.kind == AttemptResult::Kind::NotSent) {
    result.state = mReach.IsLost(aRequest->service())
                     ? wire::RELAY_STATE_NO_PATH
                     : wire::RELAY_STATE_UNREACHABLE;
  }
  co_return result;
}

} // namespace rattandyke::gateway
