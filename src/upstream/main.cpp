// Stand-in upstream: a small server that owns keys of one service, for trying
// out and proving the product. Not a part of it.
#include <iostream>
#include <random>

#include "upstream/announcer.h"
#include "upstream/server.h"

namespace rattandyke::upstream {
namespace {

using namespace std::chrono_literals;

constexpr int kFailedExitCode = 1;
constexpr auto kLongestDrain = 10s;
constexpr auto kDrainPoll = 10ms;

uint64_t
DrawIncarnation()
{
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U | device()) | 1U;
}

/// The first SIGTERM drains, the second ends.
asio::awaitable<void>
EndOnSignal(asio::io_context& aContext, Modes& aModes, Announcer& aAnnouncer)
{
  asio::signal_set signals(aContext, SIGTERM, SIGINT);
  co_await signals.async_wait(kNoThrow);
  signals.async_wait([&](auto, int) { aContext.stop(); });
  aModes.drain = true;
  const Instant latest = std::chrono::steady_clock::now() + kLongestDrain;
  asio::steady_timer timer(aContext);
  while (!aAnnouncer.MayLeave() && std::chrono::steady_clock::now() < latest) {
    timer.expires_after(kDrainPoll);
    co_await timer.async_wait(kNoThrow);
  }
  aContext.stop();
}

int
Run(const Options& aOptions)
{
  asio::io_context context(1);
  const uint64_t incarnation = DrawIncarnation();
  Modes modes = aOptions.modes;
  GrantBook book;
  const auto log = RunLog::Open(aOptions.recordFile);
  if (!log) {
    std::cerr << log.error().message << '\n';
    return kFailedExitCode;
  }
  Server server(context.get_executor(), aOptions, modes, book, **log);
  const auto address = server.Listen();
  if (!address) {
    std::cerr << address.error().message << '\n';
    return kFailedExitCode;
  }
  (*log)->Started(aOptions.service.value,
                  aOptions.name.value,
                  incarnation,
                  std::chrono::steady_clock::now());
  Announcer announcer(context.get_executor(),
                      aOptions,
                      modes,
                      incarnation,
                      *address,
                      book,
                      **log);
  asio::co_spawn(context, server.Run(), asio::detached);
  asio::co_spawn(context, announcer.Run(), asio::detached);
  asio::co_spawn(
    context, EndOnSignal(context, modes, announcer), asio::detached);
  std::cout << "listening " << address->address << ':' << address->port
            << std::endl;
  context.run();
  return 0;
}

} // namespace
} // namespace rattandyke::upstream

int
main(int aCount, char** aArguments)
{
  return rattandyke::upstream::Run(
    rattandyke::upstream::ParseOptions(aCount, aArguments));
}
