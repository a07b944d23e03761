#include "http/upstream_pool.h"

#include <map>
#include <mutex>
#include <vector>

#include "net/peek.h"

namespace rattandyke::http {

namespace {

/// @return whether nothing has come in since the last answer. Bytes or an end
/// that come while no request is out mean a broken or closing upstream.
bool
IsQuiet(UpstreamConnection& aConnection)
{
  if (aConnection.buffer.size() > 0) {
    return false;
  }
  return net::Peek(aConnection.socket) == boost::asio::error::would_block;
}

} // namespace

void
UpstreamConnection::Abort()
{
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

struct UpstreamPool::Impl
{
  Impl(boost::asio::any_io_executor aExecutor, const Limits& aLimits)
    : executor(std::move(aExecutor))
    , limits(aLimits)
  {
  }

  UpstreamConnectionPtr PopNewest(const Endpoint& aUpstream)
  {
    const std::lock_guard lock(mutex);
    const auto found = idle.find(aUpstream);
    if (found == idle.end() || found->second.empty()) {
      return nullptr;
    }
    auto newest = std::move(found->second.back());
    found->second.pop_back();
    return newest;
  }

  const boost::asio::any_io_executor executor;
  const Limits limits;
  mutable std::mutex mutex;
  /// Oldest first.
  std::map<Endpoint, std::vector<UpstreamConnectionPtr>> idle;
};

UpstreamPool::UpstreamPool(boost::asio::any_io_executor aExecutor,
                           const Limits& aLimits)
  : mImpl(std::make_unique<Impl>(std::move(aExecutor), aLimits))
{
}

UpstreamPool::~UpstreamPool() = default;

UpstreamConnectionPtr
UpstreamPool::New() const
{
  return std::make_unique<UpstreamConnection>(mImpl->executor);
}

UpstreamConnectionPtr
UpstreamPool::Take(const Endpoint& aUpstream, bool aIdempotent, Instant aNow)
{
  const Duration oldest = aIdempotent ? mImpl->limits.upstreamIdleTime
                                      : mImpl->limits.upstreamFreshTime;
  while (auto connection = mImpl->PopNewest(aUpstream)) {
    if (aNow - connection->idleSince <= oldest && IsQuiet(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void
UpstreamPool::GiveBack(const Endpoint& aUpstream,
                       UpstreamConnectionPtr aConnection,
                       Instant aNow)
{
  if (!IsQuiet(*aConnection)) {
    return;
  }
  aConnection->idleSince = aNow;
  UpstreamConnectionPtr surplus;
  const std::lock_guard lock(mImpl->mutex);
  auto& connections = mImpl->idle[aUpstream];
  connections.push_back(std::move(aConnection));
  if (connections.size() > mImpl->limits.maxIdlePerUpstream) {
    surplus = std::move(connections.front());
    connections.erase(connections.begin());
  }
}

void
UpstreamPool::Sweep(Instant aNow)
{
  const Instant oldest = aNow - mImpl->limits.upstreamIdleTime;
  const std::lock_guard lock(mImpl->mutex);
  for (auto each = mImpl->idle.begin(); each != mImpl->idle.end();) {
    std::erase_if(each->second, [&](const UpstreamConnectionPtr& aConnection) {
      return aConnection->idleSince < oldest || !IsQuiet(*aConnection);
    });
    each = each->second.empty() ? mImpl->idle.erase(each) : std::next(each);
  }
}

void
UpstreamPool::CloseAll()
{
  const std::lock_guard lock(mImpl->mutex);
  mImpl->idle.clear();
}

size_t
UpstreamPool::Idle() const
{
  const std::lock_guard lock(mImpl->mutex);
  size_t count = 0;
  for (const auto& [upstream, connections] : mImpl->idle) {
    count += connections.size();
  }
  return count;
}

} // namespace rattandyke::http
