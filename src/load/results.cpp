#include "load/results.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace rattandyke::load {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr unsigned kBins = 600;
constexpr double kShortestMs = 0.01;
constexpr double kLongestMs = 100000;
constexpr int kNameWidth = 18;
constexpr int kNumberWidth = 11;

constexpr std::array kAllResults{ AttemptResult::Answered,
                                  AttemptResult::Crossed,
                                  AttemptResult::TruncatedAsWhole,
                                  AttemptResult::NotRun,
                                  AttemptResult::Unknown,
                                  AttemptResult::RanWithoutBody,
                                  AttemptResult::Lost,
                                  AttemptResult::Unsent };

int64_t
Nanoseconds(Instant aInstant)
{
  return std::chrono::nanoseconds(aInstant.time_since_epoch()).count();
}

/// @return the sending that was first to bring the answer, if any did.
const Attempt*
FirstAnswer(const Finished& aFinished)
{
  const Attempt* first = nullptr;
  for (const Attempt& attempt : aFinished.attempts) {
    const bool answered = attempt.result == AttemptResult::Answered;
    if (answered && (!first || attempt.done < first->done)) {
      first = &attempt;
    }
  }
  return first;
}

boost::json::object
ToJson(const Tally& aTally)
{
  boost::json::object json{
    { "requests", aTally.requests },
    { "answered", aTally.answered },
    { "skipped", aTally.skipped },
    { "sendings", aTally.sendings },
    { "p50_ms", aTally.latencies.Quantile(0.5).count() },
    { "p99_ms", aTally.latencies.Quantile(0.99).count() },
    { "p999_ms", aTally.latencies.Quantile(0.999).count() },
    { "longest_ms", aTally.latencies.Longest().count() }
  };
  boost::json::object results;
  for (const AttemptResult result : kAllResults) {
    results[std::string(NameOf(result))] =
      aTally.results[static_cast<size_t>(result)];
  }
  json["sendings_by_result"] = std::move(results);
  return json;
}

boost::json::object
ToJson(const std::map<std::string, Tally>& aTallies)
{
  boost::json::object json;
  for (const auto& [name, tally] : aTallies) {
    json[name] = ToJson(tally);
  }
  return json;
}

void
PrintHeader(std::ostream& aStream, const std::string& aTitle)
{
  aStream << std::left << std::setw(kNameWidth) << aTitle << std::right;
  for (const char* column : { "requests",
                              "answered",
                              "sendings",
                              "not-run",
                              "unknown",
                              "lost",
                              "p50 ms",
                              "p99 ms",
                              "max ms" }) {
    aStream << std::setw(kNumberWidth) << column;
  }
  aStream << '\n';
}

void
PrintRow(std::ostream& aStream, const std::string& aName, const Tally& aTally)
{
  const auto results = [&aTally](AttemptResult aResult) {
    return aTally.results[static_cast<size_t>(aResult)];
  };
  aStream << std::left << std::setw(kNameWidth) << aName << std::right;
  for (const uint64_t count : { aTally.requests,
                                aTally.answered,
                                aTally.sendings,
                                results(AttemptResult::NotRun),
                                results(AttemptResult::Unknown),
                                results(AttemptResult::Lost) }) {
    aStream << std::setw(kNumberWidth) << count;
  }
  for (const Milliseconds time : { aTally.latencies.Quantile(0.5),
                                   aTally.latencies.Quantile(0.99),
                                   aTally.latencies.Longest() }) {
    aStream << std::setw(kNumberWidth) << std::fixed << std::setprecision(2)
            << time.count();
  }
  aStream << '\n';
}

} // namespace

Latencies::Latencies()
  : mHistogram(
      boost::histogram::make_histogram(Axis(kBins, kShortestMs, kLongestMs)))
{
}

void
Latencies::Add(Duration aLatency)
{
  const Milliseconds latency = aLatency;
  mHistogram(std::max(latency.count(), kShortestMs));
  mLongest = std::max(mLongest, latency);
  ++mCount;
}

Milliseconds
Latencies::Quantile(double aShare) const
{
  double seen = 0;
  for (const auto& bin : boost::histogram::indexed(mHistogram)) {
    seen += *bin;
    if (seen > 0 && seen >= aShare * static_cast<double>(mCount)) {
      return std::min(Milliseconds(bin.bin().upper()), mLongest);
    }
  }
  return mLongest;
}

Results::Results(Instant aStart, const std::string& aRequestsFile)
  : mStart(aStart)
{
  if (!aRequestsFile.empty()) {
    mRequests.open(aRequestsFile);
  }
}

void
Results::Add(const Finished& aFinished)
{
  AddTo(mAll, aFinished);
  AddTo(mCustomers[aFinished.plan.customer->name.value], aFinished);
  AddTo(mServices[aFinished.plan.service->name.value], aFinished);
  AddWait(aFinished);
  Write(aFinished);
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                        aFinished.intended - mStart)
                        .count();
  mSeconds.resize(std::max<size_t>(mSeconds.size(), second + 1));
  ++(FirstAnswer(aFinished) ? mSeconds[second].answered
                            : mSeconds[second].failed);
}

