#include "net/peer_transport.h"

#include <condition_variable>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <zmq.hpp>

namespace rattandyke::net {
namespace {

/// Collects what a transport receives and lets a test wait for it.
class Inbox
{
public:
  PeerTransport::Receiver AsReceiver()
  {
    return [this](wire::Envelope aEnvelope) {
      const std::lock_guard lock(mMutex);
      mEnvelopes.push_back(std::move(aEnvelope));
      mArrived.notify_all();
    };
  }

  /// @return the first envelope of that content, once it has arrived.
  wire::Envelope Await(const std::string& aContent)
  {
    std::unique_lock lock(mMutex);
    wire::Envelope found;
    mArrived.wait(lock, [&] {
      for (const auto& envelope : mEnvelopes) {
        if (envelope.consensus() == aContent) {
          found = envelope;
          return true;
        }
      }
      return false;
    });
    return found;
  }

  /// @return whether it arrived within the time between two attempts to send.
  bool ArrivesSoon(const std::string& aContent)
  {
    std::unique_lock lock(mMutex);
    return mArrived.wait_for(lock, std::chrono::milliseconds{ 2 }, [&] {
      return CountLocked(aContent) > 0;
    });
  }

  size_t CountOf(const std::string& aContent)
  {
    const std::lock_guard lock(mMutex);
    return CountLocked(aContent);
  }

private:
  size_t CountLocked(const std::string& aContent) const
  {
    return static_cast<size_t>(
      std::count_if(mEnvelopes.begin(), mEnvelopes.end(), [&](auto& aEach) {
        return aEach.consensus() == aContent;
      }));
  }

  std::mutex mMutex;
  std::condition_variable mArrived;
  std::vector<wire::Envelope> mEnvelopes;
};

wire::Envelope
Containing(const std::string& aContent)
{
  wire::Envelope envelope;
  envelope.set_consensus(aContent);
  return envelope;
}

struct Host
{
  Inbox inbox;
  PeerTransport transport;

