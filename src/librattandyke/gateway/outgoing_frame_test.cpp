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
Decompress(const std::string& aBytes)
{
  wire::GatewayFrame outer;
  EXPECT_TRUE(outer.ParseFromString(aBytes));
  EXPECT_TRUE(outer.has_packed());
  return DecompressFrame(outer.packed());
}

TEST(OutgoingFrameTest, LongFrameSurvivesARoundTrip)
{
  const wire::GatewayFrame frame = FrameOf(1400);
  OutgoingFrame outgoing(frame);
  const auto decompressed = Decompress(outgoing.Compressed());
  ASSERT_TRUE(decompressed);
  EXPECT_EQ(decompressed->SerializeAsString(), outgoing.Serialized());
}

// A host with a link of 2 Mbit/s can't serve callers while a long message
// occupies the link. At a third of the size it takes a third of the time.
TEST(OutgoingFrameTest, RoutesShrinkToAThirdOrLess)
{
  OutgoingFrame outgoing(FrameOf(1400));
  EXPECT_LE(outgoing.Compressed().size() * 3, outgoing.Serialized().size());
}

TEST(OutgoingFrameTest, ShortFrameIsNotCompressed)
{
  OutgoingFrame outgoing(FrameOf(3));
  EXPECT_EQ(outgoing.Compressed(), outgoing.Serialized());
}

// Nested compressed frames could be made to expand without limit.
TEST(OutgoingFrameTest, NestedCompressedFrameIsRejected)
{
  OutgoingFrame inner(FrameOf(1400));
  wire::GatewayFrame middle;
  ASSERT_TRUE(middle.ParseFromString(inner.Compressed()));
  OutgoingFrame outer(middle);
  EXPECT_FALSE(Decompress(outer.Compressed()));
}

RC_GTEST_PROP(OutgoingFrameTest, CorruptFrameIsNeverReadAsAnother, ())
{
  OutgoingFrame outgoing(FrameOf(60));
  wire::GatewayFrame outer;
  RC_ASSERT(outer.ParseFromString(outgoing.Compressed()));
  wire::PackedFrame& packed = *outer.mutable_packed();
  const auto position = *rc::gen::inRange<size_t>(0, packed.bytes().size());
  if (*rc::gen::arbitrary<bool>()) {
    packed.mutable_bytes()->resize(position);
  } else if (*rc::gen::arbitrary<bool>()) {
    packed.set_size(static_cast<uint32_t>(position));
  } else {
    (*packed.mutable_bytes())[position] ^= *rc::gen::inRange(1, 0x100);
  }
  const auto decompressed = DecompressFrame(packed);
  const bool same =
    decompressed && decompressed->SerializeAsString() == outgoing.Serialized();
  RC_ASSERT(same || !decompressed.has_value());
}

} // namespace
} // namespace rattandyke::gateway
