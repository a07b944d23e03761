/// Entry hosts and upstreams in simulated time, for tests of what all entries
/// together send to an upstream.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gateway/rest_register.h"
#include "gateway/slot_coordinator.h"
#include "gateway/state.h"
#include "scheduling/link_meter.h"

namespace rattandyke::gateway::testing {

/// An emulated upstream. Tests change its behaviour while it runs.
struct UpstreamModel
{
  /// Requests per second that it names in its responses.
  std::optional<double> rateLimit;
  /// It refuses requests and wants no further ones from the same entry for this
  /// time.
  std::optional<Duration> rest;
  /// It says in its responses that it leaves.
  bool leaving = false;
  /// Another process has its address, and refuses requests for it.
  bool replaced = false;
  uint32_t slots = 2;
  Duration serviceTime = std::chrono::milliseconds{ 40 };
  /// It reports its load in its responses.
  bool reportsLoad = false;
};

/// The hosts of a group and what they state in the replicated state.
struct GroupOptions
{
  /// Bandwidth that entries state; 0: they state none.
  double linkMbits = 0;
  /// Control hosts that allocate slots from the start.
  size_t controlHosts = 0;
  /// Requests per second that a cold upstream bears; 0: upstreams are not cold.
  double coldRate = 0;
};

/// A request that arrived at an upstream.
struct Arrival
{
  Instant at{};
  size_t entry = 0;
  /// Time at which its caller sent it.
  Instant sentAt{};
  /// Time of the first response in which the upstream told the entry that it
  /// leaves, if it has.
  std::optional<Instant> toldLeavingAt;
  /// Time of the first response with a rate limit that the entry got from the
  /// upstream, if it has got one.
  std::optional<Instant> toldLimitAt;
};

/// A rest that an upstream asked an entry for.
struct Rest
{
  size_t entry = 0;
  Instant from{};
  Instant until{};
};

/// Several entry hosts, each with a SlotCoordinator, and the upstreams of one
/// service. Messages between entries take a fixed time; timers follow the
/// simulated clock. Control hosts that allocate are numbered after the entries.
class EntryGroup
{
public:
  static constexpr std::chrono::milliseconds kStep{ 5 };

  /// @param aOwnsKeys whether each request is for a certain upstream.
  EntryGroup(size_t aEntries,
             size_t aUpstreams,
             bool aOwnsKeys,
             const GroupOptions& aOptions = {});
  ~EntryGroup();

  /// Lets time pass while callers send requests to random entries.
  void RunFor(Duration aTime, double aRequestsPerSecond);

  /// Ends an entry. It leaves the list of entries at the same time if it says
  /// so, otherwise kDetectionTime later.
  void StopEntry(size_t aEntry, bool aPlanned);
  /// Starts an entry again, without what it knew but for what control hosts
  /// have recorded.
  void StartEntry(size_t aEntry);
  /// Drops or delivers the messages to and from an entry, which stays in the
  /// list.
  void SetSilent(size_t aEntry, bool aSilent);
  /// Drops the messages to a host, or those that it sends.
  void SetCut(size_t aEntry, bool aIn, bool aOut);
  /// Holds back the changes of the state from a host, whose state becomes
  /// older, or gives it the present state.
  void SetStateHeld(size_t aEntry, bool aHeld);
  /// Starts a host again that has no state until SetStateHeld ends.
  void StartWithoutState(size_t aEntry);
  /// Changes what a control host states about itself.
  void SetAllocating(size_t aControlHost, bool aAllocates);
  /// Changes the bandwidth that an entry states.
  void SetLink(size_t aEntry, double aLinkMbits);
  const SlotCoordinator& Slots(size_t aEntry) const;
  /// @return the requests of all entries that went to the second allocator.
  size_t RequestsToSecond() const;
  /// @return the entry that last answered a slot request of another one.
  size_t LastHome() const { return mLastHome; }
  void SetMessageDelay(Duration aDelay) { mMessageDelay = aDelay; }
  /// Sets the time since the entries' state was known to be up to date.
  void SetStateAge(Duration aAge) { mStateAge = aAge; }
  /// Lets time pass while home entries are silent and are restarted, in series,
  /// and messages are slow in every other round.
  void DisturbHomes(size_t aRounds, double aRequestsPerSecond);
  /// Starts an upstream again under its id.
  void RestartUpstream(size_t aUpstream);

