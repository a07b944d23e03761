// The way of the demand: from entry hosts' reports to the leader, and in
// digests from the leader over all control hosts and relays to entry hosts.
#include "gateway/control_host.h"
#include "gateway/entry_host.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <filesystem>

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "base/endpoint.h"
#include "gateway/demand_wire.h"
#include "gateway/feed_server.h"
#include "gateway/outgoing_frame.h"
#include "net/frame_connection.h"
#include "testing/descriptors.h"

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// Service "desk" without keys, and a route to it.
wire::ChangeItems
DeskItems()
{
  wire::ChangeItems change;
  wire::ServiceItem* service = change.add_services();
  service->set_name("desk");
  service->set_version(1);
  wire::RouteItem* route = change.add_routes();
  route->set_name("desk");
  route->set_host("h");
  route->set_prefix("/");
  route->set_timeout_ms(300);
  route->set_objective_ms(200);
  route->set_max_attempts(1);
  route->set_version(1);
  route->add_parts()->set_service("desk");
  route->mutable_parts(0)->set_weight(1);
  return change;
}

/// A dialect in which every call configures DeskItems.
class ChangeDialect final : public Dialect
{
public:
  const HeaderNames& Headers() const override { return mNames; }
  Result<ControlCall> DecodeCall(std::string_view,
                                 std::string_view,
                                 std::string_view) const override
  {
    return DeskItems();
  }
  std::optional<LoadReport> DecodeLoadReport(std::string_view) const override
  {
    return std::nullopt;
  }
  bool IsHeartbeat(std::string_view, std::string_view) const override
  {
    return false;
  }
  bool IsUnversionedOrder(std::string_view, std::string_view) const override
  {
    return false;
  }

  std::string Encode(const HeartbeatAnswer&) const override { return {}; }
  std::string EncodeItems(const wire::GatewayState&) const override
  {
    return {};
  }
  std::string Encode(const Error&) const override { return {}; }
  bool IsReadinessPath(std::string_view) const override { return false; }

private:
  const HeaderNames mNames{ "Id",      "Deadline", "Signature", "Expected",
                            "Not-Run", "Instance", "Key",       "Load" };
};

/// A host that subscribes to the feed of another one and stores the digests. It
/// opens the feed again when it is closed, as entry hosts do.
class Subscriber
{
public:
  struct Received
  {
    wire::DemandDigest digest;
    /// Number of the connection on which it arrived.
    size_t connection = 0;
  };

  Subscriber(asio::io_context& aContext, const Endpoint& aHost)
    : mContext(aContext)
    , mHost(aHost)
    , mTimer(aContext)
  {
    Open();
  }
  ~Subscriber()
  {
    mStopping = true;
    if (mConnection) {
      mConnection->Close();
    }
  }
  Subscriber(const Subscriber&) = delete;
  Subscriber& operator=(const Subscriber&) = delete;

  void Send(const wire::GatewayFrame& aFrame)
  {
    if (mConnection && mConnection->IsOpen()) {
      mConnection->Send(aFrame.SerializeAsString());
    }
  }

  /// Reports requests for "desk", of which a tenth were refused.
  void Report()
  {
    wire::GatewayFrame frame;
    wire::ServiceLoad* load = frame.mutable_feed_report()->add_services();
    load->set_service("desk");
    load->set_requests(100);
    load->set_refused(10);
    Send(frame);
  }

  uint64_t NewestTerm() const
  {
    return received.empty() ? 0 : received.back().digest.term();
  }

  std::vector<Received> received;
  /// Pings of all connections. A host pings its subscribers only.
  size_t pings = 0;

private:
  void Open()
  {
    ++mOpened;
    tcp::socket socket(mContext);
    boost::system::error_code error;
    socket.connect(testing::TcpOf(mHost), error);
    if (error) {
      OpenLater();
      return;
    }
    mConnection = std::make_shared<net::FrameConnection>(std::move(socket));
    mConnection->Start(
      { [this](std::string_view aMessage) { OnMessage(aMessage); },
        [this] { OpenLater(); },
        {} });
    wire::GatewayFrame frame;
    frame.mutable_feed_open()->mutable_entry()->set_address("127.0.0.1:9");
    Send(frame);
  }

  void OpenLater()
  {
    if (mStopping) {
      return;
    }
    mTimer.expires_after(milliseconds{ 20 });
    mTimer.async_wait([this](auto aError) {
      if (!aError) {
        Open();
      }
    });
  }

