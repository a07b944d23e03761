#include "gateway/http_server.h"

#include <array>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "testing/descriptors.h"

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace testing; // NOLINT(google-build-using-namespace)

constexpr size_t kMostConnections = 3000;

// The host has no descriptor left for one more connection. It must not spend
// its share of the core on trying again at once; the call that waits is taken
// once there is room.
TEST(HttpServer, WithoutDescriptorsItWaits)
{
  asio::io_context context;
  const Endpoint address = FreeAddress(context);
  size_t calls = 0;
  HttpServer server(context.get_executor(),
                    address,
                    kMostConnections,
                    [&](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                      ++calls;
                      co_return HttpResponse{ 200, "", "text/plain" };
                    });
  ASSERT_TRUE(server.Start());
  tcp::socket caller(context);
  caller.connect(TcpOf(address));
  asio::write(caller,
              asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  constexpr size_t kMostHandlers = 100;
  EXPECT_LT(HandlersWithoutDescriptors(context, kMostHandlers), kMostHandlers);
  constexpr int kMostRounds = 3000;
  for (int round = 0; round < kMostRounds && calls == 0; ++round) {
    context.restart();
    context.run_for(std::chrono::milliseconds{ 1 });
  }
  EXPECT_EQ(calls, 1U);
}

// Guards against a fixed number of connections that a larger fleet exceeds: its
// upstreams' heartbeats are cut off, and owners lose their keys though they
// live.
TEST(HttpServer, AsManyConnectionsAsAreAllowedAreServed)
{
  for (const size_t most : { 1U, 50U }) {
    asio::io_context context;
    const Endpoint address = FreeAddress(context);
    size_t calls = 0;
    HttpServer server(context.get_executor(),
                      address,
                      most,
                      [&](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                        ++calls;
                        co_return HttpResponse{ 200, "", "text/plain" };
                      });
    ASSERT_TRUE(server.Start());
    std::vector<tcp::socket> callers;
    for (size_t i = 0; i < most + 10; ++i) {
      tcp::socket& caller = callers.emplace_back(context);
      caller.connect(TcpOf(address));
      boost::system::error_code error; // A refused one shows in the count.
      asio::write(
        caller,
        asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")),
        error);
      context.restart();
      context.run_for(std::chrono::milliseconds{ 1 });
    }
    context.restart();
    context.run_for(std::chrono::milliseconds{ 20 });
    EXPECT_EQ(calls, most);
  }
}

// A third of a fleet falls dark and is started anew elsewhere: the leader still
// has the connections of those that are gone, and gets as many new ones. Every
// newcomer's heartbeat must be answered: without an answer it holds no keys.
TEST(HttpServer, ConnectionsOfAFleetAndOfItsSuccessorsAreServed)
{
  constexpr size_t kUpstreams = 810;
  constexpr size_t kReplaced = 284;
  constexpr rlim_t kDescriptors = 4096;
  const DescriptorLimit limit(kDescriptors);
  ASSERT_TRUE(limit.IsSet());
  asio::io_context context;
  const Endpoint address = FreeAddress(context);
  size_t calls = 0;
  HttpServer server(context.get_executor(),
                    address,
                    kMostConnections,
                    [&](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                      ++calls;
                      co_return HttpResponse{ 200, "", "text/plain" };
                    });
  ASSERT_TRUE(server.Start());
  std::vector<tcp::socket> callers;
  for (size_t i = 0; i < kUpstreams + kReplaced; ++i) {
    tcp::socket& caller = callers.emplace_back(context);
    caller.connect(TcpOf(address));
    boost::system::error_code error; // A refused one shows in the count.
    asio::write(caller,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")),
                error);
    context.restart();
    context.poll();
  }
  constexpr int kMostRounds = 3000;
  for (int round = 0; round < kMostRounds && calls < callers.size(); ++round) {
    context.restart();
    context.run_for(std::chrono::milliseconds{ 1 });
  }
  EXPECT_EQ(calls, kUpstreams + kReplaced);
}

// A control host is stopped while an operator's large call arrives over a slow
// link. The caller sees its connection end and gets no answer, although the
// host lives on until another leads: stopping cuts the read of what has begun
// to arrive, as it does an idle wait.
TEST(HttpServer, CallThatIsArrivingIsAnsweredAlthoughItStops)
{
  asio::io_context context;
  const Endpoint address = FreeAddress(context);
  size_t calls = 0;
  HttpServer server(context.get_executor(),
                    address,
                    kMostConnections,
                    [&](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                      ++calls;
                      co_return HttpResponse{ 200, "", "text/plain" };
                    });
  ASSERT_TRUE(server.Start());
  tcp::socket caller(context);
  caller.connect(TcpOf(address));
  const std::string half(1000, 'b');
  asio::write(
    caller,
    asio::buffer("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" +
                 half));
  context.run_for(std::chrono::milliseconds{ 20 });
  server.Stop();
  context.restart();
  context.run_for(std::chrono::milliseconds{ 20 });
  boost::system::error_code error;
  asio::write(caller, asio::buffer(half), error);
  context.restart();
  context.run_for(std::chrono::milliseconds{ 20 });
  EXPECT_EQ(calls, 1U) << error.message();
  std::array<char, 1000> answer{};
  caller.non_blocking(true);
  const size_t read = caller.read_some(asio::buffer(answer), error);
  EXPECT_TRUE(std::string_view(answer.data(), read).starts_with("HTTP/1.1 200"))
    << error.message();
}

// A caller keeps a connection on which it calls nothing. It must see its end
// when the host stops, and not learn of it with its next call.
TEST(HttpServer, IdleConnectionEndsAsItStops)
{
  asio::io_context context;
  const Endpoint address = FreeAddress(context);
  HttpServer server(context.get_executor(),
                    address,
                    kMostConnections,
                    [](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                      co_return HttpResponse{};
                    });
  ASSERT_TRUE(server.Start());
  tcp::socket caller(context);
  caller.connect(TcpOf(address));
  context.run_for(std::chrono::milliseconds{ 20 });
  server.Stop();
  context.restart();
  context.run_for(std::chrono::milliseconds{ 20 });
  std::array<char, 1> byte{};
  boost::system::error_code error;
  caller.non_blocking(true);
  caller.read_some(asio::buffer(byte), error);
  EXPECT_EQ(error, asio::error::eof) << error.message();
}

} // namespace
} // namespace rattandyke::gateway
