#include "gateway/egress_queue.h"

#include <algorithm>
#include <chrono>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Amount of data, as sending time, that is written ahead of the link, so that
/// the link is not idle until a timer expires.
constexpr milliseconds kSendAhead{ 8 };
/// Time after which a late response goes before responses that are in time.
constexpr milliseconds kMaxLateWait{ 250 };
/// Overhead of each write on the link, in bytes.
constexpr size_t kPerWriteOverheadBytes = 60;

} // namespace

EgressQueue::EgressQueue(double aBytesPerSecond)
  : mBytesPerSecond(aBytesPerSecond)
{
}

void
EgressQueue::RecordSent(size_t aBytes, Instant aNow)
{
  if (mBytesPerSecond <= 0) {
    return;
  }
  const std::chrono::duration<double> sendingTime(
    static_cast<double>(aBytes + kPerWriteOverheadBytes) / mBytesPerSecond);
  mLinkFreeAt = std::max(mLinkFreeAt, aNow) +
                std::chrono::duration_cast<Duration>(sendingTime);
}

bool
EgressQueue::CanSend(Instant aNow) const
{
  return mLinkFreeAt <= aNow + Duration(kSendAhead);
}

bool
EgressQueue::Enqueue(Ticket aTicket,
                     size_t aBytes,
                     Instant aSendBy,
                     Instant aNow)
{
  if (IsEmpty() && CanSend(aNow)) {
    RecordSent(aBytes, aNow);
    return true;
  }
  const QueuedResponse response{ aTicket, aBytes, aNow };
  if (aSendBy > aNow) {
    mOnTime.emplace(std::pair(aSendBy, aTicket), response);
  } else {
    mLate.emplace(std::pair(aNow, aTicket), response);
  }
  return false;
}

void
EgressQueue::Remove(Ticket aTicket)
{
  const auto hasTicket = [&](const auto& aItem) {
    return aItem.second.ticket == aTicket;
  };
  std::erase_if(mOnTime, hasTicket);
  std::erase_if(mLate, hasTicket);
}

void
EgressQueue::MoveLate(Instant aNow)
{
  while (!mOnTime.empty() && mOnTime.begin()->first.first <= aNow) {
    const QueuedResponse response = mOnTime.begin()->second;
    mOnTime.erase(mOnTime.begin());
    mLate.emplace(std::pair(response.enqueuedAt, response.ticket), response);
  }
}

EgressQueue::Queue&
EgressQueue::NextQueue(Instant aNow)
{
  const bool lateWaitExceeded =
    !mLate.empty() && aNow - mLate.begin()->first.first >= kMaxLateWait;
  return mOnTime.empty() || lateWaitExceeded ? mLate : mOnTime;
}

std::vector<EgressQueue::Ticket>
EgressQueue::PopReady(Instant aNow)
{
  std::vector<Ticket> ready;
  MoveLate(aNow);
  while (!IsEmpty() && CanSend(aNow)) {
    Queue& queue = NextQueue(aNow);
    const QueuedResponse first = queue.begin()->second;
    queue.erase(queue.begin());
    RecordSent(first.bytes, aNow);
    ready.push_back(first.ticket);
  }
  return ready;
}

Instant
EgressQueue::NextReadyTime() const
{
  return mLinkFreeAt - Duration(kSendAhead);
}

} // namespace rattandyke::gateway
