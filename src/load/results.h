/// What the load driver measured: counts, latencies, waits, and its files.
#pragma once

#include <array>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/histogram.hpp>
#include <boost/json.hpp>

#include "load/attempt.h"

namespace rattandyke::load {

/// A request with all its sendings.
struct Finished
{
  Plan plan;
  /// When it was to start.
  Instant intended{};
  std::vector<Attempt> attempts;
  /// Too many were under way: it was never sent.
  bool skipped = false;
};

/// Latencies by a logarithmic histogram.
class Latencies
{
public:
  Latencies();
  void Add(Duration aLatency);
  /// @param aShare 0 to 1. @return upper edge of the bin that holds it.
  std::chrono::duration<double, std::milli> Quantile(double aShare) const;
  std::chrono::duration<double, std::milli> Longest() const { return mLongest; }

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> mHistogram;
  uint64_t mCount = 0;
  std::chrono::duration<double, std::milli> mLongest{ 0 };
};

/// Counts and latencies of one customer or service.
struct Tally
{
  uint64_t requests = 0;
  /// Answered whole, by whichever sending.
  uint64_t answered = 0;
  uint64_t skipped = 0;
  uint64_t sendings = 0;
  /// Sendings by AttemptResult.
  std::array<uint64_t, 8> results{};
  Latencies latencies;
};

/// Collects requests as they end. Not thread-safe.
class Results
{
public:
  /// @param aStart instant from which the seconds count.
  /// @param aRequestsFile gets a JSON line a sending; empty: none.
  Results(Instant aStart, const std::string& aRequestsFile);

  void Add(const Finished& aFinished);

  /// One line on how it goes.
  std::string ProgressLine(Instant aNow, size_t aUnderWay) const;
  /// Tables for people.
  std::string Table() const;
  /// The same for programs.
  boost::json::object Summary() const;

private:
  /// Longest time that a request for a key had to wait for its answer.
  struct Wait
  {
    Duration longest{ 0 };
    /// Nothing answered it at all: the wait was longer yet.
    bool unanswered = false;
  };
  struct Second
  {
    uint64_t answered = 0;
    uint64_t failed = 0;
  };

  void AddTo(Tally& aTally, const Finished& aFinished);
  void AddWait(const Finished& aFinished);
  void Write(const Finished& aFinished);
  std::pair<std::string, Wait> LongestWait() const;

  Instant mStart;
  std::ofstream mRequests;
  Tally mAll;
  std::map<std::string, Tally> mCustomers;
  std::map<std::string, Tally> mServices;
  std::map<std::string, Wait> mWaits;
  std::vector<Second> mSeconds;
};

} // namespace rattandyke::load
