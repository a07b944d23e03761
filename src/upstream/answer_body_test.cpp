#include "upstream/answer_body.h"

#include <gtest/gtest.h>

namespace rattandyke::upstream {
namespace {

AnswerIdentity
SomeIdentity()
{
  return { "r-17", "board", "unit-3", "desk", 41, "board-1" };
}

// A caller must be able to tell a cut answer from a whole one. The upstream
// dies after any number of bytes; whatever prefix arrives, the driver that
// reads it has to see that it is not whole.
TEST(AnswerBody, NoPrefixLooksWhole)
{
  const std::string whole = MakeAnswerBody(SomeIdentity(), 100);
  ASSERT_EQ(ParseAnswerBody(whole).value(), SomeIdentity());
  for (size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(ParseAnswerBody(std::string_view(whole).substr(0, size)))
      << size;
  }
}

// Two answers are run together on one connection, or a byte of another's
// payload slips in: the length or the checksum gives it away.
TEST(AnswerBody, LongerOrAlteredIsRefused)
{
  std::string body = MakeAnswerBody(SomeIdentity(), 100);
  EXPECT_FALSE(ParseAnswerBody(body + "x"));
  body.back() ^= 1;
  EXPECT_FALSE(ParseAnswerBody(body));
}

} // namespace
} // namespace rattandyke::upstream
