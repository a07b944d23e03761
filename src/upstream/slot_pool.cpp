#include "upstream/slot_pool.h"

#include "upstream/asio_names.h"

namespace rattandyke::upstream {

SlotPool::SlotPool(asio::any_io_executor aExecutor,
                   uint32_t aSlots,
                   uint32_t aQueue)
  : mExecutor(std::move(aExecutor))
  , mFree(aSlots)
  , mQueue(aQueue)
{
}

asio::awaitable<bool>
SlotPool::Acquire()
{
  if (mFree > 0) {
    --mFree;
    co_return true;
  }
  if (mWaiting.size() >= mQueue) {
    co_return false;
  }
  Waiter waiter{ asio::steady_timer(mExecutor,
                                    asio::steady_timer::time_point::max()) };
  mWaiting.push_back(&waiter);
  while (!waiter.hasSlot) {
    co_await waiter.timer.async_wait(kNoThrow);
  }
  co_return true;
}

void
SlotPool::Release()
{
  if (mWaiting.empty()) {
    ++mFree;
    return;
  }
  Waiter* const next = mWaiting.front();
  mWaiting.pop_front();
  next->hasSlot = true;
  next->timer.cancel();
}

} // namespace rattandyke::upstream
