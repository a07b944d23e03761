#include "gateway/caller_server.h"

#include <array>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <vector>

#include <sys/socket.h>

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include "http/signal.h"
#include "log/log.h"
#include "testing/descriptors.h"
#include "testing/stepped_clock.h"

namespace rattandyke::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ErrorCode = boost::system::error_code;

constexpr size_t kBodyBytes = size_t{ 1024 } * 1024;

/// Request handler that holds requests until Release() or their cancellation.
class FakeRequestHandler final : public CallerRequestHandler
{
public:
  CallerLimits Limits() const override
  {
    if (throwInLimits) {
      throw std::runtime_error("test exception");
    }
    return limits;
  }

  asio::awaitable<CallerResponse> Handle(
    std::shared_ptr<RequestContext> aContext,
    CallerRequest aRequest) override
  {
    ++handled;
    if (throwInHandle) {
      throw std::runtime_error("test exception");
    }
    current = aContext;
    requestBody = std::move(aRequest.body);
    requestRoom = std::move(aRequest.bodyRoom);
    while (holdRequests && !aContext->IsCancelled()) {
      aContext->WakeTimer().expires_at(asio::steady_timer::time_point::max());
      co_await aContext->WakeTimer().async_wait(http::kAwait);
    }
    co_return CallerResponse{ aContext->IsCancelled() ? 503U : 200U, "", body };
  }

  /// Lets the latest request get its response.
  void Release()
  {
    holdRequests = false;
    current->WakeTimer().cancel();
  }

  CallerResponse MakeErrorResponse(unsigned aStatus,
                                   const std::string& aText) const override
  {
    return { aStatus, "", aText };
  }

  Duration ResponseTime(const boost::beast::http::fields&) const override
  {
    return responseTime;
  }

  Duration MaxBodyWait(const boost::beast::http::fields&) const override
  {
    return maxBodyWait;
  }

  CallerResponse MakeNoRoomResponse(const boost::beast::http::fields&) override
  {
    return { 503, "Retry-After: 1\r\n", "no room" };
  }

  CallerResponse MakeUnreadableResponse(
    unsigned aStatus,
    const std::string& aReason,
    const boost::beast::http::fields&) override
  {
    return { aStatus, "", aReason };
  }

  std::string RequestIdOf(
    const boost::beast::http::fields& aFields) const override
  {
    return std::string(aFields["Id"]);
  }

  void CountClosedConnection(std::string_view aReason) override
  {
    ++closes[std::string(aReason)];
  }

  CallerLimits limits{ 4096, 4096, seconds{ 9 } };
  std::string body = "done";
  Duration maxBodyWait{};
  Duration responseTime = seconds{ 6 };
  std::string requestBody;
  MemoryBudget::Reservation requestRoom;
  bool holdRequests = false;
  bool throwInHandle = false;
  bool throwInLimits = false;
  size_t handled = 0;
  std::shared_ptr<RequestContext> current;
  std::map<std::string, size_t> closes;
};

class CallerServerTest : public ::testing::Test
{
protected:
  CallerServerTest()
  {
    log::Options options;
    options.stream = lines;
    log::Configure(options);
    const auto open = server.Start({ "127.0.0.1", 0 }, nullptr);
    address = { asio::ip::address_v4::loopback(), open->port };
  }

  ~CallerServerTest() override { log::Configure({}); }

  tcp::socket Connect()
  {
    tcp::socket caller(context);
    caller.connect(address);
    return caller;
  }

  static void Send(tcp::socket& aCaller, const std::string& aText)
  {
    asio::write(aCaller, asio::buffer(aText));
  }

  /// Runs the server until a condition holds.
  /// @return false after a time limit, so that the test fails.
  template<typename Condition>
  bool RunUntil(Condition aCondition)
  {
    constexpr int kMaxRounds = 3000;
    for (int round = 0; round < kMaxRounds && !aCondition(); ++round) {
      context.restart();
      context.run_for(milliseconds{ 1 });
    }
    return aCondition();
  }

