#include "gateway/heartbeat_queue.h"

#include <utility>

namespace rattandyke::gateway {

bool
HeartbeatQueue::Add(Pending aWaiting)
{
  if (mWaiting.size() >= kCapacity) {
    return false;
  }
  mWaiting.push_back(std::move(aWaiting));
  return true;
}

HeartbeatQueue::Batch
HeartbeatQueue::TakeBatch(Instant aNow)
{
  Batch slice;
  while (!mWaiting.empty() &&
         slice.toProcess.size() + slice.toReject.size() < kBatchSize) {
    Pending& first = mWaiting.front();
    auto& to =
      aNow - first.arrived < kMaxWait ? slice.toProcess : slice.toReject;
    to.push_back(std::move(first));
    mWaiting.pop_front();
  }
  return slice;
}

} // namespace rattandyke::gateway
