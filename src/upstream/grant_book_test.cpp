#include "upstream/grant_book.h"

#include <gtest/gtest.h>

namespace rattandyke::upstream {
namespace {

using namespace std::chrono_literals;

constexpr Instant kStart = Instant{} + 1h;

AnnounceAnswer
Granted(uint64_t aVersion, uint64_t aFence)
{
  return { 800ms,
           0ms,
           aVersion,
           std::vector<Grant>{
             SlotGrant{ Slot{ 0 }, Slot{ 9 }, Fence{ aFence } } } };
}

Claim
SomeClaim(uint64_t aFence)
{
  return { "unit-3", Slot{ 4 }, Fence{ aFence } };
}

// The next owner must not begin beside an old run. A run is under way when its
// slot is revoked; the version that revoked it is acknowledged only after the
// run has ended, although runs under the new grants came and went.
TEST(GrantBook, AcknowledgesNothingWhileARevokedRunGoesOn)
{
  GrantBook book;
  book.Apply(Granted(5, 5), kStart);
  const uint64_t old = book.Begin(SomeClaim(5));
  EXPECT_EQ(book.AcknowledgedVersion(), 5);
  book.Apply(Granted(9, 9), kStart);
  book.End(book.Begin(SomeClaim(9)));
  EXPECT_EQ(book.AcknowledgedVersion(), 5);
  book.End(old);
  EXPECT_EQ(book.AcknowledgedVersion(), 9);
}

// A process was paused after it sent an announcement and reads the answer long
// after. The lease counts from when it sent, so what was granted is over, and
// a request that waited in the socket is refused.
TEST(GrantBook, LateAnswerGivesNoLease)
{
  GrantBook book;
  book.Apply(Granted(5, 5), kStart);
  EXPECT_EQ(book.Check(SomeClaim(5), kStart + 799ms), Verdict::Allowed);
  EXPECT_EQ(book.Check(SomeClaim(5), kStart + 800ms), Verdict::LeaseOver);
}

// A request sent under an older grant of the same slot arrives after the slot
// left and came back. Its fence is not the one in force: it is refused.
TEST(GrantBook, OlderFenceOfTheSameSlotIsRefused)
{
  GrantBook book;
  book.Apply(Granted(9, 9), kStart);
  EXPECT_EQ(book.Check(SomeClaim(5), kStart), Verdict::WrongFence);
  EXPECT_EQ(book.Check(SomeClaim(9), kStart), Verdict::Allowed);
}

// Answers of two hosts overtake each other; the older must not bring back a
// grant that the newer one revoked.
TEST(GrantBook, OlderAnswerChangesNothing)
{
  GrantBook book;
  book.Apply(Granted(9, 9), kStart);
  book.Apply(Granted(5, 5), kStart);
  EXPECT_EQ(book.Check(SomeClaim(5), kStart), Verdict::WrongFence);
  EXPECT_EQ(book.AcknowledgedVersion(), 9);
}

// A hot key has an owner of its own. The slot's fence does not open the key,
// and the key's fence does not open the slot's other keys.
TEST(GrantBook, HotKeysGrantGoesBeforeItsSlots)
{
  GrantBook book;
  book.Apply({ 800ms,
               0ms,
               7,
               std::vector<Grant>{
                 SlotGrant{ Slot{ 0 }, Slot{ 9 }, Fence{ 5 } },
                 KeyGrant{ "unit-3", Fence{ 7 } },
               } },
             kStart);
  EXPECT_EQ(book.Check(SomeClaim(5), kStart), Verdict::WrongFence);
  EXPECT_EQ(book.Check(SomeClaim(7), kStart), Verdict::Allowed);
  EXPECT_EQ(book.Check({ "unit-4", Slot{ 4 }, Fence{ 7 } }, kStart),
            Verdict::WrongFence);
}

// One key of a slot goes to another upstream: the host lists it with fence 0. A
// request sent under the slot's fence must not run the key here any more, nor
// does one that names fence 0 itself.
TEST(GrantBook, KeyTakenOutOfItsSlotIsRefused)
{
  GrantBook book;
  book.Apply({ 800ms,
               0ms,
               7,
               std::vector<Grant>{
                 SlotGrant{ Slot{ 0 }, Slot{ 9 }, Fence{ 5 } },
                 KeyGrant{ "unit-3", Fence{ 0 } },
               } },
             kStart);
  EXPECT_EQ(book.Check(SomeClaim(5), kStart), Verdict::WrongFence);
  EXPECT_EQ(book.Check(SomeClaim(0), kStart), Verdict::WrongFence);
}

} // namespace
} // namespace rattandyke::upstream
