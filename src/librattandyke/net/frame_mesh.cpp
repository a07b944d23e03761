#include "net/frame_mesh.h"

#include <map>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "net/accept_loop.h"

namespace rattandyke::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// A connection that takes longer is given up; hosts are a few milliseconds
/// apart. The first packet of an attempt is lost if the other host is down or
/// a link drops it, and the kernel repeats it after a second only: with a long
/// attempt, a host that is up again is not heard of for that long.
constexpr std::chrono::milliseconds kConnectTimeout{ 150 };
/// Pause after a failed connection, so that a dead host costs little.
constexpr std::chrono::milliseconds kRetryPause{ 50 };
/// Messages kept while a connection is made.
constexpr size_t kMaxWaitingBytes = size_t{ 1024 } * 1024;

tcp::endpoint
ToTcp(const Endpoint& aEndpoint)
{
  ErrorCode ignored; // An unusable address fails to connect.
  return { asio::ip::make_address(aEndpoint.address, ignored), aEndpoint.port };
}

} // namespace

struct FrameMesh::Impl : std::enable_shared_from_this<FrameMesh::Impl>
{
  struct Peer
  {
    Connection connection;
    std::shared_ptr<tcp::socket> connecting;
    std::vector<std::string> waiting;
    size_t waitingBytes = 0;
    std::optional<std::chrono::steady_clock::time_point> failedAt;
  };

  Impl(asio::any_io_executor aExecutor, Endpoint aListen, Handlers aHandlers)
    : executor(std::move(aExecutor))
    , listen(std::move(aListen))
    , handlers(std::move(aHandlers))
  {
  }

  Result<void> Start()
  {
    acceptor = std::make_shared<AcceptLoop>(
      executor, [self = weak_from_this()](tcp::socket aSocket) {
        if (const auto mesh = self.lock()) {
          mesh->Take(std::move(aSocket));
        }
      });
    return acceptor->Start(listen, "hosts");
  }

  void Take(tcp::socket aSocket)
  {
    TuneSocket(aSocket, kUnacknowledgedTimeout);
    auto connection = std::make_shared<FrameConnection>(std::move(aSocket));
    accepted[connection.get()] = connection;
    std::weak_ptr<FrameConnection> weak = connection;
    connection->Start(
      { [self = weak_from_this(), weak](std::string_view aMessage) {
         const auto mesh = self.lock();
         const auto source = weak.lock();
         if (mesh && source && !mesh->stopped) {
           mesh->handlers.received(source, aMessage);
         }
       },
        [self = weak_from_this(), weak] {
          const auto mesh = self.lock();
          const auto source = weak.lock();
          if (mesh && source && !mesh->stopped) {
            mesh->accepted.erase(source.get());
            mesh->handlers.closed(source);
          }
        } });
  }

  bool Send(const HostName& aTo, std::string_view aMessage)
  {
    Peer& peer = peers[aTo];
    if (peer.connection) {
      peer.connection->Send(aMessage);
      return true;
    }
    if (peer.failedAt &&
        std::chrono::steady_clock::now() - *peer.failedAt < kRetryPause) {
      return false;
    }
    const bool fits = peer.waitingBytes + aMessage.size() <= kMaxWaitingBytes;
    if (fits) {
      peer.waiting.emplace_back(aMessage);
      peer.waitingBytes += aMessage.size();
    }
    return (peer.connecting || Connect(aTo)) && fits;
  }

  void ReportLost(const HostName& aPeer, bool aWasConnected)
  {
    if (handlers.lost) {
      handlers.lost(aPeer, aWasConnected);
    }
  }

  /// @return whether a connection is being made.
  bool Connect(const HostName& aTo)
  {
    const Result<Endpoint> address = ParseEndpoint(aTo.value);
    if (!address) {
      peers.erase(aTo);
      return false;
    }
    auto socket = std::make_shared<tcp::socket>(executor);
    peers[aTo].connecting = socket;
    auto deadline =
      std::make_shared<asio::steady_timer>(executor, kConnectTimeout);
    deadline->async_wait([socket](ErrorCode aError) {
      if (!aError) {
        ErrorCode ignored; // Ends the attempt, which reports it.
        socket->close(ignored);
      }
    });
    socket->async_connect(
      ToTcp(*address),
      [self = weak_from_this(), socket, deadline, aTo](ErrorCode aError) {
        deadline->cancel();
        if (const auto mesh = self.lock(); mesh && !mesh->stopped) {
          mesh->OnConnected(aTo, socket, aError);
        }
      });
    return true;
  }

  void OnConnected(const HostName& aTo,
                   const std::shared_ptr<tcp::socket>& aSocket,
                   ErrorCode aError)
  {
    Peer& peer = peers[aTo];
    peer.connecting.reset();
    const auto waiting = std::exchange(peer.waiting, {});
    peer.waitingBytes = 0;
    if (aError || !aSocket->is_open()) {
      peer.failedAt = std::chrono::steady_clock::now();
      ReportLost(aTo, false);
      return;
    }
    peer.failedAt.reset();
    TuneSocket(*aSocket, kUnacknowledgedTimeout);
    auto connection = std::make_shared<FrameConnection>(std::move(*aSocket));
    peer.connection = connection;
    std::weak_ptr<FrameConnection> weak = connection;
    connection->Start(
      { [self = weak_from_this(), weak](std::string_view aMessage) {
         const auto mesh = self.lock();
         const auto source = weak.lock();
         if (mesh && source && !mesh->stopped) {
           mesh->handlers.received(source, aMessage);
         }
       },
        [self = weak_from_this(), aTo] {
          if (const auto mesh = self.lock(); mesh && !mesh->stopped) {
            mesh->peers[aTo].connection.reset();
            mesh->ReportLost(aTo, true);
          }
        } });
    for (const std::string& message : waiting) {
      connection->Send(message);
    }
  }

  void Stop()
  {
    stopped = true;
    if (acceptor) {
      acceptor->Stop();
    }
    ErrorCode ignored; // Nothing is done with it any more.
    for (auto& [raw, connection] : accepted) {
      connection->Close();
    }
    for (auto& [name, peer] : peers) {
      if (peer.connecting) {
        peer.connecting->close(ignored);
      }
      if (peer.connection) {
        peer.connection->Close();
      }
    }
    accepted.clear();
    peers.clear();
  }

  const asio::any_io_executor executor;
  const Endpoint listen;
  const Handlers handlers;
  std::shared_ptr<AcceptLoop> acceptor;
  std::map<HostName, Peer> peers;
  std::map<FrameConnection*, Connection> accepted;
  bool stopped = false;
};

FrameMesh::FrameMesh(asio::any_io_executor aExecutor,
                     Endpoint aListen,
                     Handlers aHandlers)
  : mImpl(std::make_shared<Impl>(std::move(aExecutor),
                                 std::move(aListen),
                                 std::move(aHandlers)))
{
}

FrameMesh::~FrameMesh()
{
  Stop();
}

Result<void>
FrameMesh::Start()
{
  return mImpl->Start();
}

void
FrameMesh::Stop()
{
  if (!mImpl->stopped) {
    mImpl->Stop();
  }
}

bool
FrameMesh::Send(const HostName& aTo, std::string_view aMessage)
{
  return !mImpl->stopped && mImpl->Send(aTo, aMessage);
}

} // namespace rattandyke::net
