// The home entry of an upstream, and the conditions for bypassing it.
#include "gateway/slot_coordinator.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace rattandyke::gateway {

namespace {

namespace asio = boost::asio;
using scheduling::AllocatorRole;
using scheduling::AllocatorRule;
using std::chrono::milliseconds;

/// With a list of entries older than this, a host may no longer be the home
/// entry.
constexpr milliseconds kMaxStateAge{ 1000 };
/// A control host with a state older than this does not allocate, and an entry
/// host sends nothing without asking an allocator. The state is not confirmed
/// during an election, which takes up to 450 ms; if control hosts declined
/// meanwhile, all entries would send without coordination.
constexpr milliseconds kMaxControlStateAge{ 500 };
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
/// Shortest time between two log lines about changed allocators.
constexpr milliseconds kAllocatorsLogInterval{ 1000 };
/// Interval of the log line about upstreams that get no requests.
constexpr std::chrono::seconds kUnusedCheckInterval{ 10 };
/// This few hosts can't overload an upstream with one request each.
constexpr size_t kFewEntries = 16;

} // namespace

std::string
SlotCoordinator::HomeOf(const std::string& aService, uint32_t aGroup) const
{
  return std::string(AllocatorsOf(aService, aGroup).first);
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
SlotCoordinator::PauseNewlyHomed(const std::vector<std::string>& aBefore,
                                 Duration aExtra)
{
  std::vector<std::string> limited = RateLimitedHomedHere();
  std::erase_if(limited, [&](const auto& aId) {
    return std::find(aBefore.begin(), aBefore.end(), aId) != aBefore.end();
  });
  mBroker.PauseRateLimited(limited, mClock.Now() + aExtra);
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
  if (mAllocators.Rule() == AllocatorRule::ControlHosts) {
    return HasRecentState() ? 1 : 0;
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
  return isFirst || mAllocators.EntryCount() <= kFewEntries;
}

void
SlotCoordinator::ReplaceMembers(const State& aState)
{
  std::vector<scheduling::AllocatorDirectory::Statement> entries;
  for (const auto& [address, member] : aState.Entries()) {
    entries.push_back({ address, member.link_mbits() });
  }
  std::vector<scheduling::AllocatorDirectory::Statement> controlHosts;
  for (const auto& [address, member] : aState.ControlHosts()) {
    controlHosts.push_back(
      { address, member.link_mbits(), member.allocates_slots() });
  }
  mAllocators.Replace(entries, controlHosts);
  OnEntryCountChanged();
}

/// Applies a command that adds, changes or removes a host.
void
SlotCoordinator::ApplyMembership(const State& aState,
                                 const wire::GatewayCommand& aCommand)
{
  const AllocatorRule ruleBefore = mAllocators.Rule();
  const std::vector<std::string> limitedBefore = RateLimitedHomedHere();
  if (aCommand.has_put_entry()) {
    const wire::EntryMember& entry = aCommand.put_entry().entry();
    mAllocators.PutEntry(entry.address(), entry.link_mbits());
  } else if (aCommand.has_drop_entry()) {
    mAllocators.RemoveEntry(aCommand.drop_entry().address());
  } else if (aCommand.has_put_control()) {
    const wire::ControlMember& control = aCommand.put_control().control();
    mAllocators.PutControlHost(
      control.address(), control.allocates_slots(), control.link_mbits());
  } else {
    mAllocators.RemoveControlHost(aCommand.drop_control().address());
  }
  OnEntryCountChanged();
  if (aCommand.has_drop_entry()) {
    RemoveStaleRequesters(aState);
  }
  OnAllocatorsChanged(ruleBefore != AllocatorRule::EntriesAlike ||
                        mAllocators.Rule() != AllocatorRule::EntriesAlike,
                      limitedBefore);
}

/// Without EntriesAlike, many upstreams may change their allocator at once
/// while the previous one is alive. It stops sending to limited upstreams as
/// soon as it learns of the change, or once its state is older than
/// kMaxStateAge, so the new allocator waits for that time as well.
/// @param aByCapacity whether another rule than EntriesAlike is, or may have
/// been, in force.
/// @param aLimitedBefore limited upstreams that were homed on this host before.
void
SlotCoordinator::OnAllocatorsChanged(
  bool aByCapacity,
  const std::vector<std::string>& aLimitedBefore)
{
  if (!aByCapacity) {
    PauseNewlyHomed(aLimitedBefore);
    return;
  }
  PauseNewlyHomed(aLimitedBefore, Duration(kMaxStateAge));
  const uint64_t fingerprint = mAllocators.Fingerprint();
  if (std::exchange(mAllocatorsFingerprint, fingerprint) != fingerprint) {
    PauseNewLimits();
    LogAllocators();
    UpdateQueuedRequests();
    WakeReplaced();
  }
}

/// This host may learn of a limit only after it took over, while the previous
/// allocator, which knows it, still sends.
void
SlotCoordinator::PauseNewLimits()
{
  mBroker.PauseNewLimits(mClock.Now() + Duration(kMaxStateAge));
}

/// Logs the allocators if they have changed. While many hosts join, they change
/// with each of them, so the line is written at intervals.
void
SlotCoordinator::LogAllocators()
{
  const Instant now = mClock.Now();
  if (mLoggedAllocators == mAllocatorsFingerprint ||
      now - mLoggedAllocatorsAt < Duration(kAllocatorsLogInterval)) {
    return;
  }
  mLoggedAllocators = mAllocatorsFingerprint;
  mLoggedAllocatorsAt = now;
  log::Line(log::Part::Entry, log::Severity::Info)
    << "allocators of slots changed role=" << NameOf(mAllocators.Rule())
    << " count=" << mAllocators.AllocatorCount();
}

/// Logs that upstreams of which this host is the home entry get no requests. An
/// operator sees from it why their load differs from that of others.
void
SlotCoordinator::LogUnusedUpstreams()
{
  const Instant now = mClock.Now();
  if (now - mUnusedCheckedAt < Duration(kUnusedCheckInterval)) {
    return;
  }
  mUnusedCheckedAt = now;
  const std::vector<std::string> unused =
    mBroker.Upstreams().UnusedInstances(now);
  if (!unused.empty()) {
    log::Line(log::Part::Entry, log::Severity::Info)
      << "upstreams with room got none of the last requests count="
      << unused.size() << " first=" << unused.front();
  }
}

void
SlotCoordinator::SetHome(Pending& aPending,
                         const std::string& aHome,
                         const SlotRequest& aRequest) const
{
  aPending.home = aHome;
  aPending.second = aRequest.second;
  aPending.rule = mAllocators.Rule();
  aPending.service = aRequest.service;
  aPending.group = aRequest.group;
}

/// With EntriesAlike any entry grants what it is asked for, so a request stays
/// where it is queued.
bool
SlotCoordinator::IsReplaced(const Pending& aPending) const
{
  if (aPending.home.empty() ||
      (aPending.rule == AllocatorRule::EntriesAlike &&
       mAllocators.Rule() == AllocatorRule::EntriesAlike)) {
    return false;
  }
  const AllocatorRole role =
    AllocatorsOf(aPending.service, aPending.group).RoleOf(aPending.home);
  return role == AllocatorRole::None ||
         (role == AllocatorRole::Second && !aPending.second);
}

/// Ends the wait of requests at hosts that no longer allocate for them.
void
SlotCoordinator::WakeReplaced()
{
  for (const auto& [ticket, pending] : mPending) {
    if (pending->queued && !pending->outcome && IsReplaced(*pending)) {
      pending->replaced = true;
      pending->context->WakeTimer().cancel();
    }
  }
}

/// Requests that are queued here when this host is replaced, or its state
/// becomes outdated, get what a second allocator grants: another host may grant
/// all slots.
void
SlotCoordinator::UpdateQueuedRequests()
{
  mBroker.UpdateQueued([this](SlotRequest& aRequest) {
    if (!aRequest.direct && !aRequest.uncoordinated) {
      SetAllocation(aRequest);
    }
  });
}

/// Determines which part of the upstreams' slots a request may get here.
void
SlotCoordinator::SetAllocation(SlotRequest& aRequest) const
{
  if (mAllocators.Rule() != AllocatorRule::EntriesAlike) {
    const auto allocators = AllocatorsOf(aRequest.service, aRequest.group);
    aRequest.second |= allocators.RoleOf(mSelf) != AllocatorRole::First ||
                       IsOutdatedControlHost();
  }
  aRequest.rateShare =
    aRequest.second ? 0 : RateShareOf(aRequest.service, aRequest.group);
}

/// @return whether this host may answer a slot request of another one. With
/// EntriesAlike it does so even if it is not the home entry. Otherwise the
/// message may be one from an earlier set of allocators.
bool
SlotCoordinator::MayAllocate(const SlotRequest& aRequest) const
{
  if (mAllocators.Rule() == AllocatorRule::EntriesAlike) {
    return true;
  }
  const AllocatorRole role =
    AllocatorsOf(aRequest.service, aRequest.group).RoleOf(mSelf);
  if (IsOutdatedControlHost()) {
    return false;
  }
  const bool second = aRequest.second || role == AllocatorRole::Second;
  return role != AllocatorRole::None &&
         (!second || mStateAge() < Duration(kMaxStateAge));
}

bool
SlotCoordinator::IsOutdatedControlHost() const
{
  return mAllocators.Rule() == AllocatorRule::ControlHosts && !HasRecentState();
}

/// @return whether this host may act on its state without asking another one.
bool
SlotCoordinator::HasRecentState() const
{
  return mStateAge() < Duration(kMaxControlStateAge);
}

/// A control host whose state was outdated does not know who allocated
/// meanwhile, and one that has replayed its log does not know what it sent
/// before its restart.
void
SlotCoordinator::CheckStateAge()
{
  const bool recent = HasRecentState();
  if (recent == mStateIsRecent) {
    return;
  }
  mStateIsRecent = recent;
  if (mAllocators.Rule() != AllocatorRule::ControlHosts) {
    return;
  }
  if (recent) {
    PauseNewlyHomed({}, Duration(kMaxStateAge));
    PauseNewLimits();
  }
  UpdateQueuedRequests();
}

asio::awaitable<std::optional<SlotOutcome>>
SlotCoordinator::AcquireFromNext(std::string aTried,
                                 std::shared_ptr<RequestContext> aContext,
                                 SlotRequest aRequest,
                                 Instant aSince)
{
  if (aRequest.direct || aContext->IsCancelled() ||
      mAllocators.Rule() == AllocatorRule::EntriesAlike) {
    co_return std::nullopt;
  }
  const auto allocators = AllocatorsOf(aRequest.service, aRequest.group);
  // The set of allocators may have changed while the request waited.
  aRequest.second = allocators.first == aTried;
  const std::string next(aRequest.second ? allocators.second
                                         : allocators.first);
  if (next.empty() || IsUnresponsive(next)) {
    co_return std::nullopt;
  }
  DeductTime(aRequest, mClock.Now() - aSince);
  mRequestsToSecond += aRequest.second ? 1 : 0;
  if (next != mSelf) {
    co_return co_await AcquireFrom(next, aContext, aRequest);
  }
  if (!MayAllocate(aRequest)) {
    co_return std::nullopt;
  }
  SetAllocation(aRequest);
  co_return co_await AcquireFrom({}, aContext, aRequest);
}

} // namespace rattandyke::gateway
