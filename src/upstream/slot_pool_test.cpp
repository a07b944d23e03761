#include "upstream/slot_pool.h"

#include <gtest/gtest.h>

#include "upstream/asio_names.h"

namespace rattandyke::upstream {
namespace {

// Three requests come to an upstream with one slot and a queue of one: the
// first runs, the second waits and runs next, the third is shed at once.
TEST(SlotPool, QueuesUpToItsBound)
{
  asio::io_context context;
  SlotPool pool(context.get_executor(), 1, 1);
  std::vector<std::string> events;
  const auto ask = [&](std::string aName) -> asio::awaitable<void> {
    const bool got = co_await pool.Acquire();
    events.push_back(aName + (got ? " runs" : " is shed"));
  };
  for (const char* name : { "first", "second", "third" }) {
    asio::co_spawn(context, ask(name), asio::detached);
  }
  context.poll();
  EXPECT_EQ(events,
            (std::vector<std::string>{ "first runs", "third is shed" }));
  pool.Release();
  context.poll();
  EXPECT_EQ(events.back(), "second runs");
}

} // namespace
} // namespace rattandyke::upstream
