#include "upstream/announcer.h"

#include <algorithm>
#include <charconv>
#include <iostream>

#include <boost/json.hpp>

namespace rattandyke::upstream {

namespace {

using namespace std::chrono_literals;

constexpr auto kAnswerTimeout = 300ms;
constexpr auto kAfterFailure = 20ms;
constexpr auto kAfterRefusal = 200ms;
constexpr auto kHold = 100ms;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

uint64_t
Number(const boost::json::value& aValue)
{
  const auto& text = aValue.as_string();
  uint64_t number = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc()) {
    throw std::invalid_argument("not a decimal number");
  }
  return number;
}

Grant
ParseGrant(const boost::json::object& aGrant)
{
  const Fence fence{ Number(aGrant.at("fence")) };
  if (aGrant.contains("key")) {
    return KeyGrant{ boost::json::value_to<std::string>(aGrant.at("key")),
                     fence };
  }
  return SlotGrant{ Slot{ aGrant.at("first_slot").to_number<uint32_t>() },
                    Slot{ aGrant.at("last_slot").to_number<uint32_t>() },
                    fence };
}

std::vector<Grant>
ParseGrants(const boost::json::array& aGrants)
{
  std::vector<Grant> grants;
  for (const auto& grant : aGrants) {
    grants.push_back(ParseGrant(grant.as_object()));
  }
  return grants;
}

std::vector<Endpoint>
ParseHosts(const boost::json::array& aHosts)
{
  std::vector<Endpoint> hosts;
  for (const auto& host : aHosts) {
    auto endpoint = ParseEndpoint(boost::json::value_to<std::string>(host));
    if (endpoint) {
      hosts.push_back(std::move(*endpoint));
    }
  }
  return hosts;
}

} // namespace

Result<AnnounceAnswer>
ParseAnnounceAnswer(std::string_view aBody, std::vector<Endpoint>& aHosts)
{
  try {
    const auto parsed =
      boost::json::parse(boost::json::string_view(aBody.data(), aBody.size()));
    const auto& fields = parsed.as_object();
    AnnounceAnswer answer;
    answer.lease =
      std::chrono::milliseconds(fields.at("lease_ms").to_number<int64_t>());
    answer.next = std::chrono::milliseconds(
      fields.at("next_announce_ms").to_number<int64_t>());
    answer.grantsVersion = Number(fields.at("grants_version"));
    if (const auto* grants = fields.if_contains("grants")) {
      answer.grants = ParseGrants(grants->as_array());
    }
    if (const auto* hosts = fields.if_contains("hosts")) {
      aHosts = ParseHosts(hosts->as_array());
    }
    return answer;
  } catch (const std::exception& error) {
    return Fail(Code::MalformedRequest,
                std::string("The answer cannot be read: ") + error.what());
  }
}

struct Announcer::Impl
{
  asio::any_io_executor executor;
  const Options& options;
  const Modes& modes;
  uint64_t incarnation;
  Endpoint address;
  GrantBook& book;
  RunLog& log;
  std::vector<Endpoint> learned;
  size_t current = 0;
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool connected = false;
  bool superseded = false;
  /// The last answer said that nothing is granted while draining.
  bool drained = false;

  Impl(const asio::any_io_executor& aExecutor,
       const Options& aOptions,
       const Modes& aModes,
       uint64_t aIncarnation,
       Endpoint aAddress,
       GrantBook& aBook,
       RunLog& aLog)
    : executor(aExecutor)
    , options(aOptions)
    , modes(aModes)
    , incarnation(aIncarnation)
    , address(std::move(aAddress))
    , book(aBook)
    , log(aLog)
    , stream(aExecutor)
  {
  }

