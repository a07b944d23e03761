#include "gateway/request_relay.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "gateway/relay_wire.h"
#include "http/signal.h"
#include "log/log.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using http::kAwait;
using std::chrono::milliseconds;

/// Time for the answer of a host that is asked to relay.
constexpr milliseconds kAnswerTimeout{ 250 };
/// Hosts that are asked at the same time. If a third of all hosts have no path
/// to upstreams, one in 27 such groups has none.
constexpr size_t kAskedAtOnce = 3;
constexpr int kMaxAskRounds = 3;
/// Relays that one attempt tries.
constexpr int kMaxRelays = 3;
/// Relays among which this host's requests for a service are spread.
constexpr size_t kWantedRelays = 3;
constexpr milliseconds kAskMoreInterval{ 200 };
/// Hosts that reach the service, but not the upstream, after which it counts as
/// unreachable for all.
constexpr size_t kEnoughWithoutInstance = 2;
/// Time left below which no relay is looked for.
constexpr milliseconds kMinTimeLeft{ 10 };
constexpr uint32_t kMillisecond = 1;

uint32_t
ToMs(Duration aTime)
{
  const auto ms = std::chrono::duration_cast<milliseconds>(aTime).count();
  return static_cast<uint32_t>(std::max<int64_t>(ms, 0));
}

} // namespace

/// Questions to several hosts at the same time.
struct RequestRelay::Ask
{
  explicit Ask(const asio::any_io_executor& aExecutor)
    : timer(aExecutor)
  {
  }

  std::string service;
  /// Hosts that have not answered, by the id of the question.
  std::map<uint64_t, std::string> open;
  std::map<std::string, wire::RelayState> answers;
  std::string agreed;
  /// No request waits for the answers.
  bool inBackground = false;
  asio::steady_timer timer;
};

/// A request that was sent to a relay.
struct RequestRelay::Pending
{
  explicit Pending(const asio::any_io_executor& aExecutor)
    : timer(aExecutor)
  {
  }

  std::string peer;
  std::optional<wire::RelayedResponse> response;
  bool lost = false;
  /// The relay was lost before anything was sent to it.
  bool neverSent = false;
  asio::steady_timer timer;
};

RequestRelay::RequestRelay(asio::any_io_executor aExecutor,
                           RelayPeers aPeers,
                           Send aSend,
                           const Clock& aClock)
  : mAlive(std::make_shared<bool>(true))
  , mExecutor(std::move(aExecutor))
  , mPeers(std::move(aPeers))
  , mSend(std::move(aSend))
  , mClock(aClock)
{
}

RequestRelay::~RequestRelay() = default;

asio::awaitable<RelayResult>
RequestRelay::RoundTrip(const State& aState,
                        RelayAttempt aAttempt,
                        std::shared_ptr<AttemptHandle> aHandle)
{
  RelayResult result;
  result.refusal = RelayResult::Refusal::NoRelay;
  result.attempt = AttemptResult::NotSent("no host relays the request");
  const UpstreamRequest& request = *aAttempt.request;
  if (request.fields.size() + request.body.size() > kMaxBytes) {
    result.attempt =
      AttemptResult::NotSent("the request is too large to be relayed");
    co_return result;
  }
  const Instant deadline = mClock.Now() + aAttempt.timeLeft;
  Tried tried;
  for (int relays = 0; relays < kMaxRelays; ++relays) {
    const std::string peer =
      co_await FindRelay(aState, aAttempt, *aHandle, deadline, tried);
    if (peer.empty() || aHandle->IsCancelled()) {
      break;
    }
    tried.peers.insert(peer);
    AskMore(aState, aAttempt);
    result = co_await SendTo(peer, aAttempt, aHandle, deadline);
    if (result.refusal == RelayResult::Refusal::None) {
      co_return result;
    }
    tried.notUsable |= result.refusal == RelayResult::Refusal::NotUsable;
    tried.withoutInstance +=
      result.refusal == RelayResult::Refusal::UnreachableForOthers ? 1 : 0;
    if (tried.notUsable || tried.withoutInstance >= kEnoughWithoutInstance) {
      break;
    }
  }
  result.refusal = tried.notUsable ? RelayResult::Refusal::NotUsable
                   : tried.withoutInstance > 0
                     ? RelayResult::Refusal::UnreachableForOthers
                     : RelayResult::Refusal::NoRelay;
  if (aHandle->IsCancelled()) {
    result.attempt = AttemptResult::NotSent(aHandle->CancelReason());
  }
  co_return result;
}

void
RequestRelay::CountState(wire::RelayState aState, Tried& aTried)
{
  if (aState == wire::RELAY_STATE_UNREACHABLE) {
    ++aTried.withoutInstance;
  } else if (aState == wire::RELAY_STATE_NOT_USABLE) {
    aTried.notUsable = true;
  }
}

