#include "gateway/request_relay.h"

#include <deque>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/relay_server.h"
#include "http/signal.h"

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr const char* kPeers[] = { "10.0.0.2:1", "10.0.0.3:1" };

constexpr size_t kBodyBytes = size_t{ 1024 } * 1024;

/// A relay whose attempts the test plays.
class FakeRelay final : public RelayServer::Attempts
{
public:
  explicit FakeRelay(asio::io_context& aContext)
    : server(aContext.get_executor(), *this, bodies)
    , mTimer(aContext)
  {
  }

  wire::RelayState RelayStateFor(const std::string&,
                                 const std::string&,
                                 uint64_t) const override
  {
    return state;
  }

  asio::awaitable<RelayServer::Result> Relay(
    std::shared_ptr<const wire::RelayedRequest> aRequest,
    std::shared_ptr<AttemptHandle> aHandle) override
  {
    ++attempts;
    lastHandle = aHandle;
    RelayServer::Result result;
    if (hangs) {
      aHandle->AttachWaiter([this] { mTimer.cancel(); });
      mTimer.expires_at(asio::steady_timer::time_point::max());
      co_await mTimer.async_wait(http::kAwait);
      result.attempt.kind = AttemptResult::Kind::OutcomeUnknown;
      co_return result;
    }
    result.attempt.kind = outcome;
    result.state = attemptState;
    result.attempt.response.status = status;
    result.attempt.response.fields.insert(field, "s");
    result.attempt.response.body = "answer to " + aRequest->request_id();
    co_return result;
  }

  MemoryBudget bodies{ kBodyBytes };
  RelayServer server;
  wire::RelayState state = wire::RELAY_STATE_AGREED;
  wire::RelayState attemptState = wire::RELAY_STATE_AGREED;
  AttemptResult::Kind outcome = AttemptResult::Kind::Response;
  unsigned status = 200;
  std::string field = "Signature";
  bool hangs = false;
  /// Its messages are lost.
  bool silent = false;
  size_t attempts = 0;
  std::shared_ptr<AttemptHandle> lastHandle;

private:
  asio::steady_timer mTimer;
};

/// A host that sends requests through two others.
class RequestRelayTest : public ::testing::Test
{
protected:
  RequestRelayTest()
  {
    for (const char* address : kPeers) {
      wire::GatewayCommand put;
      put.mutable_put_entry()->mutable_entry()->set_address(address);
      static_cast<void>(state.Apply(put, LogIndex{ ++index }));
      relays.emplace(address, std::make_unique<FakeRelay>(context));
    }
  }

  bool Send(const HostName& aTo, const wire::GatewayFrame& aFrame)
  {
    FakeRelay& peer = *relays.at(aTo.value);
    if (peer.silent) {
      return true;
    }
    asio::post(context,
               [this, &peer, frame = aFrame] { Deliver(peer, frame); });
    return true;
  }

  void Deliver(FakeRelay& aPeer, wire::GatewayFrame aFrame)
  {
    const RelayServer::Reply reply = [this](const wire::GatewayFrame& aReply) {
      asio::post(context, [this, frame = aReply] {
        if (frame.has_relay_answer()) {
          relay->OnAnswer(frame.relay_answer());
        } else {
          relay->OnResponse(frame.relayed_response());
        }
      });
    };
    if (aFrame.has_relay_ask()) {
      aPeer.server.OnAsk(aFrame.relay_ask(), reply);
    } else if (aFrame.has_relayed_request()) {
      aPeer.server.OnRequest(
        this, std::move(*aFrame.mutable_relayed_request()), reply);
    } else if (aFrame.has_relay_cancel()) {
      aPeer.server.OnCancel(this, aFrame.relay_cancel());
    }
  }

  void Start()
  {
    auto request = std::make_shared<UpstreamRequest>();
    request->method = "POST";
    request->requestId = "r-1";
    request->body = body;
    RelayAttempt attempt;
    attempt.service = "desk";
    attempt.process = { "i-1", "10.9.0.1:80", 1 };
    attempt.request = request;
    attempt.timeLeft = milliseconds{ 2000 };
    asio::co_spawn(context,
                   relay->RoundTrip(state, attempt, handle),
                   [this](const std::exception_ptr&, RelayResult aResult) {
                     results.push_back(std::move(aResult));
                     context.stop();
                   });
  }

