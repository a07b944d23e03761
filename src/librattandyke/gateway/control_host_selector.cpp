#include "gateway/control_host_selector.h"

#include <algorithm>

#include "base/endpoint.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Time for which a failed host comes last. A partition mostly lasts for
/// seconds, and each attempt at a partitioned host costs 700 ms.
constexpr milliseconds kFailurePenalty{ 3000 };
/// Minimum delay of a move to a control host in the own data centre, and
/// minimum interval between two moves. A random part of up to the same duration
/// is added.
constexpr milliseconds kMinMoveDelay{ 1000 };
constexpr milliseconds kMinMoveInterval{ 10000 };

} // namespace

ControlHostSelector::ControlHostSelector(const State& aState,
                                         wire::EntryMember aSelf,
                                         uint64_t aSeed)
  : mState(aState)
  , mSelf(std::move(aSelf))
  , mRandom(aSeed)
{
}

void
ControlHostSelector::SetSeeds(const std::vector<Endpoint>& aSeeds)
{
  mSeeds.clear();
  for (const Endpoint& seed : aSeeds) {
    mSeeds.push_back(ToString(seed));
  }
}

void
ControlHostSelector::SetControlHosts(std::vector<std::string> aHosts)
{
  mControlHosts = std::move(aHosts);
}

bool
ControlHostSelector::IsInOwnDataCentre(const std::string& aHost) const
{
  const auto known = mState.ControlHosts().find(aHost);
  return known != mState.ControlHosts().end() &&
         known->second.data_centre() == mSelf.data_centre();
}

bool
ControlHostSelector::HasFailedRecently(const std::string& aHost,
                                       Instant aNow) const
{
  const auto failed = mFailedAt.find(aHost);
  return failed != mFailedAt.end() &&
         aNow - failed->second < Duration(kFailurePenalty);
}

std::string
ControlHostSelector::Next(Instant aNow)
{
  std::set<std::string> hosts(mControlHosts.begin(), mControlHosts.end());
  hosts.insert(mSeeds.begin(), mSeeds.end());
  std::vector<std::string> candidates;
  for (const std::string& host : hosts) {
    if (!mTried.contains(host)) {
      candidates.push_back(host);
    }
  }
  const auto keepPreferred = [&](auto aIsPreferred) {
    const auto rest =
      std::stable_partition(candidates.begin(), candidates.end(), aIsPreferred);
    if (rest != candidates.begin()) {
      candidates.erase(rest, candidates.end());
    }
  };
  keepPreferred(
    [&](const auto& aHost) { return !HasFailedRecently(aHost, aNow); });
  keepPreferred([&](const auto& aHost) { return IsInOwnDataCentre(aHost); });
  if (candidates.empty()) {
    mTried.clear();
    candidates = PickEntryHost();
  }
  if (candidates.empty()) {
    candidates.assign(hosts.begin(), hosts.end());
  }
  if (candidates.empty()) {
    return {};
  }
  std::string host = candidates[mRandom() % candidates.size()];
  mTried.insert(host);
  return host;
}

/// @return a random other entry host; empty if none is known.
std::vector<std::string>
ControlHostSelector::PickEntryHost()
{
  std::vector<std::string> entries;
  for (const auto& [address, member] : mState.Entries()) {
    if (address != mSelf.address()) {
      entries.push_back(address);
    }
  }
  if (entries.empty()) {
    return {};
  }
  return { entries[mRandom() % entries.size()] };
}

void
ControlHostSelector::OnConfirmed(const std::string& aHost)
{
  mTried.clear();
  mFailedAt.erase(aHost);
}

void
ControlHostSelector::OnFailed(const std::string& aHost, Instant aNow)
{
  std::erase_if(mFailedAt, [&](const auto& aFailed) {
    return aNow - aFailed.second >= Duration(kFailurePenalty);
  });
  mFailedAt[aHost] = aNow;
}

Duration
ControlHostSelector::Randomised(Duration aTime)
{
  return aTime + Duration(mRandom() % static_cast<uint64_t>(aTime.count()));
}

bool
ControlHostSelector::ShouldMove(const std::string& aHost, Instant aNow)
{
  const bool nearerExists =
    !IsInOwnDataCentre(aHost) &&
    std::any_of(
      mControlHosts.begin(), mControlHosts.end(), [&](const auto& aOther) {
        return IsInOwnDataCentre(aOther) && !HasFailedRecently(aOther, aNow);
      });
  if (!nearerExists) {
    mMoveAt.reset();
    return false;
  }
  if (!mMoveAt) {
    mMoveAt = std::max(aNow + Randomised(kMinMoveDelay),
                       mLastMoveAt + Randomised(kMinMoveInterval));
    return false;
  }
  if (aNow < *mMoveAt) {
    return false;
  }
  mMoveAt.reset();
  mLastMoveAt = aNow;
  return true;
}

} // namespace rattandyke::gateway
