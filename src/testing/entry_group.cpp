#include "testing/entry_group.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>

namespace rattandyke::gateway::testing {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr const char* kService = "desk";
/// Bandwidth that control hosts state.
constexpr double kControlLinkMbits = 1000;
/// Cold period of upstreams that are cold at their start.
constexpr milliseconds kColdTime{ 60000 };
constexpr milliseconds kMaxWait{ 300 };
constexpr milliseconds kMaxHold{ 1000 };
constexpr milliseconds kTimeToObjective{ 500 };
const UpstreamSet::Options kOptions{
  EntryGroup::kDrainTimeout, std::chrono::seconds{ 5 }, 1, 0, {}, {}
};

std::string
InstanceId(size_t aUpstream)
{
  return "i-" + std::to_string(aUpstream);
}

size_t
UpstreamNumber(const std::string& aInstance)
{
  return std::stoul(aInstance.substr(2));
}

} // namespace

class EntryGroup::SimulatedClock final : public Clock
{
public:
  explicit SimulatedClock(const Instant& aNow)
    : mNow(aNow)
  {
  }

  Instant Now() const override { return mNow; }
  WallTime Wall() const override { return {}; }

private:
  const Instant& mNow;
};

struct EntryGroup::Entry
{
  uint64_t session = 0;
  bool listed = true;
  bool cutIn = false;
  bool cutOut = false;
  /// What it states: an entry its bandwidth, a control host that it allocates.
  double linkMbits = 0;
  bool allocates = true;
  std::optional<Instant> stateHeldSince;
  std::unique_ptr<SlotCoordinator> slots;
  /// First responses with a rate limit, and that told of leaving, by upstream.
  std::map<size_t, Instant> toldLimitAt;
  std::map<size_t, Instant> toldLeavingAt;
};

struct EntryGroup::Message
{
  size_t from = 0;
  std::string to;
  wire::GatewayFrame frame;
};

struct EntryGroup::Response
{
  size_t entry = 0;
  uint64_t session = 0;
  Slot slot;
  Duration elapsed{};
  /// The upstream refused the request.
  std::optional<Duration> rest;
};

EntryGroup::EntryGroup(size_t aEntries,
                       size_t aUpstreams,
                       bool aOwnsKeys,
                       const GroupOptions& aOptions)
  : mOwnsKeys(aOwnsKeys)
  , mOptions(aOptions)
  , mCallerEntries(aEntries)
  , mClock(std::make_unique<SimulatedClock>(mNow))
  , mUpstreams(aUpstreams)
  , mIncarnations(aUpstreams, 1)
  , mArrivals(aUpstreams)
  , mRests(aUpstreams)
{
  wire::GatewayCommand service;
  wire::ServiceItem* item = service.mutable_change_items()->add_services();
  item->set_name(kService);
  item->set_owns_keys(aOwnsKeys);
  item->set_version(1);
  item->set_source(kService);
  item->set_cold_rate(aOptions.coldRate);
  Apply(service);
  for (size_t number = 0; number < aUpstreams; ++number) {
    Apply(PutUpstream(number));
  }
  const size_t hosts = aEntries + aOptions.controlHosts;
  for (size_t number = 0; number < hosts; ++number) {
    mEntries.push_back(std::make_unique<Entry>());
    mEntries.back()->linkMbits = aOptions.linkMbits;
    Apply(PutHost(number));
  }
  for (size_t number = 0; number < hosts; ++number) {
    StartEntry(number);
  }
}

EntryGroup::~EntryGroup() = default;

std::string
EntryGroup::AddressOf(size_t aEntry) const
{
  const char* network = aEntry < mCallerEntries ? "10.0." : "10.8.";
  return network + std::to_string(aEntry / 250) + "." +
         std::to_string(aEntry % 250) + ":1";
}

