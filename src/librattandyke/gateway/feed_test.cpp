#include "gateway/feed_client.h"
#include "gateway/feed_server.h"

#include <optional>
#include <thread>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "base/endpoint.h"
#include "net/frame_connection.h"
#include "testing/large_change.h"

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

wire::GatewayCommand
PutInstance(uint64_t aNumber)
{
  wire::GatewayCommand command;
  wire::UpstreamInstance* instance =
    command.mutable_put_instance()->mutable_instance();
  instance->set_id("i-" + std::to_string(aNumber));
  instance->set_service("desk");
  return command;
}

wire::GatewayFrame
Parse(const std::string& aBytes)
{
  wire::GatewayFrame frame;
  EXPECT_TRUE(frame.ParseFromString(aBytes));
  return frame.has_packed() ? DecompressFrame(frame.packed()).value() : frame;
}

/// A subscriber that stores the frames it receives.
struct Subscriber
{
  std::shared_ptr<net::FrameConnection> near;
  std::shared_ptr<net::FrameConnection> far;
  std::vector<std::string> frames;

  State CurrentState() const
  {
    State state;
    for (const std::string& bytes : frames) {
      const wire::GatewayFrame frame = Parse(bytes);
      if (frame.has_feed_snapshot()) {
        state.Load(frame.feed_snapshot().state());
      } else if (frame.has_feed_command()) {
        ApplyIfNew(state, frame.feed_command());
      }
      for (const wire::FeedCommand& command :
           frame.feed_commands().commands()) {
        ApplyIfNew(state, command);
      }
    }
    return state;
  }

  /// Applies a command unless the state includes it already, as FeedClient
  /// does.
  static void ApplyIfNew(State& aState, const wire::FeedCommand& aCommand)
  {
    if (aCommand.index() > aState.AppliedIndex().value) {
      EXPECT_TRUE(
        aState.Apply(aCommand.command(), LogIndex{ aCommand.index() }));
    }
  }
};

class FeedServerTest : public ::testing::Test
{
protected:
  void Apply(const wire::GatewayCommand& aCommand)
  {
    Queue(aCommand);
    server.Flush();
  }

  void Queue(const wire::GatewayCommand& aCommand)
  {
    ASSERT_TRUE(state.Apply(aCommand, LogIndex{ ++index }));
    server.Publish(aCommand, LogIndex{ index });
  }

  std::shared_ptr<Subscriber> Subscribe(bool aAcceptsCompressed = false)
  {
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    tcp::socket near(context);
    near.connect(acceptor.local_endpoint());
    auto subscriber = std::make_shared<Subscriber>();
    subscriber->near = std::make_shared<net::FrameConnection>(std::move(near));
    subscriber->near->Start({ [](auto) {}, [] {}, {} });
    subscriber->far = std::make_shared<net::FrameConnection>(acceptor.accept());
    subscriber->far->Start(
      { [raw = subscriber.get()](std::string_view aMessage) {
         raw->frames.emplace_back(aMessage);
       },
        [] {},
        {} });
    wire::FeedOpen open;
    open.set_reads_packed(aAcceptsCompressed);
    server.Subscribe(subscriber->near, open);
    return subscriber;
  }

  void Run()
  {
    context.restart();
    context.run_for(milliseconds{ 50 });
  }

  asio::io_context context;
  State state;
  uint64_t index = 0;
  scheduling::LinkMeter meter{ Instant{} };
  FeedServer server{ state, FeedServer::IdleHistory::Keep, &meter };
};

// All hosts were restarted, and every entry host requests a snapshot while new
// commands are applied. The snapshot is encoded once. With the commands after
// it all subscribers arrive at the same state.
TEST_F(FeedServerTest, SnapshotIsSharedAndFollowedByNewerCommands)
{
  for (uint64_t number = 1; number <= 20; ++number) {
    Apply(PutInstance(number));
  }
  const auto first = Subscribe();
  for (uint64_t number = 21; number <= 40; ++number) {
    Apply(PutInstance(number));
  }
  const auto second = Subscribe();
  Run();
  ASSERT_FALSE(first->frames.empty());
  ASSERT_FALSE(second->frames.empty());
  EXPECT_EQ(first->frames.front(), second->frames.front());
  for (const auto& subscriber : { first, second }) {
    EXPECT_EQ(subscriber->CurrentState().AppliedIndex(), state.AppliedIndex());
    EXPECT_EQ(subscriber->CurrentState().Instances().size(), 40U);
  }
}

