// HTTP calls of upstreams and operators.
#include <algorithm>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/endpoint.h"
#include "base/identifier.h"
#include "gateway/call_names.h"
#include "gateway/control_host_impl.h"
#include "gateway/slot_metrics.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Attempts to grant free keys when another heartbeat gets them first.
constexpr int kGrantAttempts = 3;
/// Longest time for which an answer is delayed until keys are free. An upstream
/// accepts answers within a second.
constexpr milliseconds kMaxRangeWait{ 350 };
/// Time for the close of a sender that no longer waits to arrive behind its
/// order: a round trip between distant data centres.
constexpr milliseconds kCloseInTransit{ 100 };
/// Age at which an order is not carried out: its sender may have sent it to
/// another host.
constexpr milliseconds kMaxOrderAge{ 900 };
/// Limits of untrusted text in log lines.
constexpr size_t kMaxLoggedIdBytes = 64;
constexpr size_t kMaxLoggedTargetBytes = 128;
constexpr int kMaxLoggedItems = 8;

constexpr unsigned kOk = 200;
constexpr unsigned kInvalid = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;

/// @return a description of a change for the log: how many items of each kind,
/// and the names and versions of the first few.
std::string
Summary(const wire::ChangeItems& aChange)
{
  std::ostringstream text;
  int listedItems = 0;
  const auto list = [&](std::string_view aKind, const auto& aItems) {
    text << aItems.size() << " " << aKind;
    for (const auto& item : aItems) {
      if (listedItems++ < kMaxLoggedItems) {
        text << " " << item.name().substr(0, kMaxLoggedIdBytes) << "@"
             << item.version();
      }
    }
    text << "; ";
  };
  list("routes", aChange.routes());
  list("services", aChange.services());
  list("dropped routes", aChange.dropped_routes());
  list("dropped services", aChange.dropped_services());
  text << "limits " << (aChange.has_limits() ? "changed" : "kept");
  return text.str();
}

/// @return the HTTP status for an error.
unsigned
StatusOf(const Error& aError)
{
  switch (aError.code) {
    case Code::UnknownRecord:
      return kNotFound;
    case Code::InvalidRecord:
      return kInvalid;
    case Code::RevisionConflict:
    case Code::UpstreamSuperseded:
      return kConflict;
    default:
      return kUnavailable;
  }
}

} // namespace

/// Handles a call and counts it in the metrics.
asio::awaitable<HttpResponse>
ControlHost::Impl::ServeCall(std::weak_ptr<Impl> aSelf, HttpRequest aCall)
{
  const auto self = aSelf.lock();
  if (!self) {
    co_return HttpResponse{ kUnavailable, "", "application/json" };
  }
  const Instant arrivedAt = self->clock.Now();
  HttpResponse response;
  std::optional<HttpResponse> refused;
  if (self->IsUnversionedOrder(aCall)) {
    refused = co_await self->RefuseOldOrder(aCall, arrivedAt);
  }
  if (refused) {
    response = std::move(*refused);
  } else {
    response = co_await self->HandleOrForward(std::move(aCall), arrivedAt);
  }
  self->metrics.Increment("calls",
                          "status=\"" + std::to_string(response.status) + "\"");
  self->metrics.Observe("call", self->clock.Now() - arrivedAt);
  co_return response;
}

bool
ControlHost::Impl::IsUnversionedOrder(const HttpRequest& aCall) const
{
  return IsLiftOfBan(aCall) ||
         dialect.IsUnversionedOrder(aCall.method, aCall.target);
}

