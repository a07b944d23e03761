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
  boost::system::error_code ignored; // Reads then wait, as they would anyway.
  mSocket.non_blocking(true, ignored);
  ReadMore();
}

/// Safeguard: a host has a connection to and from nearly every other one, and
/// most of them say nothing for seconds. With a buffer of its own in each read
/// that is under way each takes 17 KB, and an entry among 295 has some 590 of
/// them: most of its memory, which grew with the fleet. So a connection waits
/// without one, and reads into a buffer that all share; it keeps only parts of
/// messages, and takes less than 4 KB while it is silent.
void
FrameConnection::ReadMore()
{
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](auto aError) {
                       if (aError || !self->mOpen || !self->ReadReady()) {
                         self->Close();
                         return;
                       }
                       self->ReadMore();
                     });
}

/// Reads what has come.
/// @return whether the connection goes on.
bool
FrameConnection::ReadReady()
{
  // A host reads on one thread; tests may have several.
  static thread_local std::array<char, kReadBytes> sBuffer;
  boost::system::error_code error;
  const size_t bytes = mSocket.read_some(asio::buffer(sBuffer), error);
  if (error == asio::error::would_block) {
    return true; // What woke this up has been read before.
  }
  if (error) {
    return false;
  }
  mReceived.append(sBuffer.data(), bytes);
  if (mHandlers.progress) {
    mHandlers.progress();
  }
  return TakeFrames();
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
  if (mReceived.empty()) {
    mReceived.shrink_to_fit();
  }
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
                      std::string().swap(self->mBeingWritten);
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
