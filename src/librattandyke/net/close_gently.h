/// Closes a connection whose last response must not be lost.
#pragma once

#include <array>
#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace rattandyke::net {

/// Shuts the sending side down and discards what the peer still sends, for a
/// limited time. A connection that is closed with unread input is reset, and
/// the response may be lost.
inline boost::asio::awaitable<void>
CloseGently(boost::beast::tcp_stream& aStream)
{
  constexpr std::chrono::milliseconds kMaxDiscardTime{ 1000 };
  constexpr size_t kDiscardBufferBytes = 4096;
  boost::system::error_code error;
  aStream.socket().shutdown(boost::asio::socket_base::shutdown_send, error);
  aStream.expires_after(kMaxDiscardTime);
  const auto until = std::chrono::steady_clock::now() + kMaxDiscardTime;
  std::array<char, kDiscardBufferBytes> discarded{};
  // The stream's timeout ends only a read that waits. Input that is always
  // there would keep this host busy for as long as it comes.
  while (!error && std::chrono::steady_clock::now() < until) {
    const auto [readError, read] = co_await aStream.async_read_some(
      boost::asio::buffer(discarded),
      boost::asio::as_tuple(boost::asio::use_awaitable));
    error = readError;
  }
}

} // namespace rattandyke::net
