/// A clock that only tests and benches move, and what is due on it.
#pragma once

#include <functional>
#include <map>

#include <rattandyke/types.h>

namespace rattandyke::testing {

/// Calls functions at instants of virtual time, in order of time; at the same
/// instant in the order they were added. Not thread-safe.
class VirtualTime
{
public:
  Instant Now() const { return mNow; }

  void At(Instant aInstant, std::function<void()> aCall)
  {
    mDue.emplace(std::max(aInstant, mNow), std::move(aCall));
  }

  void After(Duration aDelay, std::function<void()> aCall)
  {
    At(mNow + aDelay, std::move(aCall));
  }

  /// Runs until nothing is due any more or the next is due after aEnd.
  void RunUntil(Instant aEnd)
  {
    while (!mDue.empty() && mDue.begin()->first <= aEnd) {
      auto next = mDue.extract(mDue.begin());
      mNow = next.key();
      next.mapped()();
    }
  }

private:
  Instant mNow{ std::chrono::hours(1) };
  std::multimap<Instant, std::function<void()>> mDue;
};

} // namespace rattandyke::testing
