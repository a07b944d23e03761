#include "gateway/outgoing_frame.h"

#include <zlib.h>

#include "net/frame_connection.h"

namespace rattandyke::gateway {

namespace {

/// Frames shorter than this leave a link of 2 Mbit/s within 8 ms.
constexpr size_t kWorthPacking = 2048;

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

/// @return whether it could be compressed.
bool
Compress(const std::string& aFrame, wire::PackedFrame& aPacked)
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
  if (mPlain.size() < kWorthPacking) {
    return mPlain;
  }
  if (mPacked.empty()) {
    wire::GatewayFrame frame;
    // It fails only for want of memory; the frame as it is serves, too.
    mPacked = Compress(mPlain, *frame.mutable_packed())
                ? frame.SerializeAsString()
                : mPlain;
  }
  return mPacked;
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
  const bool whole =
    error == Z_OK && size == bytes.size() && frame.ParseFromString(bytes);
  if (!whole || frame.has_packed()) {
    return std::nullopt;
  }
  return frame;
}

} // namespace rattandyke::gateway
