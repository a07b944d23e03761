#include "gateway/crash_watch.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Heartbeat intervals after which a silent upstream counts as crashed.
constexpr int kSilentIntervals = 2;
/// Delay of a heartbeat that is not late.
constexpr milliseconds kUsualTransit{ 500 };
/// Time after which a result that is not in the state is proposed again.
constexpr milliseconds kProposeAgain{ 1000 };
/// Reports in one command; it has about 50 KB then.
constexpr int kMaxReports = 400;

} // namespace

CrashWatch::CrashWatch(Duration aHeartbeatInterval)
  : mSilence(aHeartbeatInterval * kSilentIntervals + Duration(kUsualTransit))
{
}

void
CrashWatch::Add(const wire::CrashReports& aReports, Instant aNow)
{
  for (const wire::InterruptedRequest& request : aReports.interrupted()) {
    if (mInterrupted.size() < kMaxReports) {
      mInterrupted.push_back({ request, aNow });
    }
  }
  for (const std::string& fingerprint : aReports.answered()) {
    if (mPending.answered_size() < kMaxReports) {
      mPending.add_answered(fingerprint);
    }
  }
  for (const wire::UpstreamProcess& process : aReports.alive()) {
    if (mAlive.size() < kMaxReports) {
      mAlive.insert({ process.instance(), process.life() });
    }
  }
}

/// What entry hosts tell is of processes that they have from the state, so they
/// are observed unless that has changed.
void
CrashWatch::TakeAlive()
{
  for (const UpstreamProcessId& process : std::exchange(mAlive, {})) {
    const auto found = mObserved.find(process);
    if (found != mObserved.end()) {
      found->second.alive = true;
    }
  }
}

void
CrashWatch::Lift(const std::string& aFingerprint)
{
  mPending.add_lifted(aFingerprint);
}

void
CrashWatch::OnHeartbeat(const UpstreamProcessId& aProcess,
                        uint64_t aSequence,
                        Instant aNow)
{
  const auto found = mObserved.find(aProcess);
  if (found == mObserved.end() || aSequence <= found->second.sequence) {
    return;
  }
  Observation& observation = found->second;
  observation.sequence = aSequence;
  observation.heardAt = aNow;
  observation.alive |= aNow - observation.since >= Duration(kMaxTransit);
}

void
CrashWatch::OnLeaving(const UpstreamProcessId& aProcess)
{
  const auto found = mObserved.find(aProcess);
  if (found != mObserved.end()) {
    found->second.alive = true;
  }
}

void
CrashWatch::OnElected()
{
  mObserved.clear();
  mPending.Clear();
  mInterrupted.clear();
  mAlive.clear();
}

void
CrashWatch::Observe(const State& aState, Instant aNow)
{
  std::map<UpstreamProcessId, Observation> observed;
  for (const UpstreamProcessId& process : aState.Crashes().Unconfirmed()) {
    const auto known = mObserved.find(process);
    observed[process] =
      known == mObserved.end() ? Observation{ aNow, aNow } : known->second;
  }
  mObserved = std::move(observed);
}

/// Adds the time for which reports have waited here to the times that they
/// tell.
void
CrashWatch::TakeInterrupted(wire::RecordCrashes& aRecord, Instant aNow)
{
  for (Reported& reported : std::exchange(mInterrupted, {})) {
    const auto waited = static_cast<uint32_t>(
      std::chrono::duration_cast<milliseconds>(aNow - reported.arrivedAt)
        .count());
    wire::InterruptedRequest& request = *aRecord.add_interrupted();
    request = std::move(reported.request);
    request.set_sent_ms_ago(request.sent_ms_ago() + waited);
    request.set_ended_ms_ago(request.ended_ms_ago() + waited);
  }
}

std::optional<wire::RecordCrashes>
CrashWatch::Take(const State& aState, Instant aNow, WallTime aTime)
{
  if (!mObserved.empty() || !aState.Crashes().IsEmpty()) {
    Observe(aState, aNow);
  }
  TakeAlive();
  wire::RecordCrashes record = std::exchange(mPending, {});
  TakeInterrupted(record, aNow);
  std::set<std::string> answered(record.answered().begin(),
                                 record.answered().end());
  record.clear_answered();
  for (const std::string& fingerprint : answered) {
    if (aState.Crashes().Contains(fingerprint)) {
      record.add_answered(fingerprint);
    }
  }
  for (auto& [process, observation] : mObserved) {
    const bool silent = aNow - observation.heardAt >= mSilence;
    const bool due = !observation.proposedAt ||
                     aNow - *observation.proposedAt >= Duration(kProposeAgain);
    if (due && (observation.alive || silent)) {
      observation.proposedAt = aNow;
      wire::UpstreamProcess* result =
        observation.alive ? record.add_alive() : record.add_ended();
      result->set_instance(process.instance);
      result->set_life(process.incarnation);
    }
  }
  const bool isEmpty = record.ByteSizeLong() == 0;
  if (isEmpty) {
    return std::nullopt;
  }
  record.set_told_at_ms(aTime.time_since_epoch().count());
  return record;
}

} // namespace rattandyke::gateway
