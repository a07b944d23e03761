#include "capacity/announce_slopes.h"

#include <sstream>
#include <stdexcept>
#include <thread>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "agent/announce_server.h"
#include "agent/announcement_json.h"
#include "agent/lease_keeper.h"
#include "allocation/allocation_counter.h"
#include "capacity/samples.h"
#include "capacity/stopwatch.h"

namespace rattandyke::capacity {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

const char* const kVersion = "100000000";

/// As in docs/PROTOCOL.md.
std::string
RequestText()
{
  const json::object body{ { "service", kService },
                           { "name", UpstreamText(1) },
                           { "incarnation", "8837261550178243" },
                           { "address", "10.20.30.40:8080" },
                           { "data_centre", "dc-1" },
                           { "slots", 4 },
                           { "checks_fences", true },
                           { "draining", false },
                           { "grants_version", kVersion },
                           { "hold_ms", 100 } };
  http::request<http::string_body> request(
    http::verb::post, "/v1/announce", 11, json::serialize(body));
  request.set(http::field::host, "10.20.30.40:7003");
  request.set(http::field::content_type, "application/json");
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  return text.str();
}

std::string
AnswerText(size_t aGrants, size_t aHosts)
{
  constexpr uint64_t kVersionNumber = 100'000'000;
  constexpr uint16_t kPort = 7003;
  agent::AnnounceAnswer given;
  given.lease = std::chrono::milliseconds(800);
  given.grantsVersion = { kVersionNumber };
  constexpr size_t kSubnet = 100;
  for (size_t host = 0; host < aHosts; ++host) {
    given.hosts.push_back({ "10.20." + std::to_string(100 + host / kSubnet) +
                              '.' + std::to_string(100 + host % kSubnet),
                            kPort });
  }
  given.grantsIncluded = aGrants > 0;
  for (uint32_t grant = 0; grant < aGrants; ++grant) {
    const Slot slot{ 100'000 + 2 * grant };
    given.grants.push_back(
      agent::SlotRangeGrant{ slot, slot, { kVersionNumber } });
  }
  http::response<http::string_body> answer(http::status::ok, 11);
  answer.set(http::field::content_type, "application/json");
  answer.body() = agent::ToJson(given);
  answer.prepare_payload();
  std::ostringstream text;
  text << answer;
  return text.str();
}

/// A renewal as on paper: what has not changed since the last announcement on
/// the connection is left out, and so is the list of hosts.
size_t
ShortExchangeBytes()
{
  const std::string request =
    "POST /v1/renew HTTP/1.1\r\nHost: 10.20.30.40:7003\r\n"
    "Content-Length: 57\r\n\r\n"
    R"({"incarnation":"8837261550178243","grants_version":"100000000"})";
  const std::string answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 47\r\n\r\n"
    R"({"lease_ms":1000,"grants_version":"100000000"})";
  return request.size() + answer.size();
}

agent::Announcement
AnnouncementOf(size_t aNumber)
{
  agent::Announcement announcement;
  announcement.service = { kService };
  announcement.name = { UpstreamText(aNumber) };
  announcement.incarnation = UpstreamOf(aNumber).incarnation();
  announcement.address = { "10.20.0." + std::to_string(aNumber), 8080 };
  announcement.dataCentre = { "dc-1" };
  announcement.slots = 4;
  announcement.checksFences = true;
  return announcement;
}

/// A table in which the host is the home of all its upstreams.
std::shared_ptr<const routing::RoutingTable>
TableOf(size_t aUpstreams)
{
  constexpr size_t kSlotsEach = 16;
  wire::TableUpdate update = FullTable(aUpstreams, kSlotsEach, 0);
  for (wire::Upstream& upstream : *update.mutable_upstreams()) {
    upstream.set_home(HostText(0));
  }
  return routing::RoutingTable().Apply(update);
}

void
MeasureKeeper(AnnounceSlopes& aSlopes)
{
  constexpr int kRounds = 3;
  constexpr int kRepeats = 50;
  std::vector<Point> cpu;
  std::vector<Point> bytes;
  for (const size_t upstreams : { 3U, 12U, 48U }) {
    agent::LeaseKeeper::Options options;
    options.self = { HostText(0) };
    Instant now{ std::chrono::hours(1) };
    uint64_t id = 0;
    std::unique_ptr<agent::LeaseKeeper> keeper;
    const auto announceAll = [&] {
      for (size_t one = 0; one < upstreams; ++one) {
        const auto answers = keeper->Step(
          agent::AnnouncementReceived{ ++id, AnnouncementOf(one) }, now);
        if (answers.size() != 1 || answers[0].answer.code != Code::Ok) {
          throw std::runtime_error("An announcement was not taken.");
        }
      }
      keeper->Step(agent::KeeperTimer{}, now);
    };
    const auto table = TableOf(upstreams);
    const auto count = allocation::During([&] {
      keeper = std::make_unique<agent::LeaseKeeper>(options);
      keeper->Step(agent::HeartbeatAnswered{ 1, now + std::chrono::hours(1) },
                   now);
      keeper->Step(agent::TableArrived{ table, {} }, now);
      announceAll();
    });
    const auto size = static_cast<double>(upstreams);
    bytes.push_back({ size, static_cast<double>(count.bytesHeld) });
    const double seconds = LeastThreadSeconds(kRounds, [&] {
      for (int repeat = 0; repeat < kRepeats; ++repeat) {
        announceAll();
      }
    });
    cpu.push_back({ size, seconds / (kRepeats * size) });
  }
  aSlopes.keeperCpu = FitLine(std::move(cpu));
  aSlopes.keeperBytes = FitLine(std::move(bytes));
}

/// A host without a control group and a client of its upstream port. It has no
/// lease to give; the work of reading, parsing, deciding and answering is that
/// of a renewal.
class RefusingHost
{
public:
  RefusingHost()
    : mTransport({ "127.0.0.1", 0 }, { HostText(0) }, 1, {}, [](auto) {})
    , mService(mContext.get_executor(), MakeOptions(), mTransport, mClock, 1)
    , mServer(mContext.get_executor(), { "127.0.0.1", 0 }, mService)
  {
    if (const auto started = mServer.Start(); !started) {
      throw std::runtime_error(started.error().message);
    }
    mThread = std::thread([this] { mContext.run(); });
    mSocket.connect(
      { boost::asio::ip::address_v4::loopback(), mServer.Listening().port });
  }

  ~RefusingHost()
  {
    mServer.Stop();
    mService.Stop();
    mGuard.reset();
    mThread.join();
  }

  void Exchange(const std::string& aRequest)
  {
    boost::asio::write(mSocket, boost::asio::buffer(aRequest));
    http::response<http::string_body> answer;
    http::read(mSocket, mBuffer, answer);
    if (answer.result() != http::status::service_unavailable) {
      throw std::runtime_error("An announcement got another answer.");
    }
  }

private:
  static agent::AgentService::Options MakeOptions()
  {
    agent::AgentService::Options options;
    options.name = { HostText(0) };
    options.session = 1;
    return options;
  }

  SystemClock mClock;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mGuard{ mContext.get_executor() };
  net::PeerTransport mTransport;
  agent::AgentService mService;
  agent::AnnounceServer mServer;
  std::thread mThread;
  boost::asio::io_context mClientContext;
  boost::asio::ip::tcp::socket mSocket{ mClientContext };
  boost::beast::flat_buffer mBuffer;
};

Fit
MeasureExchanges()
{
  constexpr int kRounds = 3;
  RefusingHost host;
  const std::string request = RequestText();
  std::vector<Point> points;
  for (const size_t exchanges : { 500U, 1000U, 2000U }) {
    const double seconds =
      LeastCpuSeconds(kRounds, CLOCK_PROCESS_CPUTIME_ID, [&] {
        for (size_t one = 0; one < exchanges; ++one) {
          host.Exchange(request);
        }
      });
    points.push_back({ static_cast<double>(exchanges), seconds });
  }
  return FitLine(std::move(points));
}

} // namespace

AnnounceSlopes
MeasureAnnouncements(Printer& aPrinter)
{
  aPrinter.Heading("announcements of upstreams to their home");
  AnnounceSlopes slopes;
  const auto request = static_cast<double>(RequestText().size());
  std::vector<Point> grants;
  for (const size_t size : { 0U, 4U, 16U, 64U }) {
    grants.push_back(
      { static_cast<double>(size),
        request + static_cast<double>(AnswerText(size, 0).size()) });
  }
  std::vector<Point> hosts;
  for (const size_t size : { 1U, 10U, 100U, 1000U }) {
    hosts.push_back(
      { static_cast<double>(size),
        request + static_cast<double>(AnswerText(0, size).size()) });
  }
  slopes.bytesPerGrant = FitLine(std::move(grants));
  slopes.bytesPerHost = FitLine(std::move(hosts));
  MeasureKeeper(slopes);
  slopes.exchangeCpu = MeasureExchanges();
  aPrinter.Slope(
    "announce_grant_bytes", "bytes", "grant", slopes.bytesPerGrant);
  aPrinter.Slope("announce_host_bytes", "bytes", "host", slopes.bytesPerHost);
  slopes.shortExchangeBytes = static_cast<double>(ShortExchangeBytes());
  aPrinter.Value("short_announce_bytes",
                 slopes.shortExchangeBytes,
                 "bytes",
                 "a renewal as on paper: no constant fields, no hosts");
  aPrinter.Slope("announce_cpu", "s", "exchange", slopes.exchangeCpu);
  aPrinter.Slope("keeper_cpu", "s", "upstream", slopes.keeperCpu);
  aPrinter.Slope("keeper_bytes", "bytes", "upstream", slopes.keeperBytes);
  return slopes;
}

} // namespace rattandyke::capacity
