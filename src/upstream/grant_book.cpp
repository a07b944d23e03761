#include "upstream/grant_book.h"

#include <algorithm>

namespace rattandyke::upstream {

namespace {

/// Fence on the line of a key that was taken out of a slot held here.
constexpr Fence kTakenAway{ 0 };

/// Fence that a grant gives to a claim, if it covers it. A key's own grant
/// goes before its slot's.
struct FenceFor
{
  const Claim& claim;
  std::optional<Fence>& ofKey;
  std::optional<Fence>& ofSlot;

  void operator()(const KeyGrant& aGrant) const
  {
    if (aGrant.key == claim.key) {
      ofKey = aGrant.fence;
    }
  }

  void operator()(const SlotGrant& aGrant) const
  {
    if (aGrant.first <= claim.slot && claim.slot <= aGrant.last) {
      ofSlot = aGrant.fence;
    }
  }
};

} // namespace

bool
GrantBook::Apply(const AnnounceAnswer& aAnswer, Instant aSent)
{
  mLeaseUntil = std::max(mLeaseUntil, aSent + aAnswer.lease);
  if (!aAnswer.grants || aAnswer.grantsVersion <= mVersion) {
    return false;
  }
  if (mIgnoreRevocations) {
    mGrants.insert(
      mGrants.end(), aAnswer.grants->begin(), aAnswer.grants->end());
    return true;
  }
  mVersion = aAnswer.grantsVersion;
  mGrants = *aAnswer.grants;
  return true;
}

Verdict
GrantBook::Check(const Claim& aClaim, Instant aNow) const
{
  if (aNow >= mLeaseUntil) {
    return Verdict::LeaseOver;
  }
  const bool granted =
    aClaim.fence != kTakenAway && GrantedFence(aClaim) == aClaim.fence;
  return granted ? Verdict::Allowed : Verdict::WrongFence;
}

uint64_t
GrantBook::Begin(const Claim& aClaim)
{
  mRunning.emplace(mNextRun, aClaim);
  return mNextRun++;
}

void
GrantBook::End(uint64_t aRun)
{
  mRunning.erase(aRun);
}

uint64_t
GrantBook::AcknowledgedVersion()
{
  const bool revokedRun =
    std::any_of(mRunning.begin(), mRunning.end(), [this](const auto& aRun) {
      return GrantedFence(aRun.second) != aRun.second.fence;
    });
  if (!revokedRun) {
    mAcknowledged = mVersion;
  }
  return mAcknowledged;
}

std::optional<Fence>
GrantBook::GrantedFence(const Claim& aClaim) const
{
  std::optional<Fence> ofKey;
  std::optional<Fence> ofSlot;
  for (const Grant& grant : mGrants) {
    std::visit(FenceFor{ aClaim, ofKey, ofSlot }, grant);
  }
  return ofKey ? ofKey : ofSlot;
}

} // namespace rattandyke::upstream
