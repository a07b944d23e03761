#include "gateway/body_room.h"

#include <algorithm>

#include "http/signal.h"

namespace rattandyke::gateway {

namespace {

using http::kAwait;

/// Growth of the room of a body without declared length.
constexpr size_t kGrowth = 4;

} // namespace

BodyRoom::BodyRoom(const boost::asio::any_io_executor& aExecutor,
                   MemoryBudget& aBudget,
                   MemoryBudget::Use aUse,
                   Duration aMaxWait,
                   const Clock& aClock)
  : mBudget(aBudget)
  , mUse(aUse)
  , mClock(aClock)
  , mWaitLeft(aMaxWait)
  , mTimer(aExecutor)
{
}

boost::asio::awaitable<bool>
BodyRoom::Open(std::optional<uint64_t> aLength)
{
  co_return co_await Reserve(
    static_cast<size_t>(aLength.value_or(MemoryBudget::kSmallBytes)));
}

boost::asio::awaitable<bool>
BodyRoom::Extend(size_t aBytes)
{
  while (Bytes() < aBytes) {
    const size_t needed = aBytes - Bytes();
    size_t more =
      std::max(needed, (kGrowth - 1) * std::max<size_t>(Bytes(), 1));
    while (more > needed && !CanGrowBy(more)) {
      more = std::max(needed, more / 2);
    }
    if (!CanGrowBy(more)) {
      mCanNeverFit = true;
      co_return false;
    }
    if (!co_await Reserve(more)) {
      co_return false;
    }
  }
  co_return true;
}

/// While a body is copied to a larger room, both are in use.
bool
BodyRoom::CanGrowBy(size_t aBytes) const
{
  const size_t grown = Bytes() + aBytes;
  return mBudget.CanEverFit(mUse, grown) &&
         (grown <= MemoryBudget::kSmallBytes ||
          Bytes() + grown <= mBudget.Bytes());
}

boost::asio::awaitable<bool>
BodyRoom::Reserve(size_t aBytes)
{
  if (auto reservation = mBudget.TryReserve(mUse, aBytes)) {
    mReservation.Merge(std::move(*reservation));
    co_return true;
  }
  mCanNeverFit = !mBudget.CanEverFit(mUse, Bytes() + aBytes);
  if (mCanNeverFit || mGivenUp || mWaitLeft <= Duration::zero()) {
    co_return false;
  }
  const Instant started = mClock.Now();
  mTimer.expires_after(mWaitLeft);
  const auto ticket = mBudget.Wait(mUse, aBytes, [this] { mTimer.cancel(); });
  auto reservation = ticket->Take();
  if (!reservation) {
    co_await mTimer.async_wait(kAwait);
    reservation = ticket->Take();
  }
  mWaitLeft -= mClock.Now() - started;
  if (!reservation || mGivenUp) {
    co_return false;
  }
  mReservation.Merge(std::move(*reservation));
  co_return true;
}

void
BodyRoom::GiveUp()
{
  mGivenUp = true;
  mTimer.cancel();
}

MemoryBudget::Reservation
BodyRoom::Take(size_t aBytes)
{
  mReservation.ShrinkTo(aBytes);
  return std::move(mReservation);
}

} // namespace rattandyke::gateway