/// @return a host that agrees to relay; empty if there is none.
asio::awaitable<std::string>
RequestRelay::FindRelay(const State& aState,
                        const RelayAttempt& aAttempt,
                        const AttemptHandle& aHandle,
                        Instant aDeadline,
                        Tried& aTried)
{
  for (int round = 0; round < kMaxAskRounds; ++round) {
    const Instant now = mClock.Now();
    const std::string confirmed =
      mPeers.Confirmed(aAttempt.service, aTried.peers, now);
    if (!confirmed.empty()) {
      co_return confirmed;
    }
    if (now + Duration(kMinTimeLeft) >= aDeadline) {
      co_return std::string();
    }
    const auto ask = StartAsk(aState, aAttempt, aTried.peers);
    if (ask->open.empty()) {
      co_return std::string();
    }
    const Instant until = std::min(now + Duration(kAnswerTimeout), aDeadline);
    while (!ask->open.empty() && ask->agreed.empty() &&
           !aHandle.IsCancelled() && mClock.Now() < until) {
      ask->timer.expires_after(until - mClock.Now());
      co_await ask->timer.async_wait(kAwait);
    }
    EndAsk(ask);
    for (const auto& [peer, state] : ask->answers) {
      if (state != wire::RELAY_STATE_AGREED) {
        aTried.peers.insert(peer);
        CountState(state, aTried);
      }
    }
    if (!ask->agreed.empty()) {
      co_return ask->agreed;
    }
    if (aTried.notUsable || aTried.withoutInstance >= kEnoughWithoutInstance ||
        aHandle.IsCancelled()) {
      co_return std::string();
    }
  }
  co_return std::string();
}

std::shared_ptr<RequestRelay::Ask>
RequestRelay::StartAsk(const State& aState,
                       const RelayAttempt& aAttempt,
                       const std::set<std::string>& aExcluded)
{
  auto ask = std::make_shared<Ask>(mExecutor);
  ask->service = aAttempt.service;
  for (const std::string& peer : mPeers.Candidates(aState,
                                                   aAttempt.service,
                                                   aAttempt.upstreamDataCentre,
                                                   aExcluded,
                                                   kAskedAtOnce,
                                                   mClock.Now())) {
    wire::GatewayFrame frame;
    wire::RelayAsk* message = frame.mutable_relay_ask();
    message->set_id(++mLastId);
    message->set_service(aAttempt.service);
    message->set_instance(aAttempt.process.instance);
    message->set_life(aAttempt.process.incarnation);
    if (mSend(HostName{ peer }, frame)) {
      ask->open[mLastId] = peer;
      mAsks[mLastId] = ask;
    }
  }
  return ask;
}

/// Asks further hosts, so that the requests for a service are spread.
void
RequestRelay::AskMore(const State& aState, const RelayAttempt& aAttempt)
{
  const Instant now = mClock.Now();
  Instant& next = mNextAskMoreAt[aAttempt.service];
  if (now < next ||
      mPeers.ConfirmedCount(aAttempt.service, now) >= kWantedRelays) {
    return;
  }
  next = now + Duration(kAskMoreInterval);
  const auto ask = StartAsk(aState, aAttempt, {});
  ask->inBackground = true;
  ask->timer.expires_after(kAnswerTimeout);
  ask->timer.async_wait(
    [this, ask, alive = std::weak_ptr(mAlive)](auto aError) {
      if (!aError && !alive.expired()) {
        EndAsk(ask);
      }
    });
}

/// Hosts that have not answered count as silent.
void
RequestRelay::EndAsk(const std::shared_ptr<Ask>& aAsk)
{
  const bool waited = aAsk->agreed.empty();
  for (const auto& [id, peer] : std::exchange(aAsk->open, {})) {
    mAsks.erase(id);
    if (waited) {
      RecordSilence(peer, "has not answered");
    }
  }
}

void
RequestRelay::RecordSilence(const std::string& aPeer, std::string_view aWhat)
{
  const Duration time = mPeers.OnSilent(aPeer, mClock.Now());
  log::Line(log::Part::Entry, log::Severity::Info)
    << "relay " << aPeer << ' ' << aWhat << "; it is not asked for "
    << std::chrono::duration_cast<milliseconds>(time).count() << " ms";
}

void
RequestRelay::OnAnswer(const wire::RelayAnswer& aAnswer)
{
  const auto found = mAsks.find(aAnswer.id());
  if (found == mAsks.end()) {
    return;
  }
  const std::shared_ptr<Ask> ask = found->second;
  mAsks.erase(found);
  const std::string peer = ask->open[aAnswer.id()];
  ask->open.erase(aAnswer.id());
  ask->answers[peer] = aAnswer.state();
  RecordState(aAnswer.state(), peer, ask->service);
  if (aAnswer.state() == wire::RELAY_STATE_AGREED) {
    ask->agreed = peer;
  }
  if (!ask->inBackground) {
    ask->timer.cancel();
  }
}