wire::GatewayCommand
EntryGroup::PutHost(size_t aEntry) const
{
  wire::GatewayCommand put;
  const Entry& entry = *mEntries[aEntry];
  if (aEntry < mCallerEntries) {
    wire::EntryMember* member = put.mutable_put_entry()->mutable_entry();
    member->set_address(AddressOf(aEntry));
    member->set_link_mbits(entry.linkMbits);
  } else {
    wire::ControlMember* member = put.mutable_put_control()->mutable_control();
    member->set_address(AddressOf(aEntry));
    member->set_allocates_slots(entry.allocates);
    member->set_link_mbits(kControlLinkMbits);
  }
  return put;
}

wire::GatewayCommand
EntryGroup::DropHost(size_t aEntry) const
{
  wire::GatewayCommand drop;
  if (aEntry < mCallerEntries) {
    drop.mutable_drop_entry()->set_address(AddressOf(aEntry));
  } else {
    drop.mutable_drop_control()->set_address(AddressOf(aEntry));
  }
  return drop;
}

Duration
EntryGroup::StateAgeOf(size_t aEntry) const
{
  const auto& heldSince = mEntries[aEntry]->stateHeldSince;
  return heldSince ? mNow - *heldSince : mStateAge;
}

void
EntryGroup::Apply(const wire::GatewayCommand& aCommand)
{
  static_cast<void>(mState.Apply(aCommand, LogIndex{ ++mIndex }));
  for (const auto& entry : mEntries) {
    if (entry->slots && !entry->stateHeldSince) {
      entry->slots->StateChanged(mState, aCommand);
    }
  }
}

wire::GatewayCommand
EntryGroup::PutUpstream(size_t aUpstream) const
{
  wire::GatewayCommand put;
  wire::UpstreamInstance* instance =
    put.mutable_put_instance()->mutable_instance();
  instance->set_id(InstanceId(aUpstream));
  instance->set_service(kService);
  instance->set_address("10.9.0.1:" + std::to_string(aUpstream + 1));
  instance->set_slots(mUpstreams[aUpstream].slots);
  instance->set_life(mIncarnations[aUpstream]);
  if (mOptions.coldRate > 0) {
    instance->set_cold_ms(kColdTime.count());
  }
  return put;
}

void
EntryGroup::StartEntry(size_t aEntry)
{
  Entry& entry = *mEntries[aEntry];
  StartCoordinator(aEntry);
  if (!entry.listed) {
    entry.listed = true;
    Apply(PutHost(aEntry));
  }
  entry.stateHeldSince.reset();
  entry.slots->StateChanged(mState);
}

void
EntryGroup::StartWithoutState(size_t aEntry)
{
  StartCoordinator(aEntry);
  mEntries[aEntry]->stateHeldSince = mNow - kDetectionTime;
}

void
EntryGroup::StartCoordinator(size_t aEntry)
{
  Entry& entry = *mEntries[aEntry];
  entry.session = ++mLastSession;
  entry.toldLimitAt.clear();
  entry.toldLeavingAt.clear();
  entry.slots = std::make_unique<SlotCoordinator>(
    mContext.get_executor(),
    AddressOf(aEntry),
    entry.session,
    [this, aEntry](const HostName& aTo, const wire::GatewayFrame& aFrame) {
      mLastHome = aFrame.has_slot_answer() ? aEntry : mLastHome;
      mSlotMessages.Record(scheduling::LinkUse::SlotsRequested,
                           scheduling::LinkDirection::Out,
                           aFrame.ByteSizeLong());
      mMessages.emplace(mNow + mMessageDelay,
                        Message{ aEntry, aTo.value, aFrame });
    },
    *mClock,
    entry.session,
    kOptions,
    [this, aEntry] { return StateAgeOf(aEntry); });
  entry.slots->RestoreRests(mRestRegister.RestsOf(AddressOf(aEntry), mNow));
}

void
EntryGroup::SetStateHeld(size_t aEntry, bool aHeld)
{
  Entry& entry = *mEntries[aEntry];
  if (aHeld) {
    entry.stateHeldSince = mNow;
  } else if (std::exchange(entry.stateHeldSince, std::nullopt)) {
    entry.slots->StateChanged(mState);
  }
}

