/// Idempotency claims: who may run a request that must run at most once.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "wire/control.pb.h"

namespace rattandyke::control {

/// One process of one host.
struct HostSession
{
  HostName host;
  uint64_t session = 0;
  auto operator<=>(const HostSession&) const = default; // NOLINT(*-nullptr)
};

/// One sending of a request by one process.
struct Attempt
{
  HostSession runner;
  uint64_t number = 0;
  auto operator<=>(const Attempt&) const = default; // NOLINT(*-nullptr)
};

/// Part of State: deterministic, and without a clock of its own. Memory is
/// bounded by the retention of claims and by kMostClaims. Not thread-safe.
class ClaimTable
{
public:
  /// Claims beyond these are refused, so that a flood of keys cannot use up
  /// the memory of every control host.
  static constexpr size_t kMostClaims = 1'000'000;
  /// Larger answers are not kept; a repeat then learns that it ran.
  static constexpr size_t kMostAnswerBytes = size_t{ 16 } * 1024;

  struct Counts
  {
    size_t running = 0;
    size_t done = 0;
    size_t unknown = 0;
  };

  /// @return Code::ClaimUnavailable if the table is full,
  /// Code::ProposalDropped if the attempt was given up before.
  Result<wire::ClaimReply> Take(LogIndex aIndex,
                                const wire::TakeClaim& aTake,
                                WallTime aNow);

  /// Stores the answer; repeats are harmless. Without effect if the claim is
  /// another's or forgotten.
  void Complete(const wire::CompleteClaimCall& aCall, WallTime aNow);

  /// Frees the key of a request that did not run, if this attempt holds it, and
  /// refuses the attempt from now on.
  void Release(const wire::ReleaseClaim& aRelease, WallTime aNow);

  /// A process is gone: the outcome of what it ran is unknown.
  void Orphan(const HostSession& aRunner, WallTime aNow);

  /// Forgets what ended longer ago than its retention.
  void Expire(WallTime aNow);

  Counts Count() const;

  /// @return processes that hold running claims.
  std::vector<HostSession> Runners() const;

  void Save(wire::StateSnapshot& aSnapshot) const;
  void Load(const wire::StateSnapshot& aSnapshot);

private:
  struct Key
  {
    std::string service;
    std::string customer;
    std::string idempotencyKey;
    auto operator<=>(const Key&) const = default; // NOLINT(*-nullptr)
  };

  using Claims = std::map<Key, wire::ClaimSnapshot>;

  void StopRunning(const wire::ClaimSnapshot& aClaim, const Key& aKey);
  void Remember(const Attempt& aAttempt, uint64_t aExpires);
  void End(Claims::iterator aClaim, wire::ClaimState aState, uint64_t aExpires);
  Claims::iterator FindHeld(const Key& aKey, uint64_t aClaim);
  wire::ClaimReply Start(LogIndex aIndex,
                         const Key& aKey,
                         const wire::TakeClaim& aTake);

  Claims mClaims;
  std::map<HostSession, std::set<Key>> mRunning;
  std::set<std::pair<uint64_t, Key>> mExpiries;
  std::map<Attempt, uint64_t> mReleased;
  /// The same by the time at which each is forgotten.
  std::set<std::pair<uint64_t, Attempt>> mReleasedExpiries;
};

} // namespace rattandyke::control
