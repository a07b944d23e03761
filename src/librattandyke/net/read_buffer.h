/// Size limit of the read buffers of HTTP connections.
#pragma once

#include <cstddef>
#include <cstdint>

namespace rattandyke::net {

/// Bytes that a buffer may hold beyond the longest head. They also limit what a
/// parser has to see as a whole behind the head: the size line of a chunk with
/// its extensions, and the trailers.
constexpr size_t kReadAheadBytes = size_t{ 16 } * 1024;

/// A parser looks for the end of what it reads in all that has arrived. Without
/// a limit, a peer that never sends the end fills the memory of this host. A
/// read into a full buffer fails with
/// boost::beast::http::error::buffer_overflow.
/// @param aMaxHeadBytes longest head that the parser accepts.
/// @return the limit of the buffer.
constexpr size_t
ReadBufferLimit(uint32_t aMaxHeadBytes)
{
  return aMaxHeadBytes + kReadAheadBytes;
}

} // namespace rattandyke::net
