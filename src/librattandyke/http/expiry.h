/// An instant by which something must have happened, watched from outside.
#pragma once

#include <atomic>

#include <rattandyke/types.h>

namespace rattandyke::http {

/// Set by the strand that waits, read by the service's sweep. One sweep over
/// all connections replaces a timer for each of them; its interval is the
/// error of these timeouts. Thread-safe.
class Expiry
{
public:
  void Set(Instant aAt) { mAt.store(aAt.time_since_epoch().count()); }
  void Clear() { mAt.store(kNever); }
  bool Passed(Instant aNow) const
  {
    return aNow.time_since_epoch().count() >= mAt.load();
  }

private:
  static constexpr Duration::rep kNever = Duration::max().count();
  std::atomic<Duration::rep> mAt{ kNever };
};

} // namespace rattandyke::http
