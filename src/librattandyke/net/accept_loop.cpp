#include "net/accept_loop.h"

#include "net/listen.h"

namespace rattandyke::net {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// After a failed try to accept. Ten tries a second cost nothing that is felt,
/// and who connects waits in the listener's queue for little longer than the
/// descriptors are short.
constexpr std::chrono::milliseconds kPause{ 100 };

} // namespace

AcceptLoop::AcceptLoop(const boost::asio::any_io_executor& aExecutor,
                       Take aTake)
  : mTake(std::move(aTake))
  , mAcceptor(aExecutor)
  , mPause(aExecutor)
{
}

Result<void>
AcceptLoop::Start(const Endpoint& aListen, std::string_view aFor)
{
  if (const auto open = Listen(mAcceptor, aListen, aFor); !open) {
    return tl::unexpected(open.error());
  }
  Accept();
  return {};
}

void
AcceptLoop::Accept()
{
  mAcceptor.async_accept(
    [self = shared_from_this()](ErrorCode aError, tcp::socket aSocket) {
      if (!self->mAcceptor.is_open()) {
        return;
      }
      if (aError) {
        self->AcceptLater();
        return;
      }
      self->mTake(std::move(aSocket));
      self->Accept();
    });
}

/// Safeguard: without a free descriptor each try to accept fails at once. Tried
/// again without a pause they would take the thread from all else, which is
/// callers' requests too. A pause is enough: the connections wait in the
/// listener's queue.
void
AcceptLoop::AcceptLater()
{
  mPause.expires_after(kPause);
  mPause.async_wait([self = shared_from_this()](ErrorCode aError) {
    if (!aError && self->mAcceptor.is_open()) {
      self->Accept();
    }
  });
}

void
AcceptLoop::Stop()
{
  ErrorCode ignored; // Nothing is accepted any more either way.
  mAcceptor.close(ignored);
  mPause.cancel();
}

} // namespace rattandyke::net