/// The sender of an order turns to another host after a second, and sends other
/// orders once that one has carried it out. This host may read the first
/// sending only then: if it was paused, or if the connection was cut off. It
/// can't tell how old the order is after a pause; after a cut, the sender's
/// close follows its bytes within a round trip.
asio::awaitable<std::optional<HttpResponse>>
ControlHost::Impl::RefuseOldOrder(const HttpRequest& aCall, Instant aArrivedAt)
{
  asio::steady_timer timer(executor, kCloseInTransit);
  co_await timer.async_wait(kAwait);
  const Instant now = clock.Now();
  if (pauses.MayBeOld(now) || now - aArrivedAt >= Duration(kMaxOrderAge)) {
    co_return RefuseOrder(
      aCall, "paused", "This host was paused; the order may be an old one.");
  }
  if (aCall.hasClientLeft && aCall.hasClientLeft()) {
    co_return RefuseOrder(
      aCall, "client_left", "The sender no longer waits for the response.");
  }
  co_return std::nullopt;
}

/// @return a response after which the sender sends the order again.
HttpResponse
ControlHost::Impl::RefuseOrder(const HttpRequest& aCall,
                               std::string_view aReason,
                               std::string aText)
{
  Info() << "this host does not carry out the order " << aCall.method << " "
         << Printable(aCall.target.substr(0, kMaxLoggedTargetBytes)) << ": "
         << aText;
  metrics.Increment("orders_refused",
                    "reason=\"" + std::string(aReason) + "\"");
  HttpResponse response = UnavailableResponse(std::move(aText));
  response.closes = true;
  return response;
}

/// Handles a call as the leader, or forwards it to the leader.
asio::awaitable<HttpResponse>
ControlHost::Impl::HandleOrForward(HttpRequest aCall, Instant aArrivedAt)
{
  if (driver->IsLeader()) {
    co_return co_await HandleAsLeader(aCall);
  }
  const auto leader = driver->LeaderHint();
  if (!leader || *leader == self) {
    co_return UnavailableResponse(
      "No control host is the leader at the moment.");
  }
  if (dialect.IsHeartbeat(aCall.method, aCall.target)) {
    Result<ControlCall> call = DecodeCall(aCall);
    if (!call) {
      co_return RejectUnreadable(aCall, call.error());
    }
    co_return co_await ForwardHeartbeat(*leader, std::get<Heartbeat>(*call));
  }
  co_return co_await ForwardCall(*leader, std::move(aCall), aArrivedAt);
}

asio::awaitable<HttpResponse>
ControlHost::Impl::ForwardCall(HostName aLeader,
                               HttpRequest aCall,
                               Instant aArrivedAt)
{
  const uint64_t id = requestIds.Next();
  auto pending = std::make_shared<PendingResult<HttpResponse>>(executor);
  pendingCalls[id] = pending;
  wire::GatewayFrame frame;
  wire::ForwardedCall* call = frame.mutable_forwarded_call();
  call->set_id(id);
  call->set_reply_to(self.value);
  call->set_method(aCall.method);
  call->set_target(aCall.target);
  call->set_body(aCall.body);
  call->set_waited_ms(static_cast<uint32_t>(
    std::chrono::duration_cast<milliseconds>(clock.Now() - aArrivedAt)
      .count()));
  mesh->Send(aLeader, frame.SerializeAsString());
  co_await pending->timer.async_wait(kAwait);
  pendingCalls.erase(id);
  co_return pending->value.value_or(
    UnavailableResponse("The leader did not answer in time."));
}

/// Handles a call that another control host received.
void
ControlHost::Impl::OnForwardedCall(const wire::ForwardedCall& aCall)
{
  asio::co_spawn(
    executor, AnswerForwardedCall(shared_from_this(), aCall), asio::detached);
}

asio::awaitable<void>
ControlHost::Impl::AnswerForwardedCall(std::shared_ptr<Impl> aSelf,
                                       wire::ForwardedCall aCall)
{
  HttpResponse response =
    aSelf->UnavailableResponse("This host is not the leader.");
  if (aSelf->driver->IsLeader()) {
    const HttpRequest request{ aCall.method(), aCall.target(), aCall.body() };
    const bool mayBeOld = aSelf->pauses.MayBeOld(aSelf->clock.Now()) ||
                          milliseconds{ aCall.waited_ms() } >= kMaxOrderAge;
    if (mayBeOld && aSelf->IsUnversionedOrder(request)) {
      response = aSelf->RefuseOrder(
        request,
        "paused",
        "The leader was paused; the order may be an old one.");
    } else {
      response = co_await aSelf->HandleAsLeader(request);
    }
  }
  wire::GatewayFrame frame;
  wire::ForwardedAnswer* reply = frame.mutable_forwarded_answer();
  reply->set_id(aCall.id());
  reply->set_status(response.status);
  reply->set_body(response.body);
  aSelf->mesh->Send(HostName{ aCall.reply_to() }, frame.SerializeAsString());
}

