// Part of the upstream client: idle connections, and the handle of an attempt.
#include <algorithm>
#include <utility>

#include "gateway/upstream_client.h"
#include "net/peek.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// @return whether an idle connection is open and has no input. Input on an
/// idle connection belongs to no request of this host.
bool
IsOpenAndIdle(tcp::socket& aSocket)
{
  return net::Peek(aSocket) == asio::error::would_block;
}

} // namespace

void
RefusedRequests::Add(std::string_view aRequestId,
                     Instant aResendableUntil,
                     Instant aNow)
{
  std::erase_if(mRequests, [&](const Request& aRequest) {
    return aRequest.resendableUntil <= aNow;
  });
  mRequests.push_back(
    { std::hash<std::string_view>{}(aRequestId), aResendableUntil });
}

bool
RefusedRequests::Contains(std::string_view aRequestId, Instant aNow) const
{
  const size_t hash = std::hash<std::string_view>{}(aRequestId);
  return std::any_of(
    mRequests.begin(), mRequests.end(), [&](const Request& aRequest) {
      return aRequest.idHash == hash && aRequest.resendableUntil > aNow;
    });
}

ConnectionPool::IdleConnections&
ConnectionPool::ConnectionsTo(const UpstreamProcess& aProcess)
{
  IdleConnections& connections = mIdle[aProcess.instance];
  if (connections.process != aProcess) {
    for (const auto& connection : connections.idle) {
      connection->Close();
    }
    connections.idle.clear();
    connections.process = aProcess;
  }
  return connections;
}

std::shared_ptr<UpstreamConnection>
ConnectionPool::Take(const UpstreamProcess& aProcess,
                     std::string_view aRequestId,
                     Instant aNow)
{
  auto& idle = ConnectionsTo(aProcess).idle;
  for (size_t at = idle.size(); at > 0; --at) {
    const auto position = idle.begin() + static_cast<ptrdiff_t>(at - 1);
    const std::shared_ptr<UpstreamConnection> connection = *position;
    if (connection->refused.Contains(aRequestId, aNow)) {
      continue;
    }
    idle.erase(position);
    if (connection->usableUntil > aNow && IsOpenAndIdle(connection->socket)) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

bool
ConnectionPool::HasIdle(const UpstreamProcess& aProcess, Instant aNow) const
{
  const auto found = mIdle.find(aProcess.instance);
  return found != mIdle.end() && found->second.process == aProcess &&
         !found->second.idle.empty() &&
         found->second.idle.back()->usableUntil > aNow;
}

bool
ConnectionPool::IsConnected(const UpstreamProcess& aProcess) const
{
  const auto found = mIdle.find(aProcess.instance);
  if (found == mIdle.end() || found->second.process != aProcess) {
    return false;
  }
  const auto& idle = found->second.idle;
  return std::any_of(idle.begin(), idle.end(), [](const auto& aConnection) {
    return IsOpenAndIdle(aConnection->socket);
  });
}

void
ConnectionPool::Put(const UpstreamProcess& aProcess,
                    std::shared_ptr<UpstreamConnection> aConnection)
{
  const auto found = mIdle.find(aProcess.instance);
  if (found != mIdle.end() && found->second.process != aProcess) {
    aConnection->Close(); // It belongs to another incarnation.
    return;
  }
  ConnectionsTo(aProcess).idle.push_back(std::move(aConnection));
}

void
AttemptHandle::Cancel(std::string aReason)
{
  if (mCancelled) {
    return;
  }
  mCancelled = true;
  mReason = std::move(aReason);
  if (mConnection) {
    mConnection->Close();
  }
  if (mOnCancel) {
    std::exchange(mOnCancel, nullptr)();
  }
}

void
AttemptHandle::AttachWaiter(std::function<void()> aOnCancel)
{
  if (mCancelled) {
    aOnCancel();
  } else {
    mOnCancel = std::move(aOnCancel);
  }
}

void
AttemptHandle::AttachConnection(std::shared_ptr<UpstreamConnection> aConnection)
{
  mConnection = std::move(aConnection);
  if (mCancelled) {
    mConnection->Close();
  }
}

} // namespace rattandyke::gateway
