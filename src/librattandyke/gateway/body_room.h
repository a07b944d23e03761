/// Room in the memory budget for a body that arrives.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "base/memory_budget.h"

namespace rattandyke::gateway {

/// Reserves room for one body while it is read. A body of declared length gets
/// room for all of it before its first byte is read. One without gets it in
/// parts, each of them three times as large as all before, or less near the
/// limit of the budget. Runs on one executor that runs one handler at a time.
class BodyRoom
{
public:
  /// @param aBudget and @param aClock outlive this object.
  /// @param aMaxWait time for all waits for room together.
  BodyRoom(const boost::asio::any_io_executor& aExecutor,
           MemoryBudget& aBudget,
           MemoryBudget::Use aUse,
           Duration aMaxWait,
           const Clock& aClock);

  /// Reserves the first room, and waits for it if there is none.
  /// @param aLength the declared length, if there is one.
  /// @return whether there is room.
  boost::asio::awaitable<bool> Open(std::optional<uint64_t> aLength);

  /// Makes room for more bytes of a body without declared length.
  /// @param aBytes size of the body with these bytes.
  /// @return whether there is room.
  boost::asio::awaitable<bool> Extend(size_t aBytes);

  /// @return the bytes that there is room for.
  size_t Bytes() const { return mReservation.Bytes(); }

  /// @return whether the last bytes could have no room, even if no other body
  /// were held.
  bool CanNeverFit() const { return mCanNeverFit; }

  /// Ends a wait for room: there is none.
  void GiveUp();

  /// Ends the reading.
  /// @param aBytes size of the body.
  /// @return the room that the body keeps.
  MemoryBudget::Reservation Take(size_t aBytes);

private:
  bool CanGrowBy(size_t aBytes) const;
  boost::asio::awaitable<bool> Reserve(size_t aBytes);

  MemoryBudget& mBudget;
  const MemoryBudget::Use mUse;
  const Clock& mClock;
  Duration mWaitLeft;
  MemoryBudget::Reservation mReservation;
  boost::asio::steady_timer mTimer;
  bool mGivenUp = false;
  bool mCanNeverFit = false;
};

} // namespace rattandyke::gateway
