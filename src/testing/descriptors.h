/// Limits of descriptors, and free ports, for tests of hosts that listen.
#pragma once

#include <algorithm>
#include <cstddef>

#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <rattandyke/types.h>

namespace rattandyke::testing {

/// Sets how many descriptors this process may open, until it goes.
class DescriptorLimit
{
public:
  explicit DescriptorLimit(rlim_t aDescriptors)
  {
    getrlimit(RLIMIT_NOFILE, &mBefore);
    rlimit wanted = mBefore;
    wanted.rlim_cur = aDescriptors;
    mSet = setrlimit(RLIMIT_NOFILE, &wanted) == 0;
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &mBefore); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

  /// @return whether the limit is in force.
  bool IsSet() const { return mSet; }

private:
  rlimit mBefore{};
  bool mSet = false;
};

/// @return how many handlers are ready, one after the other, while no
/// descriptor is left; at most aMost, which tells of one that is tried again at
/// once for ever.
inline size_t
HandlersWithoutDescriptors(boost::asio::io_context& aContext, size_t aMost)
{
  const DescriptorLimit none(0);
  size_t handlers = 0;
  while (handlers < aMost && aContext.poll_one() > 0) {
    ++handlers;
  }
  return handlers;
}

/// @return an address of this machine on which nobody listens.
inline Endpoint
FreeAddress(boost::asio::io_context& aContext)
{
  using boost::asio::ip::tcp;
  tcp::acceptor acceptor(aContext,
                         { boost::asio::ip::address_v4::loopback(), 0 });
  return { "127.0.0.1", acceptor.local_endpoint().port() };
}

/// @return the same for a socket.
inline boost::asio::ip::tcp::endpoint
TcpOf(const Endpoint& aAddress)
{
  return { boost::asio::ip::make_address(aAddress.address), aAddress.port };
}

} // namespace rattandyke::testing
