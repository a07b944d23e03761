/// Long messages between hosts, compressed.
#pragma once

#include <optional>
#include <string>

#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// A frame as it is sent to one or many, also compressed for those who read
/// that. Compressed once, and only if it is asked for.
///
/// Safeguard: 1,400 routes are 100 KB, which keep the link of 2 Mbit/s of a
/// small entry host busy for 0.4 s. Requests and answers wait behind them and
/// come late. Names and paths compress to a fifth, so that the link is busy for
/// 0.07 s (measured at 70 hosts), at a cost of 2 ms of a core for each frame at
/// the sender and 0.5 ms at the receiver.
class OutgoingFrame
{
public:
  explicit OutgoingFrame(const wire::GatewayFrame& aFrame)
    : mPlain(aFrame.SerializeAsString())
  {
  }

  /// @return the frame, serialized.
  const std::string& Plain() const { return mPlain; }

  /// @return a frame that holds this one compressed, or this one if it is too
  /// short for that.
  const std::string& Compressed();

private:
  std::string mPlain;
  std::string mPacked;
};

/// @return the frame in it; nothing if it can't be read, holds a packed frame
/// again or is longer than any frame may be.
std::optional<wire::GatewayFrame> DecompressFrame(
  const wire::PackedFrame& aPacked);

} // namespace rattandyke::gateway
