#include "upstream/server.h"

#include <random>

#include <boost/json.hpp>

#include "upstream/answer_body.h"
#include "upstream/runner.h"

namespace rattandyke::upstream {

namespace {

constexpr size_t kBodyLimit = 64U << 20U;
constexpr size_t kAnswerLimit = 1U << 30U;
constexpr size_t kDripPieces = 8;
constexpr unsigned kHttp11 = 11;

Response
MakeResponse(http::status aStatus, std::string aBody)
{
  Response response(aStatus, kHttp11);
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

Response
RefusalResponse(const Refused& aRefused)
{
  auto response =
    MakeResponse(aRefused.status, std::string(aRefused.why) + '\n');
  response.set("Rattandyke-Outcome", "not-run");
  if (aRefused.status == http::status::conflict) {
    response.set("Rattandyke-Refused", "fence");
  }
  return response;
}

} // namespace

struct Server::Impl
{
  asio::any_io_executor executor;
  const Options& options;
  Modes& modes;
  GrantBook& book;
  Runner runner;
  Random random;
  tcp::acceptor acceptor;

  Impl(const asio::any_io_executor& aExecutor,
       const Options& aOptions,
       Modes& aModes,
       GrantBook& aBook,
       RunLog& aLog)
    : executor(aExecutor)
    , options(aOptions)
    , modes(aModes)
    , book(aBook)
    , runner(aExecutor, aOptions, aModes, aBook, aLog)
    , random(aOptions.seed + 1)
    , acceptor(aExecutor)
  {
  }

  std::string HealthText() const
  {
    const bool lie = modes.lieInHealth;
    return boost::json::serialize(
      boost::json::object{ { "status", modes.hang && !lie ? "stuck" : "ok" },
                           { "draining", modes.drain && !lie },
                           { "load", lie ? 0 : runner.Load() } });
  }

  Response ChangeModesFrom(const Request& aRequest)
  {
    if (aRequest.method() == http::verb::post) {
      const auto changed = ChangeModes(modes, aRequest.body());
      if (!changed) {
        return MakeResponse(http::status::bad_request,
                            changed.error().message + '\n');
      }
      modes = *changed;
    }
    return MakeResponse(http::status::ok, ToJson(modes));
  }

  /// Sends an answer slowly, or its first half and no more.
  asio::awaitable<bool> WriteInPieces(beast::tcp_stream& aStream,
                                      Response& aResponse,
                                      bool aCut)
  {
    std::ostringstream text;
    text << aResponse;
    const std::string bytes = text.str();
    const size_t end = aCut ? bytes.size() / 2 : bytes.size();
    const size_t piece = std::max<size_t>(1, end / kDripPieces);
    asio::steady_timer timer(executor);
    for (size_t at = 0; at < end; at += piece) {
      timer.expires_after(modes.drip);
      co_await timer.async_wait(kNoThrow);
      auto [error, written] = co_await asio::async_write(
        aStream,
        asio::buffer(bytes.data() + at, std::min(piece, end - at)),
        kNoThrow);
      if (error) {
        co_return false;
      }
    }
    co_return !aCut;
  }

  /// @return whether the connection may be used again.
  asio::awaitable<bool> WriteAsModesSay(beast::tcp_stream& aStream,
                                        Response aResponse,
                                        bool aKeepAlive)
  {
    const bool cut = modes.dieMidAnswer > 0 &&
                     std::bernoulli_distribution(modes.dieMidAnswer)(random);
    if (cut || modes.drip.count() > 0) {
      aResponse.keep_alive(aKeepAlive);
      co_return co_await WriteInPieces(aStream, aResponse, cut) && aKeepAlive;
    }
    co_return co_await Write(aStream, std::move(aResponse), aKeepAlive);
  }

  asio::awaitable<bool> Write(beast::tcp_stream& aStream,
                              Response aResponse,
                              bool aKeepAlive)
  {
    aResponse.keep_alive(aKeepAlive);
    auto [error, written] =
      co_await http::async_write(aStream, aResponse, kNoThrow);
    co_return !error && aKeepAlive;
  }

