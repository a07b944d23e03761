#include "gateway/http_server.h"

#include <array>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "testing/descriptors.h"

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace testing; // NOLINT(google-build-using-namespace)

constexpr size_t kMaxConnections = 3000;

/// A server that gives the same response to every request.
class RespondingServer
{
public:
  explicit RespondingServer(HttpResponse aResponse)
    : mServer(mContext.get_executor(),
              mAddress,
              kMaxConnections,
              [response = std::move(aResponse)](const HttpRequest&)
                -> asio::awaitable<HttpResponse> { co_return response; })
  {
    EXPECT_TRUE(mServer.Start());
  }

  /// @return a connection on which bytes have been sent and handled.
  tcp::socket Send(const std::string& aBytes)
  {
    tcp::socket client(mContext);
    client.connect(TcpOf(mAddress));
    asio::write(client, asio::buffer(aBytes));
    mContext.run_for(std::chrono::milliseconds{ 50 });
    return client;
  }

private:
  asio::io_context mContext;
  const Endpoint mAddress = FreeAddress(mContext);
  HttpServer mServer;
};

// The process has no free file descriptor, so accept() fails. A server that
// retried at once would use up its share of the core. The waiting connection is
// accepted and its request handled once a descriptor is free.
TEST(HttpServer, WaitsWithoutBusyLoopWhenDescriptorsAreExhausted)
{
  asio::io_context context;
  const Endpoint address = FreeAddress(context);
  size_t requests = 0;
  HttpServer server(context.get_executor(),
                    address,
                    kMaxConnections,
                    [&](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                      ++requests;
                      co_return HttpResponse{ 200, "", "text/plain" };
                    });
  ASSERT_TRUE(server.Start());
  tcp::socket client(context);
  client.connect(TcpOf(address));
  asio::write(client,
              asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  constexpr size_t kMaxHandlers = 100;
  EXPECT_LT(HandlersWithoutDescriptors(context, kMaxHandlers), kMaxHandlers);
  constexpr int kMaxRounds = 3000;
  for (int round = 0; round < kMaxRounds && requests == 0; ++round) {
    context.restart();
    context.run_for(std::chrono::milliseconds{ 1 });
  }
  EXPECT_EQ(requests, 1U);
}

// Failure: a fixed connection limit is lower than the number of upstreams. The
// connections of some are closed, their heartbeats are lost, and they lose
// their keys although they are running.
TEST(HttpServer, ServesConnectionsUpToItsLimit)
{
  for (const size_t maxConnections : { 1U, 50U }) {
    asio::io_context context;
    const Endpoint address = FreeAddress(context);
    size_t requests = 0;
    HttpServer server(context.get_executor(),
                      address,
                      maxConnections,
                      [&](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                        ++requests;
                        co_return HttpResponse{ 200, "", "text/plain" };
                      });
    ASSERT_TRUE(server.Start());
    std::vector<tcp::socket> clients;
    for (size_t i = 0; i < maxConnections + 10; ++i) {
      tcp::socket& client = clients.emplace_back(context);
      client.connect(TcpOf(address));
      boost::system::error_code error; // Refusals show in the count.
      asio::write(
        client,
        asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")),
        error);
      context.restart();
      context.run_for(std::chrono::milliseconds{ 1 });
    }
    context.restart();
    context.run_for(std::chrono::milliseconds{ 20 });
    EXPECT_EQ(requests, maxConnections);
  }
}

// Guards against an order that is carried out although its sender has left.
TEST(HttpServer, HandlerSeesThatTheClientHasLeft)
{
  asio::io_context context;
  const Endpoint address = FreeAddress(context);
  std::vector<bool> left;
  HttpServer server(context.get_executor(),
                    address,
                    kMaxConnections,
                    [&](HttpRequest aRequest) -> asio::awaitable<HttpResponse> {
                      left.push_back(aRequest.hasClientLeft());
                      co_return HttpResponse{ 200, "", "text/plain" };
                    });
  ASSERT_TRUE(server.Start());
  tcp::socket waiting(context);
  tcp::socket leaving(context);
  for (tcp::socket* client : { &waiting, &leaving }) {
    client->connect(TcpOf(address));
    asio::write(*client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    if (client == &leaving) {
      client->close();
    }
    context.restart();
    context.run_for(std::chrono::milliseconds{ 20 });
  }
  EXPECT_EQ(left, (std::vector<bool>{ false, true }));
}

// Guards against a host whose memory a client fills with a chunk's size line.
TEST(HttpServer, ChunkWithAnEndlessExtensionIsRefused)
{
  RespondingServer server({ 200, "", "text/plain" });
  tcp::socket client = server.Send("POST / HTTP/1.1\r\nHost: h\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n4;x=" +
                                   std::string(64 * 1024, 'a'));
  std::array<char, 64> answer{};
  boost::system::error_code error;
  const size_t read = client.read_some(asio::buffer(answer), error);
  EXPECT_EQ(std::string(answer.data(), read).substr(0, 12), "HTTP/1.1 413");
}

// Guards against a call within another's body.
TEST(HttpServer, BodyOfUnknownCodingIsRefused)
{
  RespondingServer server({ 200, "", "text/plain" });
  tcp::socket client = server.Send("POST / HTTP/1.1\r\nHost: h\r\n"
                                   "Transfer-Encoding: gzip\r\n\r\n"
                                   "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  client.shutdown(tcp::socket::shutdown_send);
  std::string received;
  boost::system::error_code error;
  asio::read(client, asio::dynamic_buffer(received), error);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 501")) << received;
  EXPECT_EQ(received.find("HTTP/1.1", 1), std::string::npos) << received;
}

// Guards against a sender that stays with a host that refuses its orders.
TEST(HttpServer, ResponseMayEndTheConnection)
{
  RespondingServer server({ 503, "", "text/plain", true });
  tcp::socket client = server.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  std::string received;
  boost::system::error_code error;
  asio::read(client, asio::dynamic_buffer(received), error);
  EXPECT_EQ(error, asio::error::eof);
  EXPECT_NE(received.find("Connection: close"), std::string::npos) << received;
}

// A third of the upstreams stop without closing their connections, and
// replacements start on other machines. The leader still has the old
// connections open when the new ones arrive. It must answer the heartbeat of
// every replacement: without an answer the replacement owns no keys.
TEST(HttpServer, ServesReplacedUpstreamsWhileOldConnectionsAreOpen)
{
  constexpr size_t kUpstreams = 810;
  constexpr size_t kReplaced = 284;
  constexpr rlim_t kDescriptors = 4096;
  const DescriptorLimit limit(kDescriptors);
  ASSERT_TRUE(limit.IsSet());
  asio::io_context context;
  const Endpoint address = FreeAddress(context);
  size_t requests = 0;
  HttpServer server(context.get_executor(),
                    address,
                    kMaxConnections,
                    [&](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                      ++requests;
                      co_return HttpResponse{ 200, "", "text/plain" };
                    });
  ASSERT_TRUE(server.Start());
  std::vector<tcp::socket> clients;
  for (size_t i = 0; i < kUpstreams + kReplaced; ++i) {
    tcp::socket& client = clients.emplace_back(context);
    client.connect(TcpOf(address));
    boost::system::error_code error; // Refusals show in the count.
    asio::write(client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")),
                error);
    context.restart();
    context.poll();
  }
  constexpr int kMaxRounds = 3000;
  for (int round = 0; round < kMaxRounds && requests < clients.size();
       ++round) {
    context.restart();
    context.run_for(std::chrono::milliseconds{ 1 });
  }
  EXPECT_EQ(requests, kUpstreams + kReplaced);
}

// Failure: a control host is stopped while a large call of an operator arrives
// over a slow link. Stop cancels the read of that request as if the connection
// were idle. The operator gets no response, although the process runs until
// another host is the leader.
TEST(HttpServer, StopLetsAnArrivingRequestFinish)
{
  asio::io_context context;
  const Endpoint address = FreeAddress(context);
  size_t requests = 0;
  HttpServer server(context.get_executor(),
                    address,
                    kMaxConnections,
                    [&](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                      ++requests;
                      co_return HttpResponse{ 200, "", "text/plain" };
                    });
  ASSERT_TRUE(server.Start());
  tcp::socket client(context);
  client.connect(TcpOf(address));
  const std::string halfBody(1000, 'b');
  asio::write(
    client,
    asio::buffer("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" +
                 halfBody));
  context.run_for(std::chrono::milliseconds{ 20 });
  server.Stop();
  context.restart();
  context.run_for(std::chrono::milliseconds{ 20 });
  boost::system::error_code error;
  asio::write(client, asio::buffer(halfBody), error);
  context.restart();
  context.run_for(std::chrono::milliseconds{ 20 });
  EXPECT_EQ(requests, 1U) << error.message();
  std::array<char, 1000> response{};
  client.non_blocking(true);
  const size_t read = client.read_some(asio::buffer(response), error);
  EXPECT_TRUE(
    std::string_view(response.data(), read).starts_with("HTTP/1.1 200"))
    << error.message();
}

// A client keeps an idle connection open. The server closes it on Stop, so that
// the client does not find out only when its next request fails.
TEST(HttpServer, StopClosesIdleConnections)
{
  asio::io_context context;
  const Endpoint address = FreeAddress(context);
  HttpServer server(context.get_executor(),
                    address,
                    kMaxConnections,
                    [](const HttpRequest&) -> asio::awaitable<HttpResponse> {
                      co_return HttpResponse{};
                    });
  ASSERT_TRUE(server.Start());
  tcp::socket client(context);
  client.connect(TcpOf(address));
  context.run_for(std::chrono::milliseconds{ 20 });
  server.Stop();
  context.restart();
  context.run_for(std::chrono::milliseconds{ 20 });
  std::array<char, 1> byte{};
  boost::system::error_code error;
  client.non_blocking(true);
  client.read_some(asio::buffer(byte), error);
  EXPECT_EQ(error, asio::error::eof) << error.message();
}

} // namespace
} // namespace rattandyke::gateway
