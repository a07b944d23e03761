#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "routing/hot_keys.h"

namespace rattandyke::routing {
namespace {

TEST(HotKeys, FindsTheHotOneAmongMany)
{
  HotKeys keys(16);
  for (int i = 0; i < 10000; ++i) {
    keys.Count("board", "cold-" + std::to_string(i));
    if (i % 5 == 0) {
      keys.Count("board", "hot");
    }
  }
  EXPECT_EQ(keys.Size(), 16U);
  const auto top = keys.Top(1, 100);
  ASSERT_EQ(top.size(), 1U);
  EXPECT_EQ(top[0].key, "hot");
}

TEST(HotKeys, OverlongKeyIsNotFollowed)
{
  HotKeys keys(4);
  keys.Count("board", std::string(257, 'x'));
  EXPECT_EQ(keys.Size(), 0U);
}

// A key that is estimated too low would stay unnoticed while it drowns its
// owner; one whose error is understated would move for nothing.
RC_GTEST_PROP(HotKeysProperty, EstimateBoundsTheTrueCount, ())
{
  const auto requests =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
  HotKeys keys(8);
  std::map<std::string, uint64_t> truth;
  for (const int request : requests) {
    const std::string key = std::to_string(request * request / 40);
    keys.Count("board", key);
    ++truth[key];
  }
  const auto top = keys.Top(8, 0);
  for (const KeyCount& entry : top) {
    RC_ASSERT(entry.count >= truth[entry.key]);
    RC_ASSERT(entry.count - entry.error <= truth[entry.key]);
  }
  for (const auto& entry : truth) {
    const std::string& key = entry.first;
    const bool isListed =
      std::any_of(top.begin(), top.end(), [&](const auto& aEntry) {
        return aEntry.key == key;
      });
    RC_ASSERT(isListed || entry.second <= requests.size() / 8);
  }
}

} // namespace
} // namespace rattandyke::routing
