// Calls of upstreams and operators.
#include <algorithm>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/endpoint.h"
#include "gateway/control_host_impl.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Attempts to grant keys that another heartbeat was given meanwhile.
constexpr int kGrantAttempts = 3;
/// Longest delay of an answer for keys on their way; an upstream takes answers
/// that come within a second.
constexpr milliseconds kKeysAwaited{ 350 };
/// Of an id that anyone may have written, in the log.
constexpr size_t kLoggedId = 64;
constexpr size_t kLoggedTarget = 128;
constexpr int kLoggedItems = 8;

constexpr unsigned kOk = 200;
constexpr unsigned kInvalid = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;

/// What a change changes, for the log: names of a few items and how many.
std::string
Summary(const wire::ChangeItems& aChange)
{
  std::ostringstream text;
  int named = 0;
  const auto list = [&](std::string_view aKind, const auto& aItems) {
    text << aItems.size() << " " << aKind;
    for (const auto& item : aItems) {
      if (named++ < kLoggedItems) {
        text << " " << item.name().substr(0, kLoggedId) << "@"
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

asio::awaitable<HttpResponse>
ControlHost::Impl::HandleWeak(std::weak_ptr<Impl> aSelf, HttpRequest aCall)
{
  const auto self = aSelf.lock();
  if (!self) {
    co_return HttpResponse{ kUnavailable, "", "application/json" };
  }
  const Instant arrived = self->clock.Now();
  HttpResponse answer = co_await self->Handle(std::move(aCall));
  self->metrics.Increment("calls",
                          "status=\"" + std::to_string(answer.status) + "\"");
  self->metrics.Observe("call", self->clock.Now() - arrived);
  co_return answer;
}

asio::awaitable<HttpResponse>
ControlHost::Impl::Handle(HttpRequest aCall)
{
  if (driver->IsLeader()) {
    co_return co_await HandleAsLeader(aCall);
  }
  const auto leader = driver->LeaderHint();
  if (!leader || *leader == self) {
    co_return Unavailable("No control host leads at the moment.");
  }
  if (dialect.IsHeartbeat(aCall.method, aCall.target)) {
    Result<ControlCall> call =
      dialect.DecodeCall(aCall.method, aCall.target, aCall.body);
    if (!call) {
      co_return Unread(aCall, call.error());
    }
    co_return co_await ForwardHeartbeat(*leader, std::get<Heartbeat>(*call));
  }
  const uint64_t id = ++lastCall;
  auto awaited = std::make_shared<Awaited<HttpResponse>>(executor);
  forwarded[id] = awaited;
  wire::GatewayFrame frame;
  wire::ForwardedCall* call = frame.mutable_forwarded_call();
  call->set_id(id);
  call->set_reply_to(self.value);
  call->set_method(aCall.method);
  call->set_target(aCall.target);
  call->set_body(aCall.body);
  mesh->Send(*leader, frame.SerializeAsString());
  co_await awaited->timer.async_wait(kAwait);
  forwarded.erase(id);
  co_return awaited->value.value_or(Unavailable("The leader does not answer."));
}

void
ControlHost::Impl::OnForwardedCall(const wire::ForwardedCall& aCall)
{
  asio::co_spawn(
    executor, AnswerForwarded(shared_from_this(), aCall), asio::detached);
}

asio::awaitable<void>
ControlHost::Impl::AnswerForwarded(std::shared_ptr<Impl> aSelf,
                                   wire::ForwardedCall aCall)
{
  HttpResponse answer = aSelf->Unavailable("This host does not lead.");
  if (aSelf->driver->IsLeader()) {
    const HttpRequest request{ aCall.method(), aCall.target(), aCall.body() };
    answer = co_await aSelf->HandleAsLeader(request);
  }
  wire::GatewayFrame frame;
  wire::ForwardedAnswer* reply = frame.mutable_forwarded_answer();
  reply->set_id(aCall.id());
  reply->set_status(answer.status);
  reply->set_body(answer.body);
  aSelf->mesh->Send(HostName{ aCall.reply_to() }, frame.SerializeAsString());
}

void
ControlHost::Impl::OnForwardedAnswer(const wire::ForwardedAnswer& aAnswer)
{
  const auto found = forwarded.find(aAnswer.id());
  if (found != forwarded.end()) {
    HttpResponse answer;
    answer.status = aAnswer.status();
    answer.body = aAnswer.body();
    found->second->Set(std::move(answer));
  }
}

asio::awaitable<HttpResponse>
ControlHost::Impl::HandleAsLeader(const HttpRequest& aCall)
{
  Result<ControlCall> call =
    dialect.DecodeCall(aCall.method, aCall.target, aCall.body);
  if (!call) {
    co_return Unread(aCall, call.error());
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&*call)) {
    co_return co_await OnCall(*heartbeat);
  }
  if (const auto* leaving = std::get_if<Deregistration>(&*call)) {
    co_return co_await OnCall(*leaving);
  }
  if (const auto* change = std::get_if<wire::ChangeItems>(&*call)) {
    co_return co_await OnCall(*change);
  }
  if (const auto* evacuation = std::get_if<Evacuation>(&*call)) {
    co_return co_await OnCall(*evacuation);
  }
  co_return OnRead();
}

/// A call that can't be read.
HttpResponse
ControlHost::Impl::Unread(const HttpRequest& aCall, const Error& aError)
{
  CountNotTaken(aError);
  Info() << "refuses " << aCall.method << " "
         << aCall.target.substr(0, kLoggedTarget) << ": " << aError.message;
  return Refused(aError);
}

asio::awaitable<HttpResponse>
ControlHost::Impl::OnCall(const Heartbeat& aHeartbeat)
{
  co_return Encoded(co_await Decide(aHeartbeat));
}

asio::awaitable<Result<HeartbeatAnswer>>
ControlHost::Impl::Decide(const Heartbeat& aHeartbeat)
{
  const Instant arrived = clock.Now();
  if (Result<void> checked = rangeAssigner.Check(aHeartbeat, state); !checked) {
    static_cast<void>(
      NotTaken("heartbeat", aHeartbeat.instance, checked.error()));
    co_return tl::unexpected(checked.error());
  }
  std::vector<wire::GatewayCommand> due =
    rangeAssigner.OnHeartbeat(aHeartbeat, state, arrived);
  for (const wire::GatewayCommand& command : due) {
    Info() << "heartbeat " << aHeartbeat.sequence << " of "
           << aHeartbeat.instance << ": " << command.ShortDebugString();
  }
  Result<void> committed = co_await Commit(std::move(due));
  co_await AwaitKeys(aHeartbeat);
  for (int attempt = 0; committed && attempt < kGrantAttempts; ++attempt) {
    const auto grant = rangeAssigner.PlanGrant(aHeartbeat, state, clock.Now());
    if (!grant) {
      break;
    }
    const Result<void> granted = co_await Propose(*grant);
    if (granted) {
      Info() << "grants " << grant->ShortDebugString();
      break;
    }
    if (granted.error().code != Code::RevisionConflict) {
      committed = granted;
    }
  }
  if (!committed) {
    co_return tl::unexpected(committed.error());
  }
  // Safeguard: while the commands were committed, this host may have stood
  // still and another may lead by now. An answer would renew keys that the
  // other has given away.
  if (!LeadsSurely()) {
    co_return Fail(Code::NoQuorum, "This host may not lead any more.");
  }
  HeartbeatAnswer answer;
  answer.grants = rangeAssigner.RenewLease(aHeartbeat, state, arrived);
  co_return answer;
}

asio::awaitable<HttpResponse>
ControlHost::Impl::OnCall(const Deregistration& aLeaving)
{
  const auto command = rangeAssigner.OnDeregistration(aLeaving, state);
  if (!command) {
    co_return NotTaken("deregistration", aLeaving.instance, command.error());
  }
  const Result<void> ended = co_await Propose(*command);
  Info() << "instance " << aLeaving.instance << " life " << aLeaving.life
         << " leaves";
  co_return ended ? HttpResponse{ kOk, "{}", "application/json" }
                  : Refused(ended.error());
}

asio::awaitable<HttpResponse>
ControlHost::Impl::OnCall(const wire::ChangeItems& aChange)
{
  if (Result<void> allowed = state.Items().Check(aChange); !allowed) {
    Info() << "refuses a change: " << allowed.error().message;
    co_return Refused(allowed.error());
  }
  wire::GatewayCommand command;
  *command.mutable_change_items() = aChange;
  const Result<void> changed = co_await Propose(command);
  if (!changed) {
    Info() << "refuses a change: " << changed.error().message;
    co_return Refused(changed.error());
  }
  Info() << "takes a change: " << Summary(aChange) << ", in force at index "
         << state.AppliedIndex().value;
  co_return HttpResponse{ kOk, "{}", "application/json" };
}

bool
ControlHost::Impl::IsDataCentre(const DataCentre& aName) const
{
  const auto& known = settings.dataCentres;
  return known.empty() ||
         std::find(known.begin(), known.end(), aName) != known.end();
}

/// Committed also if it changes nothing: an order against it may be under way,
/// and the one that is answered last must be the one in force.
asio::awaitable<HttpResponse>
ControlHost::Impl::OnCall(const Evacuation& aOrder)
{
  const char* const what = aOrder.ends ? "the end" : "the start";
  if (!IsDataCentre(aOrder.dataCentre)) {
    Info() << "refuses " << what << " of an evacuation of an unknown data "
           << "centre";
    co_return Refused(
      Error{ Code::UnknownRecord, "There is no such data centre." });
  }
  wire::GatewayCommand command;
  wire::EvacuateDataCentre* order = command.mutable_evacuate_data_centre();
  order->set_data_centre(aOrder.dataCentre.value);
  order->set_ends(aOrder.ends);
  const Result<void> done = co_await Propose(command);
  if (!done) {
    co_return Refused(done.error());
  }
  Info() << "takes " << what << " of the evacuation of "
         << aOrder.dataCentre.value << ", in force at index "
         << state.AppliedIndex().value;
  metrics.Increment("evacuations",
                    aOrder.ends ? "order=\"end\"" : "order=\"start\"");
  co_return HttpResponse{ kOk, "{}", "application/json" };
}

HttpResponse
ControlHost::Impl::OnRead() const
{
  if (!LeadsSurely() || state.Items().IsEmpty()) {
    return Unavailable("There is no configuration to tell of yet.");
  }
  wire::GatewayState items;
  state.Items().Save(items);
  return { kOk, dialect.EncodeItems(items), "application/json" };
}

/// Keys on their way to the instance are told of in this answer rather than
/// in the next, a heartbeat interval later.
asio::awaitable<void>
ControlHost::Impl::AwaitKeys(const Heartbeat& aHeartbeat)
{
  const Instant now = clock.Now();
  if (!LeadsSurely() ||
      !rangeAssigner.ShouldDelayAnswer(aHeartbeat, state, now)) {
    co_return;
  }
  auto freed = std::make_shared<asio::steady_timer>(executor, kKeysAwaited);
  keyWaiters.push_back(freed);
  co_await freed->async_wait(kAwait);
}

/// Keys have become free: answers that wait for some go on.
void
ControlHost::Impl::WakeKeyWaiters()
{
  for (const auto& waiter : std::exchange(keyWaiters, {})) {
    if (const auto timer = waiter.lock()) {
      timer->cancel();
    }
  }
}

void
ControlHost::Impl::CountNotTaken(const Error& aError)
{
  metrics.Increment("messages_not_taken",
                    "code=\"" + std::string(Describe(aError.code).name) + "\"");
}

/// A message of another writer, or of an earlier life.
HttpResponse
ControlHost::Impl::NotTaken(std::string_view aCall,
                            const std::string& aInstance,
                            const Error& aError)
{
  CountNotTaken(aError);
  Info() << "takes no " << aCall << " of " << aInstance.substr(0, kLoggedId)
         << ": " << aError.message;
  return Refused(aError);
}

HttpResponse
ControlHost::Impl::Refused(const Error& aError) const
{
  return { StatusOf(aError), dialect.Encode(aError), "application/json" };
}

HttpResponse
ControlHost::Impl::Unavailable(std::string aText) const
{
  return Refused(Error{ Code::NoQuorum, std::move(aText) });
}

asio::awaitable<HttpResponse>
ControlHost::Impl::AnswerMetrics(std::weak_ptr<Impl> aSelf, HttpRequest aCall)
{
  const auto self = aSelf.lock();
  co_return HttpResponse{ self ? kOk : kUnavailable,
                          self ? self->MetricsPage() : std::string(),
                          "text/plain" };
}

std::string
ControlHost::Impl::MetricsPage()
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
  return metrics.PrometheusText();
}

} // namespace rattandyke::gateway