  explicit Host(const std::string& aName,
                uint16_t aPort = 0,
                CurveKeys aKeys = {})
    : transport({ "127.0.0.1", aPort },
                HostName{ aName },
                7,
                std::move(aKeys),
                inbox.AsReceiver())
  {
  }
};

/// Sends until the peer has it: a transport may drop what is sent before its
/// connection stands.
void
SendUntilReceived(Host& aFrom, Host& aTo, const std::string& aToName)
{
  static int sProbe = 0;
  const std::string probe = "probe" + std::to_string(++sProbe);
  do {
    aFrom.transport.Send(HostName{ aToName }, Containing(probe));
  } while (!aTo.inbox.ArrivesSoon(probe));
}

TEST(PeerTransport, DeliversBothWaysWithTheSender)
{
  Host one("one");
  Host two("two");
  ASSERT_TRUE(one.transport.Start());
  ASSERT_TRUE(two.transport.Start());
  one.transport.SetPeer(HostName{ "two" }, two.transport.Listening());
  two.transport.SetPeer(HostName{ "one" }, one.transport.Listening());
  SendUntilReceived(one, two, "two");
  SendUntilReceived(two, one, "one");

  one.transport.Send(HostName{ "two" }, Containing("hello"));
  const auto hello = two.inbox.Await("hello");
  EXPECT_EQ(hello.from(), "one");
  EXPECT_EQ(hello.from_session(), 7U);

  one.transport.Send(HostName{ "one" }, Containing("to myself"));
  EXPECT_EQ(one.inbox.Await("to myself").from(), "one");
}

// A host is lost, its peer keeps sending, and it returns on the same address
// much later. It must get new messages, and none from the time of its loss:
// a burst of old heartbeats and votes would cost it seconds and mean nothing.
TEST(PeerTransport, AHostThatReturnsGetsNoOldMessages)
{
  Host one("one");
  ASSERT_TRUE(one.transport.Start());
  Endpoint address;
  {
    Host two("two");
    ASSERT_TRUE(two.transport.Start());
    address = two.transport.Listening();
    one.transport.SetPeer(HostName{ "two" }, address);
    SendUntilReceived(one, two, "two");
  }
  // The loss is noticed once messages are dropped; what was queued before
  // that went down with the connection.
  const auto before = one.transport.Counters().dropped;
  while (one.transport.Counters().dropped == before) {
    one.transport.Send(HostName{ "two" }, Containing("while lost"));
    std::this_thread::yield();
  }
  for (int count = 0; count < 100; ++count) {
    one.transport.Send(HostName{ "two" }, Containing("while lost"));
  }

  Host returned("two", address.port);
  ASSERT_TRUE(returned.transport.Start());
  SendUntilReceived(one, returned, "two");
  EXPECT_EQ(returned.inbox.CountOf("while lost"), 0U);
}

TEST(PeerTransport, ATakenPortIsANumberedError)
{
  Host one("one");
  ASSERT_TRUE(one.transport.Start());
  Host two("two", one.transport.Listening().port);
  const auto started = two.transport.Start();
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error().code, Code::AddressInUse);
}

// Something that is not a host of ours connects and writes: plain bytes, a
// well-framed message that is no envelope, and one in two parts. All of it is
// counted or cut off, and a real peer's next message still arrives.
TEST(PeerTransport, GarbageIsDroppedAndCounted)
{
  Host one("one");
  Host two("two");
  ASSERT_TRUE(one.transport.Start());
  ASSERT_TRUE(two.transport.Start());
  const Endpoint address = two.transport.Listening();

  zmq::context_t zmqContext;
  zmq::socket_t push(zmqContext, zmq::socket_type::push);
  push.connect("tcp://127.0.0.1:" + std::to_string(address.port));
  push.send(zmq::str_buffer("\xff\xff not an envelope"), {});
  push.send(zmq::str_buffer(""), {});
  push.send(zmq::str_buffer("a"), zmq::send_flags::sndmore);
  push.send(zmq::str_buffer("b"), {});

  one.transport.SetPeer(HostName{ "two" }, address);
  SendUntilReceived(one, two, "two");
  while (two.transport.Counters().malformed < 3) {
    std::this_thread::yield();
  }
  EXPECT_EQ(two.transport.Counters().malformed, 3U);

  boost::asio::io_context context;
  boost::asio::ip::tcp::socket raw(context);
  raw.connect({ boost::asio::ip::make_address(address.address), address.port });
  boost::asio::write(raw, boost::asio::buffer(std::string(5000, '\xfe')));

  SendUntilReceived(one, two, "two");
}

CurveKeys
NewKeys()
{
  std::array<char, 41> publicKey{};
  std::array<char, 41> secretKey{};
  zmq_curve_keypair(publicKey.data(), secretKey.data());
  return { publicKey.data(), secretKey.data(), publicKey.data() };
}

// Two hosts share the deployment's keys; a third has keys of its own and knows
// the deployment's public key. Its messages must not arrive: the port is open
// to the network, and a forged heartbeat could move keys.
TEST(PeerTransport, KeysOfAnotherDeploymentAreRefused)
{
  const CurveKeys keys = NewKeys();
  Host one("one", 0, keys);
  Host two("two", 0, keys);
  CurveKeys strange = NewKeys();
  strange.peersPublicKey = keys.peersPublicKey;
  Host stranger("one", 0, strange);
  ASSERT_TRUE(one.transport.Start());
  ASSERT_TRUE(two.transport.Start());
  ASSERT_TRUE(stranger.transport.Start());
  one.transport.SetPeer(HostName{ "two" }, two.transport.Listening());
  stranger.transport.SetPeer(HostName{ "two" }, two.transport.Listening());
  for (int count = 0; count < 20; ++count) {
    stranger.transport.Send(HostName{ "two" }, Containing("forged"));
    SendUntilReceived(one, two, "two");
  }
  EXPECT_EQ(two.inbox.CountOf("forged"), 0U);
  EXPECT_EQ(stranger.transport.Counters().sent, 0U);
}

TEST(PeerTransport, WithoutKeysOnlyLoopback)
{
  PeerTransport transport(
    { "0.0.0.0", 0 }, HostName{ "one" }, 1, {}, [](const wire::Envelope&) {});
  const auto started = transport.Start();
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error().code, Code::InvalidSettings);
}

} // namespace
} // namespace rattandyke::net
