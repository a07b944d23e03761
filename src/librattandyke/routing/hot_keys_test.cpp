#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "routing/hot_keys.h"

namespace rattandyke::routing {
namespace {

TEST(HotKeys, FindsHotKeyAmongManyColdKeys)
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

TEST(HotKeys, KeyOver256BytesIsIgnored)
{
  HotKeys keys(4);
  keys.Count("board", std::string(257, 'x'));
  EXPECT_EQ(keys.Size(), 0U);
}

// An underestimated hot key would not be moved and would overload its owner. A
// key whose error is understated would be moved without need.
RC_GTEST_PROP(HotKeysProperty, EstimateBoundsTrueCount, ())
{
  const auto requests =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
  HotKeys keys(8);
  std::map<std::string, uint64_t> trueCounts;
  for (const int request : requests) {
    const std::string key = std::to_string(request * request / 40);
    keys.Count("board", key);
    ++trueCounts[key];
  }
  const auto top = keys.Top(8, 0);
  for (const KeyCount& entry : top) {
    RC_ASSERT(entry.count >= trueCounts[entry.key]);
    RC_ASSERT(entry.count - entry.error <= trueCounts[entry.key]);
  }
  for (const auto& entry : trueCounts) {
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