// Guards against messages of an entry host's relay that its meter leaves out.
TEST_F(FeedServerTest, SentMessagesCount)
{
  const auto subscriber = Subscribe();
  Apply(PutInstance(1));
  server.Ping({}, Duration::zero());
  Run();
  ASSERT_GE(subscriber->frames.size(), 2U);
  EXPECT_EQ(
    meter.Total(scheduling::LinkUse::Feed, scheduling::LinkDirection::Out)
      .messages,
    subscriber->frames.size());
}

// More commands than the history keeps have been applied since a snapshot was
// encoded. A new subscriber that got the old snapshot would never receive some
// of them.
TEST_F(FeedServerTest, OutdatedSnapshotIsEncodedAgain)
{
  Apply(PutInstance(1));
  const auto first = Subscribe();
  for (uint64_t number = 2; number <= 900; ++number) {
    Apply(PutInstance(number));
  }
  const auto second = Subscribe();
  Run();
  EXPECT_EQ(second->CurrentState().Instances().size(), 900U);
  EXPECT_EQ(first->CurrentState().Instances().size(), 900U);
}

// Failure: each command is sent alone to each subscriber. While a fleet of
// upstreams registers, the writes keep a control host busy.
TEST_F(FeedServerTest, QueuedCommandsAreSentInOneMessage)
{
  std::vector<std::shared_ptr<Subscriber>> subscribers;
  for (int at = 0; at < 10; ++at) {
    subscribers.push_back(Subscribe());
  }
  for (const uint64_t commands : { 100U, 1000U, 10000U }) {
    const uint64_t before = server.MessagesSent();
    for (uint64_t number = 1; number <= commands; ++number) {
      Queue(PutInstance(number));
    }
    server.Flush();
    Run();
    EXPECT_EQ(server.MessagesSent() - before, subscribers.size());
  }
  for (const auto& subscriber : subscribers) {
    EXPECT_EQ(subscriber->CurrentState().AppliedIndex(), state.AppliedIndex());
  }
}

// Failure: a subscriber that joins while commands are queued misses them.
TEST_F(FeedServerTest, SubscriberThatJoinsBeforeAFlushMissesNoCommand)
{
  Apply(PutInstance(1));
  const auto existing = Subscribe();
  Queue(PutInstance(2));
  const auto joining = Subscribe();
  Queue(PutInstance(3));
  server.Flush();
  Run();
  for (const auto& subscriber : { existing, joining }) {
    EXPECT_EQ(subscriber->CurrentState().Instances().size(), 3U);
  }
}

// Failure: while upstreams register, a large state is encoded again for almost
// every entry host that requests a snapshot.
TEST_F(FeedServerTest, SnapshotEncodingsDoNotGrowWithTheNumberOfCommands)
{
  constexpr uint64_t kSubscribers = 100;
  for (const uint64_t instances : { 1000U, 4000U }) {
    for (uint64_t number = 1; number <= instances; ++number) {
      Apply(PutInstance(number));
    }
    const uint64_t before = server.SnapshotsEncoded();
    for (uint64_t subscriber = 0; subscriber < kSubscribers; ++subscriber) {
      static_cast<void>(Subscribe());
      for (uint64_t number = 1; number <= instances / kSubscribers; ++number) {
        Apply(PutInstance(number));
      }
      server.CloseAll();
    }
    EXPECT_LE(server.SnapshotsEncoded() - before, 8U);
  }
}

// Failure: during a rolling restart, a large state is encoded again for every
// host.
TEST_F(FeedServerTest, SnapshotStaysCachedDuringARollingRestart)
{
  for (uint64_t number = 1; number <= 1000; ++number) {
    Apply(PutInstance(number));
  }
  for (int subscriber = 0; subscriber < 20; ++subscriber) {
    static_cast<void>(Subscribe());
    server.CloseAll();
    server.Ping({}, Duration::zero());
    server.Ping({}, Duration::zero());
  }
  EXPECT_EQ(server.SnapshotsEncoded(), 1U);
}

