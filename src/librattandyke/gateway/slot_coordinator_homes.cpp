// Which host keeps an upstream's slots, and when a request does without it.
#include "gateway/slot_coordinator.h"

#include <algorithm>

#include "routing/service_table.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Older than this, a home's list of entries may be one in which it is home no
/// more.
constexpr milliseconds kAssuredHome{ 1000 };
/// Asking a home is worth its time up to here: beyond, an upstream chosen by
/// what the upstreams tell answers sooner, if it is not the best one.
constexpr milliseconds kSlowAsk{ 20 };
/// Down here again it is.
constexpr milliseconds kQuickAsk{ 6 };
/// Weight of the newest ask.
constexpr double kNewestAsk = 0.05;
/// One in so many requests asks all the same, so that the time is known.
constexpr uint64_t kStillAsks = 32;
/// Part of the requests to a service with cold upstreams that ask, for each
/// part that is cold: homes alone know what a cold one may be sent.
constexpr double kColdAsks = 0.6;
/// So few hosts can't overrun an upstream with one request each.
constexpr size_t kFewHosts = 16;

} // namespace

void
SlotCoordinator::AddEntry(const std::string& aAddress)
{
  const auto at =
    std::lower_bound(mEntries.begin(),
                     mEntries.end(),
                     aAddress,
                     [](const Entry& aEntry, const std::string& aOther) {
                       return aEntry.address < aOther;
                     });
  if (at == mEntries.end() || at->address != aAddress) {
    mEntries.insert(at, Entry{ aAddress, routing::HashKey(aAddress) });
  }
}

void
SlotCoordinator::DropEntry(const std::string& aAddress)
{
  std::erase_if(
    mEntries, [&](const Entry& aEntry) { return aEntry.address == aAddress; });
}

/// The entry whose hash mixed with the group's is the highest: when an entry
/// comes or goes, only the groups that it takes or leaves change their home.
/// Each request finds one, so that entries' names are hashed only once.
std::string
SlotCoordinator::HomeOf(const std::string& aService, uint32_t aGroup) const
{
  const uint64_t group =
    routing::HashKey(aService + "/" + std::to_string(aGroup));
  const Entry* home = nullptr;
  uint64_t highest = 0;
  for (const Entry& entry : mEntries) {
    const uint64_t mixed = routing::MixBits(group ^ entry.hash);
    if (home == nullptr || mixed > highest) {
      highest = mixed;
      home = &entry;
    }
  }
  return home == nullptr ? std::string() : home->address;
}

bool
SlotCoordinator::IsHomeOf(const std::string& aInstance) const
{
  const UpstreamSet& upstreams = mBroker.Upstreams();
  return HomeOf(upstreams.ServiceOf(aInstance), upstreams.GroupOf(aInstance)) ==
         mSelf;
}

/// @return the cold upstreams of which this host is the home.
std::vector<std::string>
SlotCoordinator::ColdHere() const
{
  std::vector<std::string> cold =
    mBroker.Upstreams().ColdInstances(mClock.Now());
  std::erase_if(cold, [&](const auto& aId) { return !IsHomeOf(aId); });
  return cold;
}

/// Safeguard: the home before this one has sent a cold upstream as much as it
/// bears in the last second. Sent as much again by its next home, it would
/// crash. So a new home waits until that second has passed.
void
SlotCoordinator::HoldOffNewCold(const std::vector<std::string>& aBefore)
{
  std::vector<std::string> cold = ColdHere();
  std::erase_if(cold, [&](const auto& aId) {
    return std::find(aBefore.begin(), aBefore.end(), aId) != aBefore.end();
  });
  mBroker.HoldOffCold(cold, mClock.Now());
}

/// Safeguard: a home that is cut off goes on after another has taken its place,
/// for those that are cut off with it. Two homes would send a cold upstream
/// twice what it bears. So only a host that is its home, and is assured of it,
/// keeps the slots of a cold upstream; the list of entries leaves one out only
/// after a longer silence than this.
bool
SlotCoordinator::MayKeepCold(const std::string& aService, uint32_t aGroup) const
{
  return mStateAge() < Duration(kAssuredHome) &&
         HomeOf(aService, aGroup) == mSelf;
}

bool
SlotCoordinator::IsSilent(const std::string& aHome) const
{
  const auto found = mSilentUntil.find(aHome);
  return found != mSilentUntil.end() && mClock.Now() < found->second;
}

void
SlotCoordinator::NoteAskTime(Duration aTime)
{
  mAskTime += Scaled(aTime - mAskTime, kNewestAsk);
  if (mAskTime >= Duration(kSlowAsk)) {
    mAsksAreSlow = true;
  } else if (mAskTime <= Duration(kQuickAsk)) {
    mAsksAreSlow = false;
  }
}

/// A home knows all requests that its upstreams have, so that its choice is the
/// best there is, for two messages before each request. On links that are busy
/// these wait at four queues, longer than the better choice gains.
bool
SlotCoordinator::ChoosesDirect(const SlotRequest& aRequest)
{
  const UpstreamSet& upstreams = mBroker.Upstreams();
  const Instant now = mClock.Now();
  if (!mAsksAreSlow || !aRequest.instance.empty() ||
      !upstreams.TellsLoad(aRequest.service, now) ||
      mRandom() % kStillAsks == 0) {
    return false;
  }
  const double cold = upstreams.ColdPart(aRequest.service, now) * kColdAsks;
  return static_cast<double>(mRandom() % 1024) >= cold * 1024;
}

/// Safeguard: while a key is busy, each of some tens of hosts that hear nothing
/// of its home would send its owner a request. Those that find no place there
/// never get an answer, and may not be sent again. A host that has wanted the
/// owner a moment ago knows that it is busy, and leaves it to its home.
bool
SlotCoordinator::NoteWanted(const std::string& aInstance)
{
  const Instant now = mClock.Now();
  Instant& wantedAt = mWantedAt[aInstance];
  const bool calm = now - wantedAt >= Duration(kCalmAfter);
  wantedAt = now;
  return calm || mEntries.size() <= kFewHosts;
}

} // namespace rattandyke::gateway
