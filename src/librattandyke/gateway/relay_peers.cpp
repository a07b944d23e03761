#include "gateway/relay_peers.h"

#include <algorithm>
#include <utility>

namespace rattandyke::gateway {

RelayPeers::RelayPeers(std::string aSelf,
                       DataCentre aDataCentre,
                       uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mDataCentre(std::move(aDataCentre))
  , mRandom(aSeed)
{
}

bool
RelayPeers::IsConfirmed(const Peer& aPeer,
                        const std::string& aService,
                        Instant aNow)
{
  const auto agreed = aPeer.agreedUntil.find(aService);
  return agreed != aPeer.agreedUntil.end() && aNow < agreed->second &&
         aNow >= aPeer.notBefore;
}

std::string
RelayPeers::Confirmed(const std::string& aService,
                      const std::set<std::string>& aExcluded,
                      Instant aNow)
{
  std::vector<const std::string*> best;
  size_t fewest = SIZE_MAX;
  for (const auto& [address, peer] : mPeers) {
    if (!IsConfirmed(peer, aService, aNow) || peer.requests > fewest ||
        aExcluded.contains(address)) {
      continue;
    }
    if (peer.requests < fewest) {
      best.clear();
      fewest = peer.requests;
    }
    best.push_back(&address);
  }
  return best.empty() ? std::string() : *best[mRandom() % best.size()];
}

size_t
RelayPeers::ConfirmedCount(const std::string& aService, Instant aNow) const
{
  return static_cast<size_t>(
    std::count_if(mPeers.begin(), mPeers.end(), [&](const auto& aItem) {
      return IsConfirmed(aItem.second, aService, aNow);
    }));
}

bool
RelayPeers::MayAsk(const std::string& aPeer,
                   const std::string& aService,
                   Instant aNow) const
{
  const auto peer = mPeers.find(aPeer);
  if (peer == mPeers.end()) {
    return true;
  }
  const auto noPath = peer->second.noPathUntil.find(aService);
  return aNow >= peer->second.notBefore &&
         (noPath == peer->second.noPathUntil.end() || aNow >= noPath->second);
}

std::vector<std::string>
RelayPeers::Candidates(const State& aState,
                       const std::string& aService,
                       const std::string& aUpstreamDataCentre,
                       const std::set<std::string>& aExcluded,
                       size_t aCount,
                       Instant aNow)
{
  struct Candidate
  {
    uint32_t distance = 0;
    uint64_t order = 0;
    const std::string* address = nullptr;
  };
  std::vector<Candidate> candidates;
  for (const auto& [address, member] : aState.Entries()) {
    if (address == mSelf || aExcluded.contains(address) ||
        !MayAsk(address, aService, aNow)) {
      continue;
    }
    const bool near = member.data_centre() == mDataCentre.value;
    const bool atUpstream = member.data_centre() == aUpstreamDataCentre;
    const uint32_t distance = near ? 0 : (atUpstream ? 1 : 2);
    candidates.push_back({ distance, mRandom(), &address });
  }
  const size_t count = std::min(aCount, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<int64_t>(count),
                    candidates.end(),
                    [](const Candidate& aOne, const Candidate& aOther) {
                      return std::pair(aOne.distance, aOne.order) <
                             std::pair(aOther.distance, aOther.order);
                    });
  std::vector<std::string> chosen;
  for (size_t at = 0; at < count; ++at) {
    chosen.push_back(*candidates[at].address);
  }
  return chosen;
}

void
RelayPeers::OnAgreed(const std::string& aPeer,
                     const std::string& aService,
                     Instant aNow)
{
  Peer& peer = mPeers[aPeer];
  peer.agreedUntil[aService] = aNow + Duration(kAgreedFor);
  peer.silentFor = kSilentFor;
  peer.noPathUntil.erase(aService);
}

void
RelayPeers::OnNoPath(const std::string& aPeer,
                     const std::string& aService,
                     Instant aNow)
{
  Peer& peer = mPeers[aPeer];
  peer.silentFor = kSilentFor;
  peer.agreedUntil.erase(aService);
  peer.noPathUntil[aService] = aNow + Duration(kNoPathFor);
}

void
RelayPeers::OnBusy(const std::string& aPeer, Instant aNow)
{
  Peer& peer = mPeers[aPeer];
  peer.notBefore = std::max(peer.notBefore, aNow + Duration(kBusyFor));
}

Duration
RelayPeers::OnSilent(const std::string& aPeer, Instant aNow)
{
  Peer& peer = mPeers[aPeer];
  const Duration time = peer.silentFor;
  peer.agreedUntil.clear();
  peer.notBefore = aNow + time;
  peer.silentFor = std::min<Duration>(time * 2, kMaxSilentFor);
  return time;
}

void
RelayPeers::OnRequestStarted(const std::string& aPeer)
{
  ++mPeers[aPeer].requests;
}

void
RelayPeers::OnRequestEnded(const std::string& aPeer)
{
  const auto peer = mPeers.find(aPeer);
  if (peer != mPeers.end() && peer->second.requests > 0) {
    --peer->second.requests;
  }
}

void
RelayPeers::RemoveExpired(Instant aNow)
{
  const auto isOver = [&](const auto& aItem) { return aNow >= aItem.second; };
  for (auto& [address, peer] : mPeers) {
    std::erase_if(peer.agreedUntil, isOver);
    std::erase_if(peer.noPathUntil, isOver);
  }
  std::erase_if(mPeers, [&](const auto& aItem) {
    const Peer& peer = aItem.second;
    return peer.requests == 0 &&
           aNow >= peer.notBefore + Duration(kMaxSilentFor) &&
           peer.agreedUntil.empty() && peer.noPathUntil.empty();
  });
}

} // namespace rattandyke::gateway