  /// Runs the server until the caller's connection ends.
  /// @return all that the caller received, followed by "!" and the error if the
  /// connection ended with another error than eof.
  std::string ReadToEnd(tcp::socket& aCaller)
  {
    std::string received;
    ErrorCode error;
    aCaller.non_blocking(true);
    RunUntil([&] {
      std::array<char, 65536> bytes;
      const size_t read = aCaller.read_some(asio::buffer(bytes), error);
      received.append(bytes.data(), read);
      return error && error != asio::error::would_block;
    });
    return received + (error == asio::error::eof ? "" : "!" + error.message());
  }

  /// @return the descriptor of the server's end of a caller's connection, -1 if
  /// there is none.
  static int ServerDescriptorOf(const tcp::socket& aCaller)
  {
    constexpr int kMaxDescriptors = 1024;
    const tcp::endpoint wanted = aCaller.local_endpoint();
    for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
      tcp::endpoint peer;
      auto size = static_cast<socklen_t>(peer.capacity());
      if (getpeername(descriptor, peer.data(), &size) == 0 && peer == wanted) {
        return descriptor;
      }
    }
    return -1;
  }

  static int Option(int aDescriptor, int aLevel, int aName)
  {
    int value = -1;
    socklen_t size = sizeof(value);
    getsockopt(aDescriptor, aLevel, aName, &value, &size);
    return value;
  }

  std::string Lines()
  {
    log::Flush();
    return lines->str();
  }

  std::shared_ptr<std::ostringstream> lines =
    std::make_shared<std::ostringstream>();
  testing::SteppedClock clock;
  asio::io_context context;
  FakeRequestHandler handler;
  MemoryBudget bodies{ kBodyBytes };
  CallerServer server{ context.get_executor(), handler, bodies, clock };
  tcp::endpoint address;
};

/// Time for which connections are kept open: the idle timeout of 9 s and the
/// grace period for a delayed link.
constexpr seconds kKeptOpen{ 11 };

const std::string kRequest = "GET /x HTTP/1.1\r\nHost: h\r\nId: r-1\r\n\r\n";
const std::string kLastRequest =
  "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

size_t
Count(const std::string& aText, const std::string& aPart)
{
  size_t count = 0;
  for (size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

TEST_F(CallerServerTest, ServesRequestsInSequence)
{
  tcp::socket caller = Connect();
  Send(caller, kRequest + kLastRequest);
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "HTTP/1.1 200 OK"), 2U) << received;
  EXPECT_EQ(Count(received, "Connection: close"), 1U) << received;
  EXPECT_EQ(handler.closes["answered"], 1U);
}

// Guards against a request within another's body: with a transfer coding that
// is not known, the body was read as the connection's next request.
TEST_F(CallerServerTest, RequestInABodyOfUnknownCodingIsNotServed)
{
  for (const std::string coding : { "gzip",
                                    "identity",
                                    "xchunked",
                                    "chunked, gzip",
                                    "gzip, chunked",
                                    "\"chunked\"",
                                    "" }) {
    tcp::socket caller = Connect();
    Send(caller,
         "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding +
           "\r\n\r\n" + kLastRequest);
    const std::string received = ReadToEnd(caller);
    const std::string expected = coding.empty() ? "400" : "501";
    EXPECT_TRUE(received.starts_with("HTTP/1.1 " + expected))
      << coding << ": " << received;
    EXPECT_EQ(Count(received, "HTTP/1.1 "), 1U) << coding;
    EXPECT_EQ(handler.handled, 0U) << coding;
  }
}

// Guards against a host whose memory a caller fills: the end of a chunk's size
// line was looked for in all that arrived.
TEST_F(CallerServerTest, ChunkWithAnEndlessExtensionIsRefused)
{
  tcp::socket caller = Connect();
  Send(caller,
       "PUT /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;x=");
  caller.non_blocking(true);
  const std::string more(4096, 'a');
  size_t sent = 0;
  ErrorCode error;
  ASSERT_TRUE(RunUntil([&] {
    error = {};
    sent += caller.write_some(asio::buffer(more), error);
    return handler.closes["refused"] == 1;
  }));
  EXPECT_LT(sent, kBodyBytes);
  EXPECT_EQ(handler.handled, 0U);
}

