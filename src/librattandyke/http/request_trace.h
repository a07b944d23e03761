/// What one request adds to the metrics.
#pragma once

#include <string_view>

#include "entry/request_flow.h"
#include "metrics/recorder.h"
#include "records/records.h"

namespace rattandyke::http {

/// Label of customers that no limit record names: names of callers' own choice
/// would use up the labels.
inline constexpr std::string_view kUnlistedCustomer = "unlisted";

/// Collects times and the ending of one request, and records them once. Not
/// thread-safe.
class RequestTrace
{
public:
  explicit RequestTrace(Instant aStart)
    : mStart(aStart)
  {
  }

  void Queued(Instant aNow) { mQueuedAt = aNow; }
  void LeftQueue(Instant aNow)
  {
    if (mQueuedAt) {
      mQueueTime += aNow - *mQueuedAt;
      mQueuedAt.reset();
    }
  }
  void Sent() { ++mSendings; }

  /// Nothing can be said of how the service answered.
  void CallerGone() { Answered(entry::Outcome::Unknown, Code::CallerGone, 0); }

  void AnsweredAgain() { mAnsweredAgain = true; }

  /// What the caller is told.
  void Answered(entry::Outcome aOutcome, Code aCode, unsigned aStatus)
  {
    mOutcome = aOutcome;
    mCode = aCode;
    mStatus = static_cast<uint16_t>(aStatus);
  }

  /// @param aLimited a limit record names the customer.
  void Record(metrics::Recorder& aRecorder,
              const records::ServiceRecord& aService,
              std::string_view aCustomer,
              bool aLimited,
              Instant aNow)
  {
    LeftQueue(aNow);
    metrics::RequestSample sample;
    sample.service = aService.name.value;
    sample.customer = aLimited ? aCustomer : kUnlistedCustomer;
    sample.outcome = mOutcome;
    sample.code = mCode;
    sample.status = mStatus;
    sample.latency = aNow - mStart;
    sample.queueTime = mQueueTime;
    sample.retries = mSendings > 1 ? mSendings - 1 : 0;
    sample.answeredAgain = mAnsweredAgain;
    sample.objective = aService.objective.latency;
    aRecorder.RecordRequest(sample);
  }

private:
  const Instant mStart;
  std::optional<Instant> mQueuedAt;
  Duration mQueueTime{};
  uint32_t mSendings = 0;
  bool mAnsweredAgain = false;
  entry::Outcome mOutcome = entry::Outcome::Unknown;
  Code mCode = Code::CallerGone;
  uint16_t mStatus = 0;
};

} // namespace rattandyke::http