/// Passes the leader's answer to the call that awaits it, unless that has timed
/// out.
void
ControlHost::Impl::OnForwardedAnswer(const wire::ForwardedAnswer& aAnswer)
{
  const auto found = pendingCalls.find(aAnswer.id());
  if (found != pendingCalls.end()) {
    HttpResponse response;
    response.status = aAnswer.status();
    response.body = aAnswer.body();
    found->second->Complete(std::move(response));
  }
}

/// @return the call with all its names checked, or the error that its sender
/// gets.
Result<ControlCall>
ControlHost::Impl::DecodeCall(const HttpRequest& aCall) const
{
  Result<ControlCall> call =
    dialect.DecodeCall(aCall.method, aCall.target, aCall.body);
  if (call) {
    if (Result<void> checked = CheckNames(*call); !checked) {
      return tl::unexpected(checked.error());
    }
  }
  return call;
}

/// Decodes a call and handles it on the leader.
asio::awaitable<HttpResponse>
ControlHost::Impl::HandleAsLeader(const HttpRequest& aCall)
{
  if (auto response = OnBanCall(aCall)) {
    co_return std::move(*response);
  }
  Result<ControlCall> call = DecodeCall(aCall);
  if (!call) {
    co_return RejectUnreadable(aCall, call.error());
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&*call)) {
    co_return co_await OnCall(*heartbeat);
  }
  if (const auto* deregistration = std::get_if<Deregistration>(&*call)) {
    co_return co_await OnCall(*deregistration);
  }
  if (const auto* change = std::get_if<wire::ChangeItems>(&*call)) {
    co_return co_await OnCall(*change);
  }
  if (const auto* evacuation = std::get_if<Evacuation>(&*call)) {
    co_return co_await OnCall(*evacuation);
  }
  co_return OnReadItems();
}

/// Logs and counts a call that can't be decoded.
/// @return the error's response.
HttpResponse
ControlHost::Impl::RejectUnreadable(const HttpRequest& aCall,
                                    const Error& aError)
{
  CountRejected(aError);
  Info() << "this host refuses the call " << aCall.method << " "
         << Printable(aCall.target.substr(0, kMaxLoggedTargetBytes)) << ": "
         << aError.message;
  return ErrorResponse(aError);
}

asio::awaitable<HttpResponse>
ControlHost::Impl::OnCall(const Heartbeat& aHeartbeat)
{
  co_return ToResponse(co_await ProcessHeartbeat(aHeartbeat));
}

asio::awaitable<Result<HeartbeatAnswer>>
ControlHost::Impl::ProcessHeartbeat(const Heartbeat& aHeartbeat)
{
  const Instant arrivedAt = clock.Now();
  crashWatch.OnHeartbeat(
    { aHeartbeat.instance, aHeartbeat.life }, aHeartbeat.sequence, arrivedAt);
  if (Result<void> checked = rangeAssigner.Check(aHeartbeat, state); !checked) {
    static_cast<void>(
      RejectMessage("heartbeat", aHeartbeat.instance, checked.error()));
    co_return tl::unexpected(checked.error());
  }
  std::vector<wire::GatewayCommand> commands =
    rangeAssigner.OnHeartbeat(aHeartbeat, state, arrivedAt);
  for (const wire::GatewayCommand& command : commands) {
    Info() << "this host proposes for heartbeat " << aHeartbeat.sequence
           << " of " << aHeartbeat.instance << ": "
           << command.ShortDebugString();
  }
  Result<void> committed = co_await CommitInOrder(std::move(commands));
  co_await AwaitFreedRanges(aHeartbeat);
  for (int attempt = 0; committed && attempt < kGrantAttempts; ++attempt) {
    const auto grant = rangeAssigner.PlanGrant(aHeartbeat, state, clock.Now());
    if (!grant) {
      break;
    }
    const Result<void> proposed = co_await Propose(*grant);
    if (proposed) {
      Info() << "this host grants keys: " << grant->ShortDebugString();
      break;
    }
    if (proposed.error().code != Code::RevisionConflict) {
      committed = proposed;
    }
  }
  if (!committed) {
    co_return tl::unexpected(committed.error());
  }
  // This host may have been paused while the commands were committed, and
  // another host may be the leader by now. An answer would then renew the lease
  // on keys that the new leader has granted to another instance.
  if (!HoldsLeaderLease()) {
    co_return Fail(Code::NoQuorum, "This host may no longer be the leader.");
  }
  HeartbeatAnswer answer;
  answer.grants = rangeAssigner.RenewLease(aHeartbeat, state, arrivedAt);
  co_return answer;
}