  /// The hosts of the command line, then those learned from answers.
  std::vector<Endpoint> Hosts() const
  {
    std::vector<Endpoint> hosts = options.hosts;
    for (const Endpoint& host : learned) {
      if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
        hosts.push_back(host);
      }
    }
    return hosts;
  }

  std::string Announcement()
  {
    book.IgnoreRevocations(modes.ignoreRevoke);
    return boost::json::serialize(boost::json::object{
      { "service", options.service.value },
      { "name", options.name.value },
      { "incarnation", std::to_string(incarnation) },
      { "address", address.address + ':' + std::to_string(address.port) },
      { "data_centre", options.dataCentre.value },
      { "slots", options.slots },
      { "checks_fences", modes.checkFences },
      { "draining", modes.drain },
      { "grants_version", std::to_string(book.AcknowledgedVersion()) },
      { "hold_ms", kHold.count() } });
  }

  void Disconnect()
  {
    beast::error_code ignored;
    stream.socket().close(ignored);
    buffer.clear();
    connected = false;
  }

  asio::awaitable<bool> Connect()
  {
    if (connected) {
      co_return true;
    }
    const auto hosts = Hosts();
    const Endpoint& host = hosts[current % hosts.size()];
    beast::error_code error;
    const auto ip = asio::ip::make_address(host.address, error);
    if (error) {
      co_return false;
    }
    stream.expires_after(kAnswerTimeout);
    std::tie(error) =
      co_await stream.async_connect(tcp::endpoint(ip, host.port), kNoThrow);
    connected = !error;
    co_return connected;
  }

  /// @return the answer, or nothing if the host failed.
  asio::awaitable<std::optional<Response>> Exchange()
  {
    if (!co_await Connect()) {
      co_return std::nullopt;
    }
    Request request(http::verb::post, "/v1/announce", 11);
    request.set(http::field::host, "rattandyke");
    request.set(http::field::content_type, "application/json");
    request.body() = Announcement();
    request.prepare_payload();
    stream.expires_after(kAnswerTimeout);
    auto [writeError, written] =
      co_await http::async_write(stream, request, kNoThrow);
    if (writeError) {
      co_return std::nullopt;
    }
    Response response;
    auto [readError, read] =
      co_await http::async_read(stream, buffer, response, kNoThrow);
    if (readError) {
      co_return std::nullopt;
    }
    if (!response.keep_alive()) {
      Disconnect();
    }
    co_return response;
  }

  asio::awaitable<void> Pause(Duration aTime)
  {
    asio::steady_timer timer(executor, aTime);
    co_await timer.async_wait(kNoThrow);
  }

  asio::awaitable<void> NextHost(Duration aPause)
  {
    Disconnect();
    ++current;
    co_await Pause(aPause);
  }

  asio::awaitable<void> Take(const Response& aResponse, Instant aSent)
  {
    const bool wasDraining = modes.drain;
    const auto answer = ParseAnnounceAnswer(aResponse.body(), learned);
    if (!answer) {
      std::cerr << answer.error().message << '\n';
      co_await NextHost(kAfterRefusal);
      co_return;
    }
    const bool changed = book.Apply(*answer, aSent);
    const Instant now = std::chrono::steady_clock::now();
    log.LeaseExtended(book.LeaseUntil(), now);
    if (changed) {
      log.GrantsTaken(answer->grantsVersion, *answer->grants, now);
    }
    drained = wasDraining && !book.HoldsGrants() && book.Running() == 0 &&
              !answer->grants;
    co_await Pause(answer->next);
  }

  asio::awaitable<void> Announce()
  {
    const Instant sent = std::chrono::steady_clock::now();
    const auto response = co_await Exchange();
    if (!response) {
      co_await NextHost(kAfterFailure);
    } else if (response->result() == http::status::ok) {
      co_await Take(*response, sent);
    } else if (response->result() == http::status::conflict) {
      std::cerr << "A newer process has this name.\n";
      superseded = true;
    } else {
      co_await NextHost(kAfterRefusal);
    }
  }
};

Announcer::Announcer(const asio::any_io_executor& aExecutor,
                     const Options& aOptions,
                     const Modes& aModes,
                     uint64_t aIncarnation,
                     Endpoint aAddress,
                     GrantBook& aBook,
                     RunLog& aLog)
  : mImpl(std::make_unique<Impl>(aExecutor,
                                 aOptions,
                                 aModes,
                                 aIncarnation,
                                 std::move(aAddress),
                                 aBook,
                                 aLog))
{
}

Announcer::~Announcer() = default;

asio::awaitable<void>
Announcer::Run()
{
  while (!mImpl->superseded) {
    co_await mImpl->Announce();
  }
}

bool
Announcer::MayLeave() const
{
  return mImpl->superseded || mImpl->drained;
}

} // namespace rattandyke::upstream
