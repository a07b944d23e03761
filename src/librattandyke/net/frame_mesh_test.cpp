#include "net/frame_mesh.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "base/endpoint.h"
#include "testing/descriptors.h"

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
  const Endpoint address = testing::FreeAddress(context);
  size_t messages = 0;
  FrameMesh mesh(
    context.get_executor(),
    address,
    { [&](const auto&, std::string_view) { ++messages; }, [](const auto&) {} });
  ASSERT_TRUE(mesh.Start());
  tcp::socket peer(context);
  peer.connect(testing::TcpOf(address));
  asio::write(peer, asio::buffer(std::string("\x01\x00\x00\x00x", 5)));
  constexpr size_t kMostHandlers = 100;
  EXPECT_LT(testing::HandlersWithoutDescriptors(context, kMostHandlers),
            kMostHandlers);
  constexpr int kMostRounds = 3000;
  for (int round = 0; round < kMostRounds && messages == 0; ++round) {
    context.restart();
    context.run_for(std::chrono::milliseconds{ 1 });
  }
  EXPECT_EQ(messages, 1U);
}

// Who waits for the answer of a host must learn that it is lost, and whether
// anything may have arrived there.
TEST(FrameMesh, LossOfAPeerIsReported)
{
  asio::io_context context;
  const Endpoint here = testing::FreeAddress(context);
  const Endpoint there = testing::FreeAddress(context);
  std::vector<std::pair<std::string, bool>> lost;
  FrameMesh mesh(context.get_executor(),
                 here,
                 { [](const auto&, std::string_view) {},
                   [](const auto&) {},
                   [&](const HostName& aPeer, bool aWasConnected) {
                     lost.emplace_back(aPeer.value, aWasConnected);
                   } });
  const HostName peer{ ToString(there) };
  EXPECT_TRUE(mesh.Send(peer, "nobody listens yet"));
  context.run_for(std::chrono::milliseconds{ 30 });
  ASSERT_EQ(lost.size(), 1U);
  EXPECT_EQ(lost[0], std::pair(peer.value, false));
  EXPECT_FALSE(mesh.Send(peer, "within the pause after a failure"));
  asio::steady_timer pause(context, std::chrono::milliseconds{ 60 });
  pause.async_wait([](auto) {});
  context.restart();
  context.run();

  tcp::acceptor acceptor(context, testing::TcpOf(there));
  tcp::socket accepted(context);
  acceptor.async_accept(accepted, [&](auto) { accepted.close(); });
  EXPECT_TRUE(mesh.Send(peer, "now one does"));
  context.restart();
  context.run_for(std::chrono::milliseconds{ 100 });
  ASSERT_EQ(lost.size(), 2U);
  EXPECT_EQ(lost[1], std::pair(peer.value, true));
}

} // namespace
} // namespace rattandyke::net