  void OnMessage(std::string_view aMessage)
  {
    wire::GatewayFrame frame;
    frame.ParseFromArray(aMessage.data(), static_cast<int>(aMessage.size()));
    if (frame.has_demand_digest()) {
      received.push_back({ frame.demand_digest(), mOpened });
    }
    pings += frame.has_feed_ping() ? 1 : 0;
  }

  asio::io_context& mContext;
  const Endpoint mHost;
  asio::steady_timer mTimer;
  std::shared_ptr<net::FrameConnection> mConnection;
  size_t mOpened = 0;
  bool mStopping = false;
};

/// A control host whose state and digests the test sets, and which stores the
/// reports it receives. Its state has one upstream of "desk".
class FakeControlHost
{
public:
  FakeControlHost(asio::io_context& aContext,
                  const wire::EntryMember& aEntry,
                  const Endpoint& aUpstream)
    : mAcceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , mTimer(aContext)
    , mServer(mState)
  {
    wire::GatewayCommand items;
    *items.mutable_change_items() = DeskItems();
    wire::GatewayCommand upstream;
    auto* instance = upstream.mutable_put_instance()->mutable_instance();
    instance->set_id("i-1");
    instance->set_service("desk");
    instance->set_address(ToString(aUpstream));
    instance->set_slots(2);
    wire::GatewayCommand entry;
    *entry.mutable_put_entry()->mutable_entry() = aEntry;
    uint64_t index = 0;
    for (const auto& command : { items, upstream, entry }) {
      EXPECT_TRUE(mState.Apply(command, LogIndex{ ++index }));
    }
    Accept();
    Ping();
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  void Send(uint64_t aTerm, uint64_t aSequence, milliseconds aAge)
  {
    mServer.SendDemandDigest(
      ToMessage(scheduling::DemandDigest{ aTerm, aSequence, aAge, {}, {} }));
  }

  bool HasSubscriber() const { return mServer.SubscriberCount() > 0; }

  std::vector<wire::FeedReport> reports;

private:
  void Ping()
  {
    mServer.Ping({ ToString(Address()) }, Duration::zero());
    mTimer.expires_after(milliseconds{ 50 });
    mTimer.async_wait([this](auto aError) {
      if (!aError) {
        Ping();
      }
    });
  }

  void Accept()
  {
    mAcceptor.async_accept([this](auto aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      mEntry = std::make_shared<net::FrameConnection>(std::move(aSocket));
      mEntry->Start({ [this](std::string_view aMessage) {
                       wire::GatewayFrame frame;
                       frame.ParseFromArray(aMessage.data(),
                                            static_cast<int>(aMessage.size()));
                       if (frame.has_feed_open()) {
                         mServer.Subscribe(mEntry, frame.feed_open());
                       } else if (frame.has_feed_report()) {
                         reports.push_back(frame.feed_report());
                       }
                     },
                      [this] { mServer.Unsubscribe(mEntry); },
                      {} });
      Accept();
    });
  }

  tcp::acceptor mAcceptor;
  asio::steady_timer mTimer;
  State mState;
  FeedServer mServer;
  std::shared_ptr<net::FrameConnection> mEntry;
};

/// An upstream that refuses every request with proof and closes the connection.
class RefusingUpstream
{
public:
  explicit RefusingUpstream(asio::io_context& aContext)
    : mAcceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
  {
    Accept();
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

private:
  void Accept()
  {
    mAcceptor.async_accept([this](auto aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      std::array<char, 4096> request{};
      boost::system::error_code ignored; // The caller's response is checked.
      auto socket = std::make_shared<tcp::socket>(std::move(aSocket));
      socket->read_some(asio::buffer(request), ignored);
      asio::write(*socket,
                  asio::buffer(std::string(
                    "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n"
                    "Connection: close\r\nContent-Length: 0\r\n\r\n")),
                  ignored);
      Accept();
    });
  }

  tcp::acceptor mAcceptor;
};

class SharedDemandTest : public ::testing::Test
{
protected:
  SharedDemandTest()
  {
    std::string name = std::filesystem::temp_directory_path() / "demand-XXXXXX";
    folder = mkdtemp(name.data());
  }

  ~SharedDemandTest() override
  {
    entry.reset();
    hosts.clear();
    std::filesystem::remove_all(folder);
  }