asio::awaitable<HttpResponse>
ControlHost::Impl::OnCall(const Deregistration& aDeregistration)
{
  crashWatch.OnLeaving({ aDeregistration.instance, aDeregistration.life });
  ProposeCrashes();
  const auto command = rangeAssigner.OnDeregistration(aDeregistration, state);
  if (!command) {
    co_return RejectMessage(
      "deregistration", aDeregistration.instance, command.error());
  }
  const Result<void> ended = co_await Propose(*command);
  Info() << "instance " << aDeregistration.instance << " life "
         << aDeregistration.life << " leaves";
  co_return ended ? HttpResponse{ kOk, "{}", "application/json" }
                  : ErrorResponse(ended.error());
}

asio::awaitable<HttpResponse>
ControlHost::Impl::OnCall(const wire::ChangeItems& aChange)
{
  if (Result<void> allowed = state.Items().Check(aChange); !allowed) {
    Info() << "this host refuses a change of items: "
           << allowed.error().message;
    co_return ErrorResponse(allowed.error());
  }
  wire::GatewayCommand command;
  *command.mutable_change_items() = aChange;
  const Result<void> changed = co_await Propose(command);
  if (!changed) {
    Info() << "this host refuses a change of items: "
           << changed.error().message;
    co_return ErrorResponse(changed.error());
  }
  Info() << "this host accepts a change of items: " << Summary(aChange)
         << ", in force at index " << state.AppliedIndex().value;
  co_return HttpResponse{ kOk, "{}", "application/json" };
}

/// @return whether the settings name a data centre, or name none at all.
bool
ControlHost::Impl::IsDataCentre(const DataCentre& aName) const
{
  const auto& known = settings.dataCentres;
  return known.empty() ||
         std::find(known.begin(), known.end(), aName) != known.end();
}

/// Starts or ends the evacuation of a data centre. Commits the command even if
/// it changes nothing: the opposite call may be in progress, and the call that
/// is answered last must take effect last.
asio::awaitable<HttpResponse>
ControlHost::Impl::OnCall(const Evacuation& aEvacuation)
{
  const char* const phase = aEvacuation.ends ? "the end" : "the start";
  if (!IsDataCentre(aEvacuation.dataCentre)) {
    Info() << "this host refuses " << phase
           << " of an evacuation of an unknown data "
           << "centre";
    co_return ErrorResponse(
      Error{ Code::UnknownRecord, "The settings name no such data centre." });
  }
  wire::GatewayCommand command;
  wire::EvacuateDataCentre* evacuation = command.mutable_evacuate_data_centre();
  evacuation->set_data_centre(aEvacuation.dataCentre.value);
  evacuation->set_ends(aEvacuation.ends);
  const Result<void> committed = co_await Propose(command);
  if (!committed) {
    co_return ErrorResponse(committed.error());
  }
  Info() << "this host accepts " << phase << " of the evacuation of "
         << aEvacuation.dataCentre.value << ", in force at index "
         << state.AppliedIndex().value;
  metrics.Increment("evacuations",
                    aEvacuation.ends ? "order=\"end\"" : "order=\"start\"");
  co_return HttpResponse{ kOk, "{}", "application/json" };
}

