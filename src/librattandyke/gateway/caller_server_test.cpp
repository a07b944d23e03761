#include "gateway/caller_server.h"

#include <array>
#include <map>
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

/// Keeps requests until it is told to answer them, or until they are over.
class FakeService final : public CallerRequestHandler
{
public:
  CallerLimits Limits() const override
  {
    if (unsound) {
      throw std::runtime_error("a fault");
    }
    return limits;
  }

  asio::awaitable<CallerResponse> Handle(
    std::shared_ptr<RequestContext> aContext,
    CallerRequest aRequest) override
  {
    ++handled;
    if (fails) {
      throw std::runtime_error("a fault");
    }
    current = aContext;
    while (held && !aContext->IsCancelled()) {
      aContext->WakeTimer().expires_at(asio::steady_timer::time_point::max());
      co_await aContext->WakeTimer().async_wait(http::kAwait);
    }
    co_return CallerResponse{ aContext->IsCancelled() ? 503U : 200U, "", body };
  }

  /// Lets the last request be answered.
  void Release()
  {
    held = false;
    current->WakeTimer().cancel();
  }

  CallerResponse Refuse(unsigned aStatus,
                        const std::string& aText) const override
  {
    return { aStatus, "", aText };
  }

  std::string IdOf(const CallerRequest& aRequest) const override
  {
    return std::string(aRequest.fields["Id"]);
  }

  void CountEnd(std::string_view aReason) override
  {
    ++ends[std::string(aReason)];
  }

  CallerLimits limits{ 4096, 4096, seconds{ 9 } };
  std::string body = "done";
  bool held = false;
  bool fails = false;
  bool unsound = false;
  size_t handled = 0;
  std::shared_ptr<RequestContext> current;
  std::map<std::string, size_t> ends;
};

class CallerFrontTest : public ::testing::Test
{
protected:
  CallerFrontTest()
  {
    log::Options options;
    options.stream = lines;
    log::Configure(options);
    const auto open = front.Start({ "127.0.0.1", 0 }, nullptr);
    address = { asio::ip::address_v4::loopback(), open->port };
  }

  ~CallerFrontTest() override { log::Configure({}); }

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

  /// Lets the host run until something is so.
  /// @return whether it came to be so; false only if the test is to fail.
  template<typename Condition>
  bool RunUntil(Condition aCondition)
  {
    constexpr int kMostRounds = 3000;
    for (int round = 0; round < kMostRounds && !aCondition(); ++round) {
      context.restart();
      context.run_for(milliseconds{ 1 });
    }
    return aCondition();
  }

  /// Lets the host run until the caller sees its connection end.
  /// @return all that the caller got, with the error that ended it.
  std::string ReadToEnd(tcp::socket& aCaller)
  {
    std::string got;
    ErrorCode error;
    aCaller.non_blocking(true);
    RunUntil([&] {
      std::array<char, 65536> bytes;
      const size_t read = aCaller.read_some(asio::buffer(bytes), error);
      got.append(bytes.data(), read);
      return error && error != asio::error::would_block;
    });
    return got + (error == asio::error::eof ? "" : "!" + error.message());
  }

  /// @return the host's end of a caller's connection, -1 if there is none.
  static int HandleOf(const tcp::socket& aCaller)
  {
    constexpr int kMostHandles = 1024;
    const tcp::endpoint wanted = aCaller.local_endpoint();
    for (int handle = 0; handle < kMostHandles; ++handle) {
      tcp::endpoint peer;
      auto size = static_cast<socklen_t>(peer.capacity());
      if (getpeername(handle, peer.data(), &size) == 0 && peer == wanted) {
        return handle;
      }
    }
    return -1;
  }

