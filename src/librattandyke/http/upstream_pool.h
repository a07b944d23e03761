/// Connections to upstreams that wait for their next request.
#pragma once

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <rattandyke/types.h>

#include "http/limits.h"
#include "net/read_buffer.h"

namespace rattandyke::http {

/// One connection. Used by one request at a time, on that request's strand.
struct UpstreamConnection
{
  explicit UpstreamConnection(const boost::asio::any_io_executor& aExecutor)
    : socket(aExecutor)
    , buffer(net::ReadBufferLimit(kMaxHeadBytes))
  {
  }

  /// Longest head of an answer.
  static constexpr uint32_t kMaxHeadBytes = 64 * 1024;

  /// Ends the connection with a reset: an upstream that is frozen with the
  /// request in its socket must find an error there, not a request to run.
  void Abort();

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  Instant idleSince{};
};

using UpstreamConnectionPtr = std::unique_ptr<UpstreamConnection>;

/// Keeps idle connections, a bounded number for each upstream. Thread-safe;
/// its mutex is a leaf (docs/LOCKS.md).
class UpstreamPool
{
public:
  /// @param aExecutor of the sockets. Not a strand: a connection serves
  /// requests of many strands one after the other.
  UpstreamPool(boost::asio::any_io_executor aExecutor, const Limits& aLimits);
  ~UpstreamPool();

  /// @return a connection that is not made yet.
  UpstreamConnectionPtr New() const;

  /// @param aIdempotent a request that is not takes a connection only if it
  /// was used lately: on one that the upstream is just closing for its age,
  /// the request would end with an unknown outcome.
  /// @return an idle connection that the upstream has neither closed nor
  /// written to, or null.
  UpstreamConnectionPtr Take(const Endpoint& aUpstream,
                             bool aIdempotent,
                             Instant aNow);

  /// Only for a connection whose request was sent whole and whose last answer
  /// was read whole. One with bytes left over is closed: they would be taken
  /// for the start of the next request's answer.
  void GiveBack(const Endpoint& aUpstream,
                UpstreamConnectionPtr aConnection,
                Instant aNow);

  /// Closes what was idle too long, or was closed by the upstream.
  void Sweep(Instant aNow);

  void CloseAll();

  /// @return idle connections held now.
  size_t Idle() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::http