/// Callers that do not read their response at once.
class SlowReaderTest : public CallerServerTest
{
protected:
  static constexpr size_t kLargeBytes = size_t{ 16 } * 1024 * 1024;

  /// Connects with a window of a few segments of a common link.
  tcp::socket ConnectWithSmallWindow()
  {
    tcp::socket caller(context, tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(4096));
    const int segment = 1400;
    setsockopt(caller.native_handle(),
               IPPROTO_TCP,
               TCP_MAXSEG,
               &segment,
               sizeof(segment));
    caller.connect(address);
    return caller;
  }

  /// Lets a caller request a response that does not fit into the kernel.
  tcp::socket RequestLargeResponse()
  {
    handler.body = std::string(kLargeBytes, 'x');
    tcp::socket caller = ConnectWithSmallWindow();
    Send(caller, kLastRequest);
    EXPECT_TRUE(RunUntil([&] { return handler.handled > 0; }));
    Run(milliseconds{ 50 });
    return caller;
  }

  void Run(milliseconds aTime)
  {
    context.restart();
    context.run_for(aTime);
  }
};

// Guards against a response that is reset while its caller, which acknowledges
// everything, pauses for longer than an unreachable one may be silent.
TEST_F(SlowReaderTest, PauseDoesNotEndTheResponse)
{
  handler.body = std::string(kBodyBytes / 8, 'x');
  tcp::socket caller = ConnectWithSmallWindow();
  Send(caller, kLastRequest);
  ASSERT_TRUE(RunUntil([&] { return handler.handled == 1; }));
  for (int sweep = 0; sweep < 18; ++sweep) {
    Run(milliseconds{ 200 });
    server.Sweep(clock.Now());
  }
  EXPECT_EQ(Count(ReadToEnd(caller), "x"), handler.body.size());
}

TEST_F(SlowReaderTest, CallerHasItsWholeTime)
{
  tcp::socket caller = RequestLargeResponse();
  clock.Step(handler.responseTime - milliseconds{ 1 });
  server.Sweep(clock.Now());
  Run(milliseconds{ 10 });
  caller.set_option(asio::socket_base::receive_buffer_size(1024 * 1024));
  EXPECT_EQ(Count(ReadToEnd(caller), "x"), kLargeBytes);
}

// Guards against memory that is held for callers that never read.
TEST_F(SlowReaderTest, ResponseIsGivenUpWhenItsTimeIsOver)
{
  tcp::socket caller = RequestLargeResponse();
  clock.Step(handler.responseTime);
  server.Sweep(clock.Now());
  EXPECT_TRUE(RunUntil([&] { return handler.closes["answer_not_read"] == 1; }));
  EXPECT_LT(Count(ReadToEnd(caller), "x"), kLargeBytes);
}

// Guards against requests without room for their bodies while others hold it
// and don't read.
TEST_F(SlowReaderTest, StalledResponseIsGivenUpIfBodiesWait)
{
  const tcp::socket first = RequestLargeResponse();
  clock.Step(seconds{ 1 });
  const tcp::socket second = RequestLargeResponse();
  clock.Step(seconds{ 4 });
  server.Sweep(clock.Now());
  Run(milliseconds{ 10 });
  EXPECT_EQ(handler.closes["answer_evicted"], 0U);
  const auto held =
    bodies.TryReserve(MemoryBudget::Use::Request, kBodyBytes / 2);
  const auto waiting =
    bodies.Wait(MemoryBudget::Use::Request, kBodyBytes / 2, [] {});
  ASSERT_EQ(bodies.WaitingBodies(), 1U);
  server.Sweep(clock.Now());
  EXPECT_TRUE(RunUntil([&] { return handler.closes["answer_evicted"] == 1; }));
}

