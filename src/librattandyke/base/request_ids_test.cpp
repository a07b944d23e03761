#include "base/request_ids.h"

#include <set>

#include <gtest/gtest.h>

namespace rattandyke {
namespace {

// Guards against an answer that fits a request of the next process: a host
// restarts while the leader's answers to its earlier process are on their way.
TEST(RequestIdsTest, ProcessesOfAHostUseDifferentIds)
{
  constexpr int kRequests = 10000;
  RequestIds earlier(0x9e3779b97f4a7c15U);
  RequestIds later(0xbf58476d1ce4e5b9U);
  std::set<uint64_t> used;
  for (int request = 0; request < kRequests; ++request) {
    used.insert(earlier.Next());
  }
  for (int request = 0; request < kRequests; ++request) {
    EXPECT_FALSE(used.contains(later.Next()));
  }
}

} // namespace
} // namespace rattandyke
