#include "load/driver.h"

#include <algorithm>

#include <xxhash.h>

#include "load/plan.h"
#include "upstream/options.h"

namespace rattandyke::load {

namespace {

using namespace std::chrono_literals;

constexpr Duration kFirstPause = 20ms;
constexpr Duration kLongestPause = 200ms;

Instant
Now()
{
  return std::chrono::steady_clock::now();
}

/// A request under way. Shared with its sendings, some of which may end after
/// the request's caller was answered.
struct Request
{
  Request(const asio::any_io_executor& aExecutor, Plan aPlan, Instant aIntended)
    : changed(aExecutor)
  {
    finished.plan = std::move(aPlan);
    finished.intended = aIntended;
  }

  Finished finished;
  /// Cancelled when a sending ends.
  asio::steady_timer changed;
  size_t outstanding = 0;
  AttemptResult last = AttemptResult::Unsent;
  bool answered = false;
};

std::vector<Endpoint>
AddressesOf(const std::vector<Target>& aTargets)
{
  std::vector<Endpoint> addresses;
  addresses.reserve(aTargets.size());
  for (const Target& target : aTargets) {
    addresses.push_back(target.address);
  }
  return addresses;
}

std::vector<size_t>
TargetsOf(const ServiceName& aService, const std::vector<Target>& aTargets)
{
  std::vector<size_t> indices;
  for (size_t index = 0; index < aTargets.size(); ++index) {
    const ServiceName& only = aTargets[index].service;
    if (only.value.empty() || only == aService) {
      indices.push_back(index);
    }
  }
  return indices;
}

} // namespace

Result<Target>
ParseTarget(const std::string& aText)
{
  Target target;
  const size_t equals = aText.find('=');
  if (equals != std::string::npos) {
    target.service.value = aText.substr(0, equals);
  }
  const std::string address =
    equals == std::string::npos ? aText : aText.substr(equals + 1);
  auto endpoint = upstream::ParseEndpoint(address);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(endpoint->address, error);
  if (error || !ip.is_loopback()) {
    return Fail(Code::InvalidSettings,
                "'" + address + "' is not a loopback address.");
  }
  target.address = std::move(*endpoint);
  return target;
}

Result<Routing>
ParseRouting(std::string_view aName)
{
  if (aName == "entries") {
    return Routing::Entries;
  }
  if (aName == "static-hash") {
    return Routing::StaticHash;
  }
  if (aName == "round-robin") {
    return Routing::RoundRobin;
  }
  return Fail(Code::InvalidSettings,
              "'" + std::string(aName) +
                "' is not entries, static-hash or round-robin.");
}

struct Driver::Impl
{
  asio::io_context& context;
  const LoadConfig& config;
  Routing routing;
  Connections connections;
  std::string runName;
  Instant start;
  Results& results;
  Random random;
  size_t underWay = 0;
  uint64_t started = 0;
  size_t nextTarget = 0;
  /// By service, as in the configuration: indices of its targets.
  std::vector<std::vector<size_t>> targets;

  Impl(asio::io_context& aContext,
       const LoadConfig& aConfig,
       Routing aRouting,
       const std::vector<Target>& aTargets,
       std::string aRunName,
       Instant aStart,
       Results& aResults)
    : context(aContext)
    , config(aConfig)
    , routing(aRouting)
    , connections(aContext.get_executor(), AddressesOf(aTargets))
    , runName(std::move(aRunName))
    , start(aStart)
    , results(aResults)
    , random(aConfig.seed)
  {
    for (const ServiceLoad& service : aConfig.services) {
      targets.push_back(TargetsOf(service.name, aTargets));
    }
  }

  /// Whether sending a request again cannot run it twice; the round-robin
  /// baseline does not ask.
  bool IsSafeToResend(const Plan& aPlan) const
  {
    return routing == Routing::RoundRobin || !aPlan.write ||
           !aPlan.idempotencyKey.empty();
  }

  /// @param aFirst counts requests: targets are taken in turn.
  size_t ChooseTarget(const Plan& aPlan, size_t aFirst, uint32_t aNumber) const
  {
    const auto& mine = targets[aPlan.service - config.services.data()];
    if (routing == Routing::StaticHash) {
      const auto hash = XXH64(aPlan.key.data(), aPlan.key.size(), 0);
      return mine[hash % mine.size()];
    }
    return mine[(aFirst + aNumber) % mine.size()];
  }