TEST_F(FeedServerTest, HandoversAreNotSentToEntryHosts)
{
  Apply(PutInstance(1));
  wire::GatewayCommand grant;
  grant.mutable_grant_ranges()->set_service("desk");
  grant.mutable_grant_ranges()->set_holder("i-1");
  wire::KeyRange* range = grant.mutable_grant_ranges()->add_ranges();
  range->set_to(99);
  Apply(grant);
  wire::GatewayCommand free;
  free.mutable_free_ranges()->set_service("desk");
  free.mutable_free_ranges()->set_holder("i-1");
  *free.mutable_free_ranges()->add_ranges() = *range;
  free.mutable_free_ranges()->mutable_ranges(0)->set_handover("secret");
  const auto existing = Subscribe();
  Apply(free);
  const auto joining = Subscribe();
  Run();
  for (const auto& subscriber : { existing, joining }) {
    EXPECT_TRUE(
      subscriber->CurrentState().Ranges("desk")->Find(5).holder().empty());
    for (const std::string& bytes : subscriber->frames) {
      EXPECT_EQ(bytes.find("secret"), std::string::npos);
    }
  }
}

// The configuration grows by 1,400 routes, and an entry host on a slow link
// can't serve callers until it has received them. A subscriber that supports
// compression gets the change, and later the snapshot, in a third of the size.
// A host of an older version gets them uncompressed. All arrive at the same
// state.
TEST_F(FeedServerTest, LargeChangeIsCompressedForSubscribersThatSupportIt)
{
  wire::GatewayCommand change;
  *change.mutable_change_items() = testing::LargeChange(1400);
  change.mutable_change_items()->add_services()->set_name("desk");
  const auto plain = Subscribe(false);
  const auto compressed = Subscribe(true);
  Apply(change);
  const auto joining = Subscribe(true);
  Run();
  const auto bytes = [](const Subscriber& aSubscriber) {
    size_t sum = 0;
    for (const std::string& frame : aSubscriber.frames) {
      sum += frame.size();
    }
    return sum;
  };
  EXPECT_LE(bytes(*compressed) * 3, bytes(*plain));
  EXPECT_LE(bytes(*joining) * 3, bytes(*plain));
  for (const auto& subscriber : { plain, compressed, joining }) {
    EXPECT_EQ(subscriber->CurrentState().Items().Routes().size(), 1400U);
  }
}

// A large change is applied while there are no subscribers, and is not kept. A
// subscriber that reconnects with the state before it must still receive it.
TEST_F(FeedServerTest, SubscriberThatReconnectsAfterALargeChangeGetsIt)
{
  Apply(PutInstance(1));
  const auto before = Subscribe();
  Run();
  const uint64_t known = index;
  server.Unsubscribe(before->near);
  wire::GatewayCommand change;
  *change.mutable_change_items() = testing::LargeChange(1400);
  change.mutable_change_items()->add_services()->set_name("desk");
  Apply(change);
  Apply(PutInstance(2));
  wire::FeedOpen open;
  open.set_applied(known);
  server.Subscribe(before->near, open);
  Run();
  EXPECT_EQ(before->CurrentState().Items().Routes().size(), 1400U);
  EXPECT_EQ(before->CurrentState().Instances().size(), 2U);
}

