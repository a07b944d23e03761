/// Reading of a message's body within the memory budget.
#pragma once

#include <cstdint>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "gateway/body_room.h"
#include "net/read_body.h"
#include "net/read_buffer.h"

namespace rattandyke::gateway {

/// The error of a body that there is no room for.
inline boost::system::error_code
NoRoomError()
{
  return make_error_code(boost::system::errc::not_enough_memory);
}

/// The error of a body that is longer than any that there could be room for, or
/// whose framing is.
inline boost::system::error_code
EndlessBodyError()
{
  return make_error_code(boost::system::errc::message_size);
}

/// @return the declared length of a message's body, if there is one.
template<typename Parser>
std::optional<uint64_t>
DeclaredLength(const Parser& aParser)
{
  const auto length = aParser.content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

/// Counts the bytes of a body's framing: size lines of chunks with their
/// extensions.
class FramingCounter
{
public:
  /// @param aBodyBytes of the body that have been read before.
  explicit FramingCounter(size_t aBodyBytes)
    : mBodyBytesBefore(aBodyBytes)
  {
  }

  void Add(size_t aParsedBytes) { mParsedBytes += aParsedBytes; }

  /// @return whether there is more framing than body. A peer that sends such a
  /// body keeps this host busy for a long time before the body is too long.
  bool IsExcessive(size_t aBodyBytes) const
  {
    return mParsedBytes >
           2 * (aBodyBytes - mBodyBytesBefore) + net::kReadAheadBytes;
  }

private:
  const size_t mBodyBytesBefore;
  size_t mParsedBytes = 0;
};

/// Reads the rest of a message whose head has been read, and whose body is a
/// string. May be called again after an error that did not end the stream.
/// @param aRoom BodyRoom::Open() has returned true.
/// @return NoRoomError() if there is no room for a body without declared
/// length, EndlessBodyError() if most of it is framing.
template<typename Stream, typename Parser>
boost::asio::awaitable<boost::system::error_code>
ReadBody(Stream& aStream,
         boost::beast::flat_buffer& aBuffer,
         Parser& aParser,
         BodyRoom& aRoom)
{
  auto& body = aParser.get().body();
  FramingCounter framing(body.size());
  while (!aParser.is_done()) {
    if (!aParser.content_length() && body.size() >= aRoom.Bytes()) {
      if (!co_await aRoom.Extend(body.size() + 1)) {
        co_return NoRoomError();
      }
      body.reserve(aRoom.Bytes());
    }
    size_t parsed = 0;
    const boost::system::error_code error =
      co_await net::ReadBodySome(aStream, aBuffer, aParser, parsed);
    if (error) {
      co_return error;
    }
    framing.Add(parsed);
    if (framing.IsExcessive(body.size())) {
      co_return EndlessBodyError();
    }
  }
  co_return boost::system::error_code{};
}

} // namespace rattandyke::gateway
