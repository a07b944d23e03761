/// Processor time, so that other work on the machine hardly shows.
#pragma once

#include <algorithm>
#include <chrono>
#include <ctime>
#include <limits>

namespace rattandyke::capacity {

inline double
CpuSeconds(clockid_t aClock)
{
  timespec time{};
  clock_gettime(aClock, &time);
  constexpr double kNanosecond = 1e-9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kNanosecond;
}

/// @param aClock CLOCK_THREAD_CPUTIME_ID or CLOCK_PROCESS_CPUTIME_ID.
/// @param aWork called once a round.
/// @return the least processor time of a round, in seconds. The least, since
/// caches shared with other programs only ever make it longer.
template<typename Work>
double
LeastCpuSeconds(int aRounds, clockid_t aClock, Work&& aWork)
{
  double least = std::numeric_limits<double>::infinity();
  for (int round = 0; round < aRounds; ++round) {
    const double start = CpuSeconds(aClock);
    aWork();
    least = std::min(least, CpuSeconds(aClock) - start);
  }
  return least;
}

template<typename Work>
double
LeastThreadSeconds(int aRounds, Work&& aWork)
{
  return LeastCpuSeconds(
    aRounds, CLOCK_THREAD_CPUTIME_ID, std::forward<Work>(aWork));
}

} // namespace rattandyke::capacity
