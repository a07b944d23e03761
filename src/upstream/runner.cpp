#include "upstream/runner.h"

#include <csignal>
#include <list>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <sys/socket.h>

namespace rattandyke::upstream {

namespace {

using namespace std::chrono_literals;

constexpr auto kHangPoll = 20ms;
constexpr auto kLeasePoll = 5ms;

Instant
Now()
{
  return std::chrono::steady_clock::now();
}

/// @return whether the peer has closed the connection.
bool
IsClosed(tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t peeked =
    ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// One run under way; ended early by cancelling its timer.
struct Running
{
  asio::steady_timer timer;
  bool leaseOver = false;
};

/// Gives the slot back however the run ends.
struct SlotHolder
{
  SlotPool& pool;
  ~SlotHolder() { pool.Release(); }
};

} // namespace

struct Runner::Impl
{
  asio::any_io_executor executor;
  const Options& options;
  const Modes& modes;
  GrantBook& book;
  RunLog& log;
  SlotPool pool;
  Random random;
  Instant started = Now();
  std::list<Running> running;
  size_t inHand = 0;

  Impl(const asio::any_io_executor& aExecutor,
       const Options& aOptions,
       const Modes& aModes,
       GrantBook& aBook,
       RunLog& aLog)
    : executor(aExecutor)
    , options(aOptions)
    , modes(aModes)
    , book(aBook)
    , log(aLog)
    , pool(aExecutor, aOptions.slots, aOptions.queue)
    , random(aOptions.seed)
  {
  }

  /// @return why the request may not run now, if it may not.
  std::optional<Refused> Refusal(const Claim& aClaim, Instant aNow) const
  {
    if (modes.checkFences && book.Check(aClaim, aNow) != Verdict::Allowed) {
      return Refused{ http::status::conflict, "fence" };
    }
    return std::nullopt;
  }

  RunResult Refuse(const RunRequest& aRun, Refused aRefused)
  {
    log.Refused(aRun, aRefused.why, Now());
    return aRefused;
  }

  bool Sheds()
  {
    return modes.shed > 0 && std::bernoulli_distribution(modes.shed)(random);
  }

  asio::awaitable<void> WaitWhileHanging(tcp::socket& aSocket)
  {
    asio::steady_timer timer(executor);
    while (modes.hang && !IsClosed(aSocket)) {
      timer.expires_after(kHangPoll);
      co_await timer.async_wait(kNoThrow);
    }
  }

  /// A request that ends the process, as a faulty server's would.
  void CrashIfMarked(const Request& aRequest) const
  {
    const std::string_view target(aRequest.target().data(),
                                  aRequest.target().size());
    const std::string& marker = modes.crashMarker;
    if (!marker.empty() &&
        (target.find(marker) != std::string_view::npos ||
         aRequest.body().find(marker) != std::string::npos)) {
      ::raise(SIGKILL);
    }
  }

  /// Waits for the run's end, its cancelling or the sender's going away.
  asio::awaitable<void> WaitForEnd(Running& aRunning, tcp::socket& aSocket)
  {
    using namespace asio::experimental::awaitable_operators;
    const auto ended =
      co_await (aRunning.timer.async_wait(kNoThrow) ||
                aSocket.async_wait(tcp::socket::wait_read, kNoThrow));
    const bool socketFirst = ended.index() == 1;
    if (socketFirst && !IsClosed(aSocket)) {
      co_await aRunning.timer.async_wait(kNoThrow);
    }
  }

  asio::awaitable<RunResult> RunInSlot(const Request& aRequest,
                                       RunRequest aRun,
                                       const Claim& aClaim,
                                       Instant aNow,
                                       tcp::socket& aSocket)
  {
    const uint64_t number = book.Begin(aClaim);
    log.RunStarted(number, aRun, aNow);
    CrashIfMarked(aRequest);
    const auto time =
      DrawServiceTime(options.serviceTime, aNow - started, random);
    const auto entry = running.insert(
      running.end(), Running{ asio::steady_timer(executor, aNow + time) });
    co_await WaitForEnd(*entry, aSocket);
    const bool leaseOver = entry->leaseOver;
    running.erase(entry);
    book.End(number);
    const bool gone = IsClosed(aSocket);
    log.RunEnded(number,
                 leaseOver ? "lease-over" : (gone ? "cancelled" : "answered"),
                 Now());
    if (leaseOver || gone) {
      co_return Abandoned{};
    }
    co_return Finished{ std::move(aRun) };
  }

  asio::awaitable<RunResult> Run(const Request& aRequest, tcp::socket& aSocket)
  {
    const Instant arrived = Now();
    const auto run = DescribeRun(aRequest, Sender(aSocket));
    const auto claim = ClaimOf(aRequest, run);
    if (Sheds()) {
      co_return Refuse(run, { http::status::service_unavailable, "shed" });
    }
    if (const auto refused = Refusal(claim, arrived)) {
      co_return Refuse(run, *refused);
    }
    co_await WaitWhileHanging(aSocket);
    if (!co_await pool.Acquire()) {
      co_return Refuse(run, { http::status::service_unavailable, "queue" });
    }
    const SlotHolder holder{ pool };
    // The check and the instant that the record gives for the run's start are
    // one: a process that is paused after this line began while it was allowed
    // to, and one paused before it finds its lease over.
    const Instant now = Now();
    if (const auto refused = Refusal(claim, now)) {
      co_return Refuse(run, *refused);
    }
    const auto deadline = NumberHeader(aRequest, "Rattandyke-Deadline-Ms");
    if (deadline && now - arrived >= std::chrono::milliseconds(*deadline)) {
      co_return Refuse(run, { http::status::service_unavailable, "deadline" });
    }
    if (IsClosed(aSocket)) {
      log.Refused(run, "gone", now);
      co_return Abandoned{};
    }
    co_return co_await RunInSlot(aRequest, run, claim, now, aSocket);
  }

  static std::string Sender(tcp::socket& aSocket)
  {
    beast::error_code error;
    const auto endpoint = aSocket.remote_endpoint(error);
    return error ? std::string()
                 : endpoint.address().to_string() + ':' +
                     std::to_string(endpoint.port());
  }
};

Runner::Runner(const asio::any_io_executor& aExecutor,
               const Options& aOptions,
               const Modes& aModes,
               GrantBook& aBook,
               RunLog& aLog)
  : mImpl(std::make_unique<Impl>(aExecutor, aOptions, aModes, aBook, aLog))
{
}

Runner::~Runner() = default;

asio::awaitable<RunResult>
Runner::Run(const Request& aRequest, tcp::socket& aSocket)
{
  ++mImpl->inHand;
  auto result = co_await mImpl->Run(aRequest, aSocket);
  --mImpl->inHand;
  co_return result;
}

asio::awaitable<void>
Runner::WatchLease()
{
  asio::steady_timer timer(mImpl->executor);
  while (true) {
    // When the lease ends the keys may be granted to another upstream, and a
    // run that went on would be a second owner's. Ending it here is enough:
    // the grantor waits for longer than the lease.
    if (mImpl->modes.checkFences && Now() >= mImpl->book.LeaseUntil()) {
      for (Running& run : mImpl->running) {
        run.leaseOver = true;
        run.timer.cancel();
      }
    }
    timer.expires_after(kLeasePoll);
    co_await timer.async_wait(kNoThrow);
  }
}

size_t
Runner::Load() const
{
  return mImpl->inHand;
}

} // namespace rattandyke::upstream