void
EntryGroup::SetAllocating(size_t aControlHost, bool aAllocates)
{
  mEntries[aControlHost]->allocates = aAllocates;
  Apply(PutHost(aControlHost));
}

void
EntryGroup::SetLink(size_t aEntry, double aLinkMbits)
{
  mEntries[aEntry]->linkMbits = aLinkMbits;
  Apply(PutHost(aEntry));
}

const SlotCoordinator&
EntryGroup::Slots(size_t aEntry) const
{
  return *mEntries[aEntry]->slots;
}

size_t
EntryGroup::RequestsToSecond() const
{
  size_t requests = 0;
  for (const auto& entry : mEntries) {
    requests += entry->slots ? entry->slots->RequestsToSecond() : 0;
  }
  return requests;
}

void
EntryGroup::StopEntry(size_t aEntry, bool aPlanned)
{
  for (const auto& [entry, waiting] : mWaiting) {
    const auto context = waiting.lock();
    if (context && entry == aEntry) {
      context->OnHostShutdown();
    }
  }
  RunHandlers();
  mEntries[aEntry]->slots.reset();
  mDrops.emplace(aPlanned ? mNow : mNow + kDetectionTime, aEntry);
}

void
EntryGroup::SetSilent(size_t aEntry, bool aSilent)
{
  SetCut(aEntry, aSilent, aSilent);
}

void
EntryGroup::SetCut(size_t aEntry, bool aIn, bool aOut)
{
  mEntries[aEntry]->cutIn = aIn;
  mEntries[aEntry]->cutOut = aOut;
}

void
EntryGroup::RestartUpstream(size_t aUpstream)
{
  ++mIncarnations[aUpstream];
  Apply(PutUpstream(aUpstream));
}

void
EntryGroup::RunFor(Duration aTime, double aRequestsPerSecond)
{
  for (const Instant end = mNow + aTime; mNow < end; mNow += kStep) {
    while (!mDrops.empty() && mDrops.begin()->first <= mNow) {
      Entry& entry = *mEntries[mDrops.begin()->second];
      if (!entry.slots && entry.listed) {
        entry.listed = false;
        Apply(DropHost(mDrops.begin()->second));
      }
      mDrops.erase(mDrops.begin());
    }
    mOwedRequests +=
      aRequestsPerSecond * std::chrono::duration<double>(kStep).count();
    for (; mOwedRequests >= 1; mOwedRequests -= 1) {
      SendRequest();
    }
    DeliverMessages();
    DeliverResponses();
    if (mNow >= mNextTick) {
      mNextTick = mNow + Duration(SlotBroker::kTick);
      TickEntries();
    }
    RunHandlers();
  }
}

void
EntryGroup::TickEntries()
{
  for (const auto& entry : mEntries) {
    if (entry->slots) {
      entry->slots->Tick();
      wire::RecordRests record;
      *record.mutable_rests() = entry->slots->TakeRests(false).rests();
      mRestRegister.Record(record, {}, mNow);
    }
  }
}

scheduling::LinkMeter::Traffic
EntryGroup::TakeSlotMessages()
{
  return mSlotMessages.TakeReport(mNow).Of(scheduling::LinkUse::SlotsRequested,
                                           scheduling::LinkDirection::Out);
}

void
EntryGroup::DisturbHomes(size_t aRounds, double aRequestsPerSecond)
{
  constexpr milliseconds kSlowMessages{ 30 };
  for (size_t round = 0; round < aRounds; ++round) {
    const size_t home = mLastHome;
    const bool slow = round % 2 == 1;
    SetMessageDelay(slow ? kSlowMessages : kStep);
    SetSilent(home, true);
    RunFor(std::chrono::seconds{ 1 }, aRequestsPerSecond);
    SetSilent(home, false);
    if (mEntries.size() > 1) {
      StopEntry(home, !slow);
      RunFor(milliseconds{ 500 }, aRequestsPerSecond);
      StartEntry(home);
    }
    RunFor(milliseconds{ 500 }, aRequestsPerSecond);
  }
}

