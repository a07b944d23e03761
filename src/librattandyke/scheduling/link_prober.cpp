#include "scheduling/link_prober.h"

#include <algorithm>
#include <chrono>

namespace rattandyke::scheduling {

namespace {

using std::chrono::milliseconds;

/// Time without an answer after which the control host counts as silent.
/// Answers arrive every kBusyInterval, and while a queue grows as fast as the
/// link carries bytes, twice as slowly. At twice that interval again, the
/// control host has stopped, and the age of the probes says nothing about the
/// link.
constexpr milliseconds kSilence{ 400 };
/// Time for which a measured delay is used: three probes at kBusyInterval.
constexpr milliseconds kSampleLifetime{ 300 };
/// Measured delay from which on the link counts as busy.
constexpr milliseconds kQueuedDelay{ 50 };
/// Window of the lowest round-trip time.
constexpr std::chrono::seconds kBaseWindow{ 30 };
/// Longest rise of the lowest round-trip time from one window to the next. The
/// queue of a link that is overloaded for minutes may never be empty in a
/// window; without this limit, it would become part of the idle round-trip
/// time, and admission would allow it again on top of that.
constexpr milliseconds kMaxBaseRise{ 10 };
/// Bound of the memory for outstanding probes.
constexpr size_t kMaxOutstanding = 16;

} // namespace

void
LinkProber::Restart(std::optional<uint64_t> aConnection)
{
  mConnection = aConnection;
  mEnded.unanswered += mOutstanding.size();
  mOutstanding.clear();
  mBase.reset();
  mSample = {};
}

bool
LinkProber::WasPaused(Instant aNow) const
{
  return aNow - mTickedAt > kMaxTickGap;
}

void
LinkProber::InvalidateAfterPause(Instant aNow)
{
  if (WasPaused(aNow)) {
    mEnded.invalidated += mOutstanding.size();
    mOutstanding.clear();
  }
}

bool
LinkProber::IsSilent(Instant aNow) const
{
  return !mOutstanding.empty() &&
         aNow - std::max(mAnsweredAt, mOutstanding.front().sentAt) >
           Duration(kSilence);
}

std::optional<uint64_t>
LinkProber::Tick(const Conditions& aConditions, Instant aNow)
{
  if (aConditions.connection != mConnection) {
    Restart(aConditions.connection);
  }
  InvalidateAfterPause(aNow);
  mTickedAt = aNow;
  const bool busy =
    aConditions.busy || ReceiveDelay(aNow) >= Duration(kQueuedDelay);
  const Duration interval =
    busy && !IsSilent(aNow) ? kBusyInterval : kIdleInterval;
  if (!mConnection || aNow - mSentAt < interval) {
    return std::nullopt;
  }
  if (mOutstanding.size() == kMaxOutstanding) {
    mOutstanding.pop_front();
    ++mEnded.unanswered;
  }
  mSentAt = aNow;
  mOutstanding.push_back({ ++mLastId, aNow, aConditions.sendDelay });
  return mLastId;
}

void
LinkProber::OnReply(uint64_t aId, Instant aNow)
{
  // After a pause, answers may be read before the next tick.
  InvalidateAfterPause(aNow);
  while (!mOutstanding.empty() && mOutstanding.front().id < aId) {
    mOutstanding.pop_front();
    ++mEnded.unanswered;
  }
  if (mOutstanding.empty() || mOutstanding.front().id != aId) {
    return;
  }
  const Probe probe = mOutstanding.front();
  mOutstanding.pop_front();
  ++mEnded.answered;
  const Duration roundTrip = aNow - probe.sentAt;
  UpdateBase(roundTrip, aNow);
  mSample = QueueingPart(roundTrip, probe.sendDelay);
  mAnsweredAt = aNow;
}

void
LinkProber::UpdateBase(Duration aRoundTrip, Instant aNow)
{
  if (!mBase) {
    mBase = aRoundTrip;
    mWindowLowest = aRoundTrip;
    mWindowStart = aNow;
  } else if (aNow - mWindowStart >= Duration(kBaseWindow)) {
    mBase = std::min(mWindowLowest, *mBase + Duration(kMaxBaseRise));
    mWindowLowest = aRoundTrip;
    mWindowStart = aNow;
  }
  mWindowLowest = std::min(mWindowLowest, aRoundTrip);
  mBase = std::min(*mBase, aRoundTrip);
}

Duration
LinkProber::QueueingPart(Duration aRoundTrip, Duration aSendDelay) const
{
  return std::max(aRoundTrip - *mBase - aSendDelay, Duration::zero());
}

Duration
LinkProber::ReceiveDelay(Instant aNow) const
{
  if (!mBase) {
    return Duration::zero();
  }
  const bool current = aNow - mAnsweredAt <= Duration(kSampleLifetime);
  const Duration sample = current ? mSample : Duration::zero();
  if (mOutstanding.empty() || WasPaused(aNow) || IsSilent(aNow)) {
    return sample;
  }
  const Probe& oldest = mOutstanding.front();
  return std::max(sample, QueueingPart(aNow - oldest.sentAt, oldest.sendDelay));
}

} // namespace rattandyke::scheduling
