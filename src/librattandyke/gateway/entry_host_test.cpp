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

/// A dialect that defines header names and supports no calls.
class HeaderNamesDialect final : public Dialect
{
public:
  const HeaderNames& Headers() const override { return mNames; }
  Result<ControlCall> DecodeCall(std::string_view,
                                 std::string_view,
                                 std::string_view) const override
  {
    return Fail(Code::UnknownRecord, "This dialect has no calls.");
  }
  std::optional<LoadReport> DecodeLoadReport(std::string_view) const override
  {
    return std::nullopt;
  }
  bool IsHeartbeat(std::string_view, std::string_view) const override
  {
    return false;
  }
  bool IsUnversionedOrder(std::string_view, std::string_view) const override
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

/// Tests of an entry host that never receives a state. A request with a
/// deadline waits for one.
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

  /// Stops the host and runs it until it reports that the process may exit.
  void StopAndRun()
  {
    host->Stop([&] { context.stop(); });
    context.restart();
    context.run();
  }

  /// @return all bytes that the caller can read without waiting.
  static std::string Received(tcp::socket& aCaller)
  {
    std::string received;
    ErrorCode error;
    aCaller.non_blocking(true);
    while (!error) {
      std::array<char, 4096> bytes;
      const size_t read = aCaller.read_some(asio::buffer(bytes), error);
      received.append(bytes.data(), read);
    }
    return received;
  }

  Settings settings;
  const HeaderNamesDialect dialect;
  const SystemClock clock;
  asio::io_context context{ 1 };
  std::unique_ptr<EntryHost> host;
};

// Failure: a host is stopped, and a request still waits at the end of the
// shutdown grace. The process exits and the caller gets a connection reset,
// which does not tell whether the request ran. The host must answer before it
// exits.
TEST_F(EntryHostTest, RequestInProgressAtTheEndOfTheGraceGetsAnAnswer)
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

// The same failure with a request of which only half has arrived. The refusal
// tells the caller that the request did not run and may be sent again.
TEST_F(EntryHostTest, PartialRequestAtTheEndOfTheGraceIsRefused)
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

// A caller connects after the host has expired the requests that it has, and
// before the host exits. The listener is still open, since the grace is shorter
// than the time in which load balancers notice that the host is not ready. The
// host reads the complete request and must answer it rather than reset the
// connection.
TEST_F(EntryHostTest, RequestAfterRequestsExpiredGetsAnAnswer)
{
  host = std::make_unique<EntryHost>(context, settings, dialect, clock, 1);
  ASSERT_TRUE(host->Start());
  tcp::socket caller(context);
  asio::steady_timer lateTimer(context, milliseconds{ 700 });
  lateTimer.async_wait([&](ErrorCode) {
    caller.connect(
      { asio::ip::address_v4::loopback(), settings.callers->port });
    asio::write(caller,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n"
                                         "Id: r\r\nDeadline: 60000\r\n\r\n")));
  });
  StopAndRun();
  const std::string received = Received(caller);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 503")) << received;
}

} // namespace
} // namespace rattandyke::gateway
