/// Bound on the share of a service's traffic that may be retries.
#pragma once

#include <mutex>

#include <rattandyke/types.h>

namespace rattandyke::entry {

/// Token bucket fed by first sendings: each adds `share`, each retry takes 1.
/// Without it, retries multiply the load on upstreams that already fail, and a
/// short fault becomes a lasting one. Since tokens come from traffic and not
/// from time, at most `share` of the sendings of any stretch, plus the burst,
/// are retries. One object a service and host; thread-safe (a leaf lock).
class RetryBudget
{
public:
  struct Settings
  {
    /// Retries for each first sending.
    double share = 0.1;
    /// Most tokens kept: retries that may follow each other after a quiet time.
    double burst = 10;
    /// Tokens at the start, so that the first requests of a service can be
    /// retried; lent: the first sendings pay them back and add none.
    double initial = 2;
  };

  explicit RetryBudget(Settings aSettings);

  /// Changes Settings::burst: the number of hosts that share it has changed.
  void SetBurst(double aBurst);

  /// A request was sent for the first time.
  void OnFirstSend();

  /// @return whether one retry may be made; if so it is taken.
  bool TryTake();

private:
  Settings mSettings;
  mutable std::mutex mMutex;
  double mTokens;
  /// Of the tokens lent at the start.
  double mOwed;
};

} // namespace rattandyke::entry
