/// UpstreamClient against a scripted upstream, for its tests.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "gateway/upstream_client.h"
#include "http/signal.h"

namespace rattandyke::testing {

inline const gateway::HeaderNames kUpstreamFields{
  "Id", "Deadline", "Signature", "Expected", "Not-Run", "Instance", "Key"
};

/// The memory budget of a client.
constexpr size_t kBodyBytes = size_t{ 1024 } * 1024;

/// Long enough for an exchange with a stand-in.
constexpr std::chrono::milliseconds kLongerThanAResponse{ 1000 };

/// Upstream that responds to each request with the next of the given texts, and
/// closes the connection after the last.
class ScriptedUpstream
{
public:
  ScriptedUpstream(boost::asio::io_context& aContext,
                   std::vector<std::string> aTexts)
    : mAcceptor(aContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , mTexts(std::move(aTexts))
  {
    boost::asio::co_spawn(aContext, Accept(), boost::asio::detached);
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  const std::vector<std::string>& Heads() const { return mHeads; }
  size_t Connections() const { return mConnections; }

private:
  boost::asio::awaitable<void> Accept()
  {
    for (;;) {
      auto [error, socket] = co_await mAcceptor.async_accept(http::kAwait);
      if (error) {
        co_return;
      }
      ++mConnections;
      boost::asio::co_spawn(mAcceptor.get_executor(),
                            Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket)
  {
    std::string received;
    while (mNext < mTexts.size()) {
      auto [error, size] = co_await boost::asio::async_read_until(
        aSocket,
        boost::asio::dynamic_buffer(received),
        "\r\n\r\n",
        http::kAwait);
      if (error) {
        co_return;
      }
      mHeads.push_back(received.substr(0, size));
      received.erase(0, size);
      const std::string text = mTexts[mNext++];
      co_await boost::asio::async_write(
        aSocket, boost::asio::buffer(text), http::kAwait);
    }
  }

  boost::asio::ip::tcp::acceptor mAcceptor;
  std::vector<std::string> mTexts;
  std::vector<std::string> mHeads;
  size_t mNext = 0;
  size_t mConnections = 0;
};

inline std::string
ResponseTo(const std::string& aId,
           const std::string& aBody,
           const std::string& aFields = "Signature: s\r\n",
           const std::string& aStatus = "200 OK")
{
  return "HTTP/1.1 " + aStatus + "\r\nId: " + aId + "\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

class UpstreamClientTest : public ::testing::Test
{
protected:
  /// Sends aCount requests in sequence, with the ids "r-1", "r-2", ... unless
  /// sameRequest is set.
  std::vector<gateway::AttemptResult> Send(std::vector<std::string> aTexts,
                                           size_t aCount = 1)
  {
    upstream = std::make_unique<ScriptedUpstream>(context, std::move(aTexts));
    boost::asio::co_spawn(context, SendAll(aCount), boost::asio::detached);
    context.run();
    return std::move(results);
  }

  boost::asio::awaitable<void> SendAll(size_t aCount)
  {
    for (size_t number = 1; number <= aCount; ++number) {
      auto request = std::make_shared<gateway::UpstreamRequest>();
      request->method = "GET";
      request->target = "/x";
      request->requestId =
        "r-" + std::to_string(sameRequest ? size_t{ 1 } : number);
      const gateway::UpstreamProcess process{ "i-1", upstream->Address() };
      results.push_back(co_await client.RoundTrip(
        process, request, left, std::make_shared<gateway::AttemptHandle>()));
    }
    context.stop();
  }

  /// @return the result of a request to an upstream that keeps its connection
  /// open; nothing if the client still waits.
  std::optional<gateway::AttemptResult> SendToOpen(const std::string& aText)
  {
    upstream = std::make_unique<ScriptedUpstream>(
      context, std::vector<std::string>{ aText, {} });
    boost::asio::co_spawn(context, SendAll(1), boost::asio::detached);
    context.run_for(kLongerThanAResponse);
    if (results.empty()) {
      return std::nullopt;
    }
    return std::move(results.front());
  }

  /// @return whether an upstream that responds to a health check, and keeps its
  /// connection open, can be reached.
  bool Probe(const std::string& aText)
  {
    upstream = std::make_unique<ScriptedUpstream>(
      context, std::vector<std::string>{ aText, {} });
    bool reached = false;
    boost::asio::co_spawn(
      context,
      client.Probe({ "i-1", upstream->Address() }, "/health"),
      [&](const std::exception_ptr&, bool aReached) {
        reached = aReached;
        context.stop();
      });
    context.run();
    return reached;
  }

  boost::asio::awaitable<void> ProbeThenSend()
  {
    const gateway::UpstreamProcess process{ "i-1", upstream->Address() };
    EXPECT_TRUE(co_await client.Probe(process, "/health"));
    co_await SendAll(1);
  }

  SystemClock clock;
  boost::asio::io_context context;
  size_t bytesWritten = 0;
  /// Every sending has the id "r-1".
  bool sameRequest = false;
  MemoryBudget bodies{ kBodyBytes };
  gateway::UpstreamClient client{ context.get_executor(),
                                  kUpstreamFields,
                                  bodies,
                                  clock,
                                  [this](size_t aBytes) {
                                    bytesWritten += aBytes;
                                  } };
  Duration left = std::chrono::seconds{ 1 };
  std::unique_ptr<ScriptedUpstream> upstream;
  std::vector<gateway::AttemptResult> results;
};

} // namespace rattandyke::testing