// A caller that disconnects during its request must be counted and logged with
// the reason, so that operators can tell it from other lost connections.
TEST_F(CallerServerTest, DisconnectDuringRequestIsLoggedAndCounted)
{
  handler.holdRequests = true;
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  ASSERT_TRUE(RunUntil([&] { return handler.handled == 1; }));
  clock.Step(milliseconds{ 12 });
  caller.close();
  EXPECT_TRUE(RunUntil([&] { return handler.closes["caller_left"] == 1; }));
  const std::string logged = Lines();
  EXPECT_NE(logged.find("connection ended under a request reason=caller_left "
                        "after_ms=12 socket=End of file"),
            std::string::npos)
    << logged;
  EXPECT_NE(logged.find("r-1"), std::string::npos) << logged;
}

// Guards against a flooded log: when a service is slow, hundreds of callers
// disconnect.
TEST_F(CallerServerTest, LogLinesOfClosedConnectionsAreLimited)
{
  constexpr size_t kCallers = 50;
  constexpr size_t kMaxLines = 20;
  handler.holdRequests = true;
  std::vector<tcp::socket> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(Connect());
    Send(callers.back(), kRequest);
  }
  ASSERT_TRUE(RunUntil([&] { return handler.handled == kCallers; }));
  callers.clear();
  EXPECT_TRUE(
    RunUntil([&] { return handler.closes["caller_left"] == kCallers; }));
  EXPECT_EQ(Count(Lines(), "ended under a request"), kMaxLines);
}

TEST_F(CallerServerTest, NormalClosesAreCountedAndNotLogged)
{
  tcp::socket idle = Connect();
  tcp::socket closing = Connect();
  ASSERT_TRUE(RunUntil([&] { return context.poll() == 0; }));
  closing.close();
  EXPECT_TRUE(RunUntil([&] { return handler.closes["caller_closed"] == 1; }));
  clock.Step(kKeptOpen);
  server.Sweep(clock.Now());
  EXPECT_TRUE(RunUntil([&] { return handler.closes["idle"] == 1; }));
  EXPECT_EQ(Count(Lines(), "ended under a request"), 0U);
}

// Guards against the loss of a request on a delayed link: a caller uses a
// connection within the advertised timeout, and its request reaches the host
// almost two seconds after the idle timeout.
TEST_F(CallerServerTest, RequestDelayedBeyondIdleTimeoutIsServed)
{
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  ASSERT_TRUE(RunUntil([&] { return handler.handled == 1; }));
  clock.Step(kKeptOpen - milliseconds{ 1 });
  server.Sweep(clock.Now());
  context.restart();
  context.poll();
  Send(caller, kLastRequest);
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "HTTP/1.1 200 OK"), 2U) << received;
  EXPECT_EQ(Count(received, "Keep-Alive: timeout=7\r\n"), 1U) << received;
  EXPECT_EQ(handler.closes["idle"], 0U);
}

// A timeout of less than two seconds can't be advertised in whole seconds; with
// "timeout=0" callers would open a new connection for each request.
TEST_F(CallerServerTest, ShortIdleTimeoutIsNotAdvertised)
{
  handler.limits.idleTimeout = milliseconds{ 1200 };
  tcp::socket caller = Connect();
  Send(caller, kRequest + kLastRequest);
  EXPECT_EQ(Count(ReadToEnd(caller), "Keep-Alive"), 0U);
}

// A caller shuts down its sending side after its request, which HTTP allows. It
// can't be told from one that has disconnected, so its request is cancelled;
// but it must get the response that says so.
TEST_F(CallerServerTest, HalfClosedConnectionGetsResponse)
{
  handler.holdRequests = true;
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  caller.shutdown(tcp::socket::shutdown_send);
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "HTTP/1.1 503"), 1U) << received;
  EXPECT_EQ(Count(received, "Connection: close"), 1U) << received;
  EXPECT_EQ(handler.closes["caller_left"], 1U);
}

// A caller sends part of a request and then nothing. The request has not run,
// and the error response must say so.
TEST_F(CallerServerTest, IncompleteRequestTimesOutWith408)
{
  tcp::socket caller = Connect();
  Send(caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1234");
  for (int sweep = 0; sweep < 2; ++sweep) {
    context.restart();
    context.poll();
    clock.Step(kKeptOpen);
    server.Sweep(clock.Now());
  }
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "HTTP/1.1 408"), 1U) << received;
  EXPECT_EQ(handler.closes["half_request"], 1U);
}