  Response AnswerResponse(const Request& aRequest, const Finished& aFinished)
  {
    const RunRequest& run = aFinished.run;
    const size_t bytes = NumberHeader(aRequest, kLoadAnswerBytesHeader)
                           .value_or(options.answerBytes);
    const AnswerIdentity identity{
      run.loadId,   run.service, run.key,
      run.customer, run.fence,   options.name.value
    };
    return MakeResponse(
      http::status::ok,
      MakeAnswerBody(identity, std::min(bytes, kAnswerLimit)));
  }

  /// Adds the headers by which the upstream signals back pressure.
  Response WithBackPressure(Response aResponse) const
  {
    if (modes.rateLimit >= 0) {
      aResponse.set("Rattandyke-Rate-Limit", std::to_string(modes.rateLimit));
    }
    if (modes.retryAfter > 0 &&
        aResponse.result() == http::status::service_unavailable) {
      aResponse.set("Retry-After", std::to_string(modes.retryAfter));
    }
    return aResponse;
  }

  asio::awaitable<bool> Answer(beast::tcp_stream& aStream,
                               const Request& aRequest)
  {
    const bool keepAlive = aRequest.keep_alive();
    if (aRequest.target() == "/-/mode") {
      co_return co_await Write(aStream, ChangeModesFrom(aRequest), keepAlive);
    }
    if (aRequest.target() == "/-/health") {
      co_return co_await Write(
        aStream, MakeResponse(http::status::ok, HealthText()), keepAlive);
    }
    const auto result = co_await runner.Run(aRequest, aStream.socket());
    if (const auto* refused = std::get_if<Refused>(&result)) {
      co_return co_await Write(
        aStream, WithBackPressure(RefusalResponse(*refused)), keepAlive);
    }
    if (const auto* finished = std::get_if<Finished>(&result)) {
      co_return co_await WriteAsModesSay(
        aStream,
        WithBackPressure(AnswerResponse(aRequest, *finished)),
        keepAlive);
    }
    co_return false;
  }

  asio::awaitable<void> Serve(tcp::socket aSocket)
  {
    aSocket.set_option(tcp::no_delay(true));
    beast::tcp_stream stream(std::move(aSocket));
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kBodyLimit);
      auto [error, read] =
        co_await http::async_read(stream, buffer, parser, kNoThrow);
      if (error) {
        break;
      }
      open = co_await Answer(stream, parser.get());
    }
  }
};

Server::Server(const asio::any_io_executor& aExecutor,
               const Options& aOptions,
               Modes& aModes,
               GrantBook& aBook,
               RunLog& aLog)
  : mImpl(std::make_unique<Impl>(aExecutor, aOptions, aModes, aBook, aLog))
{
}

Server::~Server() = default;

Result<Endpoint>
Server::Listen()
{
  const Endpoint& wanted = mImpl->options.listen;
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(wanted.address),
                                 wanted.port);
    mImpl->acceptor.open(endpoint.protocol());
    mImpl->acceptor.set_option(tcp::acceptor::reuse_address(true));
    mImpl->acceptor.bind(endpoint);
    mImpl->acceptor.listen();
    return Endpoint{ wanted.address, mImpl->acceptor.local_endpoint().port() };
  } catch (const boost::system::system_error& error) {
    return Fail(Code::AddressInUse, error.what());
  }
}

asio::awaitable<void>
Server::Run()
{
  asio::co_spawn(mImpl->executor, mImpl->runner.WatchLease(), asio::detached);
  while (true) {
    auto [error, socket] = co_await mImpl->acceptor.async_accept(kNoThrow);
    if (!error) {
      asio::co_spawn(
        mImpl->executor, mImpl->Serve(std::move(socket)), asio::detached);
    }
  }
}

} // namespace rattandyke::upstream
