#include "net/close_gently.h"

#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace rattandyke::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

asio::awaitable<void>
CloseAndTell(boost::beast::tcp_stream& aStream, bool& aClosed)
{
  co_await CloseGently(aStream);
  aClosed = true;
}

/// Writes until the connection ends.
void
WriteWithoutEnd(tcp::socket& aSocket)
{
  const std::vector<char> bytes(size_t{ 1024 } * 1024);
  boost::system::error_code error;
  while (!error) {
    asio::write(aSocket, asio::buffer(bytes), error);
  }
}

// Guards against a peer that keeps this host busy after it was refused, by
// sending faster than the input is discarded.
TEST(CloseGentlyTest, EndsWhileInputIsAlwaysReady)
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  tcp::socket peer(context);
  peer.connect(acceptor.local_endpoint());
  boost::beast::tcp_stream stream(acceptor.accept());
  std::thread writer([&] { WriteWithoutEnd(peer); });
  bool closed = false;
  asio::co_spawn(context, CloseAndTell(stream, closed), asio::detached);
  constexpr std::chrono::seconds kPatience{ 20 };
  context.run_for(kPatience);
  EXPECT_TRUE(closed);
  stream.socket().close();
  writer.join();
}

} // namespace
} // namespace rattandyke::net