// Guards against a truncated response: a caller sends its next request before
// it has read the last response of the connection. The kernel resets a socket
// that is closed with unread input, and drops its unsent output.
TEST_F(CallerServerTest, ResponseIsCompleteDespiteUnreadInput)
{
  handler.body = std::string(200000, 'x');
  tcp::socket caller(context, tcp::v4());
  caller.set_option(asio::socket_base::receive_buffer_size(4096));
  caller.connect(address);
  handler.holdRequests = true;
  Send(caller, kLastRequest);
  ASSERT_TRUE(RunUntil([&] { return handler.handled == 1; }));
  Send(caller, kRequest);
  handler.Release();
  ASSERT_TRUE(RunUntil([&] { return handler.closes["answered"] == 1; }));
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "x"), handler.body.size())
    << received.substr(0, 200);
  EXPECT_EQ(Count(received, "!"), 0U) << received.substr(received.size() - 40);
}

// The same when the unread input is the rest of a body that is too large.
TEST_F(CallerServerTest, ErrorResponseReachesSendingCaller)
{
  tcp::socket caller = Connect();
  Send(caller,
       "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" +
         std::string(50000, '.'));
  ASSERT_TRUE(RunUntil([&] { return handler.closes["refused"] == 1; }));
  ErrorCode error;
  asio::write(caller, asio::buffer(std::string(50000, '.')), error);
  EXPECT_FALSE(error) << error.message();
  ErrorCode ignored; // The connection may have been reset.
  caller.shutdown(tcp::socket::shutdown_send, ignored);
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "HTTP/1.1 413"), 1U) << received;
  EXPECT_EQ(Count(received, "!"), 0U) << received;
}

// Guards against a shutdown that waits for a caller that has its last response
// and does not close its side of the connection.
TEST_F(CallerServerTest, OpenCallerDoesNotDelayShutdown)
{
  tcp::socket caller = Connect();
  Send(caller, kLastRequest);
  ASSERT_TRUE(RunUntil([&] { return handler.closes["answered"] == 1; }));
  server.Stop();
  server.Close();
  clock.Step(seconds{ 2 });
  server.Sweep(clock.Now());
  EXPECT_TRUE(RunUntil([&] { return server.IsClosed(); }));
}

/// @return the head of an upload.
std::string
UploadHead(size_t aBytes, const std::string& aFields = "")
{
  return "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\n" + aFields + "\r\n";
}

class UploadTest : public CallerServerTest
{
protected:
  UploadTest() { handler.limits.maxBodyBytes = 4 * kBodyBytes; }

  /// Fills the budget but for a part that no large body fits into.
  void HoldAllRoom()
  {
    held = bodies.TryReserve(MemoryBudget::Use::Request, kBodyBytes * 15 / 16);
    ASSERT_TRUE(held);
  }

  std::optional<MemoryBudget::Reservation> held;
};

// Guards against a host that is killed with all that it handles: uploads within
// the limit need more memory than the host has. The caller is told before it
// sends the body that its request has not run.
TEST_F(UploadTest, UploadWithoutRoomIsRefusedUnread)
{
  HoldAllRoom();
  tcp::socket caller = Connect();
  Send(caller, UploadHead(kBodyBytes / 2, "Expect: 100-continue\r\n"));
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "HTTP/1.1 503"), 1U) << received;
  EXPECT_EQ(Count(received, "Retry-After"), 1U) << received;
  EXPECT_EQ(Count(received, "100 Continue"), 0U) << received;
  EXPECT_EQ(handler.handled, 0U);
}

// The same for a body that comes in chunks, whose length is known at its end.
TEST_F(UploadTest, ChunkedUploadWithoutRoomIsRefused)
{
  HoldAllRoom();
  tcp::socket caller = Connect();
  const std::string chunk(size_t{ 64 } * 1024, 'x');
  Send(caller,
       "PUT /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int sent = 0; sent < 4; ++sent) {
    Send(caller, "10000\r\n" + chunk + "\r\n");
  }
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "HTTP/1.1 503"), 1U) << received;
  EXPECT_EQ(handler.handled, 0U);
}

