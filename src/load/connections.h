/// Connections of the load driver to the entries, kept open between requests.
#pragma once

#include <memory>
#include <vector>

#include <rattandyke/types.h>

#include "upstream/asio_names.h"

namespace rattandyke::load {

struct Connection
{
  explicit Connection(const asio::any_io_executor& aExecutor)
    : stream(aExecutor)
  {
  }
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool fresh = true;
};

/// Idle connections by entry. Used on one thread.
class Connections
{
public:
  Connections(asio::any_io_executor aExecutor, std::vector<Endpoint> aEntries);

  size_t Entries() const { return mEntries.size(); }

  /// @return an idle or a new connection; null if the entry cannot be reached.
  asio::awaitable<std::unique_ptr<Connection>> Take(size_t aEntry,
                                                    Duration aTimeout);
  /// Gives back a connection whose last answer was read to its end.
  void GiveBack(size_t aEntry, std::unique_ptr<Connection> aConnection);

private:
  asio::any_io_executor mExecutor;
  std::vector<Endpoint> mEntries;
  std::vector<std::vector<std::unique_ptr<Connection>>> mIdle;
};

} // namespace rattandyke::load