  UpstreamModel& Upstream(size_t aUpstream) { return mUpstreams[aUpstream]; }
  const std::vector<Arrival>& Arrivals(size_t aUpstream) const
  {
    return mArrivals[aUpstream];
  }

  /// @return the most requests that arrived at an upstream in any window since
  /// then.
  size_t MostArrivals(size_t aUpstream, Instant aFrom, Duration aWindow) const;

  /// @return the number of requests that arrived since then.
  size_t ArrivalsSince(size_t aUpstream, Instant aSince) const;

  Instant Now() const { return mNow; }
  /// Requests that got a response, and that were refused by their entry.
  size_t Served() const { return mServed; }
  size_t Refused() const { return mRefused; }
  void ResetCounts() { mServed = mRefused = 0; }
  /// @return the longest time after which a request was refused.
  Duration LongestRefusalTime() const { return mLongestRefusalTime; }
  /// Messages about slots that entries have sent since the last call. Each is
  /// counted once, with the bytes that it needs on the sender's link.
  scheduling::LinkMeter::Traffic TakeSlotMessages();
  /// @return the different times after which refused callers may come back.
  const std::set<Duration>& RetryAfterTimes() const { return mRetryAfterTimes; }

  /// @return the most requests that arrived in a window at an upstream from
  /// entries that had been told a limit half a second before, in windows that
  /// begin at aFrom or later.
  size_t MostInWindow(size_t aUpstream, Instant aFrom, Duration aWindow) const;

  static constexpr std::chrono::milliseconds kDetectionTime{ 1500 };

  /// @return the most requests that an entry sent an upstream within a rest
  /// that the upstream had asked it for, from half a second after the refusal
  /// on.
  size_t MostWithinRest(size_t aUpstream) const;

  /// @return the longest time between a response that told an entry that the
  /// upstream leaves, and the sending of a request which that entry passed on
  /// to it.
  Duration LatestAfterLeaving(size_t aUpstream) const;

  static constexpr std::chrono::seconds kDrainTimeout{ 2 };

private:
  class SimulatedClock;
  struct Entry;
  struct Response;
  struct Message;

  std::string AddressOf(size_t aEntry) const;
  wire::GatewayCommand PutHost(size_t aEntry) const;
  wire::GatewayCommand DropHost(size_t aEntry) const;
  Duration StateAgeOf(size_t aEntry) const;
  void StartCoordinator(size_t aEntry);
  void Apply(const wire::GatewayCommand& aCommand);
  wire::GatewayCommand PutUpstream(size_t aUpstream) const;
  void SendRequest();
  void OnSlot(size_t aEntry,
              uint64_t aSession,
              Instant aSentAt,
              SlotOutcome aOutcome);
  void TickEntries();
  void DeliverMessages();
  void DeliverResponses();
  void RunHandlers();

  const bool mOwnsKeys;
  const GroupOptions mOptions;
  /// The first hosts, which have callers.
  const size_t mCallerEntries;
  Instant mNow{ std::chrono::hours{ 1 } };
  Instant mNextTick{};
  Duration mMessageDelay = kStep;
  Duration mStateAge{};
  std::mt19937_64 mRandom{ 11 };
  std::unique_ptr<SimulatedClock> mClock;
  boost::asio::io_context mContext;
  State mState;
  uint64_t mIndex = 0;
  uint64_t mLastSession = 0;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<UpstreamModel> mUpstreams;
  std::vector<uint64_t> mIncarnations;
  std::vector<std::vector<Arrival>> mArrivals;
  /// Refusals with a rest, by upstream.
  std::vector<std::vector<Rest>> mRests;
  std::multimap<Instant, Message> mMessages;
  std::multimap<Instant, Response> mResponses;
  std::multimap<Instant, size_t> mDrops;
  /// Requests that may wait for a slot, and their entries.
  std::vector<std::pair<size_t, std::weak_ptr<RequestContext>>> mWaiting;
  size_t mLastHome = 0;
  /// What control hosts have recorded.
  RestRegister mRestRegister;
  scheduling::LinkMeter mSlotMessages{ mNow };
  double mOwedRequests = 0;
  size_t mServed = 0;
  size_t mRefused = 0;
  Duration mLongestRefusalTime{};
  std::set<Duration> mRetryAfterTimes;
};

} // namespace rattandyke::gateway::testing
