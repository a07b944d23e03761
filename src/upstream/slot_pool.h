/// The stand-in upstream's slots and the queue in front of them.
#pragma once

#include <deque>

#include <boost/asio.hpp>

namespace rattandyke::upstream {

/// Hands out slots in the order in which they were asked for. Used on one
/// thread.
class SlotPool
{
public:
  /// @param aSlots runs at once.
  /// @param aQueue requests that may wait.
  SlotPool(boost::asio::any_io_executor aExecutor,
           uint32_t aSlots,
           uint32_t aQueue);

  /// Waits for a slot. @return false at once if too many wait already.
  boost::asio::awaitable<bool> Acquire();
  void Release();

  size_t Waiting() const { return mWaiting.size(); }

private:
  struct Waiter
  {
    boost::asio::steady_timer timer;
    bool hasSlot = false;
  };

  boost::asio::any_io_executor mExecutor;
  uint32_t mFree;
  uint32_t mQueue;
  std::deque<Waiter*> mWaiting;
};

} // namespace rattandyke::upstream
