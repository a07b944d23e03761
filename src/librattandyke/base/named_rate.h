/// Request rate that an upstream names in its responses.
#pragma once

#include <optional>

#include <rattandyke/types.h>

#include "base/token_bucket.h"

namespace rattandyke {

/// The newest notice of an upstream about the request rate that it accepts from
/// all entry hosts together. Notices come from its responses and, with their
/// age, from other hosts. Not thread-safe.
class NamedRate
{
public:
  /// Applies a notice. Older ones are ignored.
  /// @param aRequestsPerSecond std::nullopt if the upstream names no limit.
  /// @param aToldAt time of the response.
  /// @return whether the limit changed.
  bool Update(std::optional<double> aRequestsPerSecond, Instant aToldAt);

  /// @return requests per second; std::nullopt if there is no limit.
  std::optional<double> RequestsPerSecond() const { return mRequestsPerSecond; }

  /// @return whether the upstream has ever named a limit.
  bool WasNamed() const { return mToldAt > Instant{}; }

  /// @return time of the newest notice.
  Instant ToldAt() const { return mToldAt; }

  /// Sets a bucket to a rate that an upstream named.
  static void Apply(double aRequestsPerSecond,
                    TokenBucket& aBucket,
                    Instant aNow);

private:
  std::optional<double> mRequestsPerSecond;
  Instant mToldAt{};
};

} // namespace rattandyke
