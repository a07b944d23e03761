#include "gateway/relay_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/relay_wire.h"
#include "gateway/request_relay.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// The asking host cancels a request at its deadline. This host gives it up
/// somewhat later if the cancellation does not arrive.
constexpr milliseconds kLostCancelGrace{ 100 };

} // namespace

RelayServer::RelayServer(asio::any_io_executor aExecutor,
                         Attempts& aAttempts,
                         MemoryBudget& aBodies)
  : mExecutor(std::move(aExecutor))
  , mAttempts(aAttempts)
  , mBodies(aBodies)
{
}

void
RelayServer::OnAsk(const wire::RelayAsk& aAsk, const Reply& aReply)
{
  const bool busy = mStopping || mInProgress.size() >= kMaxInProgress;
  wire::GatewayFrame frame;
  wire::RelayAnswer* answer = frame.mutable_relay_answer();
  answer->set_id(aAsk.id());
  answer->set_state(busy ? wire::RELAY_STATE_BUSY
                         : mAttempts.RelayStateFor(
                             aAsk.service(), aAsk.instance(), aAsk.life()));
  aReply(frame);
}

void
RelayServer::OnRequest(Connection aConnection,
                       wire::RelayedRequest aRequest,
                       Reply aReply)
{
  // The message and the request that is made of it.
  auto room =
    mBodies.TryReserve(MemoryBudget::Use::Request, 2 * aRequest.body().size());
  if (mStopping || mInProgress.size() >= kMaxInProgress || !room) {
    wire::GatewayFrame frame;
    wire::RelayedResponse* response = frame.mutable_relayed_response();
    *response = ToMessage(AttemptResult::NotSent("the relay takes no more"),
                          wire::RELAY_STATE_BUSY);
    response->set_id(aRequest.id());
    aReply(frame);
    return;
  }
  const Key key{ aConnection, aRequest.id() };
  auto handle = std::make_shared<AttemptHandle>();
  mInProgress[key] = handle;
  auto request =
    std::make_shared<const wire::RelayedRequest>(std::move(aRequest));
  asio::co_spawn(
    mExecutor,
    Serve(key, std::move(request), std::move(*room), handle, std::move(aReply)),
    asio::detached);
}

asio::awaitable<void>
RelayServer::Serve(Key aKey,
                   std::shared_ptr<const wire::RelayedRequest> aRequest,
                   MemoryBudget::Reservation aRoom,
                   std::shared_ptr<AttemptHandle> aHandle,
                   Reply aReply)
{
  asio::steady_timer timer(mExecutor);
  timer.expires_after(milliseconds{ aRequest->left_ms() } + kLostCancelGrace);
  timer.async_wait([aHandle](auto aError) {
    if (!aError) {
      aHandle->Cancel("no answer in time");
    }
  });
  Result result = co_await mAttempts.Relay(aRequest, aHandle);
  timer.cancel();
  const auto found = mInProgress.find(aKey);
  if (found == mInProgress.end() || found->second != aHandle) {
    co_return; // The asking host is gone.
  }
  mInProgress.erase(found);
  wire::GatewayFrame frame;
  wire::RelayedResponse* response = frame.mutable_relayed_response();
  *response = ToMessage(std::move(result.attempt), result.state);
  if (frame.ByteSizeLong() > RequestRelay::kMaxBytes) {
    AttemptResult tooLarge;
    tooLarge.kind = AttemptResult::Kind::OutcomeUnknown;
    tooLarge.reason = "the response is too large to be relayed";
    *response = ToMessage(std::move(tooLarge), result.state);
  }
  response->set_id(aRequest->id());
  aReply(frame);
}

void
RelayServer::OnCancel(Connection aConnection, const wire::RelayCancel& aCancel)
{
  const auto found = mInProgress.find({ aConnection, aCancel.id() });
  if (found != mInProgress.end()) {
    found->second->Cancel("the caller left");
  }
}

void
RelayServer::OnClosed(Connection aConnection)
{
  auto at = mInProgress.lower_bound({ aConnection, 0 });
  while (at != mInProgress.end() && at->first.first == aConnection) {
    at->second->Cancel("the asking host is gone");
    at = mInProgress.erase(at);
  }
}

void
RelayServer::CancelAll()
{
  for (const auto& [key, handle] : mInProgress) {
    handle->Cancel("the host stops");
  }
}

} // namespace rattandyke::gateway