/// A control host that takes longer to send its snapshot than the client's ping
/// timeout.
class SlowControlHost
{
public:
  explicit SlowControlHost(asio::io_context& aContext)
    : mAcceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , mSocket(aContext)
    , mTimer(aContext)
  {
    State state;
    for (uint64_t number = 1; number <= 50; ++number) {
      static_cast<void>(state.Apply(PutInstance(number), LogIndex{ number }));
    }
    wire::GatewayFrame snapshot;
    *snapshot.mutable_feed_snapshot()->mutable_state() = state.Save();
    wire::GatewayFrame ping;
    ping.mutable_feed_ping()->set_applied(state.AppliedIndex().value);
    mBytes = Framed(snapshot) + Framed(ping);
    Accept();
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  size_t Connections() const { return mConnections; }

private:
  static std::string Framed(const wire::GatewayFrame& aFrame)
  {
    const std::string bytes = aFrame.SerializeAsString();
    const auto size = static_cast<uint32_t>(bytes.size());
    std::string framed;
    for (int shift = 0; shift <= 24; shift += 8) {
      framed += static_cast<char>((size >> shift) & 0xFFU);
    }
    return framed + bytes;
  }

  void Accept()
  {
    mAcceptor.async_accept([this](auto aError, tcp::socket aSocket) {
      if (!aError) {
        ++mConnections;
        mSocket = std::move(aSocket);
        mSent = 0;
        SendPiece();
        Accept();
      }
    });
  }

  void SendPiece()
  {
    constexpr size_t kPieces = 10;
    const size_t size =
      std::min(mBytes.size() / kPieces + 1, mBytes.size() - mSent);
    boost::system::error_code ignored; // The test checks the client only.
    asio::write(mSocket, asio::buffer(mBytes.data() + mSent, size), ignored);
    mSent += size;
    if (mSent < mBytes.size()) {
      mTimer.expires_after(milliseconds{ 100 });
      mTimer.async_wait([this](auto aError) {
        if (!aError) {
          SendPiece();
        }
      });
    }
  }

  tcp::acceptor mAcceptor;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::string mBytes;
  size_t mSent = 0;
  size_t mConnections = 0;
};

// Failure: a snapshot takes a second over a slow link. The client times out in
// the middle, requests it again and again, and never gets a configuration.
TEST(FeedClient, SnapshotInTransitDoesNotTimeOut)
{
  asio::io_context context;
  SlowControlHost host(context);
  SystemClock clock;
  FeedClient client(
    context.get_executor(),
    { {}, { host.Address() } },
    [](const auto*) {},
    clock,
    1);
  client.Start();
  context.run_for(milliseconds{ 1600 });
  EXPECT_EQ(host.Connections(), 1U);
  EXPECT_EQ(client.CurrentState().Instances().size(), 50U);
  client.Stop();
}

/// A control host that accepts any subscriber.
class ServingControlHost
{
public:
  ServingControlHost(asio::io_context& aContext, const State& aState)
    : mAcceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , mServer(aState)
  {
    Accept();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  size_t Subscribers() const { return mServer.ServingEntries().size(); }

  void Ping(const std::vector<std::string>& aHosts)
  {
    mServer.Ping(aHosts, Duration::zero());
  }

  void CloseAll() { mServer.CloseAll(); }

  /// Sends bytes that need not be a message on the newest connection.
  void SendRaw(std::string_view aBytes) { mNewest->Send(aBytes); }

  /// Builds without LinkProbe ignore it.
  bool returnsProbes = true;
  /// The index that each subscription began with.
  std::vector<uint64_t> opens;

private:
  void Accept()
  {
    mAcceptor.async_accept([this](auto aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      auto connection =
        std::make_shared<net::FrameConnection>(std::move(aSocket));
      connection->Start(
        { [this, raw = connection.get()](std::string_view aMessage) {
           wire::GatewayFrame frame;
           frame.ParseFromArray(aMessage.data(),
                                static_cast<int>(aMessage.size()));
           if (!frame.has_link_probe()) {
             opens.push_back(frame.feed_open().applied());
             mNewest = raw->shared_from_this();
             mServer.Subscribe(mNewest, frame.feed_open());
           } else if (returnsProbes) {
             FeedServer::ReturnProbe(raw->shared_from_this(), frame);
             frame.mutable_link_probe()->set_reply(true);
             FeedServer::ReturnProbe(raw->shared_from_this(), frame);
           }
         },
          [this, raw = connection.get()] {
            mServer.Unsubscribe(raw->shared_from_this());
          },
          {} });
      Accept();
    });
  }

  tcp::acceptor mAcceptor;
  FeedServer mServer;
  std::shared_ptr<net::FrameConnection> mNewest;
};

// Failure: a client stays connected to a control host in another data centre
// because it tried that one first.
TEST(FeedClientTest, ClientMovesToAControlHostInItsDataCentre)
{
  asio::io_context context;
  State state;
  ServingControlHost far(context, state);
  ServingControlHost near(context, state);
  const auto putControlHost = [&](const std::string& aHost,
                                  const char* aDataCentre) {
    wire::GatewayCommand command;
    command.mutable_put_control()->mutable_control()->set_address(aHost);
    command.mutable_put_control()->mutable_control()->set_data_centre(
      aDataCentre);
    return command;
  };
  ASSERT_TRUE(
    state.Apply(putControlHost(far.Address(), "north"), LogIndex{ 1 }));
  ASSERT_TRUE(
    state.Apply(putControlHost(near.Address(), "south"), LogIndex{ 2 }));
  wire::EntryMember self;
  self.set_address("127.0.0.1:1");
  self.set_data_centre("south");
  SystemClock clock;
  FeedClient client(
    context.get_executor(),
    { self, { ParseEndpoint(far.Address()).value() } },
    [](const auto*) {},
    clock,
    3);
  client.Start();
  for (int ping = 0; ping < 100 && near.Subscribers() == 0; ++ping) {
    far.Ping({ far.Address(), near.Address() });
    near.Ping({ far.Address(), near.Address() });
    context.run_for(milliseconds{ 50 });
  }
  EXPECT_EQ(near.Subscribers(), 1U);
  context.run_for(milliseconds{ 50 });
  EXPECT_EQ(far.Subscribers(), 0U);
  client.Stop();
}

// Guards against probes that are returned for another connection, or taken for
// answers: a returned probe must not be returned again. An older control host
// ignores probes and keeps the connection.
TEST(FeedClientTest, ProbesAreReturnedOnTheirConnection)
{
  asio::io_context context;
  State state;
  ServingControlHost host(context, state);
  SystemClock clock;
  wire::EntryMember self;
  self.set_address("127.0.0.1:1");
  std::vector<uint64_t> replies;
  FeedClient client(
    context.get_executor(),
    { self,
      { ParseEndpoint(host.Address()).value() },
      nullptr,
      [&](uint64_t aId) { replies.push_back(aId); } },
    [](const auto*) {},
    clock,
    3);
  EXPECT_FALSE(client.ConfirmedConnection());
  const auto follow = [&] {
    for (int ping = 0; ping < 100 && !client.ConfirmedConnection(); ++ping) {
      host.Ping({ host.Address() });
      context.run_for(milliseconds{ 10 });
    }
    return client.ConfirmedConnection();
  };
  client.Start();
  const auto first = follow();
  ASSERT_TRUE(first);
  client.SendProbe(7);
  context.run_for(milliseconds{ 50 });
  EXPECT_EQ(replies, std::vector<uint64_t>{ 7 });
  host.returnsProbes = false;
  client.SendProbe(8);
  context.run_for(milliseconds{ 50 });
  EXPECT_EQ(replies.size(), 1U);
  EXPECT_EQ(client.ConfirmedConnection(), first);
  host.CloseAll();
  context.run_for(milliseconds{ 10 });
  EXPECT_FALSE(client.ConfirmedConnection());
  EXPECT_NE(follow(), first);
  client.Stop();
}

/// A client that follows a control host.
class FollowingClientTest : public ::testing::Test
{
protected:
  FollowingClientTest()
  {
    wire::EntryMember self;
    self.set_address("127.0.0.1:1");
    client.emplace(
      context.get_executor(),
      FeedClient::Options{ self,
                           { ParseEndpoint(host.Address()).value() },
                           &meter,
                           {},
                           {},
                           {},
                           [this] { ++unreadable; } },
      [](const auto*) {},
      clock,
      3);
    client->Start();
  }