void
EntryGroup::SendRequest()
{
  const size_t number = mRandom() % mCallerEntries;
  Entry& entry = *mEntries[number];
  if (!entry.slots) {
    return;
  }
  SlotRequest request;
  request.service = kService;
  if (mOwnsKeys) {
    request.instance = InstanceId(mRandom() % mUpstreams.size());
  }
  request.maxWait = kMaxWait;
  request.timeToObjective = kTimeToObjective;
  request.maxHold = kMaxHold;
  auto context = std::make_shared<RequestContext>(mContext.get_executor());
  mWaiting.emplace_back(number, context);
  const uint64_t session = entry.session;
  const Instant sentAt = mNow;
  asio::co_spawn(mContext,
                 entry.slots->Acquire(context, request),
                 [=, this](const std::exception_ptr&, SlotOutcome aOutcome) {
                   OnSlot(number, session, sentAt, std::move(aOutcome));
                 });
  RunHandlers();
}

void
EntryGroup::OnSlot(size_t aEntry,
                   uint64_t aSession,
                   Instant aSentAt,
                   SlotOutcome aOutcome)
{
  const auto* slot = std::get_if<Slot>(&aOutcome);
  if (slot == nullptr) {
    ++mRefused;
    mLongestRefusalTime = std::max(mLongestRefusalTime, mNow - aSentAt);
    mRetryAfterTimes.insert(std::get<SlotUnavailable>(aOutcome).retryAfter);
    return;
  }
  const size_t upstream = UpstreamNumber(slot->instance);
  const Entry& entry = *mEntries[aEntry];
  const auto timeOf = [upstream](const std::map<size_t, Instant>& aTimes) {
    const auto found = aTimes.find(upstream);
    return found == aTimes.end() ? std::optional<Instant>() : found->second;
  };
  mArrivals[upstream].push_back({ mNow,
                                  aEntry,
                                  aSentAt,
                                  timeOf(entry.toldLeavingAt),
                                  timeOf(entry.toldLimitAt) });
  const UpstreamModel& model = mUpstreams[upstream];
  const Duration elapsed = model.rest ? Duration(kStep) : model.serviceTime;
  mResponses.emplace(mNow + elapsed,
                     Response{ aEntry, aSession, *slot, elapsed, model.rest });
}

void
EntryGroup::DeliverMessages()
{
  while (!mMessages.empty() && mMessages.begin()->first <= mNow) {
    const Message message = std::move(mMessages.begin()->second);
    mMessages.erase(mMessages.begin());
    const auto to =
      std::find_if(mEntries.begin(), mEntries.end(), [&](const auto& aEntry) {
        const auto number = static_cast<size_t>(&aEntry - mEntries.data());
        return AddressOf(number) == message.to;
      });
    if (to == mEntries.end() || !(*to)->slots || (*to)->cutIn ||
        mEntries[message.from]->cutOut) {
      continue;
    }
    SlotCoordinator& slots = *(*to)->slots;
    if (message.frame.has_slot_ask()) {
      slots.OnSlotRequest(message.frame.slot_ask());
    } else if (message.frame.has_slot_answer()) {
      slots.OnSlotAnswer(message.frame.slot_answer());
    } else if (message.frame.has_slot_done()) {
      slots.OnSlotRelease(message.frame.slot_done());
    }
    RunHandlers();
  }
}