  static int Option(int aHandle, int aLevel, int aName)
  {
    int value = -1;
    socklen_t size = sizeof(value);
    getsockopt(aHandle, aLevel, aName, &value, &size);
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
  FakeService service;
  CallerServer front{ context.get_executor(), service, clock };
  tcp::endpoint address;
};

/// For which the connections of this service are kept: its idle limit of 9 s
/// and the time for which a link may be held up.
constexpr seconds kKept{ 11 };

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

TEST_F(CallerFrontTest, AnswersRequestAfterRequest)
{
  tcp::socket caller = Connect();
  Send(caller, kRequest + kLastRequest);
  const std::string got = ReadToEnd(caller);
  EXPECT_EQ(Count(got, "HTTP/1.1 200 OK"), 2U) << got;
  EXPECT_EQ(Count(got, "Connection: close"), 1U) << got;
  EXPECT_EQ(service.ends["answered"], 1U);
}

// A caller closes its connection under its request. Whether it did, or the
// connection was lost in another way, is told by one line and counted.
TEST_F(CallerFrontTest, EndUnderARequestIsTold)
{
  service.held = true;
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  ASSERT_TRUE(RunUntil([&] { return service.handled == 1; }));
  clock.Step(milliseconds{ 12 });
  caller.close();
  EXPECT_TRUE(RunUntil([&] { return service.ends["caller_left"] == 1; }));
  const std::string told = Lines();
  EXPECT_NE(told.find("connection ended under a request reason=caller_left "
                      "after_ms=12 socket=End of file"),
            std::string::npos)
    << told;
  EXPECT_NE(told.find("r-1"), std::string::npos) << told;
}

// Callers leave by the hundred when a service is slow. Their lines would fill
// the log and hide the others.
TEST_F(CallerFrontTest, LinesOfEndedConnectionsAreBounded)
{
  constexpr size_t kCallers = 50;
  constexpr size_t kMostLines = 20;
  service.held = true;
  std::vector<tcp::socket> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(Connect());
    Send(callers.back(), kRequest);
  }
  ASSERT_TRUE(RunUntil([&] { return service.handled == kCallers; }));
  callers.clear();
  EXPECT_TRUE(
    RunUntil([&] { return service.ends["caller_left"] == kCallers; }));
  EXPECT_EQ(Count(Lines(), "ended under a request"), kMostLines);
}

TEST_F(CallerFrontTest, OrdinaryEndsAreCountedAndNotTold)
{
  tcp::socket idle = Connect();
  tcp::socket closing = Connect();
  ASSERT_TRUE(RunUntil([&] { return context.poll() == 0; }));
  closing.close();
  EXPECT_TRUE(RunUntil([&] { return service.ends["caller_closed"] == 1; }));
  clock.Step(kKept);
  front.Sweep(clock.Now());
  EXPECT_TRUE(RunUntil([&] { return service.ends["idle"] == 1; }));
  EXPECT_EQ(Count(Lines(), "ended under a request"), 0U);
}

// A caller uses a connection for as long as it was told, and then the link is
// held up. Its request reaches the host two seconds after the idle limit, in
// the moment in which the host would end the connection at the limit itself:
// the caller would see a close and no answer.
TEST_F(CallerFrontTest, RequestThatIsHeldUpBeyondTheIdleLimitIsAnswered)
{
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  ASSERT_TRUE(RunUntil([&] { return service.handled == 1; }));
  clock.Step(kKept - milliseconds{ 1 });
  front.Sweep(clock.Now());
  context.restart();
  context.poll();
  Send(caller, kLastRequest);
  const std::string got = ReadToEnd(caller);
  EXPECT_EQ(Count(got, "HTTP/1.1 200 OK"), 2U) << got;
  EXPECT_EQ(Count(got, "Keep-Alive: timeout=7\r\n"), 1U) << got;
  EXPECT_EQ(service.ends["idle"], 0U);
}

// A limit of less than two seconds can't be told in whole seconds; "0" would
// have callers connect anew for each request.
TEST_F(CallerFrontTest, ShortIdleLimitIsNotTold)
{
  service.limits.idle = milliseconds{ 1200 };
  tcp::socket caller = Connect();
  Send(caller, kRequest + kLastRequest);
  EXPECT_EQ(Count(ReadToEnd(caller), "Keep-Alive"), 0U);
}

// A caller closes its sending side after its request, which HTTP allows. It
// can't be told from one that has left, so its request is given up; but it gets
// the answer that says so, and does not have to guess what became of it.
TEST_F(CallerFrontTest, CallerThatHalfClosesGetsAnAnswer)
{
  service.held = true;
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  caller.shutdown(tcp::socket::shutdown_send);
  const std::string got = ReadToEnd(caller);
  EXPECT_EQ(Count(got, "HTTP/1.1 503"), 1U) << got;
  EXPECT_EQ(Count(got, "Connection: close"), 1U) << got;
  EXPECT_EQ(service.ends["caller_left"], 1U);
}

