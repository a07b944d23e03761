#include "gateway/heartbeat_queue.h"

#include <utility>

namespace rattandyke::gateway {

bool
HeartbeatQueue::Add(Pending aPending)
{
  if (mPending.size() >= kCapacity) {
    return false;
  }
  mPending.push_back(std::move(aPending));
  return true;
}

HeartbeatQueue::Batch
HeartbeatQueue::TakeBatch(Instant aNow)
{
  Batch batch;
  while (!mPending.empty() &&
         batch.toProcess.size() + batch.toReject.size() < kBatchSize) {
    Pending& first = mPending.front();
    auto& to =
      aNow - first.receivedAt < kMaxWait ? batch.toProcess : batch.toReject;
    to.push_back(std::move(first));
    mPending.pop_front();
  }
  return batch;
}

} // namespace rattandyke::gateway
