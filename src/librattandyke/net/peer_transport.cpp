#include "net/peer_transport.h"

#include <atomic>
#include <csignal>
#include <deque>
#include <mutex>
#include <thread>
#include <variant>

#include <sys/eventfd.h>
#include <unistd.h>

#include <boost/asio/ip/address.hpp>
#include <zmq.hpp>

namespace rattandyke::net {

namespace {

constexpr int kMaxMessageBytes = 16 * 1024 * 1024;
constexpr int kSendQueueMessages = 256;
constexpr int kReceiveQueueMessages = 1024;
constexpr size_t kMaxHandoverMessages = 4096;
constexpr size_t kMaxHandoverBytes = size_t{ 64 } * 1024 * 1024;
/// Messages read before commands get their turn again.
constexpr int kReceiveBurst = 256;

constexpr std::chrono::milliseconds kReconnectFirst{ 50 };
constexpr std::chrono::milliseconds kReconnectLongest{ 1000 };
constexpr std::chrono::milliseconds kConnectTimeout{ 1000 };
constexpr std::chrono::milliseconds kHeartbeatInterval{ 200 };
constexpr std::chrono::milliseconds kHeartbeatTimeout{ 1000 };

constexpr const char* kAuthenticationAddress = "inproc://zeromq.zap.01";
constexpr size_t kCurveKeyBytes = 32;
constexpr size_t kCurveKeyTextBytes = 40;

int
Milliseconds(std::chrono::milliseconds aTime)
{
  return static_cast<int>(aTime.count());
}

bool
IsIpv6(const Endpoint& aEndpoint)
{
  return aEndpoint.address.find(':') != std::string::npos;
}

std::string
ZmqAddress(const Endpoint& aEndpoint)
{
  const std::string host =
    IsIpv6(aEndpoint) ? "[" + aEndpoint.address + "]" : aEndpoint.address;
  const std::string port =
    aEndpoint.port == 0 ? "*" : std::to_string(aEndpoint.port);
  return "tcp://" + host + ":" + port;
}

bool
IsLoopback(const Endpoint& aEndpoint)
{
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(aEndpoint.address, error);
  return !error && address.is_loopback();
}

/// Wakes the thread that polls it; a counter in the kernel, so that a wake-up
/// given before the poll starts is not lost.
class WakeUp
{
public:
  WakeUp()
    : mDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
  {
  }
  ~WakeUp() { close(mDescriptor); }
  WakeUp(const WakeUp&) = delete;
  WakeUp& operator=(const WakeUp&) = delete;

  int Descriptor() const { return mDescriptor; }
  void Signal() const
  {
    const uint64_t one = 1;
    [[maybe_unused]] const auto written = write(mDescriptor, &one, sizeof one);
  }
  void Clear() const
  {
    uint64_t count = 0;
    [[maybe_unused]] const auto got = read(mDescriptor, &count, sizeof count);
  }

private:
  int mDescriptor;
};

struct AddPeer
{
  HostName name;
  Endpoint address;
};

struct SendMessage
{
  HostName to;
  std::string bytes;
};

using Command = std::variant<AddPeer, SendMessage>;

size_t
SizeOf(const Command& aCommand)
{
  const auto* message = std::get_if<SendMessage>(&aCommand);
  return message != nullptr ? message->bytes.size() : 0;
}

/// Signals are for the threads that handle them; here they would only
/// interrupt the poll.
void
BlockSignals()
{
  sigset_t all;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

} // namespace

struct PeerTransport::Impl
{
  Impl(Endpoint aListen,
       HostName aName,
       uint64_t aSession,
       CurveKeys aKeys,
       Receiver aReceiver)
    : listen(std::move(aListen))
    , name(std::move(aName))
    , session(aSession)
    , keys(std::move(aKeys))
    , receiver(std::move(aReceiver))
  {
  }

  Result<void> CheckKeys() const;
  Result<void> Open();
  void Run();
  void DrainCommands();
  void Apply(const AddPeer& aCommand);
  void Apply(const SendMessage& aCommand);
  void Receive();
  void Authenticate();
  void Deliver(const void* aData, size_t aSize);
  void Enqueue(Command aCommand);

