#include "net/frame_mesh.h"

#include <gtest/gtest.h>

#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace rattandyke::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// The host has no descriptor left as another host connects to it. It must not
// spend its share of the core on trying again at once: the mesh shares the
// thread on which callers are answered. The other host is heard once there is
// room.
TEST(FrameMesh, WithoutDescriptorsItWaits)
{
  asio::io_context context;
  tcp::acceptor free(context, { asio::ip::address_v4::loopback(), 0 });
  const tcp::endpoint address = free.local_endpoint();
  free.close();
  size_t messages = 0;
  FrameMesh mesh(
    context.get_executor(),
    { "127.0.0.1", address.port() },
    { [&](const auto&, std::string_view) { ++messages; }, [](const auto&) {} });
  ASSERT_TRUE(mesh.Start());
  tcp::socket peer(context);
  peer.connect(address);
  asio::write(peer, asio::buffer(std::string("\x01\x00\x00\x00x", 5)));
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  rlimit none = before;
  none.rlim_cur = 0;
  setrlimit(RLIMIT_NOFILE, &none);
  constexpr size_t kMostHandlers = 100;
  size_t handlers = 0;
  while (handlers < kMostHandlers && context.poll_one() > 0) {
    ++handlers;
  }
  setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_LT(handlers, kMostHandlers);
  constexpr int kMostRounds = 3000;
  for (int round = 0; round < kMostRounds && messages == 0; ++round) {
    context.restart();
    context.run_for(std::chrono::milliseconds{ 1 });
  }
  EXPECT_EQ(messages, 1U);
}

} // namespace
} // namespace rattandyke::net
