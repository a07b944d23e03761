#include "gateway/heartbeat_queue.h"

#include <utility>

namespace rattandyke::gateway {

bool
HeartbeatQueue::Add(Waiting aWaiting)
{
  if (mWaiting.size() >= kMostWaiting) {
    return false;
  }
  mWaiting.push_back(std::move(aWaiting));
  return true;
}

HeartbeatQueue::Slice
HeartbeatQueue::Take(Instant aNow)
{
  Slice slice;
  while (!mWaiting.empty() &&
         slice.decide.size() + slice.refuse.size() < kSlice) {
    Waiting& first = mWaiting.front();
    auto& to =
      aNow - first.arrived < kLongestWait ? slice.decide : slice.refuse;
    to.push_back(std::move(first));
    mWaiting.pop_front();
  }
  return slice;
}

} // namespace rattandyke::gateway