// Guards against chunked uploads that are refused although they fit into the
// budget.
TEST_F(UploadTest, ChunkedUploadIsReadIfItFits)
{
  tcp::socket caller = Connect();
  const std::string chunk(size_t{ 64 } * 1024, 'x');
  std::string chunks;
  for (size_t sent = 0; sent < kBodyBytes / 2; sent += chunk.size()) {
    chunks += "10000\r\n" + chunk + "\r\n";
  }
  Send(caller,
       "PUT /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
       "Transfer-Encoding: chunked\r\n\r\n" +
         chunks + "0\r\n\r\n");
  EXPECT_EQ(Count(ReadToEnd(caller), "HTTP/1.1 200"), 1U);
  EXPECT_EQ(handler.requestBody.size(), kBodyBytes / 2);
}

// Guards against uploads that are refused although there is room for them one
// after the other.
TEST_F(UploadTest, UploadWaitsForRoom)
{
  HoldAllRoom();
  handler.maxBodyWait = seconds{ 5 };
  tcp::socket caller = Connect();
  const std::string upload(kBodyBytes / 2, 'x');
  Send(caller, UploadHead(upload.size(), "Connection: close\r\n"));
  ASSERT_TRUE(RunUntil([&] { return bodies.WaitingBodies() == 1; }));
  held.reset();
  Send(caller, upload);
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "HTTP/1.1 200"), 1U) << received;
  EXPECT_EQ(handler.requestBody, upload);
  EXPECT_EQ(bodies.BytesInUse(), upload.size());
}

// Guards against small requests that wait behind large uploads.
TEST_F(UploadTest, SmallRequestIsServedWhileUploadsWait)
{
  HoldAllRoom();
  handler.maxBodyWait = seconds{ 5 };
  tcp::socket uploader = Connect();
  Send(uploader, UploadHead(kBodyBytes / 2));
  ASSERT_TRUE(RunUntil([&] { return bodies.WaitingBodies() == 1; }));
  tcp::socket caller = Connect();
  Send(caller, UploadHead(4, "Connection: close\r\n") + "body");
  EXPECT_EQ(Count(ReadToEnd(caller), "HTTP/1.1 200"), 1U);
  EXPECT_EQ(bodies.WaitingBodies(), 1U);
}

// Guards against a caller that waits forever because handling its request threw
// an exception. It must get a 502 at once, and the connection must close.
TEST_F(CallerServerTest, ExceptionInHandlerReturns502)
{
  handler.throwInHandle = true;
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "HTTP/1.1 502"), 1U) << received;
  EXPECT_EQ(handler.closes["failed"], 1U);
}

// The same for an exception between two requests: the connection must close.
TEST_F(CallerServerTest, ExceptionBetweenRequestsClosesConnection)
{
  handler.throwInLimits = true;
  tcp::socket caller = Connect();
  EXPECT_EQ(ReadToEnd(caller), "");
  EXPECT_EQ(handler.closes["failed"], 1U);
}

// A caller resets its connection while its response is written.
TEST_F(CallerServerTest, FailedWriteIsLoggedAndCounted)
{
  constexpr size_t kMoreThanBuffers = size_t{ 32 } * 1024 * 1024;
  handler.body = std::string(kMoreThanBuffers, 'x');
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  ASSERT_TRUE(RunUntil([&] { return handler.handled == 1; }));
  context.restart();
  context.poll();
  caller.set_option(asio::socket_base::linger(true, 0));
  caller.close();
  EXPECT_TRUE(RunUntil([&] { return handler.closes["write_failed"] == 1; }));
  EXPECT_EQ(Count(Lines(), "under a request reason=write_failed"), 1U);
}

// Guards against lost requests at shutdown: a caller has connected and sent its
// request, but the host has not accepted the connection yet. The kernel resets
// the connections that are queued when a listener closes.
TEST_F(CallerServerTest, QueuedConnectionsAreServedWhenListenerCloses)
{
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  server.Stop();
  server.Close();
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "HTTP/1.1 200 OK"), 1U) << received;
}

