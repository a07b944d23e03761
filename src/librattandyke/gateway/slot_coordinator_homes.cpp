// The home entry of an upstream, and the conditions for bypassing it.
#include "gateway/slot_coordinator.h"

#include <algorithm>

#include "routing/service_table.h"

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// With a list of entries older than this, a host may no longer be the home
/// entry.
constexpr milliseconds kMaxStateAge{ 1000 };
/// Share of a limited upstream's request rate that a host allocates with such a
/// list. Together with a whole share of another host it stays below one and a
/// half times the rate.
constexpr double kOutdatedListShare = 0.45;
/// Mean latency of slot requests above which they are slow: an upstream chosen
/// from load reports then answers earlier, even if it is not the best one.
constexpr milliseconds kSlowHomeLatency{ 20 };
/// Mean latency at which slot requests are no longer slow.
constexpr milliseconds kFastHomeLatency{ 6 };
/// Weight of the newest latency in the moving average.
constexpr double kLatencyWeight = 0.05;
/// One in this many requests is sent to the home entry even while slot requests
/// are slow, to measure the latency.
constexpr uint64_t kHomeProbePeriod = 32;
/// Fraction of the requests to a service that go to the home entry if all its
/// upstreams are limited in their request rate; proportionally less if fewer
/// are. Only home entries know how many requests such an upstream may get.
constexpr double kLimitedHomeFraction = 0.6;
/// This few hosts can't overload an upstream with one request each.
constexpr size_t kFewEntries = 16;

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

/// Rendezvous hashing: the home entry is the entry whose hash, mixed with that
/// of the group, is the highest. When an entry is added or removed, only the
/// groups that it gains or loses change their home entry. Since every request
/// calls this, the hashes of the entries are stored.
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

/// @return the upstreams with a limited request rate of which this host is the
/// home entry.
std::vector<std::string>
SlotCoordinator::RateLimitedHomedHere() const
{
  std::vector<std::string> limited =
    mBroker.Upstreams().RateLimitedInstances(mClock.Now());
  std::erase_if(limited, [&](const auto& aId) { return !IsHomeOf(aId); });
  return limited;
}

/// Pauses sending to limited upstreams that have become homed on this host. The
/// previous home entry may have sent such an upstream all requests that it
/// accepts, and as many again from this host would be too many.
/// @param aBefore limited upstreams that were homed on this host before.
void
SlotCoordinator::PauseNewlyHomed(const std::vector<std::string>& aBefore)
{
  std::vector<std::string> limited = RateLimitedHomedHere();
  std::erase_if(limited, [&](const auto& aId) {
    return std::find(aBefore.begin(), aBefore.end(), aId) != aBefore.end();
  });
  mBroker.PauseRateLimited(limited, mClock.Now());
}

/// A partitioned home entry continues to allocate slots for the entries on its
/// side of the partition after another has replaced it, and two home entries
/// would send a limited upstream twice what it accepts. An entry is removed
/// from the list only after being unreachable for longer than kMaxStateAge, so
/// with an older list this host allocates only a part of the rate.
double
SlotCoordinator::RateShareOf(const std::string& aService, uint32_t aGroup) const
{
  const std::string home = HomeOf(aService, aGroup);
  if (!home.empty() && home != mSelf) {
    return 0;
  }
  const bool upToDate = home.empty() || mStateAge() < Duration(kMaxStateAge);
  return upToDate ? 1 : kOutdatedListShare;
}

bool
SlotCoordinator::IsUnresponsive(const std::string& aHome) const
{
  const auto found = mUnresponsiveUntil.find(aHome);
  return found != mUnresponsiveUntil.end() && mClock.Now() < found->second;
}

void
SlotCoordinator::RecordHomeLatency(Duration aTime)
{
  mHomeLatency += Scaled(aTime - mHomeLatency, kLatencyWeight);
  if (mHomeLatency >= Duration(kSlowHomeLatency)) {
    mHomesAreSlow = true;
  } else if (mHomeLatency <= Duration(kFastHomeLatency)) {
    mHomesAreSlow = false;
  }
}

/// A home entry knows all requests at its upstreams, so it makes the best
/// choice, at the cost of two messages before each request. On busy links these
/// messages wait in four queues, which costs more time than the better choice
/// saves.
bool
SlotCoordinator::ShouldChooseDirect(const SlotRequest& aRequest)
{
  const UpstreamSet& upstreams = mBroker.Upstreams();
  const Instant now = mClock.Now();
  if (!mHomesAreSlow || !aRequest.instance.empty() ||
      !upstreams.ReportsLoad(aRequest.service, now) ||
      mRandom() % kHomeProbePeriod == 0) {
    return false;
  }
  const double limited =
    upstreams.RateLimitedFraction(aRequest.service, now) * kLimitedHomeFraction;
  return static_cast<double>(mRandom() % 1024) >= limited * 1024;
}

/// While a key is hot and the home entry of its owner does not answer, each of
/// some tens of hosts would send the owner a request. Requests beyond the
/// owner's queue never get a response and must not be sent again. A host that
/// had another request for the owner within kBypassInterval assumes that it is
/// in demand and does not bypass the home entry.
bool
SlotCoordinator::RecordRequest(const std::string& aInstance)
{
  const Instant now = mClock.Now();
  Instant& lastRequestAt = mLastRequestAt[aInstance];
  const bool isFirst = now - lastRequestAt >= Duration(kBypassInterval);
  lastRequestAt = now;
  return isFirst || mEntries.size() <= kFewEntries;
}

} // namespace rattandyke::gateway