void
Results::AddTo(Tally& aTally, const Finished& aFinished)
{
  ++aTally.requests;
  aTally.skipped += aFinished.skipped ? 1 : 0;
  aTally.sendings += aFinished.attempts.size();
  for (const Attempt& attempt : aFinished.attempts) {
    ++aTally.results[static_cast<size_t>(attempt.result)];
  }
  if (const Attempt* answer = FirstAnswer(aFinished)) {
    ++aTally.answered;
    aTally.latencies.Add(answer->done - aFinished.intended);
  }
}

void
Results::AddWait(const Finished& aFinished)
{
  if (aFinished.attempts.empty()) {
    return;
  }
  // A write that may have run is not sent again: how long its key stayed
  // unavailable cannot be told from it.
  const Attempt* const answer = FirstAnswer(aFinished);
  const AttemptResult last = aFinished.attempts.back().result;
  const bool couldWait = last == AttemptResult::NotRun ||
                         last == AttemptResult::Unsent || !aFinished.plan.write;
  if (!answer && !couldWait) {
    return;
  }
  Wait& wait =
    mWaits[aFinished.plan.service->name.value + '/' + aFinished.plan.key];
  const Instant until = answer ? answer->done : aFinished.attempts.back().done;
  wait.longest = std::max(wait.longest, until - aFinished.intended);
  wait.unanswered = wait.unanswered || !answer;
}

void
Results::Write(const Finished& aFinished)
{
  if (!mRequests.is_open()) {
    return;
  }
  for (const Attempt& attempt : aFinished.attempts) {
    mRequests << boost::json::serialize(boost::json::object{
                   { "id", aFinished.plan.id },
                   { "attempt", attempt.number },
                   { "entry", attempt.entry },
                   { "service", aFinished.plan.service->name.value },
                   { "key", aFinished.plan.key },
                   { "customer", aFinished.plan.customer->name.value },
                   { "method", aFinished.plan.write ? "POST" : "GET" },
                   { "idempotency_key", aFinished.plan.idempotencyKey },
                   { "intended", Nanoseconds(aFinished.intended) },
                   { "sent", Nanoseconds(attempt.sent) },
                   { "done", Nanoseconds(attempt.done) },
                   { "result", NameOf(attempt.result) },
                   { "status", attempt.status },
                   { "code", attempt.code },
                   { "upstream", attempt.upstream },
                   { "fence", attempt.fence } })
              << '\n';
  }
}

std::pair<std::string, Results::Wait>
Results::LongestWait() const
{
  const auto longest = std::max_element(
    mWaits.begin(), mWaits.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.longest < aRight.second.longest;
    });
  if (longest == mWaits.end()) {
    return {};
  }
  return { longest->first, longest->second };
}

std::string
Results::ProgressLine(Instant aNow, size_t aUnderWay) const
{
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aNow - mStart).count();
  std::ostringstream line;
  line << "t=" << seconds << " s  requests " << mAll.requests << "  answered "
       << mAll.answered << "  under way " << aUnderWay << "  p99 " << std::fixed
       << std::setprecision(1) << mAll.latencies.Quantile(0.99).count()
       << " ms";
  return line.str();
}

std::string
Results::Table() const
{
  std::ostringstream text;
  PrintHeader(text, "customer");
  for (const auto& [name, tally] : mCustomers) {
    PrintRow(text, name, tally);
  }
  text << '\n';
  PrintHeader(text, "service");
  for (const auto& [name, tally] : mServices) {
    PrintRow(text, name, tally);
  }
  PrintRow(text, "all", mAll);
  const auto [key, wait] = LongestWait();
  text << "\nlongest wait for a key: " << std::fixed << std::setprecision(1)
       << Milliseconds(wait.longest).count() << " ms (" << key
       << (wait.unanswered ? ", with requests never answered)" : ")") << '\n';
  return text.str();
}

boost::json::object
Results::Summary() const
{
  const auto [key, wait] = LongestWait();
  const auto unanswered =
    std::count_if(mWaits.begin(), mWaits.end(), [](const auto& aWait) {
      return aWait.second.unanswered;
    });
  boost::json::array seconds;
  for (const Second& second : mSeconds) {
    seconds.push_back({ second.answered, second.failed });
  }
  return { { "all", ToJson(mAll) },
           { "customers", ToJson(mCustomers) },
           { "services", ToJson(mServices) },
           { "longest_wait_ms", Milliseconds(wait.longest).count() },
           { "longest_wait_key", key },
           { "keys", mWaits.size() },
           { "keys_with_unanswered", unanswered },
           { "seconds_answered_failed", std::move(seconds) } };
}

} // namespace rattandyke::load
