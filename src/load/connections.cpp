#include "load/connections.h"

#include <sys/socket.h>

namespace rattandyke::load {

namespace {

/// @return whether an idle connection was closed by its peer meanwhile.
bool
IsStale(Connection& aConnection)
{
  char byte = 0;
  const ssize_t peeked = ::recv(aConnection.stream.socket().native_handle(),
                                &byte,
                                1,
                                MSG_PEEK | MSG_DONTWAIT);
  return peeked >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

Connections::Connections(asio::any_io_executor aExecutor,
                         std::vector<Endpoint> aEntries)
  : mExecutor(std::move(aExecutor))
  , mEntries(std::move(aEntries))
  , mIdle(mEntries.size())
{
}

asio::awaitable<std::unique_ptr<Connection>>
Connections::Take(size_t aEntry, Duration aTimeout)
{
  auto& idle = mIdle[aEntry];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (!IsStale(*connection)) {
      connection->fresh = false;
      co_return connection;
    }
  }
  auto connection = std::make_unique<Connection>(mExecutor);
  const Endpoint& entry = mEntries[aEntry];
  const tcp::endpoint endpoint(asio::ip::make_address(entry.address),
                               entry.port);
  connection->stream.expires_after(aTimeout);
  auto [error] = co_await connection->stream.async_connect(endpoint, kNoThrow);
  if (error) {
    co_return nullptr;
  }
  connection->stream.socket().set_option(tcp::no_delay(true));
  co_return connection;
}

void
Connections::GiveBack(size_t aEntry, std::unique_ptr<Connection> aConnection)
{
  mIdle[aEntry].push_back(std::move(aConnection));
}

} // namespace rattandyke::load
