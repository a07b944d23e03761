#include "gateway/crash_reporter.h"

#include <algorithm>
#include <utility>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Time after which a further answer to a request is reported. The first report
/// may have been lost.
constexpr milliseconds kReportAgain{ 1000 };

uint32_t
Milliseconds(Duration aTime)
{
  const auto count = std::chrono::duration_cast<milliseconds>(aTime).count();
  return static_cast<uint32_t>(std::max<int64_t>(count, 0));
}

} // namespace

void
CrashReporter::OnInterrupted(const std::string& aService,
                             const UpstreamProcess& aProcess,
                             const std::string& aFingerprint,
                             Instant aSentAt,
                             Instant aEndedAt)
{
  if (mInterrupted.size() < kMaxReports) {
    mInterrupted.push_back(
      { aService, aProcess, aFingerprint, aSentAt, aEndedAt });
  }
}

void
CrashReporter::SetUnconfirmed(const std::vector<UpstreamProcessId>& aProcesses,
                              Instant aNow)
{
  std::map<UpstreamProcessId, Unconfirmed> unconfirmed;
  for (const UpstreamProcessId& process : aProcesses) {
    const auto known = mUnconfirmed.find(process);
    unconfirmed[process] =
      known == mUnconfirmed.end() ? Unconfirmed{ aNow, {} } : known->second;
  }
  mUnconfirmed = std::move(unconfirmed);
}

void
CrashReporter::OnResponse(const UpstreamProcessId& aProcess,
                          Instant aConnectionOpenedAt,
                          Instant aSentAt,
                          Instant aNow)
{
  const auto found = mUnconfirmed.find(aProcess);
  if (found == mUnconfirmed.end()) {
    return;
  }
  Unconfirmed& unconfirmed = found->second;
  const bool isOlder =
    aConnectionOpenedAt != Instant{} &&
    aConnectionOpenedAt + Duration(kMinRestart) <= unconfirmed.knownSince;
  const bool isDue = !unconfirmed.reportedAt ||
                     aNow - *unconfirmed.reportedAt >= Duration(kReportAgain);
  if (isOlder && isDue && aSentAt >= unconfirmed.knownSince) {
    unconfirmed.reportedAt = aNow;
    mAlive.push_back(aProcess);
  }
}

void
CrashReporter::OnAnswered(const std::string& aFingerprint, Instant aNow)
{
  std::erase_if(mAnswerReportedAt, [&](const auto& aItem) {
    return aNow - aItem.second >= Duration(kReportAgain);
  });
  if (mAnswerReportedAt.size() < kMaxReports &&
      mAnswerReportedAt.try_emplace(aFingerprint, aNow).second) {
    mAnswered.push_back(aFingerprint);
  }
}

wire::CrashReports
CrashReporter::Take(
  const std::function<bool(const UpstreamProcess&)>& aIsConnected,
  Instant aNow)
{
  wire::CrashReports reports;
  for (const Interruption& interruption : std::exchange(mInterrupted, {})) {
    if (aIsConnected(interruption.process)) {
      continue;
    }
    wire::InterruptedRequest* message = reports.add_interrupted();
    message->set_instance(interruption.process.instance);
    message->set_life(interruption.process.incarnation);
    message->set_service(interruption.service);
    message->set_fingerprint(interruption.fingerprint);
    message->set_sent_ms_ago(Milliseconds(aNow - interruption.sentAt));
    message->set_ended_ms_ago(Milliseconds(aNow - interruption.endedAt));
  }
  for (std::string& fingerprint : std::exchange(mAnswered, {})) {
    reports.add_answered(std::move(fingerprint));
  }
  for (const UpstreamProcessId& process : std::exchange(mAlive, {})) {
    wire::UpstreamProcess* message = reports.add_alive();
    message->set_instance(process.instance);
    message->set_life(process.incarnation);
  }
  return reports;
}

} // namespace rattandyke::gateway