// A caller sends part of a request and then nothing. Its request has not run,
// and the refusal says so.
TEST_F(CallerFrontTest, HalfRequestThatTakesTooLongIsRefused)
{
  tcp::socket caller = Connect();
  Send(caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1234");
  for (int sweep = 0; sweep < 2; ++sweep) {
    context.restart();
    context.poll();
    clock.Step(kKept);
    front.Sweep(clock.Now());
  }
  const std::string got = ReadToEnd(caller);
  EXPECT_EQ(Count(got, "HTTP/1.1 408"), 1U) << got;
  EXPECT_EQ(service.ends["half_request"], 1U);
}

// A caller sends its next request before it has read the answer that ends the
// connection. A socket that is closed with bytes to read is reset by the
// kernel, which drops what it had still to send: the caller gets part of an
// answer and a reset.
TEST_F(CallerFrontTest, AnswerIsWholeAlthoughMoreWasSent)
{
  service.body = std::string(200000, 'x');
  tcp::socket caller(context, tcp::v4());
  caller.set_option(asio::socket_base::receive_buffer_size(4096));
  caller.connect(address);
  service.held = true;
  Send(caller, kLastRequest);
  ASSERT_TRUE(RunUntil([&] { return service.handled == 1; }));
  Send(caller, kRequest);
  service.Release();
  ASSERT_TRUE(RunUntil([&] { return service.ends["answered"] == 1; }));
  const std::string got = ReadToEnd(caller);
  EXPECT_EQ(Count(got, "x"), service.body.size()) << got.substr(0, 200);
  EXPECT_EQ(Count(got, "!"), 0U) << got.substr(got.size() - 40);
}

// The same with the rest of a body that is too long.
TEST_F(CallerFrontTest, RefusalReachesACallerThatStillSends)
{
  tcp::socket caller = Connect();
  Send(caller,
       "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" +
         std::string(50000, '.'));
  ASSERT_TRUE(RunUntil([&] { return service.ends["refused"] == 1; }));
  ErrorCode error;
  asio::write(caller, asio::buffer(std::string(50000, '.')), error);
  EXPECT_FALSE(error) << error.message();
  ErrorCode ignored; // The caller may be reset by now.
  caller.shutdown(tcp::socket::shutdown_send, ignored);
  const std::string got = ReadToEnd(caller);
  EXPECT_EQ(Count(got, "HTTP/1.1 413"), 1U) << got;
  EXPECT_EQ(Count(got, "!"), 0U) << got;
}

// A caller reads its last answer and keeps its side open. The host does not
// keep the connection for it.
TEST_F(CallerFrontTest, CallerThatStaysDoesNotHoldUpTheEnd)
{
  tcp::socket caller = Connect();
  Send(caller, kLastRequest);
  ASSERT_TRUE(RunUntil([&] { return service.ends["answered"] == 1; }));
  front.Stop();
  front.Close();
  clock.Step(seconds{ 2 });
  front.Sweep(clock.Now());
  EXPECT_TRUE(RunUntil([&] { return front.IsClosed(); }));
}

// The work on a request fails with a fault of ours. The caller is told that
// nobody knows what became of it, at once, and the connection does not stay
// open for ever.
TEST_F(CallerFrontTest, FaultUnderARequestIsAnAnswer)
{
  service.fails = true;
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  const std::string got = ReadToEnd(caller);
  EXPECT_EQ(Count(got, "HTTP/1.1 502"), 1U) << got;
  EXPECT_EQ(service.ends["failed"], 1U);
}

// The same between two requests: the caller sees its connection end and does
// not wait, and the host does not keep the connection until its own end.
TEST_F(CallerFrontTest, FaultBetweenRequestsEndsTheConnection)
{
  service.unsound = true;
  tcp::socket caller = Connect();
  EXPECT_EQ(ReadToEnd(caller), "");
  EXPECT_EQ(service.ends["failed"], 1U);
}

// A caller's connection is reset as it is sent its answer.
TEST_F(CallerFrontTest, AnswerThatIsNotTakenIsTold)
{
  constexpr size_t kMoreThanBuffers = size_t{ 32 } * 1024 * 1024;
  service.body = std::string(kMoreThanBuffers, 'x');
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  ASSERT_TRUE(RunUntil([&] { return service.handled == 1; }));
  context.restart();
  context.poll();
  caller.set_option(asio::socket_base::linger(true, 0));
  caller.close();
  EXPECT_TRUE(RunUntil([&] { return service.ends["write_failed"] == 1; }));
  EXPECT_EQ(Count(Lines(), "under a request reason=write_failed"), 1U);
}

// The host leaves. A caller's connection stands and its request is sent, but
// the host has not accepted it: the kernel resets what is left in the queue of
// a listener that closes.
TEST_F(CallerFrontTest, CallersInTheQueueAreServedAsTheListenerCloses)
{
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  front.Stop();
  front.Close();
  const std::string got = ReadToEnd(caller);
  EXPECT_EQ(Count(got, "HTTP/1.1 200 OK"), 1U) << got;
}

// The same with the listener closed after each number of the host's first
// steps: at some of them a caller has been accepted and nobody has it yet.
TEST_F(CallerFrontTest, CallersAreServedWhereverTheListenerCloses)
{
  constexpr size_t kMostSteps = 9;
  constexpr size_t kCallers = 3;
  for (size_t steps = 0; steps < kMostSteps; ++steps) {
    CallerServer other(context.get_executor(), service, clock);
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
    RunUntil([&] { return service.handled == kCallers * (steps + 1); });
    context.poll();
    other.Close(); // As each sweep does.
    for (tcp::socket& caller : callers) {
      const std::string got = ReadToEnd(caller);
      EXPECT_EQ(Count(got, "HTTP/1.1 200 OK"), 1U) << steps << " " << got;
    }
    callers.clear();
    EXPECT_TRUE(RunUntil([&] { return other.IsClosed(); }));
  }
}

// The host leaves. A caller has just connected, and its first request is on its
// way over a slow link.
TEST_F(CallerFrontTest, NewConnectionMayBringItsFirstRequest)
{
  tcp::socket caller = Connect();
  ASSERT_TRUE(RunUntil([&] { return context.poll() == 0; }));
  front.Stop();
  front.Close();
  context.restart();
  context.poll();
  Send(caller, kRequest);
  const std::string got = ReadToEnd(caller);
  EXPECT_EQ(Count(got, "HTTP/1.1 200 OK"), 1U) << got;
}

TEST_F(CallerFrontTest, NewConnectionThatBringsNothingEnds)
{
  tcp::socket caller = Connect();
  ASSERT_TRUE(RunUntil([&] { return context.poll() == 0; }));
  front.Stop();
  front.Close();
  clock.Step(seconds{ 1 });
  front.Close();
  EXPECT_TRUE(RunUntil([&] { return front.IsClosed(); }));
  EXPECT_EQ(service.ends["leaving"], 1U);
}

// The host has no descriptor left for one more connection. It must not spend
// its share of the core on trying again at once: those it has would get late
// answers. The caller that waits is accepted once there is room.
TEST_F(CallerFrontTest, WithoutDescriptorsItWaits)
{
  tcp::socket caller = Connect();
  Send(caller, kRequest);
  constexpr size_t kMostHandlers = 100;
  EXPECT_LT(testing::HandlersWithoutDescriptors(context, kMostHandlers),
            kMostHandlers);
  front.Sweep(clock.Now());
  ASSERT_TRUE(RunUntil([&] { return service.handled == 1; }));
}

// A link is held up for a second while a request crosses it on an idle
// connection. With an end to unacknowledged bytes set, the kernel resets a
// connection after one probe that is not answered within the probes' interval,
// and the request with it. A caller that is gone is found without probes: by
// the idle time, by the request's own time, or by its answer.
TEST_F(CallerFrontTest, CallersAreNotProbed)
{
  tcp::socket caller = Connect();
  ASSERT_TRUE(RunUntil([&] { return context.poll() == 0; }));
  const int handle = HandleOf(caller);
  ASSERT_GE(handle, 0);
  EXPECT_EQ(Option(handle, SOL_SOCKET, SO_KEEPALIVE), 0);
  EXPECT_EQ(Option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT), 3000);
  EXPECT_NE(Option(handle, IPPROTO_TCP, TCP_NODELAY), 0);
}

} // namespace
} // namespace rattandyke::gateway
