#include "gateway/entry_host.h"

#include <array>

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "testing/descriptors.h"

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

/// Only names headers.
class NamesOnly final : public Dialect
{
public:
  const HeaderNames& Headers() const override { return mNames; }
  Result<ControlCall> DecodeCall(std::string_view,
                                 std::string_view,
                                 std::string_view) const override
  {
    return Fail(Code::UnknownRecord, "no calls here");
  }
  std::optional<LoadReport> DecodeLoadReport(std::string_view) const override
  {
    return std::nullopt;
  }
  bool IsHeartbeat(std::string_view, std::string_view) const override
  {
    return false;
  }
  std::string Encode(const HeartbeatAnswer&) const override { return {}; }
  std::string EncodeItems(const wire::GatewayState&) const override
  {
    return {};
  }
  std::string Encode(const Error&) const override { return {}; }
  bool IsReadinessPath(std::string_view) const override { return false; }

private:
  const HeaderNames mNames{ "Id",      "Deadline", "Signature", "Expected",
                            "Not-Run", "Instance", "Key",       "Load" };
};

/// An entry host that no control host ever tells anything. Requests with time
/// left wait for that.
class EntryHostTest : public ::testing::Test
{
protected:
  EntryHostTest()
  {
    settings.name = HostName{ "e" };
    settings.entry = true;
    settings.peers = testing::FreeAddress(context);
    settings.callers = testing::FreeAddress(context);
    settings.drainTimeout = milliseconds{ 500 };
    settings.shutdownGrace = milliseconds{ 1000 };
  }

  tcp::socket Connect()
  {
    tcp::socket caller(context);
    caller.connect(
      { asio::ip::address_v4::loopback(), settings.callers->port });
    return caller;
  }

  /// Runs the host until it has ended, as its process does.
  void StopAndRun()
  {
    host->Stop([&] { context.stop(); });
    context.restart();
    context.run();
  }

  /// @return all that the caller was sent.
  static std::string Received(tcp::socket& aCaller)
  {
    std::string got;
    ErrorCode error;
    aCaller.non_blocking(true);
    while (!error) {
      std::array<char, 4096> bytes;
      const size_t read = aCaller.read_some(asio::buffer(bytes), error);
      got.append(bytes.data(), read);
    }
    return got;
  }

  Settings settings;
  const NamesOnly dialect;
  const SystemClock clock;
  asio::io_context context{ 1 };
  std::unique_ptr<EntryHost> host;
};

// A host is stopped, and at the end of its grace a request is still waited
// with. The process ends either way: the caller gets an answer before it does,
// and does not have to guess from a reset whether its request has run.
TEST_F(EntryHostTest, RequestAtTheEndOfTheGraceGetsAnAnswer)
{
  host = std::make_unique<EntryHost>(context, settings, dialect, clock, 1);
  ASSERT_TRUE(host->Start());
  tcp::socket caller = Connect();
  asio::write(caller,
              asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\nId: r\r\n"
                                       "Deadline: 60000\r\n\r\n")));
  context.run_for(milliseconds{ 50 });
  StopAndRun();
  EXPECT_TRUE(Received(caller).starts_with("HTTP/1.1 503")) << Received(caller);
}

// The same with a request of which half has been read. It has not run, and the
// refusal says so; its caller may send it again.
TEST_F(EntryHostTest, HalfRequestAtTheEndOfTheGraceIsRefused)
{
  host = std::make_unique<EntryHost>(context, settings, dialect, clock, 1);
  ASSERT_TRUE(host->Start());
  tcp::socket caller = Connect();
  asio::write(caller,
              asio::buffer(std::string("POST / HTTP/1.1\r\nHost: h\r\n"
                                       "Content-Length: 9\r\n\r\n1234")));
  context.run_for(milliseconds{ 50 });
  StopAndRun();
  EXPECT_TRUE(Received(caller).starts_with("HTTP/1.1 408")) << Received(caller);
}

// A caller connects to a host whose grace is almost over, between the last call
// to the requests that it has and its end: its listener is open, since the
// grace is shorter than the time in which balancers learn that it leaves. The
// request is read whole; its caller must get an answer and not a reset.
TEST_F(EntryHostTest, RequestAfterTheLastCallGetsAnAnswer)
{
  host = std::make_unique<EntryHost>(context, settings, dialect, clock, 1);
  ASSERT_TRUE(host->Start());
  tcp::socket caller(context);
  asio::steady_timer late(context, milliseconds{ 700 });
  late.async_wait([&](ErrorCode) {
    caller.connect(
      { asio::ip::address_v4::loopback(), settings.callers->port });
    asio::write(caller,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n"
                                         "Id: r\r\nDeadline: 60000\r\n\r\n")));
  });
  StopAndRun();
  const std::string got = Received(caller);
  EXPECT_TRUE(got.starts_with("HTTP/1.1 503")) << got;
}

} // namespace
} // namespace rattandyke::gateway
