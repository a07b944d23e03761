/// A register of idempotency claims in memory, as wire/peer.proto specifies it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <rattandyke/result.h>

#include "wire/peer.pb.h"

namespace rattandyke::testing {

/// Small fake of the replicated register. A call may be applied late, twice or
/// after its sender gave up; the caller of this class decides when.
class ClaimRegisterModel
{
public:
  using Session = uint64_t;

  Result<wire::ClaimReply> Apply(Session aSession,
                                 const wire::ClaimCall& aCall);
  void Apply(const wire::CompleteClaimCall& aCall);
  void Apply(Session aSession, const wire::ReleaseClaimCall& aCall);

  /// The session's host lease is over: what it ran is unknown, and its late
  /// calls are refused.
  void EndSession(Session aSession);

  /// @return claims that are held and not settled.
  size_t Running() const;

private:
  using Attempt = std::pair<Session, uint64_t>;
  struct Claim
  {
    uint64_t number = 0;
    Attempt holder;
    std::string digest;
    wire::ClaimOutcome state = wire::CLAIM_OUTCOME_RUNNING;
    wire::StoredAnswer answer;
  };

  std::map<std::string, Claim> mClaims;
  std::set<Attempt> mReleased;
  std::set<Session> mEnded;
  uint64_t mNumber = 0;
};

} // namespace rattandyke::testing