  asio::awaitable<void> SendAttempt(std::shared_ptr<Request> aRequest,
                                    uint32_t aNumber,
                                    size_t aEntry)
  {
    const auto attempt = co_await SendOnce(connections,
                                           aRequest->finished.plan,
                                           aNumber,
                                           aEntry,
                                           config.timeout,
                                           routing != Routing::Entries);
    aRequest->finished.attempts.push_back(attempt);
    aRequest->last = attempt.result;
    aRequest->answered =
      aRequest->answered || attempt.result == AttemptResult::Answered;
    --aRequest->outstanding;
    aRequest->changed.cancel();
  }

  /// Waits until a sending ends, or until an answer is late if the request may
  /// be sent again beside it.
  asio::awaitable<void> WaitForSending(Request& aRequest)
  {
    const size_t before = aRequest.finished.attempts.size();
    const bool mayBeLate =
      config.late.count() > 0 && IsSafeToResend(aRequest.finished.plan);
    aRequest.changed.expires_at(mayBeLate ? Now() + config.late
                                          : Instant::max());
    while (aRequest.finished.attempts.size() == before) {
      const auto [error] = co_await aRequest.changed.async_wait(kNoThrow);
      if (!error) {
        co_return;
      }
    }
  }

  asio::awaitable<void> WaitForAll(Request& aRequest)
  {
    while (aRequest.outstanding > 0) {
      aRequest.changed.expires_at(Instant::max());
      co_await aRequest.changed.async_wait(kNoThrow);
    }
  }

  /// @return whether the caller may and would send the request again.
  bool SendsAgain(const Request& aRequest) const
  {
    const bool inTime = Now() - aRequest.finished.intended < config.patience;
    if (aRequest.answered || !inTime) {
      return false;
    }
    const bool provenNotRun =
      aRequest.outstanding == 0 && (aRequest.last == AttemptResult::NotRun ||
                                    aRequest.last == AttemptResult::Unsent);
    return provenNotRun || IsSafeToResend(aRequest.finished.plan);
  }

  Duration DrawPause(uint32_t aNumber)
  {
    constexpr uint32_t kMostDoublings = 4;
    const Duration full = std::min(
      kLongestPause, kFirstPause * (1U << std::min(aNumber, kMostDoublings)));
    return full / 2 + Duration(std::uniform_int_distribution<Duration::rep>(
                        0, (full / 2).count())(random));
  }

  asio::awaitable<void> Pause(uint32_t aNumber)
  {
    asio::steady_timer timer(context, DrawPause(aNumber));
    co_await timer.async_wait(kNoThrow);
  }

  asio::awaitable<void> Carry(std::shared_ptr<Request> aRequest)
  {
    const size_t first = nextTarget++;
    uint32_t number = 0;
    do {
      if (number > 0) {
        co_await Pause(number - 1);
        if (aRequest->answered) {
          break;
        }
      }
      const size_t entry = ChooseTarget(aRequest->finished.plan, first, number);
      ++aRequest->outstanding;
      asio::co_spawn(
        context, SendAttempt(aRequest, number, entry), asio::detached);
      co_await WaitForSending(*aRequest);
      ++number;
    } while (SendsAgain(*aRequest));
    co_await WaitForAll(*aRequest);
    results.Add(aRequest->finished);
    --underWay;
  }

  void Begin(Plan aPlan)
  {
    const Instant intended = start + aPlan.intended;
    auto request = std::make_shared<Request>(
      context.get_executor(), std::move(aPlan), intended);
    if (underWay >= config.maxOutstanding) {
      request->finished.skipped = true;
      results.Add(request->finished);
      return;
    }
    ++underWay;
    asio::co_spawn(context, Carry(std::move(request)), asio::detached);
  }

  asio::awaitable<void> RunCustomer(size_t aCustomer)
  {
    Planner planner(config, aCustomer, runName);
    asio::steady_timer timer(context);
    while (started < config.maxRequests) {
      Plan plan = planner.Next();
      if (plan.intended >= config.duration) {
        break;
      }
      timer.expires_at(start + plan.intended);
      co_await timer.async_wait(kNoThrow);
      ++started;
      Begin(std::move(plan));
    }
  }
};

Driver::Driver(asio::io_context& aContext,
               const LoadConfig& aConfig,
               Routing aRouting,
               const std::vector<Target>& aTargets,
               std::string aRunName,
               Instant aStart,
               Results& aResults)
  : mImpl(std::make_unique<Impl>(aContext,
                                 aConfig,
                                 aRouting,
                                 aTargets,
                                 std::move(aRunName),
                                 aStart,
                                 aResults))
{
}

Driver::~Driver() = default;

void
Driver::Start()
{
  for (size_t index = 0; index < mImpl->config.customers.size(); ++index) {
    asio::co_spawn(mImpl->context, mImpl->RunCustomer(index), asio::detached);
  }
}

size_t
Driver::UnderWay() const
{
  return mImpl->underWay;
}

} // namespace rattandyke::load