  void SetCommonOptions(zmq::socket_t& aSocket, const Endpoint& aEndpoint);
  bool Protected() const { return !keys.publicKey.empty(); }

  const Endpoint listen;
  const HostName name;
  const uint64_t session;
  const CurveKeys keys;
  const Receiver receiver;

  Endpoint bound;
  std::string peersKey;
  WakeUp wakeUp;
  std::thread thread;
  std::atomic<bool> stopping{ false };

  std::mutex mutex; // guards the next two
  std::deque<Command> commands;
  size_t commandBytes = 0;

  std::atomic<uint64_t> sent{ 0 };
  std::atomic<uint64_t> received{ 0 };
  std::atomic<uint64_t> dropped{ 0 };
  std::atomic<uint64_t> malformed{ 0 };

  // Owned by the thread once it runs. The context is declared first: it waits
  // for its sockets when it is destroyed.
  zmq::context_t context{ 1 };
  zmq::socket_t authenticator;
  zmq::socket_t incoming;
  std::unordered_map<HostName, zmq::socket_t> outgoing;
};

Result<void>
PeerTransport::Impl::CheckKeys() const
{
  if (!Protected()) {
    if (IsLoopback(listen)) {
      return {};
    }
    return Fail(Code::InvalidSettings,
                "Without keys, hosts talk on loopback only; " + listen.address +
                  " is not loopback.");
  }
  const bool complete = keys.publicKey.size() == kCurveKeyTextBytes &&
                        keys.secretKey.size() == kCurveKeyTextBytes &&
                        keys.peersPublicKey.size() == kCurveKeyTextBytes;
  if (!complete) {
    return Fail(Code::InvalidSettings,
                "Keys between hosts must be three texts of 40 characters.");
  }
  return {};
}

void
PeerTransport::Impl::SetCommonOptions(zmq::socket_t& aSocket,
                                      const Endpoint& aEndpoint)
{
  aSocket.set(zmq::sockopt::linger, 0);
  aSocket.set(zmq::sockopt::ipv6, IsIpv6(aEndpoint));
  aSocket.set(zmq::sockopt::maxmsgsize, int64_t{ kMaxMessageBytes });
  // A silent cut sends no reset: without heartbeats a connection through it
  // looks alive for many minutes and swallows every message.
  aSocket.set(zmq::sockopt::heartbeat_ivl, Milliseconds(kHeartbeatInterval));
  aSocket.set(zmq::sockopt::heartbeat_timeout, Milliseconds(kHeartbeatTimeout));
  aSocket.set(zmq::sockopt::heartbeat_ttl, Milliseconds(kHeartbeatTimeout));
}

Result<void>
PeerTransport::Impl::Open()
{
  try {
    if (Protected()) {
      std::array<uint8_t, kCurveKeyBytes> key{};
      if (zmq_z85_decode(key.data(), keys.peersPublicKey.c_str()) == nullptr) {
        return Fail(Code::InvalidSettings, "The peers' key is not Z85 text.");
      }
      peersKey.assign(key.begin(), key.end());
      authenticator = zmq::socket_t(context, zmq::socket_type::rep);
      authenticator.set(zmq::sockopt::linger, 0);
      authenticator.bind(kAuthenticationAddress);
    }
    incoming = zmq::socket_t(context, zmq::socket_type::pull);
    SetCommonOptions(incoming, listen);
    incoming.set(zmq::sockopt::rcvhwm, kReceiveQueueMessages);
    if (Protected()) {
      incoming.set(zmq::sockopt::curve_server, true);
      incoming.set(zmq::sockopt::curve_secretkey, keys.secretKey);
      incoming.set(zmq::sockopt::zap_domain, "rattandyke");
    }
    incoming.bind(ZmqAddress(listen));
    const std::string last = incoming.get(zmq::sockopt::last_endpoint);
    bound = listen;
    bound.port =
      static_cast<uint16_t>(std::stoul(last.substr(last.rfind(':') + 1)));
    return {};
  } catch (const zmq::error_t& error) {
    incoming.close();
    authenticator.close();
    if (error.num() == EADDRINUSE) {
      return Fail(Code::AddressInUse,
                  "Cannot listen for hosts on " + ZmqAddress(listen) +
                    ": the address is in use.");
    }
    return Fail(Code::InvalidSettings,
                "Cannot listen for hosts on " + ZmqAddress(listen) + ": " +
                  error.what() + ".");
  }
}

void
PeerTransport::Impl::Run()
{
  BlockSignals();
  std::vector<zmq::pollitem_t> items = {
    { nullptr, wakeUp.Descriptor(), ZMQ_POLLIN, 0 },
    { incoming.handle(), 0, ZMQ_POLLIN, 0 },
  };
  if (Protected()) {
    items.push_back({ authenticator.handle(), 0, ZMQ_POLLIN, 0 });
  }
  while (!stopping) {
    try {
      zmq::poll(items, std::chrono::milliseconds{ -1 });
      wakeUp.Clear();
      DrainCommands();
      Receive();
      if (Protected()) {
        Authenticate();
      }
    } catch (const zmq::error_t&) {
      // Sockets that fail here lose one message, which peers tolerate.
      ++dropped;
    }
  }
  outgoing.clear();
  incoming.close();
  authenticator.close();
}

void
PeerTransport::Impl::DrainCommands()
{
  std::deque<Command> taken;
  {
    const std::lock_guard lock(mutex);
    taken.swap(commands);
    commandBytes = 0;
  }
  for (Command& command : taken) {
    std::visit([&](auto& aEach) { Apply(std::move(aEach)); }, command);
  }
}

void
PeerTransport::Impl::Apply(const AddPeer& aCommand)
{
  outgoing.erase(aCommand.name);
  zmq::socket_t socket(context, zmq::socket_type::push);
  SetCommonOptions(socket, aCommand.address);
  socket.set(zmq::sockopt::sndhwm, kSendQueueMessages);
  // With "immediate", a socket queues only while its connection stands, and
  // drops its queue when the connection breaks. Otherwise a host that returns
  // after hours would get a burst of messages from the time of its loss.
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::reconnect_ivl, Milliseconds(kReconnectFirst));
  socket.set(zmq::sockopt::reconnect_ivl_max, Milliseconds(kReconnectLongest));
  socket.set(zmq::sockopt::connect_timeout, Milliseconds(kConnectTimeout));
  if (Protected()) {
    socket.set(zmq::sockopt::curve_serverkey, keys.peersPublicKey);
    socket.set(zmq::sockopt::curve_publickey, keys.publicKey);
    socket.set(zmq::sockopt::curve_secretkey, keys.secretKey);
  }
  socket.connect(ZmqAddress(aCommand.address));
  outgoing.emplace(aCommand.name, std::move(socket));
}

void
PeerTransport::Impl::Apply(const SendMessage& aCommand)
{
  if (aCommand.to == name) {
    ++sent;
    Deliver(aCommand.bytes.data(), aCommand.bytes.size());
    return;
  }
  const auto peer = outgoing.find(aCommand.to);
  const bool taken =
    peer != outgoing.end() &&
    peer->second.send(zmq::buffer(aCommand.bytes), zmq::send_flags::dontwait);
  ++(taken ? sent : dropped);
}

void
PeerTransport::Impl::Receive()
{
  for (int count = 0; count < kReceiveBurst; ++count) {
    zmq::message_t message;
    if (!incoming.recv(message, zmq::recv_flags::dontwait)) {
      return;
    }
    if (!message.more()) {
      Deliver(message.data(), message.size());
      continue;
    }
    ++malformed;
    while (message.more() && incoming.recv(message)) {
    }
  }
  // ZeroMQ signals new input by an edge: what is left is polled for again.
  wakeUp.Signal();
}

/// Answers the library's question whether a peer may connect (ZAP 1.0). By
/// default any key may; so anybody who reaches the port could forge
/// messages. Only the deployment's own key is accepted.
void
PeerTransport::Impl::Authenticate()
{
  while (true) {
    std::vector<std::string> parts;
    zmq::message_t part;
    do {
      if (!authenticator.recv(part, zmq::recv_flags::dontwait)) {
        return;
      }
      parts.push_back(part.to_string());
    } while (part.more());
    constexpr size_t kRequestId = 1;
    constexpr size_t kMechanism = 5;
    constexpr size_t kCredentials = 6;
    const bool accepted = parts.size() > kCredentials &&
                          parts[kMechanism] == "CURVE" &&
                          parts[kCredentials] == peersKey;
    const std::string id = parts.size() > kRequestId ? parts[kRequestId] : "";
    const auto more = zmq::send_flags::sndmore;
    authenticator.send(zmq::str_buffer("1.0"), more);
    authenticator.send(zmq::buffer(id), more);
    authenticator.send(
      accepted ? zmq::str_buffer("200") : zmq::str_buffer("400"), more);
    authenticator.send(zmq::str_buffer(""), more);
    authenticator.send(zmq::str_buffer(""), more);
    authenticator.send(zmq::str_buffer(""), zmq::send_flags::none);
  }
}

void
PeerTransport::Impl::Deliver(const void* aData, size_t aSize)
{
  wire::Envelope envelope;
  const bool valid = envelope.ParseFromArray(aData, static_cast<int>(aSize)) &&
                     !envelope.from().empty() &&
                     envelope.body_case() != wire::Envelope::BODY_NOT_SET;
  if (!valid) {
    ++malformed;
    return;
  }
  ++received;
  receiver(std::move(envelope));
}

void
PeerTransport::Impl::Enqueue(Command aCommand)
{
  const size_t size = SizeOf(aCommand);
  const bool isMessage = std::holds_alternative<SendMessage>(aCommand);
  {
    const std::lock_guard lock(mutex);
    const bool full = commands.size() >= kMaxHandoverMessages ||
                      commandBytes + size > kMaxHandoverBytes;
    if (isMessage && full) {
      ++dropped;
      return;
    }
    commands.push_back(std::move(aCommand));
    commandBytes += size;
  }
  wakeUp.Signal();
}

PeerTransport::PeerTransport(Endpoint aListen,
                             HostName aName,
                             uint64_t aSession,
                             CurveKeys aKeys,
                             Receiver aReceiver)
  : mImpl(std::make_unique<Impl>(std::move(aListen),
                                 std::move(aName),
                                 aSession,
                                 std::move(aKeys),
                                 std::move(aReceiver)))
{
}

PeerTransport::~PeerTransport()
{
  Stop();
}

Result<void>
PeerTransport::Start()
{
  auto opened = mImpl->CheckKeys().and_then([this] { return mImpl->Open(); });
  if (opened) {
    mImpl->thread = std::thread([impl = mImpl.get()] { impl->Run(); });
  }
  return opened;
}

void
PeerTransport::Stop()
{
  if (!mImpl->thread.joinable()) {
    return;
  }
  mImpl->stopping = true;
  mImpl->wakeUp.Signal();
  mImpl->thread.join();
}

Endpoint
PeerTransport::Listening() const
{
  return mImpl->bound;
}

TransportCounters
PeerTransport::Counters() const
{
  return { mImpl->sent, mImpl->received, mImpl->dropped, mImpl->malformed };
}

void
PeerTransport::SetPeer(const HostName& aName, const Endpoint& aAddress)
{
  mImpl->Enqueue(AddPeer{ aName, aAddress });
}

void
PeerTransport::Send(const HostName& aTo, wire::Envelope aEnvelope)
{
  aEnvelope.set_from(mImpl->name.value);
  aEnvelope.set_from_session(mImpl->session);
  if (aEnvelope.ByteSizeLong() > static_cast<size_t>(kMaxMessageBytes)) {
    ++mImpl->dropped;
    return;
  }
  mImpl->Enqueue(SendMessage{ aTo, aEnvelope.SerializeAsString() });
}

} // namespace rattandyke::net