  void StartControlHosts(size_t aHosts, bool aSharedDemand)
  {
    for (size_t number = 0; number < aHosts; ++number) {
      Settings host = HostSettings("c" + std::to_string(number));
      host.calls = testing::FreeAddress(context);
      host.metrics = testing::FreeAddress(context);
      host.dataFolder = folder / host.name.value;
      host.tolerated = (aHosts - 1) / 2;
      host.firstStart = true;
      host.sharedDemand = aSharedDemand;
      settings.push_back(host);
      seeds.push_back(host.peers);
    }
    for (size_t number = 0; number < aHosts; ++number) {
      settings[number].seeds = seeds;
      hosts.push_back(std::make_unique<ControlHost>(
        context, settings[number], dialect, clock, number + 1));
      ASSERT_TRUE(hosts.back()->Start());
    }
  }

  Settings HostSettings(const std::string& aName)
  {
    Settings host;
    host.name = HostName{ aName };
    host.peers = testing::FreeAddress(context);
    host.heartbeatInterval = milliseconds{ 1000 };
    host.hold = milliseconds{ 4500 };
    host.drainTimeout = milliseconds{ 500 };
    host.shutdownGrace = milliseconds{ 1000 };
    return host;
  }

  /// Runs until the condition holds, for at most aTime.
  template<typename Condition>
  bool RunUntil(Condition aCondition,
                milliseconds aTime = milliseconds{ 30'000 })
  {
    const Instant end = clock.Now() + aTime;
    while (!aCondition() && clock.Now() < end) {
      const Instant before = clock.Now();
      context.restart();
      context.run_for(milliseconds{ 20 });
      longestRun = std::max<Duration>(longestRun, clock.Now() - before);
    }
    return aCondition();
  }

  /// Runs until a subscriber has got a number of further pings. The first one
  /// proves its subscription.
  bool RunForPings(const Subscriber& aSubscriber, size_t aPings)
  {
    const size_t end = aSubscriber.pings + aPings;
    return RunUntil([&] { return aSubscriber.pings >= end; });
  }

  /// Sends a call with an HTTP server's address and reads the response.
  std::string Call(const Endpoint& aServer, const std::string& aRequest)
  {
    tcp::socket socket(context);
    socket.connect(testing::TcpOf(aServer));
    asio::write(socket, asio::buffer(aRequest));
    std::string received;
    RunUntil(
      [&] {
        boost::system::error_code error;
        std::array<char, 4096> bytes{};
        socket.non_blocking(true);
        received.append(bytes.data(),
                        socket.read_some(asio::buffer(bytes), error));
        return error && error != asio::error::would_block;
      },
      milliseconds{ 1500 });
    return received;
  }

  /// Sends the configuration to the control hosts until it is accepted.
  void Configure()
  {
    const std::string request =
      "POST /items HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
      "Content-Length: 0\r\n\r\n";
    ASSERT_TRUE(RunUntil([&] {
      return Call(*settings[0].calls, request).starts_with("HTTP/1.1 200");
    }));
  }

  struct Leader
  {
    size_t number = 0;
    uint64_t term = 0;
    bool operator==(const Leader&) const = default;
  };

  /// @return the control host that leads; std::nullopt during an election.
  std::optional<Leader> FindLeader()
  {
    const std::string leads = "\nrattandyke_gateway_leads 1\n";
    const std::string term = "\nrattandyke_gateway_term ";
    for (size_t number = 0; number < hosts.size(); ++number) {
      const std::string page =
        Call(*settings[number].metrics,
             "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      const size_t at = page.find(term);
      if (page.find(leads) != std::string::npos && at != std::string::npos) {
        return Leader{ number, std::stoull(page.substr(at + term.size())) };
      }
    }
    return std::nullopt;
  }

  const ChangeDialect dialect;
  const SystemClock clock;
  asio::io_context context{ 1 };
  std::filesystem::path folder;
  std::vector<Settings> settings;
  std::vector<Endpoint> seeds;
  std::vector<std::unique_ptr<ControlHost>> hosts;
  std::unique_ptr<EntryHost> entry;
  /// Longest time for which RunUntil ran handlers without a break.
  Duration longestRun{};
};

// Load reported to one control host is known at the subscribers of each.
// Failure: the leader leaves. The next one's digests have a later term, a
// subscriber that stays connected gets them from the first one on, and none
// gets a digest twice or an older one after a newer one.
TEST_F(SharedDemandTest, DigestsReachTheSubscribersOfAllControlHosts)
{
  StartControlHosts(3, true);
  Configure();
  std::vector<std::unique_ptr<Subscriber>> subscribers;
  for (const Endpoint& host : seeds) {
    subscribers.push_back(std::make_unique<Subscriber>(context, host));
  }
  const auto isKnown = [](const auto& aSubscriber) {
    if (aSubscriber->received.empty()) {
      return false;
    }
    const wire::DemandDigest& digest = aSubscriber->received.back().digest;
    return digest.services_size() == 1 &&
           digest.services(0).refused_share() > 0.09;
  };
  EXPECT_TRUE(RunUntil([&] {
    subscribers[0]->Report();
    return std::all_of(subscribers.begin(), subscribers.end(), isKnown);
  }));
  // The leader is the same before and after its digests have reached all
  // subscribers. Otherwise an election has taken place meanwhile.
  std::optional<Leader> leader;
  ASSERT_TRUE(RunUntil([&] {
    leader = FindLeader();
    return leader &&
           std::all_of(subscribers.begin(),
                       subscribers.end(),
                       [&](const auto& aSubscriber) {
                         return aSubscriber->NewestTerm() == leader->term;
                       }) &&
           FindLeader() == leader;
  }));
  hosts[leader->number]->Stop([] {});
  for (size_t number = 0; number < subscribers.size(); ++number) {
    if (number != leader->number) {
      EXPECT_TRUE(RunUntil(
        [&] { return subscribers[number]->NewestTerm() > leader->term; }));
    }
  }
  // The age that a host adds to a digest is the time between two instructions
  // of one handler.
  const auto longestMs =
    std::chrono::ceil<milliseconds>(longestRun).count() + 1;
  for (const auto& subscriber : subscribers) {
    const Subscriber::Received* before = nullptr;
    for (const Subscriber::Received& received : subscriber->received) {
      const wire::DemandDigest& digest = received.digest;
      EXPECT_LE(digest.age_ms(), longestMs);
      if (before != nullptr) {
        EXPECT_LT(std::pair(before->digest.term(), before->digest.sequence()),
                  std::pair(digest.term(), digest.sequence()));
        const bool firstOfTerm = digest.term() > before->digest.term();
        if (firstOfTerm && received.connection == before->connection) {
          EXPECT_EQ(digest.sequence(), 1U);
        }
      }
      before = &received;
    }
  }
}

// Without the setting nothing is sent that was not sent before. A leader with
// the setting sends a digest after each ping, from 600 ms on.
TEST_F(SharedDemandTest, NothingIsSentWithoutTheSetting)
{
  StartControlHosts(1, false);
  Configure();
  Subscriber subscriber(context, seeds[0]);
  ASSERT_TRUE(RunForPings(subscriber, 10));
  EXPECT_TRUE(subscriber.received.empty());
}

/// An entry host with the setting, which follows a FakeControlHost.
class SharedDemandEntryTest : public SharedDemandTest
{
protected:
  void StartEntry(bool aSharedDemand)
  {
    entrySettings = HostSettings("e");
    entrySettings.entry = true;
    entrySettings.callers = testing::FreeAddress(context);
    entrySettings.metrics = testing::FreeAddress(context);
    entrySettings.sharedDemand = aSharedDemand;
    wire::EntryMember self;
    self.set_address(ToString(entrySettings.peers));
    control =
      std::make_unique<FakeControlHost>(context, self, upstream.Address());
    entrySettings.seeds = { control->Address() };
    entry =
      std::make_unique<EntryHost>(context, entrySettings, dialect, clock, 1);
    ASSERT_TRUE(entry->Start());
    ASSERT_TRUE(RunUntil([&] { return control->reports.size() > 1; }));
  }

  ~SharedDemandEntryTest() override { entry.reset(); }

  /// @return the requests for "desk" and those refused, in all reports.
  std::pair<uint32_t, uint32_t> Reported() const
  {
    std::pair<uint32_t, uint32_t> sum;
    for (const wire::FeedReport& report : control->reports) {
      for (const wire::ServiceLoad& load : report.services()) {
        EXPECT_EQ(load.service(), "desk");
        sum.first += load.requests();
        sum.second += load.refused();
      }
    }
    return sum;
  }

  static constexpr const char* kRequest =
    "GET / HTTP/1.1\r\nHost: h\r\nId: r\r\nConnection: close\r\n\r\n";

  RefusingUpstream upstream{ context };
  Settings entrySettings;
  std::unique_ptr<FakeControlHost> control;
};

TEST_F(SharedDemandEntryTest, RequestsAndRefusalsOfServicesAreReported)
{
  StartEntry(true);
  EXPECT_TRUE(Call(*entrySettings.callers, kRequest).starts_with("HTTP/1.1 5"));
  EXPECT_TRUE(RunUntil([&] { return Reported().second > 0; }));
  EXPECT_EQ(Reported(), (std::pair<uint32_t, uint32_t>{ 1, 1 }));
}

// Without the setting an entry host reports what it reported before, and
// ignores digests of a control host that has the setting.
TEST_F(SharedDemandEntryTest, NothingIsReportedOrRelayedWithoutTheSetting)
{
  StartEntry(false);
  Subscriber relayed(context, entrySettings.peers);
  ASSERT_TRUE(RunForPings(relayed, 1));
  EXPECT_TRUE(Call(*entrySettings.callers, kRequest).starts_with("HTTP/1.1 5"));
  const size_t reports = control->reports.size();
  control->Send(1, 1, milliseconds{ 0 });
  ASSERT_TRUE(RunForPings(relayed, 3));
  ASSERT_TRUE(RunUntil([&] { return control->reports.size() > reports + 2; }));
  EXPECT_EQ(Reported(), (std::pair<uint32_t, uint32_t>{ 0, 0 }));
  EXPECT_TRUE(relayed.received.empty());
}

// A relay passes each digest on once, and does not make it younger. Failure:
// two relays that follow one another send the same digests round and round.
TEST_F(SharedDemandEntryTest, RelayForwardsEachDigestOnce)
{
  StartEntry(true);
  Subscriber relayed(context, entrySettings.peers);
  ASSERT_TRUE(RunForPings(relayed, 1));
  const auto received = [&](size_t aDigests) {
    return RunUntil([&] { return relayed.received.size() >= aDigests; });
  };
  control->Send(5, 7, milliseconds{ 300 });
  EXPECT_TRUE(received(1));
  control->Send(5, 7, milliseconds{ 0 });
  control->Send(4, 9, milliseconds{ 0 });
  control->Send(5, 8, milliseconds{ 0 });
  EXPECT_TRUE(received(2));
  ASSERT_TRUE(RunForPings(relayed, 3));
  ASSERT_EQ(relayed.received.size(), 2U);
  EXPECT_GE(relayed.received[0].digest.age_ms(), 300U);
  EXPECT_EQ(relayed.received[1].digest.sequence(), 8U);
  const std::string page =
    Call(*entrySettings.metrics,
         "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_NE(page.find("demand_digests_total{event=\"applied\"} 2"),
            std::string::npos);
  EXPECT_NE(page.find("demand_digests_total{event=\"ignored\"} 2"),
            std::string::npos);
}

// Load: 256 listed owners. A digest every 200 ms must not take more than a
// twentieth of a link with 1.7 Mbit/s, which is 2,125 bytes for each.
TEST(SharedDemandSize, LargestDigestTakesLittleOfASmallLink)
{
  scheduling::DemandDigest digest{ 12, 3456, {}, {}, {} };
  for (int number = 0; number < 256; ++number) {
    digest.owners.push_back({ "board-" + std::to_string(100 + number * 7 % 256),
                              13.37 * std::exp(0.01 * number),
                              3 / (0.21 + 0.0007 * number) });
  }
  wire::GatewayFrame frame;
  *frame.mutable_demand_digest() = ToMessage(digest);
  EXPECT_LE(OutgoingFrame(frame).Compressed().size(), 2125U);
}

// Guards against entry hosts that take owners left out for idle ones.
TEST(SharedDemandMessages, TruncationIsSent)
{
  for (const bool truncated : { false, true }) {
    const scheduling::DemandDigest digest{ 1,  2,        {}, { { "a", 3, 4 } },
                                           {}, truncated };
    EXPECT_EQ(ToDemandDigest(ToMessage(digest)), digest);
  }
}

// Guards against numbers that would admit everything or nothing.
TEST(SharedDemandMessages, InvalidNumbersAreLeftOut)
{
  const double nan = std::nan("");
  wire::DemandDigest message =
    ToMessage(scheduling::DemandDigest{ 1, 2, {}, { { "a", 3, 4 } }, {} });
  for (const auto& [demand, capacity] : std::vector<std::pair<double, double>>{
         { nan, 1 }, { -1, 1 }, { 1, 0 }, { 1, nan } }) {
    wire::OwnerDemand* owner = message.add_owners();
    owner->set_instance("b");
    owner->set_demand(demand);
    owner->set_capacity(capacity);
  }
  message.add_services()->set_utilization(nan);
  EXPECT_EQ(ToDemandDigest(message),
            (scheduling::DemandDigest{ 1, 2, {}, { { "a", 3, 4 } }, {} }));
}

} // namespace
} // namespace rattandyke::gateway
