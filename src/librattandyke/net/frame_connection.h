/// Messages over one TCP connection.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include <rattandyke/types.h>

namespace rattandyke::net {

/// Sends and receives byte strings, each with its length in front. All methods
/// are called on the socket's executor, which runs one handler at a time.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
  struct Handlers
  {
    /// A message arrived whole.
    std::function<void(std::string_view)> received;
    /// The connection is over, for whatever reason; called once.
    std::function<void()> closed;
    /// Bytes arrived, a whole message or a part of one. May be empty.
    std::function<void()> progress;
  };

  explicit FrameConnection(boost::asio::ip::tcp::socket aSocket);

  /// Begins to read.
  void Start(Handlers aHandlers);

  /// Queues a message. A peer that does not read is cut off once
  /// kMaxQueuedBytes wait for it.
  void Send(std::string_view aMessage);

  /// Ends the connection; what is queued is dropped.
  void Close();

  bool IsOpen() const { return mOpen; }

  static constexpr size_t kMaxMessageBytes = size_t{ 16 } * 1024 * 1024;
  static constexpr size_t kMaxQueuedBytes = size_t{ 32 } * 1024 * 1024;

private:
  void ReadMore();
  bool ReadReady();
  bool TakeFrames();
  void WriteMore();

  boost::asio::ip::tcp::socket mSocket;
  Handlers mHandlers;
  bool mOpen = true;
  bool mWriting = false;
  std::string mReceived;
  std::string mQueued;
  std::string mBeingWritten;
};

/// Time after which a connection on which bytes stay unacknowledged is given
/// up. A connection may fall silent for good without a reset; nothing else
/// would show it. Longer than a few retransmissions over 3 ms links, shorter
/// than a second in which upstreams and operators wait for an answer.
inline constexpr std::chrono::milliseconds kUnacknowledgedTimeout{ 800 };

/// Sets what every connection needs: no delay of small messages, and an end if
/// what was sent stays unacknowledged.
void LimitUnacknowledged(boost::asio::ip::tcp::socket& aSocket,
                         std::chrono::milliseconds aUnacknowledged);

/// Sets what every connection between hosts needs: no delay of small messages,
/// and an end to silence.
void TuneSocket(boost::asio::ip::tcp::socket& aSocket,
                std::chrono::milliseconds aUnacknowledged);

} // namespace rattandyke::net
