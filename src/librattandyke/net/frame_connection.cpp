#include "net/frame_connection.h"

#include <array>

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace rattandyke::net {

namespace {

namespace asio = boost::asio;

constexpr size_t kHeaderBytes = 4;
constexpr size_t kReadBytes = size_t{ 16 } * 1024;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xff;
/// A connection that only receives shows its loss by keep-alive probes.
constexpr int kKeepAliveIdleSeconds = 5;
/// Where the end to unacknowledged bytes is shorter than the silence before the
/// first probe, one that is not answered within this time ends the connection:
/// Linux counts probes only where no such end is set.
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void
AppendHeader(std::string& aTo, size_t aSize)
{
  for (size_t i = 0; i < kHeaderBytes; ++i) {
    aTo += static_cast<char>((aSize >> (kBitsPerByte * i)) & kByteMask);
  }
}

void
SetTcpOption(asio::ip::tcp::socket& aSocket, int aOption, int aValue)
{
  setsockopt(
    aSocket.native_handle(), IPPROTO_TCP, aOption, &aValue, sizeof(aValue));
}

size_t
ReadHeader(std::string_view aBytes)
{
  size_t size = 0;
  for (size_t i = 0; i < kHeaderBytes; ++i) {
    size |= static_cast<size_t>(static_cast<unsigned char>(aBytes[i]))
            << (kBitsPerByte * i);
  }
  return size;
}

} // namespace

void
LimitUnacknowledged(asio::ip::tcp::socket& aSocket,
                    std::chrono::milliseconds aUnacknowledged)
{
  boost::system::error_code ignored; // A socket without options still works.
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  SetTcpOption(
    aSocket, TCP_USER_TIMEOUT, static_cast<int>(aUnacknowledged.count()));
}

void
TuneSocket(asio::ip::tcp::socket& aSocket,
           std::chrono::milliseconds aUnacknowledged)
{
  LimitUnacknowledged(aSocket, aUnacknowledged);
  boost::system::error_code ignored; // A socket without options still works.
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetTcpOption(aSocket, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetTcpOption(aSocket, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetTcpOption(aSocket, TCP_KEEPCNT, kKeepAliveProbes);
}

FrameConnection::FrameConnection(asio::ip::tcp::socket aSocket)
  : mSocket(std::move(aSocket))
{
}

void
FrameConnection::Start(Handlers aHandlers)
{
  mHandlers = std::move(aHandlers);
  ReadMore();
}

void
FrameConnection::ReadMore()
{
  const size_t before = mReceived.size();
  mReceived.resize(before + kReadBytes);
  mSocket.async_read_some(
    asio::buffer(mReceived.data() + before, kReadBytes),
    [self = shared_from_this(), before](auto aError, size_t aBytes) {
      self->mReceived.resize(before + aBytes);
      if (!aError && self->mOpen && self->mHandlers.progress) {
        self->mHandlers.progress();
      }
      if (aError || !self->mOpen || !self->TakeFrames()) {
        self->Close();
        return;
      }
      if (self->mReceived.empty() && self->mReceived.capacity() > kReadBytes) {
        self->mReceived.shrink_to_fit();
      }
      self->ReadMore();
    });
}

bool
FrameConnection::TakeFrames()
{
  size_t at = 0;
  while (mReceived.size() - at >= kHeaderBytes) {
    const size_t size = ReadHeader(std::string_view(mReceived).substr(at));
    if (size > kMaxMessageBytes) {
      return false;
    }
    if (mReceived.size() - at - kHeaderBytes < size) {
      break;
    }
    mHandlers.received(
      std::string_view(mReceived).substr(at + kHeaderBytes, size));
    if (!mOpen) {
      return false;
    }
    at += kHeaderBytes + size;
  }
  mReceived.erase(0, at);
  return true;
}

void
FrameConnection::Send(std::string_view aMessage)
{
  if (!mOpen) {
    return;
  }
  if (mQueued.size() + aMessage.size() > kMaxQueuedBytes) {
    Close();
    return;
  }
  AppendHeader(mQueued, aMessage.size());
  mQueued += aMessage;
  if (!mWriting) {
    WriteMore();
  }
}

void
FrameConnection::WriteMore()
{
  mWriting = true;
  mBeingWritten = std::move(mQueued);
  mQueued.clear();
  asio::async_write(mSocket,
                    asio::buffer(mBeingWritten),
                    [self = shared_from_this()](auto aError, size_t) {
                      self->mWriting = false;
                      if (aError) {
                        self->Close();
                      } else if (self->mOpen && !self->mQueued.empty()) {
                        self->WriteMore();
                      }
                    });
}

void
FrameConnection::Close()
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  boost::system::error_code ignored; // It is over either way.
  mSocket.close(ignored);
  if (mHandlers.closed) {
    mHandlers.closed();
  }
}

} // namespace rattandyke::net
