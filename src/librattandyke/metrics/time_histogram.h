/// The one shape of histogram that the metrics use.
#pragma once

#include <algorithm>
#include <chrono>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "metrics/recorder.h"

namespace rattandyke::metrics {

/// Times from 100 us to 100 s, five buckets a decade. Not thread-safe.
class TimeHistogram
{
public:
  void Add(Duration aTime)
  {
    const Duration time = std::max(aTime, Duration::zero());
    mHistogram(std::chrono::duration<double>(time).count());
    mSum += time;
    ++mCount;
  }

  /// Adds the counts to aInto, which may be empty.
  void AddTo(Distribution& aInto) const
  {
    const int buckets = mHistogram.axis().size();
    aInto.counts.resize(static_cast<size_t>(buckets) + 2);
    // The histogram's own index runs from -1, the bucket of what is shorter
    // than the first edge, to `buckets`, that of what is longer than the last.
    for (int place = 0; place < buckets + 2; ++place) {
      aInto.counts[static_cast<size_t>(place)] += mHistogram.at(place - 1);
    }
    aInto.sum += mSum;
    aInto.count += mCount;
  }

  /// Adds the counts of another histogram to this one.
  TimeHistogram& operator+=(const TimeHistogram& aOther)
  {
    mHistogram += aOther.mHistogram;
    mSum += aOther.mSum;
    mCount += aOther.mCount;
    return *this;
  }

  static std::vector<std::chrono::nanoseconds> UpperBounds()
  {
    const Axis axis = MakeAxis();
    std::vector<std::chrono::nanoseconds> bounds;
    for (int edge = 0; edge <= axis.size(); ++edge) {
      const std::chrono::duration<double> bound(axis.value(edge));
      bounds.push_back(std::chrono::round<std::chrono::nanoseconds>(bound));
    }
    return bounds;
  }

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<uint64_t>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>, Storage>;

  static Axis MakeAxis()
  {
    constexpr int kBuckets = 30;
    constexpr double kShortest = 1e-4;
    constexpr double kLongest = 100;
    return { kBuckets, kShortest, kLongest };
  }

  Histogram mHistogram{ std::make_tuple(MakeAxis()), Storage{} };
  std::chrono::nanoseconds mSum{};
  uint64_t mCount = 0;
};

} // namespace rattandyke::metrics
