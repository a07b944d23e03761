#include "control/evidence_book.h"

#include <gtest/gtest.h>

namespace rattandyke::control {
namespace {

using std::chrono::milliseconds;

class EvidenceBookTest : public testing::Test
{
protected:
  /// For a second, the host reaches or fails to reach each of the upstreams.
  void Try(const std::string& aHost,
           const std::vector<std::pair<std::string, bool>>& aReached)
  {
    wire::Heartbeat heartbeat;
    heartbeat.set_host(aHost);
    for (const auto& [upstream, reached] : aReached) {
      wire::UpstreamEvidence& evidence = *heartbeat.add_evidence();
      evidence.set_service("board");
      evidence.set_upstream(upstream);
      evidence.set_succeeded(reached ? 1 : 0);
      evidence.set_unreachable(reached ? 0 : 1);
    }
    book.Note(heartbeat, now);
    book.Note(heartbeat, now + milliseconds(600));
  }

  std::vector<EvidenceBook::Key> Unreachable(size_t aEntries = 3)
  {
    return book.Unreachable(aEntries, now + milliseconds(600));
  }

  EvidenceBook book;
  Instant now{ std::chrono::hours(1) };
};

// An upstream announces itself, but callers' requests do not get through from
// any entry: it is out of reach, and the others are not.
TEST_F(EvidenceBookTest, SeveralHostsCondemn)
{
  Try("h1", { { "u1", false }, { "u2", true }, { "u3", true } });
  Try("h2", { { "u1", false }, { "u2", true } });
  const auto found = Unreachable();
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found.front().second, "u1");
  book.Forget(found.front());
  EXPECT_TRUE(Unreachable().empty());
}

// One entry's network is bad: it reaches nobody, or one upstream alone. The
// upstreams are well, as the other entries' requests show.
TEST_F(EvidenceBookTest, OneHostsNetworkCondemnsNobody)
{
  Try("h1", { { "u1", false }, { "u2", false }, { "u3", true } });
  Try("h2", { { "u1", true }, { "u2", true }, { "u3", false } });
  Try("h3", { { "u1", true }, { "u2", true }, { "u3", true } });
  EXPECT_TRUE(Unreachable().empty());
}

// The only host of a small deployment has nobody to agree with.
TEST_F(EvidenceBookTest, ASingleHostIsBelieved)
{
  Try("h1", { { "u1", false }, { "u2", true }, { "u3", true } });
  EXPECT_EQ(Unreachable(1).size(), 1U);
  EXPECT_TRUE(Unreachable(2).empty());
}

} // namespace
} // namespace rattandyke::control