  ~FollowingClientTest() override { client->Stop(); }

  void Run(milliseconds aTime)
  {
    for (milliseconds run{ 0 }; run < aTime; run += milliseconds{ 10 }) {
      host.Ping({ host.Address() });
      context.run_for(milliseconds{ 10 });
    }
  }

  /// Pauses both hosts until the client's check of its connection is late, and
  /// lets the check run before a ping arrives.
  void Pause()
  {
    std::this_thread::sleep_for(milliseconds{ 900 });
    context.run_for(milliseconds{ 20 });
  }

  asio::io_context context;
  State state;
  ServingControlHost host{ context, state };
  SystemClock clock;
  scheduling::LinkMeter meter{ clock.Now() };
  int unreadable = 0;
  std::optional<FeedClient> client;
};

// Failure: the entry host is paused for longer than the ping timeout. The
// control host must not count as failed: its pings are yet to be read.
TEST_F(FollowingClientTest, PauseIsNoFailureOfTheControlHost)
{
  Run(milliseconds{ 400 });
  const auto first = client->ConfirmedConnection();
  ASSERT_TRUE(first);
  Pause();
  EXPECT_EQ(client->ConfirmedConnection(), first);
  Run(milliseconds{ 400 });
  EXPECT_EQ(client->ConfirmedConnection(), first);
}

// Failure: the control host is silent, and the entry host gets so little of the
// processor that all its checks are late. It must leave the control host.
TEST_F(FollowingClientTest, LateChecksFindASilentControlHost)
{
  Run(milliseconds{ 400 });
  ASSERT_TRUE(client->ConfirmedConnection());
  Pause();
  Pause();
  EXPECT_FALSE(client->ConfirmedConnection());
}

// Guards against an entry host that asks for the same unreadable commands for
// ever and gets no further change.
TEST_F(FollowingClientTest, SnapshotReplacesWhatCannotBeRead)
{
  static_cast<void>(state.Apply(PutInstance(1), LogIndex{ 1 }));
  Run(milliseconds{ 400 });
  ASSERT_TRUE(client->ConfirmedConnection());
  host.SendRaw("\xff no message");
  static_cast<void>(state.Apply(PutInstance(2), LogIndex{ 2 }));
  Run(milliseconds{ 400 });
  EXPECT_EQ(unreadable, 1);
  EXPECT_EQ(host.opens, (std::vector<uint64_t>{ 0, 0 }));
  EXPECT_NE(client->CurrentState().FindInstance("i-2"), nullptr);
}

// Guards against a flood of snapshots if none of them can be read.
TEST_F(FollowingClientTest, UnreadableSnapshotsAreRequestedSlowly)
{
  Run(milliseconds{ 400 });
  ASSERT_TRUE(client->ConfirmedConnection());
  for (size_t opened = host.opens.size(), round = 0; round < 150; ++round) {
    if (host.opens.size() >= opened) {
      opened = host.opens.size() + 1;
      host.SendRaw("\xff no message");
    }
    context.run_for(milliseconds{ 10 });
  }
  EXPECT_LE(host.opens.size(), 4U);
}

// Guards against messages of the feed that the meter of the link leaves out.
TEST_F(FollowingClientTest, FeedOpenCounts)
{
  Run(milliseconds{ 100 });
  EXPECT_EQ(
    meter.Total(scheduling::LinkUse::Feed, scheduling::LinkDirection::Out)
      .messages,
    1U);
}

// A control host that is not up to date closes the client's connection four
// times in a row. The client reconnects each time until it is served.
TEST(FeedClientTest, ClientReconnectsAfterItsConnectionIsClosed)
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const Endpoint seed{ "127.0.0.1", acceptor.local_endpoint().port() };
  SystemClock clock;
  State state;
  ASSERT_TRUE(state.Apply(PutInstance(1), LogIndex{ 1 }));
  FeedServer server(state);
  std::shared_ptr<net::FrameConnection> served;
  int closedConnections = 0;
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](auto aError, tcp::socket aSocket) {
      if (aError || served) {
        return;
      }
      if (closedConnections < 4) {
        ++closedConnections;
        aSocket.close();
      } else {
        served = std::make_shared<net::FrameConnection>(std::move(aSocket));
        served->Start({ [](auto) {}, [] {}, {} });
        server.Subscribe(served, {});
      }
      accept();
    });
  };
  accept();
  wire::EntryMember self;
  self.set_address("127.0.0.1:1");
  FeedClient client(
    context.get_executor(),
    { self, { seed } },
    [&](const wire::GatewayCommand*) { context.stop(); },
    clock,
    7);
  client.Start();
  context.run();
  EXPECT_EQ(closedConnections, 4);
  EXPECT_TRUE(client.HasState());
}

} // namespace
} // namespace rattandyke::gateway
