#include <gtest/gtest.h>

#include <thread>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "agent/announce_server.h"

namespace rattandyke::agent {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// A host without control hosts and a client of its upstream port.
class AnnounceServerTest : public testing::Test
{
protected:
  AnnounceServerTest()
    : mTransport({ "127.0.0.1", 0 }, { "a" }, 1, {}, [](auto) {})
    , mService(mContext.get_executor(), MakeOptions(), mTransport, mClock, 1)
    , mServer(mContext.get_executor(), { "127.0.0.1", 0 }, mService)
  {
    EXPECT_TRUE(mServer.Start());
    mThread = std::thread([this] { mContext.run(); });
    mSocket.connect(
      { asio::ip::make_address("127.0.0.1"), mServer.Listening().port });
  }

  ~AnnounceServerTest() override
  {
    mServer.Stop();
    mService.Stop();
    mGuard.reset();
    mThread.join();
  }

  static AgentService::Options MakeOptions()
  {
    AgentService::Options options;
    options.name = { "a" };
    options.session = 1;
    return options;
  }

  http::response<http::string_body> Read()
  {
    http::response<http::string_body> response;
    http::read(mSocket, mBuffer, response);
    return response;
  }

  http::response<http::string_body> Ask(http::verb aVerb,
                                        const std::string& aTarget,
                                        const std::string& aBody)
  {
    http::request<http::string_body> request(aVerb, aTarget, 11);
    request.body() = aBody;
    request.prepare_payload();
    http::write(mSocket, request);
    return Read();
  }

  SystemClock mClock;
  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mGuard{
    mContext.get_executor()
  };
  net::PeerTransport mTransport;
  AgentService mService;
  AnnounceServer mServer;
  std::thread mThread;
  asio::io_context mClientContext;
  asio::ip::tcp::socket mSocket{ mClientContext };
  boost::beast::flat_buffer mBuffer;
};

constexpr const char* kValid =
  R"({"service": "board", "name": "one", "incarnation": "5",
      "address": "127.0.0.1:9000", "data_centre": "k1", "slots": 2,
      "grants_version": "0"})";

// A host that reaches no control host cannot keep a lease. It says so at once,
// on a connection that stays usable, and the upstream goes elsewhere.
TEST_F(AnnounceServerTest, HostWithoutControlRefusesLeases)
{
  for (int i = 0; i < 2; ++i) {
    const auto response = Ask(http::verb::post, "/v1/announce", kValid);
    EXPECT_EQ(response.result(), http::status::service_unavailable);
    EXPECT_NE(response.body().find("lease-unavailable"), std::string::npos);
  }
}

TEST_F(AnnounceServerTest, WrongRequestsAreNamed)
{
  EXPECT_EQ(Ask(http::verb::post, "/v1/announce", "{").result(),
            http::status::bad_request);
  EXPECT_EQ(Ask(http::verb::post, "/v1/other", kValid).result(),
            http::status::not_found);
  EXPECT_EQ(Ask(http::verb::get, "/v1/announce", "").result(),
            http::status::method_not_allowed);
}

// Anyone may reach the port by mistake, or send without end. The bounds keep
// one sender from taking the host's memory; the connection is closed.
TEST_F(AnnounceServerTest, OversizedBodyIsRefused)
{
  const auto response =
    Ask(http::verb::post, "/v1/announce", std::string(17ULL * 1024, ' '));
  EXPECT_EQ(response.result(), http::status::payload_too_large);
  EXPECT_FALSE(response.keep_alive());
}

TEST_F(AnnounceServerTest, WhatIsNotHttpIsRefused)
{
  asio::write(mSocket, asio::buffer(std::string("what is this?\r\n\r\n")));
  const auto response = Read();
  EXPECT_EQ(response.result(), http::status::bad_request);
  EXPECT_FALSE(response.keep_alive());
}

TEST_F(AnnounceServerTest, TakenPortIsANumberedError)
{
  AnnounceServer second(mContext.get_executor(), mServer.Listening(), mService);
  const auto started = second.Start();
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error().code, Code::AddressInUse);
}

} // namespace
} // namespace rattandyke::agent
