#include "gateway/outgoing_frame.h"

#include <zlib.h>

#include "net/frame_connection.h"

namespace rattandyke::gateway {

namespace {

/// Frames shorter than this, in bytes, are not compressed: a link of 2 Mbit/s
/// sends them within 8 ms.
constexpr size_t kMinCompressedSize = 2048;

const Bytef*
BytesOf(const std::string& aText)
{
  return reinterpret_cast<const Bytef*>(aText.data());
}

Bytef*
BytesOf(std::string& aText)
{
  return reinterpret_cast<Bytef*>(aText.data());
}

/// Compresses a serialized frame.
/// @return whether it succeeded.
bool
CompressInto(const std::string& aFrame, wire::PackedFrame& aPacked)
{
  uLongf size = compressBound(aFrame.size());
  std::string bytes(size, '\0');
  const int error =
    compress(BytesOf(bytes), &size, BytesOf(aFrame), aFrame.size());
  bytes.resize(size);
  aPacked.set_size(static_cast<uint32_t>(aFrame.size()));
  aPacked.set_bytes(std::move(bytes));
  return error == Z_OK;
}

} // namespace

const std::string&
OutgoingFrame::Compressed()
{
  if (mSerialized.size() < kMinCompressedSize) {
    return mSerialized;
  }
  if (mCompressed.empty()) {
    wire::GatewayFrame frame;
    // compress() fails only if memory runs out; the frame is then sent as it
    // is.
    mCompressed = CompressInto(mSerialized, *frame.mutable_packed())
                    ? frame.SerializeAsString()
                    : mSerialized;
  }
  return mCompressed;
}

std::optional<wire::GatewayFrame>
DecompressFrame(const wire::PackedFrame& aPacked)
{
  if (aPacked.size() > net::FrameConnection::kMaxMessageBytes) {
    return std::nullopt;
  }
  std::string bytes(aPacked.size(), '\0');
  uLongf size = bytes.size();
  const int error = uncompress(
    BytesOf(bytes), &size, BytesOf(aPacked.bytes()), aPacked.bytes().size());
  wire::GatewayFrame frame;
  const bool valid =
    error == Z_OK && size == bytes.size() && frame.ParseFromString(bytes);
  if (!valid || frame.has_packed()) {
    return std::nullopt;
  }
  return frame;
}

} // namespace rattandyke::gateway
