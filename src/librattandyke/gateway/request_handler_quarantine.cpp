// Part of RequestHandler that keeps requests from upstreams that they crash.
#include "gateway/request_handler.h"

#include <algorithm>

#include "entry/digest.h"
#include "log/log.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// By then it is usually known whether the upstreams have crashed.
constexpr milliseconds kRetryAfterHeld{ 1000 };
/// Bytes of a body's beginning and of its end that identify it, with its
/// length. A digest of 60 MB takes longer than other requests can wait.
constexpr size_t kDigestedBytes = size_t{ 128 } * 1024;

} // namespace

const std::string&
RequestHandler::FingerprintOf(RequestProgress& aProgress) const
{
  if (aProgress.fingerprint.empty()) {
    const UpstreamRequest& request = *aProgress.request;
    const std::string_view body(request.body);
    const std::string_view first = body.substr(0, kDigestedBytes);
    const std::string_view rest = body.substr(first.size());
    const std::string_view last =
      rest.substr(rest.size() - std::min(rest.size(), kDigestedBytes));
    aProgress.fingerprint = entry::DigestOf(
      { aProgress.service,
        aProgress.credentials,
        request.method,
        request.target,
        aProgress.key ? std::to_string(*aProgress.key) : std::string(),
        std::to_string(body.size()),
        first,
        last });
  }
  return aProgress.fingerprint;
}

/// @return whether an upstream was lost with the request in progress before,
/// and none has answered it since.
bool
RequestHandler::IsSuspected(RequestProgress& aProgress) const
{
  const CrashRegister& crashes = mFeed.CurrentState().Crashes();
  const WallTime now = mClock.Wall();
  return crashes.HasVerdicts(now) &&
         crashes.Verdict(FingerprintOf(aProgress), now) != RequestVerdict::Free;
}

std::optional<CallerResponse>
RequestHandler::RefuseIfQuarantined(RequestProgress& aProgress)
{
  const CrashRegister& crashes = mFeed.CurrentState().Crashes();
  const WallTime now = mClock.Wall();
  if (!crashes.HasVerdicts(now)) {
    return std::nullopt;
  }
  const std::string& fingerprint = FingerprintOf(aProgress);
  const RequestVerdict verdict = crashes.Verdict(fingerprint, now);
  if (verdict == RequestVerdict::Free || verdict == RequestVerdict::Watched) {
    return std::nullopt;
  }
  const bool banned = verdict == RequestVerdict::Banned;
  mMetrics.Increment("requests_quarantined",
                     banned ? "verdict=\"banned\"" : "verdict=\"held\"");
  log::Line(log::Part::Entry, log::Severity::Info, aProgress.request->requestId)
    << "request is quarantined verdict=" << (banned ? "banned" : "held")
    << " service=" << aProgress.service << " fingerprint=" << fingerprint;
  return NotExecutedResponse(
    aProgress,
    banned ? Duration(crashes.BannedUntil(fingerprint) - now)
           : Duration(kRetryAfterHeld),
    banned ? "the request crashes upstreams"
           : "the request may crash upstreams");
}

void
RequestHandler::RecordForQuarantine(RequestProgress& aProgress,
                                    const UpstreamProcess& aProcess,
                                    const RelayResult& aResult)
{
  const Instant now = mClock.Now();
  const AttemptResult& attempt = aResult.attempt;
  const bool refused =
    attempt.kind == AttemptResult::Kind::NotExecuted &&
    !IsMisdirected(aProgress.service, aProcess.instance, attempt);
  if (attempt.kind == AttemptResult::Kind::Response || refused) {
    mCrashReporter.OnResponse({ aProcess.instance, aProcess.incarnation },
                              attempt.connectionOpenedAt,
                              now - attempt.elapsed,
                              now);
  }
  if (attempt.kind == AttemptResult::Kind::Response) {
    if (IsSuspected(aProgress)) {
      mCrashReporter.OnAnswered(FingerprintOf(aProgress), now);
    }
    return;
  }
  if (attempt.connectionLost && !aResult.relayLost &&
      !aProgress.context->IsCancelled()) {
    mCrashReporter.OnInterrupted(aProgress.service,
                                 aProcess,
                                 FingerprintOf(aProgress),
                                 now - attempt.elapsed,
                                 now);
  }
}

void
RequestHandler::UpdateUnconfirmedCrashes(const wire::GatewayCommand* aCommand)
{
  const bool mayChange =
    aCommand == nullptr || aCommand->has_record_crashes() ||
    aCommand->has_put_instance() || aCommand->has_end_instance();
  if (mayChange) {
    mCrashReporter.SetUnconfirmed(mFeed.CurrentState().Crashes().Unconfirmed(),
                                  mClock.Now());
  }
}

wire::CrashReports
RequestHandler::TakeCrashReports()
{
  return mCrashReporter.Take(
    [this](const UpstreamProcess& aProcess) {
      return mUpstreamClient.Pool().IsConnected(aProcess);
    },
    mClock.Now());
}

} // namespace rattandyke::gateway