void
RequestRelay::RecordState(wire::RelayState aState,
                          const std::string& aPeer,
                          const std::string& aService)
{
  const Instant now = mClock.Now();
  switch (aState) {
    case wire::RELAY_STATE_AGREED:
      mPeers.OnAgreed(aPeer, aService, now);
      return;
    case wire::RELAY_STATE_NO_PATH:
      mPeers.OnNoPath(aPeer, aService, now);
      return;
    case wire::RELAY_STATE_BUSY:
      mPeers.OnBusy(aPeer, now);
      return;
    default:
      return; // It concerns one upstream only.
  }
}

asio::awaitable<RelayResult>
RequestRelay::SendTo(std::string aPeer,
                     const RelayAttempt& aAttempt,
                     std::shared_ptr<AttemptHandle> aHandle,
                     Instant aDeadline)
{
  RelayResult result;
  result.relay = aPeer;
  const uint64_t id = ++mLastId;
  const Instant sentAt = mClock.Now();
  wire::GatewayFrame frame;
  wire::RelayedRequest* message = frame.mutable_relayed_request();
  *message = ToMessage(*aAttempt.request);
  message->set_id(id);
  message->set_service(aAttempt.service);
  message->set_instance(aAttempt.process.instance);
  message->set_life(aAttempt.process.incarnation);
  message->set_route(aAttempt.route);
  message->set_priority(aAttempt.priority);
  message->set_objective_ms(ToMs(aAttempt.objective));
  message->set_timeout_ms(ToMs(aAttempt.timeout));
  message->set_age_ms(ToMs(aAttempt.age));
  message->set_left_ms(std::max(ToMs(aDeadline - sentAt), kMillisecond));
  auto pending = std::make_shared<Pending>(mExecutor);
  pending->peer = aPeer;
  mPending[id] = pending;
  mPeers.OnRequestStarted(aPeer);
  if (!mSend(HostName{ aPeer }, frame)) {
    pending->lost = pending->neverSent = true;
  }
  aHandle->AttachWaiter([pending] { pending->timer.cancel(); });
  while (!pending->response && !pending->lost && !aHandle->IsCancelled()) {
    pending->timer.expires_at(asio::steady_timer::time_point::max());
    co_await pending->timer.async_wait(kAwait);
  }
  aHandle->DetachWaiter();
  mPending.erase(id);
  mPeers.OnRequestEnded(aPeer);
  if (pending->response) {
    RecordState(pending->response->state(), aPeer, aAttempt.service);
    result = FromMessage(std::move(*pending->response));
    result.relay = aPeer;
    co_return result;
  }
  result.attempt.elapsed = mClock.Now() - sentAt;
  result.relayLost = pending->lost;
  if (pending->lost) {
    RecordSilence(aPeer, "is lost");
  } else {
    wire::GatewayFrame cancel;
    cancel.mutable_relay_cancel()->set_id(id);
    mSend(HostName{ aPeer }, cancel);
  }
  if (pending->neverSent) {
    result.attempt = AttemptResult::NotSent("the relay can't be reached");
    result.refusal = RelayResult::Refusal::NoRelay;
    co_return result;
  }
  result.attempt.kind = AttemptResult::Kind::OutcomeUnknown;
  result.attempt.cancelled = aHandle->IsCancelled();
  result.attempt.reason = aHandle->IsCancelled()
                            ? aHandle->CancelReason()
                            : "the connection to the relay ended";
  co_return result;
}

void
RequestRelay::OnResponse(wire::RelayedResponse aResponse)
{
  const auto found = mPending.find(aResponse.id());
  if (found != mPending.end()) {
    found->second->response = std::move(aResponse);
    found->second->timer.cancel();
  }
}

void
RequestRelay::OnPeerLost(const HostName& aPeer, bool aWasConnected)
{
  for (const auto& [id, pending] : mPending) {
    if (pending->peer == aPeer.value) {
      pending->lost = true;
      pending->neverSent = !aWasConnected;
      pending->timer.cancel();
    }
  }
  std::set<std::shared_ptr<Ask>> ended;
  std::erase_if(mAsks, [&](const auto& aItem) {
    const auto open = aItem.second->open.find(aItem.first);
    const bool lost =
      open != aItem.second->open.end() && open->second == aPeer.value;
    if (lost) {
      aItem.second->open.erase(open);
      if (!aItem.second->inBackground) {
        aItem.second->timer.cancel();
      }
    }
    return lost;
  });
}

} // namespace rattandyke::gateway