void
EntryGroup::DeliverResponses()
{
  while (!mResponses.empty() && mResponses.begin()->first <= mNow) {
    const Response response = std::move(mResponses.begin()->second);
    mResponses.erase(mResponses.begin());
    Entry& entry = *mEntries[response.entry];
    if (!entry.slots || entry.session != response.session) {
      continue;
    }
    const size_t number = UpstreamNumber(response.slot.instance);
    const UpstreamModel& upstream = mUpstreams[number];
    if (upstream.replaced) {
      entry.slots->Release(
        response.slot, AttemptOutcome::Misdirected, response.elapsed);
      RunHandlers();
      continue;
    }
    if (upstream.rateLimit) {
      entry.toldLimitAt.try_emplace(number, mNow);
    }
    if (upstream.leaving) {
      entry.toldLeavingAt.try_emplace(number, mNow);
    }
    if (upstream.reportsLoad) {
      entry.slots->RecordLoadReport(response.slot.instance,
                                    { 0, 0, upstream.slots, 1 });
    }
    entry.slots->RecordRateLimit(response.slot, upstream.rateLimit);
    if (upstream.leaving) {
      entry.slots->RecordLeaving(response.slot);
    }
    if (response.rest) {
      mRests[number].push_back({ response.entry, mNow, mNow + *response.rest });
      entry.slots->RecordRest(response.slot, *response.rest);
    }
    entry.slots->Release(response.slot,
                         response.rest ? AttemptOutcome::Refused
                                       : AttemptOutcome::Answered,
                         response.elapsed);
    mServed += response.rest ? 0 : 1;
    RunHandlers();
  }
}

/// Wakes all waiting requests, which check the simulated clock.
void
EntryGroup::RunHandlers()
{
  std::erase_if(mWaiting, [](const auto& aWaiting) {
    const auto context = aWaiting.second.lock();
    if (context) {
      context->WakeTimer().cancel();
    }
    return !context;
  });
  mContext.restart();
  mContext.poll();
}

size_t
EntryGroup::MostInWindow(size_t aUpstream,
                         Instant aFrom,
                         Duration aWindow) const
{
  constexpr milliseconds kTellingTime{ 500 };
  std::deque<Instant> recent;
  size_t most = 0;
  for (const Arrival& arrival : mArrivals[aUpstream]) {
    const bool told =
      arrival.toldLimitAt && arrival.at >= *arrival.toldLimitAt + kTellingTime;
    if (!told || arrival.at < aFrom) {
      continue;
    }
    recent.push_back(arrival.at);
    while (arrival.at - recent.front() >= aWindow) {
      recent.pop_front();
    }
    most = std::max(most, recent.size());
  }
  return most;
}

size_t
EntryGroup::MostWithinRest(size_t aUpstream) const
{
  constexpr milliseconds kTellingTime{ 500 };
  size_t most = 0;
  for (const Rest& rest : mRests[aUpstream]) {
    const auto within =
      std::count_if(mArrivals[aUpstream].begin(),
                    mArrivals[aUpstream].end(),
                    [&](const Arrival& aArrival) {
                      return aArrival.entry == rest.entry &&
                             aArrival.at >= rest.from + kTellingTime &&
                             aArrival.at < rest.until;
                    });
    most = std::max(most, static_cast<size_t>(within));
  }
  return most;
}

Duration
EntryGroup::LatestAfterLeaving(size_t aUpstream) const
{
  Duration latest{};
  for (const Arrival& arrival : mArrivals[aUpstream]) {
    if (arrival.toldLeavingAt) {
      latest = std::max(latest, arrival.sentAt - *arrival.toldLeavingAt);
    }
  }
  return latest;
}

size_t
EntryGroup::MostArrivals(size_t aUpstream,
                         Instant aFrom,
                         Duration aWindow) const
{
  std::deque<Instant> recent;
  size_t most = 0;
  for (const Arrival& arrival : mArrivals[aUpstream]) {
    if (arrival.at < aFrom) {
      continue;
    }
    recent.push_back(arrival.at);
    while (arrival.at - recent.front() >= aWindow) {
      recent.pop_front();
    }
    most = std::max(most, recent.size());
  }
  return most;
}

size_t
EntryGroup::ArrivalsSince(size_t aUpstream, Instant aSince) const
{
  return static_cast<size_t>(
    std::count_if(mArrivals[aUpstream].begin(),
                  mArrivals[aUpstream].end(),
                  [&](const Arrival& aOne) { return aOne.at >= aSince; }));
}

} // namespace rattandyke::gateway::testing
