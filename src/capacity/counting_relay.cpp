#include "capacity/counting_relay.h"

#include <array>
#include <atomic>
#include <thread>

#include <boost/asio.hpp>

namespace rattandyke::capacity {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr size_t kBufferBytes = 65536;

struct Counts
{
  std::atomic<uint64_t> bytes{ 0 };
  std::atomic<uint64_t> segments{ 0 };
};

/// Copies one direction of a connection until either side ends.
class Pump : public std::enable_shared_from_this<Pump>
{
public:
  Pump(std::shared_ptr<tcp::socket> aFrom,
       std::shared_ptr<tcp::socket> aTo,
       Counts& aCounts)
    : mFrom(std::move(aFrom))
    , mTo(std::move(aTo))
    , mCounts(aCounts)
  {
  }

  void Read()
  {
    mFrom->async_read_some(
      asio::buffer(mBuffer),
      [self = shared_from_this()](auto aError, size_t aBytes) {
        if (!aError) {
          self->mCounts.bytes += aBytes;
          ++self->mCounts.segments;
          self->Write(aBytes);
        }
      });
  }

private:
  void Write(size_t aBytes)
  {
    asio::async_write(*mTo,
                      asio::buffer(mBuffer, aBytes),
                      [self = shared_from_this()](auto aError, size_t) {
                        if (!aError) {
                          self->Read();
                        }
                      });
  }

  std::shared_ptr<tcp::socket> mFrom;
  std::shared_ptr<tcp::socket> mTo;
  Counts& mCounts;
  std::array<char, kBufferBytes> mBuffer{};
};

} // namespace

struct CountingRelay::Impl
{
  explicit Impl(const Endpoint& aTarget)
    : target(asio::ip::make_address(aTarget.address), aTarget.port)
    , acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
    Accept();
    thread = std::thread([this] { context.run(); });
  }

  ~Impl()
  {
    context.stop();
    thread.join();
  }

  void Accept()
  {
    acceptor.async_accept([this](auto aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      auto caller = std::make_shared<tcp::socket>(std::move(aSocket));
      auto callee = std::make_shared<tcp::socket>(context);
      boost::system::error_code failed;
      callee->connect(target, failed);
      if (!failed) {
        caller->set_option(tcp::no_delay(true));
        callee->set_option(tcp::no_delay(true));
        std::make_shared<Pump>(caller, callee, counts)->Read();
        std::make_shared<Pump>(callee, caller, counts)->Read();
      }
      Accept();
    });
  }

  Counts counts;
  asio::io_context context;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  std::thread thread;
};

CountingRelay::CountingRelay(const Endpoint& aTarget)
  : mImpl(std::make_unique<Impl>(aTarget))
{
}

CountingRelay::~CountingRelay() = default;

Endpoint
CountingRelay::Listening() const
{
  const auto local = mImpl->acceptor.local_endpoint();
  return { local.address().to_string(), local.port() };
}

Traffic
CountingRelay::Total() const
{
  return { mImpl->counts.bytes, mImpl->counts.segments };
}

} // namespace rattandyke::capacity