// The same with the listener closed after each number of the host's first
// handlers; after some of them a connection has been accepted but its handler
// has not run.
TEST_F(CallerServerTest, ConnectionsAreServedWheneverListenerCloses)
{
  constexpr size_t kMaxSteps = 9;
  constexpr size_t kCallers = 3;
  for (size_t steps = 0; steps < kMaxSteps; ++steps) {
    CallerServer other(context.get_executor(), handler, bodies, clock);
    address.port(other.Start({ "127.0.0.1", 0 }, nullptr)->port);
    std::vector<tcp::socket> callers;
    for (size_t i = 0; i < kCallers; ++i) {
      callers.push_back(Connect());
      Send(callers.back(), kRequest);
    }
    context.restart();
    for (size_t i = 0; i < steps; ++i) {
      context.poll_one();
    }
    other.Stop();
    other.Close();
    RunUntil([&] { return handler.handled == kCallers * (steps + 1); });
    context.poll();
    other.Close(); // The host calls it repeatedly.
    for (tcp::socket& caller : callers) {
      const std::string received = ReadToEnd(caller);
      EXPECT_EQ(Count(received, "HTTP/1.1 200 OK"), 1U)
        << steps << " " << received;
    }
    callers.clear();
    EXPECT_TRUE(RunUntil([&] { return other.IsClosed(); }));
  }
}

// Guards against a lost request at shutdown: a caller has just connected, and
// its first request is in transit over a slow link.
TEST_F(CallerServerTest, FirstRequestOfNewConnectionIsServedAtShutdown)
{
  tcp::socket caller = Connect();
  ASSERT_TRUE(RunUntil([&] { return context.poll() == 0; }));
  server.Stop();
  server.Close();
  context.restart();
  context.poll();
  Send(caller, kRequest);
  const std::string received = ReadToEnd(caller);
  EXPECT_EQ(Count(received, "HTTP/1.1 200 OK"), 1U) << received;
}

TEST_F(CallerServerTest, NewConnectionWithoutRequestClosesAtShutdown)
{
  tcp::socket caller = Connect();
  ASSERT_TRUE(RunUntil([&] { return context.poll() == 0; }));
  server.Stop();
  server.Close();
  clock.Step(seconds{ 1 });
  server.Close();
  EXPECT_TRUE(RunUntil([&] { return server.IsClosed(); }));
  EXPECT_EQ(handler.closes["leaving"], 1U);
}

// Guards against a busy loop when the host has no free file descriptor for a
// new connection; open connections would get late responses. The waiting caller
// must be accepted by the next Sweep() with a free descriptor.
TEST_F(CallerServerTest, AcceptPausesWithoutDescriptors)
{
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  constexpr size_t kMaxHandlers = 100;
  EXPECT_LT(testing::HandlersWithoutDescriptors(context, kMaxHandlers),
            kMaxHandlers);
  server.Sweep(clock.Now());
  ASSERT_TRUE(RunUntil([&] { return handler.handled == 1; }));
}

// Guards against the loss of a request on an idle connection whose link is
// delayed for a second. With TCP_USER_TIMEOUT set, the kernel resets a
// connection after one keep-alive probe that is not answered within the probe
// interval. Callers that are gone are detected without probes: by the idle
// timeout, by the request's deadline, or when the response is written.
TEST_F(CallerServerTest, KeepAliveProbesAreDisabled)
{
  tcp::socket caller = Connect();
  ASSERT_TRUE(RunUntil([&] { return context.poll() == 0; }));
  const int descriptor = ServerDescriptorOf(caller);
  ASSERT_GE(descriptor, 0);
  EXPECT_EQ(Option(descriptor, SOL_SOCKET, SO_KEEPALIVE), 0);
  EXPECT_EQ(Option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT), 3000);
  EXPECT_NE(Option(descriptor, IPPROTO_TCP, TCP_NODELAY), 0);
}

} // namespace
} // namespace rattandyke::gateway
