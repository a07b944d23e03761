#include "gateway/outgoing_frame.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "testing/large_change.h"

namespace rattandyke::gateway {
namespace {

wire::GatewayFrame
FrameOf(size_t aRoutes)
{
  wire::GatewayFrame frame;
  *frame.mutable_feed_command()->mutable_command()->mutable_change_items() =
    testing::LargeChange(aRoutes);
  return frame;
}

std::optional<wire::GatewayFrame>
Unpacked(const std::string& aBytes)
{
  wire::GatewayFrame outer;
  EXPECT_TRUE(outer.ParseFromString(aBytes));
  EXPECT_TRUE(outer.has_packed());
  return DecompressFrame(outer.packed());
}

TEST(PackedFrameTest, LongFrameComesBackAsItWas)
{
  const wire::GatewayFrame frame = FrameOf(1400);
  OutgoingFrame outgoing(frame);
  const auto back = Unpacked(outgoing.Compressed());
  ASSERT_TRUE(back);
  EXPECT_EQ(back->SerializeAsString(), outgoing.Plain());
}

// A host with a link of 2 Mbit/s answers nobody while a long message comes
// over it. A third of its size is a third of that time.
TEST(PackedFrameTest, RoutesAreAThirdOfTheirSizeOrLess)
{
  OutgoingFrame outgoing(FrameOf(1400));
  EXPECT_LE(outgoing.Compressed().size() * 3, outgoing.Plain().size());
}

TEST(PackedFrameTest, ShortFrameStaysAsItIs)
{
  OutgoingFrame outgoing(FrameOf(3));
  EXPECT_EQ(outgoing.Compressed(), outgoing.Plain());
}

// A packed frame in a packed frame could be made to unfold without end.
TEST(PackedFrameTest, PackedFrameHoldsNoPackedOne)
{
  OutgoingFrame inner(FrameOf(1400));
  wire::GatewayFrame middle;
  ASSERT_TRUE(middle.ParseFromString(inner.Compressed()));
  OutgoingFrame outer(middle);
  EXPECT_FALSE(Unpacked(outer.Compressed()));
}

RC_GTEST_PROP(PackedFrameTest, DamagedFrameIsNeverReadAsAnother, ())
{
  OutgoingFrame outgoing(FrameOf(60));
  wire::GatewayFrame outer;
  RC_ASSERT(outer.ParseFromString(outgoing.Compressed()));
  wire::PackedFrame& packed = *outer.mutable_packed();
  const auto at = *rc::gen::inRange<size_t>(0, packed.bytes().size());
  if (*rc::gen::arbitrary<bool>()) {
    packed.mutable_bytes()->resize(at);
  } else if (*rc::gen::arbitrary<bool>()) {
    packed.set_size(static_cast<uint32_t>(at));
  } else {
    (*packed.mutable_bytes())[at] ^= *rc::gen::inRange(1, 0x100);
  }
  const auto read = DecompressFrame(packed);
  const bool same = read && read->SerializeAsString() == outgoing.Plain();
  RC_ASSERT(same || !read.has_value());
}

} // namespace
} // namespace rattandyke::gateway
