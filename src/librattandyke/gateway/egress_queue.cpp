#include "gateway/egress_queue.h"

#include <algorithm>
#include <chrono>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Bytes for so long are handed to the kernel ahead, so that the link does not
/// stand idle until a timer has run out.
constexpr milliseconds kAhead{ 8 };
/// Longest time for which a late answer lets others go first.
constexpr milliseconds kLongestLate{ 250 };
/// Bytes that each write costs the link beyond its own.
constexpr size_t kPerWrite = 60;

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
  const std::chrono::duration<double> takes(
    static_cast<double>(aBytes + kPerWrite) / mBytesPerSecond);
  mFreeAt =
    std::max(mFreeAt, aNow) + std::chrono::duration_cast<Duration>(takes);
}

bool
EgressQueue::IsFree(Instant aNow) const
{
  return mFreeAt <= aNow + Duration(kAhead);
}

bool
EgressQueue::Enter(Ticket aTicket, size_t aBytes, Instant aDue, Instant aNow)
{
  if (IsEmpty() && IsFree(aNow)) {
    RecordSent(aBytes, aNow);
    return true;
  }
  const Waiting waiting{ aTicket, aBytes, aNow };
  if (aDue > aNow) {
    mInTime.emplace(std::pair(aDue, aTicket), waiting);
  } else {
    mLate.emplace(std::pair(aNow, aTicket), waiting);
  }
  return false;
}

void
EgressQueue::Leave(Ticket aTicket)
{
  const auto is = [&](const auto& aItem) {
    return aItem.second.ticket == aTicket;
  };
  std::erase_if(mInTime, is);
  std::erase_if(mLate, is);
}

/// What has become late while it waited goes behind those that are not.
void
EgressQueue::MoveLate(Instant aNow)
{
  while (!mInTime.empty() && mInTime.begin()->first.first <= aNow) {
    const Waiting waiting = mInTime.begin()->second;
    mInTime.erase(mInTime.begin());
    mLate.emplace(std::pair(waiting.since, waiting.ticket), waiting);
  }
}

EgressQueue::Queue&
EgressQueue::Next(Instant aNow)
{
  const bool starves =
    !mLate.empty() && aNow - mLate.begin()->first.first >= kLongestLate;
  return mInTime.empty() || starves ? mLate : mInTime;
}

std::vector<EgressQueue::Ticket>
EgressQueue::TakeReady(Instant aNow)
{
  std::vector<Ticket> ready;
  MoveLate(aNow);
  while (!IsEmpty() && IsFree(aNow)) {
    Queue& queue = Next(aNow);
    const Waiting first = queue.begin()->second;
    queue.erase(queue.begin());
    RecordSent(first.bytes, aNow);
    ready.push_back(first.ticket);
  }
  return ready;
}

Instant
EgressQueue::NextAt() const
{
  return mFreeAt - Duration(kAhead);
}

} // namespace rattandyke::gateway