/// @return the current configuration items.
HttpResponse
ControlHost::Impl::OnReadItems() const
{
  if (!HoldsLeaderLease() || state.Items().IsEmpty()) {
    return UnavailableResponse("There is no configuration to return yet.");
  }
  wire::GatewayState items;
  state.Items().Save(items);
  return { kOk, dialect.EncodeItems(items), "application/json" };
}

/// Waits, for at most kMaxRangeWait, until keys that the instance may get are
/// free, so that this answer can grant them and not the next one, a heartbeat
/// interval later.
asio::awaitable<void>
ControlHost::Impl::AwaitFreedRanges(const Heartbeat& aHeartbeat)
{
  const Instant now = clock.Now();
  if (!HoldsLeaderLease() ||
      !rangeAssigner.ShouldDelayAnswer(aHeartbeat, state, now)) {
    co_return;
  }
  auto timer = std::make_shared<asio::steady_timer>(executor, kMaxRangeWait);
  rangeWaiters.push_back(timer);
  co_await timer->async_wait(kAwait);
}

/// Resumes all heartbeats that wait in AwaitFreedRanges.
void
ControlHost::Impl::WakeRangeWaiters()
{
  for (const auto& waiter : std::exchange(rangeWaiters, {})) {
    if (const auto timer = waiter.lock()) {
      timer->cancel();
    }
  }
}

void
ControlHost::Impl::CountRejected(const Error& aError)
{
  metrics.Increment("messages_not_taken",
                    "code=\"" + std::string(Describe(aError.code).name) + "\"");
}

/// Logs and counts a heartbeat or deregistration that the range assigner
/// rejects, for example one of an earlier incarnation.
/// @return the error's response.
HttpResponse
ControlHost::Impl::RejectMessage(std::string_view aCall,
                                 const std::string& aInstance,
                                 const Error& aError)
{
  CountRejected(aError);
  Info() << "this host takes no " << aCall << " of "
         << Printable(aInstance.substr(0, kMaxLoggedIdBytes)) << ": "
         << aError.message;
  return ErrorResponse(aError);
}

HttpResponse
ControlHost::Impl::ErrorResponse(const Error& aError) const
{
  return { StatusOf(aError), dialect.Encode(aError), "application/json" };
}

HttpResponse
ControlHost::Impl::UnavailableResponse(std::string aText) const
{
  return ErrorResponse(Error{ Code::NoQuorum, std::move(aText) });
}

asio::awaitable<HttpResponse>
ControlHost::Impl::ServeMetrics(std::weak_ptr<Impl> aSelf, HttpRequest aCall)
{
  const auto self = aSelf.lock();
  co_return HttpResponse{ self ? kOk : kUnavailable,
                          self ? self->RenderMetrics() : std::string(),
                          "text/plain" };
}

std::string
ControlHost::Impl::RenderMetrics()
{
  const consensus::GroupStatus status = driver->Status();
  metrics.Set("state_index", static_cast<double>(state.AppliedIndex().value));
  metrics.Set("leads", driver->IsLeader() ? 1 : 0);
  metrics.Set("term", static_cast<double>(status.term.value));
  metrics.Set("members", static_cast<double>(status.members.size()));
  metrics.Set("disk_syncs", static_cast<double>(status.syncs));
  metrics.Set("disk_failing", status.storageError.empty() ? 0 : 1);
  metrics.Set("entries", static_cast<double>(state.Entries().size()));
  metrics.Set("upstreams", static_cast<double>(state.Instances().size()));
  metrics.Set("bans",
              static_cast<double>(state.Crashes().Bans(clock.Wall()).size()));
  metrics.Set("rests_recorded", static_cast<double>(rests.Size()));
  if (slots) {
    SetSlotMetrics(metrics, *slots);
  }
  return metrics.PrometheusText();
}

} // namespace rattandyke::gateway
