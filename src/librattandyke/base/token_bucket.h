/// Token bucket of a rate limit.
#pragma once

#include <algorithm>

#include <rattandyke/types.h>

namespace rattandyke {

/// Tokens accrue at a rate, up to a capacity. Not thread-safe.
class TokenBucket
{
public:
  /// @param aTokens tokens at the start.
  TokenBucket(double aTokens, Instant aNow)
    : mTokens(aTokens)
    , mRefilledAt(aNow)
  {
  }

  /// Changes the rate and the capacity; tokens above the capacity are lost.
  /// @param aTokensPerSecond above 0.
  void SetRate(double aTokensPerSecond, double aCapacity, Instant aNow)
  {
    mTokens = std::min(TokensAt(aNow), aCapacity);
    mRefilledAt = aNow;
    mTokensPerSecond = aTokensPerSecond;
    mCapacity = aCapacity;
  }

  bool Has(double aTokens, Instant aNow) const
  {
    return TokensAt(aNow) >= aTokens;
  }

  /// Removes all tokens.
  void Empty(Instant aNow)
  {
    mTokens = std::min(TokensAt(aNow), 0.0);
    mRefilledAt = aNow;
  }

  /// Takes tokens. The bucket may owe some afterwards.
  void Take(double aTokens, Instant aNow)
  {
    mTokens = TokensAt(aNow) - aTokens;
    mRefilledAt = aNow;
  }

  /// @return time until the bucket has accrued so many tokens, if none is taken
  /// until then; may be longer than it takes to fill the bucket.
  std::chrono::duration<double> TimeUntil(double aTokens, Instant aNow) const
  {
    const double missing = std::max(aTokens - TokensAt(aNow), 0.0);
    return std::chrono::duration<double>(missing / mTokensPerSecond);
  }

private:
  double TokensAt(Instant aNow) const
  {
    const std::chrono::duration<double> elapsed = aNow - mRefilledAt;
    return std::min(mTokens + elapsed.count() * mTokensPerSecond, mCapacity);
  }

  double mTokens;
  Instant mRefilledAt;
  double mTokensPerSecond = 1;
  double mCapacity = 1;
};

} // namespace rattandyke