  /// @return the result of a request.
  const RelayResult& Run()
  {
    Start();
    context.run();
    context.restart();
    return results.back();
  }

  FakeRelay& Relay(size_t aNumber) { return *relays.at(kPeers[aNumber]); }
  size_t Attempts() { return Relay(0).attempts + Relay(1).attempts; }

  asio::io_context context{ 1 };
  const SystemClock clock;
  State state;
  uint64_t index = 0;
  std::string body;
  std::map<std::string, std::unique_ptr<FakeRelay>> relays;
  std::unique_ptr<RequestRelay> relay = std::make_unique<RequestRelay>(
    context.get_executor(),
    RelayPeers("10.0.0.1:1", DataCentre{}, 1),
    [this](const HostName& aTo, const wire::GatewayFrame& aFrame) {
      return Send(aTo, aFrame);
    },
    clock);
  std::shared_ptr<AttemptHandle> handle = std::make_shared<AttemptHandle>();
  std::vector<RelayResult> results;
};

// A caller must get the upstream's own whole response, whichever host sent its
// request.
TEST_F(RequestRelayTest, ReturnsTheWholeResponse)
{
  const RelayResult& result = Run();
  EXPECT_EQ(result.refusal, RelayResult::Refusal::None);
  EXPECT_EQ(result.attempt.kind, AttemptResult::Kind::Response);
  EXPECT_EQ(result.attempt.response.status, 200U);
  EXPECT_EQ(result.attempt.response.fields["Signature"], "s");
  EXPECT_EQ(result.attempt.response.body, "answer to r-1");
  EXPECT_EQ(Attempts(), 1U);
}

// Guards against what is no response of an upstream and is passed on, or proves
// that a request has not run, as a host of an older build relays it.
TEST_F(RequestRelayTest, BrokenResponseLeavesTheOutcomeUnknown)
{
  using Kind = AttemptResult::Kind;
  for (const Kind kind : { Kind::Response, Kind::NotExecuted }) {
    for (const auto& [status, field] :
         std::initializer_list<std::pair<unsigned, const char*>>{
           { 0, "Signature" },
           { 103, "Signature" },
           { 600, "Signature" },
           { 200, "X A" },
           { 200, "X\x01" },
           { 200, "X: 1\r\nY" },
           { 200, "" } }) {
      for (size_t number = 0; number < 2; ++number) {
        Relay(number).outcome = kind;
        Relay(number).status = status;
        Relay(number).field = field;
      }
      const RelayResult& result = Run();
      EXPECT_EQ(result.attempt.kind, Kind::OutcomeUnknown) << status << field;
      EXPECT_EQ(result.attempt.response.status, 0U) << status << field;
    }
  }
}

// Most of a data centre may have no path: the hosts that have one must be
// found.
TEST_F(RequestRelayTest, HostWithAPathIsFound)
{
  Relay(0).state = wire::RELAY_STATE_NO_PATH;
  EXPECT_EQ(Run().attempt.kind, AttemptResult::Kind::Response);
  EXPECT_EQ(Relay(0).attempts, 0U);
  EXPECT_EQ(Relay(1).attempts, 1U);
}

// A request that nobody can send must be refused at once, and provably has not
// run.
TEST_F(RequestRelayTest, WithoutARelayNothingIsSent)
{
  Relay(0).state = Relay(1).state = wire::RELAY_STATE_NO_PATH;
  const Instant before = clock.Now();
  const RelayResult& result = Run();
  EXPECT_EQ(result.refusal, RelayResult::Refusal::NoRelay);
  EXPECT_EQ(result.attempt.kind, AttemptResult::Kind::NotSent);
  EXPECT_LT(clock.Now() - before, milliseconds{ 1000 });
  EXPECT_EQ(Attempts(), 0U);
}

