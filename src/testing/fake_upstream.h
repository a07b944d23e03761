/// An upstream that does on its connections whatever a test says.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <rattandyke/types.h>

namespace rattandyke::testing {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;

/// One connection, blocking, seen from the upstream.
class UpstreamSide
{
public:
  UpstreamSide(boost::asio::ip::tcp::socket aSocket, size_t aNumber);

  /// @return the next request, or nothing once the entry closed.
  std::optional<HttpRequest> Read();
  /// Reads a request without keeping its body. @return the body's bytes.
  uint64_t DrainBody();
  /// @return false if the entry has closed.
  bool Write(std::string_view aBytes);
  /// Blocks until the entry has closed the connection.
  void AwaitClose();
  void Reset();

  /// Connections are numbered from 0 in the order of their arrival.
  size_t Number() const { return mNumber; }

private:
  friend class FakeUpstream;
  boost::asio::ip::tcp::socket mSocket;
  boost::beast::flat_buffer mBuffer;
  size_t mNumber;
};

/// Listens on a port of the kernel's choice; each connection gets a thread that
/// runs the handler and closes the connection when it returns.
class FakeUpstream
{
public:
  using Handler = std::function<void(UpstreamSide&)>;

  explicit FakeUpstream(Handler aHandler);
  /// Shuts every connection down and joins the threads.
  ~FakeUpstream();

  Endpoint Address() const;
  size_t Connections() const { return mCount; }

private:
  void Run();

  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  Handler mHandler;
  std::atomic<size_t> mCount{ 0 };
  std::atomic<bool> mStopping{ false };
  std::mutex mMutex;
  std::vector<std::shared_ptr<UpstreamSide>> mSides;
  std::vector<std::thread> mThreads;
  std::thread mAcceptThread;
};

/// @return an answer with a Content-Length.
std::string AnswerText(std::string_view aBody, std::string_view aHeaders = {});

/// Answers each request with its own method, target and body.
void EchoIdentity(UpstreamSide& aSide);

} // namespace rattandyke::testing