// A host of an older build ignores the question. The request must go to another
// host, and not be lost at the silent one.
TEST_F(RequestRelayTest, SilentHostGetsNoRequest)
{
  Relay(0).silent = true;
  EXPECT_EQ(Run().attempt.kind, AttemptResult::Kind::Response);
  EXPECT_EQ(Relay(0).attempts, 0U);
}

// An upstream that is down for all hosts must not cost a request all relays.
TEST_F(RequestRelayTest, UpstreamThatIsDownForOthersIsReported)
{
  Relay(0).state = Relay(1).state = wire::RELAY_STATE_UNREACHABLE;
  EXPECT_EQ(Run().refusal, RelayResult::Refusal::UnreachableForOthers);
}

// A relay that could not connect proves that nothing was sent: another one may
// send the request.
TEST_F(RequestRelayTest, UnsentRequestIsSentByAnotherRelay)
{
  for (size_t number = 0; number < 2; ++number) {
    Relay(number).outcome = AttemptResult::Kind::NotSent;
    Relay(number).attemptState = wire::RELAY_STATE_UNREACHABLE;
  }
  EXPECT_EQ(Run().attempt.kind, AttemptResult::Kind::NotSent);
  EXPECT_EQ(Relay(0).attempts, 1U);
  EXPECT_EQ(Relay(1).attempts, 1U);
}

// A request whose relay is lost may have run. It must not be sent again.
TEST_F(RequestRelayTest, LostRelayLeavesTheOutcomeUnknown)
{
  Relay(0).hangs = Relay(1).hangs = true;
  Start();
  context.run_for(milliseconds{ 50 });
  ASSERT_EQ(Attempts(), 1U);
  const size_t used = Relay(0).attempts == 1 ? 0 : 1;
  relay->OnPeerLost(HostName{ kPeers[used] }, true);
  context.restart();
  context.run();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].attempt.kind, AttemptResult::Kind::OutcomeUnknown);
  EXPECT_TRUE(results[0].relayLost);
  EXPECT_EQ(Attempts(), 1U);
}

// An upstream must not work for a caller that has gone.
TEST_F(RequestRelayTest, DepartureOfTheCallerReachesTheRelay)
{
  Relay(0).hangs = Relay(1).hangs = true;
  Start();
  context.run_for(milliseconds{ 50 });
  ASSERT_EQ(Attempts(), 1U);
  handle->Cancel("the caller left");
  context.restart();
  context.run();
  context.restart();
  context.run_for(milliseconds{ 50 });
  const FakeRelay& used = Relay(0).attempts == 1 ? Relay(0) : Relay(1);
  EXPECT_TRUE(used.lastHandle->IsCancelled());
  EXPECT_EQ(used.server.InProgress(), 0U);
}

// The same if the host that asked is killed.
TEST_F(RequestRelayTest, RelayGivesUpForAHostThatIsGone)
{
  Relay(0).hangs = Relay(1).hangs = true;
  Start();
  context.run_for(milliseconds{ 50 });
  FakeRelay& used = Relay(0).attempts == 1 ? Relay(0) : Relay(1);
  used.server.OnClosed(this);
  EXPECT_TRUE(used.lastHandle->IsCancelled());
  EXPECT_EQ(used.server.InProgress(), 0U);
}

// A host that is about to stop must not take on what its end would cut off.
TEST_F(RequestRelayTest, StoppingHostRelaysNothing)
{
  Relay(0).server.Stop();
  Relay(1).server.Stop();
  EXPECT_EQ(Run().refusal, RelayResult::Refusal::NoRelay);
  EXPECT_EQ(Attempts(), 0U);
}

// A message between hosts has a largest size; what is longer is refused before
// anything is sent.
TEST_F(RequestRelayTest, TooLargeRequestIsNotSent)
{
  body.assign(RequestRelay::kMaxBytes + 1, 'x');
  EXPECT_EQ(Run().attempt.kind, AttemptResult::Kind::NotSent);
  EXPECT_EQ(Attempts(), 0U);
}

} // namespace
} // namespace rattandyke::gateway
